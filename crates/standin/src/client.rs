//! A small HTTP client for tests, the command line and the runner's loads.

use std::{net, time};

use http_body_util::BodyExt as _;

use crate::{Error, Result};

/// The step at which a request fails of which nothing was sent.
pub const CONNECT: &str = "connect";

/// Longest time for which a connection is idle before it is used again: half of
/// the shortest time for which a server under test keeps one (a VM's
/// `limits.keep_alive_ms`, 1 s). A request that crosses the close would be lost.
const IDLE: time::Duration = time::Duration::from_millis(500);

/// A client that keeps connections open between requests.
#[derive(Clone, Debug)]
pub struct Client {
    pool: hyper_util::client::legacy::Client<
        hyper_util::client::legacy::connect::HttpConnector,
        http_body_util::Full<bytes::Bytes>,
    >,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: http::StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: bytes::Bytes,
}

impl Answer {
    /// Reads the rest of `response`, which came from `address`.
    ///
    /// # Errors
    ///
    /// The connection failed before the whole answer was there.
    pub async fn collect(
        address: net::SocketAddr,
        response: http::Response<hyper::body::Incoming>,
    ) -> Result<Self> {
        let (parts, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| Error::new("read answer", address, error))?;
        Ok(Self { status: parts.status, headers: parts.headers, body: body.to_bytes() })
    }

    /// The body as text; bytes that are none are replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body read as JSON.
    ///
    /// # Errors
    ///
    /// The body is not JSON of this shape.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| Error::new("read answer", "body", error))
    }
}

impl Client {
    /// A client without open connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let executor = hyper_util::rt::TokioExecutor::new();
        let pool = hyper_util::client::legacy::Client::builder(executor)
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE)
            .build(connector);
        Self { pool }
    }

    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// The request cannot be made, or the connection failed.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        method: &str,
        path: &str,
        body: impl Into<bytes::Bytes>,
    ) -> Result<Answer> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(body.into())
            .map_err(|error| Error::new("make request", address, error))?;
        self.request(address, request).await
    }

    /// Sends `request` and reads the whole answer.
    ///
    /// # Errors
    ///
    /// The connection failed before the whole answer was there.
    pub async fn request(
        &self,
        address: net::SocketAddr,
        request: http::Request<bytes::Bytes>,
    ) -> Result<Answer> {
        let response = self.open(address, request).await?;
        Answer::collect(address, response).await
    }

    /// Sends `request` and leaves the body of the answer to be read part by part.
    ///
    /// # Errors
    ///
    /// The connection failed before the head of the answer was there.
    pub async fn open(
        &self,
        address: net::SocketAddr,
        request: http::Request<bytes::Bytes>,
    ) -> Result<http::Response<hyper::body::Incoming>> {
        let request = request.map(http_body_util::Full::new);
        let response = self.pool.request(request).await;
        response.map_err(|error| {
            let cause = std::error::Error::source(&error);
            let reason = cause.map_or_else(|| error.to_string(), ToString::to_string);
            let step = if error.is_connect() { CONNECT } else { "send request" };
            Error::new(step, address, reason)
        })
    }
}
