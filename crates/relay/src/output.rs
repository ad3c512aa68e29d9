//! What the decision core tells the shell to do.

use std::{sync, time};

use store::table;

use crate::{event, peer};

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a call to a target.
    Begin(Begin),
    /// Answer a call that has not run, and will not.
    Refuse {
        /// The call.
        call: ids::Call,
        /// HTTP status.
        status: u16,
        /// Why, in a word or two.
        reason: &'static str,
        /// When another try makes sense.
        retry_after: Option<time::Duration>,
    },
    /// Answer a call that may have run, or cut off its answer if it has begun.
    Fail {
        /// The call.
        call: ids::Call,
        /// HTTP status.
        status: u16,
        /// Why, in a word or two.
        reason: &'static str,
    },
    /// Pass on the failure with which the target has answered.
    Deliver {
        /// The call.
        call: ids::Call,
    },
    /// Send a message to another VM; it may be lost.
    Peer {
        /// The receiver.
        to: ids::Vm,
        /// The message.
        message: peer::Message,
    },
    /// Keep connections with these VMs.
    Members(Vec<member::Member>),
    /// Follow these tables of the store, and no others.
    Follow(Follow),
    /// Understand a configuration that came from another VM.
    Decode {
        /// Its text.
        text: sync::Arc<str>,
    },
    /// Write to the store.
    Write {
        /// The operation.
        op: ids::Op,
        /// The change.
        write: table::Write,
    },
    /// Give an order to a runner.
    Order {
        /// The operation.
        op: ids::Op,
        /// The order.
        order: Order,
    },
    /// Ask a runner for a report.
    Report {
        /// The runner.
        target: ids::Target,
        /// Where it listens.
        address: sync::Arc<str>,
    },
    /// Close the connections to a target that has gone.
    Disconnect {
        /// Where it listened.
        address: sync::Arc<str>,
    },
    /// What the balancer is to be told.
    Ready(bool),
    /// Write a line to the log.
    Log(event::Event),
    /// Take in a measured value.
    Measure(event::Measure),
    /// The last call has ended: the process may end.
    Stopped,
}

/// Which tables of the store a VM follows; it always follows the VMs' rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Follow {
    /// The configuration and the targets.
    pub is_reader: bool,
    /// The planner's lease.
    pub watches_lease: bool,
}

/// One sending of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Begin {
    /// The call.
    pub call: ids::Call,
    /// The attempt.
    pub attempt: ids::Attempt,
    /// The target.
    pub target: ids::Target,
    /// Where it listens.
    pub address: sync::Arc<str>,
    /// Connections to it that this VM may have.
    pub connections: usize,
    /// The account that the call counts for.
    pub account: Option<ids::Account>,
    /// Rank at the target, 0 to 9; 0 goes first.
    pub rank: u8,
    /// When the answer must have ended.
    pub deadline: ids::Time,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The event after which a stream is to go on.
    pub resume_after: Option<u64>,
}

/// An order to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The runner.
    pub target: ids::Target,
    /// Where it listens.
    pub address: sync::Arc<str>,
    /// What it is to do.
    pub verb: Verb,
    /// The model.
    pub model: ids::Model,
    /// The adapter, if the order is about one.
    pub adapter: Option<ids::Adapter>,
    /// Orders that the runner must have accepted so far.
    pub expected: u64,
    /// The planner's fencing token.
    pub fence: ids::Fence,
}

/// What a runner is to do with a model or adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Load it.
    Load,
    /// Unload it.
    Unload,
}
