//! Answers in the `OpenAI` shape, whole and as server-sent events.

#[expect(clippy::struct_field_names, reason = "the names are those of the `OpenAI` shape")]
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub(super) struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl Usage {
    pub(super) const fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    system_fingerprint: &'a str,
    choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
pub(super) struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    system_fingerprint: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'static str,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// Why every stream ends that is not cancelled.
const REASON: &str = "length";
/// Ends a stream of server-sent events.
pub(super) const DONE: &str = "data: [DONE]\n\n";

/// Who answers: the stream's name, the model and its version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    pub(super) stream: &'a str,
    pub(super) model: &'a str,
    pub(super) version: &'a str,
}

/// The event of chunk `seq`.
pub(super) fn chunk(source: Source<'_>, seq: u64, text: &str) -> bytes::Bytes {
    let chunk = event(source, Some(text), None, None);
    format!("id: {seq}\ndata: {chunk}\n\n").into()
}

/// The last event before [`DONE`]; it has no text and no number.
pub(super) fn last(source: Source<'_>, usage: Usage) -> bytes::Bytes {
    let chunk = event(source, None, Some(REASON), Some(usage));
    format!("data: {chunk}\n\n").into()
}

fn event(
    source: Source<'_>,
    content: Option<&str>,
    finish_reason: Option<&'static str>,
    usage: Option<Usage>,
) -> String {
    let chunk = Chunk {
        id: source.stream,
        object: "chat.completion.chunk",
        created: 0,
        model: source.model,
        system_fingerprint: source.version,
        choices: [ChunkChoice { index: 0, delta: Delta { content }, finish_reason }],
        usage,
    };
    serde_json::to_string(&chunk).unwrap_or_default()
}

/// The whole answer.
pub(super) const fn completion<'a>(
    source: Source<'a>,
    content: &'a str,
    usage: Usage,
) -> Completion<'a> {
    Completion {
        id: source.stream,
        object: "chat.completion",
        created: 0,
        model: source.model,
        system_fingerprint: source.version,
        choices: [Choice {
            index: 0,
            message: Message { role: "assistant", content },
            finish_reason: REASON,
        }],
        usage,
    }
}
