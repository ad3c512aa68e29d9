//! Traffic and refusals of one account with 330 VMs.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::Fleet;

const VMS: usize = 330;
const RATE: u64 = 26_000;
const BURST: u64 = 52_000;
const SECONDS: u64 = 20;

/// Size of the TCP, IP and WebSocket headers of a message, in bytes.
const HEADER_BYTES: u64 = 46;

#[test]
fn traffic_and_refusals_of_one_account_on_330_vms() {
    let mut fleet = Fleet::new(VMS, 1, RATE, BURST);
    for vm in &mut fleet.vms {
        vm.demand = RATE * 7 / 10 / VMS as u64;
        (vm.bytes, vm.messages) = (0, 0);
    }
    let from = fleet.now;
    fleet.run(SECONDS * 1_000);
    let mut bytes: Vec<_> =
        fleet.vms.iter().map(|vm| vm.bytes + vm.messages * HEADER_BYTES).collect();
    bytes.sort_unstable();
    let used = fleet.used(from) as f64 / (RATE * SECONDS) as f64;
    let (granted, refused) = (fleet.uses.len(), fleet.refusals.len());
    let mean = bytes.iter().sum::<u64>() / VMS as u64 / SECONDS;
    let most = bytes[VMS - 1] / SECONDS;
    println!(
        "{used:.3} of the rate used, {granted} granted, {refused} refused; {mean} B/s at a VM in \
         the mean, {most} at the busiest home"
    );
    assert!(fleet.within_limits());
    assert!(refused * 1_000 <= granted);
}
