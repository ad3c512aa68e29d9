//! Inputs of the decision core.

/// An event for the decision core, reported by the shell that runs it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Input {
    /// A call arrived.
    Arrival(crate::call::Arrival),
    /// The caller closed its connection.
    Gone {
        /// Call that arrived on the connection.
        call: ids::Call,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// Number of the attempt, from [`crate::Begin`].
        attempt: ids::Attempt,
        /// Progress or end of the attempt.
        event: engine::Event,
    },
    /// A request for a runner's report completed or failed.
    Report {
        /// Runner that was asked.
        target: ids::Target,
        /// The report; `None` if the request failed.
        report: Option<engine::Report>,
    },
    /// A runner replied to an order, or the request failed.
    Order {
        /// Operation that sent the order.
        op: ids::Op,
        /// Whether the runner accepted the order.
        reply: engine::order::Reply,
    },
    /// The table service answered.
    Table {
        /// Operation that sent the request.
        op: ids::Op,
        /// Answer of the service, or why there is none.
        result: store::Result<store::table::Answer>,
    },
    /// The object store answered.
    Object {
        /// Operation that sent the request.
        op: ids::Op,
        /// Answer of the store, or why there is none.
        result: store::Result<store::object::Answer>,
    },
    /// The platform answered a request for its list of machines.
    Vms {
        /// Operation that sent the request.
        op: ids::Op,
        /// All machines with their state, or why there is no list.
        result: store::Result<Vec<store::vm::Entry>>,
    },
    /// A message arrived from another VM.
    Peer {
        /// Sender, as authenticated by the connection.
        from: ids::Vm,
        /// Incarnation of the sender when it sent the message.
        incarnation: ids::Incarnation,
        /// Content of the message.
        message: crate::peer::Message,
    },
    /// An operator sent a request.
    Operator {
        /// Operation to name in the reply.
        op: ids::Op,
        /// Requested change or query.
        request: crate::operator::Request,
    },
    /// The VM shall stop gracefully.
    Stop,
}
