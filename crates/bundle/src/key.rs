//! Client keys.
//!
//! A key is the text `pp.ID.SECRET`. The bundle and the amendments store only
//! its public id and the digest of the whole text.

use std::fmt;

use subtle::ConstantTimeEq as _;

use crate::error;

/// A key as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The public part of the key, `ID`.
    pub id: ids::Key,
    /// SHA-256 digest of the whole key.
    pub digest: ids::Digest,
}

impl Entry {
    /// Returns whether `presented` is this key.
    ///
    /// Digests are compared in constant time.
    #[must_use]
    pub fn matches(&self, presented: &Presented) -> bool {
        let digests_equal = self.digest.as_bytes().ct_eq(presented.digest.as_bytes());
        self.id == presented.id && bool::from(digests_equal)
    }
}

/// A key as a caller presented it, reduced to its id and digest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Presented {
    /// The public part of the key, `ID`.
    pub id: ids::Key,
    /// SHA-256 digest of the whole key.
    pub digest: ids::Digest,
}

impl Presented {
    /// Parses a key and digests it.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Key`] if the text is not of the form `pp.ID.SECRET`.
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

/// A newly generated key, to be shown once and never stored.
pub struct Secret(String);

impl Secret {
    /// Builds a key with the public part `id` and a secret of 24 random bytes.
    #[must_use]
    pub fn new(id: &ids::Key, random: &[u8; 24]) -> Self {
        Self(format!("pp.{id}.{}", hex::encode(random)))
    }

    /// Returns the whole key, to be shown to the operator.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the form of the key that is stored.
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
