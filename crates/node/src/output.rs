//! What the decision core tells the shell to do.

use std::{sync, time};

/// Longest time between a decision and the act that follows from it.
///
/// The core decides to send a call only if the VM may serve for at least this
/// long. A shell that was paused for longer drops what was decided before.
pub const MAX_EFFECT_DELAY: time::Duration = time::Duration::from_millis(500);

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// Send a call to a target, or go on with it there.
    Begin(Begin),
    /// Drop an attempt and cancel its stream at the target.
    Abort {
        /// The attempt.
        attempt: ids::Attempt,
    },
    /// The call's answer begins.
    Accepted {
        /// The call.
        call: ids::Call,
        /// Name under which the stream can be resumed.
        stream: sync::Arc<str>,
    },
    /// The next part of the call's answer.
    Chunk {
        /// The call.
        call: ids::Call,
        /// Number of the chunk, from 0.
        seq: u64,
        /// Its text.
        text: sync::Arc<str>,
    },
    /// The call ends; nothing follows.
    Finish {
        /// The call.
        call: ids::Call,
        /// How it ends.
        ending: crate::call::Ending,
    },
    /// Ask a runner for a report.
    Report {
        /// The runner.
        target: ids::Target,
        /// Its address.
        address: sync::Arc<str>,
    },
    /// Send an order to a runner.
    Order {
        /// The operation, to be named in the answer.
        op: ids::Op,
        /// The runner.
        target: ids::Target,
        /// Its address.
        address: sync::Arc<str>,
        /// The order.
        order: engine::Order,
    },
    /// Ask the table service.
    Table {
        /// The operation, to be named in the answer.
        op: ids::Op,
        /// What to ask.
        request: store::table::Request,
    },
    /// Ask the object store.
    Object {
        /// The operation, to be named in the answer.
        op: ids::Op,
        /// What to ask.
        request: store::object::Request,
    },
    /// Ask for the platform's list of machines.
    Vms {
        /// The operation, to be named in the answer.
        op: ids::Op,
    },
    /// Send a message to another VM; it may be lost.
    Peer {
        /// The receiver.
        to: ids::Vm,
        /// The message.
        message: crate::peer::Message,
    },
    /// The VMs to keep connections with, this one left out.
    Members(Vec<member::Member>),
    /// Answer an operator.
    Operator {
        /// The operation.
        op: ids::Op,
        /// The answer.
        reply: crate::operator::Reply,
    },
    /// Whether the VM is ready for calls has changed.
    Ready {
        /// Whether it is.
        ready: bool,
        /// Why it is not.
        reason: String,
    },
    /// A change of state worth a log line.
    Log(crate::event::Event),
    /// A measured value.
    Measure(crate::event::Measure),
    /// All calls have ended after [`crate::Input::Stop`]; the process may end.
    Stopped,
}

/// A call to be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Begin {
    /// The attempt, to be named in its events.
    pub attempt: ids::Attempt,
    /// The call, whose body the shell has.
    pub call: ids::Call,
    /// Name of the stream, the same for all attempts.
    pub stream: sync::Arc<str>,
    /// The target.
    pub target: ids::Target,
    /// Its address.
    pub address: sync::Arc<str>,
    /// Class of the work: 0 is served first.
    pub priority: u8,
    /// Tokens to generate at most, over all attempts.
    pub max_tokens: u64,
    /// Number of the first chunk to ask for.
    pub resume_from: u64,
    /// Text of the chunks before it.
    pub text: String,
}
