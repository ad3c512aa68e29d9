//! Calls begun at a target, as the judge of what ran.

use std::{collections, sync};

use crate::face;

/// One call that a target has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Call {
    /// The header that names the attempt.
    pub attempt: Option<String>,
    /// The header that names the stream.
    pub stream: Option<String>,
    /// The request's path.
    pub path: String,
    /// The header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Digest of the body.
    pub body_digest: ids::Digest,
    /// All headers seen.
    pub headers: collections::BTreeMap<String, String>,
}

impl Call {
    /// The call that `request` begins.
    #[must_use]
    pub fn of(request: &face::Request) -> Self {
        let text = |name: &str| request.header(name).map(str::to_owned);
        let headers = request.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        Self {
            attempt: text(engine::header::CALL),
            stream: text(engine::header::STREAM),
            path: request.path.clone(),
            idempotency_key: text("idempotency-key"),
            body_digest: ids::Digest::of(&request.body),
            headers: headers.collect(),
        }
    }
}

/// Every call begun, in order.
#[derive(Debug, Default)]
pub struct Calls(sync::Mutex<Vec<Call>>);

impl Calls {
    /// Notes that `request` has begun to run; returns how many have.
    pub fn begin(&self, request: &face::Request) -> usize {
        let mut calls = self.lock();
        calls.push(Call::of(request));
        calls.len()
    }

    /// The answer to `GET /calls`.
    #[must_use]
    pub fn reply(&self) -> face::Reply {
        face::Reply::json(http::StatusCode::OK, &*self.lock())
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Call>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
