//! Metadata of a call that decisions are based on.

use std::{sync, time};

/// Metadata of a call. Method, headers and body stay with the shell, which passes
/// them on unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Id that the caller has given this request, for the log.
    pub id: sync::Arc<str>,
    /// Requested host, without the port.
    pub host: sync::Arc<str>,
    /// Requested path, without the query.
    pub path: sync::Arc<str>,
    /// API key; `None` if the caller sent none.
    pub key: Option<sync::Arc<str>>,
    /// The caller's timeout, from the arrival of the call; `None` if it sent none.
    pub timeout: Option<time::Duration>,
    /// Work for a model engine; `None` for plain services.
    pub work: Option<Work>,
}

/// Work of a call for a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The model.
    pub model: ids::Model,
    /// The adapter; `None` for the base model.
    pub adapter: Option<ids::Adapter>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub output_tokens: u64,
    /// The caller's estimate of the number of generated tokens.
    pub output_estimate: Option<u64>,
    /// Parts of the prompt, in order; used for prefix caching.
    pub prompt: Vec<Part>,
}

/// A part of a prompt, which several prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of its name.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

impl Work {
    /// Expected KV memory of the call when it ends, in tokens.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        self.prompt_tokens
            + self.output_estimate.unwrap_or(self.output_tokens).min(self.output_tokens)
    }

    /// Name of the model or adapter, as used by [`route::item`].
    #[must_use]
    pub fn item(&self) -> sync::Arc<str> {
        route::item::model(&self.model, self.adapter.as_ref())
    }
}
