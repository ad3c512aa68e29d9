//! Single decisions about rows of the ledger, step by step.

use std::{collections, sync, time};

use engine::{order, report};
use plan::ledger::{Ledger, Pending, Resident, Sender, State};
use store::table;

/// One planner, and a table service that is served by hand.
struct Desk {
    planner: plan::Planner,
    now: ids::Time,
    rows: collections::BTreeMap<sync::Arc<str>, (ids::Version, sync::Arc<str>)>,
    requests: Vec<(ids::Op, table::Request)>,
    orders: Vec<(ids::Op, ids::Target, engine::Order)>,
}

const DELAY_MS: u64 = 10_000;

fn sender(vm: &str) -> Sender {
    Sender { vm: vm.into(), incarnation: ids::Incarnation::new(1) }
}

fn target(number: usize) -> ids::Target {
    format!("r{number}").into()
}

fn bundle(models: &str, fencing: bool) -> bundle::Bundle {
    bundle::read(&format!(
        "
format: 1
deployment: demo
centres: [north]
accounts: []
weights: {{loads_per_second: 1000, loads_at_once: 100}}
models: [{models}]
runners:
  - {{name: r0, centre: north, address: '127.0.0.1:1', accelerators: 1, memory_mib: 1000, fencing: {fencing}}}
  - {{name: r1, centre: north, address: '127.0.0.1:2', accelerators: 1, memory_mib: 1000, fencing: {fencing}}}
"
    ))
    .unwrap()
}

const ONE: &str = "{name: m, version: v1, memory_mib: 600, kv_floor_mib: 100}";
const TWO: &str = "{name: m, version: v1, memory_mib: 600, kv_floor_mib: 100}, \
                   {name: n, version: v1, memory_mib: 600, kv_floor_mib: 100}";

impl Desk {
    fn new(vm: &str, bundle: &bundle::Bundle) -> Self {
        let config = plan::Config { order_delay_ms: DELAY_MS, ..plan::Config::new(sender(vm)) };
        let now = ids::Time::from_millis(100_000);
        let mut planner = plan::Planner::new(config);
        planner.apply_bundle(now, bundle, &[sender(vm)], &collections::BTreeSet::new());
        Self {
            planner,
            now,
            rows: collections::BTreeMap::new(),
            requests: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn put(&mut self, target: &ids::Target, residents: Vec<Resident>) {
        let text = Ledger { residents }.to_json();
        self.rows.insert(Ledger::key(target), (ids::Version::new(5), text));
    }

    fn take(&mut self, out: Vec<plan::Output>) {
        for output in out {
            match output {
                plan::Output::Table { op, request } => self.requests.push((op, request)),
                plan::Output::Order { op, target, order } => self.orders.push((op, target, order)),
                plan::Output::Log { .. } => {}
            }
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + time::Duration::from_millis(millis);
    }

    fn tick(&mut self) {
        self.wait(1_000);
        let mut out = Vec::new();
        self.planner.tick(self.now, &mut out);
        self.take(out);
    }

    /// Ticks, and answers all requests at once.
    fn turn(&mut self) {
        self.tick();
        self.answer();
    }

    fn answer(&mut self) {
        for (op, request) in std::mem::take(&mut self.requests) {
            let answer = self.serve(&request);
            let mut out = Vec::new();
            self.planner.handle_answer(self.now, op, Ok(answer), &mut out);
            self.take(out);
        }
    }

    fn serve(&mut self, request: &table::Request) -> table::Answer {
        let row =
            |key: &sync::Arc<str>, (version, value): &(ids::Version, sync::Arc<str>)| table::Row {
                key: sync::Arc::clone(key),
                version: *version,
                value: sync::Arc::clone(value),
            };
        match request {
            table::Request::Get { key } => {
                table::Answer::Row(self.rows.get(key).map(|found| row(key, found)))
            }
            table::Request::Scan { .. } => {
                table::Answer::Rows(self.rows.iter().map(|(key, found)| row(key, found)).collect())
            }
            table::Request::Write { writes } => {
                let stale = writes.iter().any(|write| {
                    self.rows.get(&write.key).map(|(version, _)| *version) != write.expect
                });
                if stale {
                    return table::Answer::Conflict { rows: Vec::new() };
                }
                for write in writes {
                    let next = write.expect.unwrap_or_default().next();
                    let value = write.value.clone().unwrap();
                    self.rows.insert(sync::Arc::clone(&write.key), (next, value));
                }
                table::Answer::Written
            }
        }
    }

    /// A report that was asked for just now.
    fn report(&mut self, target: &ids::Target, fence: u64, residents: &[(&str, report::State)]) {
        self.wait(1);
        self.report_asked(self.now, target, fence, residents);
    }

    fn report_asked(
        &mut self,
        asked: ids::Time,
        target: &ids::Target,
        fence: u64,
        residents: &[(&str, report::State)],
    ) {
        let shown = residents.iter().map(|(item, state)| report::Resident {
            item: (*item).into(),
            version: "v1".into(),
            state: *state,
            memory_mib: 700,
        });
        let report = engine::Report {
            fence: ids::Fence::new(fence),
            residents: shown.collect(),
            ..engine::Report::default()
        };
        self.planner.record_report(self.now, target, asked, &report);
    }

    fn state(&self, target: &ids::Target, item: &str) -> Option<State> {
        let (_, text) = self.rows.get(&Ledger::key(target))?;
        Ledger::from_json(text).unwrap().get(item, "v1").map(|each| each.state)
    }
}

fn pending(vm: &str, fence: u64) -> Pending {
    Pending { sender: sender(vm), fence: ids::Fence::new(fence) }
}

fn ready(item: &str) -> Resident {
    Resident::new(item, "v1", State::Ready, 700)
}

fn in_state(item: &str, state: State, order: Pending) -> Resident {
    Resident { order: Some(order), ..Resident::new(item, "v1", state, 700) }
}

/// A desk at which a load of `m` at `r0` was ordered and r1 is out of reach.
fn ordered(fencing: bool) -> (Desk, ids::Op) {
    let mut desk = Desk::new("vm-1", &bundle(ONE, fencing));
    desk.put(&target(0), Vec::new());
    desk.turn();
    desk.report(&target(0), 0, &[]);
    desk.wait(3_000);
    desk.report(&target(0), 0, &[]);
    desk.turn();
    assert_eq!(desk.state(&target(0), "m"), Some(State::Reserved));
    let (op, to, order) = desk.orders.pop().expect("an order");
    assert_eq!((to, order.fence), (target(0), ids::Fence::new(6)));
    (desk, op)
}

#[test]
fn no_order_is_sent_before_memory_is_reserved() {
    let mut desk = Desk::new("vm-1", &bundle(ONE, true));
    desk.put(&target(0), Vec::new());
    desk.turn();
    desk.wait(3_000);
    desk.report(&target(0), 0, &[]);
    desk.tick();
    let written =
        |(_, request): &(ids::Op, table::Request)| matches!(request, table::Request::Write { .. });
    assert!(desk.requests.iter().any(written));
    assert!(desk.orders.is_empty(), "the write is not answered yet");
    desk.answer();
    assert_eq!(desk.orders.len(), 1);
}

#[test]
fn a_reservation_that_lost_the_race_sends_no_order() {
    let mut desk = Desk::new("vm-1", &bundle(ONE, true));
    desk.put(&target(0), Vec::new());
    desk.turn();
    desk.wait(3_000);
    desk.report(&target(0), 0, &[]);
    desk.tick();
    let other = Ledger { residents: vec![in_state("other", State::Reserved, pending("vm-2", 6))] };
    desk.rows.insert(Ledger::key(&target(0)), (ids::Version::new(6), other.to_json()));
    desk.answer();
    assert!(desk.orders.is_empty());
    desk.turn();
    assert!(desk.orders.is_empty(), "700 of 1000 MiB are reserved by another");
}

#[test]
fn an_order_is_not_sent_after_a_long_pause() {
    let mut desk = Desk::new("vm-1", &bundle(ONE, false));
    desk.put(&target(0), Vec::new());
    desk.turn();
    desk.wait(3_000);
    desk.report(&target(0), 0, &[]);
    desk.tick();
    desk.wait(60_000);
    let freed = Ledger::default().to_json();
    desk.answer();
    assert!(desk.orders.is_empty(), "the row may have changed in a minute");
    desk.rows.insert(Ledger::key(&target(0)), (ids::Version::new(7), freed));
    desk.turn();
    assert!(desk.orders.is_empty(), "and it has");
}

#[test]
fn an_order_with_unknown_outcome_stays_reserved_until_it_can_not_arrive() {
    let (mut desk, op) = ordered(false);
    desk.planner.record_reply(desk.now, op, order::Reply::Unknown);
    for _ in 0..9 {
        desk.report(&target(0), 0, &[]);
        desk.turn();
        assert_eq!(desk.state(&target(0), "m"), Some(State::Reserved), "{}", desk.now);
        assert!(desk.orders.is_empty(), "and is not sent again");
    }
    desk.wait(2_000);
    desk.report(&target(0), 0, &[]);
    desk.turn();
    desk.turn();
    assert_eq!(desk.orders.len(), 1, "released, reserved anew and ordered anew");
}

#[test]
fn an_order_in_doubt_is_replaced_where_the_runner_refuses_the_older_one() {
    let (mut desk, op) = ordered(true);
    desk.planner.record_reply(desk.now, op, order::Reply::Unknown);
    desk.wait(3_000);
    desk.report(&target(0), 0, &[]);
    desk.turn();
    let (_, _, order) = desk.orders.pop().expect("another order");
    assert_eq!(order.action, order::Action::Load);
    assert_eq!(order.fence, ids::Fence::new(7));
    assert_eq!(desk.state(&target(0), "m"), Some(State::Reserved));
}

#[test]
fn a_refusal_of_the_newer_order_does_not_release_what_the_older_one_may_load() {
    let (mut desk, op) = ordered(true);
    desk.planner.record_reply(desk.now, op, order::Reply::Unknown);
    desk.wait(3_000);
    desk.report(&target(0), 0, &[]);
    desk.turn();
    let (op, ..) = desk.orders.pop().expect("another order");
    desk.planner.record_reply(desk.now, op, order::Reply::Refused);
    for _ in 0..5 {
        desk.report(&target(0), 0, &[]);
        desk.turn();
        assert_eq!(desk.state(&target(0), "m"), Some(State::Reserved));
    }
}

#[test]
fn a_runner_that_checks_must_show_the_newer_fence_before_memory_is_given_back() {
    let mut desk = Desk::new("vm-1", &bundle("", true));
    desk.put(&target(0), vec![ready("old")]);
    desk.turn();
    desk.wait(3_000);
    desk.report(&target(0), 4, &[("old", report::State::Ready)]);
    desk.turn();
    let (_, _, order) = desk.orders.pop().expect("an order to unload");
    assert_eq!(order.action, order::Action::Unload);
    for _ in 0..5 {
        desk.report(&target(0), order.fence.get() - 1, &[]);
        desk.turn();
    }
    let state = desk.state(&target(0), "old");
    assert_eq!(state, Some(State::Unloading), "an order to load may still arrive");
    desk.report(&target(0), order.fence.get(), &[]);
    desk.turn();
    desk.turn();
    assert_eq!(desk.state(&target(0), "old"), None);
}

#[test]
fn a_refused_order_releases_its_reservation() {
    let (mut desk, op) = ordered(true);
    desk.planner.record_reply(desk.now, op, order::Reply::Refused);
    desk.turn();
    assert_eq!(desk.state(&target(0), "m"), None);
}

#[test]
fn a_report_from_before_the_row_strikes_nothing_off() {
    let mut desk = Desk::new("vm-2", &bundle(ONE, true));
    desk.put(&target(0), vec![ready("m")]);
    let before = desk.now;
    desk.turn();
    desk.report_asked(before, &target(0), 4, &[]);
    desk.turn();
    assert_eq!(desk.state(&target(0), "m"), Some(State::Ready));
    desk.report(&target(0), 4, &[]);
    desk.tick();
    let struck =
        |(_, request): &(ids::Op, table::Request)| matches!(request, table::Request::Write { .. });
    assert!(desk.requests.iter().any(struck), "a later one does");
}

#[test]
fn memory_of_another_sender_stays_reserved_while_it_may_send() {
    for (members, free) in
        [(vec![sender("vm-1"), sender("vm-2")], false), (vec![sender("vm-1")], true)]
    {
        let declared = bundle(ONE, false);
        let mut desk = Desk::new("vm-1", &declared);
        desk.put(&target(0), vec![in_state("x", State::Reserved, pending("vm-2", 5))]);
        let drained = collections::BTreeSet::new();
        desk.planner.apply_bundle(desk.now, &declared, &members, &drained);
        if !desk.planner.is_leader() {
            continue;
        }
        for _ in 0..9 {
            desk.turn();
            desk.report(&target(0), 0, &[]);
        }
        assert_eq!(desk.state(&target(0), "x"), Some(State::Reserved));
        for _ in 0..9 {
            desk.turn();
            desk.report(&target(0), 0, &[]);
        }
        assert_eq!(desk.state(&target(0), "x").is_none(), free, "{members:?}");
    }
}

/// Two copies of `m` fill both runners, and `n` needs the room of one.
fn crowded() -> Desk {
    let mut desk = Desk::new("vm-1", &bundle(TWO, true));
    desk.put(&target(0), vec![ready("m")]);
    desk.put(&target(1), vec![ready("m")]);
    desk.turn();
    for number in 0..2 {
        desk.report(&target(number), 4, &[("m", report::State::Ready)]);
    }
    desk.tick();
    desk
}

#[test]
fn a_row_that_loses_a_copy_is_written_together_with_one_that_keeps_it() {
    let mut desk = crowded();
    let (_, request) = desk.requests.last().expect("a write");
    let table::Request::Write { writes } = request else {
        panic!("{request:?}");
    };
    assert_eq!(writes.len(), 2, "{writes:?}");
    let gone = Ledger { residents: vec![in_state("m", State::Unloading, pending("vm-2", 6))] };
    let keeper = writes.iter().find(|write| !write.value.as_ref().unwrap().contains("unloading"));
    let keeper = sync::Arc::clone(&keeper.unwrap().key);
    desk.rows.insert(keeper, (ids::Version::new(6), gone.to_json()));
    desk.answer();
    assert!(desk.orders.is_empty(), "another planner unloads the other copy");
}

#[test]
fn a_copy_that_a_write_under_way_may_unload_is_not_offered() {
    let desk = crowded();
    assert_eq!(desk.planner.ready_targets(desk.now, "m").len(), 1);
}
