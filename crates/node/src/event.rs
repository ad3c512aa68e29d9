//! Events for the log and values for the metrics.

use std::time;

/// A change of state worth a log line.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Area that the event belongs to, in one or two words (`head`, `target`).
    pub step: String,
    /// Subject of the event: a VM, a target or a part of the platform.
    pub peer: String,
    /// Description of the change.
    pub text: String,
}

impl Event {
    /// Creates an event of the area `step` about `peer`.
    #[must_use]
    pub fn new(step: &str, peer: &impl ToString, text: impl Into<String>) -> Self {
        Self { step: step.to_owned(), peer: peer.to_string(), text: text.into() }
    }
}

/// A value for the metrics.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Time that a call spent in the queue.
    Queue {
        /// Account of the call.
        account: ids::Account,
        /// Time in the queue.
        wait: time::Duration,
    },
    /// Time from arrival to the first chunk.
    FirstToken {
        /// Account of the call.
        account: ids::Account,
        /// Time from arrival to the first chunk.
        wait: time::Duration,
    },
    /// A call ended.
    Ended {
        /// Account of the call; `None` on open routes and if the key was not accepted.
        account: Option<ids::Account>,
        /// Whether the call was answered, did not run, or may have run.
        outcome: crate::call::Outcome,
        /// Error code; `None` if the call was answered.
        code: Option<crate::call::Code>,
        /// Tokens charged to the account.
        tokens: u64,
    },
}
