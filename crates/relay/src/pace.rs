//! How long models take against the slowest ones of the engines' sheets.
//!
//! Models differ by ten times in the time that a token takes, and the
//! configuration does not tell. Models of the same size are mostly of the same
//! make, so that one that is hardly asked for is judged by the others.

use std::{collections, time};

/// Weight of the newest stream.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Least pace that is believed: the sheets tell 0.1.
const MIN_PACE: f64 = 0.05;

/// Time that models take, as a part of that of the slowest ones.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// By the size of the weights, in whole MB.
    by_size: collections::BTreeMap<u64, f64>,
}

fn size_mb(weights_mb: f64) -> u64 {
    time::Duration::from_secs_f64(weights_mb.clamp(0.0, f64::from(u32::MAX))).as_secs()
}

impl Pace {
    /// Pace of models with weights of this size, from 0 to 1.
    #[must_use]
    pub fn of_weights(&self, weights_mb: f64) -> f64 {
        self.by_size.get(&size_mb(weights_mb)).copied().unwrap_or(1.0)
    }

    /// Takes in how long the first token took at an engine that had no prompt to read
    /// before, and how long it was expected to take.
    pub fn record(&mut self, weights_mb: f64, took: time::Duration, expected_ms: f64) {
        let ratio = took.as_secs_f64() * 1_000.0 / expected_ms.max(1.0);
        let pace = self.by_size.entry(size_mb(weights_mb)).or_insert(1.0);
        let sample = (*pace * ratio).clamp(MIN_PACE, 1.0);
        *pace += SAMPLE_WEIGHT * (sample - *pace);
    }
}
