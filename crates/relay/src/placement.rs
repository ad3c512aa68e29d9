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
const CROWDED: f64 = 0.45;
/// Load of a model's remaining copies up to which one of them may make way.
const EASY: f64 = 0.3;
/// Load that the work of a model without a copy is taken to feel beyond its own.
const ABSENT: f64 = 4.0;
/// Work times load that a further copy must take off, at least.
const LEAST_GAIN: f64 = 0.05;
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
pub struct Site {
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
pub struct Scene<'a> {
    /// The runners that stay.
    pub sites: Vec<Site>,
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

impl Scene<'_> {
    fn work(&self, model: &ids::Model) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0)
    }

    fn copies(&self) -> collections::BTreeMap<&ids::Model, usize> {
        let mut copies = collections::BTreeMap::new();
        for model in self.sites.iter().flat_map(|site| &site.models) {
            *copies.entry(model).or_insert(0) += 1;
        }
        copies
    }

    /// The change that is worth most now.
    #[must_use]
    pub fn next(&self) -> Option<Move> {
        let copies = self.copies();
        let loads: Vec<f64> = self.sites.iter().map(|site| self.load(site, &copies)).collect();
        let mut best: Option<(f64, Move)> = None;
        for model in self.engine.models.keys().filter(|model| self.work(model) > 0.0) {
            let before = self.least_load(model, &loads);
            let Some((after, chosen)) = self.place(model, before, &copies, &loads) else {
                continue;
            };
            // Without a copy, the work waits for its whole load and longer.
            let is_absent = before.is_infinite();
            let before = if is_absent { self.work(model) + ABSENT } else { before };
            let fetch = f64::from(u8::from(chosen.is_fetch)) * FETCH_PRICE;
            let evict = chosen.evict.len() as f64 * EVICT_PRICE;
            let price = if is_absent { 0.0 } else { fetch + evict };
            let gain = self.work(model) * (before - after) - price;
            // Calls for a model without a copy are not served at all, and a place
            // that is free costs nobody anything.
            let least = if is_absent && chosen.evict.is_empty() { 0.0 } else { LEAST_GAIN };
            if gain > least && best.as_ref().is_none_or(|(most, _)| gain > *most) {
                best = Some((gain, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// The load of a runner.
    fn load(&self, site: &Site, copies: &collections::BTreeMap<&ids::Model, usize>) -> f64 {
        let part = |model| self.work(model) / copies.get(model).copied().unwrap_or(1) as f64;
        site.models.iter().map(part).sum()
    }

    /// The load of the least loaded runner that holds `model`; infinite without any.
    fn least_load(&self, model: &ids::Model, loads: &[f64]) -> f64 {
        let holds = |(site, _): &(&Site, &f64)| site.models.contains(model);
        let held = self.sites.iter().zip(loads).filter(holds);
        held.map(|(_, load)| *load).fold(f64::INFINITY, f64::min)
    }

    /// The best runner for a further copy of `model`, whose least loaded runner
    /// has the load `before`, and its load with the copy.
    fn place(
        &self,
        model: &ids::Model,
        before: f64,
        copies: &collections::BTreeMap<&ids::Model, usize>,
        loads: &[f64],
    ) -> Option<(f64, Move)> {
        if before <= CROWDED {
            return None;
        }
        let needed = self.engine.models.get(model)?.weights_mb;
        let own = copies.get(model).copied().unwrap_or(0);
        let added = self.work(model) / (own + 1) as f64;
        let has_spare = copies.values().any(|copies| *copies > 1);
        let spare = |held: &ids::Model| {
            let copies = copies.get(held).copied().unwrap_or(0);
            if copies <= 1 {
                let may = own == 0 && !has_spare && self.work(held) <= 0.0;
                return may.then_some(EASY);
            }
            let after = self.work(held) / (copies - 1) as f64;
            (after <= EASY || after < added / 2.0).then_some(after)
        };
        let mut best: Option<(f64, (f64, Move))> = None;
        for (site, load) in self.sites.iter().zip(loads) {
            let is_fetch = !site.cached.contains(model);
            if !site.is_free || site.models.contains(model) || (is_fetch && !self.may_fetch) {
                continue;
            }
            let Some(evict) = self.evict(site, needed, &spare) else {
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
                let target = site.target.clone();
                let chosen = Move { target, evict, load: model.clone(), is_fetch };
                best = Some((cost, (after, chosen)));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// What makes way at `site` for `needed` MB, the least needed first; none if
    /// there is not enough of it.
    fn evict(
        &self,
        site: &Site,
        needed: f64,
        spare: &impl Fn(&ids::Model) -> Option<f64>,
    ) -> Option<Vec<ids::Model>> {
        let mut free = site.free_mb;
        let mut evict = Vec::new();
        let mut held: Vec<_> =
            site.models.iter().filter_map(|model| Some((spare(model)?, model))).collect();
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
