//! Log events of decisions, and values for the metrics.

use std::{sync, time};

/// A logged decision and the inputs that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Kind of decision (`call`, `order`, `lease`, `config`, `evacuation`, `target`, `prompt`, `peer`, `stop`).
    pub step: &'static str,
    /// The caller's id of the call, if the decision concerns a call.
    pub id: Option<sync::Arc<str>>,
    /// The target, VM or store key concerned.
    pub peer: String,
    /// Short description of the outcome.
    pub outcome: &'static str,
    /// Inputs of the decision, with their ages or versions.
    pub inputs: String,
}

impl Event {
    /// Creates a decision of kind `step` about `peer`.
    #[must_use]
    pub fn new(step: &'static str, peer: &impl ToString, outcome: &'static str) -> Self {
        Self { step, id: None, peer: peer.to_string(), outcome, inputs: String::new() }
    }

    /// Sets the caller's id of the call.
    #[must_use]
    pub fn with_id(mut self, id: &sync::Arc<str>) -> Self {
        self.id = Some(sync::Arc::clone(id));
        self
    }

    /// Sets the inputs of the decision.
    #[must_use]
    pub fn with_inputs(mut self, inputs: String) -> Self {
        self.inputs = inputs;
        self
    }
}

/// A value for the metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Measure {
    /// Time that a call spent queued before it was sent.
    Queue(time::Duration),
    /// Time from arrival to the first byte or event of the answer.
    First(time::Duration),
    /// A call ended.
    Ended {
        /// Short description of the outcome.
        outcome: &'static str,
    },
    /// A call of an account with a limit was granted its quota units, or refused.
    Charged {
        /// Priority of its route.
        priority: u32,
        /// Its units.
        units: f64,
        /// `granted` or `refused`.
        outcome: &'static str,
    },
    /// A call was sent to a cold target.
    ColdGranted,
    /// A call was refused because all its targets are cold.
    ColdWithheld,
    /// A call was kept away from a target because of the pauses of its streams.
    PauseAvoided,
    /// An order was sent to a runner.
    Ordered,
    /// A target has begun a pause of this length.
    Paused(time::Duration),
    /// A call was not sent, because its target was drained while it waited for a connection.
    Withheld,
}
