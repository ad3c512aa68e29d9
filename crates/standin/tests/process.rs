//! The program: its first line, its control command and its graceful stop.

use std::{io, io::BufRead as _, process};

fn start(role: &str) -> (process::Child, standin::process::Banner) {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_standin"))
        .args([role, "--load", "draft@v1=18000"])
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let stdout = child.stdout.as_mut().expect("stdout is piped");
    io::BufReader::new(stdout).read_line(&mut line).expect("a line");
    let banner = serde_json::from_str(&line).expect("a banner");
    (child, banner)
}

#[test]
fn terminated_runner_ends_its_stream_first() {
    let (mut child, banner) = start("runner");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let body = r#"{"model":"draft","messages":[],"max_tokens":200}"#;
    let call = runtime.spawn(async move {
        let client = standin::client::Client::new();
        client.send(banner.address, "POST", "/v1/chat/completions", body).await
    });
    loop {
        let counts = control(&banner.control.to_string(), &["GET", "/calls"]);
        if counts.contains("attempt") {
            break;
        }
    }
    let terminated = process::Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .expect("kill runs");
    assert!(terminated.success());
    let answer = runtime.block_on(call).expect("the task ends");
    assert!(answer.expect("an answer").text().contains(r#""completion_tokens":200"#));
    assert!(child.wait().expect("the program ends").success());
}

fn control(address: &str, args: &[&str]) -> String {
    let output = process::Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["control", address])
        .args(args)
        .output()
        .expect("the program runs");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn control_command_fails_where_the_answer_does() {
    let (mut child, banner) = start("runner");
    let output = process::Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["control", &banner.control.to_string(), "GET", "/nothing"])
        .output()
        .expect("the program runs");
    assert!(!output.status.success());
    let errors = String::from_utf8(output.stderr).expect("text");
    assert!(errors.contains("no such path"), "{errors}");
    child.kill().expect("the program is killed");
    child.wait().expect("the program ends");
}

#[test]
fn call_command_prints_what_a_caller_sees() {
    let (mut child, banner) = start("runner");
    let address = banner.address.to_string();
    let call = |path: &str| {
        let body = r#"{"model":"draft","messages":[],"max_tokens":2,"stream":true}"#;
        process::Command::new(env!("CARGO_BIN_EXE_standin"))
            .args(["call", &address, "POST", path, "--header", "x-call-id: 7", "--body", body])
            .output()
            .expect("the program runs")
    };
    let answered = call("/v1/chat/completions");
    let text = String::from_utf8(answered.stdout).expect("text");
    assert!(answered.status.success(), "{text}");
    assert!(text.starts_with("200 OK\n"), "{text}");
    assert!(text.contains("x-call-id: 7\n"), "{text}");
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    assert!(!call("/nothing").status.success());
    child.kill().expect("the program is killed");
    child.wait().expect("the program ends");
}
