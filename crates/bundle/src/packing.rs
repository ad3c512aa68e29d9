//! Placement of model copies in the runners' memory.
//!
//! Every copy of a model takes its weights, its KV cache floor and all of its
//! adapters, and copies of one model are on different runners. In addition, one
//! runner must have headroom for the largest copy, because a rollout loads the
//! new copy before it unloads the old one. Copies are placed by first-fit
//! decreasing, which is a heuristic: a bundle that passes has a placement, but
//! one that fails might still have another, with almost no memory left free.

use std::{cmp, collections, fmt};

use crate::{check, format};

/// One copy of a model, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Copy {
    /// The model.
    pub model: ids::Model,
    /// Memory of weights, KV cache floor and adapters, in MiB.
    pub memory_mib: u64,
}

/// A runner and the copies placed on it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Runner {
    /// Name of the runner.
    pub name: ids::Target,
    /// Total memory, in MiB.
    pub memory_mib: u64,
    /// Memory reserved for rollouts, in MiB; 0 on all runners but one.
    pub headroom_mib: u64,
    /// The copies placed on it, the largest first.
    pub copies: Vec<Copy>,
}

impl Runner {
    /// Returns the memory that the copies take, in MiB.
    #[must_use]
    pub fn used_mib(&self) -> u64 {
        self.copies.iter().map(|copy| copy.memory_mib).sum()
    }

    /// Returns the memory beside the copies and the headroom, in MiB.
    #[must_use]
    pub fn free_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.used_mib() + self.headroom_mib)
    }

    /// Returns whether `copy` fits and no copy of its model is here yet.
    fn has_room_for(&self, copy: &Copy) -> bool {
        let absent = self.copies.iter().all(|placed| placed.model != copy.model);
        absent && self.free_mib() >= copy.memory_mib
    }
}

/// A placement of all copies on the runners.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Packing {
    /// The runners, in the bundle's order.
    pub runners: Vec<Runner>,
    /// Copies that fit on no runner.
    pub left: Vec<Copy>,
    /// Memory to reserve for rollouts on one runner, in MiB: the size of the
    /// largest copy.
    pub headroom_mib: u64,
}

impl Packing {
    /// Places the models of `bundle`.
    ///
    /// The headroom is tried on one runner of each memory size. The first
    /// placement with the least memory of unplaced copies is returned.
    #[must_use]
    pub fn new(bundle: &format::Bundle) -> Self {
        let copies = copies(bundle);
        let headroom = copies.first().map_or(0, |copy| copy.memory_mib);
        let mut best = first_fit(bundle, &copies, headroom, None);
        let mut tried_sizes = collections::BTreeSet::new();
        for (index, runner) in bundle.runners.iter().enumerate() {
            if runner.memory_mib < headroom || !tried_sizes.insert(runner.memory_mib) {
                continue;
            }
            let packing = first_fit(bundle, &copies, headroom, Some(index));
            if best.has_headroom() && best.left_mib() <= packing.left_mib() {
                continue;
            }
            best = packing;
        }
        best
    }

    /// Returns whether all copies are placed and the headroom is reserved.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.left.is_empty() && self.has_headroom()
    }

    /// Returns the fault to report if the bundle does not fit.
    #[must_use]
    pub fn fault(&self) -> Option<check::Fault> {
        if self.fits() {
            return None;
        }
        Some(check::Fault {
            line: 0,
            column: 0,
            field: "models".to_owned(),
            problem: self.describe_shortage(),
            allowed: "fewer or smaller models, fewer copies, or more memory".to_owned(),
        })
    }

    fn describe_shortage(&self) -> String {
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

/// Lists all copies to place, the largest first.
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

/// Places `copies` by first fit, with the headroom reserved on the runner at
/// index `reserve`.
fn first_fit(
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
        match runners.iter_mut().find(|runner| runner.has_room_for(copy)) {
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
