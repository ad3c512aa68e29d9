//! Reading a chat request in the `OpenAI` shape.

use std::sync;

use node::call;
use serde_json::Value;

use crate::caller::problem;

/// Bytes of the beginning of the prompt that count for prefix affinity.
const PREFIX_BYTES: usize = 1_024;
/// Bytes of text that make a token, on average.
const TOKEN_BYTES: u64 = 4;
/// Most messages in one request.
const MESSAGES: usize = 4_096;

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

/// How the answer is to look.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The model as the caller named it.
    pub model: sync::Arc<str>,
    /// Whether it is streamed.
    pub stream: bool,
}

impl Chat {
    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// `bad-request`, with line and column or with the field's name.
    pub fn parse(body: &[u8]) -> problem::Result<Self> {
        let mut fields: serde_json::Map<String, Value> =
            serde_json::from_slice(body).map_err(|cause| {
                problem::Problem::bad(format!("the body is no JSON object: {cause}"))
            })?;
        let name = fields
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| field("model", "a model's name, NAME or NAME:ADAPTER"))?
            .into();
        let prompt = prompt(&fields)?;
        let stream = flag(&fields, "stream")?;
        let max_tokens = most_tokens(&fields)?;
        single(&fields)?;
        let text = match fields.remove("continue_text") {
            None => "".into(),
            Some(Value::String(text)) => text.into(),
            Some(_) => return Err(field("continue_text", "a text")),
        };
        Ok(Self { fields, name, prompt, max_tokens, stream, text })
    }

    /// The stream to go on with, with the text so far.
    ///
    /// # Errors
    ///
    /// `bad-request` if the answer is not to be streamed.
    pub fn resume(
        &self,
        named: Option<(sync::Arc<str>, u64)>,
    ) -> problem::Result<Option<call::Resume>> {
        let Some((stream, from)) = named else {
            return Ok(None);
        };
        if !self.stream {
            return Err(field("stream", "true when a stream is to be resumed"));
        }
        Ok(Some(call::Resume { stream, from, text: sync::Arc::clone(&self.text) }))
    }

    /// The body without what a resuming caller adds, so that it has the same
    /// digest as the first request's.
    #[must_use]
    pub fn canonical(&self) -> Vec<u8> {
        serde_json::to_vec(&self.fields).unwrap_or_default()
    }

    /// What is asked for.
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
            prefix: self.prefix(),
        }
    }

    /// How the answer is to look.
    #[must_use]
    pub fn shape(&self) -> Shape {
        Shape { model: sync::Arc::clone(&self.name), stream: self.stream }
    }

    /// The request's JSON, without the text so far.
    #[must_use]
    pub fn into_fields(self) -> serde_json::Map<String, Value> {
        self.fields
    }

    fn prefix(&self) -> u64 {
        let beginning = &self.prompt.as_bytes()[..self.prompt.len().min(PREFIX_BYTES)];
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&[0]);
        hasher.update(beginning);
        hasher.digest()
    }
}

fn prompt(fields: &serde_json::Map<String, Value>) -> problem::Result<String> {
    let messages = fields
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| (1..=MESSAGES).contains(&messages.len()))
        .ok_or_else(|| field("messages", "a list of 1 to 4096 messages"))?;
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            return Err(field(&format!("messages[{index}].role"), "a text"));
        }
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Array(parts)) => push_parts(&mut prompt, parts),
            Some(Value::Null) | None => {}
            Some(_) => {
                return Err(field(
                    &format!("messages[{index}].content"),
                    "a text or a list of parts",
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

fn flag(fields: &serde_json::Map<String, Value>, name: &str) -> problem::Result<bool> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(field(name, "true or false")),
    }
}

fn most_tokens(fields: &serde_json::Map<String, Value>) -> problem::Result<Option<u64>> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let number = value.as_u64().filter(|number| *number > 0);
                return number
                    .map(Some)
                    .ok_or_else(|| field(name, "a number of tokens, 1 or more"));
            }
        }
    }
    Ok(None)
}

/// One answer is generated for each call.
fn single(fields: &serde_json::Map<String, Value>) -> problem::Result<()> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(field("n", "1, if it is there")),
    }
}

fn field(name: &str, wanted: &str) -> problem::Problem {
    problem::Problem::bad(format!("field {name}: expected {wanted}"))
}
