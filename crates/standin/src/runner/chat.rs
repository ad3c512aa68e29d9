//! Calls to complete a chat.

use std::sync;

use super::{Runner, state, stream};
use crate::{cache, face, process, text};

/// Chunks of an answer whose request does not say how many.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Priority of a call without the header.
const DEFAULT_PRIORITY: u8 = 1;

/// Fields of the body that the engine heeds.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    continue_text: Option<String>,
}

/// A call, as far as the engine heeds it.
#[derive(Debug)]
pub(super) struct Chat {
    pub(super) item: String,
    pub(super) stream: Option<String>,
    pub(super) priority: u8,
    pub(super) resume_from: u64,
    pub(super) continue_text: Option<String>,
    pub(super) total: u64,
    pub(super) prompt: ids::Digest,
    pub(super) prompt_tokens: u64,
    pub(super) blocks: Vec<u64>,
}

pub(super) async fn serve(runner: &sync::Arc<Runner>, request: &face::Request) -> face::Reply {
    let (chat, streamed) = match read(request) {
        Ok(read) => read,
        Err(error) => return not_run(process::bad_body(&error)),
    };
    let listener = match begin(runner, request, &chat) {
        Ok(listener) => listener,
        Err(refusal) => return refuse(runner, refusal),
    };
    let attempt = request.header(engine::header::CALL).unwrap_or_default();
    let name = sync::Arc::clone(&listener.stream.name);
    let reply = if streamed {
        let (reply, sender) = face::Reply::stream("text/event-stream");
        tokio::spawn(listener.follow(sender));
        reply
    } else {
        listener.collect().await
    };
    reply.with_header(engine::header::CALL, attempt).with_header(engine::header::STREAM, &name)
}

fn read(request: &face::Request) -> serde_json::Result<(Chat, bool)> {
    let value: serde_json::Value = serde_json::from_slice(&request.body)?;
    let body: Body = serde::Deserialize::deserialize(&value)?;
    let tokens = text::tokens(&value);
    let chat = Chat {
        blocks: cache::blocks(&body.model, &tokens),
        item: body.model,
        stream: request.header(engine::header::STREAM).map(str::to_owned),
        priority: number(request, engine::header::PRIORITY).unwrap_or(DEFAULT_PRIORITY),
        resume_from: number(request, engine::header::RESUME_FROM).unwrap_or_default(),
        continue_text: body.continue_text,
        total: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prompt: text::digest(&value),
        prompt_tokens: tokens.len() as u64,
    };
    Ok((chat, body.stream))
}

fn number<T: std::str::FromStr>(request: &face::Request, header: &str) -> Option<T> {
    request.header(header)?.parse().ok()
}

fn begin(
    runner: &Runner,
    request: &face::Request,
    chat: &Chat,
) -> Result<stream::Listener, state::Refusal> {
    let listener = runner.lock().begin(chat)?;
    runner.calls.begin(request);
    runner.counts.add(if listener.from > 0 { "calls-resumed" } else { "calls" });
    if is_foreign(chat) {
        runner.counts.add("continue-text-wrong");
    }
    runner.work.notify_one();
    Ok(listener)
}

/// Whether the text so far is not what a runner would have sent.
fn is_foreign(chat: &Chat) -> bool {
    let Some(continued) = &chat.continue_text else {
        return false;
    };
    *continued != text::range(&chat.prompt, 0, chat.resume_from)
}

fn refuse(runner: &Runner, refusal: state::Refusal) -> face::Reply {
    runner.counts.add("calls-refused");
    let (status, code) = match refusal {
        state::Refusal::Leaving => (http::StatusCode::SERVICE_UNAVAILABLE, "leaving"),
        state::Refusal::NotReady => (http::StatusCode::SERVICE_UNAVAILABLE, "not-ready"),
        state::Refusal::UnknownStream => (http::StatusCode::CONFLICT, "unknown-stream"),
        state::Refusal::OtherPrompt => (http::StatusCode::CONFLICT, "other-prompt"),
        state::Refusal::BeyondEnd => (http::StatusCode::BAD_REQUEST, "beyond-end"),
    };
    not_run(face::Reply::error(status, code, &refusal.to_string()))
}

fn not_run(reply: face::Reply) -> face::Reply {
    reply.with_header(engine::header::NOT_RUN, "1")
}
