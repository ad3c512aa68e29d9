//! Events that the shell passes to the decision core.

use std::{sync, time};

use crate::{config, envelope, membership, pause, peer, shutdown, speed, target};

/// An event.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call has arrived and its request has been read completely.
    Arrival {
        /// Id of the call.
        call: ids::Call,
        /// Metadata of the request.
        envelope: envelope::Envelope,
        /// When its request head had arrived.
        arrived: ids::Time,
    },
    /// The call is closed: its caller disconnected, or its answer is complete.
    Closed {
        /// The call.
        call: ids::Call,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// The attempt.
        attempt: ids::Attempt,
        /// What happened.
        event: Event,
    },
    /// A configuration was read from the store or received from a peer.
    Config {
        /// Its text in the platform's format.
        text: sync::Arc<str>,
        /// Its decoded form.
        config: sync::Arc<config::Config>,
    },
    /// Targets were read from the store.
    Targets(Targets),
    /// The drained data centres were read from the store.
    Evacuations {
        /// Store revision of the read.
        revision: ids::Revision,
        /// All data centres to whose targets nothing more may be sent.
        centres: std::collections::BTreeSet<ids::Centre>,
    },
    /// The rows of the VMs were read from the store.
    Members {
        /// Store revision of the read.
        revision: ids::Revision,
        /// The rows, including this VM's once it is written.
        rows: Vec<membership::Row>,
    },
    /// The row of the planner's lease was read from the store.
    Lease {
        /// The row, if there is one.
        row: Option<store::table::Row>,
        /// The store's era at the read.
        era: ids::Era,
        /// The store's clock at the read, in ms; 0 if unknown.
        clock_ms: u64,
    },
    /// The store answered a read of a table, whether or not the table has changed. Follows
    /// what was read.
    Read(Table),
    /// An answer of the store has stated a later era than was known. Precedes what was read.
    Era(ids::Era),
    /// The store became reachable or unreachable.
    Store {
        /// Whether it is reachable.
        is_up: bool,
    },
    /// A write to the store completed or failed.
    Written {
        /// The operation.
        op: ids::Op,
        /// The result.
        result: store::Result<Written>,
    },
    /// The outcome of an order to a runner.
    Ordered {
        /// The operation.
        op: ids::Op,
        /// The runner's reply.
        reply: Reply,
    },
    /// The outcome of a request for a runner's report.
    Reported {
        /// The runner.
        target: ids::Target,
        /// The report; `None` if the request failed.
        report: Option<Report>,
    },
    /// What an answer to a report request or an order announces.
    Notice {
        /// The target.
        target: ids::Target,
        /// Start time of its process.
        born: u64,
        /// The announcement.
        notice: pause::Notice,
    },
    /// The outcome of the question whether a target has crashed.
    Probed {
        /// The target.
        target: ids::Target,
        /// Start time of the process that is asked about; 0 if unknown.
        born: u64,
        /// The outcome.
        probe: Probe,
    },
    /// A message arrived from another VM.
    Peer {
        /// The sender.
        from: ids::Vm,
        /// Its incarnation.
        incarnation: ids::Incarnation,
        /// The message.
        message: peer::Message,
    },
    /// A graceful shutdown was requested, with these times.
    Stop(shutdown::Schedule),
}

/// A table of the store that is read for all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// The configuration and the drained data centres.
    Config,
    /// The targets.
    Targets,
    /// The rows of the VMs.
    Members,
}

/// Result of reading the targets from the store.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Whether `changes` lists all targets rather than recent changes.
    pub is_full: bool,
    /// Store revision of the read.
    pub revision: ids::Revision,
    /// Changes, in the order in which they were made.
    pub changes: Vec<target::Change>,
}

/// Result of a write that the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// The write was applied.
    Done {
        /// New revision of the row.
        revision: ids::Revision,
        /// The store's clock at the write, in ms; 0 if unknown.
        clock_ms: u64,
    },
    /// The row did not have the expected version.
    Conflict {
        /// The row as it is.
        row: Option<store::table::Row>,
        /// The store's era at the write.
        era: ids::Era,
    },
}

/// A runner's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The runner is executing the order.
    Accepted,
    /// The ordered state is already in place.
    Holds,
    /// Another order is in progress, or the expected order count is out of date.
    Conflict,
    /// The runner rejects the order.
    Refused,
    /// No reply: the order may be executed, possibly later.
    Unknown,
}

/// Whether a target runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Its address refuses connections.
    Refused,
    /// It runs; carries the start time of its process, in ms since the Unix epoch.
    Runs(u64),
    /// There was no answer that tells.
    Unknown,
}

/// A runner's report of its own state.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Start time of its process, in ms since the Unix epoch; 0 if not reported.
    pub born: u64,
    /// Number of orders accepted since its start.
    pub orders: u64,
    /// Whether it is executing an order.
    pub is_busy: bool,
    /// Loaded models and their adapters, including those being loaded.
    pub models: std::collections::BTreeMap<ids::Model, std::collections::BTreeSet<ids::Adapter>>,
}

/// What delimits the body of a target's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// Its length is announced.
    #[default]
    Length,
    /// It is sent in chunks.
    Chunked,
    /// It ends with the connection.
    Connection,
}

/// How an answer ended, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// What delimits its body.
    pub framing: Framing,
    /// Number of the last complete event of a stream, if any.
    pub last_event: Option<u64>,
    /// Rhythm of the events of a stream since the last progress.
    pub rhythm: speed::Rhythm,
}

/// Progress or end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// No byte of the request was sent.
    Unsent {
        /// The error.
        reason: sync::Arc<str>,
    },
    /// The head of an answer announces something. The event for the answer itself follows.
    Notice(pause::Notice),
    /// No byte of the request was sent, because the target is one of those to which nothing
    /// may be sent any more ([`crate::Output::Withhold`]).
    Withheld,
    /// The target refused the call without executing it.
    Refused {
        /// HTTP status.
        status: u16,
        /// Delay that the target asks for before a retry.
        retry_after: Option<time::Duration>,
    },
    /// The target answered with an error, whose body has been received completely.
    Failure {
        /// HTTP status.
        status: u16,
    },
    /// The target stated how much longer it is cold; its answer follows.
    Cold {
        /// The time; zero if it is warm.
        left: time::Duration,
    },
    /// The answer has begun and is being passed on.
    Began,
    /// The first event of a stream was passed on.
    First,
    /// More of a stream was passed on, in this rhythm.
    Progress(speed::Rhythm),
    /// The whole answer was passed on.
    Ended(Summary),
    /// The connection broke; the call may have been executed.
    Broken {
        /// The error.
        reason: sync::Arc<str>,
        /// Number of the last stream event passed on to the caller, if any.
        last_event: Option<u64>,
    },
}
