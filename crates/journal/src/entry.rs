//! In-memory state of claims: one entry per row with unfinished work on this VM.

use std::sync;

use crate::{journal, row};

/// Progress of an entry.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// The claim is not yet known to be written; the call was not sent.
    Claiming,
    /// The claim is written and the call may be sent.
    Running,
    /// The final state of the claim is not yet known to be written.
    Settling(row::State),
}

/// A call that waits for an earlier claim on the same row to be released.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub call: journal::Call,
    pub deadline: ids::Time,
}

/// A row with unfinished work.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub account: ids::Account,
    pub route: sync::Arc<str>,
    pub digest: ids::Digest,
    pub nonce: sync::Arc<str>,
    /// The call that awaits an outcome; `None` once it was reported.
    pub call: Option<ids::Call>,
    pub phase: Phase,
    /// Row version that the next write expects; `None` expects no row.
    pub expected_version: Option<ids::Version>,
    /// The transaction in flight that contains this row.
    pub op: Option<ids::Op>,
    /// When to send the next write; `None` while one is in flight or none is needed.
    pub write_at: Option<ids::Time>,
    /// When to report an outcome to the call at the latest.
    pub deadline: Option<ids::Time>,
    /// Number of failed writes in this phase.
    pub failures: u32,
    /// Whether an earlier write of the claim may have taken effect.
    pub may_be_written: bool,
    pub waiter: Option<Waiter>,
}

impl Entry {
    /// Creates an entry for a call whose claim is to be written over `expected_version`.
    pub fn new(
        call: &journal::Call,
        nonce: sync::Arc<str>,
        expected_version: Option<ids::Version>,
        deadline: ids::Time,
    ) -> Self {
        Self {
            account: call.account.clone(),
            route: sync::Arc::clone(&call.route),
            digest: call.digest,
            nonce,
            call: Some(call.call),
            phase: Phase::Claiming,
            expected_version,
            op: None,
            write_at: None,
            deadline: Some(deadline),
            failures: 0,
            may_be_written: false,
            waiter: None,
        }
    }

    /// The state that the next write stores.
    pub fn next_state(&self) -> row::State {
        match &self.phase {
            Phase::Claiming | Phase::Running => row::State::Claimed,
            Phase::Settling(state) => state.clone(),
        }
    }

    /// Version of the row after a successful write over [`Entry::expected_version`].
    pub fn written_version(&self) -> ids::Version {
        self.expected_version.unwrap_or_default().next()
    }
}
