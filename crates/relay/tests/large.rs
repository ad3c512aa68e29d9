//! Tests of fleets of up to 330 VMs: communication, recovery, quotas and calls of the store.

mod fleet;
mod world;

use fleet::Fleet;
use relay::{config, envelope, quota};
use world::{configuration, draft, runner};

/// Units per second of the limited account.
const RATE: f64 = 286_000.0;
/// Units of a call.
const CALL_UNITS: u64 = 1_520;
/// Number of data centres.
const CENTRES: usize = 6;
/// Time after which a fleet that starts has met, in ms.
const START_MS: u64 = 4_000;

fn config(version: u64) -> config::Config {
    let mut config = configuration(version);
    let account = config.accounts.get_mut(&ids::Account::from("mayors")).expect("an account");
    (account.rate, account.burst) = (RATE, RATE);
    config
}

/// A fleet with 160 runners that has just started, and its traffic from then on.
fn started(size: usize) -> Fleet {
    started_with(size, 160)
}

/// A fleet with some runners that has just started.
fn started_with(size: usize, runners: usize) -> Fleet {
    let runners = (0..runners).map(|index| relay::target::Entry {
        slots: 64,
        ..runner(&format!("i-{index:08}"), &["alpha", "beta"])
    });
    let mut config = config(1);
    for service in config.services.values_mut() {
        if let Some(engine) = &mut service.engine {
            engine.kv_tokens = 100_000;
        }
    }
    let mut fleet = Fleet::new(size, CENTRES, config, runners.collect());
    fleet.run(START_MS, |_| {});
    fleet.traffic = fleet::Traffic::default();
    fleet
}

fn paid_draft() -> envelope::Envelope {
    let mut envelope = draft("draft", "alpha", CALL_UNITS - 20);
    envelope.key = Some("key-1".into());
    envelope
}

/// Calls that arrive evenly at the running VMs at `times` the rate of the account.
fn arrivals(times: f64) -> impl FnMut(&mut Fleet) {
    arrivals_except(times, usize::MAX)
}

/// Calls that arrive evenly at the running VMs but for one.
fn arrivals_except(times: f64, except: usize) -> impl FnMut(&mut Fleet) {
    let (mut owed, mut next) = (0.0, 0_usize);
    move |fleet| {
        owed += times * RATE * 0.02 / CALL_UNITS as f64;
        while owed >= 1.0 {
            owed -= 1.0;
            let is_used = |index: &usize| *index != except && fleet.vms[*index].relay.is_some();
            let running: Vec<_> = (0..fleet.vms.len()).filter(is_used).collect();
            // A stride that is coprime to the size mixes the data centres.
            next += 7;
            fleet.arrive(running[next % running.len()], paid_draft());
        }
    }
}

fn are_together(fleet: &Fleet, expected: usize, of: usize) -> bool {
    fleet.views().iter().all(|view| *view == quota::View::Together { heard: expected, all: of })
}

#[test]
fn all_vms_of_a_large_fleet_share_one_view() {
    for size in [5, 36, 118, 330] {
        let mut fleet = started(size);
        for _ in 0..25 {
            fleet.run(200, |_| {});
            assert!(are_together(&fleet, size, size), "{size}: {:?}", fleet.views());
        }
        assert_eq!(fleet.traffic.heard_lines, 0, "{size} VMs");
        assert_eq!(fleet.traffic.unlinked, 0, "{size} VMs");
    }
}

#[test]
fn traffic_between_data_centres_stays_level() {
    let cost = |size: usize| {
        let mut fleet = started(size);
        fleet.run(5_000, arrivals(0.5));
        let traffic = &fleet.traffic;
        let messages = traffic.messages as f64 / size as f64 / 5.0;
        (traffic.bytes_between_centres as f64 / 5.0, messages)
    };
    let ((small, _), (medium, medium_messages), (large, large_messages)) =
        (cost(36), cost(118), cost(330));
    assert!(medium < 1.5 * small, "{small} bytes a second for 36 VMs, {medium} for 118");
    assert!(large < 1.5 * small, "{small} bytes a second for 36 VMs, {large} for 330");
    assert!(medium_messages < 200.0, "{medium_messages} messages a second and VM");
    assert!(large_messages < 200.0, "{large_messages} messages a second and VM");
}

#[test]
fn calls_of_the_store_do_not_grow_with_the_fleet() {
    for size in [36, 118, 330] {
        let mut fleet = started(size);
        fleet.run(10_000, arrivals(0.5));
        let readers = fleet.running().filter(|vm| vm.follow().is_reader).count();
        assert_eq!(readers, 2, "{size} VMs");
        // Two readers poll two and a half times a second; the lease is renewed.
        let calls = fleet.traffic.store_calls.values().sum::<u64>() as f64 / 10.0;
        assert!(calls < 10.0, "{size} VMs: {calls} calls a second");
    }
}

#[test]
fn a_fleet_that_starts_reads_the_store_a_few_times_for_each_vm() {
    let size = 118;
    let runners = vec![runner("i-1", &["alpha"])];
    let mut fleet = Fleet::new(size, CENTRES, config(1), runners);
    fleet.run(START_MS, |_| {});
    let calls = fleet.traffic.store_calls.values().sum::<u64>() as f64 / size as f64;
    assert!(calls < 5.0, "{calls} calls for each VM: {:?}", fleet.traffic.store_calls);
    for vm in fleet.running() {
        let relay = vm.relay.as_ref().expect("it runs");
        assert_eq!(relay.version(), ids::Version::new(1), "{}", vm.name);
    }
}

#[test]
fn a_killed_aggregator_is_replaced() {
    let mut fleet = started(118);
    let killed = fleet.index_of("vm-2-0");
    fleet.kill(killed);
    fleet.run(3_000, arrivals(0.5));
    assert!(are_together(&fleet, 117, 118), "{:?}", fleet.views());
    fleet.start(killed);
    fleet.run(3_000, arrivals(0.5));
    assert!(are_together(&fleet, 118, 118), "{:?}", fleet.views());
}

#[test]
fn half_of_the_fleet_may_fail_at_once() {
    let mut fleet = started(118);
    // The first VMs of each data centre: all aggregators, the readers and the planner.
    (0..59).for_each(|index| fleet.kill(index));
    fleet.run(6_000, arrivals(0.3));
    assert!(are_together(&fleet, 59, 118), "{:?}", fleet.views());
    fleet.configure(config(2));
    fleet.run(3_000, arrivals(0.3));
    for vm in fleet.running() {
        let relay = vm.relay.as_ref().expect("it runs");
        assert_eq!(relay.version(), ids::Version::new(2), "{}", vm.name);
    }
}

#[test]
fn a_new_configuration_reaches_all_vms_within_a_second() {
    for size in [36, 118, 330] {
        let mut fleet = started(size);
        fleet.configure(config(2));
        fleet.run(1_000, |_| {});
        let late = fleet.running().filter(|vm| {
            vm.relay.as_ref().is_some_and(|relay| relay.version() < ids::Version::new(2))
        });
        assert_eq!(late.count(), 0, "{size} VMs");
    }
}

#[test]
fn a_leaving_target_gets_no_calls_from_any_vm() {
    let mut fleet = started(118);
    let leaving = busiest(&mut fleet);
    let mut entry = runner(leaving.as_str(), &["alpha", "beta"]);
    entry.is_leaving = true;
    fleet.change(entry);
    fleet.run(500, arrivals(0.5));
    fleet.sent.clear();
    fleet.run(3_000, arrivals(0.5));
    assert_eq!(fleet.sent.get(&leaving), None);
}

/// The target that gets most calls.
fn busiest(fleet: &mut Fleet) -> ids::Target {
    fleet.sent.clear();
    fleet.run(200, arrivals(0.5));
    let busiest = fleet.sent.iter().max_by_key(|(_, calls)| **calls);
    busiest.expect("a target that gets calls").0.clone()
}

/// Lets VMs lose the store and regain it.
fn interrupt_store(fleet: &mut Fleet, vms: &[usize]) {
    for is_up in [false, true] {
        for vm in vms {
            fleet.input(*vm, relay::Input::Store { is_up });
        }
        fleet.run(100, |_| {});
    }
}

/// Removes the target that gets most calls, and changes another one. Returns its name.
fn remove_busiest(fleet: &mut Fleet) -> ids::Target {
    let busiest = busiest(fleet);
    fleet.remove(busiest.as_str());
    let others = ["i-00000000", "i-00000001"];
    let other = others.into_iter().find(|name| *name != busiest.as_str()).expect("one of two");
    fleet.change(relay::target::Entry { slots: 32, ..runner(other, &["alpha"]) });
    busiest
}

#[test]
fn a_target_that_leaves_after_the_aggregator_lost_the_store_gets_no_calls() {
    let mut fleet = started_with(36, 4);
    // It reads the store, as the second VM does, and is the aggregator of its data centre.
    let aggregator = fleet.index_of("vm-0-0");
    fleet.run(3_000, |_| {});
    interrupt_store(&mut fleet, &[aggregator]);
    let left = remove_busiest(&mut fleet);
    fleet.run(500, arrivals(0.5));
    fleet.sent.clear();
    fleet.run(1_500, arrivals(0.5));
    assert_eq!(fleet.sent.get(&left), None);
}

#[test]
fn a_target_that_stays_away_after_all_readers_lost_the_store_gets_no_calls() {
    let mut fleet = started_with(36, 4);
    let readers = ["vm-0-0", "vm-0-1"].map(|name| fleet.index_of(name));
    interrupt_store(&mut fleet, &readers);
    let left = remove_busiest(&mut fleet);
    fleet.run(3_000, arrivals(0.5));
    fleet.sent.clear();
    fleet.run(3_000, arrivals(0.5));
    assert_eq!(fleet.sent.get(&left), None);
}

#[test]
fn calls_within_the_rate_are_not_refused() {
    let mut fleet = started(118);
    fleet.run(2_000, arrivals(0.55));
    (fleet.admitted, fleet.refused) = (0, std::collections::BTreeMap::new());
    fleet.run(10_000, arrivals(0.55));
    let refused = fleet.refused.get("over quota").copied().unwrap_or_default();
    assert!(refused * 100 <= fleet.admitted, "{refused} refused, {} admitted", fleet.admitted);
}

#[test]
fn calls_within_the_rate_are_not_refused_while_vms_fail_and_start() {
    let mut fleet = started(118);
    fleet.run(2_000, arrivals(0.55));
    (fleet.admitted, fleet.refused) = (0, std::collections::BTreeMap::new());
    for index in [0, 20, 45, 70, 95] {
        fleet.kill(index);
        fleet.run(1_000, arrivals(0.55));
        fleet.start(index);
        fleet.run(1_000, arrivals(0.55));
    }
    let refused = fleet.refused.get("over quota").copied().unwrap_or_default();
    assert!(refused * 20 <= fleet.admitted, "{refused} refused, {} admitted", fleet.admitted);
}

#[test]
fn an_account_gets_its_rate_and_no_more_under_overload() {
    let mut fleet = started(118);
    fleet.run(2_000, arrivals(0.55));
    fleet.admitted = 0;
    fleet.run(8_000, arrivals(4.5));
    let units = fleet.admitted as f64 * CALL_UNITS as f64;
    assert!(units <= RATE * 9.0 * 1.1 + 17_000.0, "{units} units");
    assert!(units >= RATE * 8.0 * 0.9, "{units} units");
}

#[test]
fn an_account_gets_no_more_than_its_rate_while_aggregators_fail() {
    let mut fleet = started(118);
    fleet.run(6_000, arrivals(4.5));
    fleet.admitted = 0;
    let mut overload = arrivals(4.5);
    for index in 0..4 {
        fleet.kill(index);
        fleet.run(2_000, &mut overload);
    }
    let units = fleet.admitted as f64 * CALL_UNITS as f64;
    assert!(units <= RATE * 9.0 * 1.1 + 17_000.0, "{units} units");
}

#[test]
fn a_restarted_vm_uses_no_older_configuration_and_no_target_that_has_left() {
    let mut fleet = started(118);
    fleet.configure(config(2));
    let mut entry = runner("i-00000003", &["alpha", "beta"]);
    entry.is_leaving = true;
    fleet.change(entry);
    fleet.run(2_000, |_| {});
    for index in [0, 1, 7, 60, 117] {
        fleet.kill(index);
        fleet.run(500, arrivals(0.3));
        fleet.start(index);
        fleet.sent.clear();
        for _ in 0..50 {
            fleet.run(20, arrivals(0.3));
            let version = fleet.vms[index].relay.as_ref().expect("it runs").version();
            assert!(version.get() != 1, "VM {index}");
        }
        assert_eq!(fleet.sent.get(&ids::Target::from("i-00000003")), None, "VM {index}");
        let version = fleet.vms[index].relay.as_ref().expect("it runs").version();
        assert_eq!(version.get(), 2, "VM {index}");
    }
}

/// Guards against a VM that is not heard, and told nothing, after a restart with its clock set
/// back: incarnations are times of day.
#[test]
fn a_vm_that_restarts_as_a_lower_incarnation_is_told_of_changes() {
    // The first VM of its data centre: the aggregator in the large fleet.
    for (size, restarted) in [(5, "vm-2-0"), (36, "vm-2-0"), (36, "vm-2-3")] {
        let mut fleet = started(size);
        let restarted = fleet.index_of(restarted);
        for incarnation in [2_000, 1_000] {
            fleet.kill(restarted);
            fleet.run(300, |_| {});
            fleet.start_as(restarted, incarnation);
            fleet.run(1_000, |_| {});
        }
        fleet.run(2_000, |_| {});
        assert!(are_together(&fleet, size, size), "{size} VMs: {:?}", fleet.views());
        fleet.configure(config(2));
        fleet.run(2_000, |_| {});
        for vm in fleet.running() {
            let relay = vm.relay.as_ref().expect("it runs");
            assert_eq!(relay.version(), ids::Version::new(2), "{size} VMs, {}", vm.name);
        }
    }
}

/// Time after which each VM that reaches the store goes by a change, in ms.
const APPLY_MS: u64 = 3_000;

/// Guards against a data centre that stays on an old configuration, and sends calls to targets
/// that have left, because its aggregator is told by its own VMs that others read the store.
#[test]
fn a_data_centre_whose_aggregator_is_cut_off_is_told_of_changes() {
    for (size, cut) in [(36, "vm-2-0"), (36, "vm-0-0"), (36, "vm-0-1"), (118, "vm-2-0")] {
        let mut fleet = started_with(size, 4);
        fleet.run(3_000, |_| {});
        let cut = fleet.index_of(cut);
        fleet.cut_off(cut);
        fleet.run(40, |_| {});
        fleet.configure(config(2));
        let left = remove_busiest(&mut fleet);
        fleet.run(APPLY_MS - 200, arrivals_except(0.5, cut));
        fleet.sent.clear();
        fleet.run(2_000, arrivals_except(0.5, cut));
        assert_eq!(fleet.sent.get(&left), None, "{size} VMs, VM {cut}");
        for (index, vm) in fleet.vms.iter().enumerate().filter(|(index, _)| *index != cut) {
            let version = vm.relay.as_ref().expect("it runs").version();
            assert_eq!(version.get(), 2, "{size} VMs, VM {cut} cut off, VM {index}");
        }
    }
}

/// Guards against VMs that stay on an old configuration, or do not know a new VM, because the
/// readers lose one table of the store and go on reading the others.
#[test]
fn readers_that_lose_a_table_are_replaced() {
    use relay::input::Table;
    for (size, table) in
        [(5, Table::Config), (36, Table::Config), (5, Table::Members), (36, Table::Members)]
    {
        let mut fleet = started(size);
        let late = size - 1;
        fleet.kill(late);
        fleet.run(3_000, |_| {});
        for vm in fleet.vms.iter_mut().filter(|vm| vm.follow().is_reader) {
            vm.unread.insert(table);
        }
        fleet.run(40, |_| {});
        fleet.configure(config(2));
        fleet.run(2_000, |_| {});
        for vm in fleet.running() {
            let version = vm.relay.as_ref().expect("it runs").version();
            assert_eq!(version.get(), 2, "{size} VMs, {table:?}, {}", vm.name);
        }
        fleet.run(8_000, |_| {});
        // The others hear it only once they know its new row.
        fleet.start_as(late, 0);
        fleet.run(2_000, |_| {});
        assert!(are_together(&fleet, size, size), "{table:?}: {:?}", fleet.views());
    }
}

/// Guards against a VM that hears the readers, but is told nothing as they do not hear it.
#[test]
fn a_vm_that_nobody_hears_reads_the_store_itself() {
    for (size, unheard) in [(5, "vm-4-0"), (36, "vm-2-0"), (36, "vm-2-3"), (36, "vm-0-0")] {
        let mut fleet = started(size);
        let unheard = fleet.index_of(unheard);
        let name = fleet.vms[unheard].name.clone();
        fleet.vms.iter_mut().for_each(|vm| {
            vm.deaf_to.insert(name.clone());
        });
        // The others have noticed.
        fleet.run(3_000, |_| {});
        fleet.configure(config(2));
        fleet.run(2_000, |_| {});
        for vm in fleet.running() {
            let version = vm.relay.as_ref().expect("it runs").version();
            assert_eq!(version.get(), 2, "{size} VMs, {name} unheard, {}", vm.name);
        }
    }
}

#[test]
fn vms_that_all_start_again_share_one_view_while_calls_are_held() {
    // Time after its start in which a VM holds calls back.
    const HOLD_MS: u64 = 500;
    for size in [36, 118] {
        let mut fleet = started(size);
        (0..size).for_each(|index| fleet.kill(index));
        fleet.run(1_000, |_| {});
        // They start within 0.3 s of each other, in any order.
        let mut next = 0;
        fleet.run(320, |fleet| {
            for _ in 0..size.div_ceil(16).min(size - next) {
                fleet.start(next * 7 % size);
                next += 1;
            }
        });
        assert_eq!(next, size);
        fleet.run(HOLD_MS, |_| {});
        assert!(are_together(&fleet, size, size), "{size} VMs: {:?}", fleet.views());
    }
}
