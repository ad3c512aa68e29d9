//! Only an unaltered document of a listed signer can be opened.

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

/// The class of the error from opening `document`; `None` if it opens.
fn open_error(document: &signed::Document, signers: &[signed::Signer]) -> Option<error::Kind> {
    let opened = signed::open(&document.to_json(), signers);
    opened.err().map(|error| error.kind())
}

#[test]
fn a_document_of_a_listed_signer_opens() {
    let signers = [signed::Signer::new("alice", secret().public())];
    let document = signed::sign(TEXT, &secret(), "alice", 42);
    let opened = signed::open(&document.to_json(), &signers).unwrap();
    assert_eq!((&*opened.signer, opened.signed_at), ("alice", 42));
    assert_eq!(&*opened.bundle.deployment, "demo");
}

#[test]
fn an_empty_list_of_signers_rejects_every_document() {
    let document = signed::sign(TEXT, &secret(), "alice", 42);
    assert_eq!(open_error(&document, &[]), Some(error::Kind::Signature));
}

#[test]
fn a_document_with_any_altered_field_is_rejected() {
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
    assert_eq!(open_error(&document, &signers), None);
    for document in altered {
        assert_eq!(open_error(&document, &signers), Some(error::Kind::Signature), "{document:?}");
    }
}

#[test]
fn documents_open_with_the_old_and_the_new_key_of_a_signer() {
    let new = signed::Secret::new([9; 32]);
    let signers = [
        signed::Signer::new("alice", secret().public()),
        signed::Signer::new("alice", new.public()),
    ];
    for secret in [secret(), new] {
        let document = signed::sign(TEXT, &secret, "alice", 42);
        assert_eq!(open_error(&document, &signers), None);
    }
}

#[test]
fn a_signer_is_serialised_as_in_the_settings() {
    let signer = signed::Signer::new("alice", secret().public());
    let text = serde_json::to_string(&signer).unwrap();
    assert_eq!(text, format!(r#"{{"name":"alice","key":"{}"}}"#, secret().public()));
    assert_eq!(serde_json::from_str::<signed::Signer>(&text).unwrap(), signer);
    let short = serde_json::from_str::<signed::Signer>(r#"{"name":"a","key":"12"}"#);
    assert!(short.unwrap_err().to_string().contains("64 hexadecimal digits"));
}

#[test]
fn secrets_appear_in_no_debug_output_or_error() {
    let shown = format!("{:?}", secret());
    assert!(!shown.contains("07"), "{shown}");
    let error = signed::Secret::parse("not a secret").unwrap_err();
    assert!(!error.to_string().contains("not a secret"), "{error}");
}
