//! How long a call will wait for a target, judged by what was sent of late.
//!
//! Answers the load in which more is asked of a model than its copies can do:
//! calls that would begin too late are refused while their callers still have
//! time to come back, and those that can be in time do not wait behind them.

use std::{collections, sync, time};

use crate::decay;

/// Time in which the weight of calls sent halves, in ms: a few times the
/// shortest objective.
const HALF_LIFE_MS: f64 = 1_500.0;
/// Pace that is assumed where hardly any call was sent, in calls a second: a
/// first copy may be about to be loaded.
const MIN_RATE: f64 = 1.0;
/// Calls of an item that may wait without any judgement: a burst of arrivals.
const BURST_CALLS: usize = 2;

/// The pace at which calls of each item were sent.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    sent: collections::BTreeMap<sync::Arc<str>, decay::Sum>,
}

impl Throughput {
    /// Counts a call that was sent.
    pub fn record_sent(&mut self, now: ids::Time, item: &sync::Arc<str>) {
        let new_sum = || decay::Sum::new(HALF_LIFE_MS);
        self.sent.entry(sync::Arc::clone(item)).or_insert_with(new_sum).add(now, 1.0);
    }

    /// Expected wait of a call with so many calls of the same item before it.
    #[must_use]
    pub fn expected_wait(&self, now: ids::Time, item: &str, ahead: usize) -> time::Duration {
        if ahead <= BURST_CALLS {
            return time::Duration::ZERO;
        }
        let rate = self.sent.get(item).map_or(0.0, |sum| sum.per_second(now)).max(MIN_RATE);
        time::Duration::from_secs_f64(ahead as f64 / rate)
    }
}
