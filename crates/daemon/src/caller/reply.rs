//! Responses to callers.

use std::{convert, sync, time};

use futures_util::stream;
use http::header;
use node::call;
use xitca_web::{
    body::{ResponseBody, StreamDataBody},
    http::WebResponse,
};

use crate::{
    caller::{answer, chat, problem, request},
    calls,
};

/// What is certain about the call, on every response that ends before its body.
pub const OUTCOME: &str = "primroseplank-outcome";

const JSON: &str = "application/json";
const EVENTS: &str = "text/event-stream";
/// Says that the answer was stored by an earlier call.
const REPLAYED: &str = "idempotent-replayed";

/// The body of an error response.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Failure<'a> {
    code: String,
    message: &'a str,
    outcome: String,
}

/// A response to a request that the decision core has not seen.
#[must_use]
pub fn problem(problem: &problem::Problem) -> WebResponse {
    failure(problem.code, &problem.message, call::Outcome::NotRun, None)
}

fn failure(
    code: problem::Code,
    message: &str,
    outcome: call::Outcome,
    retry_after: Option<time::Duration>,
) -> WebResponse {
    let body = serde_json::json!({ "error": fields(code, message, outcome) });
    let mut response = json(code.status(), outcome, &body);
    if let Some(wait) = retry_after {
        let seconds = wait.as_millis().div_ceil(1_000);
        if let Ok(value) = seconds.to_string().parse() {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    if code == problem::Code::Core(call::Code::MissingKey) {
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, http::HeaderValue::from_static("Bearer"));
    }
    response
}

fn fields(code: problem::Code, message: &str, outcome: call::Outcome) -> Failure<'_> {
    Failure { code: code.to_string(), message, outcome: outcome.to_string() }
}

fn json(status: http::StatusCode, outcome: call::Outcome, body: &serde_json::Value) -> WebResponse {
    bytes(status, outcome, JSON, body.to_string().into())
}

fn bytes(
    status: http::StatusCode,
    outcome: call::Outcome,
    media: &str,
    body: bytes::Bytes,
) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    let media = http::HeaderValue::from_str(media)
        .unwrap_or(http::HeaderValue::from_static("application/octet-stream"));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, media);
    headers.insert(OUTCOME, outcome_value(outcome));
    response
}

const fn outcome_value(outcome: call::Outcome) -> http::HeaderValue {
    http::HeaderValue::from_static(match outcome {
        call::Outcome::Answered => "answered",
        call::Outcome::NotRun => "not-run",
        call::Outcome::Unknown => "unknown",
    })
}

/// The response to a call that is answered as a whole.
pub async fn whole(mut answer: answer::Answer) -> WebResponse {
    while let Some(part) = answer.next().await {
        if let calls::Part::Ended(ending) = part {
            return ended(ending);
        }
    }
    lost()
}

fn ended(ending: call::Ending) -> WebResponse {
    match ending {
        call::Ending::Answer { status, media, body, replayed } => {
            let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
            let mut response = bytes(status, call::Outcome::Answered, &media, body);
            if replayed {
                response.headers_mut().insert(REPLAYED, http::HeaderValue::from_static("true"));
            }
            response
        }
        call::Ending::Models { names } => {
            let data: Vec<serde_json::Value> = names
                .iter()
                .map(|name| serde_json::json!({"id": name, "object": "model"}))
                .collect();
            let body = serde_json::json!({"object": "list", "data": data});
            json(http::StatusCode::OK, call::Outcome::Answered, &body)
        }
        call::Ending::Failed { outcome, code, message, retry_after } => {
            failure(problem::Code::Core(code), &message, outcome, retry_after)
        }
        call::Ending::Done { .. } => lost(),
    }
}

/// The answer was not taken up in time, or does not fit the question.
fn lost() -> WebResponse {
    failure(
        problem::Code::SlowCaller,
        "the answer came faster than it was read",
        call::Outcome::Unknown,
        None,
    )
}

/// The response to a chat.
pub async fn chat(mut answer: answer::Answer, shape: chat::Shape) -> WebResponse {
    let Some(first) = answer.next().await else {
        return lost();
    };
    match first {
        calls::Part::Ended(call::Ending::Failed { outcome, code, message, retry_after }) => {
            failure(problem::Code::Core(code), &message, outcome, retry_after)
        }
        first if shape.stream => streamed(answer, first, shape.model),
        first => collected(answer, first, &shape.model).await,
    }
}

/// A chat's answer as a whole.
async fn collected(
    mut answer: answer::Answer,
    first: calls::Part,
    model: &sync::Arc<str>,
) -> WebResponse {
    let mut id: sync::Arc<str> = name(answer.call());
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            calls::Part::Accepted { stream } => id = stream,
            calls::Part::Chunk { text: chunk, .. } => text.push_str(&chunk),
            calls::Part::Ended(call::Ending::Done { chunks, reason, prompt_tokens }) => {
                let body = serde_json::json!({
                    "id": id,
                    "object": "chat.completion",
                    "created": unix_seconds(),
                    "model": model,
                    "choices": [{
                        "index": 0,
                        "message": {"role": "assistant", "content": text},
                        "finish_reason": reason,
                    }],
                    "usage": usage(prompt_tokens, chunks),
                });
                return json(http::StatusCode::OK, call::Outcome::Answered, &body);
            }
            calls::Part::Ended(ending) => return ended(ending),
        }
        next = answer.next().await;
    }
    lost()
}

/// A chat's answer as server-sent events.
fn streamed(answer: answer::Answer, first: calls::Part, model: sync::Arc<str>) -> WebResponse {
    let id = match &first {
        calls::Part::Accepted { stream } => sync::Arc::clone(stream),
        _ => name(answer.call()),
    };
    let events = Events {
        answer,
        id: sync::Arc::clone(&id),
        model,
        created: unix_seconds(),
        next: Some(first),
        ended: false,
    };
    let body = stream::unfold(events, |mut events| async {
        let bytes = events.next().await?;
        Some((Ok::<_, convert::Infallible>(bytes), events))
    });
    let mut response = WebResponse::new(ResponseBody::boxed(StreamDataBody::new(body)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, http::HeaderValue::from_static(EVENTS));
    headers.insert(header::CACHE_CONTROL, http::HeaderValue::from_static("no-store"));
    if let Ok(value) = http::HeaderValue::from_str(&id) {
        headers.insert(request::STREAM, value);
    }
    response
}

/// The events of a streamed answer.
#[derive(Debug)]
struct Events {
    answer: answer::Answer,
    id: sync::Arc<str>,
    model: sync::Arc<str>,
    created: u64,
    next: Option<calls::Part>,
    ended: bool,
}

impl Events {
    /// The next event's bytes; none after the last.
    async fn next(&mut self) -> Option<bytes::Bytes> {
        while !self.ended {
            let part = match self.next.take() {
                Some(part) => Some(part),
                None => self.answer.next().await,
            };
            match part {
                Some(calls::Part::Accepted { .. }) => {}
                Some(calls::Part::Chunk { seq, text }) => return Some(self.chunk(seq, &text)),
                Some(calls::Part::Ended(ending)) => return Some(self.last(&ending)),
                None => return Some(self.broken()),
            }
        }
        None
    }

    fn chunk(&self, seq: u64, text: &str) -> bytes::Bytes {
        let body = self.body(&serde_json::json!({"content": text}), None, &serde_json::Value::Null);
        format!("id: {seq}\ndata: {body}\n\n").into()
    }

    fn last(&mut self, ending: &call::Ending) -> bytes::Bytes {
        self.ended = true;
        match ending {
            call::Ending::Done { chunks, reason, prompt_tokens } => {
                let body = self.body(
                    &serde_json::json!({}),
                    Some(reason),
                    &usage(*prompt_tokens, *chunks),
                );
                format!("data: {body}\n\ndata: [DONE]\n\n").into()
            }
            call::Ending::Failed { outcome, code, message, .. } => {
                error_event(problem::Code::Core(*code), message, *outcome)
            }
            _ => self.broken(),
        }
    }

    fn broken(&mut self) -> bytes::Bytes {
        self.ended = true;
        error_event(
            problem::Code::SlowCaller,
            "the stream came faster than it was read; it can be resumed",
            call::Outcome::Unknown,
        )
    }

    fn body(
        &self,
        delta: &serde_json::Value,
        reason: Option<&str>,
        usage: &serde_json::Value,
    ) -> serde_json::Value {
        let mut body = serde_json::json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
        });
        if !usage.is_null() {
            body["usage"] = usage.clone();
        }
        body
    }
}

fn error_event(code: problem::Code, message: &str, outcome: call::Outcome) -> bytes::Bytes {
    let data = serde_json::json!(fields(code, message, outcome));
    format!("event: error\ndata: {data}\n\n").into()
}

fn usage(prompt_tokens: u64, completion_tokens: u64) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

fn name(call: ids::Call) -> sync::Arc<str> {
    format!("call-{call}").into()
}

fn unix_seconds() -> u64 {
    time::SystemTime::now().duration_since(time::UNIX_EPOCH).map_or(0, |age| age.as_secs())
}
