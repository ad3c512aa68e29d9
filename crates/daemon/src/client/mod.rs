//! HTTP towards targets and the platform.

pub mod event_stream;
pub mod platform;
pub mod runner;
pub mod service;

use std::{fmt, time};

use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{client::legacy, rt};

use crate::settings;

/// Most idle connections kept to one target or platform part.
const IDLE_CONNECTIONS: usize = 64;
/// Longest time for which an idle connection is kept.
const IDLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Largest answer of a runner that is no stream, and of the platform, in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A request with its whole body.
pub type Request = http::Request<Full<bytes::Bytes>>;

/// Outcome of a request.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// How a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Before a byte of it was written.
    Unsent(String),
    /// After a byte of it may have been written.
    Broken(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(reason) => write!(f, "not sent: {reason}"),
            Self::Broken(reason) => write!(f, "no whole answer: {reason}"),
        }
    }
}

impl std::error::Error for Failure {}

type Connector = legacy::connect::HttpConnector;

/// Sends requests over pooled connections, or each over a fresh one.
#[derive(Clone, Debug)]
pub struct Client {
    pooled: legacy::Client<Connector, Full<bytes::Bytes>>,
    fresh: legacy::Client<Connector, Full<bytes::Bytes>>,
}

impl Client {
    /// A client with the time limits of `limits`.
    #[must_use]
    pub fn new(limits: &settings::Limits) -> Self {
        let mut connector = Connector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.connect_ms.millis()));
        let pooled = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(IDLE_TIME)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector.clone());
        // A connection that is used again may be found closed only after the
        // request was written, so a call that may not be repeated gets its own.
        let fresh = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { pooled, fresh }
    }

    /// Sends a request that may be repeated and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// [`Failure`], also if the head takes longer than `longest`.
    pub async fn send(
        &self,
        request: Request,
        longest: time::Duration,
    ) -> Result<http::Response<Incoming>> {
        head(&self.pooled, request, longest).await
    }

    /// Sends a request over a connection of its own and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// [`Failure`], also if the head takes longer than `longest`.
    pub async fn send_fresh(
        &self,
        request: Request,
        longest: time::Duration,
    ) -> Result<http::Response<Incoming>> {
        head(&self.fresh, request, longest).await
    }
}

async fn head(
    client: &legacy::Client<Connector, Full<bytes::Bytes>>,
    request: Request,
    longest: time::Duration,
) -> Result<http::Response<Incoming>> {
    let answered = tokio::time::timeout(longest, client.request(request)).await;
    match answered {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(cause)) if cause.is_connect() => Err(Failure::Unsent(chain(&cause))),
        Ok(Err(cause)) => Err(Failure::Broken(chain(&cause))),
        Err(_elapsed) => {
            Err(Failure::Broken(format!("no answer within {} ms", longest.as_millis())))
        }
    }
}

/// Reads a body of `most` bytes at most, within `longest`.
async fn whole(
    response: http::Response<Incoming>,
    most: usize,
    longest: time::Duration,
) -> Result<bytes::Bytes> {
    let reading = Limited::new(response.into_body(), most).collect();
    match tokio::time::timeout(longest, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) => Err(Failure::Broken(cause.to_string())),
        Err(_elapsed) => {
            Err(Failure::Broken(format!("no whole answer within {} ms", longest.as_millis())))
        }
    }
}

/// An error with what caused it.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// A JSON request.
fn json<T: serde::Serialize>(method: http::Method, uri: &str, body: &T) -> Result<Request> {
    let body = serde_json::to_vec(body).map_err(|cause| Failure::Unsent(cause.to_string()))?;
    http::Request::builder()
        .method(method)
        .uri(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .map_err(|cause| Failure::Unsent(cause.to_string()))
}

/// A request without a body.
fn empty(method: http::Method, uri: &str) -> Result<Request> {
    http::Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::default())
        .map_err(|cause| Failure::Unsent(cause.to_string()))
}
