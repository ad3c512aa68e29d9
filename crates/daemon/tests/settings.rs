//! Tests of the settings file: which values are rejected, and what the error says.

use std::{fs, process};

use daemon::settings;

const VALID: &str = include_str!("data/settings.yaml");

fn load(text: &str) -> Result<settings::Settings, String> {
    let file = tempfile::NamedTempFile::new().expect("a file");
    fs::write(file.path(), text).expect("written");
    settings::load(file.path()).map_err(|error| {
        let text = error.to_string();
        assert!(text.contains(&file.path().display().to_string()), "names the file: {text}");
        text
    })
}

/// Returns the error for the valid settings with `from` replaced by `to`.
fn replacement_error(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    load(&VALID.replace(from, to)).expect_err("an error")
}

#[test]
fn valid_settings_are_read_with_defaults() {
    let settings = load(VALID).expect("valid settings");
    assert_eq!(settings.limits.body_bytes.get(), 2_048);
    assert_eq!(settings.limits.platform_ms.get(), 3_000);
    assert!(settings.signers.is_empty());
}

#[test]
fn error_for_a_value_out_of_range_names_field_line_and_range() {
    let error = replacement_error("body_bytes: 2048", "body_bytes: 12");
    for part in ["field body_bytes", "line 8", "12", "1024 to 67108864"] {
        assert!(error.contains(part), "{part:?} in {error}");
    }
}

#[test]
fn error_for_an_unknown_field_names_its_line() {
    let error = replacement_error("body_bytes: 2048", "body_bits: 2048");
    assert!(error.contains("body_bits") && error.contains("line 8"), "{error}");
}

#[test]
fn policy_is_read_and_an_invalid_one_rejected_with_its_line() {
    let with = |policy: &str| VALID.replace("stop:", &format!("policy: {{{policy}}}\nstop:"));
    let policy = load(VALID).expect("valid settings").policy;
    assert_eq!(policy.target, route::policy::Policy::Expected);
    assert_eq!(policy.queue, route::policy::Discipline::LeastServed);
    assert_eq!(policy.gap_ms.get(), 50);
    let policy = load(&with("target: round-robin, queue: fifo")).expect("valid settings").policy;
    assert_eq!(policy.target, route::policy::Policy::RoundRobin);
    assert_eq!(policy.queue, route::policy::Discipline::Fifo);
    for (invalid, expected) in [
        ("target: fastest", "expected"),
        ("targets: random", "expected"),
        ("gap_ms: 10001", "allowed is 0 to 10000"),
    ] {
        let error = load(&with(invalid)).expect_err("an error");
        assert!(error.contains("line ") && error.contains(expected), "{error}");
    }
}

#[test]
fn error_for_an_address_without_a_port_names_its_field() {
    let error = replacement_error("table: '127.0.0.1:1'", "table: '127.0.0.1'");
    assert!(error.contains("table") && error.contains("line 6"), "{error}");
}

#[test]
fn peer_address_must_not_be_unspecified() {
    let error = replacement_error("peer: {address: '127.0.0.1:0'", "peer: {address: '0.0.0.0:0'");
    assert!(error.contains("peer") && error.contains("unspecified"), "{error}");
}

#[test]
fn errors_and_debug_output_show_no_credential() {
    for (from, to) in [
        ("vm-credential-0001", "short-secret"),
        ("balancer_wait_ms: 0", "balancer_wait_ms: soon"),
        ("platform: {table", "platform: {tables"),
    ] {
        let error = replacement_error(from, to);
        assert!(!error.contains("short-secret"), "{error}");
        assert!(!error.contains("credential-0001"), "{error}");
        assert!(!error.contains("operator-credential-1"), "{error}");
    }
    let debug = format!("{:?}", load(VALID).expect("valid settings"));
    assert!(!debug.contains("operator-credential-1"), "{debug}");
}

#[test]
fn exit_code_of_the_program_shows_whether_settings_are_valid() {
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
    assert!(check("good.yaml", VALID).status.success());
    let invalid = check("wrong.yaml", &VALID.replace("vm: vm-1", "vm: 'vm 1'"));
    assert_eq!(invalid.status.code(), Some(1));
    let text = String::from_utf8_lossy(&invalid.stderr);
    assert!(text.contains("wrong.yaml") && text.contains("field vm"), "{text}");
}
