//! Demand for each item.

use std::{collections, sync};

/// Half-life of past demand in the decayed sums, in ms.
const HALF_LIFE_MS: f64 = 30_000.0;

/// Exponentially decayed sums of the tokens requested of each item.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    sums: collections::BTreeMap<sync::Arc<str>, (f64, ids::Time)>,
}

impl Demand {
    /// Records tokens requested of `item`.
    pub(crate) fn add(&mut self, now: ids::Time, item: &sync::Arc<str>, tokens: u64) {
        let (sum, updated) = self.sums.entry(sync::Arc::clone(item)).or_insert((0.0, now));
        *sum = decayed(*sum, *updated, now) + tokens as f64;
        *updated = now;
    }

    /// Returns the tokens per second requested of `item`, averaged over the recent past.
    pub(crate) fn rate(&self, now: ids::Time, item: &str) -> f64 {
        let Some((sum, updated)) = self.sums.get(item) else {
            return 0.0;
        };
        let window_s = HALF_LIFE_MS / std::f64::consts::LN_2 / 1_000.0;
        decayed(*sum, *updated, now) / window_s
    }
}

fn decayed(sum: f64, updated: ids::Time, now: ids::Time) -> f64 {
    let elapsed_ms = now.since(updated).as_secs_f64() * 1_000.0;
    sum * (-elapsed_ms / HALF_LIFE_MS).exp2()
}
