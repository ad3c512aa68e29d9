//! The fleet as decisions see it: what is wanted, and what is where.

use std::{collections, sync};

use bundle::format;

use crate::ledger::{Resident, State};

/// An item of the bundle.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub(crate) name: sync::Arc<str>,
    /// The model beside which an adapter is loaded; none for models.
    pub(crate) base: Option<sync::Arc<str>>,
    pub(crate) version: sync::Arc<str>,
    pub(crate) memory_mib: u64,
    /// Ready copies that there must be.
    pub(crate) least: usize,
    /// Ready copies that demand asks for.
    pub(crate) demanded: usize,
}

/// Copies of each model where memory allows.
const COPIES_WANTED: usize = 2;

impl Item {
    /// The models and then the adapters of `bundle`; `demanded` tells the copies that demand asks for.
    pub(crate) fn all(bundle: &format::Bundle, demanded: impl Fn(&str) -> usize) -> Vec<Self> {
        let models = bundle.models.iter().map(|model| {
            let least = usize::try_from(model.copies.max(1)).unwrap_or(usize::MAX);
            Self {
                name: model.name.as_str().into(),
                base: None,
                version: sync::Arc::clone(&model.version),
                memory_mib: model.memory_mib + model.kv_floor_mib,
                least,
                demanded: demanded(model.name.as_str()),
            }
        });
        let adapters = bundle.adapters.iter().map(|adapter| Self {
            name: format!("{}:{}", adapter.model, adapter.name).into(),
            base: Some(adapter.model.as_str().into()),
            version: sync::Arc::clone(&adapter.version),
            memory_mib: adapter.memory_mib,
            least: 1,
            demanded: 0,
        });
        models.chain(adapters).collect()
    }

    /// Copies that the bundle or demand asks for.
    pub(crate) fn needed(&self) -> usize {
        self.least.max(self.demanded)
    }

    /// Copies that there should be where memory allows: adapters beside every
    /// copy of their model.
    pub(crate) fn wanted(&self) -> usize {
        if self.base.is_some() {
            return usize::MAX;
        }
        self.needed().max(COPIES_WANTED)
    }
}

/// A runner.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) centre: ids::Centre,
    pub(crate) memory_mib: u64,
    /// Whether it answers.
    pub(crate) alive: bool,
    /// Whether it is to be given new work.
    pub(crate) open: bool,
    /// Whether its row may be changed now.
    pub(crate) settled: bool,
    pub(crate) residents: Vec<Resident>,
    /// Items that it refused a short while ago.
    pub(crate) held: collections::BTreeSet<sync::Arc<str>>,
}

impl Site {
    pub(crate) fn free_mib(&self) -> u64 {
        let committed: u64 = self.residents.iter().map(|each| each.memory_mib).sum();
        self.memory_mib.saturating_sub(committed)
    }

    /// Memory that is being given back.
    pub(crate) fn leaving_mib(&self) -> u64 {
        let going = self.residents.iter().filter(|each| each.state == State::Unloading);
        going.map(|each| each.memory_mib).sum()
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

    /// Whether `version` of `name` is there in any state.
    pub(crate) fn has(&self, name: &str, version: &str) -> bool {
        let mut all = self.residents.iter();
        all.any(|each| *each.item == *name && *each.version == *version)
    }

    /// Whether it counts as a place where calls are served.
    pub(crate) const fn serves(&self) -> bool {
        self.alive && self.open
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Reserve memory at a runner and load.
    Load { target: ids::Target, item: sync::Arc<str>, version: sync::Arc<str>, memory_mib: u64 },
    /// Unload from a runner, as long as other runners keep their copies.
    Unload {
        target: ids::Target,
        item: sync::Arc<str>,
        version: sync::Arc<str>,
        keepers: Vec<ids::Target>,
    },
}

/// The fleet, with the steps decided so far already made.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) items: Vec<Item>,
    pub(crate) sites: collections::BTreeMap<ids::Target, Site>,
    pub(crate) steps: Vec<Step>,
}

impl Scene {
    pub(crate) fn item(&self, name: &str) -> Option<&Item> {
        self.items.iter().find(|item| *item.name == *name)
    }

    /// The adapters of the model `name`.
    pub(crate) fn adapters<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Item> {
        let of = move |item: &&Item| item.base.as_deref() == Some(name);
        self.items.iter().filter(of)
    }

    /// Runners that serve `version` of `name`, for an adapter beside its model.
    pub(crate) fn serving<'a>(
        &'a self,
        item: &'a Item,
        version: &'a str,
    ) -> impl Iterator<Item = (&'a ids::Target, &'a Site)> {
        self.sites.iter().filter(move |(_, site)| {
            let beside = item.base.as_ref().is_none_or(|base| site.ready(base).is_some());
            site.serves() && beside && site.has_ready(&item.name, version)
        })
    }

    /// Runners where the version of the bundle serves or is on its way.
    pub(crate) fn coming(&self, item: &Item) -> usize {
        let counts = |site: &&Site| {
            let mut all = site.residents.iter();
            site.serves()
                && self.hosts(site, item)
                && all.any(|each| {
                    each.item == item.name
                        && each.version == item.version
                        && each.state != State::Unloading
                })
        };
        self.sites.values().filter(counts).count()
    }

    /// Whether a runner is a place for `item`: for adapters, whether it has the
    /// model, in the bundle's version once that serves anywhere.
    pub(crate) fn hosts(&self, site: &Site, item: &Item) -> bool {
        let Some(base) = &item.base else {
            return true;
        };
        let Some(model) = self.item(base) else {
            return false;
        };
        if self.serving(model, &model.version).next().is_some() {
            return site.has_ready(base, &model.version);
        }
        site.ready(base).is_some()
    }

    /// Whether any version is ready anywhere.
    pub(crate) fn is_reachable(&self, item: &Item) -> bool {
        let mut alive = self.sites.values().filter(|site| site.alive);
        alive.any(|site| {
            let beside = item.base.as_ref().is_none_or(|base| site.ready(base).is_some());
            beside && site.ready(&item.name).is_some()
        })
    }

    /// Decides to load `item` at `target`.
    pub(crate) fn load(&mut self, target: &ids::Target, item: &Item) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let resident = Resident::new(&item.name, &item.version, State::Reserved, item.memory_mib);
        site.residents.push(resident);
        self.steps.push(Step::Load {
            target: target.clone(),
            item: sync::Arc::clone(&item.name),
            version: sync::Arc::clone(&item.version),
            memory_mib: item.memory_mib,
        });
    }

    /// Decides to unload `version` of `name` from `target` while `keepers` keep theirs.
    pub(crate) fn unload(
        &mut self,
        target: &ids::Target,
        name: &str,
        version: &str,
        keepers: Vec<ids::Target>,
    ) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        let mut residents = site.residents.iter_mut();
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
