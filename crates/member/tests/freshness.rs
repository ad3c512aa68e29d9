//! Conditions under which VMs serve or fence themselves.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::{Fleet, Store};

/// Staleness limit of 3 s on the slowest clock, plus one step.
const FENCED_MS: u64 = 3_000 * 1_000 / 970 + fleet::STEP_MS;

#[test]
fn all_vms_start_join_and_serve() {
    let fleet = Fleet::serving(5, 1);
    assert_eq!(fleet.head_version(), ids::Version::new(5));
}

#[test]
fn an_isolated_vm_fences_itself_in_time() {
    let mut fleet = Fleet::serving(5, 2);
    fleet.isolate(3);
    fleet.run(FENCED_MS);
    assert!(!fleet.serves(3));
    assert_eq!(fleet.serving_count(), 4);
    assert_eq!(fleet.vms[3].fenced_reason, Some(member::Reason::Stale));
    fleet.heal();
    fleet.run_until(2_000, |fleet| fleet.serving_count() == 5);
}

#[test]
fn an_outage_of_an_hour_fences_no_vm() {
    let mut fleet = Fleet::serving(5, 3);
    fleet.store = Store::Down;
    for _ in 0..3_600 {
        fleet.run(1_000);
        assert_eq!(fleet.serving_count(), 5, "at {}", fleet.now);
    }
}

#[test]
fn a_slow_table_service_fences_no_vm() {
    let mut fleet = Fleet::serving(5, 4);
    fleet.store = Store::Slow;
    for _ in 0..300 {
        fleet.run(1_000);
        assert_eq!(fleet.serving_count(), 5, "at {}", fleet.now);
    }
}

#[test]
fn an_outage_with_a_dead_minority_fences_no_other_vm() {
    for dead in [1, 2] {
        for outage_first in [true, false] {
            let mut fleet = Fleet::serving(5, 5);
            if outage_first {
                fleet.store = Store::Down;
                fleet.run(5_000);
            }
            (0..dead).for_each(|vm| fleet.kill(vm));
            fleet.store = Store::Down;
            for _ in 0..600 {
                fleet.run(100);
                assert_eq!(fleet.serving_count(), 5 - dead, "at {}", fleet.now);
            }
        }
    }
}

#[test]
fn all_vms_fence_without_table_service_and_majority() {
    let mut fleet = Fleet::serving(5, 6);
    fleet.store = Store::Down;
    fleet.run(5_000);
    (0..3).for_each(|vm| fleet.kill(vm));
    fleet.run(FENCED_MS);
    assert_eq!(fleet.serving_count(), 0);
    fleet.heal();
    fleet.run_until(2_000, |fleet| fleet.serving_count() == 2);
}

#[test]
fn a_resumed_vm_does_not_serve_before_it_has_new_evidence() {
    let mut fleet = Fleet::serving(5, 7);
    fleet.vms[2].frozen = true;
    fleet.run(10_000);
    let op = fleet.withdraw_key(0, "k1");
    fleet.run_until(10_000, |fleet| fleet.outcomes.contains_key(&op));
    assert!(!fleet.serves(2));
    fleet.isolate(2);
    fleet.vms[2].frozen = false;
    fleet.run(10_000);
    assert!(!fleet.serves(2), "it has not been able to look");
    fleet.heal();
    fleet.run_until(2_000, |fleet| fleet.serves(2));
}

#[test]
fn vms_frozen_together_do_not_confirm_one_another() {
    let mut fleet = Fleet::serving(5, 8);
    for vm in 0..3 {
        fleet.vms[vm].frozen = true;
        fleet.vms[vm].listed = false;
        fleet.vms[vm].table_unreachable = true;
        fleet.cuts.extend([(vm, 3), (vm, 4), (3, vm), (4, vm)]);
    }
    for _ in 0..30 {
        fleet.run(1_000);
        fleet.deliver_vm_list();
    }
    assert_eq!(fleet.head_version(), ids::Version::new(8), "they were not removed");
    let op = fleet.withdraw_key(4, "k1");
    fleet.run_until(10_000, |fleet| fleet.outcomes.contains_key(&op));
    assert!(matches!(fleet.outcomes[&op], member::Outcome::InForce { .. }));
    for vm in 0..3 {
        fleet.vms[vm].frozen = false;
    }
    fleet.run(10_000);
    assert_eq!(fleet.serving_count(), 2);
}

#[test]
fn vms_restarted_during_an_outage_serve_only_after_it() {
    let mut fleet = Fleet::serving(5, 9);
    fleet.store = Store::Down;
    (0..5).for_each(|vm| fleet.kill(vm));
    fleet.run(500);
    (0..5).for_each(|vm| fleet.start(vm));
    for _ in 0..600 {
        fleet.run(100);
        assert_eq!(fleet.serving_count(), 0);
    }
    fleet.heal();
    fleet.run_until(5_000, |fleet| fleet.serving_count() == 5);
    let op = fleet.withdraw_key(0, "k1");
    fleet.run_until(5_000, |fleet| fleet.outcomes.contains_key(&op));
    assert!(matches!(fleet.outcomes[&op], member::Outcome::InForce { .. }));
}

#[test]
fn vms_that_cannot_fetch_objects_fence_in_time() {
    let mut fleet = Fleet::serving(5, 10);
    fleet.objects_up = false;
    fleet.accept_bundle(0, "bundle");
    fleet.run(FENCED_MS + 1_000);
    assert_eq!(fleet.serving_count(), 0, "some serve under the old bundle");
}
