//! Arrivals and endings of calls.

use std::{sync, time};

/// Work that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// A chat completion by a model.
    Chat {
        /// Name of the model.
        model: ids::Model,
        /// Name of the adapter; `None` for the bare model.
        #[serde(default)]
        adapter: Option<ids::Adapter>,
        /// Estimated length of the prompt, in tokens.
        prompt_tokens: u64,
        /// Maximum number of tokens to generate; `None` for the limit of the bundle.
        #[serde(default)]
        max_tokens: Option<u64>,
        /// Hash of the beginning of the prompt, for routing by prefix cache.
        #[serde(default)]
        prefix: u64,
    },
    /// A request to a plain service.
    Service {
        /// Name of the service.
        service: ids::Service,
        /// HTTP method of the request.
        method: sync::Arc<str>,
        /// Path after `/svc/SERVICE`, with its leading slash, without query.
        path: sync::Arc<str>,
    },
    /// The list of models and adapters.
    Models,
}

/// A request to resume a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Resume {
    /// Name of the stream, as given in the response header.
    pub stream: sync::Arc<str>,
    /// Number of chunks that the caller has received.
    pub from: u64,
    /// Text of these chunks; empty if the caller did not send it.
    #[serde(default)]
    pub text: sync::Arc<str>,
}

/// A newly arrived call. Its body stays with the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Arrival {
    /// Number of the call, assigned by the shell.
    pub call: ids::Call,
    /// Key presented by the caller, if any.
    #[serde(default)]
    pub key: Option<bundle::key::Presented>,
    /// Requested work.
    pub work: Work,
    /// Idempotency key, if the caller sent one.
    #[serde(default)]
    pub idempotency: Option<sync::Arc<str>>,
    /// Digest of method, path, query and body, to tell requests with one idempotency key apart.
    #[serde(default)]
    pub digest: ids::Digest,
    /// Stream to resume, if any.
    #[serde(default)]
    pub resume: Option<Resume>,
    /// Longest wait for a target that the caller accepts; `None` for the limit of the bundle.
    #[serde(default)]
    pub patience: Option<time::Duration>,
}

/// What is known about the execution of a call when its response ends.
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

/// Error code, stable between versions.
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
    /// Returns the HTTP status that is sent with the code.
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

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The stream is complete.
    Done {
        /// Number of chunks of the whole stream.
        chunks: u64,
        /// Finish reason, as in the `OpenAI` API (`stop`, `length`).
        reason: sync::Arc<str>,
        /// Length of the prompt in tokens, as counted by the runner.
        prompt_tokens: u64,
    },
    /// The answer of a plain service.
    Answer {
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the body.
        media: sync::Arc<str>,
        /// Body as the service sent it.
        body: bytes::Bytes,
        /// Whether the answer was stored by an earlier call with the same idempotency key.
        replayed: bool,
    },
    /// The list of models and adapters.
    Models {
        /// Names (`MODEL` or `MODEL:ADAPTER`), sorted.
        names: Vec<sync::Arc<str>>,
    },
    /// The call failed before it was answered completely.
    Failed {
        /// Whether the call may have run.
        outcome: Outcome,
        /// Error code for programs.
        code: Code,
        /// Error message for people.
        message: String,
        /// Time after which the caller may retry; `None` if a retry is not advised.
        retry_after: Option<time::Duration>,
    },
}

impl Ending {
    /// Creates a refusal of a call that was not sent to a target.
    #[must_use]
    pub fn refused(code: Code, message: impl Into<String>) -> Self {
        Self::Failed { outcome: Outcome::NotRun, code, message: message.into(), retry_after: None }
    }

    /// Sets the time after which the caller may retry a failed call.
    #[must_use]
    pub fn with_retry_after(mut self, wait: time::Duration) -> Self {
        if let Self::Failed { retry_after, .. } = &mut self {
            *retry_after = Some(wait);
        }
        self
    }

    /// Returns what is known about the execution of the call.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Failed { outcome, .. } => *outcome,
            _ => Outcome::Answered,
        }
    }
}
