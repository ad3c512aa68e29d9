//! Actions that the journal requests from its owner.

/// Reason for not sending a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// the idempotency key was used with another request
    Conflict,
    /// a call with the same idempotency key is being run
    InProgress,
    /// a call with the same idempotency key may have run, its answer is lost
    Unknown,
    /// the claim could not be written in time
    Unavailable,
}

/// An action for the owner of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// Send a request to the table service.
    Table {
        /// Identifies the operation in [`crate::Journal::handle_table_answer`].
        op: ids::Op,
        /// The request.
        request: store::table::Request,
    },
    /// The claim is written: send the call exactly once.
    Send {
        /// The call.
        call: ids::Call,
    },
    /// Answer the call with the stored answer of an earlier call; do not send it.
    Replay {
        /// The call.
        call: ids::Call,
        /// The stored answer.
        answer: crate::Answer,
    },
    /// Refuse the call; it was not sent and must not be.
    Refuse {
        /// The call.
        call: ids::Call,
        /// Why the call is refused.
        reason: Reason,
    },
    /// The answer was stored, or could not be stored in time.
    Stored {
        /// The call.
        call: ids::Call,
        /// Whether a later call with the same key is certain to get the answer.
        durable: bool,
    },
    /// The claim was released: a later call with the same key may be sent.
    Released {
        /// The call.
        call: ids::Call,
    },
}
