//! Settings: what is refused, and what the error says.

use std::{fs, process};

use daemon::settings;

const GOOD: &str = include_str!("data/settings.yaml");

fn load(text: &str) -> Result<settings::Settings, String> {
    let file = tempfile::NamedTempFile::new().expect("a file");
    fs::write(file.path(), text).expect("written");
    settings::load(file.path()).map_err(|error| {
        let text = error.to_string();
        assert!(text.contains(&file.path().display().to_string()), "names the file: {text}");
        text
    })
}

fn refused(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    load(&GOOD.replace(from, to)).expect_err("refused")
}

#[test]
fn good_settings_are_read_with_defaults() {
    let settings = load(GOOD).expect("good");
    assert_eq!(settings.limits.body_bytes.get(), 2_048);
    assert_eq!(settings.limits.platform_ms.get(), 3_000);
    assert!(settings.signers.is_empty());
}

#[test]
fn value_out_of_range_is_refused_with_field_line_and_range() {
    let error = refused("body_bytes: 2048", "body_bytes: 12");
    for part in ["field body_bytes", "line 8", "12", "1024 to 67108864"] {
        assert!(error.contains(part), "{part:?} in {error}");
    }
}

#[test]
fn unknown_field_is_refused_with_its_line() {
    let error = refused("body_bytes: 2048", "body_bits: 2048");
    assert!(error.contains("body_bits") && error.contains("line 8"), "{error}");
}

#[test]
fn policy_is_read_and_an_unknown_one_refused_with_its_line() {
    let with = |policy: &str| GOOD.replace("stop:", &format!("policy: {{{policy}}}\nstop:"));
    let policy = load(GOOD).expect("good").policy;
    assert_eq!(policy.target, route::policy::Policy::Expected);
    assert_eq!(policy.queue, route::policy::Discipline::LeastServed);
    assert_eq!(policy.gap_ms.get(), 50);
    let policy = load(&with("target: round-robin, queue: fifo")).expect("good").policy;
    assert_eq!(policy.target, route::policy::Policy::RoundRobin);
    assert_eq!(policy.queue, route::policy::Discipline::Fifo);
    for (wrong, told) in [
        ("target: fastest", "expected"),
        ("targets: random", "expected"),
        ("gap_ms: 10001", "allowed is 0 to 10000"),
    ] {
        let error = load(&with(wrong)).expect_err("refused");
        assert!(error.contains("line ") && error.contains(told), "{error}");
    }
}

#[test]
fn address_without_a_port_is_refused_with_its_field() {
    let error = refused("table: '127.0.0.1:1'", "table: '127.0.0.1'");
    assert!(error.contains("table") && error.contains("line 6"), "{error}");
}

#[test]
fn peers_need_a_real_address() {
    let error = refused("peer: {address: '127.0.0.1:0'", "peer: {address: '0.0.0.0:0'");
    assert!(error.contains("peer") && error.contains("unspecified"), "{error}");
}

#[test]
fn errors_show_no_credential() {
    for (from, to) in [
        ("vm-credential-0001", "short-secret"),
        ("balancer_wait_ms: 0", "balancer_wait_ms: soon"),
        ("platform: {table", "platform: {tables"),
    ] {
        let error = refused(from, to);
        assert!(!error.contains("short-secret"), "{error}");
        assert!(!error.contains("credential-0001"), "{error}");
        assert!(!error.contains("operator-credential-1"), "{error}");
    }
    let shown = format!("{:?}", load(GOOD).expect("good"));
    assert!(!shown.contains("operator-credential-1"), "{shown}");
}

#[test]
fn program_checks_settings_by_its_exit_code() {
    let directory = tempfile::tempdir().expect("a directory");
    let check = |name: &str, text: &str| {
        let file = directory.path().join(name);
        fs::write(&file, text).expect("written");
        process::Command::new(env!("CARGO_BIN_EXE_primroseplankd"))
            .arg("--settings")
            .arg(file)
            .arg("--check-settings")
            .output()
            .expect("the program runs")
    };
    assert!(check("good.yaml", GOOD).status.success());
    let wrong = check("wrong.yaml", &GOOD.replace("vm: vm-1", "vm: 'vm 1'"));
    assert_eq!(wrong.status.code(), Some(1));
    let text = String::from_utf8_lossy(&wrong.stderr);
    assert!(text.contains("wrong.yaml") && text.contains("field vm"), "{text}");
}
