//! Decides which model to load next, on which runner, and what to evict for it.
//!
//! A runner's load is the work of its models, each spread evenly over its
//! copies. A model's work experiences the load of the least loaded runner that holds
//! it. The gain of a further copy is the reduction of that load times the model's
//! work, less the cost of loading; the copy with the highest gain is loaded next. The
//! cost does not grow with the work, so a model with many copies gets another one as
//! soon as it relieves its work as much as a second copy relieves that of a single one.
//!
//! A copy is evicted only if its model keeps another one and the remaining copies can
//! take its work. The last copy of a model is evicted only if no model has a second
//! copy, the model is unused, and a model without any copy is in demand.

use std::collections;

use crate::config;

/// Load of its least loaded runner above which a model gets a further copy, as a
/// fraction of the runner's time: above about this load, streams wait for prefills.
const COPY_LOAD: f64 = 0.45;
/// Load of a model's remaining copies up to which one copy may be evicted.
const SPARE_LOAD: f64 = 0.3;
/// Load assumed for the work of a model without a copy, beyond its own work.
const ABSENT_LOAD: f64 = 4.0;
/// Minimum gain (work times load reduction) of a further copy.
const MIN_GAIN: f64 = 0.05;
/// Gain required in addition for a load from the weight store: half of the gain of
/// a second copy for work that fills one runner.
const FETCH_PRICE: f64 = 0.3;
/// Gain required in addition for each evicted copy: its memory serves no calls
/// until the load has finished.
const EVICT_PRICE: f64 = 0.2;
/// Cost of an eviction compared with free memory, in load: it waits for the running
/// calls of the evicted model.
const EVICT_COST: f64 = 0.1;
/// Cost of a load from the weight store compared with one from the runner's host
/// memory or disk, in load: it takes six to eight seconds longer.
const FETCH_COST: f64 = 0.3;

/// Least relative speed of a runner that is counted with.
const MIN_SPEED: f64 = 0.05;

/// A runner as the planner sees it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The runner.
    pub target: ids::Target,
    /// Unused memory, in MB.
    pub free_mb: f64,
    /// Models that are loaded or being loaded.
    pub models: collections::BTreeSet<ids::Model>,
    /// Models whose weights it has in host memory or on disk.
    pub cached: collections::BTreeSet<ids::Model>,
    /// Whether it can accept an order.
    pub is_free: bool,
    /// Its speed relative to the service's median; the same work loads a fast runner less.
    pub speed: f64,
}

/// State of all runners of a service, and the demand.
#[derive(Clone, Debug)]
pub struct Snapshot<'a> {
    /// The runners, without those that are leaving.
    pub runners: Vec<Runner>,
    /// Demand per model, in busy runners.
    pub demand: collections::BTreeMap<ids::Model, f64>,
    /// Capacity of the service's runners.
    pub engine: &'a config::Engine,
    /// Whether a load from the weight store may begin now.
    pub may_fetch: bool,
}

/// A load on one runner, with the evictions that it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The runner.
    pub target: ids::Target,
    /// Models to evict first.
    pub evict: Vec<ids::Model>,
    /// The model to load.
    pub load: ids::Model,
    /// Whether the weights come from the weight store.
    pub is_fetch: bool,
}

impl Snapshot<'_> {
    fn work(&self, model: &ids::Model) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0)
    }

    fn copies(&self) -> collections::BTreeMap<&ids::Model, usize> {
        let mut copies = collections::BTreeMap::new();
        for model in self.runners.iter().flat_map(|runner| &runner.models) {
            *copies.entry(model).or_insert(0) += 1;
        }
        copies
    }

    /// Returns the move with the highest gain, if any is worthwhile.
    #[must_use]
    pub fn next_move(&self) -> Option<Move> {
        let copies = self.copies();
        let loads: Vec<f64> =
            self.runners.iter().map(|runner| self.load(runner, &copies)).collect();
        let mut best: Option<(f64, Move)> = None;
        for model in self.engine.models.keys().filter(|model| self.work(model) > 0.0) {
            let before = self.least_load(model, &loads);
            let Some((after, chosen)) = self.best_runner(model, before, &copies, &loads) else {
                continue;
            };
            // Without a copy, the work waits for at least a whole load.
            let is_absent = before.is_infinite();
            let before = if is_absent { self.work(model) + ABSENT_LOAD } else { before };
            let fetch = f64::from(u8::from(chosen.is_fetch)) * FETCH_PRICE;
            let evict = chosen.evict.len() as f64 * EVICT_PRICE;
            let price = if is_absent { 0.0 } else { fetch + evict };
            let gain = self.work(model) * (before - after) - price;
            // Calls for a model without a copy are not served at all, and using free
            // memory affects no other model.
            let least = if is_absent && chosen.evict.is_empty() { 0.0 } else { MIN_GAIN };
            if gain > least && best.as_ref().is_none_or(|(most, _)| gain > *most) {
                best = Some((gain, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Load of a runner.
    fn load(&self, runner: &Runner, copies: &collections::BTreeMap<&ids::Model, usize>) -> f64 {
        let work_here = |model| self.work(model) / copies.get(model).copied().unwrap_or(1) as f64;
        runner.models.iter().map(work_here).sum::<f64>() / runner.speed.max(MIN_SPEED)
    }

    /// Load of the least loaded runner that holds `model`; infinite if there is none.
    fn least_load(&self, model: &ids::Model, loads: &[f64]) -> f64 {
        let holds = |(runner, _): &(&Runner, &f64)| runner.models.contains(model);
        let held = self.runners.iter().zip(loads).filter(holds);
        held.map(|(_, load)| *load).fold(f64::INFINITY, f64::min)
    }

    /// The best runner for a further copy of `model`, and its load with the copy.
    /// `before` is the load of the model's least loaded runner.
    fn best_runner(
        &self,
        model: &ids::Model,
        before: f64,
        copies: &collections::BTreeMap<&ids::Model, usize>,
        loads: &[f64],
    ) -> Option<(f64, Move)> {
        if before <= COPY_LOAD {
            return None;
        }
        let needed = self.engine.models.get(model)?.weights_mb;
        let own = copies.get(model).copied().unwrap_or(0);
        let added = self.work(model) / (own + 1) as f64;
        let has_spare = copies.values().any(|copies| *copies > 1);
        let load_without = |held: &ids::Model| {
            let copies = copies.get(held).copied().unwrap_or(0);
            if copies <= 1 {
                let may_evict = own == 0 && !has_spare && self.work(held) <= 0.0;
                return may_evict.then_some(SPARE_LOAD);
            }
            let after = self.work(held) / (copies - 1) as f64;
            (after <= SPARE_LOAD || after < added / 2.0).then_some(after)
        };
        let mut best: Option<(f64, (f64, Move))> = None;
        for (runner, load) in self.runners.iter().zip(loads) {
            let is_fetch = !runner.cached.contains(model);
            if !runner.is_free || runner.models.contains(model) || (is_fetch && !self.may_fetch) {
                continue;
            }
            let Some(evict) = self.evict(runner, needed, &load_without) else {
                continue;
            };
            let after = load + added / runner.speed.max(MIN_SPEED);
            if after >= before {
                continue;
            }
            let cost = after
                + EVICT_COST * evict.len() as f64
                + FETCH_COST * f64::from(u8::from(is_fetch));
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let target = runner.target.clone();
                let chosen = Move { target, evict, load: model.clone(), is_fetch };
                best = Some((cost, (after, chosen)));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Models to evict from `runner` to free `needed` MB, least loaded first; `None`
    /// if evicting all candidates does not suffice.
    fn evict(
        &self,
        runner: &Runner,
        needed: f64,
        load_without: &impl Fn(&ids::Model) -> Option<f64>,
    ) -> Option<Vec<ids::Model>> {
        let mut free = runner.free_mb;
        let mut evict = Vec::new();
        let mut held: Vec<_> =
            runner.models.iter().filter_map(|model| Some((load_without(model)?, model))).collect();
        held.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        for (_, model) in held {
            if free >= needed {
                break;
            }
            free += self.engine.models.get(model).map_or(0.0, |spec| spec.weights_mb);
            evict.push(model.clone());
        }
        (free >= needed).then_some(evict)
    }
}
