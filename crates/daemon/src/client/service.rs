//! Requests to plain services.

use std::time;

use engine::{Event, header};
use http_body_util::Full;

use crate::client::{self, Client, Failure, runner};

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The attempt as the decision core described it.
    pub begin: node::Begin,
    /// Name of the attempt, unique among all VMs.
    pub id: String,
    /// HTTP method of the request.
    pub method: http::Method,
    /// Path and query, without credentials.
    pub path_and_query: String,
    /// Headers, without credentials.
    pub headers: http::HeaderMap,
    /// The whole request body.
    pub body: bytes::Bytes,
}

impl Call {
    fn request(self) -> client::Result<client::Request> {
        let malformed = |cause: http::Error| Failure::Unsent(cause.to_string());
        let mut request = http::Request::builder()
            .method(self.method)
            .uri(format!("http://{}{}", self.begin.address, self.path_and_query))
            .body(Full::new(self.body))
            .map_err(malformed)?;
        *request.headers_mut() = self.headers;
        let id = http::HeaderValue::from_str(&self.id)
            .map_err(|cause| Failure::Unsent(cause.to_string()))?;
        request.headers_mut().insert(header::CALL, id);
        Ok(request)
    }
}

/// Sends a call, reads a response body of at most `max_bytes` and returns the event
/// that ends the attempt.
pub async fn send_call(
    client: &Client,
    call: Call,
    max_bytes: usize,
    timeout: time::Duration,
) -> Event {
    match send_and_read(client, call, max_bytes, timeout).await {
        Ok(event) => event,
        Err(failure) => runner::failure_event(failure),
    }
}

async fn send_and_read(
    client: &Client,
    call: Call,
    max_bytes: usize,
    timeout: time::Duration,
) -> client::Result<Event> {
    let is_safe = call.method.is_safe();
    let request = call.request()?;
    let response = if is_safe {
        client.send(request, timeout).await?
    } else {
        client.send_fresh(request, timeout).await?
    };
    if runner::is_refusal(&response) {
        return Ok(Event::Refused { reason: runner::read_reason(response, timeout).await.into() });
    }
    let status = response.status().as_u16();
    let media = response
        .headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .into();
    let body = client::read_body(response, max_bytes, timeout).await?;
    Ok(Event::Answer { status, media, body })
}
