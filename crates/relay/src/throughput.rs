//! Estimate of queueing delays, from the rate at which calls were sent recently.
//!
//! When a model is overloaded, calls that would start too late are refused while
//! their callers still have time to retry, and calls that can meet their
//! objective do not queue behind them.

use std::{collections, sync, time};

use crate::decay;

/// Half-life of the send rate, in ms: a few times the shortest objective.
const HALF_LIFE_MS: f64 = 1_500.0;
/// Minimum assumed send rate, in calls per second: a first copy may be about to
/// be loaded.
const MIN_RATE: f64 = 1.0;
/// Queue length up to which no delay is predicted, to let bursts of arrivals pass.
const BURST_CALLS: usize = 2;

/// Recent send rate per item.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    sent: collections::BTreeMap<sync::Arc<str>, decay::Sum>,
}

impl Throughput {
    /// Records that a call was sent.
    pub fn record_sent(&mut self, now: ids::Time, item: &sync::Arc<str>) {
        let new_sum = || decay::Sum::new(HALF_LIFE_MS);
        self.sent.entry(sync::Arc::clone(item)).or_insert_with(new_sum).add(now, 1.0);
    }

    /// Expected wait of a call with `ahead` queued calls of the same item before it.
    #[must_use]
    pub fn expected_wait(&self, now: ids::Time, item: &str, ahead: usize) -> time::Duration {
        if ahead <= BURST_CALLS {
            return time::Duration::ZERO;
        }
        let rate = self.sent.get(item).map_or(0.0, |sum| sum.per_second(now)).max(MIN_RATE);
        time::Duration::from_secs_f64(ahead as f64 / rate)
    }
}
