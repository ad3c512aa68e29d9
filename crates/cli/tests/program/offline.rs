//! Commands of the built program that need no VM.

use std::{fs, path};

use crate::fake;

const BUNDLE: &str = "\
format: 1
deployment: demo
centres: [north]
accounts: [{name: mayors, class: paid, rate: 100, burst: 1000}]
weights: {loads_per_second: 1.5, loads_at_once: 10}
";

/// A temporary directory with `bundle.yaml`.
fn directory() -> tempfile::TempDir {
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("bundle.yaml"), BUNDLE).unwrap();
    directory
}

/// Signs the bundle in `directory` with a new key and returns the public key.
fn sign_bundle(directory: &path::Path) -> String {
    let made = fake::run_without_credential(
        directory,
        &["signer", "new", "alice", "--output", "alice.key"],
    );
    assert_eq!(made.code, 0, "{made:?}");
    let sign = ["sign", "bundle.yaml", "--key", "alice.key", "--signer", "alice"];
    let run = fake::run_without_credential(
        directory,
        &[&sign[..], &["--output", "bundle.signed"]].concat(),
    );
    assert_eq!(run.code, 0, "{run:?}");
    let (_, key) = made.out.rsplit_once("key: ").unwrap();
    key.trim_end().trim_end_matches('}').to_owned()
}

#[test]
fn help_lists_the_commands_and_usage_errors_exit_with_2() {
    let directory = directory();
    let help = fake::run_without_credential(directory.path(), &["--help"]);
    assert_eq!(help.code, 0);
    for command in ["check", "diff", "sign", "accept", "history", "key", "drain", "status"] {
        assert!(help.out.contains(command), "{}", help.out);
    }
    assert!(help.out.contains("Exit codes:"));
    assert_eq!(fake::run_without_credential(directory.path(), &["chekc"]).code, 2);
    assert_eq!(fake::run_without_credential(directory.path(), &["check", "none.yaml"]).code, 2);
}

#[test]
fn check_names_file_line_and_field() {
    let directory = directory();
    let good = fake::run_without_credential(directory.path(), &["check", "bundle.yaml"]);
    assert_eq!(good.code, 0, "{good:?}");
    assert!(good.out.ends_with("bundle.yaml: ok\n"));

    let bad = BUNDLE.replace("rate: 100", "rate: 0").replace("format: 1", "formt: 1");
    fs::write(directory.path().join("bad.yaml"), bad).unwrap();
    let bad = fake::run_without_credential(directory.path(), &["check", "bad.yaml"]);
    assert_eq!(bad.code, 1);
    assert!(bad.out.contains("bad.yaml: line 1, column 8: formt: is not a field"), "{}", bad.out);
    assert!(bad.out.contains("bad.yaml: line 4, column 46: accounts[0].rate: 0 is out of range"));
    assert!(bad.out.ends_with("bad.yaml: 3 faults\n"));

    let json = fake::run_without_credential(directory.path(), &["check", "bad.yaml", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(json["faults"].as_array().unwrap().len(), 3);
}

#[test]
fn signing_keys_are_accessible_to_their_owner_only() {
    let directory = directory();
    let key = sign_bundle(directory.path());
    let file = directory.path().join("alice.key");
    assert_eq!(fake::mode(&file), 0o600);
    let secret = fs::read_to_string(&file).unwrap();
    assert_ne!(secret.trim(), key);

    let again = fake::run_without_credential(
        directory.path(),
        &["signer", "new", "alice", "--output", "alice.key"],
    );
    assert_eq!(again.code, 2, "{again:?}");
    assert_eq!(fs::read_to_string(&file).unwrap(), secret);

    fake::set_mode(&file, 0o640);
    let sign = ["sign", "bundle.yaml", "--key", "alice.key", "--signer", "alice"];
    let open = fake::run_without_credential(directory.path(), &sign);
    assert_eq!(open.code, 2);
    assert!(open.err.contains("chmod 600 alice.key"), "{}", open.err);
}

#[test]
fn a_bundle_with_faults_is_not_signed() {
    let directory = directory();
    sign_bundle(directory.path());
    fs::write(directory.path().join("bundle.yaml"), "format: 1\n").unwrap();
    let sign = ["sign", "bundle.yaml", "--key", "alice.key", "--signer", "alice"];
    let refused = fake::run_without_credential(directory.path(), &sign);
    assert_eq!((refused.code, refused.out.as_str()), (1, ""));
    assert!(refused.err.contains("accounts: is missing"), "{}", refused.err);
}

#[test]
fn verify_names_the_signer_and_rejects_an_altered_document() {
    let directory = directory();
    let key = sign_bundle(directory.path());
    let verify = ["verify", "bundle.signed", "--signer-key"];
    let good = fake::run_without_credential(directory.path(), &[&verify[..], &[&key]].concat());
    assert_eq!(good.code, 0, "{good:?}");
    assert!(good.out.starts_with("signed by alice "), "{}", good.out);

    let file = directory.path().join("bundle.signed");
    let altered = fs::read_to_string(&file).unwrap().replace("rate: 100", "rate: 900");
    fs::write(&file, altered).unwrap();
    let bad = fake::run_without_credential(directory.path(), &[&verify[..], &[&key]].concat());
    assert_eq!(bad.code, 1, "{bad:?}");
    assert!(bad.err.contains("altered"), "{}", bad.err);
}

#[test]
fn diff_compares_two_files() {
    let directory = directory();
    sign_bundle(directory.path());
    fs::write(directory.path().join("new.yaml"), BUNDLE.replace("rate: 100", "rate: 200")).unwrap();
    let diff = fake::run_without_credential(
        directory.path(),
        &["diff", "new.yaml", "--against", "bundle.signed"],
    );
    assert_eq!(diff.code, 0, "{diff:?}");
    assert!(diff.out.starts_with("account mayors: rate 100 -> 200 tokens a second\n"));
}
