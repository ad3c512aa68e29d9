//! What a caller asks for.

use std::{sync, time};

/// One call, as far as decisions need it. Method, path, headers and body stay
/// with the shell, which passes them on unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The caller's name for this attempt of its own.
    pub id: sync::Arc<str>,
    /// The host that was asked, without a port.
    pub host: sync::Arc<str>,
    /// The path, without the query.
    pub path: sync::Arc<str>,
    /// The key that was presented.
    pub key: Option<sync::Arc<str>>,
    /// How long the caller waits, from the call's arrival.
    pub timeout: Option<time::Duration>,
    /// What a model engine is to do; none for plain services.
    pub work: Option<Work>,
}

/// What a model engine is to do for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The model.
    pub model: ids::Model,
    /// An adapter of the model.
    pub adapter: Option<ids::Adapter>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that it generates at most.
    pub output_tokens: u64,
    /// The caller's estimate of the tokens generated.
    pub output_estimate: Option<u64>,
    /// The parts of the prompt, in order.
    pub prompt: Vec<Part>,
}

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of its name.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

impl Work {
    /// Tokens of KV memory that the call is expected to occupy at its end.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        self.prompt_tokens
            + self.output_estimate.unwrap_or(self.output_tokens).min(self.output_tokens)
    }

    /// Name of the model or adapter, as targets offer it.
    #[must_use]
    pub fn item(&self) -> sync::Arc<str> {
        route::item::model(&self.model, self.adapter.as_ref())
    }
}
