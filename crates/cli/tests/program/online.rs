//! Commands that talk to a VM, with the real program and a face that gives
//! prepared answers.

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

/// The reply with the document in force.
fn in_force() -> String {
    serde_json::json!({ "document": document() }).to_string()
}

/// Runs the program against `face` in a directory with bundle and document.
fn ask(face: &fake::Face, arguments: &[&str]) -> fake::Run {
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("bundle.yaml"), BUNDLE).unwrap();
    fs::write(directory.path().join("bundle.signed"), document()).unwrap();
    let vm = face.address.to_string();
    fake::run(directory.path(), &[arguments, &["--vm", &vm]].concat())
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
fn accept_says_that_it_is_in_force() {
    let face = fake::Face::new(&[("POST /v1/accept?replaces=6", IN_FORCE)]);
    let done = ask(&face, &["accept", "bundle.signed", "--replaces", "6"]);
    assert_eq!(done.code, 0, "{done:?}");
    assert_eq!(done.out, "in force as version 7 on every VM that serves\n");
    assert_eq!(face.seen()[0].body, document());
}

#[test]
fn accept_names_the_fenced() {
    let reply = r#"{"in-force":{"version":7,"fenced":["vm-3","vm-4"]}}"#;
    let face = fake::Face::new(&[("POST /v1/accept", reply)]);
    let done = ask(&face, &["accept", "bundle.signed"]);
    assert_eq!(done.code, 0);
    assert!(done.out.contains("fenced") && done.out.contains("vm-3, vm-4"), "{}", done.out);
}

#[test]
fn accept_refused() {
    let reply = r#"{"refused":{"reason":"another change came first"}}"#;
    let face = fake::Face::new(&[("POST /v1/accept", reply)]);
    let done = ask(&face, &["accept", "bundle.signed"]);
    assert_eq!(done.code, 1);
    assert!(done.err.contains("another change came first"));
    assert_eq!(ask(&face, &["accept", "bundle.yaml"]).code, 2);
}

#[test]
fn accept_whose_answer_is_lost_says_what_is_known() {
    let digest = ids::Digest::of(document().as_bytes());
    let there = status(true, 7, Some(digest));
    let face = fake::Face::new(&[("POST /v1/accept", ""), ("GET /v1/status", &there)]);
    let done = ask(&face, &["accept", "bundle.signed"]);
    assert_eq!(done.code, 3);
    assert!(done.err.contains("it is in force on vm-1 as version 7"), "{}", done.err);

    let not_there = status(true, 6, None);
    let unknown = r#"{"unknown":{"reason":"no answer yet"}}"#;
    let face = fake::Face::new(&[("POST /v1/accept", unknown), ("GET /v1/status", &not_there)]);
    let done = ask(&face, &["accept", "bundle.signed"]);
    assert_eq!(done.code, 3);
    assert!(done.err.contains("it is not in force on vm-1"), "{}", done.err);
}

#[test]
fn the_next_vm_is_tried_if_nothing_was_sent() {
    // Nothing listens on this port, which needs rights that a test has not.
    let address = "127.0.0.1:1".to_owned();
    let face = fake::Face::new(&[("POST /v1/amend", IN_FORCE)]);
    let done = ask(&face, &["drain", "runner-1", "--vm", &address]);
    assert_eq!(done.code, 0, "{done:?}");
    assert_eq!(face.seen()[0].body, r#"{"drain":"runner-1"}"#);

    let directory = tempfile::tempdir().unwrap();
    let done = fake::run(directory.path(), &["state", "--vm", &address]);
    assert_eq!(done.code, 3, "{done:?}");
}

#[test]
fn a_lost_answer_is_not_asked_for_elsewhere() {
    let first = fake::Face::new(&[("POST /v1/amend", "")]);
    let second = fake::Face::new(&[("POST /v1/amend", IN_FORCE)]);
    let directory = tempfile::tempdir().unwrap();
    let vms = [first.address.to_string(), second.address.to_string()];
    let done =
        fake::run(directory.path(), &["drain", "runner-1", "--vm", &vms[0], "--vm", &vms[1]]);
    assert_eq!(done.code, 3, "{done:?}");
    assert_eq!(second.seen(), []);
}

#[test]
fn drain_and_return() {
    let face = fake::Face::new(&[("POST /v1/amend", IN_FORCE)]);
    assert_eq!(ask(&face, &["drain", "runner-1"]).code, 0);
    assert_eq!(ask(&face, &["return", "runner-1"]).code, 0);
    let bodies: Vec<_> = face.seen().into_iter().map(|request| request.body).collect();
    assert_eq!(bodies, [r#"{"drain":"runner-1"}"#, r#"{"return":"runner-1"}"#]);
}

#[test]
fn a_key_is_shown_once_and_only_its_digest_is_sent() {
    let face = fake::Face::new(&[("POST /v1/amend", IN_FORCE), ("GET /v1/bundle", &in_force())]);
    let done = ask(&face, &["key", "issue", "mayors", "--id", "mayors-2"]);
    assert_eq!(done.code, 0, "{done:?}");
    let key = done.out.lines().last().unwrap();
    let presented = bundle::key::Presented::parse(key).unwrap();
    assert_eq!(presented.id.as_str(), "mayors-2");
    assert_eq!(key.len(), "pp.mayors-2.".len() + 48);

    let body = face.seen().last().unwrap().body.clone();
    let change: bundle::amend::Change = serde_json::from_str(&body).unwrap();
    let bundle::amend::Change::Issue(issue) = change else { panic!("{body}") };
    assert!(issue.key.matches(&presented));
    assert!(!body.contains(key.rsplit('.').next().unwrap()));

    let other = ask(&face, &["key", "issue", "mayor"]);
    assert_eq!(other.code, 1);
    assert!(other.err.contains("there are: mayors"), "{}", other.err);
}

#[test]
fn a_key_whose_issue_is_not_known_is_shown_all_the_same() {
    let face = fake::Face::new(&[("POST /v1/amend", ""), ("GET /v1/bundle", &in_force())]);
    let done = ask(&face, &["key", "issue", "mayors"]);
    assert_eq!(done.code, 3);
    assert!(done.out.lines().last().unwrap().starts_with("pp.mayors-"), "{done:?}");
    assert!(done.err.contains("may come into force"));
}

#[test]
fn keys_are_listed_withdrawn_and_rotated() {
    let amendments = r#"{"amendments":{"issued":[{"account":"mayors","key":{"id":"mayors-2",
        "digest":"0000000000000000000000000000000000000000000000000000000000000002"}}],
        "withdrawn":["mayors-1"],"drained":[]}}"#;
    let face = fake::Face::new(&[
        ("POST /v1/amend", IN_FORCE),
        ("GET /v1/bundle", &in_force()),
        ("GET /v1/amendments", amendments),
    ]);
    let list = ask(&face, &["key", "list"]);
    let expected = "mayors  mayors-1  bundle  withdrawn\nmayors  mayors-2  issued  admitted\n";
    assert_eq!((list.code, list.out.as_str()), (0, expected));

    assert_eq!(ask(&face, &["key", "withdraw", "mayors-2"]).code, 0);
    assert_eq!(face.seen().last().unwrap().body, r#"{"withdraw":"mayors-2"}"#);

    let rotated = ask(&face, &["key", "rotate", "mayors-2", "--withdraw"]);
    assert_eq!(rotated.code, 0, "{rotated:?}");
    let seen = face.seen();
    assert!(seen[seen.len() - 2].body.starts_with(r#"{"issue":{"account":"mayors""#));
    assert_eq!(seen[seen.len() - 1].body, r#"{"withdraw":"mayors-2"}"#);

    assert_eq!(ask(&face, &["key", "rotate", "mayors-1"]).code, 1);
}

#[test]
fn history_lists_changes_and_shows_a_document() {
    let digest = ids::Digest::of(document().as_bytes());
    let amended = ids::Digest::of(b"amended");
    let history = serde_json::json!({"history": [
        {"version": 1, "bundle": null, "amendments": null},
        {"version": 2, "bundle": digest, "amendments": null},
        {"version": 3, "bundle": digest, "amendments": null},
        {"version": 4, "bundle": digest, "amendments": amended},
    ]});
    let object = serde_json::json!({"document": r#"{"drained":["runner-1"]}"#});
    let face = fake::Face::new(&[
        ("GET /v1/history", &history.to_string()),
        (&format!("GET /v1/objects/{digest}"), &in_force()),
        (&format!("GET /v1/objects/{amended}"), &object.to_string()),
    ]);
    let list = ask(&face, &["history"]);
    assert_eq!(list.code, 0, "{list:?}");
    let lines: Vec<_> = list.out.lines().collect();
    assert!(lines[0].starts_with(&format!("     2  bundle {digest} signed by alice ")));
    assert_eq!(lines[1..], ["     4  target runner-1 drained"]);

    assert_eq!(ask(&face, &["history", "--show", "9"]).code, 1);
    let show = ask(&face, &["history", "--show", "2"]);
    assert_eq!((show.code, show.out.trim_end()), (0, document().as_str()));

    // The document that was shown is accepted as the very same one.
    let face = fake::Face::new(&[("POST /v1/accept", IN_FORCE)]);
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("back.signed"), &show.out).unwrap();
    let vm = face.address.to_string();
    fake::run(directory.path(), &["accept", "back.signed", "--vm", &vm]);
    assert_eq!(face.seen()[0].body, document());
}

#[test]
fn status_says_what_is_wrong_and_what_to_do() {
    let digest = ids::Digest::of(b"");
    let well = fake::Face::new(&[("GET /v1/status", &status(true, 7, Some(digest)))]);
    let done = ask(&well, &["status"]);
    assert_eq!(done.code, 0, "{done:?}");
    assert!(done.out.starts_with("callers are served by 1 of 1 VMs"), "{}", done.out);
    assert!(done.out.ends_with("nothing is wrong\n"));

    let ill = fake::Face::new(&[("GET /v1/status", &status(false, 6, Some(digest)))]);
    let done = ask(&ill, &["status", "--vm", &well.address.to_string()]);
    assert_eq!(done.code, 1);
    assert!(done.out.contains("served by 1 of 2"), "{}", done.out);
    assert!(done.out.contains("vm-1: serves nobody: fenced"), "{}", done.out);
    assert!(done.out.contains("the table service does not answer; look at it"));

    // The same fault of two VMs is one line.
    let done = ask(&ill, &["status", "--vm", &ill.address.to_string()]);
    assert!(done.out.contains("vm-1, vm-1: the table service"), "{}", done.out);

    let done = ask(&ill, &["status", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!(json[0]["status"]["ready"], false);
}

#[test]
fn state_is_printed_as_json() {
    let face = fake::Face::new(&[("GET /state", r#"{"state":{"targets":[1,2]}}"#)]);
    let done = ask(&face, &["state"]);
    let json: serde_json::Value = serde_json::from_str(&done.out).unwrap();
    assert_eq!(json["targets"][1], 2);
}

#[test]
fn the_credential_comes_from_a_file_or_the_environment() {
    let face = fake::Face::new(&[("GET /state", r#"{"state":{}}"#)]);
    let vm = face.address.to_string();
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("credential");
    fs::write(&file, format!("{}\n", fake::CREDENTIAL)).unwrap();
    let arguments = ["state", "--vm", &vm, "--credential-file", "credential"];

    fake::set_mode(&file, 0o644);
    assert_eq!(fake::run_bare(directory.path(), &arguments).code, 2);
    fake::set_mode(&file, 0o600);
    assert_eq!(fake::run_bare(directory.path(), &arguments).code, 0);

    fs::write(&file, "another").unwrap();
    let refused = fake::run_bare(directory.path(), &arguments);
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(!refused.err.contains("another"));

    assert_eq!(fake::run_bare(directory.path(), &["state", "--vm", &vm]).code, 2);
}

/// The status of a member of a fleet of two that has `open_calls` at a drained runner.
fn draining(vm: &str, open_calls: usize) -> String {
    let drain = operator::Drain { target: "runner-1".into(), drained: true, open_calls };
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

/// A model of which one copy of two is ready as declared.
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
fn status_tells_how_far_drains_and_rollouts_are() {
    let first = fake::Face::new(&[("GET /v1/status", &draining("vm-1", 2))]);
    let second = fake::Face::new(&[("GET /v1/status", &draining("vm-2", 1))]);
    let done = ask(&first, &["status", "--vm", &second.address.to_string()]);
    assert_eq!(done.code, 0, "{done:?}");
    assert!(done.out.contains("runner-1: no new work, 3 calls open (vm-1 2, vm-2 1)"), "{done:?}");
    let rollout = "draft: 1 of 2 copies of v2 ready on runner-1, loading on runner-2, \
                   v1 still ready on runner-2";
    assert!(done.out.contains(rollout), "{done:?}");
}

#[test]
fn drain_waits_until_no_vm_has_a_call_there() {
    let face = |vm, open_calls| {
        let status = draining(vm, open_calls);
        fake::Face::new(&[("POST /v1/amend", IN_FORCE), ("GET /v1/status", &status)])
    };
    let faces = |first, second| (face("vm-1", first), face("vm-2", second));
    let (first, second) = faces(0, 0);
    let other = second.address.to_string();
    let done = ask(&first, &["drain", "runner-1", "--wait", "--vm", &other]);
    assert_eq!((done.code, &*done.out), (0, "runner-1: no new work, no call open\n"), "{done:?}");

    // A member that was not asked may have calls there.
    let wait = ["drain", "runner-1", "--wait", "--timeout", "1"];
    let done = ask(&first, &wait);
    assert_eq!(done.code, 3, "{done:?}");
    assert!(done.err.contains("not known of vm-2"), "{done:?}");

    let (first, second) = faces(0, 4);
    let other = second.address.to_string();
    let done = ask(&first, &[&wait[..], &["--vm", &other]].concat());
    assert_eq!(done.code, 3, "{done:?}");
    assert!(done.err.contains("4 calls open (vm-2 4)"), "{done:?}");
    let done = ask(&first, &["drain", "runner-1", "--status", "--vm", &other]);
    assert_eq!(done.code, 0, "{done:?}");
    let seen = [first.seen(), second.seen()].concat();
    let changes = seen.iter().filter(|request| request.line.starts_with("POST")).count();
    assert_eq!(changes, 1, "looking changes nothing");
}
