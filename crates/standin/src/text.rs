//! What any runner answers to a given prompt.
//!
//! The text depends on the prompt alone, so that any runner goes on with the
//! stream of another one exactly, and a test can compute the whole answer.
//!
//! ```
//! let body = serde_json::json!({
//!     "model": "draft",
//!     "messages": [{"role": "user", "content": "An itinerary for Tuesday"}],
//!     "max_tokens": 3,
//! });
//! let prompt = standin::text::digest(&body);
//! let whole = standin::text::range(&prompt, 0, 3);
//! assert_eq!(whole, standin::text::range(&prompt, 0, 1) + &standin::text::range(&prompt, 1, 3));
//! ```

const WORDS: [&str; 32] = [
    "welcome",
    "delegation",
    "morning",
    "council",
    "visit",
    "family",
    "station",
    "letter",
    "garden",
    "school",
    "evening",
    "bridge",
    "market",
    "guest",
    "museum",
    "harbour",
    "film",
    "cover",
    "order",
    "quote",
    "planting",
    "season",
    "grower",
    "metre",
    "delivery",
    "fitting",
    "window",
    "spring",
    "frame",
    "row",
    "field",
    "notice",
];

/// The digest of the request body's prompt: its model and messages.
#[must_use]
pub fn digest(body: &serde_json::Value) -> ids::Digest {
    let prompt = serde_json::json!([body.get("model"), body.get("messages")]);
    ids::Digest::of(prompt.to_string().as_bytes())
}

/// Chunk `seq` of the answer to `prompt`, counted from 0; one chunk is one token.
#[must_use]
pub fn chunk(prompt: &ids::Digest, seq: u64) -> String {
    let place = usize::try_from(seq % 32).unwrap_or_default();
    let salt = usize::from(prompt.as_bytes()[place]);
    let step = usize::try_from(seq / 32 % 32).unwrap_or_default();
    format!("{} ", WORDS[(salt + step) % WORDS.len()])
}

/// Chunks `from` to `to`, the latter left out, as one text.
#[must_use]
pub fn range(prompt: &ids::Digest, from: u64, to: u64) -> String {
    (from..to).map(|seq| chunk(prompt, seq)).collect()
}

/// The words of the prompt's messages, which stand for its tokens.
#[must_use]
pub fn tokens(body: &serde_json::Value) -> Vec<&str> {
    let messages = body.get("messages").and_then(serde_json::Value::as_array);
    messages
        .into_iter()
        .flatten()
        .filter_map(|message| message.get("content")?.as_str())
        .flat_map(str::split_whitespace)
        .collect()
}
