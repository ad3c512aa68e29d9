//! Loads from the weight store that a rollout needs.

use std::{collections, fmt};

use crate::format;

/// Upper end of the usual time that an adapter takes to load, in seconds.
const ADAPTER_LOAD_S: f64 = 0.025;

/// Number of loads that a rollout needs, and the least time they take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Loads {
    /// Model loads, one for each new copy.
    pub models: u64,
    /// Adapter loads, one for each new copy.
    pub adapters: u64,
    /// Least time until the weight store lets the last load start, in seconds.
    pub seconds: f64,
}

impl Loads {
    /// Counts the loads that bring `bundle` onto empty runners.
    #[must_use]
    pub fn from_empty(bundle: &format::Bundle) -> Self {
        let empty = collections::BTreeMap::new();
        Self::count(&empty, &copies(bundle), bundle)
    }

    /// Counts the loads that a rollout from `old` to `new` needs.
    #[must_use]
    pub fn between(old: &format::Bundle, new: &format::Bundle) -> Self {
        Self::count(&copies(old), &copies(new), new)
    }

    /// Counts the copies in `new` that are not in `old`.
    fn count(old: &Copies, new: &Copies, bundle: &format::Bundle) -> Self {
        let mut loads = Self::default();
        for (key, copies) in new {
            let present = old.get(key).copied().unwrap_or_default();
            let missing = u64::from(copies.saturating_sub(present));
            match key.adapter {
                None => loads.models += missing,
                Some(_) => loads.adapters += missing,
            }
        }
        let weights = &bundle.weights;
        let models = loads.models as f64 / weights.loads_per_second;
        let rounds = loads.adapters as f64 / f64::from(weights.adapters_at_once.max(1));
        loads.seconds = models + rounds * ADAPTER_LOAD_S;
        loads
    }
}

impl fmt::Display for Loads {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} loads of models and {} of adapters", self.models, self.adapters)?;
        write!(f, ", {:.0} s or more at the weight store", self.seconds.ceil())
    }
}

/// Number of copies of each model and adapter version.
type Copies = collections::BTreeMap<Key, u32>;

/// A model version, or an adapter version on it: a new version of a model
/// loads its adapters again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    model: ids::Model,
    version: String,
    adapter: Option<(ids::Adapter, String)>,
}

fn copies(bundle: &format::Bundle) -> Copies {
    let mut copies = Copies::new();
    for model in &bundle.models {
        let key =
            Key { model: model.name.clone(), version: model.version.to_string(), adapter: None };
        for adapter in bundle.adapters.iter().filter(|adapter| adapter.model == model.name) {
            let adapter = Some((adapter.name.clone(), adapter.version.to_string()));
            copies.insert(Key { adapter, ..key.clone() }, model.copies);
        }
        copies.insert(key, model.copies);
    }
    copies
}
