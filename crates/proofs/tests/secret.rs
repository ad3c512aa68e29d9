//! Keys and credentials do not leak, listeners require them, and processes start no
//! children.

use proofs::{caller, fleet, process};

/// The secrets that must not appear in any output: those of the deployment and
/// [`UNKNOWN_SECRET`].
fn secrets(fleet: &fleet::Fleet) -> Vec<String> {
    let secret_part = fleet.key.rsplit('.').next().unwrap_or_default().to_owned();
    vec![secret_part, fleet::OPERATOR.to_owned(), fleet::PEER.to_owned(), UNKNOWN_SECRET.to_owned()]
}

/// A secret that belongs to no account, sent in requests.
const UNKNOWN_SECRET: &str = "5ec2e75ec2e75ec2e75ec2e7";

#[tokio::test(flavor = "multi_thread")]
async fn secrets_appear_in_no_log_dump_metric_or_request_to_a_target() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let caller = fleet.caller();
    let secrets = secrets(&fleet);
    let mut seen: Vec<(String, String)> = Vec::new();

    let key = fleet.key.clone();
    let note = format!("mine is {key}");
    let headers: [(&str, &str); 6] = [
        ("cookie", UNKNOWN_SECRET),
        ("x-api-key", UNKNOWN_SECRET),
        ("proxy-authorization", UNKNOWN_SECRET),
        ("x-second-key", &key),
        ("x-note", &note),
        ("idempotency-key", "secret-1"),
    ];
    let query = format!("a=1&key={key}&access_token={key}&b={key}");
    let lookup = format!("/svc/desk/lookup/9?{query}");
    let answer = caller.send(fleet.caller_address(0), "GET", &lookup, &headers, "").await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.text().contains("a=1"), "{}", answer.text());
    seen.push(("answer of the desk".to_owned(), answer.text()));
    let booking = format!("/svc/desk/booking?{query}");
    let answer = caller.send(fleet.caller_address(1), "POST", &booking, &headers, "{}").await?;
    assert_eq!(answer.status, 201, "{}", answer.text());
    let chat = fleet::chat_body(3, true, "a draft");
    let stream = caller.stream(fleet.caller_address(0), &headers, &chat).await?;
    assert!(stream.read_to_end().await?.is_done);
    let wrong = caller::Caller::new(Some(&format!("pp.mayors-1.{UNKNOWN_SECRET}")));
    let refused = wrong.send(fleet.caller_address(0), "GET", "/v1/models", &[], "").await?;
    assert_eq!(refused.status, 401);
    seen.push(("refusal".to_owned(), refused.text()));

    for (index, vm) in fleet.vms.iter().enumerate() {
        for path in ["/state", "/metrics", "/v1/status", "/v1/bundle", "/readyz"] {
            let answer = fleet.send_to_operator(index, "GET", path, "").await?;
            assert_eq!(answer.status, 200, "{path}: {}", answer.text());
            seen.push((format!("{path} of VM {index}"), answer.text()));
        }
        seen.push((format!("log of VM {index}"), vm.log()));
        seen.push((format!("command line of VM {index}"), command_line(vm)));
    }
    for target in fleet.runners.iter().chain([&fleet.desk]) {
        let calls = fleet::Fleet::control(target, "GET", "/calls", "").await?;
        seen.push(("calls seen by a target".to_owned(), calls));
        seen.push(("log of a target".to_owned(), target.log()));
    }
    let scan = r#"{"scan":{"prefix":"","after":null,"limit":1000}}"#;
    let table = fleet.table.address("address");
    let rows = caller::Caller::new(None).send(table, "POST", "/table", &[], scan).await?;
    assert!(rows.text().contains("head"), "{}", rows.text());
    seen.push(("rows of the table".to_owned(), rows.text()));

    for (place, text) in &seen {
        for secret in &secrets {
            assert!(!text.contains(secret), "{secret} in {place}: {text}");
        }
    }
    Ok(())
}

fn command_line(program: &process::Program) -> String {
    let file = format!("/proc/{}/cmdline", program.id());
    std::fs::read_to_string(file).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_and_peer_listeners_require_their_credential() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 1, runners: 1, ..fleet::Config::default() })
            .await?;
    let operator = fleet.vms[0].address("operator");
    let peer = fleet.vms[0].address("peer");
    let as_caller = fleet.caller();
    let as_vm = caller::Caller::new(Some(fleet::PEER));
    let nobody = caller::Caller::new(None);
    for who in [&as_caller, &as_vm, &nobody] {
        for (method, path) in [
            ("GET", "/state"),
            ("GET", "/metrics"),
            ("GET", "/v1/status"),
            ("GET", "/v1/bundle"),
            ("POST", "/v1/accept"),
            ("POST", "/v1/amend"),
        ] {
            let answer = who.send(operator, method, path, &[], "{}").await?;
            assert_eq!(answer.status, 401, "{method} {path}: {}", answer.text());
        }
    }
    let handshake = [
        ("connection", "upgrade"),
        ("upgrade", "websocket"),
        ("sec-websocket-version", "13"),
        ("sec-websocket-key", "dGhlIHNhbXBsZSBub25jZQ=="),
        ("x-vm", "vm-9"),
        ("x-incarnation", "1"),
    ];
    let as_operator = caller::Caller::new(Some(fleet::OPERATOR));
    for who in [&as_caller, &as_operator, &nobody] {
        let answer = who.send(peer, "GET", "/peer", &handshake, "").await?;
        assert_eq!(answer.status, 401);
    }
    let answer = as_vm.send(peer, "GET", "/other", &handshake, "").await?;
    assert_eq!(answer.status, 404);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_have_no_children_and_no_io_uring() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let whole = fleet
        .caller()
        .stream(fleet.caller_address(0), &[], &fleet::chat_body(5, true, "a"))
        .await?;
    assert!(whole.read_to_end().await?.is_done);
    let standins = [&fleet.table, &fleet.objects, &fleet.list, &fleet.desk];
    for program in standins.into_iter().chain(&fleet.runners).chain(&fleet.vms) {
        let id = program.id();
        let descriptors: Vec<String> = std::fs::read_dir(format!("/proc/{id}/fd"))
            .expect("a list of descriptors")
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .map(|target| target.display().to_string())
            .collect();
        assert!(descriptors.iter().any(|target| target.starts_with("socket:")), "{descriptors:?}");
        assert!(!descriptors.iter().any(|target| target.contains("io_uring")), "{descriptors:?}");
        let children = std::fs::read_dir(format!("/proc/{id}/task"))
            .expect("a list of threads")
            .filter_map(|thread| std::fs::read_to_string(thread.ok()?.path().join("children")).ok())
            .collect::<String>();
        assert_eq!(children.trim(), "", "process {id} has children");
    }
    Ok(())
}
