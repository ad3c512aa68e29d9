//! HTTP client for targets and the platform.

pub mod event_stream;
pub mod platform;
pub mod runner;
pub mod service;

use std::{fmt, time};

use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{client::legacy, rt};

use crate::settings;

/// Maximum number of idle connections kept to one target or platform service.
const IDLE_CONNECTIONS: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Largest response body of a platform service, and of a runner if it is not a
/// stream, in bytes.
const RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A request whose body is in memory.
pub type Request = http::Request<Full<bytes::Bytes>>;

/// Result of a request.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// Failure of a request, by whether the target may have received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request failed before any byte of it was written.
    Unsent(String),
    /// The request failed after some of it may have been written.
    Broken(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(reason) => write!(f, "not sent: {reason}"),
            Self::Broken(reason) => write!(f, "no complete response: {reason}"),
        }
    }
}

impl std::error::Error for Failure {}

type Connector = legacy::connect::HttpConnector;

/// Sends requests over pooled connections, or each over a new connection.
#[derive(Clone, Debug)]
pub struct Client {
    pooled: legacy::Client<Connector, Full<bytes::Bytes>>,
    fresh: legacy::Client<Connector, Full<bytes::Bytes>>,
}

impl Client {
    /// Creates a client with the connect timeout of `limits`.
    #[must_use]
    pub fn new(limits: &settings::Limits) -> Self {
        let mut connector = Connector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.connect_ms.millis()));
        let pooled = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector.clone());
        // A reused connection may turn out to be closed only after the request was
        // written, so a request that must not be repeated gets its own connection.
        let fresh = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { pooled, fresh }
    }

    /// Sends a request that is safe to retry over a pooled connection and waits for the
    /// response head.
    ///
    /// # Errors
    ///
    /// [`Failure`] if there is no response head within `timeout`.
    pub async fn send(
        &self,
        request: Request,
        timeout: time::Duration,
    ) -> Result<http::Response<Incoming>> {
        send_request(&self.pooled, request, timeout).await
    }

    /// Sends a request over a new connection and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`Failure`] if there is no response head within `timeout`.
    pub async fn send_fresh(
        &self,
        request: Request,
        timeout: time::Duration,
    ) -> Result<http::Response<Incoming>> {
        send_request(&self.fresh, request, timeout).await
    }
}

async fn send_request(
    client: &legacy::Client<Connector, Full<bytes::Bytes>>,
    request: Request,
    timeout: time::Duration,
) -> Result<http::Response<Incoming>> {
    let result = tokio::time::timeout(timeout, client.request(request)).await;
    match result {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(cause)) if cause.is_connect() => Err(Failure::Unsent(error_chain(&cause))),
        Ok(Err(cause)) => Err(Failure::Broken(error_chain(&cause))),
        Err(_elapsed) => {
            Err(Failure::Broken(format!("no response within {} ms", timeout.as_millis())))
        }
    }
}

/// Reads a response body of at most `max_bytes` bytes within `timeout`.
async fn read_body(
    response: http::Response<Incoming>,
    max_bytes: usize,
    timeout: time::Duration,
) -> Result<bytes::Bytes> {
    let reading = Limited::new(response.into_body(), max_bytes).collect();
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) => Err(Failure::Broken(cause.to_string())),
        Err(_elapsed) => {
            Err(Failure::Broken(format!("no complete response within {} ms", timeout.as_millis())))
        }
    }
}

/// Formats an error with its chain of sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Builds a request with `body` as JSON.
fn json_request<T: serde::Serialize>(method: http::Method, uri: &str, body: &T) -> Result<Request> {
    let body = serde_json::to_vec(body).map_err(|cause| Failure::Unsent(cause.to_string()))?;
    http::Request::builder()
        .method(method)
        .uri(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .map_err(|cause| Failure::Unsent(cause.to_string()))
}

/// Builds a request without a body.
fn empty_request(method: http::Method, uri: &str) -> Result<Request> {
    http::Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::default())
        .map_err(|cause| Failure::Unsent(cause.to_string()))
}
