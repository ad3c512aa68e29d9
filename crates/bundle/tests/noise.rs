//! Random and mutated texts are rejected with an error and cause no panic.

use bundle::{key, signed};

/// Seed of the generator of texts.
const SEED: u64 = 0x6e6f_6973_6531;

const TEXT: &str = "
format: 1
deployment: demo
centres: [north]
accounts: []
weights: {loads_per_second: 1.5, loads_at_once: 10}
";

fn seeded_quickcheck() -> quickcheck::QuickCheck {
    println!("seed {SEED:#x}");
    quickcheck::QuickCheck::new().rng(quickcheck::Gen::from_size_and_seed(200, SEED)).tests(300)
}

#[test]
fn random_texts_are_rejected_as_documents_bundles_and_keys() {
    let property = |text: String| {
        signed::Document::parse(&text).unwrap_err();
        bundle::read(&text).unwrap_err();
        assert!(!bundle::check::run(&text).is_ok());
        key::Presented::parse(&text).is_err()
    };
    seeded_quickcheck().quickcheck(property as fn(String) -> bool);
}

#[test]
fn a_key_is_parsed_whatever_its_secret_contains() {
    let property = |id: u64, secret: String| {
        let text = format!("pp.k{id}.{secret}");
        match key::Presented::parse(&text) {
            Ok(key) => key.id.as_str() == format!("k{id}") && !secret.is_empty(),
            Err(_) => secret.is_empty(),
        }
    };
    seeded_quickcheck().quickcheck(property as fn(u64, String) -> bool);
}

#[test]
fn an_altered_document_never_opens_with_other_contents() {
    let property = |place: usize, byte: u8| {
        let secret = signed::Secret::new([7; 32]);
        let signers = [signed::Signer::new("alice", secret.public())];
        let json = signed::sign(TEXT, &secret, "alice", 42).to_json();
        let before = signed::open(&json, &signers).unwrap();
        let mut bytes = json.into_bytes();
        let place = place % bytes.len();
        bytes[place] = byte;
        let altered = String::from_utf8_lossy(&bytes);
        signed::open(&altered, &signers).map_or(true, |after| after == before)
    };
    seeded_quickcheck().quickcheck(property as fn(usize, u8) -> bool);
}
