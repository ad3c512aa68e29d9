//! Commands of the built program that talk to a VM, against a fake one.

use std::fs;

use crate::fake;
use bundle::signed;
use engine::report;
use node::operator;

const BUNDLE: &str = "\
format: 1
deployment: demo
centres: [north]
accounts:
  - name: mayors
    class: paid
    rate: 100
    burst: 1000
    keys: [{id: mayors-1, digest: 0000000000000000000000000000000000000000000000000000000000000001}]
weights: {loads_per_second: 1.5, loads_at_once: 10}
";

const IN_FORCE: &str = r#"{"in-force":{"version":7,"fenced":[]}}"#;

fn document() -> String {
    signed::sign(BUNDLE, &signed::Secret::new([7; 32]), "alice", 42).to_json()
}

/// The reply to a request for the document in force.
fn document_reply() -> String {
    serde_json::json!({ "document": document() }).to_string()
}

/// Runs the program against `vm` in a directory with a bundle and a signed document.
fn run_against(vm: &fake::Vm, arguments: &[&str]) -> fake::Run {
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("bundle.yaml"), BUNDLE).unwrap();
    fs::write(directory.path().join("bundle.signed"), document()).unwrap();
    let address = vm.address.to_string();
    fake::run(directory.path(), &[arguments, &["--vm", &address]].concat())
}

fn status(ready: bool, version: u64, digest: Option<ids::Digest>) -> String {
    let mut status = node::operator::Status {
        vm: "vm-1".to_owned(),
        ready,
        version: ids::Version::new(version),
        bundle: digest,
        ..node::operator::Status::default()
    };
    if !ready {
        "fenced: no fresh view of the head".clone_into(&mut status.reason);
        status.alarms.push("the table service does not answer; look at it".to_owned());
    }
    serde_json::json!({ "status": status }).to_string()
}

#[test]
fn accept_reports_the_version_in_force() {
    let vm = fake::Vm::new(&[("POST /v1/accept?replaces=6", IN_FORCE)]);
    let run = run_against(&vm, &["accept", "bundle.signed", "--replaces", "6"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(run.out, "in force as version 7 on every VM that serves\n");
    assert_eq!(vm.requests()[0].body, document());
}

#[test]
fn accept_names_the_vms_that_are_fenced() {
    let reply = r#"{"in-force":{"version":7,"fenced":["vm-3","vm-4"]}}"#;
    let vm = fake::Vm::new(&[("POST /v1/accept", reply)]);
    let run = run_against(&vm, &["accept", "bundle.signed"]);
    assert_eq!(run.code, 0);
    assert!(run.out.contains("fenced") && run.out.contains("vm-3, vm-4"), "{}", run.out);
}

#[test]
fn accept_reports_a_refusal_and_rejects_an_unsigned_bundle() {
    let reply = r#"{"refused":{"reason":"another change came first"}}"#;
    let vm = fake::Vm::new(&[("POST /v1/accept", reply)]);
    let run = run_against(&vm, &["accept", "bundle.signed"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("another change came first"));
    assert_eq!(run_against(&vm, &["accept", "bundle.yaml"]).code, 2);
}

#[test]
fn accept_reports_what_is_in_force_after_a_lost_response() {
    let digest = ids::Digest::of(document().as_bytes());
    let in_force = status(true, 7, Some(digest));
    let vm = fake::Vm::new(&[("POST /v1/accept", ""), ("GET /v1/status", &in_force)]);
    let run = run_against(&vm, &["accept", "bundle.signed"]);
    assert_eq!(run.code, 3);
    assert!(run.err.contains("it is in force on vm-1 as version 7"), "{}", run.err);

    let not_in_force = status(true, 6, None);
    let unknown = r#"{"unknown":{"reason":"no answer yet"}}"#;
    let vm = fake::Vm::new(&[("POST /v1/accept", unknown), ("GET /v1/status", &not_in_force)]);
    let run = run_against(&vm, &["accept", "bundle.signed"]);
    assert_eq!(run.code, 3);
    assert!(run.err.contains("it is not in force on vm-1"), "{}", run.err);
}

#[test]
fn the_next_vm_is_tried_if_no_connection_was_made() {
    // Nothing listens on this port: binding it needs privileges that a test does not have.
    let address = "127.0.0.1:1".to_owned();
    let vm = fake::Vm::new(&[("POST /v1/amend", IN_FORCE)]);
    let run = run_against(&vm, &["drain", "runner-1", "--vm", &address]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(vm.requests()[0].body, r#"{"drain":"runner-1"}"#);

    let directory = tempfile::tempdir().unwrap();
    let run = fake::run(directory.path(), &["state", "--vm", &address]);
    assert_eq!(run.code, 3, "{run:?}");
}

#[test]
fn a_request_whose_response_is_lost_is_not_sent_to_another_vm() {
    let first = fake::Vm::new(&[("POST /v1/amend", "")]);
    let second = fake::Vm::new(&[("POST /v1/amend", IN_FORCE)]);
    let directory = tempfile::tempdir().unwrap();
    let vms = [first.address.to_string(), second.address.to_string()];
    let run = fake::run(directory.path(), &["drain", "runner-1", "--vm", &vms[0], "--vm", &vms[1]]);
    assert_eq!(run.code, 3, "{run:?}");
    assert_eq!(second.requests(), []);
}

#[test]
fn drain_and_return_send_one_change_each() {
    let vm = fake::Vm::new(&[("POST /v1/amend", IN_FORCE)]);
    assert_eq!(run_against(&vm, &["drain", "runner-1"]).code, 0);
    assert_eq!(run_against(&vm, &["return", "runner-1"]).code, 0);
    let bodies: Vec<_> = vm.requests().into_iter().map(|request| request.body).collect();
    assert_eq!(bodies, [r#"{"drain":"runner-1"}"#, r#"{"return":"runner-1"}"#]);
}

#[test]
fn a_key_is_shown_once_and_only_its_digest_is_sent() {
    let vm = fake::Vm::new(&[("POST /v1/amend", IN_FORCE), ("GET /v1/bundle", &document_reply())]);
    let run = run_against(&vm, &["key", "issue", "mayors", "--id", "mayors-2"]);
    assert_eq!(run.code, 0, "{run:?}");
    let key = run.out.lines().last().unwrap();
    let presented = bundle::key::Presented::parse(key).unwrap();
    assert_eq!(presented.id.as_str(), "mayors-2");
    assert_eq!(key.len(), "pp.mayors-2.".len() + 48);

    let body = vm.requests().last().unwrap().body.clone();
    let change: bundle::amend::Change = serde_json::from_str(&body).unwrap();
    let bundle::amend::Change::Issue(issue) = change else { panic!("{body}") };
    assert!(issue.key.matches(&presented));
    assert!(!body.contains(key.rsplit('.').next().unwrap()));

    let other = run_against(&vm, &["key", "issue", "mayor"]);
    assert_eq!(other.code, 1);
    assert!(other.err.contains("there are: mayors"), "{}", other.err);
}

#[test]
fn a_key_is_shown_even_if_its_issue_is_not_confirmed() {
    let vm = fake::Vm::new(&[("POST /v1/amend", ""), ("GET /v1/bundle", &document_reply())]);
    let run = run_against(&vm, &["key", "issue", "mayors"]);
    assert_eq!(run.code, 3);
    assert!(run.out.lines().last().unwrap().starts_with("pp.mayors-"), "{run:?}");
    assert!(run.err.contains("may come into force"));
}

#[test]
fn keys_are_listed_withdrawn_and_rotated() {
    let amendments = r#"{"amendments":{"issued":[{"account":"mayors","key":{"id":"mayors-2",
        "digest":"0000000000000000000000000000000000000000000000000000000000000002"}}],
        "withdrawn":["mayors-1"],"drained":[]}}"#;
    let vm = fake::Vm::new(&[
        ("POST /v1/amend", IN_FORCE),
        ("GET /v1/bundle", &document_reply()),
        ("GET /v1/amendments", amendments),
    ]);
    let list = run_against(&vm, &["key", "list"]);
    let expected = "mayors  mayors-1  bundle  withdrawn\nmayors  mayors-2  issued  admitted\n";
    assert_eq!((list.code, list.out.as_str()), (0, expected));

    assert_eq!(run_against(&vm, &["key", "withdraw", "mayors-2"]).code, 0);
    assert_eq!(vm.requests().last().unwrap().body, r#"{"withdraw":"mayors-2"}"#);

    let rotated = run_against(&vm, &["key", "rotate", "mayors-2", "--withdraw"]);
    assert_eq!(rotated.code, 0, "{rotated:?}");
    let seen = vm.requests();
    assert!(seen[seen.len() - 2].body.starts_with(r#"{"issue":{"account":"mayors""#));
    assert_eq!(seen[seen.len() - 1].body, r#"{"withdraw":"mayors-2"}"#);

    assert_eq!(run_against(&vm, &["key", "rotate", "mayors-1"]).code, 1);
}

#[test]
fn history_lists_changes_and_prints_an_earlier_document() {
    let digest = ids::Digest::of(document().as_bytes());
    let amended = ids::Digest::of(b"amended");
    let history = serde_json::json!({"history": [
        {"version": 1, "bundle": null, "amendments": null},
        {"version": 2, "bundle": digest, "amendments": null},
        {"version": 3, "bundle": digest, "amendments": null},
        {"version": 4, "bundle": digest, "amendments": amended},
    ]});
    let object = serde_json::json!({"document": r#"{"drained":["runner-1"]}"#});
    let vm = fake::Vm::new(&[
        ("GET /v1/history", &history.to_string()),
        (&format!("GET /v1/objects/{digest}"), &document_reply()),
        (&format!("GET /v1/objects/{amended}"), &object.to_string()),
    ]);
    let list = run_against(&vm, &["history"]);
    assert_eq!(list.code, 0, "{list:?}");
    let lines: Vec<_> = list.out.lines().collect();
    assert!(lines[0].starts_with(&format!("     2  bundle {digest} signed by alice ")));
    assert_eq!(lines[1..], ["     4  target runner-1 drained"]);

    assert_eq!(run_against(&vm, &["history", "--show", "9"]).code, 1);
    let show = run_against(&vm, &["history", "--show", "2"]);
    assert_eq!((show.code, show.out.trim_end()), (0, document().as_str()));

    // The printed document is sent unchanged when it is accepted again.
    let vm = fake::Vm::new(&[("POST /v1/accept", IN_FORCE)]);
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("back.signed"), &show.out).unwrap();
    let address = vm.address.to_string();
    fake::run(directory.path(), &["accept", "back.signed", "--vm", &address]);
    assert_eq!(vm.requests()[0].body, document());
}

#[test]
fn status_reports_faults_and_how_to_fix_them() {
    let digest = ids::Digest::of(b"");
    let healthy = fake::Vm::new(&[("GET /v1/status", &status(true, 7, Some(digest)))]);
    let run = run_against(&healthy, &["status"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.starts_with("callers are served by 1 of 1 VMs"), "{}", run.out);
    assert!(run.out.ends_with("nothing is wrong\n"));

    let fenced = fake::Vm::new(&[("GET /v1/status", &status(false, 6, Some(digest)))]);
    let run = run_against(&fenced, &["status", "--vm", &healthy.address.to_string()]);
    assert_eq!(run.code, 1);
    assert!(run.out.contains("served by 1 of 2"), "{}", run.out);
    assert!(run.out.contains("vm-1: serves nobody: fenced"), "{}", run.out);
    assert!(run.out.contains("the table service does not answer; look at it"));

    // A fault that two VMs share is reported in one line.
    let run = run_against(&fenced, &["status", "--vm", &fenced.address.to_string()]);
    assert!(run.out.contains("vm-1, vm-1: the table service"), "{}", run.out);

    let run = run_against(&fenced, &["status", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(json[0]["status"]["ready"], false);
}

#[test]
fn state_is_printed_as_json() {
    let vm = fake::Vm::new(&[("GET /state", r#"{"state":{"targets":[1,2]}}"#)]);
    let run = run_against(&vm, &["state"]);
    let json: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(json["targets"][1], 2);
}

#[test]
fn the_credential_comes_from_a_file_or_the_environment() {
    let vm = fake::Vm::new(&[("GET /state", r#"{"state":{}}"#)]);
    let address = vm.address.to_string();
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("credential");
    fs::write(&file, format!("{}\n", fake::CREDENTIAL)).unwrap();
    let arguments = ["state", "--vm", &address, "--credential-file", "credential"];

    fake::set_mode(&file, 0o644);
    assert_eq!(fake::run_without_credential(directory.path(), &arguments).code, 2);
    fake::set_mode(&file, 0o600);
    assert_eq!(fake::run_without_credential(directory.path(), &arguments).code, 0);

    fs::write(&file, "another").unwrap();
    let refused = fake::run_without_credential(directory.path(), &arguments);
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(!refused.err.contains("another"));

    assert_eq!(
        fake::run_without_credential(directory.path(), &["state", "--vm", &address]).code,
        2
    );
}

/// The status reply of `vm`, one of two members, with `open_calls` at a drained runner.
fn draining_status(vm: &str, open_calls: usize) -> String {
    let drain = operator::Drain {
        target: "runner-1".into(),
        drained: true,
        serving: Vec::new(),
        open_calls,
    };
    let status = operator::Status {
        vm: vm.to_owned(),
        ready: true,
        bundle: Some(ids::Digest::of(b"")),
        members: vec!["vm-1".into(), "vm-2".into()],
        drains: vec![drain],
        rollouts: vec![rollout()],
        ..operator::Status::default()
    };
    serde_json::json!({ "status": status }).to_string()
}

/// The rollout of a model with one of two declared copies ready.
fn rollout() -> operator::Rollout {
    let copy = |target: &str, version: &str, state| operator::Copy {
        target: target.into(),
        version: version.into(),
        state,
    };
    operator::Rollout {
        item: "draft".into(),
        version: Some("v2".into()),
        copies: 2,
        residents: vec![
            copy("runner-1", "v2", report::State::Ready),
            copy("runner-2", "v1", report::State::Ready),
            copy("runner-2", "v2", report::State::Loading),
        ],
    }
}

#[test]
fn status_reports_the_progress_of_drains_and_rollouts() {
    let first = fake::Vm::new(&[("GET /v1/status", &draining_status("vm-1", 2))]);
    let second = fake::Vm::new(&[("GET /v1/status", &draining_status("vm-2", 1))]);
    let run = run_against(&first, &["status", "--vm", &second.address.to_string()]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("runner-1: no new work, 3 calls open (vm-1 2, vm-2 1)"), "{run:?}");
    let rollout = "draft: 1 of 2 copies of v2 ready on runner-1, loading on runner-2, \
                   v1 still ready on runner-2";
    assert!(run.out.contains(rollout), "{run:?}");
}

#[test]
fn drain_waits_until_no_vm_has_an_open_call_at_the_target() {
    let draining_vm = |vm, open_calls| {
        let status = draining_status(vm, open_calls);
        fake::Vm::new(&[("POST /v1/amend", IN_FORCE), ("GET /v1/status", &status)])
    };
    let vms = |first, second| (draining_vm("vm-1", first), draining_vm("vm-2", second));
    let (first, second) = vms(0, 0);
    let other = second.address.to_string();
    let run = run_against(&first, &["drain", "runner-1", "--wait", "--vm", &other]);
    assert_eq!((run.code, &*run.out), (0, "runner-1: no new work, no call open\n"), "{run:?}");

    // A member that was not asked may still have open calls at the target.
    let wait = ["drain", "runner-1", "--wait", "--timeout", "1"];
    let run = run_against(&first, &wait);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("not known of vm-2"), "{run:?}");

    let (first, second) = vms(0, 4);
    let other = second.address.to_string();
    let run = run_against(&first, &[&wait[..], &["--vm", &other]].concat());
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("4 calls open (vm-2 4)"), "{run:?}");
    let run = run_against(&first, &["drain", "runner-1", "--status", "--vm", &other]);
    assert_eq!(run.code, 0, "{run:?}");
    let seen = [first.requests(), second.requests()].concat();
    let changes = seen.iter().filter(|request| request.line.starts_with("POST")).count();
    assert_eq!(changes, 1, "looking changes nothing");
}
