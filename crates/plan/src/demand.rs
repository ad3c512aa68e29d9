//! How much of each item is asked for.

use std::{collections, sync};

/// Time in which the weight of past demand halves, in ms.
const HALF_LIFE_MS: f64 = 30_000.0;

/// Tokens a second, averaged with weights that halve over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    sums: collections::BTreeMap<sync::Arc<str>, (f64, ids::Time)>,
}

impl Demand {
    /// Counts tokens asked of `item`.
    pub(crate) fn add(&mut self, now: ids::Time, item: &sync::Arc<str>, tokens: u64) {
        let (sum, at) = self.sums.entry(sync::Arc::clone(item)).or_insert((0.0, now));
        *sum = faded(*sum, *at, now) + tokens as f64;
        *at = now;
    }

    /// Tokens a second asked of `item`.
    pub(crate) fn rate(&self, now: ids::Time, item: &str) -> f64 {
        let Some((sum, at)) = self.sums.get(item) else {
            return 0.0;
        };
        let window = HALF_LIFE_MS / std::f64::consts::LN_2 / 1_000.0;
        faded(*sum, *at, now) / window
    }
}

fn faded(sum: f64, at: ids::Time, now: ids::Time) -> f64 {
    let passed = now.since(at).as_secs_f64() * 1_000.0;
    sum * (-passed / HALF_LIFE_MS).exp2()
}
