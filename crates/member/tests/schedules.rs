//! Random schedules of faults. The harness checks after every step that no VM
//! serves under a head older than one that was in force or settled, that none
//! reverts and that no withdrawn key is admitted.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::{Fleet, Store};
use rand::Rng as _;

const VMS: usize = 5;

/// Seed of the schedules.
const SEED: u64 = 41;

/// One fault or change, drawn from the fleet's own generator.
fn disturb(fleet: &mut Fleet) {
    let vm = fleet.rng.random_range(0..VMS);
    let other = fleet.rng.random_range(0..VMS);
    let name = format!("{}", fleet.now);
    let what = fleet.rng.random_range(0..20);
    fleet.note(vm, &format!("fault {what} {other}"));
    match what {
        0 => fleet.kill(vm),
        1 | 2 => restart(fleet, vm),
        3 => fleet.vms[vm].frozen = true,
        4 | 5 => fleet.vms[vm].frozen = false,
        6 => fleet.isolate(vm),
        7 => fleet.vms[vm].store_cut = !fleet.vms[vm].store_cut,
        8 | 9 => {
            if !fleet.cuts.remove(&(vm, other)) {
                fleet.cuts.insert((vm, other));
            }
        }
        10 => fleet.cuts.clear(),
        11 => fleet.store = Store::Down,
        12 => fleet.store = Store::LosesAnswers,
        13 => fleet.store = Store::Slow,
        14 => fleet.store = Store::Up,
        15 => fleet.loss = fleet.rng.random_range(0..60),
        16 | 17 => partition(fleet),
        18 => {
            fleet.accept(vm, &name);
        }
        _ => {
            fleet.withdraw(vm, &name);
            fleet.accept(other, &name);
        }
    }
}

/// Cuts the fleet in two, of which one part has no store.
fn partition(fleet: &mut Fleet) {
    let sides: Vec<bool> = (0..VMS).map(|_| fleet.rng.random()).collect();
    for vm in 0..VMS {
        fleet.vms[vm].store_cut = sides[vm];
        let across = (0..VMS).filter(|other| sides[*other] != sides[vm]);
        fleet.cuts.extend(across.map(|other| (vm, other)));
    }
}

/// Starts a VM whose process has ended. A frozen process does not outlive its
/// successor.
fn restart(fleet: &mut Fleet, vm: usize) {
    fleet.kill(vm);
    fleet.start(vm);
}

/// Whether every operator was told the truth.
fn truthful(fleet: &Fleet) -> bool {
    fleet.outcomes.iter().all(|(op, outcome)| {
        let made = fleet.written.contains(&fleet.changes[op]);
        match outcome {
            member::Outcome::InForce { .. } => made,
            member::Outcome::Refused { .. } => !made,
            member::Outcome::Unknown { .. } => true,
        }
    })
}

fn survives(seed: u64) -> bool {
    let mut fleet = Fleet::serving(VMS, seed);
    fleet.lag = fleet.rng.random_range(2..200);
    for _ in 0..60 {
        let calm = [50, 300, 1_000, 4_500][fleet.rng.random_range(0..4)];
        disturb(&mut fleet);
        fleet.run(calm);
    }
    fleet.heal();
    fleet.lag = 5;
    for vm in 0..VMS {
        if fleet.vms[vm].view.is_none() {
            fleet.start(vm);
        }
    }
    fleet.until(20_000, |fleet| {
        let version = fleet.head();
        fleet.count() == VMS && fleet.vms.iter().all(|vm| vm.settled == version)
    });
    let op = fleet.withdraw(0, "last");
    fleet.until(10_000, |fleet| fleet.outcomes.contains_key(&op));
    let accepted = matches!(fleet.outcomes[&op], member::Outcome::InForce { .. });
    accepted && truthful(&fleet)
}

#[test]
fn nothing_older_serves_under_random_faults() {
    let generator = quickcheck::Gen::from_size_and_seed(100, SEED);
    println!("seed {SEED}");
    quickcheck::QuickCheck::new().rng(generator).tests(60).quickcheck(survives as fn(u64) -> bool);
}
