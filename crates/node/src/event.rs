//! Changes of state for the log and values for the metrics.

use std::time;

/// A change of state worth a log line.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Where it happened, in a word or two (`head`, `target`).
    pub step: String,
    /// The peer it is about: a VM, a target, a platform part.
    pub peer: String,
    /// What changed.
    pub text: String,
}

impl Event {
    /// A change of state at `step`, about `peer`.
    #[must_use]
    pub fn new(step: &str, peer: &impl ToString, text: impl Into<String>) -> Self {
        Self { step: step.to_owned(), peer: peer.to_string(), text: text.into() }
    }
}

/// A measured value.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Wait of a call in the queue.
    Queue {
        /// The account.
        account: ids::Account,
        /// The wait.
        wait: time::Duration,
    },
    /// Time from arrival to the first chunk.
    FirstToken {
        /// The account.
        account: ids::Account,
        /// The time.
        wait: time::Duration,
    },
    /// A call ended.
    Ended {
        /// The account; none on open routes and before the key was checked.
        account: Option<ids::Account>,
        /// What is certain about it.
        outcome: crate::call::Outcome,
        /// The error's code, if it failed.
        code: Option<crate::call::Code>,
        /// Tokens charged.
        tokens: u64,
    },
}
