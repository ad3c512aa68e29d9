//! Events of one attempt at a target.

use std::sync;

/// An event of one attempt at a target.
///
/// `Chunk` and `Done` come from runners, `Answer` from plain services. The
/// last four end the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The target accepted the call.
    Accepted,
    /// One chunk of a stream.
    Chunk {
        /// Number of the chunk within the stream, from 0.
        seq: u64,
        /// Text of the chunk; one chunk is one token.
        text: sync::Arc<str>,
    },
    /// The stream is complete.
    Done {
        /// Number of chunks of the whole stream.
        chunks: u64,
        /// Finish reason, as in the `OpenAI` API (`stop`, `length`).
        reason: sync::Arc<str>,
        /// Length of the prompt in tokens, as counted by the runner.
        prompt_tokens: u64,
    },
    /// The complete answer of a plain service.
    Answer {
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the body.
        media: sync::Arc<str>,
        /// Body as the service sent it.
        body: bytes::Bytes,
    },
    /// The target refused the call and confirmed that it did not run.
    Refused {
        /// Reason given by the target.
        reason: sync::Arc<str>,
    },
    /// The call failed before a byte of it was sent.
    Unsent {
        /// Description of the failure.
        reason: sync::Arc<str>,
    },
    /// The call failed after a byte of it was sent, so it may have run.
    Broken {
        /// Description of the failure.
        reason: sync::Arc<str>,
    },
}

impl Event {
    /// Whether no further event of the attempt follows.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        !matches!(self, Self::Accepted | Self::Chunk { .. })
    }
}
