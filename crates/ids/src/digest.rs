//! SHA-256 digests that identify immutable objects.

use std::{fmt, str};

use sha2::Digest as _;

/// Result of parsing a digest.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// a digest is 64 hexadecimal digits, not {0:?}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error(String);

impl std::error::Error for Error {}

/// The SHA-256 digest of an object's bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(sha2::Sha256::digest(bytes).into())
    }

    /// Returns the 32 raw bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl str::FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut raw = [0; 32];
        match hex::decode_to_slice(text, &mut raw) {
            Ok(()) => Ok(Self(raw)),
            Err(_) => Err(Error(text.to_owned())),
        }
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..6]))
    }
}
