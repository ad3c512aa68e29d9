//! Whether everything fits into the runners' memory.
//!
//! Every copy of a model takes its weights, its KV cache floor and all of its
//! adapters, and copies of one model are on different runners. Beside them the
//! largest copy must fit once more on some runner, for a rollout loads the new
//! copy before the old one goes. Copies are placed by first-fit decreasing, so
//! a bundle that passes has a placement; one that is refused might still have
//! another, with next to no room left.

use std::{cmp, collections, fmt};

use crate::{check, format};

/// One copy of a model with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Copy {
    /// The model.
    pub model: ids::Model,
    /// Memory of weights, KV cache floor and adapters, in MiB.
    pub memory_mib: u64,
}

/// A runner and what is placed on it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Runner {
    /// The runner.
    pub name: ids::Target,
    /// Its memory, in MiB.
    pub memory_mib: u64,
    /// Memory kept free for rollouts, in MiB.
    pub headroom_mib: u64,
    /// The copies on it.
    pub copies: Vec<Copy>,
}

impl Runner {
    /// Memory that the copies take, in MiB.
    #[must_use]
    pub fn used_mib(&self) -> u64 {
        self.copies.iter().map(|copy| copy.memory_mib).sum()
    }

    /// Memory that is left, in MiB.
    #[must_use]
    pub fn free_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.used_mib() + self.headroom_mib)
    }

    fn takes(&self, copy: &Copy) -> bool {
        let other = self.copies.iter().all(|placed| placed.model != copy.model);
        other && self.free_mib() >= copy.memory_mib
    }
}

/// Where everything goes, and what is left over.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Packing {
    /// The runners, in the bundle's order.
    pub runners: Vec<Runner>,
    /// Copies that fit nowhere.
    pub left: Vec<Copy>,
    /// Memory that a rollout needs free on one runner, in MiB.
    pub headroom_mib: u64,
}

impl Packing {
    /// Places the models of `bundle`.
    ///
    /// The headroom is tried on a runner of each size; the first placement
    /// without a rest is taken, or else the one with the smallest rest.
    #[must_use]
    pub fn new(bundle: &format::Bundle) -> Self {
        let copies = copies(bundle);
        let headroom = copies.first().map_or(0, |copy| copy.memory_mib);
        let mut best = place(bundle, &copies, headroom, None);
        let mut sizes = collections::BTreeSet::new();
        for (index, runner) in bundle.runners.iter().enumerate() {
            if runner.memory_mib < headroom || !sizes.insert(runner.memory_mib) {
                continue;
            }
            let packing = place(bundle, &copies, headroom, Some(index));
            if best.has_headroom() && best.left_mib() <= packing.left_mib() {
                continue;
            }
            best = packing;
        }
        best
    }

    /// Whether everything has its place and the headroom too.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.left.is_empty() && self.has_headroom()
    }

    /// What is wrong, if it does not fit.
    #[must_use]
    pub fn fault(&self) -> Option<check::Fault> {
        if self.fits() {
            return None;
        }
        Some(check::Fault {
            line: 0,
            column: 0,
            field: "models".to_owned(),
            problem: self.shortage(),
            allowed: "fewer or smaller models, fewer copies, or more memory".to_owned(),
        })
    }

    fn shortage(&self) -> String {
        if !self.has_headroom() {
            return format!("no runner can keep {} MiB free for rollouts", self.headroom_mib);
        }
        let left: Vec<_> = self.left.iter().map(|copy| copy.model.as_str()).collect();
        format!(
            "copies do not fit into the runners' memory: {} ({} MiB)",
            left.join(", "),
            self.left_mib()
        )
    }

    fn left_mib(&self) -> u64 {
        self.left.iter().map(|copy| copy.memory_mib).sum()
    }

    fn has_headroom(&self) -> bool {
        self.headroom_mib == 0 || self.runners.iter().any(|runner| runner.headroom_mib > 0)
    }
}

/// All copies, the largest first.
fn copies(bundle: &format::Bundle) -> Vec<Copy> {
    let mut adapters = collections::BTreeMap::new();
    for adapter in &bundle.adapters {
        let sum = adapters.entry(&adapter.model).or_insert(0_u64);
        *sum = sum.saturating_add(adapter.memory_mib);
    }
    let mut copies = Vec::new();
    for model in &bundle.models {
        let adapters = adapters.get(&model.name).copied().unwrap_or_default();
        let weights = model.memory_mib.saturating_add(model.kv_floor_mib);
        let memory_mib = weights.saturating_add(adapters);
        let copy = Copy { model: model.name.clone(), memory_mib };
        copies.extend((0..model.copies).map(|_| copy.clone()));
    }
    copies.sort_by_key(|copy| cmp::Reverse(copy.memory_mib));
    copies
}

/// Places `copies` with the headroom on one runner, by first fit.
fn place(
    bundle: &format::Bundle,
    copies: &[Copy],
    headroom_mib: u64,
    reserve: Option<usize>,
) -> Packing {
    let runner = |(index, runner): (usize, &format::Runner)| Runner {
        name: runner.name.clone(),
        memory_mib: runner.memory_mib,
        headroom_mib: if reserve == Some(index) { headroom_mib } else { 0 },
        copies: Vec::new(),
    };
    let mut runners: Vec<_> = bundle.runners.iter().enumerate().map(runner).collect();
    let mut left = Vec::new();
    for copy in copies {
        match runners.iter_mut().find(|runner| runner.takes(copy)) {
            Some(runner) => runner.copies.push(copy.clone()),
            None => left.push(copy.clone()),
        }
    }
    Packing { runners, left, headroom_mib }
}

impl fmt::Display for Packing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for runner in &self.runners {
            let items: Vec<_> = runner
                .copies
                .iter()
                .map(|copy| format!("{} {}", copy.model, copy.memory_mib))
                .collect();
            let items = if items.is_empty() { "nothing".to_owned() } else { items.join(" + ") };
            write!(f, "{}: {items} = {}", runner.name, runner.used_mib())?;
            write!(f, " of {} MiB", runner.memory_mib)?;
            if runner.headroom_mib > 0 {
                write!(f, ", {} kept for rollouts", runner.headroom_mib)?;
            }
            writeln!(f, ", {} free", runner.free_mib())?;
        }
        for copy in &self.left {
            writeln!(f, "no room: {} {} MiB", copy.model, copy.memory_mib)?;
        }
        let memory: u64 = self.runners.iter().map(|runner| runner.memory_mib).sum();
        let used: u64 = self.runners.iter().map(Runner::used_mib).sum();
        let needed = used + self.left_mib() + self.headroom_mib;
        write!(f, "needed {needed} MiB, {} of it for rollouts;", self.headroom_mib)?;
        write!(f, " the runners have {memory} MiB")
    }
}
