//! Calls by callers: how they arrive and how they end.

use std::{sync, time};

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// A draft by a model.
    Chat {
        /// The model.
        model: ids::Model,
        /// The adapter, if one is asked for.
        #[serde(default)]
        adapter: Option<ids::Adapter>,
        /// Estimated tokens of the prompt.
        prompt_tokens: u64,
        /// Most tokens to generate, if the caller says.
        #[serde(default)]
        max_tokens: Option<u64>,
        /// Hash of the beginning of the prompt, for prefix affinity.
        #[serde(default)]
        prefix: u64,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ids::Service,
        /// HTTP method.
        method: sync::Arc<str>,
        /// Path behind `/svc/SERVICE`, with its leading slash, without query.
        path: sync::Arc<str>,
    },
    /// The list of models.
    Models,
}

/// A stream to go on with, as named by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Resume {
    /// The stream's name, as the response header gave it.
    pub stream: sync::Arc<str>,
    /// Number of chunks that the caller has.
    pub from: u64,
    /// The text of these chunks, if the caller sent it along.
    #[serde(default)]
    pub text: sync::Arc<str>,
}

/// A call that has just arrived. Its body stays with the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Arrival {
    /// The call's number, given by the shell.
    pub call: ids::Call,
    /// The key presented, if any.
    #[serde(default)]
    pub key: Option<bundle::key::Presented>,
    /// What is asked for.
    pub work: Work,
    /// The idempotency key, if any.
    #[serde(default)]
    pub idempotency: Option<sync::Arc<str>>,
    /// Digest of method, path, query and body.
    #[serde(default)]
    pub digest: ids::Digest,
    /// The stream to go on with, if any.
    #[serde(default)]
    pub resume: Option<Resume>,
    /// Longest wait for a target that the caller accepts.
    #[serde(default)]
    pub patience: Option<time::Duration>,
}

/// What is certain about a call when its response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// answered
    Answered,
    /// not-run
    NotRun,
    /// unknown
    Unknown,
}

/// Stable code of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// missing-key
    MissingKey,
    /// invalid-key
    InvalidKey,
    /// unknown-model
    UnknownModel,
    /// unknown-adapter
    UnknownAdapter,
    /// unknown-service
    UnknownService,
    /// unknown-route
    UnknownRoute,
    /// unknown-stream
    UnknownStream,
    /// missing-idempotency-key
    MissingIdempotencyKey,
    /// idempotency-conflict
    IdempotencyConflict,
    /// in-progress
    InProgress,
    /// over-rate
    OverRate,
    /// too-large
    TooLarge,
    /// overloaded
    Overloaded,
    /// deadline
    Deadline,
    /// no-target
    NoTarget,
    /// fenced
    Fenced,
    /// stopping
    Stopping,
    /// store-unavailable
    StoreUnavailable,
    /// target-failed
    TargetFailed,
}

impl Code {
    /// The HTTP status that goes with it.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::MissingKey | Self::InvalidKey => 401,
            Self::UnknownModel
            | Self::UnknownAdapter
            | Self::UnknownService
            | Self::UnknownRoute
            | Self::UnknownStream => 404,
            Self::MissingIdempotencyKey => 400,
            Self::IdempotencyConflict => 422,
            Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::OverRate => 429,
            Self::TargetFailed => 502,
            Self::Overloaded
            | Self::Deadline
            | Self::NoTarget
            | Self::Fenced
            | Self::Stopping
            | Self::StoreUnavailable => 503,
        }
    }
}

/// How a call ends.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The draft is complete.
    Done {
        /// Chunks of the whole stream.
        chunks: u64,
        /// Why it ended, in the `OpenAI` words.
        reason: sync::Arc<str>,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
    /// The answer of a plain service.
    Answer {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        media: sync::Arc<str>,
        /// The body.
        body: bytes::Bytes,
        /// Whether it was stored by an earlier call with the same idempotency key.
        replayed: bool,
    },
    /// The names of the models and of their adapters (`MODEL:ADAPTER`).
    Models {
        /// The names, sorted.
        names: Vec<sync::Arc<str>>,
    },
    /// No answer, or not the whole one.
    Failed {
        /// What is certain about it.
        outcome: Outcome,
        /// Stable code.
        code: Code,
        /// One sentence for the caller.
        message: String,
        /// When another try makes sense, if it does.
        retry_after: Option<time::Duration>,
    },
}

impl Ending {
    /// A refusal before anything was sent to a target.
    #[must_use]
    pub fn refused(code: Code, message: impl Into<String>) -> Self {
        Self::Failed { outcome: Outcome::NotRun, code, message: message.into(), retry_after: None }
    }

    /// The same refusal with the time after which another try makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, wait: time::Duration) -> Self {
        if let Self::Failed { retry_after, .. } = &mut self {
            *retry_after = Some(wait);
        }
        self
    }

    /// What is certain about the call.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Failed { outcome, .. } => *outcome,
            _ => Outcome::Answered,
        }
    }
}
