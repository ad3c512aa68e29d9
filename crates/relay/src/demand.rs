//! Current work per model, and its short-term forecast.

use std::collections;

use crate::decay;

/// Half-life of the short-term average, in ms: demand changes within seconds.
const SHORT_HALF_LIFE_MS: f64 = 1_200.0;
/// Half-life of the long-term average that the short-term one is compared with, in ms.
const LONG_HALF_LIFE_MS: f64 = 5_000.0;
/// Extrapolation of the trend, as a multiple of the difference of the two averages:
/// a load takes eight seconds, and the difference covers about three.
const TREND_FACTOR: f64 = 2.0;
/// Maximum forecast, as a multiple of the current rate.
const MAX_GROWTH: f64 = 3.0;
/// Rate below which a model counts as unused, in busy runners.
const MIN_RATE: f64 = 0.000_1;

/// Recent work per service and model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    sums: collections::BTreeMap<(ids::Service, ids::Model), (decay::Sum, decay::Sum)>,
}

impl Demand {
    /// Records work that keeps a runner busy for `busy_ms`.
    pub fn add(
        &mut self,
        now: ids::Time,
        service: &ids::Service,
        model: &ids::Model,
        busy_ms: f64,
    ) {
        let key = (service.clone(), model.clone());
        let new_sums = || (decay::Sum::new(SHORT_HALF_LIFE_MS), decay::Sum::new(LONG_HALF_LIFE_MS));
        let (short, long) = self.sums.entry(key).or_insert_with(new_sums);
        short.add(now, busy_ms);
        long.add(now, busy_ms);
    }

    /// Forecast demand of each model, in busy runners, extrapolating the current trend.
    #[must_use]
    pub fn rates(&self, now: ids::Time) -> Vec<(ids::Service, ids::Model, f64)> {
        let rate = |short: &decay::Sum, long: &decay::Sum| {
            let (short, long) = (short.per_second(now) / 1_000.0, long.per_second(now) / 1_000.0);
            (short + TREND_FACTOR * (short - long)).clamp(0.0, short * MAX_GROWTH)
        };
        self.sums
            .iter()
            .map(|((service, model), (short, long))| {
                (service.clone(), model.clone(), rate(short, long))
            })
            .filter(|(_, _, rate)| *rate > MIN_RATE)
            .collect()
    }
}
