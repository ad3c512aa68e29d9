//! Times of a graceful shutdown.

use std::time;

/// Longest time after the stop signal in which new calls are still accepted: the load
/// balancer checks once a second and removes a VM after two failed checks. Callers may lose
/// calls that they send within 3 s of the signal, which a busy VM notices late.
const MAX_DRAIN: time::Duration = time::Duration::from_millis(2_800);
/// Longest time before the kill at which the remaining calls are ended.
const MAX_KILL_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Fraction of the grace period before the kill at which the remaining calls are ended:
/// callers are promised that no call ends before the last sixth.
const KILL_MARGIN_DIVISOR: u32 = 8;
/// Longest time for sending the last bytes of answers before the process exits.
const MAX_FLUSH: time::Duration = time::Duration::from_millis(200);

/// Times of a graceful shutdown, counted from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When new calls are no longer accepted, and idle connections are closed.
    pub drained_after: time::Duration,
    /// When the remaining calls are ended.
    pub ended_after: time::Duration,
    /// Time for sending the last bytes once all calls have ended.
    pub flush: time::Duration,
}

impl Schedule {
    /// Creates the schedule of a process that is killed `grace` after the stop signal.
    #[must_use]
    pub fn new(grace: time::Duration) -> Self {
        let kill_margin = MAX_KILL_MARGIN.min(grace / KILL_MARGIN_DIVISOR);
        Self {
            drained_after: MAX_DRAIN.min(grace / 2),
            ended_after: grace.saturating_sub(kill_margin),
            flush: MAX_FLUSH.min(kill_margin / 2),
        }
    }
}
