//! Compares the outputs of whole sessions with golden files.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::{Fleet, Store};

/// Compares a session with its golden file.
fn assert_session(name: &str, fleet: &Fleet) {
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("sessions");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, fleet.session));
}

#[test]
fn a_key_is_withdrawn_while_a_vm_is_isolated() {
    let mut fleet = Fleet::serving(3, 1);
    fleet.log(2, "is cut off");
    fleet.isolate(2);
    fleet.withdraw_key(0, "k1");
    fleet.run(5_000);
    fleet.log(2, "is healed");
    fleet.heal();
    fleet.run(2_000);
    assert_session("withdrawal-past-a-cut", &fleet);
}

#[test]
fn an_author_crashes_during_an_outage_before_its_write_is_answered() {
    let mut fleet = Fleet::serving(3, 2);
    fleet.store = Store::LosesAnswers;
    fleet.withdraw_key(0, "k1");
    fleet.run(30);
    fleet.log(0, "dies, the table service fails");
    fleet.kill(0);
    fleet.store = Store::Down;
    fleet.run(20_000);
    fleet.log(1, "operator accepts a bundle in the outage");
    fleet.accept_bundle(1, "bundle");
    fleet.run(6_000);
    fleet.log(0, "starts again, the table service answers");
    fleet.heal();
    fleet.start(0);
    fleet.run(5_000);
    assert_session("author-dies-in-an-outage", &fleet);
}

#[test]
fn all_vms_restart_in_an_outage() {
    let mut fleet = Fleet::serving(3, 3);
    fleet.store = Store::Down;
    fleet.run(5_000);
    for vm in 0..3 {
        fleet.log(vm, "restarts");
        fleet.start(vm);
    }
    fleet.run(20_000);
    fleet.log(0, "the table service answers");
    fleet.heal();
    fleet.run(5_000);
    assert_session("restart-of-all-in-an-outage", &fleet);
}

#[test]
fn two_operators_race_while_answers_are_lost() {
    let mut fleet = Fleet::serving(3, 4);
    fleet.store = Store::LosesAnswers;
    fleet.accept_bundle(0, "one");
    fleet.accept_bundle(1, "two");
    fleet.run(500);
    fleet.log(0, "the table service answers");
    fleet.heal();
    fleet.run(5_000);
    assert_session("operators-race", &fleet);
}

#[test]
fn a_vm_is_frozen_beyond_the_staleness_limit() {
    let mut fleet = Fleet::serving(3, 5);
    fleet.log(1, "freezes");
    fleet.vms[1].frozen = true;
    fleet.run(1_000);
    fleet.withdraw_key(0, "k1");
    fleet.run(10_000);
    fleet.log(1, "wakes");
    fleet.vms[1].frozen = false;
    fleet.run(2_000);
    assert_session("freeze", &fleet);
}

#[test]
fn two_vms_start_and_accept_a_bundle_message_by_message() {
    let mut fleet = Fleet::new(2, 6);
    fleet.trace = true;
    fleet.run(900);
    fleet.accept_bundle(1, "bundle");
    fleet.run(300);
    assert_session("message-by-message", &fleet);
}
