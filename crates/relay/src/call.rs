//! Open calls and their attempts.

use std::{collections, sync, time};

use crate::{config, envelope, target};

/// An open call.
#[derive(Clone, Debug)]
pub struct Row {
    /// What is asked for.
    pub envelope: envelope::Envelope,
    /// Its route.
    pub route: sync::Arc<config::Route>,
    /// The service that serves it.
    pub service: ids::Service,
    /// The account that it counts for.
    pub account: Option<ids::Account>,
    /// Units charged to the account.
    pub units: f64,
    /// Rank at targets, 0 to 9.
    pub rank: u8,
    /// Whether calls of other routes of the service go before it.
    pub is_courtesy: bool,
    /// What targets must offer.
    pub item: sync::Arc<str>,
    /// When its head had arrived.
    pub arrived: ids::Time,
    /// When its answer must have ended.
    pub deadline: ids::Time,
    /// Where it stands.
    pub stage: Stage,
    /// Targets to which it was sent.
    pub tried: Vec<ids::Target>,
    /// Targets that could not be reached.
    pub unreached: Vec<ids::Target>,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// Whether its answer has begun.
    pub has_begun: bool,
    /// The event after which its stream is to go on.
    pub resume_after: Option<u64>,
    /// When the planner was last asked for its adapter.
    pub adapter_requested_at: Option<ids::Time>,
}

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a target.
    Waiting,
    /// It was sent.
    Sent(ids::Attempt),
    /// It has its answer; only the shell still knows it.
    Ended,
}

/// One sending of a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call.
    pub call: ids::Call,
    /// The target.
    pub target: ids::Target,
    /// Start of the target's process.
    pub born: u64,
    /// What it adds to the target's load.
    pub load: target::Load,
    /// When it was sent.
    pub sent: ids::Time,
    /// When the first byte was expected, in ms after sending.
    pub expected_ms: f64,
    /// Whether its target had no other prompt to read, as far as was known.
    pub had_no_backlog: bool,
    /// Whether the first byte or event has come.
    pub has_first_byte: bool,
}

/// All open calls and attempts.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<ids::Call, Row>,
    attempts: collections::BTreeMap<ids::Attempt, Attempt>,
    last_attempt: ids::Attempt,
}

impl Table {
    /// Adds a call.
    pub fn insert(&mut self, call: ids::Call, row: Row) {
        self.rows.insert(call, row);
    }

    /// A call.
    #[must_use]
    pub fn get(&self, call: ids::Call) -> Option<&Row> {
        self.rows.get(&call)
    }

    /// A call, to be changed.
    pub fn get_mut(&mut self, call: ids::Call) -> Option<&mut Row> {
        self.rows.get_mut(&call)
    }

    /// Removes a call.
    pub fn remove(&mut self, call: ids::Call) -> Option<Row> {
        self.rows.remove(&call)
    }

    /// All calls.
    pub fn iter(&self) -> impl Iterator<Item = (ids::Call, &Row)> {
        self.rows.iter().map(|(call, row)| (*call, row))
    }

    /// Number of open calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no open calls.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Calls whose deadline has passed.
    #[must_use]
    pub fn overdue(&self, now: ids::Time) -> Vec<ids::Call> {
        self.iter().filter(|(_, row)| row.deadline <= now).map(|(call, _)| call).collect()
    }

    /// Adds an attempt and returns its number.
    pub fn begin(&mut self, attempt: Attempt) -> ids::Attempt {
        self.last_attempt = self.last_attempt.next();
        self.attempts.insert(self.last_attempt, attempt);
        self.last_attempt
    }

    /// Number of attempts so far.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        usize::try_from(self.last_attempt.get()).unwrap_or(usize::MAX)
    }

    /// An attempt.
    pub fn attempt(&mut self, attempt: ids::Attempt) -> Option<&mut Attempt> {
        self.attempts.get_mut(&attempt)
    }

    /// Removes an attempt.
    pub fn end(&mut self, attempt: ids::Attempt) -> Option<Attempt> {
        self.attempts.remove(&attempt)
    }
}

impl Row {
    /// Time left until the deadline.
    #[must_use]
    pub fn remaining(&self, now: ids::Time) -> time::Duration {
        self.deadline.since(now)
    }
}
