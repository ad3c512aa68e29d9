//! Configuration of the planner.

use crate::ledger;

/// Configuration of the planner.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// This VM and its incarnation, as the sender of its orders.
    pub me: ledger::Sender,
    /// Longest time from the decision to send an order until it takes effect, in ms.
    ///
    /// After that time, an order that has had no effect can't have one any more.
    #[serde(default = "default_order_delay_ms")]
    pub order_delay_ms: u64,
    /// Time after which an order to unload is resent, in ms.
    #[serde(default = "default_retry_ms")]
    pub retry_ms: u64,
    /// Longest time since a row was last read or written for which its orders are sent, in ms.
    #[serde(default = "default_confirm_ms")]
    pub confirm_ms: u64,
    /// Interval between scans of all rows, in ms.
    #[serde(default = "default_scan_ms")]
    pub scan_ms: u64,
    /// Interval between placement decisions, in ms.
    #[serde(default = "default_decide_ms")]
    pub decide_ms: u64,
    /// Time without a report after which a runner is considered unreachable, in ms.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Longest time that the first decision waits for reports of all runners, in ms.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Time after a refusal during which the runner is not asked to load the item again, in ms.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Demand in tokens per second that one copy of a model serves.
    #[serde(default = "default_copy_tokens")]
    pub copy_tokens: f64,
}

impl Config {
    /// Creates the default configuration for the VM and incarnation `me`.
    #[must_use]
    pub const fn new(me: ledger::Sender) -> Self {
        Self {
            me,
            order_delay_ms: default_order_delay_ms(),
            retry_ms: default_retry_ms(),
            confirm_ms: default_confirm_ms(),
            scan_ms: default_scan_ms(),
            decide_ms: default_decide_ms(),
            silence_ms: default_silence_ms(),
            grace_ms: default_grace_ms(),
            hold_ms: default_hold_ms(),
            copy_tokens: default_copy_tokens(),
        }
    }
}

const fn default_order_delay_ms() -> u64 {
    30_000
}

const fn default_retry_ms() -> u64 {
    2_000
}

const fn default_confirm_ms() -> u64 {
    2_000
}

const fn default_scan_ms() -> u64 {
    5_000
}

const fn default_decide_ms() -> u64 {
    200
}

const fn default_silence_ms() -> u64 {
    5_000
}

const fn default_grace_ms() -> u64 {
    3_000
}

const fn default_hold_ms() -> u64 {
    5_000
}

const fn default_copy_tokens() -> f64 {
    2_000.0
}
