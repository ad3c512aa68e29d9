//! Requests to runners: chats, stream cancellations, reports and orders.

use std::{sync, time};

use engine::{Event, header, order};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::client::{self, Client, Failure, event_stream};

/// Timeout of a request that cancels a stream.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Largest response body that is read as the reason for a refusal, in bytes.
const REASON_BYTES: usize = 4 * 1024;

/// Timeouts while a runner answers a chat.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Longest wait for the response head, and from then until the first chunk.
    pub first_chunk: time::Duration,
    /// Longest wait between two chunks.
    pub next_chunk: time::Duration,
}

/// A chat request to a runner.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The attempt as the decision core described it.
    pub begin: node::Begin,
    /// Name of the attempt, unique among all VMs.
    pub id: String,
    /// Fields of the caller's JSON body.
    pub fields: serde_json::Map<String, Value>,
}

impl Chat {
    fn request(&self) -> client::Result<client::Request> {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), true.into());
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), self.begin.max_tokens.into());
        // Without the text so far, a runner that does not have the stream must refuse the
        // call, because it has nothing to resume from.
        fields.remove("continue_text");
        if self.begin.resume_from > 0 && !self.begin.text.is_empty() {
            fields.insert("continue_text".to_owned(), self.begin.text.clone().into());
        }
        let uri = format!("http://{}/v1/chat/completions", self.begin.address);
        let mut request = client::json_request(http::Method::POST, &uri, &fields)?;
        let headers = request.headers_mut();
        let values = [
            (header::CALL, self.id.clone()),
            (header::STREAM, self.begin.stream.to_string()),
            (header::PRIORITY, self.begin.priority.to_string()),
            (header::RESUME_FROM, self.begin.resume_from.to_string()),
        ];
        for (name, value) in values {
            let value = http::HeaderValue::from_str(&value)
                .map_err(|cause| Failure::Unsent(format!("header {name}: {cause}")))?;
            headers.insert(name, value);
        }
        Ok(request)
    }
}

/// Sends a chat and its events to `events`, ending with the event that ends the attempt.
pub async fn send_chat(
    client: &Client,
    chat: Chat,
    timeouts: Timeouts,
    events: &mpsc::Sender<Event>,
) {
    let last = match send_request(client, &chat, timeouts.first_chunk).await {
        Ok(response) => {
            if events.send(Event::Accepted).await.is_err() {
                return;
            }
            read_stream(response, chat.begin.resume_from, timeouts, events).await
        }
        Err(event) => event,
    };
    if events.send(last).await.is_err() {
        tracing::debug!(attempt = chat.id, "the attempt was dropped; discarding its last event");
    }
}

async fn send_request(
    client: &Client,
    chat: &Chat,
    timeout: time::Duration,
) -> Result<http::Response<Incoming>, Event> {
    let request = chat.request().map_err(failure_event)?;
    let response = client.send(request, timeout).await.map_err(failure_event)?;
    let echo = response.headers().get(header::CALL).map(http::HeaderValue::as_bytes);
    let is_own = echo == Some(chat.id.as_bytes());
    // A refusal may come from a component of the runner that does not echo the
    // name of the attempt.
    if is_refusal(&response) && (is_own || echo.is_none()) {
        return Err(Event::Refused { reason: read_reason(response, timeout).await.into() });
    }
    if !is_own {
        return Err(broken_event("the response belongs to another call"));
    }
    if response.status() != http::StatusCode::OK {
        let status = response.status();
        let reason = read_reason(response, timeout).await;
        return Err(broken_event(&format!("status {status}: {reason}")));
    }
    Ok(response)
}

/// Whether the response states that the target did not run the call.
#[must_use]
pub fn is_refusal(response: &http::Response<Incoming>) -> bool {
    let not_run = response.headers().get(header::NOT_RUN);
    not_run.is_some_and(|value| value == "1") && !response.status().is_success()
}

/// Reads the body of an error response as text.
pub async fn read_reason(response: http::Response<Incoming>, timeout: time::Duration) -> String {
    match client::read_body(response, REASON_BYTES, timeout).await {
        Ok(body) => String::from_utf8_lossy(&body).trim().to_owned(),
        Err(failure) => failure.to_string(),
    }
}

/// Converts a failure into the event that ends the attempt.
#[must_use]
pub fn failure_event(failure: Failure) -> Event {
    match failure {
        Failure::Unsent(reason) => Event::Unsent { reason: reason.into() },
        Failure::Broken(reason) => Event::Broken { reason: reason.into() },
    }
}

fn broken_event(reason: &str) -> Event {
    Event::Broken { reason: reason.into() }
}

/// State of a streamed answer that is needed for its last event.
#[derive(Debug, Default)]
struct Progress {
    chunks: u64,
    reason: Option<sync::Arc<str>>,
    prompt_tokens: u64,
}

async fn read_stream(
    response: http::Response<Incoming>,
    resume_from: u64,
    timeouts: Timeouts,
    events: &mpsc::Sender<Event>,
) -> Event {
    let mut body = response.into_body();
    let mut parser = event_stream::Parser::default();
    let mut timeout = timeouts.first_chunk;
    let mut progress = Progress { chunks: resume_from, ..Progress::default() };
    loop {
        let frame = match tokio::time::timeout(timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(cause))) => return broken_event(&cause.to_string()),
            Ok(None) => return broken_event("the stream ended early"),
            Err(_elapsed) => return broken_event("the stream stalled: no data before the timeout"),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        parser.push(data);
        loop {
            let event = match parser.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(cause) => return broken_event(&cause.to_string()),
            };
            match progress.apply(&event) {
                Ok(Some(converted)) if converted.is_last() => return converted,
                Ok(Some(converted)) => {
                    timeout = timeouts.next_chunk;
                    if events.send(converted).await.is_err() {
                        return broken_event("the attempt was dropped");
                    }
                }
                Ok(None) => {}
                Err(reason) => return broken_event(&reason),
            }
        }
    }
}

impl Progress {
    /// Converts a server-sent event to an event of the attempt, or returns `None` if
    /// it has no meaning for the attempt.
    fn apply(&mut self, event: &event_stream::Event) -> Result<Option<Event>, String> {
        if event.data == "[DONE]" {
            return self.finish();
        }
        if event.name == "error" {
            return Err(format!("the runner reported an error: {}", event.data));
        }
        let data: Value = serde_json::from_str(&event.data)
            .map_err(|cause| format!("the data of an event is not valid JSON: {cause}"))?;
        let choice = &data["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.reason = Some(reason.into());
        }
        if let Some(tokens) = data["usage"]["prompt_tokens"].as_u64() {
            self.prompt_tokens = tokens;
        }
        let Some(id) = &event.id else {
            return match choice["delta"]["content"].as_str() {
                None | Some("") => Ok(None),
                Some(_) => Err("a chunk has no event id".to_owned()),
            };
        };
        let seq: u64 = id
            .parse()
            .map_err(|_cause| format!("the event id of a chunk is not a number: {id:?}"))?;
        let Some(text) = choice["delta"]["content"].as_str() else {
            return Ok(None);
        };
        self.chunks = seq.saturating_add(1);
        Ok(Some(Event::Chunk { seq, text: text.into() }))
    }

    fn finish(&mut self) -> Result<Option<Event>, String> {
        let Some(reason) = self.reason.take() else {
            return Err("the stream ended without a finish reason".to_owned());
        };
        Ok(Some(Event::Done { chunks: self.chunks, reason, prompt_tokens: self.prompt_tokens }))
    }
}

/// Cancels a stream at its runner. A failure is logged and not retried.
pub async fn cancel(client: &Client, address: &str, stream: &str) {
    let uri = format!("http://{address}/v1/streams/{stream}");
    let cancelled = async {
        client.send(client::empty_request(http::Method::DELETE, &uri)?, CANCEL_TIMEOUT).await
    };
    if let Err(failure) = cancelled.await {
        tracing::debug!(peer = address, %failure, "could not cancel a stream; not retrying");
    }
}

/// Fetches the report of a runner.
///
/// # Errors
///
/// [`Failure`] if there was no response or its body is not a report.
pub async fn fetch_report(
    client: &Client,
    address: &str,
    timeout: time::Duration,
) -> client::Result<engine::Report> {
    let request = client::empty_request(http::Method::GET, &format!("http://{address}/report"))?;
    let response = client.send(request, timeout).await?;
    if response.status() != http::StatusCode::OK {
        return Err(Failure::Broken(format!("status {}", response.status())));
    }
    let body = client::read_body(response, client::RESPONSE_BYTES, timeout).await?;
    serde_json::from_slice(&body).map_err(|cause| Failure::Broken(cause.to_string()))
}

/// Sends an order to a runner. The reply is [`order::Reply::Unknown`] if the runner
/// may have received the order without acknowledging it.
pub async fn send_order(
    client: &Client,
    address: &str,
    order: &engine::Order,
    timeout: time::Duration,
) -> order::Reply {
    let uri = format!("http://{address}/orders");
    let sent = async {
        let request = client::json_request(http::Method::POST, &uri, order)?;
        client.send_fresh(request, timeout).await
    };
    let response = match sent.await {
        Ok(response) => response,
        Err(failure) => {
            tracing::warn!(step = "order", peer = address, %failure, "the order got no response");
            return match failure {
                Failure::Unsent(_) => order::Reply::Refused,
                Failure::Broken(_) => order::Reply::Unknown,
            };
        }
    };
    match response.status() {
        http::StatusCode::ACCEPTED => order::Reply::Taken,
        http::StatusCode::CONFLICT => order::Reply::Stale,
        http::StatusCode::SERVICE_UNAVAILABLE => order::Reply::Refused,
        status if status.is_client_error() => order::Reply::Refused,
        _ => order::Reply::Unknown,
    }
}
