//! Compares the outputs of whole sessions with golden files.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
mod fleet;

use fleet::Fleet;

fn assert_session(name: &str, fleet: &Fleet) {
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("sessions");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, fleet.session.as_deref().unwrap_or_default()));
}

#[test]
fn a_call_is_granted_with_borrowed_tokens() {
    let mut fleet = Fleet::new(3, 1, 100, 3_000);
    fleet.session = Some(String::new());
    fleet.call_ms = (300, 300);
    fleet.call(0, 1_800, 200);
    fleet.run(1_000);
    fleet.call(1, 2_800, 2_800);
    fleet.run(1_000);
    fleet.call(2, 500, 500);
    fleet.call(2, 4_000, 4_000);
    fleet.run(500);
    assert_session("borrowed", &fleet);
}

#[test]
fn the_other_homes_are_unreachable() {
    let mut fleet = Fleet::new(3, 2, 100, 3_000);
    fleet.session = Some(String::new());
    fleet.vms[0].isolated = true;
    fleet.call(0, 900, 900);
    fleet.call(0, 900, 900);
    fleet.run(4_000);
    fleet.vms[0].isolated = false;
    fleet.call(0, 900, 900);
    fleet.run(500);
    assert_session("cut-off", &fleet);
}
