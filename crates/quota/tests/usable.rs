//! How much of a rate can be used, and how many calls within it are refused.

mod fleet;

use fleet::Fleet;

const RATE: u64 = 20_000;
const BURST: u64 = 40_000;
const SECONDS: u64 = 120;

/// What a bucket that is full at the start adds to the used fraction of the rate.
const HEAD_START: f64 = BURST as f64 / (RATE * SECONDS) as f64;

/// Runs the fleet and prints its use and refusals. Returns the used fraction of
/// the rate, and the fraction of calls refused beyond those that one bucket for
/// all VMs would have refused.
fn measure(case: &str, fleet: &mut Fleet) -> (f64, f64) {
    let from = fleet.now;
    let before = (fleet.uses.len(), fleet.refusals.len());
    let bytes = |fleet: &Fleet| fleet.vms.iter().map(|vm| vm.bytes).sum::<u64>();
    let bytes_before = bytes(fleet);
    fleet.run(SECONDS * 1_000);
    let used = fleet.used(from) as f64 / (RATE * SECONDS) as f64;
    let granted = fleet.uses.len() - before.0;
    let refused = fleet.refusals.len() - before.1;
    let expected = fleet.refused_by_one_bucket(RATE, BURST, from);
    let wrongful = refused.saturating_sub(expected);
    let traffic = (bytes(fleet) - bytes_before) / SECONDS / fleet.vms.len() as u64;
    println!(
        "{case}: {used:.3} of the rate used, {granted} granted, {refused} refused, {expected} by one \
         bucket, {wrongful} inside the rate, {traffic} B/s at a VM"
    );
    assert!(fleet.within_limits(), "{case}: more than the limit");
    (used, wrongful as f64 / (granted + refused) as f64)
}

#[test]
fn uneven_load_can_use_95_percent_of_the_rate() {
    let mut fleet = Fleet::new(5, 1, RATE, BURST);
    fleet.vms[0].demand = RATE * 3 / 2;
    let (used, _) = measure("all calls on one of 5 VMs, 1.5 times the rate", &mut fleet);
    assert!(used >= 0.95 + HEAD_START);
}

#[test]
fn uneven_load_within_the_rate_is_rarely_refused() {
    let mut fleet = Fleet::new(5, 2, RATE, BURST);
    fleet.vms[0].demand = RATE * 7 / 10;
    let (_, wrongful) = measure("all calls on one of 5 VMs, 0.7 of the rate", &mut fleet);
    assert!(wrongful <= 0.001);
}

#[test]
fn even_load_within_the_rate_is_rarely_refused() {
    let mut fleet = Fleet::new(5, 3, RATE, BURST);
    fleet.vms.iter_mut().for_each(|vm| vm.demand = RATE * 7 / 50);
    let (_, wrongful) = measure("even load on 5 VMs, 0.7 of the rate", &mut fleet);
    assert!(wrongful <= 0.001);
}

#[test]
fn an_even_overload_can_use_95_percent_of_the_rate() {
    let mut fleet = Fleet::new(5, 4, RATE, BURST);
    fleet.vms.iter_mut().for_each(|vm| vm.demand = RATE * 3 / 10);
    let (used, _) = measure("even load on 5 VMs, 1.5 times the rate", &mut fleet);
    assert!(used >= 0.95 + HEAD_START);
}

#[test]
fn calls_are_charged_what_they_use() {
    let mut fleet = Fleet::new(5, 5, RATE, BURST);
    fleet.used_percent = 10;
    fleet.vms.iter_mut().for_each(|vm| vm.demand = RATE * 6 / 25);
    let case = "even load on 5 VMs, reserving 1.2 and using 0.66 of the rate";
    let (_, wrongful) = measure(case, &mut fleet);
    assert!(wrongful <= 0.01);
}

#[test]
fn uneven_load_with_refunds_is_rarely_refused() {
    let mut fleet = Fleet::new(5, 6, RATE, BURST);
    fleet.used_percent = 10;
    fleet.vms[2].demand = RATE * 6 / 5;
    let case = "all calls on one of 5 VMs, reserving 1.2 and using 0.66 of the rate";
    let (_, wrongful) = measure(case, &mut fleet);
    assert!(wrongful <= 0.05);
}

#[test]
fn a_dead_vm_costs_at_most_its_share() {
    let mut fleet = Fleet::new(5, 7, RATE, BURST);
    fleet.kill(4);
    fleet.vms[0].demand = RATE;
    let (used, _) = measure("one of 5 VMs dead but a member, all calls on one", &mut fleet);
    assert!(used >= 0.75);
}

#[test]
fn a_dead_vm_causes_few_refusals_at_0_7_of_the_rate() {
    let mut fleet = Fleet::new(5, 10, RATE, BURST);
    fleet.kill(4);
    (0..4).for_each(|vm| fleet.vms[vm].demand = RATE * 7 / 40);
    let case = "one of 5 VMs dead but a member, 0.7 of the rate on the others";
    let (_, wrongful) = measure(case, &mut fleet);
    assert!(wrongful <= 0.001);
}

#[test]
fn a_restart_causes_few_refusals() {
    let mut fleet = Fleet::new(5, 11, RATE, BURST);
    fleet.vms.iter_mut().for_each(|vm| vm.demand = RATE * 7 / 50);
    fleet.kill(1);
    fleet.restart(1);
    fleet.renew_head();
    let case = "one of 5 VMs restarted, even load, 0.7 of the rate";
    let (_, wrongful) = measure(case, &mut fleet);
    assert!(wrongful <= 0.001);
}

#[test]
fn a_partition_leaves_the_reachable_shares_usable() {
    let mut fleet = Fleet::new(5, 12, RATE, BURST);
    fleet.vms[0].demand = RATE * 7 / 10;
    for vm in 0..2 {
        fleet.cuts.extend((2..5).flat_map(|other| [(vm, other), (other, vm)]));
    }
    let case = "all calls on one of 5 VMs that reaches one other, 0.7 of the rate";
    let (used, _) = measure(case, &mut fleet);
    assert!(used >= 0.38, "its own and the other's share are two fifths");
}

#[test]
fn any_vm_grants_a_call_as_large_as_the_burst() {
    let mut fleet = Fleet::new(5, 8, RATE, BURST);
    fleet.call(3, BURST * 99 / 100, BURST);
    fleet.run(200);
    assert_eq!(fleet.uses.len(), 1);
    fleet.call(3, BURST + 1, 1);
    let reason = fleet.refusals.last().map(|(_, _, reason)| *reason);
    assert_eq!(reason, Some(quota::Reason::TooLarge));
}

#[test]
fn a_share_below_one_token_per_second_is_usable() {
    let mut fleet = Fleet::new(5, 9, 1, 3);
    fleet.reservations = (1, 1);
    fleet.vms[0].demand = 2;
    let from = fleet.now;
    fleet.run(300_000);
    let used = fleet.used(from) as f64 / 300.0;
    println!("a rate of 1 on 5 VMs: {used:.3} of the rate used");
    assert!(fleet.within_limits());
    assert!(used >= 0.95 + 3.0 / 300.0);
}
