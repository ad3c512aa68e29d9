//! Traffic and latency of the head with 330 VMs.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::{Fleet, Store};

const VMS: usize = 330;

/// Control traffic allowed per VM, in bytes per second.
const BYTES_PER_SECOND: u64 = 2_000;

/// Size of the TCP, IP and WebSocket headers of a message, in bytes.
const HEADER_BYTES: u64 = 46;

/// Runs for `seconds` and returns the traffic of the median and of the busiest
/// VM, in bytes per second.
fn traffic(fleet: &mut Fleet, seconds: u64) -> (u64, u64) {
    for vm in &mut fleet.vms {
        vm.traffic = fleet::Traffic::default();
    }
    fleet.reads = 0;
    for _ in 0..seconds {
        fleet.run(1_000);
        assert_eq!(fleet.serving_count(), VMS, "at {}", fleet.now);
    }
    let bytes = |vm: &fleet::Vm| vm.traffic.bytes + vm.traffic.messages * HEADER_BYTES;
    let mut all: Vec<_> = fleet.vms.iter().map(|vm| bytes(vm) / seconds).collect();
    all.sort_unstable();
    (all[VMS / 2], all[VMS - 1])
}

#[test]
fn control_traffic_is_within_the_budget() {
    let mut fleet = Fleet::with_initial_members(VMS, 1);
    fleet.run(6_000);
    let (median, most) = traffic(&mut fleet, 8);
    let reads = fleet.reads / 8;
    println!("calm: {median} B/s at the median VM, {most} at the busiest, {reads} reads/s");
    assert!(most <= BYTES_PER_SECOND);
    assert!(reads <= 20);
}

#[test]
fn a_change_is_in_force_on_all_vms_within_ten_seconds() {
    let mut fleet = Fleet::with_initial_members(VMS, 2);
    fleet.run(6_000);
    let op = fleet.withdraw_key(200, "k1");
    let took = fleet.run_until(10_000, |fleet| fleet.outcomes.contains_key(&op));
    println!("in force on {VMS} VMs after {took} ms");
    let version = ids::Version::new(2);
    let fenced = Vec::new();
    let expected = member::Outcome::InForce { version, fenced };
    assert_eq!(fleet.outcomes[&op], expected);
}

#[test]
fn an_outage_fences_no_vm_of_a_large_fleet() {
    let mut fleet = Fleet::with_initial_members(VMS, 3);
    fleet.run(6_000);
    fleet.store = Store::Down;
    fleet.run(5_000);
    let (median, most) = traffic(&mut fleet, 8);
    println!("outage: {median} B/s at the median VM, {most} at the busiest");
    assert!(median <= BYTES_PER_SECOND);
}
