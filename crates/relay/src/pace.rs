//! Relative time per token of models, against the slowest ones of the engines'
//! data sheets.
//!
//! Time per token differs by a factor of ten between models and is not part of the
//! configuration, so it is learned. Models of the same size mostly have the same
//! architecture, so samples are shared by size and also cover rarely used models.

use std::{collections, time};

/// Weight of the latest stream in the moving average.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Lower bound of a pace: the data sheets give 0.1.
const MIN_PACE: f64 = 0.05;

/// Time per token of models, as a fraction of that of the slowest ones.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// Pace by the size of the weights, in whole MB.
    by_size: collections::BTreeMap<u64, f64>,
    /// Number of samples by the same size.
    samples: collections::BTreeMap<u64, u32>,
}

fn size_mb(weights_mb: f64) -> u64 {
    time::Duration::from_secs_f64(weights_mb.clamp(0.0, f64::from(u32::MAX))).as_secs()
}

impl Pace {
    /// Pace of models with weights of this size, from 0 to 1; 1 if unknown.
    #[must_use]
    pub fn of_weights(&self, weights_mb: f64) -> f64 {
        self.by_size.get(&size_mb(weights_mb)).copied().unwrap_or(1.0)
    }

    /// Number of samples of models with weights of this size.
    #[must_use]
    pub fn samples(&self, weights_mb: f64) -> u32 {
        self.samples.get(&size_mb(weights_mb)).copied().unwrap_or_default()
    }

    /// Records the actual and expected time to the first token at an engine without
    /// other unread prompts.
    pub fn record(&mut self, weights_mb: f64, took: time::Duration, expected_ms: f64) {
        let ratio = took.as_secs_f64() * 1_000.0 / expected_ms.max(1.0);
        let pace = self.by_size.entry(size_mb(weights_mb)).or_insert(1.0);
        let sample = (*pace * ratio).clamp(MIN_PACE, 1.0);
        let samples = self.samples.entry(size_mb(weights_mb)).or_default();
        *samples = samples.saturating_add(1);
        *pace += SAMPLE_WEIGHT * (sample - *pace);
    }
}
