//! Signed documents: a bundle's text with its signer, time and signature.
//!
//! A [`Document`] is JSON. Its signature is ed25519 over a domain-separated
//! digest of the text, the signer's name and the time, so that none of them can
//! be altered without invalidating it. Only a bundle that [`open`] returns may
//! be put in force.
//!
//! ```
//! use bundle::signed;
//!
//! # let text = "
//! # format: 1
//! # deployment: demo
//! # centres: [north]
//! # accounts: []
//! # weights: {loads_per_second: 1.5, loads_at_once: 10}
//! # ";
//! let secret = signed::Secret::new([7; 32]);
//! let signers = [signed::Signer::new("alice", secret.public())];
//!
//! let document = signed::sign(text, &secret, "alice", 1_700_000_000);
//! let opened = signed::open(&document.to_json(), &signers).unwrap();
//! assert_eq!(&*opened.signer, "alice");
//! assert!(signed::open(&document.to_json(), &[]).is_err());
//! ```

use std::{fmt, sync};

use ed25519_dalek::Signer as _;
use sha2::Digest as _;

use crate::{error, format};

/// Domain separator: keeps these signatures apart from others made with the same key.
const DOMAIN: &[u8] = b"primroseplank/signed-bundle/1";

/// Length of a public or secret key, in bytes.
const KEY_BYTES: usize = 32;

/// A bundle's text with its signer, time and signature.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The bundle, as YAML text.
    pub bundle: sync::Arc<str>,
    /// Name of the signer, as in the settings.
    pub signer: sync::Arc<str>,
    /// Time of signing, in seconds since the Unix epoch.
    pub signed_at: u64,
    /// The signature, in hexadecimal digits.
    pub signature: String,
}

impl Document {
    /// Parses a document without verifying its signature.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Format`] with line and column if the text is not a
    /// signed document.
    pub fn parse(text: &str) -> error::Result<Self> {
        serde_json::from_str(text).map_err(|cause| {
            let reason = format!("a signed document is JSON as made by `sign`: {cause}");
            error::Error::new(error::Kind::Format, reason)
        })
    }

    /// Returns the document as JSON text, as it is sent and stored.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::json!(self).to_string()
    }
}

/// A public signing key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Public(ed25519_dalek::VerifyingKey);

impl fmt::Display for Public {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.as_bytes()))
    }
}

impl fmt::Debug for Public {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Public({self})")
    }
}

impl From<Public> for String {
    fn from(public: Public) -> Self {
        public.to_string()
    }
}

impl TryFrom<String> for Public {
    type Error = error::Error;

    fn try_from(text: String) -> error::Result<Self> {
        let malformed = || {
            let reason = "a signer's key is an ed25519 public key of 64 hexadecimal digits";
            error::Error::new(error::Kind::Format, reason)
        };
        let mut raw = [0; KEY_BYTES];
        hex::decode_to_slice(&text, &mut raw).map_err(|_cause| malformed())?;
        let key = ed25519_dalek::VerifyingKey::from_bytes(&raw).map_err(|_cause| malformed())?;
        Ok(Self(key))
    }
}

/// A secret signing key. Its `Debug` output does not show the key.
pub struct Secret(ed25519_dalek::SigningKey);

impl Secret {
    /// Builds the key from 32 random bytes.
    #[must_use]
    pub fn new(random: [u8; KEY_BYTES]) -> Self {
        Self(ed25519_dalek::SigningKey::from_bytes(&random))
    }

    /// Parses a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Format`] if the text is anything else. The error does
    /// not contain the text.
    pub fn parse(text: &str) -> error::Result<Self> {
        let mut raw = [0; KEY_BYTES];
        let decoded = hex::decode_to_slice(text.trim(), &mut raw);
        decoded.map_err(|_cause| {
            let reason = "a signing key is 64 hexadecimal digits";
            error::Error::new(error::Kind::Format, reason)
        })?;
        Ok(Self::new(raw))
    }

    /// Returns the key as 64 hexadecimal digits, to be stored in a file that
    /// only its owner can read.
    #[must_use]
    pub fn reveal(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    /// Returns the public key, to be listed in the settings.
    #[must_use]
    pub fn public(&self) -> Public {
        Public(self.0.verifying_key())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A person who may sign bundles, as listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signer {
    /// Name, as it appears in documents.
    pub name: sync::Arc<str>,
    /// Public key that verifies the signatures.
    pub key: Public,
}

impl Signer {
    /// Returns the signer `name` with the public key `key`.
    #[must_use]
    pub fn new(name: &str, key: Public) -> Self {
        Self { name: name.into(), key }
    }
}

/// The contents of a document whose signature is valid.
#[derive(Clone, Debug, PartialEq)]
pub struct Opened {
    /// The bundle.
    pub bundle: format::Bundle,
    /// Name of the signer.
    pub signer: sync::Arc<str>,
    /// Time of signing, in seconds since the Unix epoch.
    pub signed_at: u64,
}

/// Signs the bundle `text` as `signer` at `signed_at`, in seconds since the
/// Unix epoch.
///
/// The text is not checked.
#[must_use]
pub fn sign(text: &str, secret: &Secret, signer: &str, signed_at: u64) -> Document {
    let digest = digest(text, signer, signed_at);
    Document {
        bundle: text.into(),
        signer: signer.into(),
        signed_at,
        signature: hex::encode(secret.0.sign(&digest).to_bytes()),
    }
}

/// Parses the document `text`, verifies that one of `signers` signed it and
/// parses the bundle in it.
///
/// Several signers may share a name, so that a key can be rotated without a
/// gap. An empty list rejects every document.
///
/// # Errors
///
/// [`error::Kind::Format`] if the text is not a document or does not contain a
/// bundle; [`error::Kind::Signature`] if its signer is not listed or the
/// signature is invalid.
pub fn open(text: &str, signers: &[Signer]) -> error::Result<Opened> {
    let document = Document::parse(text)?;
    verify(&document, signers)?;
    Ok(Opened {
        bundle: format::read(&document.bundle)?,
        signer: document.signer,
        signed_at: document.signed_at,
    })
}

/// Verifies that one of `signers` signed `document`.
///
/// # Errors
///
/// [`error::Kind::Signature`] if its signer is not listed or the signature
/// is invalid.
pub fn verify(document: &Document, signers: &[Signer]) -> error::Result<()> {
    let rejected = |reason: String| error::Error::new(error::Kind::Signature, reason);
    let name = &document.signer;
    let mut candidates = signers.iter().filter(|signer| signer.name == *name).peekable();
    if candidates.peek().is_none() {
        return Err(rejected(format!("{name:?} is not among the signers")));
    }
    let digest = digest(&document.bundle, name, document.signed_at);
    let altered = || rejected(format!("the document was altered or not signed by {name:?}"));
    let signature = parse_signature(&document.signature).ok_or_else(altered)?;
    if candidates.any(|signer| signer.key.0.verify_strict(&digest, &signature).is_ok()) {
        return Ok(());
    }
    Err(altered())
}

fn parse_signature(text: &str) -> Option<ed25519_dalek::Signature> {
    let mut raw = [0; ed25519_dalek::SIGNATURE_LENGTH];
    hex::decode_to_slice(text, &mut raw).ok()?;
    Some(ed25519_dalek::Signature::from_bytes(&raw))
}

/// Digest that is signed: each part is prefixed with its length, so that no two
/// different inputs concatenate to the same bytes.
fn digest(text: &str, signer: &str, signed_at: u64) -> [u8; 32] {
    let mut hasher = sha2::Sha256::new();
    for part in [DOMAIN, text.as_bytes(), signer.as_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(signed_at.to_be_bytes());
    hasher.finalize().into()
}
