//! The targets: what they hold, their load and their health.

use std::{collections, sync, time};

use crate::{cache, health};

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Its name, which is new at every start but for a few.
    pub target: ids::Target,
    /// The service that it belongs to.
    pub service: ids::Service,
    /// Where it listens: IP number and port.
    pub address: sync::Arc<str>,
    /// Its data centre.
    pub centre: ids::Centre,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Start of its process, in ms since the Unix epoch.
    pub born: u64,
    /// Models that it holds, with their adapters.
    pub models: collections::BTreeMap<ids::Model, collections::BTreeSet<ids::Adapter>>,
    /// Models whose weights it has in host memory.
    pub warm: collections::BTreeSet<ids::Model>,
    /// Models whose weights it has on disk.
    pub on_disk: collections::BTreeSet<ids::Model>,
}

impl Entry {
    /// Adapters that it holds.
    #[must_use]
    pub fn adapters(&self) -> usize {
        self.models.values().map(collections::BTreeSet::len).sum()
    }
}

/// Calls on their way at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Calls sent and not ended.
    #[serde(rename = "c")]
    pub calls: u64,
    /// KV memory that they are expected to occupy, in tokens.
    #[serde(rename = "k")]
    pub kv: u64,
    /// Prompt tokens that are still to be read.
    #[serde(rename = "p")]
    pub prefill: u64,
}

impl Load {
    /// Adds the load of others.
    pub const fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.kv += other.kv;
        self.prefill += other.prefill;
    }

    /// Takes out what a call had added.
    pub const fn subtract(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.kv = self.kv.saturating_sub(other.kv);
        self.prefill = self.prefill.saturating_sub(other.prefill);
    }
}

/// What the store says of a target as of one version.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The target.
    #[serde(rename = "t")]
    pub target: ids::Target,
    /// The store's version of this change.
    #[serde(rename = "v")]
    pub version: ids::Version,
    /// What the target says of itself; none if its entry is gone or cannot be read.
    #[serde(rename = "e")]
    pub entry: Option<Entry>,
}

/// What a change has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Something as new is known already.
    Stale,
    /// The target is new, or another process than the one known under the name,
    /// which had this address.
    New {
        /// Address of the process before.
        before: Option<sync::Arc<str>>,
    },
    /// The target begins to leave.
    Leaving,
    /// The target says something else of itself.
    Changed,
    /// Its entry is missing, and may come back.
    Missing,
    /// It is gone, and had this address.
    Gone {
        /// Its address.
        address: sync::Arc<str>,
    },
    /// It is gone, and was not known.
    Unknown,
}

/// A correction of what a target's entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Correction {
    present: bool,
    until: ids::Time,
}

/// A target as this VM knows it.
#[derive(Clone, Debug)]
pub struct Row {
    /// What it says of itself.
    pub entry: Entry,
    /// The store's version of that.
    pub version: ids::Version,
    /// Calls of this VM.
    pub own: Load,
    /// Calls of the other VMs, as they told last.
    pub others: Load,
    /// How its calls ended of late.
    pub health: health::Health,
    /// What its prompt cache is likely to hold.
    pub cache: cache::Cache,
    /// Since its entry is missing after an outage of the store.
    absence: Option<Absence>,
    corrections: collections::BTreeMap<sync::Arc<str>, Correction>,
}

/// An entry that is missing and may come back.
#[derive(Clone, Copy, Debug)]
struct Absence {
    /// The store's version at which it was missing.
    version: ids::Version,
    /// When the target is taken as gone.
    until: ids::Time,
}

/// A target that is gone.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    version: ids::Version,
    since: ids::Time,
}

/// How long a correction holds: entries are written every 1.2 s or so and are
/// some hundred ms old when they are read.
const CORRECTION_LIFETIME: time::Duration = time::Duration::from_secs(4);

impl Row {
    fn new(version: ids::Version, entry: Entry) -> Self {
        Self {
            entry,
            version,
            own: Load::default(),
            others: Load::default(),
            health: health::Health::default(),
            cache: cache::Cache::default(),
            absence: None,
            corrections: collections::BTreeMap::new(),
        }
    }

    /// Whether it holds `model`, and the adapter if one is named.
    #[must_use]
    pub fn holds(
        &self,
        now: ids::Time,
        model: &ids::Model,
        adapter: Option<&ids::Adapter>,
    ) -> bool {
        let base = self.is_present(now, model.as_str(), self.entry.models.contains_key(model));
        let Some(adapter) = adapter else {
            return base;
        };
        let listed = self.entry.models.get(model).is_some_and(|held| held.contains(adapter));
        base && self.is_present(now, &route::item::model(model, Some(adapter)), listed)
    }

    fn is_present(&self, now: ids::Time, item: &str, listed: bool) -> bool {
        match self.corrections.get(item) {
            Some(correction) if now < correction.until => correction.present,
            _ => listed,
        }
    }

    /// What the store says of it, as it was read.
    #[must_use]
    pub fn change(&self) -> Change {
        let entry = Some(self.entry.clone());
        Change { target: self.entry.target.clone(), version: self.version, entry }
    }

    /// All calls on their way there.
    #[must_use]
    pub const fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }
}

/// All targets that are known.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<ids::Target, Row>,
    tombstones: collections::BTreeMap<ids::Target, Tombstone>,
    /// Until when a missing entry is not taken as gone.
    absences_tolerated_until: ids::Time,
}

/// How long after an outage a missing entry may still come back: the two
/// seconds that the platform allows, and half a second for the way here.
const ABSENCE_GRACE: time::Duration = time::Duration::from_millis(2_500);
/// How long it is remembered at which version a target went: longer than
/// the store's answers and other VMs' news are under way, some seconds each,
/// and than its history, of which a reader may be sent all.
const TOMBSTONE_LIFETIME: time::Duration = time::Duration::from_mins(1);

impl Table {
    /// The store answers again after an outage.
    pub fn store_recovered(&mut self, now: ids::Time) {
        self.absences_tolerated_until = now + ABSENCE_GRACE;
    }

    /// Takes in what the store says of a target, unless something as new is known.
    pub fn apply(&mut self, now: ids::Time, change: &Change) -> Outcome {
        let Change { target, version, entry } = change;
        if self.version(target).is_some_and(|known| *version <= known) {
            return Outcome::Stale;
        }
        match entry {
            Some(entry) => self.update(target, *version, entry.clone()),
            None => self.remove(now, target, *version),
        }
    }

    /// The store's version of what is known of a target.
    fn version(&self, target: &ids::Target) -> Option<ids::Version> {
        match self.rows.get(target) {
            Some(row) => Some(row.absence.map_or(row.version, |absence| absence.version)),
            None => self.tombstones.get(target).map(|tombstone| tombstone.version),
        }
    }

    fn update(&mut self, target: &ids::Target, version: ids::Version, entry: Entry) -> Outcome {
        self.tombstones.remove(target);
        match self.rows.get_mut(target) {
            Some(row) if row.entry.born == entry.born && row.entry.address == entry.address => {
                let starts_leaving = entry.is_leaving && !row.entry.is_leaving;
                row.absence = None;
                row.version = version;
                row.entry = entry;
                if starts_leaving { Outcome::Leaving } else { Outcome::Changed }
            }
            _ => {
                let before = self.rows.insert(target.clone(), Row::new(version, entry));
                Outcome::New { before: before.map(|row| row.entry.address) }
            }
        }
    }

    fn remove(&mut self, now: ids::Time, target: &ids::Target, version: ids::Version) -> Outcome {
        let until = self.absences_tolerated_until;
        if let Some(row) = self.rows.get_mut(target)
            && !row.entry.is_leaving
            && (now < until || row.absence.is_some())
        {
            // A second outage does not put off the end that the first one has set.
            let outcome = if row.absence.is_none() { Outcome::Missing } else { Outcome::Stale };
            row.absence = Some(Absence {
                version,
                until: row.absence.map_or(until, |absence| absence.until),
            });
            return outcome;
        }
        self.tombstones.insert(target.clone(), Tombstone { version, since: now });
        match self.rows.remove(target) {
            Some(row) => Outcome::Gone { address: row.entry.address },
            None => Outcome::Unknown,
        }
    }

    /// The targets that all entries as of `version` do not list.
    #[must_use]
    pub fn unlisted(&self, version: ids::Version, listed: &[Change]) -> Vec<Change> {
        let listed: collections::BTreeSet<_> = listed.iter().map(|change| &change.target).collect();
        let unlisted = self.rows.keys().filter(|target| !listed.contains(target));
        unlisted.map(|target| Change { target: target.clone(), version, entry: None }).collect()
    }

    /// Drops targets whose entries have not come back after an outage.
    pub fn expire(&mut self, now: ids::Time) -> Vec<Change> {
        self.tombstones.retain(|_, tombstone| now.since(tombstone.since) < TOMBSTONE_LIFETIME);
        let overdue = |row: &Row| {
            Some((
                row.entry.target.clone(),
                row.absence.filter(|absence| absence.until <= now)?.version,
            ))
        };
        let overdue: Vec<_> = self.rows.values().filter_map(overdue).collect();
        let mut removed = Vec::new();
        for (target, version) in overdue {
            self.rows.remove(&target);
            self.tombstones.insert(target.clone(), Tombstone { version, since: now });
            removed.push(Change { target, version, entry: None });
        }
        removed
    }

    /// Notes that an order changes what a target holds before its entry tells.
    pub fn correct(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        item: &sync::Arc<str>,
        present: bool,
    ) {
        let Some(row) = self.rows.get_mut(target) else {
            return;
        };
        let correction = Correction { present, until: now + CORRECTION_LIFETIME };
        row.corrections.insert(sync::Arc::clone(item), correction);
    }

    /// What is known of a target.
    #[must_use]
    pub fn get(&self, target: &ids::Target) -> Option<&Row> {
        self.rows.get(target)
    }

    /// What is known of a target, to be changed.
    pub fn get_mut(&mut self, target: &ids::Target) -> Option<&mut Row> {
        self.rows.get_mut(target)
    }

    /// The targets of `service` that may be given new calls.
    pub fn open<'a>(&'a self, service: &'a ids::Service) -> impl Iterator<Item = &'a Row> {
        self.rows.values().filter(move |row| row.entry.service == *service && !row.entry.is_leaving)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// All targets, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Row> {
        self.rows.values_mut()
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
