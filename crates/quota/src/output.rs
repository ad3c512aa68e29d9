//! What a [`crate::Table`] decides.

use std::time;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// The call's tokens are reserved.
    Granted {
        /// The call.
        call: ids::Call,
    },
    /// The call's tokens cannot be had.
    Short {
        /// The call.
        call: ids::Call,
        /// Why not.
        reason: Reason,
        /// When another try makes sense; none if it never does.
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

/// Why a call's tokens cannot be had.
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
