//! Open calls and their attempts.

use std::{collections, sync, time};

use crate::{config, envelope, target};

/// An open call.
#[derive(Clone, Debug)]
pub struct Row {
    /// Metadata of the request.
    pub envelope: envelope::Envelope,
    /// The matched route.
    pub route: sync::Arc<config::Route>,
    /// The service, chosen from the route's split.
    pub service: ids::Service,
    /// The account whose quota it uses; `None` on public routes.
    pub account: Option<ids::Account>,
    /// Quota units charged to the account.
    pub units: f64,
    /// Scheduling rank sent to targets, 0 (first) to 9.
    pub rank: u8,
    /// Whether other routes of the service have precedence over its route.
    pub is_courtesy: bool,
    /// The model, adapter or service that a target must offer.
    pub item: sync::Arc<str>,
    /// When its request head had arrived.
    pub arrived: ids::Time,
    /// When its answer must be complete.
    pub deadline: ids::Time,
    /// Current stage.
    pub stage: Stage,
    /// Targets that it was sent to, in order.
    pub tried: Vec<ids::Target>,
    /// Targets that could not be connected to.
    pub unreached: Vec<ids::Target>,
    /// Whether some target may have executed it.
    pub may_have_run: bool,
    /// Whether part of an answer has been passed on.
    pub has_begun: bool,
    /// Number of the event after which a resumed stream continues.
    pub resume_after: Option<u64>,
    /// When its adapter was last requested from the planner.
    pub adapter_requested_at: Option<ids::Time>,
}

/// Stage of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Queued.
    Waiting,
    /// Sent to a target as this attempt.
    Sent(ids::Attempt),
    /// Answered; waiting for the shell to close it.
    Ended,
}

/// One attempt to have a call served by a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call.
    pub call: ids::Call,
    /// The target.
    pub target: ids::Target,
    /// Start time of the target's process, which identifies it.
    pub born: u64,
    /// Its contribution to the target's load.
    pub load: target::Load,
    /// When it was sent.
    pub sent: ids::Time,
    /// Expected time from sending to the first byte, in ms.
    pub expected_ms: f64,
    /// Whether no other prompt was known to be unread at the target when it was sent.
    pub had_no_backlog: bool,
    /// Whether the target was cold when it was sent.
    pub was_cold: bool,
    /// Nominal time between two events, in ms; 0 if it is not known.
    pub nominal_gap_ms: f64,
    /// When the first byte or event arrived; `None` before that.
    pub first_byte_at: Option<ids::Time>,
    /// Whether its answer asks for a pause of the target, which is no sign of ill health.
    pub asked_pause: bool,
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

    /// Looks up a call.
    #[must_use]
    pub fn get(&self, call: ids::Call) -> Option<&Row> {
        self.rows.get(&call)
    }

    /// Mutable access to a call.
    pub fn get_mut(&mut self, call: ids::Call) -> Option<&mut Row> {
        self.rows.get_mut(&call)
    }

    /// Removes a call.
    pub fn remove(&mut self, call: ids::Call) -> Option<Row> {
        self.rows.remove(&call)
    }

    /// Iterates over all calls, in order of their ids.
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

    /// Adds an attempt and returns its id.
    pub fn begin(&mut self, attempt: Attempt) -> ids::Attempt {
        self.last_attempt = self.last_attempt.next();
        self.attempts.insert(self.last_attempt, attempt);
        self.last_attempt
    }

    /// Number of attempts made since the start.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        usize::try_from(self.last_attempt.get()).unwrap_or(usize::MAX)
    }

    /// Mutable access to an attempt.
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
