//! Random schedules of faults. After every step the harness checks that no VM
//! serves under a head older than one reported as settled or in force, that no
//! VM reverts to an older head, and that no withdrawn key is admitted.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::{Fleet, Store};
use rand::Rng as _;

const VMS: usize = 5;

/// Seed from which the schedules are generated.
const SEED: u64 = 41;

/// Injects one fault or change, drawn from the fleet's random generator.
fn inject_fault(fleet: &mut Fleet) {
    let vm = fleet.rng.random_range(0..VMS);
    let other = fleet.rng.random_range(0..VMS);
    let name = format!("{}", fleet.now);
    let kind = fleet.rng.random_range(0..20);
    fleet.log(vm, &format!("fault {kind} {other}"));
    match kind {
        0 => fleet.kill(vm),
        1 | 2 => restart(fleet, vm),
        3 => fleet.vms[vm].frozen = true,
        4 | 5 => fleet.vms[vm].frozen = false,
        6 => fleet.isolate(vm),
        7 => fleet.vms[vm].table_unreachable = !fleet.vms[vm].table_unreachable,
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
        15 => fleet.loss_percent = fleet.rng.random_range(0..60),
        16 | 17 => partition(fleet),
        18 => {
            fleet.accept_bundle(vm, &name);
        }
        _ => {
            fleet.withdraw_key(vm, &name);
            fleet.accept_bundle(other, &name);
        }
    }
}

/// Partitions the fleet in two; one side cannot reach the table service.
fn partition(fleet: &mut Fleet) {
    let sides: Vec<bool> = (0..VMS).map(|_| fleet.rng.random()).collect();
    for vm in 0..VMS {
        fleet.vms[vm].table_unreachable = sides[vm];
        let across = (0..VMS).filter(|other| sides[*other] != sides[vm]);
        fleet.cuts.extend(across.map(|other| (vm, other)));
    }
}

/// Kills the process of a VM, even if frozen, and starts a new one.
fn restart(fleet: &mut Fleet, vm: usize) {
    fleet.kill(vm);
    fleet.start(vm);
}

/// Whether the outcome of every change agrees with what was written.
fn outcomes_match_writes(fleet: &Fleet) -> bool {
    fleet.outcomes.iter().all(|(op, outcome)| {
        let made = fleet.written.contains(&fleet.changes[op]);
        match outcome {
            member::Outcome::InForce { .. } => made,
            member::Outcome::Refused { .. } => !made,
            member::Outcome::Unknown { .. } => true,
        }
    })
}

fn recovers(seed: u64) -> bool {
    let mut fleet = Fleet::serving(VMS, seed);
    fleet.max_delay_ms = fleet.rng.random_range(2..200);
    for _ in 0..60 {
        let pause_ms = [50, 300, 1_000, 4_500][fleet.rng.random_range(0..4)];
        inject_fault(&mut fleet);
        fleet.run(pause_ms);
    }
    fleet.heal();
    fleet.max_delay_ms = 5;
    for vm in 0..VMS {
        if fleet.vms[vm].view.is_none() {
            fleet.start(vm);
        }
    }
    fleet.run_until(20_000, |fleet| {
        let version = fleet.head_version();
        fleet.serving_count() == VMS && fleet.vms.iter().all(|vm| vm.settled == version)
    });
    let op = fleet.withdraw_key(0, "last");
    fleet.run_until(10_000, |fleet| fleet.outcomes.contains_key(&op));
    let accepted = matches!(fleet.outcomes[&op], member::Outcome::InForce { .. });
    accepted && outcomes_match_writes(&fleet)
}

#[test]
fn no_vm_serves_an_outdated_head_under_random_faults() {
    let generator = quickcheck::Gen::from_size_and_seed(100, SEED);
    println!("seed {SEED}");
    quickcheck::QuickCheck::new().rng(generator).tests(60).quickcheck(recovers as fn(u64) -> bool);
}
