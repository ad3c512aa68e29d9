//! Random and mutated texts are refused with an error and never panic.

use bundle::{key, signed};

/// Seed of the texts.
const SEED: u64 = 0x6e6f_6973_6531;

const TEXT: &str = "
format: 1
deployment: demo
centres: [north]
accounts: []
weights: {loads_per_second: 1.5, loads_at_once: 10}
";

fn quickcheck() -> quickcheck::QuickCheck {
    println!("seed {SEED:#x}");
    quickcheck::QuickCheck::new().rng(quickcheck::Gen::from_size_and_seed(200, SEED)).tests(300)
}

#[test]
fn random_texts_are_no_documents_bundles_or_keys() {
    let property = |text: String| {
        signed::Document::parse(&text).unwrap_err();
        bundle::read(&text).unwrap_err();
        assert!(!bundle::check::run(&text).is_ok());
        key::Presented::parse(&text).is_err()
    };
    quickcheck().quickcheck(property as fn(String) -> bool);
}

#[test]
fn a_key_is_read_whatever_its_secret_has() {
    let property = |id: u64, secret: String| {
        let text = format!("pp.k{id}.{secret}");
        match key::Presented::parse(&text) {
            Ok(key) => key.id.as_str() == format!("k{id}") && !secret.is_empty(),
            Err(_) => secret.is_empty(),
        }
    };
    quickcheck().quickcheck(property as fn(u64, String) -> bool);
}

#[test]
fn an_altered_document_does_not_open_as_another() {
    let property = |place: usize, byte: u8| {
        let secret = signed::Secret::new([7; 32]);
        let signers = [signed::Signer::new("alice", secret.public())];
        let whole = signed::sign(TEXT, &secret, "alice", 42).to_json();
        let before = signed::open(&whole, &signers).unwrap();
        let mut bytes = whole.into_bytes();
        let place = place % bytes.len();
        bytes[place] = byte;
        let altered = String::from_utf8_lossy(&bytes);
        signed::open(&altered, &signers).map_or(true, |after| after == before)
    };
    quickcheck().quickcheck(property as fn(usize, u8) -> bool);
}
