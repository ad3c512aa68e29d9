//! Signed documents: only an unaltered document of a listed signer opens.

use bundle::{error, signed};

const TEXT: &str = "
format: 1
deployment: demo
centres: [north]
accounts: []
weights: {loads_per_second: 1.5, loads_at_once: 10}
";

fn secret() -> signed::Secret {
    signed::Secret::new([7; 32])
}

fn kind(document: &signed::Document, signers: &[signed::Signer]) -> Option<error::Kind> {
    let opened = signed::open(&document.to_json(), signers);
    opened.err().map(|error| error.kind())
}

#[test]
fn opens_what_a_listed_signer_signed() {
    let signers = [signed::Signer::new("alice", secret().public())];
    let document = signed::sign(TEXT, &secret(), "alice", 42);
    let opened = signed::open(&document.to_json(), &signers).unwrap();
    assert_eq!((&*opened.signer, opened.signed_at), ("alice", 42));
    assert_eq!(&*opened.bundle.deployment, "demo");
}

#[test]
fn no_signers_refuse_everything() {
    let document = signed::sign(TEXT, &secret(), "alice", 42);
    assert_eq!(kind(&document, &[]), Some(error::Kind::Signature));
}

#[test]
fn each_altered_field_is_refused() {
    let other = signed::Secret::new([8; 32]);
    let signers = [
        signed::Signer::new("alice", secret().public()),
        signed::Signer::new("bob", other.public()),
    ];
    let document = signed::sign(TEXT, &secret(), "alice", 42);
    let text = TEXT.replace("demo", "other");
    let altered = [
        signed::Document { bundle: text.into(), ..document.clone() },
        signed::Document { signer: "bob".into(), ..document.clone() },
        signed::Document { signer: "carol".into(), ..document.clone() },
        signed::Document { signed_at: 43, ..document.clone() },
        signed::Document { signature: String::new(), ..document.clone() },
        signed::Document { signature: "0".repeat(128), ..document.clone() },
        signed::sign(TEXT, &other, "alice", 42),
    ];
    assert_eq!(kind(&document, &signers), None);
    for document in altered {
        assert_eq!(kind(&document, &signers), Some(error::Kind::Signature), "{document:?}");
    }
}

#[test]
fn a_signer_may_have_an_old_and_a_new_key() {
    let new = signed::Secret::new([9; 32]);
    let signers = [
        signed::Signer::new("alice", secret().public()),
        signed::Signer::new("alice", new.public()),
    ];
    for secret in [secret(), new] {
        let document = signed::sign(TEXT, &secret, "alice", 42);
        assert_eq!(kind(&document, &signers), None);
    }
}

#[test]
fn a_signer_is_written_as_in_the_settings() {
    let signer = signed::Signer::new("alice", secret().public());
    let text = serde_json::to_string(&signer).unwrap();
    assert_eq!(text, format!(r#"{{"name":"alice","key":"{}"}}"#, secret().public()));
    assert_eq!(serde_json::from_str::<signed::Signer>(&text).unwrap(), signer);
    let short = serde_json::from_str::<signed::Signer>(r#"{"name":"a","key":"12"}"#);
    assert!(short.unwrap_err().to_string().contains("64 hexadecimal digits"));
}

#[test]
fn secrets_do_not_show() {
    let shown = format!("{:?}", secret());
    assert!(!shown.contains("07"), "{shown}");
    let error = signed::Secret::parse("not a secret").unwrap_err();
    assert!(!error.to_string().contains("not a secret"), "{error}");
}
