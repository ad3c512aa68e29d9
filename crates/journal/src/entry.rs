//! Claims in memory: one entry for each row that this VM works on.

use std::sync;

use crate::{journal, row};

/// Where an entry stands.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// The claim is to be written; nothing was sent.
    Claim,
    /// The claim is written and the call may be sent.
    Run,
    /// The end of the call is to be written.
    Settle(row::State),
}

/// A call that waits until an earlier claim on the same row is given back.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub call: journal::Call,
    pub deadline: ids::Time,
}

/// A row that this VM works on.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub account: ids::Account,
    pub route: sync::Arc<str>,
    pub digest: ids::Digest,
    pub nonce: sync::Arc<str>,
    /// The call to be told of the outcome; none if it has had it.
    pub call: Option<ids::Call>,
    pub phase: Phase,
    /// Version that the next write expects; none: the row is not there.
    pub base: Option<ids::Version>,
    /// The write in flight.
    pub op: Option<ids::Op>,
    /// When the next write is due; none while one is in flight or none needed.
    pub due: Option<ids::Time>,
    /// When the call is to be told, at the latest.
    pub deadline: Option<ids::Time>,
    /// Writes that failed in this phase.
    pub failures: u32,
    /// Whether an earlier write of the claim may have taken effect.
    pub doubtful: bool,
    pub waiter: Option<Waiter>,
}

impl Entry {
    /// An entry for a call whose claim is to be written over version `base`.
    pub fn new(
        call: &journal::Call,
        nonce: sync::Arc<str>,
        base: Option<ids::Version>,
        deadline: ids::Time,
    ) -> Self {
        Self {
            account: call.account.clone(),
            route: sync::Arc::clone(&call.route),
            digest: call.digest,
            nonce,
            call: Some(call.call),
            phase: Phase::Claim,
            base,
            op: None,
            due: None,
            deadline: Some(deadline),
            failures: 0,
            doubtful: false,
            waiter: None,
        }
    }

    /// The state that the next write gives the row.
    pub fn target(&self) -> row::State {
        match &self.phase {
            Phase::Claim | Phase::Run => row::State::Claimed,
            Phase::Settle(state) => state.clone(),
        }
    }

    /// Version of the row once the write over [`Entry::base`] took effect.
    pub fn written_version(&self) -> ids::Version {
        self.base.unwrap_or_default().next()
    }
}
