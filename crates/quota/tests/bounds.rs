//! No window has more than burst plus rate times its length, under random
//! schedules of faults.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::Fleet;
use rand::Rng as _;

const VMS: usize = 5;
const RATE: u64 = 5_000;
const BURST: u64 = 10_000;

/// Seed of the schedules.
const SEED: u64 = 44;

fn disturb(fleet: &mut Fleet, burst: u64) {
    let vm = fleet.rng.random_range(0..VMS);
    let other = fleet.rng.random_range(0..VMS);
    match fleet.rng.random_range(0..17) {
        0 => fleet.kill(vm),
        1 | 2 => {
            fleet.kill(vm);
            fleet.restart(vm);
            fleet.join();
        }
        3 => fleet.vms[vm].frozen = true,
        4 | 5 => fleet.vms[vm].frozen = false,
        6 => fleet.vms[vm].isolated = true,
        7 | 8 => fleet.vms[vm].isolated = false,
        9 => {
            fleet.cuts.insert((vm, other));
        }
        10 => fleet.cuts.clear(),
        11 => fleet.loss = fleet.rng.random_range(0..50),
        12 => fleet.limit(RATE, burst),
        13 => fleet.limit(RATE / 2, burst / 2),
        14 | 15 => {
            fleet.vms[vm].isolated = true;
            fleet.vms[vm].removed = true;
            fleet.join();
            fleet.vms[vm].removed = false;
        }
        _ => fleet.lag = fleet.rng.random_range(1..300),
    }
}

/// Random demand, or more than the rate on every VM.
fn demand(fleet: &mut Fleet, hungry: bool) {
    for vm in &mut fleet.vms {
        let some = [0, 0, RATE / 10, RATE / 3, RATE * 4][fleet.rng.random_range(0..5)];
        vm.demand = if hungry { RATE } else { some };
    }
}

fn bounded(seed: u64) -> bool {
    // A small burst shows a rate that is too high, a large one what leases hold.
    let burst = [RATE / 10, RATE * 2][usize::from(seed.is_multiple_of(2))];
    let mut fleet = Fleet::new(VMS, seed, RATE, burst);
    fleet.doubling = 10;
    fleet.lengths.1 = [100, 1_000, 8_000][fleet.rng.random_range(0..3)];
    let hungry = fleet.rng.random();
    fleet.used_percent = if hungry { 100 } else { fleet.rng.random_range(0..=100) };
    fleet.sizes = (1, fleet.rng.random_range(2..burst / 4));
    for _ in 0..40 {
        disturb(&mut fleet, burst);
        demand(&mut fleet, hungry);
        let calm = [50, 400, 2_000, 5_000][fleet.rng.random_range(0..4)];
        fleet.run(calm);
    }
    fleet.within_limits()
}

#[test]
fn no_window_exceeds_the_limit_under_random_faults() {
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .tests(40)
        .quickcheck(bounded as fn(u64) -> bool);
}

#[test]
fn what_a_full_bucket_would_have_lost_is_not_given_back() {
    let mut fleet = Fleet::new(1, 1, 1_000, 10_000);
    fleet.lengths = (12_000, 12_000);
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
fn room_is_given_back_once() {
    let mut fleet = Fleet::new(1, 1, 1_000, 10_000);
    fleet.lengths = (6_000, 6_000);
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
fn what_is_not_used_is_given_back() {
    let mut fleet = Fleet::new(1, 1, 10, 10_000);
    fleet.lengths = (100, 100);
    for _ in 0..50 {
        fleet.call(0, 9_000, 10);
        fleet.run(200);
    }
    assert_eq!(fleet.refusals.len(), 0);
}

#[test]
fn borrowed_tokens_that_are_not_used_are_given_back() {
    let mut fleet = Fleet::new(5, 1, 10, 10_000);
    fleet.lengths = (100, 100);
    for _ in 0..50 {
        fleet.call(0, 8_000, 10);
        fleet.run(1_500);
    }
    assert_eq!(fleet.refusals.len(), 0);
    assert!(fleet.within_limits());
}

/// Borrows three homes' tokens at VM 0 for a call that VM 4 keeps from being
/// granted, waits, and then uses up everything everywhere.
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
fn lent_tokens_take_room_until_they_expire() {
    for wait in [200, 500, 900, 990, 1_010, 1_100, 1_500] {
        let fleet = borrow_wait_and_use(wait);
        assert!(fleet.within_limits(), "after {wait} ms");
        let used = fleet.used(0);
        assert!(used * 100 >= BURST * 95, "{used} used after {wait} ms");
    }
}
