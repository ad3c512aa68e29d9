//! What the shell tells the decision core.

use std::{sync, time};

use store::table;

use crate::{config, envelope, peer, target};

/// What has happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call has arrived and was read to its end.
    Arrival {
        /// Its number.
        call: ids::Call,
        /// What is asked for.
        envelope: envelope::Envelope,
        /// When its head had arrived.
        arrived: ids::Time,
    },
    /// The caller of a call has gone, or its answer has ended.
    Closed {
        /// The call.
        call: ids::Call,
    },
    /// Something was seen of an attempt.
    Attempt {
        /// The attempt.
        attempt: ids::Attempt,
        /// What was seen.
        event: Event,
    },
    /// A configuration was read, or came from another VM.
    Config {
        /// As the platform wrote it.
        text: sync::Arc<str>,
        /// As it was understood.
        config: sync::Arc<config::Config>,
    },
    /// Targets were read from the store.
    Targets(Targets),
    /// The rows of the VMs were read from the store.
    Members(Vec<member::Member>),
    /// The row of the planner's lease was read from the store.
    Lease {
        /// The row, if there is one.
        row: Option<table::Row>,
        /// The store's clock then, in ms; 0 if it was not told.
        clock_ms: u64,
    },
    /// The store has told that the targets have not changed.
    Unchanged,
    /// The store began or stopped to answer.
    Store {
        /// Whether it answers.
        is_up: bool,
    },
    /// A write to the store was answered.
    Written {
        /// The operation.
        op: ids::Op,
        /// The answer.
        result: store::Result<Written>,
    },
    /// A runner took an order, or did not.
    Ordered {
        /// The operation.
        op: ids::Op,
        /// How it was taken.
        reply: Reply,
    },
    /// A runner reported, or did not.
    Reported {
        /// The runner.
        target: ids::Target,
        /// What it says; none if it could not be had.
        report: Option<Report>,
    },
    /// A message came from another VM.
    Peer {
        /// The sender.
        from: ids::Vm,
        /// Its incarnation.
        incarnation: ids::Incarnation,
        /// The message.
        message: peer::Message,
    },
    /// The VM is to stop.
    Stop,
}

/// Targets as they were read from the store.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Whether these are all targets, not only changes.
    pub is_full: bool,
    /// Version of the store up to which they were read.
    pub version: ids::Version,
    /// What was read, in the order of the changes.
    pub changes: Vec<target::Change>,
}

/// What became of a write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was made.
    Done {
        /// The version that it gave the rows.
        version: ids::Version,
        /// The store's clock then, in ms; 0 if it was not told.
        clock_ms: u64,
    },
    /// It was not made: this is the row as it is.
    Conflict(Option<table::Row>),
}

/// How a runner took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is under way, or it has accepted other orders since.
    Conflict,
    /// It does not take such an order.
    Refused,
    /// Not known: it may carry the order out, also later.
    Unknown,
}

/// What a runner reports when asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Start of its process, in ms since the Unix epoch; 0 if it does not tell.
    pub born: u64,
    /// Orders that it has accepted.
    pub orders: u64,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Models that it holds, with their adapters, those on their way too.
    pub models: std::collections::BTreeMap<ids::Model, std::collections::BTreeSet<ids::Adapter>>,
}

/// What is seen of an attempt at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// No byte of it was sent.
    Unsent {
        /// What was seen.
        reason: sync::Arc<str>,
    },
    /// The target says that it did not run.
    Refused {
        /// HTTP status.
        status: u16,
        /// When the target wants to be asked again.
        retry_after: Option<time::Duration>,
    },
    /// The target answered with a failure, which is at hand as a whole.
    Failure {
        /// HTTP status.
        status: u16,
    },
    /// The answer has begun and is passed on.
    Began,
    /// The first event of a stream was passed on.
    First,
    /// More of a stream was passed on.
    Progress,
    /// The whole answer was passed on.
    Ended,
    /// It broke off, so it may have run.
    Broken {
        /// What was seen.
        reason: sync::Arc<str>,
        /// Number of the last event that the caller got, if any.
        last_event: Option<u64>,
    },
}
