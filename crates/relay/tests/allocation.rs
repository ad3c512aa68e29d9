//! Tests of the allocation of quota units by urgency, alone and in fleets.

mod fleet;
mod play;
mod world;

use std::{collections, time};

use play::{Kind, Play, Setup};
use relay::{
    Input, Relay, Settings, config, input,
    quota::{self, allocation},
    shutdown,
};
use world::{Seen, World, configuration, desk, envelope};

/// A fleet of 26 VMs in three data centres, or a smaller one, with the account's traffic at
/// `times` its usual.
fn played(size: usize, rate: f64, times: f64, by_urgency: bool) -> Play {
    Play::new(Setup { size, rate, burst: rate, times, by_urgency, seed: 1 }).run()
}

/// Checks what must hold at any overload.
fn check(size: usize, rate: f64, times: f64) {
    let before = played(size, rate, times, false);
    let play = played(size, rate, times, true);
    println!(
        "{size} VMs, {rate} units a second, {times} times\nin order\n{before}by urgency\n{play}"
    );
    let fate = |kind| play.fates[&kind];
    for kind in [Kind::Urgent, Kind::Booking] {
        assert!(fate(kind).served_at_once() >= 0.85, "{kind:?} at once: {:?}", fate(kind));
        assert!(fate(kind).served() >= 0.95, "{kind:?}: {:?}", fate(kind));
        assert!(fate(kind).served() >= before.fates[&kind].served() - 0.01, "{kind:?}");
    }
    for kind in Kind::ALL {
        assert!(fate(kind).in_time > 0, "no {kind:?} is served in time: {:?}", fate(kind));
    }
    assert!(fate(Kind::Lowest).served_at_once() <= fate(Kind::Urgent).served_at_once());
    let served = |play: &Play| {
        let fates = play.fates.values();
        let (served, calls) = fates.fold((0, 0), |(served, calls), fate| {
            (served + fate.in_time + fate.late + fate.returned, calls + fate.calls)
        });
        served as f64 / calls as f64
    };
    assert!(served(&play) > served(&before), "fewer calls are served than in order of arrival");
    assert!(play.granted_ratio >= 0.93, "{} of the rate is granted", play.granted_ratio);
    assert!(play.max_in_window() <= play.bound(), "{}", play.max_in_window() / play.bound());
}

/// Guards against urgent streams and bookings that are refused while less urgent calls get
/// units, against classes without any units, units that nobody gets, and more than the bound.
#[test]
fn one_vm_serves_urgent_and_small_calls_first() {
    check(1, 54_000.0, 3.5);
    check(1, 286_000.0, 7.0);
}

/// The same where VMs learn of one another's grants by digests.
#[test]
fn five_vms_serve_urgent_and_small_calls_first() {
    check(5, 54_000.0, 7.0);
    check(5, 286_000.0, 3.5);
    check(5, 286_000.0, 7.0);
}

/// The same where the demand by class passes through aggregators, and where a VM's part of
/// the rate is less than one call a second.
#[test]
fn a_large_fleet_serves_urgent_and_small_calls_first() {
    for rate in [54_000.0, 286_000.0] {
        for times in [3.5, 7.0] {
            check(26, rate, times);
        }
    }
}

/// Guards against units granted twice, with plans and overdrafts that VMs no longer share,
/// while the aggregators of all data centres fail and start again.
#[test]
fn the_bound_holds_while_aggregators_fail() {
    for rate in [54_000.0, 286_000.0] {
        let setup = Setup { size: 26, rate, burst: rate, times: 7.0, by_urgency: true, seed: 2 };
        let mut play = Play::new(setup);
        play.pass(8_000, 1.0, false);
        for index in 0..3 {
            play.pass(1_000, setup.times, true);
            play.set_running(index, false);
            play.pass(1_500, setup.times, true);
            play.set_running(index, true);
        }
        play.pass(2_000, setup.times, true);
        assert!(play.max_in_window() <= play.bound(), "{}", play.max_in_window() / play.bound());
        println!("{rate}: {} of the bound", play.max_in_window() / play.bound());
    }
}

/// Guards against callers who are all told the same time, so that they all return at once.
#[test]
fn return_times_are_spread() {
    let play = played(26, 286_000.0, 7.0, true);
    let mut returns = collections::BTreeMap::<u128, usize>::new();
    for (at, wait) in &play.told {
        let back = u128::from(at.as_millis()) + wait.as_millis();
        *returns.entry(back / 100).or_default() += 1;
    }
    let (most, all) = (returns.values().max().copied().unwrap_or_default(), play.told.len());
    assert!(all > 500, "{all} calls were refused");
    assert!(most * 20 <= all, "{most} of {all} calls return within 0.1 s");
}

/// A VM with a rate of 10,000 units a second whose account is crowded.
struct Crowd {
    world: World,
}

impl Crowd {
    fn new(by_urgency: bool) -> Self {
        let settings = Settings::new("vm-1", "north", 1).with_urgency(by_urgency);
        let mut world = World::empty();
        world.relay = Relay::new(settings);
        let alone = vec![World::member()];
        world.step([world::members(alone)]);
        world.configure(Self::config(1));
        world.targets((0..20).map(|index| desk(&format!("d-{index:04}"))).collect());
        world.wait(4_000);
        Self { world }
    }

    fn config(version: u64) -> config::Config {
        let mut config = configuration(version);
        for account in config.accounts.values_mut() {
            account.unit = config::Unit::Tokens(400.0);
        }
        config.routes = config
            .routes
            .iter()
            .map(|route| {
                let objective = time::Duration::from_secs(2);
                std::sync::Arc::new(config::Route { objective, ..config::Route::clone(route) })
            })
            .collect();
        config
    }

    /// Calls arrive until one waits for units. Returns it.
    fn waiting_call(&mut self) -> ids::Call {
        for _ in 0..400 {
            let (call, seen) = self.world.arrive(envelope("book", Some("key-1")));
            for begin in &seen.begun {
                let ended = input::Event::Ended(input::Summary::default());
                self.world.event(begin.attempt, ended);
            }
            if self.world.relay.calls_waiting_for_units() > 0 {
                return call;
            }
            self.world.wait(20);
        }
        panic!("no call waits for units");
    }

    fn refusal(seen: &Seen, call: ids::Call) -> Option<(u16, &'static str)> {
        let refused = seen.refused.iter().find(|(refused, _, _, _)| *refused == call);
        refused.map(|(_, status, reason, _)| (*status, *reason))
    }
}

/// Guards against calls that wait although units have become available.
#[test]
fn a_waiting_call_is_sent_when_there_are_units() {
    let mut crowd = Crowd::new(true);
    let call = crowd.waiting_call();
    let seen = crowd.world.wait(1_000);
    assert!(seen.begun.iter().any(|begin| begin.call == call), "{seen:?}");
    assert_eq!(crowd.world.relay.calls_waiting_for_units(), 0);
}

/// Guards against calls that go on waiting for a key that is not valid any more.
#[test]
fn a_waiting_call_whose_key_is_withdrawn_is_refused() {
    let mut crowd = Crowd::new(true);
    let call = crowd.waiting_call();
    let mut config = Crowd::config(2);
    config.keys.remove("key-1");
    let seen = crowd.world.configure(config);
    assert_eq!(Crowd::refusal(&seen, call), Some((401, "unknown key")));
    crowd.world.wait(20);
    assert_eq!(crowd.world.relay.calls_waiting_for_units(), 0);
}

/// Guards against calls that go on waiting on a route that is gone.
#[test]
fn a_waiting_call_whose_route_is_removed_is_refused() {
    let mut crowd = Crowd::new(true);
    let call = crowd.waiting_call();
    let mut config = Crowd::config(2);
    config.routes.retain(|route| &*route.name != "book");
    let seen = crowd.world.configure(config);
    assert_eq!(Crowd::refusal(&seen, call), Some((404, "no route")));
}

/// Guards against units that are granted to callers who have left, and calls kept for them.
#[test]
fn a_waiting_call_whose_caller_leaves_is_dropped() {
    let mut crowd = Crowd::new(true);
    let call = crowd.waiting_call();
    let open = crowd.world.relay.open_calls();
    crowd.world.step([Input::Closed { call }]);
    assert_eq!(crowd.world.relay.open_calls(), open - 1);
    let seen = crowd.world.wait(1_000);
    assert!(seen.begun.iter().all(|begin| begin.call != call));
    assert_eq!(crowd.world.relay.calls_waiting_for_units(), 0);
}

/// Guards against calls that are still waiting when the process ends.
#[test]
fn a_waiting_call_is_ended_by_a_stop() {
    let mut crowd = Crowd::new(true);
    let call = crowd.waiting_call();
    let at_once = time::Duration::ZERO;
    let schedule = shutdown::Schedule::new(at_once);
    let mut seen = crowd.world.step([Input::Stop(schedule)]);
    seen.extend(crowd.world.wait(1_000));
    let is_sent = seen.begun.iter().any(|begin| begin.call == call);
    assert!(is_sent || Crowd::refusal(&seen, call).is_some(), "{seen:?}");
    assert_eq!(crowd.world.relay.calls_waiting_for_units(), 0);
}

/// Guards against calls that wait beyond their objective or their deadline.
#[test]
fn no_call_waits_longer_than_its_objective_and_deadline_allow() {
    let mut crowd = Crowd::new(true);
    let timeout = time::Duration::from_millis(250);
    for _ in 0..400 {
        for _ in 0..2 {
            let mut envelope = envelope("book", Some("key-1"));
            envelope.timeout = Some(timeout);
            let (_, seen) = crowd.world.arrive(envelope);
            for begin in &seen.begun {
                let ended = input::Event::Ended(input::Summary::default());
                crowd.world.event(begin.attempt, ended);
            }
        }
        crowd.world.wait(20);
        // What arrives within the deadline bounds what can wait.
        assert!(crowd.world.relay.calls_waiting_for_units() <= 2 * 13);
    }
    crowd.world.wait(280);
    assert_eq!(crowd.world.relay.calls_waiting_for_units(), 0);
}

/// Guards against decisions that differ for accounts that ask for no more than their rate.
#[test]
fn an_account_within_its_rate_is_not_affected() {
    let play = |by_urgency| {
        let mut crowd = Crowd::new(by_urgency);
        let mut all = Vec::new();
        for step in 0..1_000 {
            // Calls of 400 units every 80 ms ask for half of the rate; a peak now and then.
            let calls = usize::from(step % 4 == 0) + if step % 200 == 0 { 5 } else { 0 };
            for _ in 0..calls {
                let (_, seen) = crowd.world.arrive(envelope("book", Some("key-1")));
                for begin in &seen.begun {
                    let ended = input::Event::Ended(input::Summary::default());
                    crowd.world.event(begin.attempt, ended);
                }
                all.push(format!("{seen:?}"));
            }
            all.push(format!("{:?}", crowd.world.wait(20)));
        }
        all
    };
    assert_eq!(play(false), play(true));
}

/// Guards against messages with demand by class, which older versions do not know, in fleets
/// that do not grant by urgency or whose accounts are within their rates.
#[test]
fn the_demand_by_class_is_told_only_while_an_account_is_crowded() {
    let view = quota::View::Together { heard: 1, all: 1 };
    let account = ids::Account::from("mayors");
    let mut table = quota::Table::new(quota::Tolerance::default()).with_urgency(0.0);
    let mut now = ids::Time::from_millis(1_000);
    table.adopt(now, &configuration(1));
    let mut play = |request: allocation::Request, table: &mut quota::Table| {
        for _ in 0..50 {
            now = now + time::Duration::from_millis(20);
            table.ask(now, view, &account, request);
            let _taken = table.take_by_urgency(now, view, &account, request, 0.0);
        }
        table.usage(now).iter().find(|usage| usage.account == account).cloned().expect("a bucket")
    };
    let within = play(allocation::Request::new(1, 100.0), &mut table);
    assert!(within.classes.is_empty(), "{within:?}");
    assert!(!serde_json::to_string(&within).expect("a JSON form").contains("\"c\""));
    let beyond = play(allocation::Request::new(1, 1_000.0), &mut table);
    assert!(!beyond.classes.is_empty(), "{beyond:?}");
}

/// Guards against grants of a VM that does not know how many others there are.
#[test]
fn a_vm_without_membership_grants_nothing() {
    let account = ids::Account::from("mayors");
    let mut table = quota::Table::new(quota::Tolerance::default()).with_urgency(0.0);
    let mut now = ids::Time::from_millis(1_000);
    table.adopt(now, &configuration(1));
    let request = allocation::Request::new(0, 1_000.0);
    for _ in 0..200 {
        now = now + time::Duration::from_millis(20);
        table.ask(now, quota::View::Unknown, &account, request);
        let taken = table.take_by_urgency(now, quota::View::Unknown, &account, request, 0.0);
        assert!(taken.is_err(), "{taken:?}");
    }
}

/// Guards against a plan that lets a class starve, or that grants more than the rate.
#[test]
fn a_plan_grants_the_rate_by_urgency_with_a_minimum_for_each_class() {
    let class = |priority, units| allocation::Class::new(priority, units);
    let (urgent, booking) = (class(0, 1_500.0), class(2, 200.0));
    let (stream, lowest) = (class(1, 2_400.0), class(3, 2_400.0));
    assert!(urgent < booking && booking < stream && stream < lowest);
    let asked = [(urgent, 440.0), (booking, 160.0), (stream, 2_650.0), (lowest, 590.0)];
    let asked: collections::BTreeMap<_, _> = asked.into();
    let plan = allocation::Plan::new(1_000.0, 26, &asked, &asked);
    let granted = |class| plan.share(class).expect("it asks").granted;
    assert!((granted(urgent) - 440.0).abs() < 1e-6);
    assert!((granted(booking) - 160.0).abs() < 1e-6);
    assert!((granted(lowest) - 50.0).abs() < 1e-6, "{}", granted(lowest));
    let sum: f64 = plan.shares().iter().map(|share| share.granted).sum();
    assert!((sum - 1_000.0).abs() < 1e-6, "{sum}");
}

/// Guards against promises of the same units to several callers.
#[test]
fn a_ledger_promises_each_unit_once_and_no_longer_than_is_honoured() {
    let mut ledger = allocation::Ledger::default();
    let now = ids::Time::from_millis(1_000);
    let request = allocation::Request::new(1, 1_000.0);
    let honoured = time::Duration::from_secs(3);
    let promised: Vec<_> = (0..6)
        .map(|_| ledger.promise(now, request, 1_000.0, time::Duration::ZERO, honoured).as_millis())
        .collect();
    assert_eq!(promised, [1_000, 2_000, 3_000, 3_000, 3_000, 3_000]);
}

/// Guards against figures of another VM that are no demand.
#[test]
fn invalid_demand_is_ignored() {
    let class = allocation::Class::new(0, 100.0);
    let mut sums = collections::BTreeMap::new();
    let rates = [(class, f64::NAN), (class, -5.0), (class, f64::INFINITY), (class, 7.0)];
    allocation::add_rates(&mut sums, &rates);
    assert_eq!(sums, [(class, 7.0)].into());
}
