//! Actions that the decision core requests from the shell.

use std::{collections, sync, time};

use store::table;

use crate::{event, peer};

/// An action.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a call to a target.
    Begin(Begin),
    /// Reject a call that has not run and will not run.
    Refuse {
        /// The call.
        call: ids::Call,
        /// HTTP status.
        status: u16,
        /// Short reason.
        reason: &'static str,
        /// Delay after which a retry may succeed.
        retry_after: Option<time::Duration>,
    },
    /// Fail a call that may have run; aborts its answer if it has begun.
    Fail {
        /// The call.
        call: ids::Call,
        /// HTTP status.
        status: u16,
        /// Short reason.
        reason: &'static str,
    },
    /// Pass on the error response of the target.
    Deliver {
        /// The call.
        call: ids::Call,
    },
    /// Send a message to other VMs; delivery is best effort.
    Peer {
        /// The receivers.
        to: Vec<ids::Vm>,
        /// The message.
        message: peer::Message,
    },
    /// Connect to another VM at once if there is no connection: it was just heard.
    Reconnect {
        /// The VM.
        to: ids::Vm,
    },
    /// Maintain connections to exactly these VMs.
    Members(Vec<member::Member>),
    /// Watch these tables of the store and no others.
    Follow(Follow),
    /// The store has come back from a copy: end what is being read of an earlier era, and read
    /// the watched tables anew.
    Era(ids::Era),
    /// Decode a configuration received from a peer.
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
    /// Send an order to a runner.
    Order {
        /// The operation.
        op: ids::Op,
        /// The order.
        order: Order,
    },
    /// Request a report from a runner.
    Report {
        /// The runner.
        target: ids::Target,
        /// Start time of its process.
        born: u64,
        /// Its address.
        address: sync::Arc<str>,
    },
    /// Ask whether a target has crashed: refuses a new connection, or reports another start.
    Probe {
        /// The target.
        target: ids::Target,
        /// Start time of the process that is asked about.
        born: u64,
        /// Its address.
        address: sync::Arc<str>,
        /// Whether its report may be requested.
        may_ask: bool,
    },
    /// From now on send nothing to these targets and to no others than these: calls that
    /// have begun and still wait for a connection are not sent. Each list replaces the last.
    Withhold {
        /// The targets.
        targets: sync::Arc<collections::BTreeSet<ids::Target>>,
    },
    /// Close the connections to a target that no longer exists.
    Disconnect {
        /// Its former address.
        address: sync::Arc<str>,
    },
    /// Readiness to report to the load balancer.
    Ready(bool),
    /// Write a line to the log.
    Log(event::Event),
    /// Record a value in the metrics.
    Measure(event::Measure),
    /// Shutdown is complete: the process may exit.
    Stopped,
}

/// Tables of the store that a VM watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Follow {
    /// Whether it watches the configuration and the targets.
    pub is_reader: bool,
    /// Whether it watches the rows of the VMs.
    pub watches_members: bool,
    /// Whether it watches the planner's lease.
    pub watches_lease: bool,
}

/// Request to send a call to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Begin {
    /// The call.
    pub call: ids::Call,
    /// The attempt.
    pub attempt: ids::Attempt,
    /// The target.
    pub target: ids::Target,
    /// Its address.
    pub address: sync::Arc<str>,
    /// Maximum number of connections from this VM to the target.
    pub connections: usize,
    /// The account whose quota the call uses; `None` on public routes.
    pub account: Option<ids::Account>,
    /// Scheduling rank at the target, 0 (first) to 9.
    pub rank: u8,
    /// When the answer must be complete.
    pub deadline: ids::Time,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Number of the event after which a resumed stream continues.
    pub resume_after: Option<u64>,
    /// When the request must have been sent, else it is not; `None` for no limit.
    pub send_by: Option<ids::Time>,
}

/// An order to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The runner.
    pub target: ids::Target,
    /// Start time of its process.
    pub born: u64,
    /// Its address.
    pub address: sync::Arc<str>,
    /// The operation.
    pub verb: Verb,
    /// The model.
    pub model: ids::Model,
    /// The adapter; `None` if the order concerns the model itself.
    pub adapter: Option<ids::Adapter>,
    /// Order count that the runner must be at; otherwise it rejects the order.
    pub expected: u64,
    /// The planner's fencing token.
    pub fence: ids::Fence,
    /// When it must have arrived, else it must not any more.
    pub expires_at: ids::Time,
}

/// Operation on a model or adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Load it.
    Load,
    /// Unload it.
    Unload,
}
