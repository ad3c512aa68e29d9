//! Parsing of chat requests in the `OpenAI` format.

use std::sync;

use node::call;
use serde_json::Value;

use crate::caller::problem;

/// Length of the prompt prefix that is hashed for prefix affinity, in bytes.
const PREFIX_BYTES: usize = 1_024;
/// Average length of a token's text, in bytes; used to estimate prompt tokens.
const TOKEN_BYTES: u64 = 4;
/// Maximum number of messages in one request.
const MAX_MESSAGES: usize = 4_096;

/// A chat request.
#[derive(Clone, Debug)]
pub struct Chat {
    fields: serde_json::Map<String, Value>,
    name: sync::Arc<str>,
    prompt: String,
    max_tokens: Option<u64>,
    stream: bool,
    text: sync::Arc<str>,
}

/// The response format that the caller asked for.
#[derive(Clone, Debug)]
pub struct Format {
    /// Name of the model as the caller gave it, with its adapter if any.
    pub model: sync::Arc<str>,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

impl Chat {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// `bad-request`, with line and column or with the field's name.
    pub fn parse(body: &[u8]) -> problem::Result<Self> {
        let mut fields: serde_json::Map<String, Value> =
            serde_json::from_slice(body).map_err(|cause| {
                problem::Problem::bad_request(format!("the body is not a JSON object: {cause}"))
            })?;
        let name = fields
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| expected_field("model", "a model name, NAME or NAME:ADAPTER"))?
            .into();
        let prompt = prompt_text(&fields)?;
        let stream = parse_flag(&fields, "stream")?;
        let max_tokens = parse_max_tokens(&fields)?;
        require_single_choice(&fields)?;
        let text = match fields.remove("continue_text") {
            None => "".into(),
            Some(Value::String(text)) => text.into(),
            Some(_) => return Err(expected_field("continue_text", "a string")),
        };
        Ok(Self { fields, name, prompt, max_tokens, stream, text })
    }

    /// Returns the stream to resume, with the text that the caller has received so
    /// far, or `None` if `named` is `None`.
    ///
    /// # Errors
    ///
    /// `bad-request` if the request does not ask for a streamed answer.
    pub fn resume(
        &self,
        named: Option<(sync::Arc<str>, u64)>,
    ) -> problem::Result<Option<call::Resume>> {
        let Some((stream, from)) = named else {
            return Ok(None);
        };
        if !self.stream {
            return Err(expected_field("stream", "true when resuming a stream"));
        }
        Ok(Some(call::Resume { stream, from, text: sync::Arc::clone(&self.text) }))
    }

    /// Serialises the body without the field that a resuming caller adds, so that it
    /// has the same digest as the first request.
    #[must_use]
    pub fn canonical(&self) -> Vec<u8> {
        serde_json::to_vec(&self.fields).unwrap_or_default()
    }

    /// Describes the call to the decision core.
    #[must_use]
    pub fn work(&self) -> call::Work {
        let (model, adapter) = match self.name.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter.into())),
            None => (&*self.name, None),
        };
        call::Work::Chat {
            model: model.into(),
            adapter,
            prompt_tokens: self.prompt.len() as u64 / TOKEN_BYTES + 1,
            max_tokens: self.max_tokens,
            prefix: self.prefix_hash(),
        }
    }

    /// Returns the response format that the caller asked for.
    #[must_use]
    pub fn format(&self) -> Format {
        Format { model: sync::Arc::clone(&self.name), stream: self.stream }
    }

    /// Returns the fields of the body without `continue_text`.
    #[must_use]
    pub fn into_fields(self) -> serde_json::Map<String, Value> {
        self.fields
    }

    fn prefix_hash(&self) -> u64 {
        let prefix = &self.prompt.as_bytes()[..self.prompt.len().min(PREFIX_BYTES)];
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&[0]);
        hasher.update(prefix);
        hasher.digest()
    }
}

fn prompt_text(fields: &serde_json::Map<String, Value>) -> problem::Result<String> {
    let messages = fields
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| (1..=MAX_MESSAGES).contains(&messages.len()))
        .ok_or_else(|| expected_field("messages", "a list of 1 to 4096 messages"))?;
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            return Err(expected_field(&format!("messages[{index}].role"), "a string"));
        }
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Array(parts)) => push_parts(&mut prompt, parts),
            Some(Value::Null) | None => {}
            Some(_) => {
                return Err(expected_field(
                    &format!("messages[{index}].content"),
                    "a string or a list of parts",
                ));
            }
        }
    }
    Ok(prompt)
}

fn push_parts(prompt: &mut String, parts: &[Value]) {
    let texts = parts.iter().filter_map(|part| part.get("text").and_then(Value::as_str));
    for text in texts {
        prompt.push_str(text);
    }
}

fn parse_flag(fields: &serde_json::Map<String, Value>, name: &str) -> problem::Result<bool> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(expected_field(name, "true or false")),
    }
}

fn parse_max_tokens(fields: &serde_json::Map<String, Value>) -> problem::Result<Option<u64>> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let number = value.as_u64().filter(|number| *number > 0);
                return number
                    .map(Some)
                    .ok_or_else(|| expected_field(name, "a number of tokens, 1 or more"));
            }
        }
    }
    Ok(None)
}

/// Rejects requests for more than one choice: each call generates one answer.
fn require_single_choice(fields: &serde_json::Map<String, Value>) -> problem::Result<()> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(expected_field("n", "1 or absent")),
    }
}

fn expected_field(name: &str, expected: &str) -> problem::Problem {
    problem::Problem::bad_request(format!("field {name}: expected {expected}"))
}
