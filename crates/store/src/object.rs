//! The object store.
//!
//! Objects are immutable and addressed by the digest of their bytes. Over HTTP:
//! `PUT /objects/DIGEST` (status 204) and `GET /objects/DIGEST` (200 or 404).

use std::sync;

/// A request to the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Reads an object.
    Get {
        /// Digest of the object's bytes.
        digest: ids::Digest,
    },
    /// Writes an object. Idempotent: writing it again has no effect.
    Put {
        /// The object's text, stored under its digest.
        text: sync::Arc<str>,
    },
}

/// An answer of the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The object, or `None` if it does not exist.
    Object(Option<sync::Arc<str>>),
    /// The object is stored.
    Stored,
}
