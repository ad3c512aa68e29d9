//! Claims as rows of the table service.
//!
//! There is one row for each account, route and idempotency key. Its text is
//! the JSON of a [`Row`]; every change is conditional on the row's version.
//!
//! A claim that was given back is not deleted but becomes
//! [`State::Released`]. A write of the claim that is still on its way expects
//! an older version, or no row, and so can never take effect after the claim
//! was given back. Deleting the row would let it in again.

use std::sync;

use base64::Engine as _;
use serde::Deserialize as _;

/// What the keys of all claims begin with.
pub const PREFIX: &str = "claim/";

/// A target's answer, kept for callers who ask again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: sync::Arc<str>,
    /// The body; base64 in the row.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub body: bytes::Bytes,
}

/// How far the call of a claim has come.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The claimer may send the call, or has sent it.
    Claimed,
    /// The call ran, and this is its answer.
    Answered(Answer),
    /// The call may have run; its answer is lost for ever.
    Unknown,
    /// Nothing was sent; anyone may claim anew.
    Released,
}

/// A claim as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The account, for whoever looks at the table.
    pub account: ids::Account,
    /// The route, likewise.
    pub route: sync::Arc<str>,
    /// Digest of the request.
    pub digest: ids::Digest,
    /// The claimer.
    pub vm: ids::Vm,
    /// The claimer's incarnation.
    pub incarnation: ids::Incarnation,
    /// Tells this claim from every other one.
    pub nonce: sync::Arc<str>,
    /// How far its call has come.
    pub state: State,
}

impl Row {
    /// Reads a row's text; `None` if it is not a claim.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The row's text.
    #[must_use]
    pub fn to_json(&self) -> sync::Arc<str> {
        serde_json::json!(self).to_string().into()
    }
}

/// Key of the row for an idempotency key of an account on a route.
#[must_use]
pub fn key(account: &ids::Account, route: &str, idempotency: &str) -> sync::Arc<str> {
    let parts = [account.as_str(), route, idempotency];
    let digest = ids::Digest::of(&framed(&parts));
    format!("{PREFIX}{digest}").into()
}

/// Joins texts such that no two lists of texts give the same bytes.
pub(crate) fn framed(parts: &[&str]) -> Vec<u8> {
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
