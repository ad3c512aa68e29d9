//! What a rollout asks of the weight store.

use std::{collections, fmt};

use crate::format;

/// Longest usual load of an adapter, in seconds.
const ADAPTER_LOAD_S: f64 = 0.025;

/// Loads that a rollout needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Loads {
    /// Loads of models, one for each new copy.
    pub models: u64,
    /// Loads of adapters, one for each new copy.
    pub adapters: u64,
    /// Time until the weight store has let the last one begin, in seconds.
    pub seconds: f64,
}

impl Loads {
    /// The loads of `bundle` onto empty runners.
    #[must_use]
    pub fn from_empty(bundle: &format::Bundle) -> Self {
        let empty = collections::BTreeMap::new();
        Self::count(&empty, &copies(bundle), bundle)
    }

    /// The loads that lead from `old` to `new`.
    #[must_use]
    pub fn between(old: &format::Bundle, new: &format::Bundle) -> Self {
        Self::count(&copies(old), &copies(new), new)
    }

    fn count(old: &Copies, new: &Copies, bundle: &format::Bundle) -> Self {
        let mut loads = Self::default();
        for (key, copies) in new {
            let there = old.get(key).copied().unwrap_or_default();
            let more = u64::from(copies.saturating_sub(there));
            match key.adapter {
                None => loads.models += more,
                Some(_) => loads.adapters += more,
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

/// Number of copies of each thing that is loaded.
type Copies = collections::BTreeMap<Key, u32>;

/// A thing that is loaded: an adapter is loaded anew with its model.
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
