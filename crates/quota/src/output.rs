//! Decisions and messages of a [`crate::Table`].

use std::time;

/// An action for the caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// The call's tokens are reserved.
    Granted {
        /// The call that requested them.
        call: ids::Call,
    },
    /// The call is refused for lack of tokens.
    Short {
        /// The refused call.
        call: ids::Call,
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which a retry may succeed; `None` if it never will.
        retry_after: Option<time::Duration>,
    },
    /// Send a message to another VM; it may be lost.
    Peer {
        /// The receiver.
        to: ids::Vm,
        /// The message.
        message: crate::Message,
    },
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// the account's rate and burst are used up
    Exhausted,
    /// the tokens that other VMs hold could not be had in time
    Unreachable,
    /// the call may use more tokens than the account's burst
    TooLarge,
    /// the account has no rate
    Unknown,
}
