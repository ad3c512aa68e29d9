//! Changes to the head by operators and by the VMs themselves.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::{Fleet, Store};
use member::Outcome;

fn refused(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { .. })
}

fn in_force(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::InForce { .. })
}

#[test]
fn a_change_is_in_force_everywhere_within_a_second() {
    let mut fleet = Fleet::serving(5, 1);
    let op = fleet.accept_bundle(1, "bundle");
    let took = fleet.run_until(1_000, |fleet| fleet.outcomes.contains_key(&op));
    println!("in force on 5 VMs after {took} ms");
    let outcome = &fleet.outcomes[&op];
    let fenced = Vec::new();
    let version = fleet.head_version();
    assert_eq!(*outcome, Outcome::InForce { version, fenced });
}

#[test]
fn a_change_reports_an_isolated_vm_as_fenced() {
    let mut fleet = Fleet::serving(5, 2);
    fleet.isolate(4);
    let op = fleet.withdraw_key(1, "k1");
    fleet.run_until(5_000, |fleet| fleet.outcomes.contains_key(&op));
    let fenced = vec![Fleet::name(4)];
    let version = fleet.head_version();
    assert_eq!(fleet.outcomes[&op], Outcome::InForce { version, fenced });
    fleet.heal();
    fleet.run_until(2_000, |fleet| fleet.serving_count() == 5);
}

#[test]
fn concurrent_bundles_yield_one_accepted_and_one_refused() {
    for seed in 0..50 {
        let mut fleet = Fleet::serving(5, seed);
        let one = fleet.accept_bundle(0, "one");
        let two = fleet.accept_bundle(1, "two");
        fleet.run_until(5_000, |fleet| fleet.outcomes.len() == 2);
        let (one, two) = (&fleet.outcomes[&one], &fleet.outcomes[&two]);
        assert!(in_force(one) && refused(two) || refused(one) && in_force(two));
    }
}

#[test]
fn a_concurrent_bundle_and_withdrawal_are_both_applied() {
    let mut fleet = Fleet::serving(5, 3);
    let one = fleet.accept_bundle(0, "one");
    let two = fleet.withdraw_key(1, "k1");
    fleet.run_until(5_000, |fleet| fleet.outcomes.len() == 2);
    assert!(in_force(&fleet.outcomes[&one]));
    assert!(in_force(&fleet.outcomes[&two]));
}

#[test]
fn a_write_whose_answer_is_lost_is_resolved_by_a_read() {
    let mut fleet = Fleet::serving(5, 4);
    fleet.store = Store::LosesAnswers;
    let op = fleet.withdraw_key(0, "k1");
    fleet.run(1_000);
    assert!(!fleet.outcomes.contains_key(&op));
    fleet.store = Store::Up;
    fleet.run_until(1_000, |fleet| fleet.outcomes.contains_key(&op));
    assert!(in_force(&fleet.outcomes[&op]));
}

#[test]
fn a_write_whose_answer_is_lost_is_found_below_a_later_change() {
    let mut fleet = Fleet::serving(5, 5);
    fleet.store = Store::LosesAnswers;
    let op = fleet.accept_bundle(0, "one");
    fleet.run(50);
    fleet.vms[0].table_unreachable = true;
    fleet.store = Store::Up;
    fleet.run(700);
    let later = fleet.accept_bundle(1, "two");
    fleet.run_until(5_000, |fleet| fleet.outcomes.len() == 2);
    assert!(in_force(&fleet.outcomes[&op]));
    assert!(in_force(&fleet.outcomes[&later]));
}

#[test]
fn a_change_during_an_outage_is_refused_and_fences_no_vm() {
    let mut fleet = Fleet::serving(5, 6);
    fleet.store = Store::Down;
    let op = fleet.withdraw_key(0, "k1");
    for _ in 0..300 {
        fleet.run(100);
        assert_eq!(fleet.serving_count(), 5, "at {}", fleet.now);
    }
    assert!(refused(&fleet.outcomes[&op]));
    fleet.heal();
    fleet.run(1_000);
    assert_eq!(fleet.head_version(), ids::Version::new(5));
}

#[test]
fn the_crash_of_an_author_after_its_write_fences_no_vm() {
    let mut fleet = Fleet::serving(5, 7);
    fleet.store = Store::LosesAnswers;
    fleet.withdraw_key(0, "k1");
    fleet.run(30);
    fleet.kill(0);
    fleet.store = Store::Down;
    for _ in 0..300 {
        fleet.run(100);
        assert_eq!(fleet.serving_count(), 4, "at {}", fleet.now);
    }
    fleet.heal();
    let version = ids::Version::new(6);
    fleet.run_until(6_000, |fleet| {
        (1..5).all(|vm| fleet.vms[vm].settled == version && fleet.serves(vm))
    });
}

#[test]
fn a_change_unknown_to_a_majority_is_not_reported_as_in_force() {
    let mut fleet = Fleet::serving(5, 8);
    // Three VMs reach neither the table service nor the other two VMs.
    for vm in 0..3 {
        fleet.vms[vm].table_unreachable = true;
        fleet.cuts.extend([(vm, 3), (vm, 4), (3, vm), (4, vm)]);
    }
    fleet.run(5_000);
    assert_eq!(fleet.serving_count(), 5);
    let op = fleet.withdraw_key(3, "k1");
    fleet.run(20_000);
    assert!(matches!(fleet.outcomes[&op], Outcome::Unknown { .. }));
    assert_eq!(fleet.serving_count(), 5);
    fleet.heal();
    let version = fleet.head_version();
    fleet.run_until(6_000, |fleet| fleet.vms.iter().all(|vm| vm.settled == version));
}

#[test]
fn dead_members_missing_from_the_platform_list_are_removed() {
    let mut fleet = Fleet::serving(5, 9);
    for vm in [1, 2] {
        fleet.kill(vm);
        fleet.vms[vm].listed = false;
    }
    for _ in 0..30 {
        fleet.run(1_000);
        fleet.deliver_vm_list();
    }
    assert_eq!(fleet.head_version(), ids::Version::new(7));
    let head = fleet.vms[0].view.as_ref().unwrap().head().unwrap();
    assert_eq!(head.members.len(), 3);
    assert_eq!(head.witnesses.len(), 3);
}

#[test]
fn a_silent_member_in_the_platform_list_stays() {
    let mut fleet = Fleet::serving(5, 10);
    fleet.kill(1);
    for _ in 0..30 {
        fleet.run(1_000);
        fleet.deliver_vm_list();
    }
    assert_eq!(fleet.head_version(), ids::Version::new(5));
}

#[test]
fn a_live_member_missing_from_the_platform_list_stays() {
    let mut fleet = Fleet::serving(5, 11);
    fleet.vms[1].listed = false;
    for _ in 0..30 {
        fleet.run(1_000);
        fleet.deliver_vm_list();
    }
    assert_eq!(fleet.head_version(), ids::Version::new(5));
}

#[test]
fn a_vm_leaves_and_rejoins() {
    let mut fleet = Fleet::serving(5, 12);
    fleet.leave(2);
    fleet.run_until(2_000, |fleet| fleet.vms[2].left.is_some());
    assert_eq!(fleet.head_version(), ids::Version::new(6));
    fleet.run_until(1_000, |fleet| fleet.vms[0].settled == ids::Version::new(6));
    fleet.start(2);
    fleet.run_until(2_000, |fleet| fleet.serving_count() == 5);
}

/// Guards against a VM that never serves again after a restart with its clock set back:
/// incarnations are times of day.
#[test]
fn a_vm_that_restarts_as_a_lower_incarnation_rejoins() {
    let mut fleet = Fleet::serving(3, 16);
    let before = fleet.vms[2].incarnation;
    fleet.kill(2);
    fleet.run(1_000);
    fleet.start_as(2, ids::Incarnation::new(before.get() - 500));
    fleet.run_until(30_000, |fleet| fleet.serves(2));
}

#[test]
fn leaving_during_an_outage_times_out() {
    let mut fleet = Fleet::serving(5, 13);
    fleet.store = Store::Down;
    fleet.leave(2);
    fleet.run_until(12_000, |fleet| fleet.vms[2].left.is_some());
}

#[test]
fn joining_vms_do_not_replace_the_votes_of_uninformed_witnesses() {
    let mut fleet = Fleet::serving(5, 14);
    for vm in 0..3 {
        fleet.vms[vm].table_unreachable = true;
        let others = (3..9).flat_map(|other| [(vm, other), (other, vm)]);
        fleet.cuts.extend(others);
    }
    let one = fleet.withdraw_key(3, "k1");
    fleet.run(2_000);
    (5..9).for_each(|_| fleet.add_vm());
    fleet.run(5_000);
    let two = fleet.withdraw_key(4, "k2");
    fleet.run(20_000);
    for op in [one, two] {
        assert!(matches!(fleet.outcomes[&op], Outcome::Unknown { .. }));
    }
    assert!((0..3).all(|vm| fleet.serves(vm)));
}

#[test]
fn a_change_does_not_interrupt_serving() {
    let mut fleet = Fleet::serving(5, 15);
    for change in 0..20 {
        let op = fleet.accept_bundle(change % 5, &format!("bundle {change}"));
        while !fleet.outcomes.contains_key(&op) {
            fleet.run(fleet::STEP_MS);
            assert_eq!(fleet.serving_count(), 5, "at {}", fleet.now);
        }
    }
}
