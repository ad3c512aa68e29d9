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

fn disturb(fleet: &mut Fleet) {
    let vm = fleet.rng.random_range(0..VMS);
    let other = fleet.rng.random_range(0..VMS);
    match fleet.rng.random_range(0..15) {
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
        12 => fleet.limit(RATE, BURST),
        13 => fleet.limit(RATE / 2, BURST / 2),
        _ => fleet.lag = fleet.rng.random_range(1..300),
    }
    for vm in &mut fleet.vms {
        vm.demand = [0, 0, RATE / 10, RATE / 3, RATE * 4][fleet.rng.random_range(0..5)];
    }
}

fn bounded(seed: u64) -> bool {
    let mut fleet = Fleet::new(VMS, seed, RATE, BURST);
    fleet.doubling = 10;
    fleet.lengths.1 = [100, 1_000, 8_000][fleet.rng.random_range(0..3)];
    fleet.used_percent = fleet.rng.random_range(0..=100);
    fleet.sizes = (1, fleet.rng.random_range(2..BURST / 4));
    for _ in 0..40 {
        disturb(&mut fleet);
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
