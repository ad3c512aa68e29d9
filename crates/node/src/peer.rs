//! What VMs tell one another.

use std::sync;

/// A message between VMs. It may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// About the head.
    #[serde(rename = "m")]
    Member(member::Message),
    /// Asks for an object that the head names.
    #[serde(rename = "w")]
    Fetch {
        /// Its digest.
        digest: ids::Digest,
    },
    /// An object that was asked for.
    #[serde(rename = "o")]
    Object {
        /// Its text, from which the receiver computes the digest.
        text: sync::Arc<str>,
    },
    /// About rates and bursts.
    #[serde(rename = "q")]
    Quota(quota::Message),
}
