//! In every time window, at most the burst plus the rate times the length of the
//! window is used, under random schedules of faults.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::Fleet;
use rand::Rng as _;

const VMS: usize = 5;
const RATE: u64 = 5_000;
const BURST: u64 = 10_000;

/// Seed from which the schedules are generated.
const SEED: u64 = 44;

fn inject_fault(fleet: &mut Fleet, burst: u64) {
    let vm = fleet.rng.random_range(0..VMS);
    let other = fleet.rng.random_range(0..VMS);
    match fleet.rng.random_range(0..17) {
        0 => fleet.kill(vm),
        1 | 2 => {
            fleet.kill(vm);
            fleet.restart(vm);
            fleet.renew_head();
        }
        3 => fleet.vms[vm].frozen = true,
        4 | 5 => fleet.vms[vm].frozen = false,
        6 => fleet.vms[vm].isolated = true,
        7 | 8 => fleet.vms[vm].isolated = false,
        9 => {
            fleet.cuts.insert((vm, other));
        }
        10 => fleet.cuts.clear(),
        11 => fleet.loss_percent = fleet.rng.random_range(0..50),
        12 => fleet.set_limit(RATE, burst),
        13 => fleet.set_limit(RATE / 2, burst / 2),
        14 | 15 => {
            fleet.vms[vm].isolated = true;
            fleet.vms[vm].removed = true;
            fleet.renew_head();
            fleet.vms[vm].removed = false;
        }
        _ => fleet.max_delay_ms = fleet.rng.random_range(1..300),
    }
}

/// Sets random demand, or the whole rate on every VM.
fn set_demand(fleet: &mut Fleet, saturated: bool) {
    for vm in &mut fleet.vms {
        let some = [0, 0, RATE / 10, RATE / 3, RATE * 4][fleet.rng.random_range(0..5)];
        vm.demand = if saturated { RATE } else { some };
    }
}

fn stays_within_limits(seed: u64) -> bool {
    // A small burst reveals an excessive rate, a large one excessive leases.
    let burst = [RATE / 10, RATE * 2][usize::from(seed.is_multiple_of(2))];
    let mut fleet = Fleet::new(VMS, seed, RATE, burst);
    fleet.duplicate_percent = 10;
    fleet.call_ms.1 = [100, 1_000, 8_000][fleet.rng.random_range(0..3)];
    let saturated = fleet.rng.random();
    fleet.used_percent = if saturated { 100 } else { fleet.rng.random_range(0..=100) };
    fleet.reservations = (1, fleet.rng.random_range(2..burst / 4));
    for _ in 0..40 {
        inject_fault(&mut fleet, burst);
        set_demand(&mut fleet, saturated);
        let pause_ms = [50, 400, 2_000, 5_000][fleet.rng.random_range(0..4)];
        fleet.run(pause_ms);
    }
    fleet.within_limits()
}

#[test]
fn no_window_exceeds_the_limit_under_random_faults() {
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .tests(40)
        .quickcheck(stays_within_limits as fn(u64) -> bool);
}

#[test]
fn refill_that_a_full_bucket_would_have_lost_is_not_refunded() {
    let mut fleet = Fleet::new(1, 1, 1_000, 10_000);
    fleet.call_ms = (12_000, 12_000);
    fleet.call(0, 9_900, 0);
    fleet.run(11_000);
    fleet.call(0, 9_900, 9_900);
    fleet.run(1_500);
    fleet.call(0, 9_900, 9_900);
    fleet.run(1_000);
    assert_eq!(fleet.refusals.len(), 1);
    assert!(fleet.within_limits());
}

#[test]
fn room_is_refunded_only_once() {
    let mut fleet = Fleet::new(1, 1, 1_000, 10_000);
    fleet.call_ms = (6_000, 6_000);
    fleet.call(0, 4_900, 0);
    fleet.call(0, 4_900, 0);
    fleet.run(5_000);
    fleet.call(0, 5_100, 5_100);
    fleet.run(1_100);
    fleet.call(0, 9_000, 9_000);
    fleet.run(1_000);
    assert!(fleet.within_limits());
    assert_eq!(fleet.refusals.len(), 1);
}

#[test]
fn unused_tokens_are_refunded() {
    let mut fleet = Fleet::new(1, 1, 10, 10_000);
    fleet.call_ms = (100, 100);
    for _ in 0..50 {
        fleet.call(0, 9_000, 10);
        fleet.run(200);
    }
    assert_eq!(fleet.refusals.len(), 0);
}

#[test]
fn unused_borrowed_tokens_are_refunded() {
    let mut fleet = Fleet::new(5, 1, 10, 10_000);
    fleet.call_ms = (100, 100);
    for _ in 0..50 {
        fleet.call(0, 8_000, 10);
        fleet.run(1_500);
    }
    assert_eq!(fleet.refusals.len(), 0);
    assert!(fleet.within_limits());
}

/// VM 0 borrows the tokens of three homes for a call that cannot be granted
/// because VM 4 is unreachable. After `wait` ms, all VMs use all their tokens.
fn borrow_wait_and_use(wait: u64) -> Fleet {
    let mut fleet = Fleet::new(VMS, 1, RATE, BURST);
    fleet.cuts.extend((0..4).flat_map(|vm| [(vm, 4), (4, vm)]));
    fleet.call(0, BURST - 10, BURST - 10);
    fleet.run(wait);
    for vm in 0..VMS {
        (0..40).for_each(|_| fleet.call(vm, 250, 250));
    }
    fleet.run(200);
    fleet
}

#[test]
fn lent_tokens_occupy_room_until_they_expire() {
    for wait in [200, 500, 900, 990, 1_010, 1_100, 1_500] {
        let fleet = borrow_wait_and_use(wait);
        assert!(fleet.within_limits(), "after {wait} ms");
        let used = fleet.used(0);
        assert!(used * 100 >= BURST * 95, "{used} used after {wait} ms");
    }
}
