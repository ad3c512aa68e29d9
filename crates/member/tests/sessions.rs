//! Whole sessions against golden files: what each VM says as it happens.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::{Fleet, Store};

/// Compares a session with its golden file.
fn check(name: &str, fleet: &Fleet) {
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("sessions");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, fleet.session));
}

#[test]
fn a_key_is_withdrawn_past_a_vm_that_is_cut_off() {
    let mut fleet = Fleet::serving(3, 1);
    fleet.note(2, "is cut off");
    fleet.isolate(2);
    fleet.withdraw(0, "k1");
    fleet.run(5_000);
    fleet.note(2, "is healed");
    fleet.heal();
    fleet.run(2_000);
    check("withdrawal-past-a-cut", &fleet);
}

#[test]
fn the_author_dies_and_its_answer_is_lost_in_an_outage() {
    let mut fleet = Fleet::serving(3, 2);
    fleet.store = Store::LosesAnswers;
    fleet.withdraw(0, "k1");
    fleet.run(30);
    fleet.note(0, "dies, the table service fails");
    fleet.kill(0);
    fleet.store = Store::Down;
    fleet.run(20_000);
    fleet.note(1, "operator accepts a bundle in the outage");
    fleet.accept(1, "bundle");
    fleet.run(6_000);
    fleet.note(0, "starts again, the table service answers");
    fleet.heal();
    fleet.start(0);
    fleet.run(5_000);
    check("author-dies-in-an-outage", &fleet);
}

#[test]
fn all_vms_restart_in_an_outage() {
    let mut fleet = Fleet::serving(3, 3);
    fleet.store = Store::Down;
    fleet.run(5_000);
    for vm in 0..3 {
        fleet.note(vm, "restarts");
        fleet.start(vm);
    }
    fleet.run(20_000);
    fleet.note(0, "the table service answers");
    fleet.heal();
    fleet.run(5_000);
    check("restart-of-all-in-an-outage", &fleet);
}

#[test]
fn two_operators_race_while_answers_are_lost() {
    let mut fleet = Fleet::serving(3, 4);
    fleet.store = Store::LosesAnswers;
    fleet.accept(0, "one");
    fleet.accept(1, "two");
    fleet.run(500);
    fleet.note(0, "the table service answers");
    fleet.heal();
    fleet.run(5_000);
    check("operators-race", &fleet);
}

#[test]
fn a_vm_is_frozen_past_every_lease() {
    let mut fleet = Fleet::serving(3, 5);
    fleet.note(1, "freezes");
    fleet.vms[1].frozen = true;
    fleet.run(1_000);
    fleet.withdraw(0, "k1");
    fleet.run(10_000);
    fleet.note(1, "wakes");
    fleet.vms[1].frozen = false;
    fleet.run(2_000);
    check("freeze", &fleet);
}

#[test]
fn two_vms_start_and_accept_a_bundle_message_by_message() {
    let mut fleet = Fleet::new(2, 6);
    fleet.trace = true;
    fleet.run(900);
    fleet.accept(1, "bundle");
    fleet.run(300);
    check("message-by-message", &fleet);
}
