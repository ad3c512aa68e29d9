//! A model of the fleet for placement decisions: the declared items and the runners.

use std::{collections, sync};

use bundle::format;

use crate::ledger::{Resident, State};

/// A model or adapter that the bundle declares.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub(crate) name: sync::Arc<str>,
    /// The base model of an adapter; `None` for models.
    pub(crate) base: Option<sync::Arc<str>>,
    pub(crate) version: sync::Arc<str>,
    pub(crate) memory_mib: u64,
    /// Smallest number of ready copies.
    pub(crate) min_copies: usize,
    /// Number of ready copies that demand requires.
    pub(crate) demanded_copies: usize,
}

/// Number of copies of each model if memory allows.
const DESIRED_COPIES: usize = 2;

impl Item {
    /// Lists the models and then the adapters of `bundle`.
    ///
    /// `demanded` returns the number of copies of a model that demand requires.
    pub(crate) fn all(bundle: &format::Bundle, demanded: impl Fn(&str) -> usize) -> Vec<Self> {
        let models = bundle.models.iter().map(|model| {
            let min_copies = usize::try_from(model.copies.max(1)).unwrap_or(usize::MAX);
            Self {
                name: model.name.as_str().into(),
                base: None,
                version: sync::Arc::clone(&model.version),
                memory_mib: model.memory_mib + model.kv_floor_mib,
                min_copies,
                demanded_copies: demanded(model.name.as_str()),
            }
        });
        let adapters = bundle.adapters.iter().map(|adapter| Self {
            name: format!("{}:{}", adapter.model, adapter.name).into(),
            base: Some(adapter.model.as_str().into()),
            version: sync::Arc::clone(&adapter.version),
            memory_mib: adapter.memory_mib,
            min_copies: 1,
            demanded_copies: 0,
        });
        models.chain(adapters).collect()
    }

    /// Number of copies that the bundle or demand requires.
    pub(crate) fn needed_copies(&self) -> usize {
        self.min_copies.max(self.demanded_copies)
    }

    /// Number of copies if memory allows; adapters get one for every copy of
    /// their model.
    pub(crate) fn desired_copies(&self) -> usize {
        if self.base.is_some() {
            return usize::MAX;
        }
        self.needed_copies().max(DESIRED_COPIES)
    }
}

/// A runner as a place for copies.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub(crate) centre: ids::Centre,
    pub(crate) memory_mib: u64,
    /// Whether it has reported recently.
    pub(crate) alive: bool,
    /// Whether it may be given new work: neither drained nor leaving.
    pub(crate) open: bool,
    /// Whether its ledger row may be changed now.
    pub(crate) writable: bool,
    pub(crate) residents: Vec<Resident>,
    /// Items that it has refused recently.
    pub(crate) refused: collections::BTreeSet<sync::Arc<str>>,
}

impl Host {
    pub(crate) fn free_mib(&self) -> u64 {
        let committed: u64 = self.residents.iter().map(|each| each.memory_mib).sum();
        self.memory_mib.saturating_sub(committed)
    }

    /// Memory of the residents that are being unloaded.
    pub(crate) fn unloading_mib(&self) -> u64 {
        let unloading = self.residents.iter().filter(|each| each.state == State::Unloading);
        unloading.map(|each| each.memory_mib).sum()
    }

    /// The ready copy of any version of `name`.
    pub(crate) fn ready(&self, name: &str) -> Option<&Resident> {
        let mut ready = self.residents.iter().filter(|each| each.state == State::Ready);
        ready.find(|each| *each.item == *name)
    }

    /// Whether `version` of `name` is ready.
    pub(crate) fn has_ready(&self, name: &str, version: &str) -> bool {
        let mut ready = self.residents.iter().filter(|each| each.state == State::Ready);
        ready.any(|each| *each.item == *name && *each.version == *version)
    }

    /// Whether `version` of `name` is resident in any state.
    pub(crate) fn has(&self, name: &str, version: &str) -> bool {
        let mut all = self.residents.iter();
        all.any(|each| *each.item == *name && *each.version == *version)
    }

    /// Whether calls are sent to it.
    pub(crate) const fn serves(&self) -> bool {
        self.alive && self.open
    }
}

/// A decided change of a runner's residents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Reserve memory on a runner and load an item.
    Load { target: ids::Target, item: sync::Arc<str>, version: sync::Arc<str>, memory_mib: u64 },
    /// Unload an item from a runner, provided that the keepers keep their copies.
    Unload {
        target: ids::Target,
        item: sync::Arc<str>,
        version: sync::Arc<str>,
        keepers: Vec<ids::Target>,
    },
}

/// The fleet, with the steps decided so far already applied.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) items: Vec<Item>,
    pub(crate) hosts: collections::BTreeMap<ids::Target, Host>,
    pub(crate) steps: Vec<Step>,
}

impl Fleet {
    pub(crate) fn item(&self, name: &str) -> Option<&Item> {
        self.items.iter().find(|item| *item.name == *name)
    }

    /// The adapters of the model `name`.
    pub(crate) fn adapters<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Item> {
        let is_adapter = move |item: &&Item| item.base.as_deref() == Some(name);
        self.items.iter().filter(is_adapter)
    }

    /// Runners that serve `version` of `item`; for an adapter, together with its model.
    pub(crate) fn serving<'a>(
        &'a self,
        item: &'a Item,
        version: &'a str,
    ) -> impl Iterator<Item = (&'a ids::Target, &'a Host)> {
        self.hosts.iter().filter(move |(_, host)| {
            let has_base = item.base.as_ref().is_none_or(|base| host.ready(base).is_some());
            host.serves() && has_base && host.has_ready(&item.name, version)
        })
    }

    /// Number of runners on which the bundle's version is ready, loading or reserved.
    pub(crate) fn current_copies(&self, item: &Item) -> usize {
        let counts = |host: &&Host| {
            let mut all = host.residents.iter();
            host.serves()
                && self.can_host(host, item)
                && all.any(|each| {
                    each.item == item.name
                        && each.version == item.version
                        && each.state != State::Unloading
                })
        };
        self.hosts.values().filter(counts).count()
    }

    /// Whether a runner can hold `item`. For an adapter, it must have the model,
    /// in the bundle's version once any runner serves that.
    pub(crate) fn can_host(&self, host: &Host, item: &Item) -> bool {
        let Some(base) = &item.base else {
            return true;
        };
        let Some(model) = self.item(base) else {
            return false;
        };
        if self.serving(model, &model.version).next().is_some() {
            return host.has_ready(base, &model.version);
        }
        host.ready(base).is_some()
    }

    /// Whether any version of `item` is ready on any runner.
    pub(crate) fn is_reachable(&self, item: &Item) -> bool {
        let mut alive = self.hosts.values().filter(|host| host.alive);
        alive.any(|host| {
            let has_base = item.base.as_ref().is_none_or(|base| host.ready(base).is_some());
            has_base && host.ready(&item.name).is_some()
        })
    }

    /// Adds a step that loads `item` on `target`.
    pub(crate) fn load(&mut self, target: &ids::Target, item: &Item) {
        let Some(host) = self.hosts.get_mut(target) else {
            return;
        };
        let resident = Resident::new(&item.name, &item.version, State::Reserved, item.memory_mib);
        host.residents.push(resident);
        self.steps.push(Step::Load {
            target: target.clone(),
            item: sync::Arc::clone(&item.name),
            version: sync::Arc::clone(&item.version),
            memory_mib: item.memory_mib,
        });
    }

    /// Adds a step that unloads `version` of `name` from `target`, provided that
    /// `keepers` keep their copies.
    pub(crate) fn unload(
        &mut self,
        target: &ids::Target,
        name: &str,
        version: &str,
        keepers: Vec<ids::Target>,
    ) {
        let Some(host) = self.hosts.get_mut(target) else {
            return;
        };
        let mut residents = host.residents.iter_mut();
        let same = |each: &&mut Resident| *each.item == *name && *each.version == *version;
        let Some(resident) = residents.find(same) else {
            return;
        };
        resident.state = State::Unloading;
        self.steps.push(Step::Unload {
            target: target.clone(),
            item: sync::Arc::clone(&resident.item),
            version: sync::Arc::clone(&resident.version),
            keepers,
        });
    }
}
