//! Signed documents: a bundle's text, who signed it off and when.
//!
//! A [`Document`] is JSON. Its signature is ed25519 over a digest that is
//! separated by domain and covers the text, the signer's name and the time,
//! so none of them can be altered alone. [`open`] is the only way from a
//! document to a bundle that may be put in force.
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

/// Separates these signatures from any others made with the same key.
const DOMAIN: &[u8] = b"primroseplank/signed-bundle/1";

/// Length of a key, public or secret, in bytes.
const KEY_BYTES: usize = 32;

/// A bundle's text with its signature.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The bundle, as YAML text.
    pub bundle: sync::Arc<str>,
    /// Name of the signer, as in the settings.
    pub signer: sync::Arc<str>,
    /// When it was signed, in seconds since the epoch.
    pub signed_at: u64,
    /// The signature, in hexadecimal digits.
    pub signature: String,
}

impl Document {
    /// Reads a document without looking at its signature.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Format`] with line and column if it is not such a
    /// document.
    pub fn parse(text: &str) -> error::Result<Self> {
        serde_json::from_str(text).map_err(|cause| {
            let reason = format!("a signed document is JSON as made by `sign`: {cause}");
            error::Error::new(error::Kind::Format, reason)
        })
    }

    /// The document's text, as it is sent and stored.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::json!(self).to_string()
    }
}

/// The public half of a signing key: 64 hexadecimal digits.
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

/// The secret half of a signing key.
pub struct Secret(ed25519_dalek::SigningKey);

impl Secret {
    /// The key that 32 random bytes make.
    #[must_use]
    pub fn new(random: [u8; KEY_BYTES]) -> Self {
        Self(ed25519_dalek::SigningKey::from_bytes(&random))
    }

    /// Reads a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Format`] if the text is anything else; the text is not
    /// part of the error.
    pub fn parse(text: &str) -> error::Result<Self> {
        let mut raw = [0; KEY_BYTES];
        let decoded = hex::decode_to_slice(text.trim(), &mut raw);
        decoded.map_err(|_cause| {
            let reason = "a signing key is 64 hexadecimal digits";
            error::Error::new(error::Kind::Format, reason)
        })?;
        Ok(Self::new(raw))
    }

    /// The key as 64 hexadecimal digits, to be kept in a file of its owner.
    #[must_use]
    pub fn reveal(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    /// The public half, to be named in the settings.
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

/// Someone who may sign bundles off, as named in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signer {
    /// Name, as in the documents.
    pub name: sync::Arc<str>,
    /// Public key.
    pub key: Public,
}

impl Signer {
    /// The signer `name` with the public key `key`.
    #[must_use]
    pub fn new(name: &str, key: Public) -> Self {
        Self { name: name.into(), key }
    }
}

/// A document whose signature holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Opened {
    /// The bundle.
    pub bundle: format::Bundle,
    /// Who signed it.
    pub signer: sync::Arc<str>,
    /// When it was signed, in seconds since the epoch.
    pub signed_at: u64,
}

/// Signs the bundle `text` in the name `signer` at `signed_at` seconds since
/// the epoch. Whether the text is a bundle is not looked at.
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

/// Reads the document `text`, checks that one of `signers` signed it and reads
/// the bundle in it.
///
/// More than one signer may have the same name, so that a key can be replaced
/// without a gap. An empty list refuses everything.
///
/// # Errors
///
/// [`error::Kind::Format`] if it is not a document or the bundle in it is not
/// one; [`error::Kind::Signature`] if its signer is not listed or the
/// signature does not hold.
pub fn open(text: &str, signers: &[Signer]) -> error::Result<Opened> {
    let document = Document::parse(text)?;
    verify(&document, signers)?;
    Ok(Opened {
        bundle: format::read(&document.bundle)?,
        signer: document.signer,
        signed_at: document.signed_at,
    })
}

/// Checks that one of `signers` signed `document`.
///
/// # Errors
///
/// [`error::Kind::Signature`] if its signer is not listed or the signature
/// does not hold.
pub fn verify(document: &Document, signers: &[Signer]) -> error::Result<()> {
    let refused = |reason: String| error::Error::new(error::Kind::Signature, reason);
    let name = &document.signer;
    let mut named = signers.iter().filter(|signer| signer.name == *name).peekable();
    if named.peek().is_none() {
        return Err(refused(format!("{name:?} is not among the signers")));
    }
    let digest = digest(&document.bundle, name, document.signed_at);
    let altered = || refused(format!("the document was altered or not signed by {name:?}"));
    let signature = signature(&document.signature).ok_or_else(altered)?;
    if named.any(|signer| signer.key.0.verify_strict(&digest, &signature).is_ok()) {
        return Ok(());
    }
    Err(altered())
}

fn signature(text: &str) -> Option<ed25519_dalek::Signature> {
    let mut raw = [0; ed25519_dalek::SIGNATURE_LENGTH];
    hex::decode_to_slice(text, &mut raw).ok()?;
    Some(ed25519_dalek::Signature::from_bytes(&raw))
}

fn digest(text: &str, signer: &str, signed_at: u64) -> [u8; 32] {
    let mut hasher = sha2::Sha256::new();
    for part in [DOMAIN, text.as_bytes(), signer.as_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(signed_at.to_be_bytes());
    hasher.finalize().into()
}
