//! Outputs of the decision core.

use std::{sync, time};

/// Longest time between a decision and the execution of its effect.
///
/// The core sends a call only if the VM may serve for at least this long. A
/// shell that was paused for longer drops the effects decided before the pause.
pub const MAX_EFFECT_DELAY: time::Duration = time::Duration::from_millis(500);

/// An effect for the shell to carry out.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// Send a call to a target, or resume its stream there.
    Begin(Begin),
    /// Drop an attempt and cancel its stream at the target.
    Abort {
        /// Number of the attempt, from [`Begin`].
        attempt: ids::Attempt,
    },
    /// Start the response to the caller.
    Accepted {
        /// Call that arrived on the caller's connection.
        call: ids::Call,
        /// Name under which the stream can be resumed.
        stream: sync::Arc<str>,
    },
    /// Send the next chunk of the stream to the caller.
    Chunk {
        /// Call that arrived on the caller's connection.
        call: ids::Call,
        /// Number of the chunk within the stream, from 0.
        seq: u64,
        /// Text of the chunk.
        text: sync::Arc<str>,
    },
    /// End the response to the caller; no output follows for this call.
    Finish {
        /// Call that arrived on the caller's connection.
        call: ids::Call,
        /// Result to send.
        ending: crate::call::Ending,
    },
    /// Request a runner's report.
    Report {
        /// Runner to ask.
        target: ids::Target,
        /// Address of the runner: host and port.
        address: sync::Arc<str>,
    },
    /// Send an order to a runner.
    Order {
        /// Operation to name in the answer.
        op: ids::Op,
        /// Runner that receives the order.
        target: ids::Target,
        /// Address of the runner: host and port.
        address: sync::Arc<str>,
        /// Load or unload to carry out.
        order: engine::Order,
    },
    /// Send a request to the table service.
    Table {
        /// Operation to name in the answer.
        op: ids::Op,
        /// Read, scan or conditional write.
        request: store::table::Request,
    },
    /// Send a request to the object store.
    Object {
        /// Operation to name in the answer.
        op: ids::Op,
        /// Read or write of one object.
        request: store::object::Request,
    },
    /// Request the platform's list of machines.
    Vms {
        /// Operation to name in the answer.
        op: ids::Op,
    },
    /// Send a message to another VM, without a delivery guarantee.
    Peer {
        /// Receiver.
        to: ids::Vm,
        /// Content of the message.
        message: crate::peer::Message,
    },
    /// Keep connections with these VMs, and no others.
    Members(Vec<member::Member>),
    /// Reply to an operator's request.
    Operator {
        /// Operation of the request.
        op: ids::Op,
        /// Result of the request.
        reply: crate::operator::Reply,
    },
    /// Readiness for calls has changed.
    Ready {
        /// Whether the balancer should send calls to this VM.
        ready: bool,
        /// Why the VM is not ready; empty if it is.
        reason: String,
    },
    /// Write a log line about a change of state.
    Log(crate::event::Event),
    /// Record a value in the metrics.
    Measure(crate::event::Measure),
    /// The stop requested by [`crate::Input::Stop`] is complete; the process may exit.
    Stopped,
}

/// An attempt to run a call at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Begin {
    /// Number of the attempt, to be named in its events.
    pub attempt: ids::Attempt,
    /// Call, whose body the shell holds.
    pub call: ids::Call,
    /// Name of the stream at targets, the same for all attempts of the call.
    pub stream: sync::Arc<str>,
    /// Target that runs the attempt.
    pub target: ids::Target,
    /// Address of the target: host and port.
    pub address: sync::Arc<str>,
    /// Priority at the target: 0 is served first.
    pub priority: u8,
    /// Maximum number of tokens to generate, over all attempts.
    pub max_tokens: u64,
    /// Number of the first chunk to request; 0 for a new stream.
    pub resume_from: u64,
    /// Text of the chunks before `resume_from`.
    pub text: String,
}
