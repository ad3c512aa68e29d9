//! What has been in force.

use std::sync;

/// What a version of the head changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A bundle was accepted.
    Bundle {
        /// Digest of the signed document, its name in the object store.
        document: ids::Digest,
        /// Who signed it.
        signer: sync::Arc<str>,
        /// When it was signed, in seconds since the epoch.
        signed_at: u64,
    },
    /// The amendments were changed.
    Amendment(crate::amend::Change),
}

/// One version of the head.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The version.
    pub version: ids::Version,
    /// What it changed.
    pub change: Change,
}
