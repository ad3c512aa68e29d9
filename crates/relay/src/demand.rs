//! How much work is asked for of each model, and how much soon will be.

use std::collections;

use crate::decay;

/// Time in which the weight of past work halves, in ms: demand moves within
/// seconds.
const SHORT_HALF_LIFE_MS: f64 = 1_200.0;
/// The same for the work that the present is compared with.
const LONG_HALF_LIFE_MS: f64 = 5_000.0;
/// How far a change is taken to go on, as a multiple of the difference of the
/// two: a load takes eight seconds, the difference shows some three.
const TREND_FACTOR: f64 = 2.0;
/// What a change makes of the present work at most, as a multiple.
const MAX_GROWTH: f64 = 3.0;
/// Rate below which a model is not asked for any more, in runners.
const MIN_RATE: f64 = 0.000_1;

/// Work asked for of late.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    sums: collections::BTreeMap<(ids::Service, ids::Model), (decay::Sum, decay::Sum)>,
}

impl Demand {
    /// Counts work that keeps a runner busy for `busy_ms`.
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

    /// Runners that the work of each model will soon keep busy, if its change
    /// goes on.
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
