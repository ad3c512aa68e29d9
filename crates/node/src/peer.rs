//! Messages between VMs.

use std::sync;

/// A message between VMs, which may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Message of the membership protocol, about the head.
    #[serde(rename = "m")]
    Member(member::Message),
    /// Requests an object that the head names.
    #[serde(rename = "w")]
    Fetch {
        /// Digest of the object.
        digest: ids::Digest,
    },
    /// Answers [`Message::Fetch`] with an object.
    #[serde(rename = "o")]
    Object {
        /// Text of the object, from which the receiver computes the digest.
        text: sync::Arc<str>,
    },
    /// Message of the quota protocol, about shares of rates and bursts.
    #[serde(rename = "q")]
    Quota(quota::Message),
}
