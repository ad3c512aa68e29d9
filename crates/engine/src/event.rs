//! What is seen of one attempt at a target.

use std::sync;

/// What is seen of one attempt at a target.
///
/// `Chunk` and `Done` come from runners, `Answer` from plain services. The
/// last four end the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The target has taken the call on.
    Accepted,
    /// A part of a stream.
    Chunk {
        /// Number of the chunk within the stream, from 0.
        seq: u64,
        /// The text that it adds; one chunk is one token.
        text: sync::Arc<str>,
    },
    /// The stream is complete.
    Done {
        /// Number of chunks of the whole stream.
        chunks: u64,
        /// Why it ended, in the `OpenAI` words (`stop`, `length`).
        reason: sync::Arc<str>,
        /// Tokens of the prompt, as the runner counted them.
        prompt_tokens: u64,
    },
    /// The whole answer of a plain service.
    Answer {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        media: sync::Arc<str>,
        /// The body.
        body: bytes::Bytes,
    },
    /// The target proved that the call did not run.
    Refused {
        /// What it said.
        reason: sync::Arc<str>,
    },
    /// The call failed before a byte of it was sent.
    Unsent {
        /// What was seen.
        reason: sync::Arc<str>,
    },
    /// The call failed after a byte of it was sent, so it may have run.
    Broken {
        /// What was seen.
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
