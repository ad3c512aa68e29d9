//! Calls of plain services.

use std::time;

use engine::{Event, header};
use http_body_util::Full;

use crate::client::{self, Client, Failure, runner};

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the decision core said.
    pub begin: node::Begin,
    /// Name of the attempt, unique among all VMs.
    pub id: String,
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path_and_query: String,
    /// Headers, without credentials.
    pub headers: http::HeaderMap,
    /// Body.
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

/// Sends a call and says how it ended.
pub async fn call(client: &Client, call: Call, most: usize, longest: time::Duration) -> Event {
    match answered(client, call, most, longest).await {
        Ok(event) => event,
        Err(failure) => runner::event(failure),
    }
}

async fn answered(
    client: &Client,
    call: Call,
    most: usize,
    longest: time::Duration,
) -> client::Result<Event> {
    let safe = call.method.is_safe();
    let request = call.request()?;
    let response = if safe {
        client.send(request, longest).await?
    } else {
        client.send_fresh(request, longest).await?
    };
    if runner::refused(&response) {
        return Ok(Event::Refused { reason: runner::reason(response, longest).await.into() });
    }
    let status = response.status().as_u16();
    let media = response
        .headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .into();
    let body = client::whole(response, most, longest).await?;
    Ok(Event::Answer { status, media, body })
}
