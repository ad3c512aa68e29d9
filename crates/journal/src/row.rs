//! Claims as rows in the table service.
//!
//! There is one row for each account, route and idempotency key. Its text is
//! the JSON of a [`Row`]; every change is conditional on the row's version.
//!
//! A released claim is not deleted but becomes [`State::Released`]. A delayed
//! write of the claim expects an older version, or no row, and so can never take
//! effect after the release. If the row were deleted, it could.

use std::sync;

use base64::Engine as _;
use serde::Deserialize as _;

/// Prefix of the keys of all claims.
pub const PREFIX: &str = "claim/";

/// A target's answer, stored for replay to retrying callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub media: sync::Arc<str>,
    /// The body, base64-encoded in the row.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub body: bytes::Bytes,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The claiming VM may send the call, or has sent it.
    Claimed,
    /// The call ran and returned this answer.
    Answered(Answer),
    /// The call may have run; its answer is permanently lost.
    Unknown,
    /// The call was not run; any VM may claim the key again.
    Released,
}

/// A claim as stored in the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The account; informational, since the row key already covers it.
    pub account: ids::Account,
    /// The route; informational like the account.
    pub route: sync::Arc<str>,
    /// Digest of the whole request, to detect reuse of the key with another one.
    pub digest: ids::Digest,
    /// The claiming VM.
    pub vm: ids::Vm,
    /// Incarnation of the claiming VM.
    pub incarnation: ids::Incarnation,
    /// Identifies this claim uniquely across VMs.
    pub nonce: sync::Arc<str>,
    /// State of the claim.
    pub state: State,
}

impl Row {
    /// Parses a row's text; `None` if it is not a claim.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Serializes the claim to the row's text.
    #[must_use]
    pub fn to_json(&self) -> sync::Arc<str> {
        serde_json::json!(self).to_string().into()
    }
}

/// Returns the row key for an account's idempotency key on a route.
#[must_use]
pub fn key(account: &ids::Account, route: &str, idempotency_key: &str) -> sync::Arc<str> {
    let parts = [account.as_str(), route, idempotency_key];
    let digest = ids::Digest::of(&length_prefixed(&parts));
    format!("{PREFIX}{digest}").into()
}

/// Concatenates `parts`, each with a length prefix, so that different lists
/// never give the same bytes.
pub(crate) fn length_prefixed(parts: &[&str]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend((part.len() as u64).to_be_bytes());
        bytes.extend(part.as_bytes());
    }
    bytes
}

fn encode<S: serde::Serializer>(body: &bytes::Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&base64::engine::general_purpose::STANDARD.encode(body))
}

fn decode<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<bytes::Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    let body = base64::engine::general_purpose::STANDARD.decode(text);
    body.map(Into::into).map_err(serde::de::Error::custom)
}
