//! Tests of the planner: its lease, its orders, and the placement of models.

mod world;

use std::{collections, time};

use relay::{
    Input, config,
    input::{self, Event, Reply, Report, Written},
    lease::{self, Holder, Lease},
    output::{Order, Verb},
    peer, placement,
};
use world::{Seen, World, configuration, draft, runner};

const HANDOVER: time::Duration = time::Duration::from_secs(3);

/// Simulated runners. They execute orders at once, or late and without a reply, and
/// panic when an order exceeds their memory.
struct Fleet {
    world: World,
    runners: collections::BTreeMap<ids::Target, Runner>,
    /// If set, replies to orders are lost, and orders are executed after this delay.
    delay: Option<time::Duration>,
    pending: Vec<(ids::Time, Order)>,
    loads: Vec<ids::Time>,
    given: Vec<Order>,
}

struct Runner {
    orders: u64,
    models: collections::BTreeMap<ids::Model, collections::BTreeSet<ids::Adapter>>,
    busy: Option<(ids::Time, Order)>,
}

impl Fleet {
    fn new(held: &[(&str, &[&str])]) -> Self {
        let entries: Vec<_> = held.iter().map(|(name, models)| runner(name, models)).collect();
        let runners = entries.iter().map(|entry| {
            let runner = Runner { orders: 0, models: entry.models.clone(), busy: None };
            (entry.target.clone(), runner)
        });
        let runners = runners.collect();
        let mut world = World::new(entries);
        world.lead();
        let mut fleet = Self {
            world,
            runners,
            delay: None,
            pending: Vec::new(),
            loads: Vec::new(),
            given: Vec::new(),
        };
        fleet.run(400, |_, _| Seen::default());
        fleet
    }

    /// Advances time in steps; `each` acts in each step and returns the outputs seen.
    fn run(&mut self, millis: u64, mut each: impl FnMut(&mut World, u64) -> Seen) {
        for step in 0..millis / 20 {
            self.world.pass(20);
            let mut seen = each(&mut self.world, step);
            seen.extend(self.world.step([]));
            self.answer(&seen);
        }
    }

    fn answer(&mut self, seen: &Seen) {
        let now = self.world.now;
        for (target, runner) in &mut self.runners {
            if let Some((at, order)) = runner.busy.take() {
                if at > now {
                    runner.busy = Some((at, order));
                } else {
                    runner.carry_out(target, &order);
                }
            }
        }
        self.world.grant(seen);
        for target in &seen.reports {
            let runner = &self.runners[target];
            let report = Report {
                born: 1,
                orders: runner.orders,
                is_busy: runner.busy.is_some(),
                models: runner.models.clone(),
            };
            self.world.step([Input::Reported { target: target.clone(), report: Some(report) }]);
        }
        for (op, order) in &seen.orders {
            self.given.push(order.clone());
            let reply = match self.delay {
                Some(after) => {
                    self.pending.push((now + after, order.clone()));
                    Reply::Unknown
                }
                None => self.take(order),
            };
            self.world.step([Input::Ordered { op: *op, reply }]);
        }
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = later;
        let due: Vec<(ids::Time, Order)> = due;
        for (_, order) in due {
            self.take(&order);
        }
    }

    fn take(&mut self, order: &Order) -> Reply {
        let now = self.world.now;
        let runner = self.runners.get_mut(&order.target).expect("a known runner");
        if runner.busy.is_some() || order.expected != runner.orders {
            return Reply::Conflict;
        }
        runner.orders += 1;
        if order.adapter.is_some() {
            runner.carry_out(&order.target, order);
            return Reply::Accepted;
        }
        let takes = match order.verb {
            Verb::Load => time::Duration::from_secs(8),
            Verb::Unload => time::Duration::from_millis(100),
        };
        if order.verb == Verb::Load {
            self.loads.push(now);
        }
        runner.busy = Some((now + takes, order.clone()));
        Reply::Accepted
    }

    fn copies(&self, model: &str) -> usize {
        let model = ids::Model::from(model);
        self.runners.values().filter(|runner| runner.models.contains_key(&model)).count()
    }
}

impl Runner {
    fn carry_out(&mut self, target: &ids::Target, order: &Order) {
        match (order.verb, &order.adapter) {
            (Verb::Load, None) => drop(self.models.entry(order.model.clone()).or_default()),
            (Verb::Load, Some(adapter)) => {
                self.models.get_mut(&order.model).expect("the model").insert(adapter.clone());
            }
            (Verb::Unload, None) => drop(self.models.remove(&order.model)),
            (Verb::Unload, Some(adapter)) => {
                self.models.get_mut(&order.model).expect("the model").remove(adapter);
            }
        }
        // Two models of 70 MB and two adapters fit into 150 MB.
        let adapters: usize = self.models.values().map(collections::BTreeSet::len).sum();
        assert!(self.models.len() <= 2 && adapters <= 2, "{target} holds {:?}", self.models);
    }
}

/// A caller that sends a call with a long prompt for `model` in every step.
fn heavy_load(model: &'static str) -> impl FnMut(&mut World, u64) -> Seen {
    move |world, _| {
        let (call, mut all) = world.arrive(draft("draft", model, 3_000));
        let begun: Vec<_> = all.begun.iter().map(|begun| begun.attempt).collect();
        for attempt in begun {
            all.extend(world.event(attempt, Event::Ended(input::Summary::default())));
        }
        all.extend(world.step([Input::Closed { call }]));
        all
    }
}

#[test]
fn a_model_in_demand_gets_more_copies_without_overfilling_runners() {
    let mut fleet = Fleet::new(&[
        ("r-1", &["alpha", "beta"]),
        ("r-2", &["alpha", "gamma"]),
        ("r-3", &["alpha", "beta"]),
        ("r-4", &["alpha", "gamma"]),
    ]);
    fleet.run(1_000, heavy_load("beta"));
    assert_eq!(fleet.copies("beta"), 2);
    fleet.run(20_000, heavy_load("beta"));
    assert!(fleet.copies("beta") >= 3, "{}", fleet.copies("beta"));
    for model in ["alpha", "beta", "gamma"] {
        assert!(fleet.copies(model) >= 1, "the last copy of {model} stays");
    }
}

#[test]
fn a_model_without_a_copy_is_loaded_on_demand() {
    let mut fleet = Fleet::new(&[("r-1", &["alpha"]), ("r-2", &["alpha", "beta"])]);
    let mut request = draft("courtesy", "gamma", 500);
    request.timeout = None;
    let mut calls = Vec::new();
    fleet.run(2_000, |world, step| {
        if step % 10 != 0 {
            return Seen::default();
        }
        let (_, seen) = world.arrive(request.clone());
        calls.push(seen.refused.len());
        seen
    });
    fleet.run(10_000, |_, _| Seen::default());
    assert_eq!(fleet.copies("gamma"), 1);
    assert!(calls.contains(&1), "it cannot be loaded within 5 s");
}

#[test]
fn late_orders_never_overload_a_runner() {
    for delay in [2, 5, 9, 12] {
        let mut fleet = Fleet::new(&[
            ("r-1", &["alpha", "beta"]),
            ("r-2", &["alpha", "gamma"]),
            ("r-3", &["alpha", "beta"]),
        ]);
        fleet.delay = Some(time::Duration::from_secs(delay));
        fleet.run(6_000, heavy_load("beta"));
        fleet.run(6_000, heavy_load("gamma"));
        fleet.delay = None;
        // Runners check their memory when they execute an order.
        fleet.run(20_000, heavy_load("beta"));
        assert!(fleet.given.len() > 2, "orders were given");
    }
}

#[test]
fn a_fast_weight_store_is_used_at_its_full_rate() {
    let names: Vec<String> = (0..60).map(|number| format!("r-{number}")).collect();
    let held: Vec<(&str, &[&str])> =
        names.iter().map(|name| (name.as_str(), &["alpha"][..])).collect();
    let mut fleet = Fleet::new(&held);
    let mut config = world::configuration(2);
    for service in config.services.values_mut() {
        if let Some(engine) = &mut service.engine {
            engine.loads_per_second = 20.0;
        }
    }
    fleet.world.configure(config);
    // The demand suffices for a copy on each runner.
    fleet.run(3_000, |world, step| {
        let mut seen = Seen::default();
        for _ in 0..6 {
            seen.extend(heavy_load("beta")(world, step));
        }
        seen
    });
    let first = fleet.loads[0];
    let second = time::Duration::from_secs(1);
    let begun = fleet.loads.iter().filter(|at| at.since(first) < second).count();
    assert!((14..=24).contains(&begun), "{begun} loads in a second, where 20 may begin");
}

#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let names: Vec<String> = (0..12).map(|number| format!("r-{number}")).collect();
    let held: Vec<(&str, &[&str])> =
        names.iter().map(|name| (name.as_str(), &["alpha"][..])).collect();
    let mut fleet = Fleet::new(&held);
    fleet.run(20_000, |world, step| {
        let mut seen = heavy_load("beta")(world, step);
        seen.extend(heavy_load("gamma")(world, step));
        seen
    });
    assert!(fleet.loads.len() >= 5, "{}", fleet.loads.len());
    // Any window of five seconds allows one load per second, a tenth more, and three.
    for first in &fleet.loads {
        let window = fleet
            .loads
            .iter()
            .filter(|at| **at >= *first && at.since(*first) < time::Duration::from_secs(5));
        assert!(window.count() <= 8);
    }
}

#[test]
fn an_adapter_is_loaded_within_160_ms_and_an_idle_one_is_evicted() {
    let mut fleet = Fleet::new(&[("r-1", &["alpha"])]);
    for adapter in ["a1", "a2", "a3"] {
        let mut request = draft("draft", "alpha", 100);
        request.work.as_mut().expect("work").adapter = Some(adapter.into());
        let (call, seen) = fleet.world.arrive(request);
        assert!(seen.begun.is_empty());
        let mut begun = Vec::new();
        for _ in 0..8 {
            fleet.world.pass(20);
            let seen = fleet.world.step([]);
            fleet.answer(&seen);
            begun.extend(seen.begun);
        }
        assert_eq!(begun.len(), 1, "{adapter}");
        fleet.world.event(begun[0].attempt, Event::Ended(input::Summary::default()));
        fleet.world.step([Input::Closed { call }]);
        fleet.run(2_000, |_, _| Seen::default());
    }
    let held = &fleet.runners[&ids::Target::from("r-1")].models["alpha"];
    assert_eq!(held.iter().map(ids::Adapter::as_str).collect::<Vec<_>>(), ["a2", "a3"]);
}

#[test]
fn a_vm_that_missed_an_adapter_load_is_informed_on_request() {
    let mut fleet = Fleet::new(&[("r-1", &["alpha"])]);
    let second = relay::Settings::new("vm-2", "north", 1).with_peer("127.0.0.1:9").member();
    fleet.world.step([world::members(vec![World::member(), second])]);
    let mut envelope = draft("draft", "alpha", 100);
    envelope.work.as_mut().expect("work").adapter = Some("a1".into());
    fleet.run(
        200,
        |world, step| if step == 0 { world.arrive(envelope.clone()).1 } else { Seen::default() },
    );
    assert_eq!(fleet.given.len(), 1, "it was loaded: {:?}", fleet.given);
    // The second VM starts now; the runner's entry does not list the adapter yet.
    let adapter_request = peer::Message::AdapterRequest {
        service: "writers".into(),
        model: "alpha".into(),
        adapter: "a1".into(),
        is_offered: false,
        hops: 0,
    };
    let incarnation = ids::Incarnation::new(1);
    let mut told = Vec::new();
    fleet.run(100, |world, step| {
        let message = adapter_request.clone();
        let heard = Input::Peer { from: "vm-2".into(), incarnation, message };
        let mut seen = if step == 0 { world.step([heard]) } else { Seen::default() };
        seen.extend(world.step([]));
        told.append(&mut seen.messages);
        seen
    });
    let placed = peer::Placed { target: "r-1".into(), item: "alpha:a1".into(), present: true };
    assert!(told.contains(&("vm-2".into(), peer::Message::Placed(placed))), "{told:?}");
    assert_eq!(fleet.given.len(), 1, "it is not loaded again");
}

#[test]
fn no_adapter_is_requested_while_its_runner_is_only_busy() {
    let mut held = runner("r-1", &["alpha"]);
    held.models.insert("alpha".into(), [ids::Adapter::from("a1")].into());
    let mut world = World::new(vec![held]);
    let second = relay::Settings::new("vm-2", "north", 1).with_peer("127.0.0.1:9").member();
    world.step([world::members(vec![World::member(), second])]);
    let digest = peer::Digest { leader_fence: Some(ids::Fence::new(1)), ..peer::Digest::default() };
    let message = peer::Message::Digest(digest);
    let incarnation = ids::Incarnation::new(1);
    world.step([Input::Peer { from: "vm-2".into(), incarnation, message }]);
    let mut envelope = draft("draft", "alpha", 4_000);
    envelope.work.as_mut().expect("work").adapter = Some("a1".into());
    let mut begun = 0;
    let mut requested = 0;
    for _ in 0..12 {
        let seen = world.arrive(envelope.clone()).1;
        begun += seen.begun.len();
        let is_adapter_request = |message: &&(ids::Vm, peer::Message)| {
            matches!(message.1, peer::Message::AdapterRequest { .. })
        };
        requested += seen.messages.iter().filter(is_adapter_request).count();
    }
    assert!(begun > 0 && begun < 12, "the rest waits for room: {begun}");
    assert_eq!(requested, 0);
}

#[test]
fn an_adapter_whose_runner_is_full_is_loaded_at_another_runner() {
    let mut fleet = Fleet::new(&[("r-1", &["alpha"]), ("r-2", &["alpha"])]);
    let mut envelope = draft("draft", "alpha", 100);
    envelope.work.as_mut().expect("work").adapter = Some("a1".into());
    let mut begun = Vec::new();
    // A runner has four slots, and no call ends.
    for _ in 0..6 {
        fleet.run(200, |world, step| {
            let mut seen =
                if step == 0 { world.arrive(envelope.clone()).1 } else { world.step([]) };
            begun.append(&mut seen.begun);
            seen
        });
    }
    let first = begun[0].target.clone();
    let elsewhere = begun.iter().filter(|begun| begun.target != first).count();
    assert_eq!((begun.len(), elsewhere), (6, 2));
    assert_eq!(fleet.given.len(), 2, "one load at each: {:?}", fleet.given);
}

#[test]
fn an_adapter_at_an_unresponsive_runner_is_loaded_at_another() {
    let mut fleet = Fleet::new(&[("r-1", &["alpha"]), ("r-2", &["alpha"])]);
    let mut envelope = draft("draft", "alpha", 4_000);
    envelope.work.as_mut().expect("work").adapter = Some("a1".into());
    fleet.run(
        400,
        |world, step| if step < 6 { world.arrive(envelope.clone()).1 } else { Seen::default() },
    );
    let first = fleet.given[0].target.clone();
    // The first calls get no answer, so the calls queued behind them need another runner.
    fleet.run(3_000, |world, step| {
        if step.is_multiple_of(25) { world.arrive(envelope.clone()).1 } else { Seen::default() }
    });
    let elsewhere: Vec<_> = fleet
        .given
        .iter()
        .filter(|order| order.adapter.is_some() && order.target != first)
        .collect();
    assert!(!elsewhere.is_empty(), "{:?}", fleet.given);
}

fn placement_runner(name: &str, models: &[&str], free_mb: f64) -> placement::Runner {
    placement::Runner {
        target: name.into(),
        free_mb,
        models: models.iter().map(|model| (*model).into()).collect(),
        cached: collections::BTreeSet::new(),
        is_free: true,
        speed: 1.0,
    }
}

fn engine() -> config::Engine {
    configuration(1).services["writers"].engine.clone().expect("an engine")
}

#[test]
fn no_model_is_moved_while_no_runner_is_overloaded() {
    let engine = engine();
    let snapshot = placement::Snapshot {
        runners: vec![
            placement_runner("r-1", &["alpha", "beta"], 10.0),
            placement_runner("r-2", &["alpha", "gamma"], 10.0),
        ],
        demand: [("alpha".into(), 0.5), ("beta".into(), 0.1)].into(),
        engine: &engine,
        may_fetch: true,
    };
    assert_eq!(snapshot.next_move(), None);
}

#[test]
fn a_cached_model_is_loaded_even_at_the_limit_of_the_weight_store() {
    let engine = engine();
    let mut runners =
        vec![placement_runner("r-1", &["alpha"], 80.0), placement_runner("r-2", &["beta"], 80.0)];
    runners.push(placement_runner("r-3", &["beta"], 80.0));
    runners[2].cached.insert("alpha".into());
    let mut snapshot = placement::Snapshot {
        runners,
        demand: [("alpha".into(), 2.0)].into(),
        engine: &engine,
        may_fetch: false,
    };
    let chosen = snapshot.next_move().expect("a move");
    assert_eq!((chosen.target, chosen.is_fetch), ("r-3".into(), false));
    snapshot.runners[2].cached.clear();
    assert_eq!(snapshot.next_move(), None);
    snapshot.may_fetch = true;
    assert!(snapshot.next_move().is_some());
}

#[test]
fn a_model_without_a_copy_uses_free_memory_at_any_demand() {
    let engine = engine();
    let mut snapshot = placement::Snapshot {
        runners: vec![placement_runner("r-1", &["alpha"], 80.0)],
        demand: [("alpha".into(), 0.5), ("beta".into(), 0.001)].into(),
        engine: &engine,
        may_fetch: true,
    };
    let chosen = snapshot.next_move().expect("a move");
    assert_eq!((chosen.load, chosen.evict), ("beta".into(), Vec::new()));
    // A model in use is not evicted for such a small gain.
    snapshot.runners =
        vec![placement_runner("r-1", &["alpha"], 10.0), placement_runner("r-2", &["alpha"], 10.0)];
    assert_eq!(snapshot.next_move(), None);
}

fn lease(vm: &str) -> Lease {
    Lease::new(vm.into(), ids::Incarnation::new(1), HANDOVER)
}

/// The store's era, where it does not change.
const ERA: ids::Era = ids::Era::new(0);

/// The lease row in a simulated store.
#[derive(Clone, Default)]
struct Row {
    era: u64,
    version: u64,
    current: Option<store::table::Row>,
}

impl Row {
    fn write(&mut self, write: &store::table::Write) -> Written {
        let version = self.current.as_ref().map(|row| row.version);
        let era = ids::Era::new(self.era);
        if write.expect != version {
            return Written::Conflict { row: self.current.clone(), era };
        }
        self.version += 1;
        let version = ids::Version::new(self.version);
        let value = write.value.clone().expect("a value");
        self.current =
            Some(store::table::Row { key: std::sync::Arc::clone(&write.key), version, value });
        Written::Done { revision: ids::Revision::new(era, version), clock_ms: 0 }
    }

    fn holder(&self) -> Holder {
        serde_json::from_str(&self.current.as_ref().expect("a row").value).expect("a holder")
    }
}

/// Ticks `lease` once and applies its write, with or without a response. Returns
/// whether it wrote.
fn attempt(lease: &mut Lease, row: &mut Row, now: ids::Time, op: u64, answered: bool) -> bool {
    let Some((op, write)) = lease.tick(now, false, 0, lease::Saved::default, || ids::Op::new(op))
    else {
        return false;
    };
    let written = row.write(&write);
    if answered {
        lease.written(now, op, &Ok(written));
    }
    true
}

#[test]
fn a_new_planner_waits_for_the_handover_time() {
    let (mut first, mut second) = (lease("vm-1"), lease("vm-2"));
    let mut row = Row::default();
    let at = |millis| ids::Time::from_millis(10_000 + millis);
    first.observe(at(0), None, ERA, 0);
    assert!(attempt(&mut first, &mut row, at(0), 1, true));
    assert!(first.may_order(at(0)).is_some(), "nobody was before it");
    assert!(first.may_order(at(1_190)).is_some());
    assert!(first.may_order(at(1_210)).is_none(), "an order might arrive after 1,500");
    assert!(first.fence(at(1_490)).is_some());
    assert!(first.fence(at(1_510)).is_none(), "it has not renewed");
    second.observe(at(100), row.current.as_ref(), ERA, 0);
    assert!(!attempt(&mut second, &mut row, at(1_900), 2, true));
    assert!(attempt(&mut second, &mut row, at(2_200), 2, true));
    assert!(row.holder().fence > ids::Fence::new(1));
    let mut earliest = 2_200;
    while second.may_order(at(earliest)).is_none() && earliest < 9_000 {
        earliest += 20;
        attempt(&mut second, &mut row, at(earliest), earliest, true);
    }
    // Orders of the first holder may have arrived until 1,500.
    assert!((4_500..=5_000).contains(&earliest), "{earliest}");
}

/// Guards against a restarted planner that orders too early, as its former process renewed faster
/// while the answers to its writes were lost.
#[test]
fn a_restarted_planner_waits_though_its_former_process_renewed_faster() {
    let (mut first, mut second) = (lease("vm-1"), lease("vm-2"));
    let mut row = Row::default();
    let at = |millis| ids::Time::from_millis(10_000 + millis);
    first.observe(at(0), None, ERA, 0);
    assert!(attempt(&mut first, &mut row, at(0), 1, true));
    second.observe(at(10), row.current.as_ref(), ERA, 0);
    for millis in (2_100..4_300).step_by(10) {
        let next_op = || ids::Op::new(millis);
        if let Some((op, write)) = second.tick(at(millis), false, 0, lease::Saved::default, next_op)
        {
            row.write(&write);
            let lost = store::Fault::new("write", "row", store::Kind::Unknown, "closed");
            second.written(at(millis), op, &Err(lost));
            second.observe(at(millis + 5), row.current.as_ref(), ERA, 0);
        }
    }
    assert_eq!(row.holder().vm, "vm-2".into());
    let mut restarted = Lease::new("vm-2".into(), ids::Incarnation::new(2), HANDOVER);
    restarted.observe(at(4_320), row.current.as_ref(), ERA, 0);
    assert!(attempt(&mut restarted, &mut row, at(4_320), 5_000, true));
    // Orders of the first holder may have arrived until 1,500.
    assert!(restarted.may_order(at(4_490)).is_none());
}

#[test]
fn a_planner_whose_write_response_was_lost_waits_for_the_handover_time() {
    let (mut first, mut second) = (lease("vm-1"), lease("vm-2"));
    let mut row = Row::default();
    let at = |millis| ids::Time::from_millis(10_000 + millis);
    first.observe(at(0), None, ERA, 0);
    attempt(&mut first, &mut row, at(0), 1, true);
    second.observe(at(0), row.current.as_ref(), ERA, 0);
    assert!(attempt(&mut second, &mut row, at(2_100), 2, false), "the answer is lost");
    second.observe(at(2_200), row.current.as_ref(), ERA, 0);
    let mut now = 2_200;
    while second.may_order(at(now)).is_none() && now < 9_000 {
        now += 20;
        attempt(&mut second, &mut row, at(now), now, true);
    }
    assert!(now >= 4_500, "it ordered at {now}");
}

/// Earliest time, in ms, at which a restarted planner sends orders: its first process ran from
/// `taken` to `killed`, and the planner before it had its last renewal at 0.
fn restarted_planner_orders_at(taken: u64, killed: u64) -> u64 {
    let (mut first, mut second) = (lease("vm-1"), lease("vm-2"));
    let mut row = Row::default();
    let at = |millis| ids::Time::from_millis(10_000 + millis);
    first.observe(at(0), None, ERA, 0);
    attempt(&mut first, &mut row, at(0), 1, true);
    second.observe(at(0), row.current.as_ref(), ERA, 0);
    for now in (taken..=killed).step_by(20) {
        attempt(&mut second, &mut row, at(now), now, true);
    }
    assert_eq!(row.holder().vm.as_str(), "vm-2");
    let mut restarted = Lease::new("vm-2".into(), ids::Incarnation::new(2), HANDOVER);
    restarted.observe(at(killed), row.current.as_ref(), ERA, 0);
    let mut now = killed;
    while restarted.may_order(at(now)).is_none() && now < 30_000 {
        now += 20;
        attempt(&mut restarted, &mut row, at(now), now, true);
    }
    now
}

/// Guards against orders of two planners within the handover time (ONE): a planner that was
/// killed just after it took the lease sent orders as soon as it was back.
#[test]
fn a_planner_that_restarts_before_its_first_order_waits_for_the_handover_time() {
    let orders_at = restarted_planner_orders_at(2_100, 2_200);
    // The first planner may have sent orders until 1,500.
    assert!(orders_at >= 4_500, "it ordered at {orders_at}");
    let orders_at = restarted_planner_orders_at(2_100, 9_000);
    assert!(orders_at <= 9_200, "it had sent orders before, but waited until {orders_at}");
}

#[test]
fn the_lease_of_a_planner_that_is_heard_is_not_taken_over() {
    let mut other = lease("vm-2");
    let mut row = Row::default();
    let now = ids::Time::from_millis(10_000);
    let mut first = lease("vm-1");
    first.observe(now, None, ERA, 0);
    attempt(&mut first, &mut row, now, 1, true);
    other.observe(now, row.current.as_ref(), ERA, 0);
    let later = now + time::Duration::from_secs(20);
    assert!(other.tick(later, true, 0, lease::Saved::default, || ids::Op::new(2)).is_none());
    assert!(other.tick(later, false, 0, lease::Saved::default, || ids::Op::new(2)).is_some());
}

#[test]
fn an_unreadable_lease_row_counts_as_having_no_holder() {
    let mut own = lease("vm-1");
    let now = ids::Time::from_millis(10_000);
    let row = store::table::Row {
        key: relay::lease::KEY.into(),
        version: ids::Version::new(70),
        value: "nonsense".into(),
    };
    assert!(!own.observe(now, Some(&row), ERA, 0), "it is told");
    let (_, write) =
        own.tick(now, false, 0, lease::Saved::default, || ids::Op::new(1)).expect("a write");
    assert_eq!(write.expect, Some(ids::Version::new(70)));
    let holder: Holder = serde_json::from_str(&write.value.expect("a value")).expect("a holder");
    assert!(holder.fence > ids::Fence::new(70), "no token is used twice");
}
