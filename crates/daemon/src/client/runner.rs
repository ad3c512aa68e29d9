//! Calls, orders and reports of runners.

use std::{sync, time};

use engine::{Event, header, order};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::client::{self, Client, Failure, event_stream};

/// Longest time to cancel a stream.
const CANCEL: time::Duration = time::Duration::from_secs(1);
/// Largest text that a runner gives as the reason of a refusal, in bytes.
const REASON_BYTES: usize = 4 * 1024;

/// Longest waits for a runner.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Until its answer begins, and from then until the first chunk.
    pub first: time::Duration,
    /// Between two chunks.
    pub next: time::Duration,
}

/// A chat for a runner.
#[derive(Clone, Debug)]
pub struct Chat {
    /// What the decision core said.
    pub begin: node::Begin,
    /// Name of the attempt, unique among all VMs.
    pub id: String,
    /// The request as the caller sent it.
    pub fields: serde_json::Map<String, Value>,
}

impl Chat {
    fn request(&self) -> client::Result<client::Request> {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), true.into());
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), self.begin.max_tokens.into());
        // Without the text so far, a runner that does not hold the stream has to refuse: it
        // would go on from nothing.
        fields.remove("continue_text");
        if self.begin.resume_from > 0 && !self.begin.text.is_empty() {
            fields.insert("continue_text".to_owned(), self.begin.text.clone().into());
        }
        let uri = format!("http://{}/v1/chat/completions", self.begin.address);
        let mut request = client::json(http::Method::POST, &uri, &fields)?;
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

/// Sends a chat and gives what is seen of it to `events`, until its last one.
pub async fn chat(client: &Client, chat: Chat, limits: Limits, events: &mpsc::Sender<Event>) {
    let last = match begin(client, &chat, limits.first).await {
        Ok(response) => {
            if events.send(Event::Accepted).await.is_err() {
                return;
            }
            stream(response, chat.begin.resume_from, limits, events).await
        }
        Err(event) => event,
    };
    if events.send(last).await.is_err() {
        tracing::debug!(attempt = chat.id, "an attempt ended after it was dropped");
    }
}

async fn begin(
    client: &Client,
    chat: &Chat,
    longest: time::Duration,
) -> Result<http::Response<Incoming>, Event> {
    let request = chat.request().map_err(event)?;
    let response = client.send(request, longest).await.map_err(event)?;
    let echo = response.headers().get(header::CALL).map(http::HeaderValue::as_bytes);
    let own = echo == Some(chat.id.as_bytes());
    // A refusal may come from a part of the runner that knows no attempts.
    if refused(&response) && (own || echo.is_none()) {
        return Err(Event::Refused { reason: reason(response, longest).await.into() });
    }
    if !own {
        return Err(broken("the answer belongs to another call"));
    }
    if response.status() != http::StatusCode::OK {
        let status = response.status();
        let reason = reason(response, longest).await;
        return Err(broken(&format!("status {status}: {reason}")));
    }
    Ok(response)
}

/// Whether a target proves that it did not run the call.
#[must_use]
pub fn refused(response: &http::Response<Incoming>) -> bool {
    let not_run = response.headers().get(header::NOT_RUN);
    not_run.is_some_and(|value| value == "1") && !response.status().is_success()
}

/// What a target says about its refusal.
pub async fn reason(response: http::Response<Incoming>, longest: time::Duration) -> String {
    match client::whole(response, REASON_BYTES, longest).await {
        Ok(body) => String::from_utf8_lossy(&body).trim().to_owned(),
        Err(failure) => failure.to_string(),
    }
}

/// The event that a failure ends an attempt with.
#[must_use]
pub fn event(failure: Failure) -> Event {
    match failure {
        Failure::Unsent(reason) => Event::Unsent { reason: reason.into() },
        Failure::Broken(reason) => Event::Broken { reason: reason.into() },
    }
}

fn broken(reason: &str) -> Event {
    Event::Broken { reason: reason.into() }
}

/// What a stream has shown so far, apart from its chunks.
#[derive(Debug, Default)]
struct Progress {
    chunks: u64,
    reason: Option<sync::Arc<str>>,
    prompt_tokens: u64,
}

async fn stream(
    response: http::Response<Incoming>,
    resume_from: u64,
    limits: Limits,
    events: &mpsc::Sender<Event>,
) -> Event {
    let mut body = response.into_body();
    let mut parser = event_stream::Parser::default();
    let mut longest = limits.first;
    let mut progress = Progress { chunks: resume_from, ..Progress::default() };
    loop {
        let frame = match tokio::time::timeout(longest, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(cause))) => return broken(&cause.to_string()),
            Ok(None) => return broken("the stream ended early"),
            Err(_elapsed) => return broken("the stream stood still for too long"),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        parser.push(data);
        loop {
            let event = match parser.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(cause) => return broken(&cause.to_string()),
            };
            match progress.take(&event) {
                Ok(Some(seen)) if seen.is_last() => return seen,
                Ok(Some(seen)) => {
                    longest = limits.next;
                    if events.send(seen).await.is_err() {
                        return broken("the attempt was dropped");
                    }
                }
                Ok(None) => {}
                Err(reason) => return broken(&reason),
            }
        }
    }
}

impl Progress {
    /// What an event says, if it is of interest.
    fn take(&mut self, event: &event_stream::Event) -> Result<Option<Event>, String> {
        if event.data == "[DONE]" {
            return self.done();
        }
        if event.name == "error" {
            return Err(format!("the runner reports: {}", event.data));
        }
        let data: Value = serde_json::from_str(&event.data)
            .map_err(|cause| format!("an event's data is no JSON: {cause}"))?;
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
                Some(_) => Err("a chunk has no number".to_owned()),
            };
        };
        let seq: u64 = id
            .parse()
            .map_err(|_cause| format!("a chunk's number is {id:?}, which is no number"))?;
        let Some(text) = choice["delta"]["content"].as_str() else {
            return Ok(None);
        };
        self.chunks = seq.saturating_add(1);
        Ok(Some(Event::Chunk { seq, text: text.into() }))
    }

    fn done(&mut self) -> Result<Option<Event>, String> {
        let Some(reason) = self.reason.take() else {
            return Err("the stream ended without a reason".to_owned());
        };
        Ok(Some(Event::Done { chunks: self.chunks, reason, prompt_tokens: self.prompt_tokens }))
    }
}

/// Cancels a stream; the runner may not hear of it.
pub async fn cancel(client: &Client, address: &str, stream: &str) {
    let uri = format!("http://{address}/v1/streams/{stream}");
    let cancelled = async { client.send(client::empty(http::Method::DELETE, &uri)?, CANCEL).await };
    if let Err(failure) = cancelled.await {
        tracing::debug!(peer = address, %failure, "a stream was not cancelled");
    }
}

/// Asks a runner for its report.
///
/// # Errors
///
/// [`Failure`] if there was no answer, or none that is a report.
pub async fn report(
    client: &Client,
    address: &str,
    longest: time::Duration,
) -> client::Result<engine::Report> {
    let request = client::empty(http::Method::GET, &format!("http://{address}/report"))?;
    let response = client.send(request, longest).await?;
    if response.status() != http::StatusCode::OK {
        return Err(Failure::Broken(format!("status {}", response.status())));
    }
    let body = client::whole(response, client::ANSWER_BYTES, longest).await?;
    serde_json::from_slice(&body).map_err(|cause| Failure::Broken(cause.to_string()))
}

/// Sends an order to a runner.
pub async fn order(
    client: &Client,
    address: &str,
    order: &engine::Order,
    longest: time::Duration,
) -> order::Reply {
    let uri = format!("http://{address}/orders");
    let sent = async {
        let request = client::json(http::Method::POST, &uri, order)?;
        client.send_fresh(request, longest).await
    };
    let response = match sent.await {
        Ok(response) => response,
        Err(failure) => {
            tracing::warn!(step = "order", peer = address, %failure, "no answer");
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
