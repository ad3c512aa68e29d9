//! HTTP responses to callers.

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

/// Header that says whether the call was run; sent with every response that is not
/// streamed.
pub const OUTCOME_HEADER: &str = "primroseplank-outcome";

const JSON_MEDIA_TYPE: &str = "application/json";
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";
/// Header that marks an answer that an earlier call with the same idempotency key
/// stored.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// The error object in a response body or error event.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Failure<'a> {
    code: String,
    message: &'a str,
    outcome: String,
}

/// Returns the response to a request that was rejected before it reached the
/// decision core.
#[must_use]
pub fn problem_response(problem: &problem::Problem) -> WebResponse {
    failure_response(problem.code, &problem.message, call::Outcome::NotRun, None)
}

fn failure_response(
    code: problem::Code,
    message: &str,
    outcome: call::Outcome,
    retry_after: Option<time::Duration>,
) -> WebResponse {
    let body = serde_json::json!({ "error": error_fields(code, message, outcome) });
    let mut response = json_response(code.status(), outcome, &body);
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

fn error_fields(code: problem::Code, message: &str, outcome: call::Outcome) -> Failure<'_> {
    Failure { code: code.to_string(), message, outcome: outcome.to_string() }
}

fn json_response(
    status: http::StatusCode,
    outcome: call::Outcome,
    body: &serde_json::Value,
) -> WebResponse {
    bytes_response(status, outcome, JSON_MEDIA_TYPE, body.to_string().into())
}

fn bytes_response(
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
    headers.insert(OUTCOME_HEADER, outcome_value(outcome));
    response
}

const fn outcome_value(outcome: call::Outcome) -> http::HeaderValue {
    http::HeaderValue::from_static(match outcome {
        call::Outcome::Answered => "answered",
        call::Outcome::NotRun => "not-run",
        call::Outcome::Unknown => "unknown",
    })
}

/// Waits for the end of a call that is not a chat and returns its response.
pub async fn whole_response(mut answer: answer::Answer) -> WebResponse {
    while let Some(part) = answer.next().await {
        if let calls::Part::Ended(ending) = part {
            return ending_response(ending);
        }
    }
    slow_caller_response()
}

fn ending_response(ending: call::Ending) -> WebResponse {
    match ending {
        call::Ending::Answer { status, media, body, replayed } => {
            let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
            let mut response = bytes_response(status, call::Outcome::Answered, &media, body);
            if replayed {
                response
                    .headers_mut()
                    .insert(REPLAYED_HEADER, http::HeaderValue::from_static("true"));
            }
            response
        }
        call::Ending::Models { names } => {
            let data: Vec<serde_json::Value> = names
                .iter()
                .map(|name| serde_json::json!({"id": name, "object": "model"}))
                .collect();
            let body = serde_json::json!({"object": "list", "data": data});
            json_response(http::StatusCode::OK, call::Outcome::Answered, &body)
        }
        call::Ending::Failed { outcome, code, message, retry_after } => {
            failure_response(problem::Code::Core(code), &message, outcome, retry_after)
        }
        call::Ending::Done { .. } => slow_caller_response(),
    }
}

/// Returns the response if the call was closed because its caller reads too
/// slowly, or if the kind of answer does not match the request.
fn slow_caller_response() -> WebResponse {
    failure_response(
        problem::Code::SlowCaller,
        "the answer was produced faster than it was read",
        call::Outcome::Unknown,
        None,
    )
}

/// Waits for the first part of a chat's answer and returns the response.
pub async fn chat_response(mut answer: answer::Answer, format: chat::Format) -> WebResponse {
    let Some(first) = answer.next().await else {
        return slow_caller_response();
    };
    match first {
        calls::Part::Ended(call::Ending::Failed { outcome, code, message, retry_after }) => {
            failure_response(problem::Code::Core(code), &message, outcome, retry_after)
        }
        first if format.stream => streamed_response(answer, first, format.model),
        first => collected_response(answer, first, &format.model).await,
    }
}

/// Collects a chat's answer into one response.
async fn collected_response(
    mut answer: answer::Answer,
    first: calls::Part,
    model: &sync::Arc<str>,
) -> WebResponse {
    let mut id: sync::Arc<str> = call_name(answer.call());
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
                    "usage": usage_object(prompt_tokens, chunks),
                });
                return json_response(http::StatusCode::OK, call::Outcome::Answered, &body);
            }
            calls::Part::Ended(ending) => return ending_response(ending),
        }
        next = answer.next().await;
    }
    slow_caller_response()
}

/// Returns a response that streams a chat's answer as server-sent events.
fn streamed_response(
    answer: answer::Answer,
    first: calls::Part,
    model: sync::Arc<str>,
) -> WebResponse {
    let id = match &first {
        calls::Part::Accepted { stream } => sync::Arc::clone(stream),
        _ => call_name(answer.call()),
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
    headers.insert(header::CONTENT_TYPE, http::HeaderValue::from_static(EVENT_STREAM_MEDIA_TYPE));
    headers.insert(header::CACHE_CONTROL, http::HeaderValue::from_static("no-store"));
    if let Ok(value) = http::HeaderValue::from_str(&id) {
        headers.insert(request::STREAM_HEADER, value);
    }
    response
}

/// Converts the parts of a streamed answer to server-sent events.
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
    /// Returns the bytes of the next event, or `None` after the last.
    async fn next(&mut self) -> Option<bytes::Bytes> {
        while !self.ended {
            let part = match self.next.take() {
                Some(part) => Some(part),
                None => self.answer.next().await,
            };
            match part {
                Some(calls::Part::Accepted { .. }) => {}
                Some(calls::Part::Chunk { seq, text }) => {
                    return Some(self.chunk_event(seq, &text));
                }
                Some(calls::Part::Ended(ending)) => return Some(self.last_event(&ending)),
                None => return Some(self.slow_caller_event()),
            }
        }
        None
    }

    fn chunk_event(&self, seq: u64, text: &str) -> bytes::Bytes {
        let body =
            self.chunk_body(&serde_json::json!({"content": text}), None, &serde_json::Value::Null);
        format!("id: {seq}\ndata: {body}\n\n").into()
    }

    fn last_event(&mut self, ending: &call::Ending) -> bytes::Bytes {
        self.ended = true;
        match ending {
            call::Ending::Done { chunks, reason, prompt_tokens } => {
                let body = self.chunk_body(
                    &serde_json::json!({}),
                    Some(reason),
                    &usage_object(*prompt_tokens, *chunks),
                );
                format!("data: {body}\n\ndata: [DONE]\n\n").into()
            }
            call::Ending::Failed { outcome, code, message, .. } => {
                error_event(problem::Code::Core(*code), message, *outcome)
            }
            _ => self.slow_caller_event(),
        }
    }

    fn slow_caller_event(&mut self) -> bytes::Bytes {
        self.ended = true;
        error_event(
            problem::Code::SlowCaller,
            "the stream was produced faster than it was read; it can be resumed",
            call::Outcome::Unknown,
        )
    }

    fn chunk_body(
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
    let data = serde_json::json!(error_fields(code, message, outcome));
    format!("event: error\ndata: {data}\n\n").into()
}

fn usage_object(prompt_tokens: u64, completion_tokens: u64) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

fn call_name(call: ids::Call) -> sync::Arc<str> {
    format!("call-{call}").into()
}

fn unix_seconds() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_secs())
}
