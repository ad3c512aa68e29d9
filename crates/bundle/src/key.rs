//! Client keys.
//!
//! A key is the text `pp.ID.SECRET`. The bundle and the amendments have only
//! its public id and the digest of the whole text.

use std::fmt;

use subtle::ConstantTimeEq as _;

use crate::error;

/// A key as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The public part.
    pub id: ids::Key,
    /// SHA-256 digest of the whole key.
    pub digest: ids::Digest,
}

impl Entry {
    /// Whether `presented` is this key; takes the same time for every key.
    #[must_use]
    pub fn matches(&self, presented: &Presented) -> bool {
        let same = self.digest.as_bytes().ct_eq(presented.digest.as_bytes());
        self.id == presented.id && bool::from(same)
    }
}

/// A key as a caller presented it, without its secret.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Presented {
    /// The public part.
    pub id: ids::Key,
    /// SHA-256 digest of the whole key.
    pub digest: ids::Digest,
}

impl Presented {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Key`] if it is not of the form `pp.ID.SECRET`.
    pub fn parse(text: &str) -> error::Result<Self> {
        let malformed = || error::Error::new(error::Kind::Key, "a key has the form pp.ID.SECRET");
        let mut parts = text.splitn(3, '.');
        let (Some("pp"), Some(id), Some(secret)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(malformed());
        };
        if id.is_empty() || secret.is_empty() {
            return Err(malformed());
        }
        Ok(Self { id: id.into(), digest: ids::Digest::of(text.as_bytes()) })
    }
}

/// A key that was just made; shown once and kept nowhere.
pub struct Secret(String);

impl Secret {
    /// Makes a key with the public part `id` from 24 random bytes.
    #[must_use]
    pub fn new(id: &ids::Key, random: &[u8; 24]) -> Self {
        Self(format!("pp.{id}.{}", hex::encode(random)))
    }

    /// The whole key, to be shown to the operator.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// What is kept of it.
    #[must_use]
    pub fn entry(&self, id: &ids::Key) -> Entry {
        Entry { id: id.clone(), digest: ids::Digest::of(self.0.as_bytes()) }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
