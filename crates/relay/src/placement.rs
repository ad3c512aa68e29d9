//! Which model should be loaded next, where, and what makes way for it.
//!
//! A runner's load is the work of its models, each spread evenly over its
//! copies. A model's work feels the load of the least loaded runner that holds it.
//! The copy is loaded next that takes most load off most work, less what the load itself
//! costs. That does not grow with the work, so a model with many copies gets
//! another one as soon as it takes as much load off its work as a second copy
//! off the work of a single one. A copy makes
//! way only if its model keeps another one and the others can take
//! its work. The last copy of a model makes way only where no model has a second
//! one, for a model that has none and is asked for, if nobody asks for its own.

use std::collections;

use crate::config;

/// Load of its least loaded runner from which on a model gets a further copy,
/// in parts of the runner's time: from about here on, streams wait for prompts.
const COPY_LOAD: f64 = 0.45;
/// Load of a model's remaining copies up to which one of them may make way.
const SPARE_LOAD: f64 = 0.3;
/// Load that the work of a model without a copy is taken to feel beyond its own.
const ABSENT_LOAD: f64 = 4.0;
/// Work times load that a further copy must take off, at least.
const MIN_GAIN: f64 = 0.05;
/// Work times load that a copy from the weight store must take off beyond that:
/// half of what a second copy takes off the work that fills a runner.
const FETCH_PRICE: f64 = 0.3;
/// The same for each copy that makes way: its place serves nobody until the load
/// has ended.
const EVICT_PRICE: f64 = 0.2;
/// What an eviction costs against a place that is free, in load: it waits for
/// the runs of what makes way.
const EVICT_COST: f64 = 0.1;
/// What a load from the weight store costs against one from the runner's own
/// copies, in load: six to eight seconds more.
const FETCH_COST: f64 = 0.3;

/// A runner as the planner sees it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The runner.
    pub target: ids::Target,
    /// Memory that nothing takes, in MB.
    pub free_mb: f64,
    /// Models that it holds or is loading.
    pub models: collections::BTreeSet<ids::Model>,
    /// Models whose weights it has in host memory or on disk.
    pub cached: collections::BTreeSet<ids::Model>,
    /// Whether it can be given an order.
    pub is_free: bool,
}

/// All runners of a service, and the work asked for.
#[derive(Clone, Debug)]
pub struct Snapshot<'a> {
    /// The runners that stay.
    pub runners: Vec<Runner>,
    /// Work of each model, in runners kept busy.
    pub demand: collections::BTreeMap<ids::Model, f64>,
    /// What the service's runners can hold.
    pub engine: &'a config::Engine,
    /// Whether a load from the weight store may begin now.
    pub may_fetch: bool,
}

/// A change that the planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The runner.
    pub target: ids::Target,
    /// What makes way.
    pub evict: Vec<ids::Model>,
    /// What is loaded.
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

    /// The change that is worth most now.
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
            // Without a copy, the work waits for its whole load and longer.
            let is_absent = before.is_infinite();
            let before = if is_absent { self.work(model) + ABSENT_LOAD } else { before };
            let fetch = f64::from(u8::from(chosen.is_fetch)) * FETCH_PRICE;
            let evict = chosen.evict.len() as f64 * EVICT_PRICE;
            let price = if is_absent { 0.0 } else { fetch + evict };
            let gain = self.work(model) * (before - after) - price;
            // Calls for a model without a copy are not served at all, and a place
            // that is free costs nobody anything.
            let least = if is_absent && chosen.evict.is_empty() { 0.0 } else { MIN_GAIN };
            if gain > least && best.as_ref().is_none_or(|(most, _)| gain > *most) {
                best = Some((gain, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// The load of a runner.
    fn load(&self, runner: &Runner, copies: &collections::BTreeMap<&ids::Model, usize>) -> f64 {
        let work_here = |model| self.work(model) / copies.get(model).copied().unwrap_or(1) as f64;
        runner.models.iter().map(work_here).sum()
    }

    /// The load of the least loaded runner that holds `model`; infinite without any.
    fn least_load(&self, model: &ids::Model, loads: &[f64]) -> f64 {
        let holds = |(runner, _): &(&Runner, &f64)| runner.models.contains(model);
        let held = self.runners.iter().zip(loads).filter(holds);
        held.map(|(_, load)| *load).fold(f64::INFINITY, f64::min)
    }

    /// The best runner for a further copy of `model`, whose least loaded runner
    /// has the load `before`, and its load with the copy.
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
            let after = load + added;
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

    /// What makes way at `runner` for `needed` MB, the least needed first; none if
    /// there is not enough of it.
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
