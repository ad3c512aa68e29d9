//! Knobs of the planner.

use crate::ledger;

/// Knobs of the planner.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// This VM and its incarnation.
    pub me: ledger::Sender,
    /// Longest time from the decision to send an order to its effect, in ms.
    #[serde(default = "order_delay")]
    pub order_delay_ms: u64,
    /// Time after which an order to unload is sent again, in ms.
    #[serde(default = "retry")]
    pub retry_ms: u64,
    /// Age of a row's confirmation up to which orders are sent for it, in ms.
    #[serde(default = "confirm")]
    pub confirm_ms: u64,
    /// Time between two readings of all rows, in ms.
    #[serde(default = "scan")]
    pub scan_ms: u64,
    /// Time between two decisions, in ms.
    #[serde(default = "decide")]
    pub decide_ms: u64,
    /// Time without a report after which a runner counts as lost, in ms.
    #[serde(default = "silence")]
    pub silence_ms: u64,
    /// Time for first reports before the first decision, in ms.
    #[serde(default = "grace")]
    pub grace_ms: u64,
    /// Time for which a runner that refused an item is not asked again, in ms.
    #[serde(default = "hold")]
    pub hold_ms: u64,
    /// Tokens a second of demand for each copy of a model.
    #[serde(default = "copy_tokens")]
    pub copy_tokens: f64,
}

impl Config {
    /// The usual knobs for the VM and incarnation `me`.
    #[must_use]
    pub const fn new(me: ledger::Sender) -> Self {
        Self {
            me,
            order_delay_ms: order_delay(),
            retry_ms: retry(),
            confirm_ms: confirm(),
            scan_ms: scan(),
            decide_ms: decide(),
            silence_ms: silence(),
            grace_ms: grace(),
            hold_ms: hold(),
            copy_tokens: copy_tokens(),
        }
    }
}

const fn order_delay() -> u64 {
    30_000
}

const fn retry() -> u64 {
    2_000
}

const fn confirm() -> u64 {
    2_000
}

const fn scan() -> u64 {
    5_000
}

const fn decide() -> u64 {
    200
}

const fn silence() -> u64 {
    5_000
}

const fn grace() -> u64 {
    3_000
}

const fn hold() -> u64 {
    5_000
}

const fn copy_tokens() -> f64 {
    2_000.0
}
