//! Targets: their contents, load and health.

use std::{collections, sync, time};

use crate::{cache, cold, era, health, pause, speed};

/// A target's own entry in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Its name, which for most targets changes at every start.
    pub target: ids::Target,
    /// The service that it belongs to.
    pub service: ids::Service,
    /// Its address: IP address and port.
    pub address: sync::Arc<str>,
    /// Its data centre.
    pub centre: ids::Centre,
    /// Number of calls that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new calls.
    pub is_leaving: bool,
    /// Start time of its process, in ms since the Unix epoch.
    pub born: u64,
    /// Loaded models and their adapters.
    pub models: collections::BTreeMap<ids::Model, collections::BTreeSet<ids::Adapter>>,
    /// Models whose weights it has in host memory.
    pub warm: collections::BTreeSet<ids::Model>,
    /// Models whose weights it has on disk.
    pub on_disk: collections::BTreeSet<ids::Model>,
    /// How much longer it is cold, in ms; 0 if it is warm, `None` if it states nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_left_ms: Option<u64>,
}

impl Entry {
    /// Number of loaded adapters.
    #[must_use]
    pub fn adapters(&self) -> usize {
        self.models.values().map(collections::BTreeSet::len).sum()
    }
}

/// Load of the calls in flight at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Number of calls in flight.
    #[serde(rename = "c")]
    pub calls: u64,
    /// Expected KV memory of these calls, in tokens.
    #[serde(rename = "k")]
    pub kv: u64,
    /// Prompt tokens whose prefill is outstanding.
    #[serde(rename = "p")]
    pub prefill: u64,
}

impl Load {
    /// Adds another load.
    pub const fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.kv += other.kv;
        self.prefill += other.prefill;
    }

    /// Subtracts another load, saturating at zero.
    pub const fn subtract(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.kv = self.kv.saturating_sub(other.kv);
        self.prefill = self.prefill.saturating_sub(other.prefill);
    }
}

/// State of a target's entry in the store at one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The target.
    #[serde(rename = "t")]
    pub target: ids::Target,
    /// The store's revision of this change.
    #[serde(rename = "v")]
    pub revision: ids::Revision,
    /// The entry; `None` if it was removed or is unreadable.
    #[serde(rename = "e")]
    pub entry: Option<Entry>,
}

/// Effect of a change on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Ignored: a revision at least as new is known.
    Stale,
    /// The entry was written again with the same content.
    Unchanged,
    /// The target is new, or a new process under a known name.
    New {
        /// Address of the previous process of that name, if any.
        before: Option<sync::Arc<str>>,
    },
    /// The target has started to shut down.
    Leaving,
    /// The target's entry has changed otherwise.
    Changed,
    /// The entry is missing after a store outage, and may come back.
    Missing,
    /// The target was removed.
    Gone {
        /// Its former address.
        address: sync::Arc<str>,
    },
    /// The target was removed, and had not been known.
    Unknown,
}

/// Overrides, for a limited time, whether a target's entry lists an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Correction {
    present: bool,
    until: ids::Time,
}

/// State of a target as known to this VM.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its entry in the store.
    pub entry: Entry,
    /// Store revision of the entry.
    pub revision: ids::Revision,
    /// Load of this VM's calls.
    pub own: Load,
    /// Load of the other VMs' calls, from their latest digests.
    pub others: Load,
    /// Health derived from recent calls.
    pub health: health::Health,
    /// Its learned speed; `None` if speeds are not learned.
    pub speed: Option<speed::Estimate>,
    /// Mean time at which the other VMs' prefill load was up to date.
    pub others_at: ids::Time,
    /// Estimate of its prefix cache.
    pub cache: cache::Cache,
    /// What it has announced to this VM in its answers.
    pub pause: pause::State,
    /// Whether it is cold.
    pub cold: cold::State,
    /// Set while its entry is missing after a store outage.
    absence: Option<Absence>,
    corrections: collections::BTreeMap<sync::Arc<str>, Correction>,
}

/// An entry that is missing and may come back.
#[derive(Clone, Copy, Debug)]
struct Absence {
    /// Store revision at which it was missing.
    revision: ids::Revision,
    /// When the target counts as removed.
    until: ids::Time,
}

/// A removed target.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    revision: ids::Revision,
    since: ids::Time,
}

/// Lifetime of a correction: entries are written about every 1.2 s and are some
/// hundred ms old when they are read.
const CORRECTION_LIFETIME: time::Duration = time::Duration::from_secs(4);

/// Minimum interval between two corrections of the same content that count as news.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How much longer a target is cold, as stated by its entry.
type ColdLeft = Option<time::Duration>;

impl Row {
    fn new(now: ids::Time, revision: ids::Revision, entry: Entry, cold_left: ColdLeft) -> Self {
        Self {
            entry,
            revision,
            cold: cold::State::new(now, cold_left),
            own: Load::default(),
            others: Load::default(),
            health: health::Health::default(),
            speed: None,
            others_at: ids::Time::default(),
            cache: cache::Cache::default(),
            pause: pause::State::default(),
            absence: None,
            corrections: collections::BTreeMap::new(),
        }
    }

    /// Whether it holds `model`, and `adapter` if given.
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

    /// Whether its entry is missing, and may come back.
    #[must_use]
    pub const fn is_missing(&self) -> bool {
        self.absence.is_some()
    }

    /// Whether it accepts no new calls, by its entry or its answers.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.entry.is_leaving || self.pause.is_leaving()
    }

    /// Whether reports and orders may be requested: it has announced neither that it leaves
    /// nor a pause.
    #[must_use]
    pub fn takes_requests(&self, now: ids::Time) -> bool {
        !self.pause.is_leaving() && self.pause.returns_at(now).is_none()
    }

    /// Its entry as a change, to be passed on to other VMs, with the time that it stays cold
    /// from now on.
    #[must_use]
    pub fn change(&self, now: ids::Time) -> Change {
        let left = u64::try_from(self.cold.left(now).as_millis()).unwrap_or(u64::MAX);
        let entry = Some(Entry { cold_left_ms: Some(left), ..self.entry.clone() });
        Change { target: self.entry.target.clone(), revision: self.revision, entry }
    }

    /// Load of the calls of all VMs.
    #[must_use]
    pub const fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<ids::Target, Row>,
    tombstones: collections::BTreeMap<ids::Target, Tombstone>,
    /// What instances without a row have announced.
    former: pause::Former,
    /// Until when the target of a missing entry does not count as removed.
    absences_tolerated_until: ids::Time,
    /// Data centres to whose targets nothing may be sent.
    drained: collections::BTreeSet<ids::Centre>,
}

/// How long after a store outage a missing entry may still come back: the two
/// seconds that the platform allows, plus half a second for propagation.
const ABSENCE_GRACE: time::Duration = time::Duration::from_millis(2_500);
/// Lifetime of a tombstone. It must exceed the delay of store responses and peer
/// messages, some seconds each, and the length of the store's history, all of which
/// a reader may receive.
const TOMBSTONE_LIFETIME: time::Duration = time::Duration::from_mins(1);

impl Table {
    /// Notes that the store is reachable again after an outage.
    pub fn store_recovered(&mut self, now: ids::Time) {
        self.absences_tolerated_until = now + ABSENCE_GRACE;
    }

    /// Applies a change, unless a revision at least as new is known.
    pub fn apply(&mut self, now: ids::Time, eras: &era::Table, change: &Change) -> Outcome {
        let Change { target, revision, entry } = change;
        // An entry may stand in the copy from which the store came back; that none is there
        // was seen in the era itself.
        let place = if entry.is_some() { eras.place(*revision) } else { *revision };
        if self.place(eras, target).is_some_and(|known| place <= known) {
            // A copy may list the target for as long as it stands there.
            if let Some(tombstone) = self.tombstones.get_mut(target) {
                tombstone.since = now;
            }
            return Outcome::Stale;
        }
        match entry {
            Some(entry) => self.update(now, target, *revision, entry.clone()),
            None => self.remove(now, target, *revision),
        }
    }

    /// Ends the grace period of an absent target whose removal another VM tells of.
    pub fn confirm_absence(&mut self, now: ids::Time, change: &Change) {
        let row = self.rows.get_mut(&change.target).filter(|_| change.entry.is_none());
        if let Some(absence) = row.and_then(|row| row.absence.as_mut())
            && absence.revision <= change.revision
        {
            absence.until = absence.until.min(now);
        }
    }

    /// Place of the last known change of a target in the order of changes.
    fn place(&self, eras: &era::Table, target: &ids::Target) -> Option<ids::Revision> {
        match self.rows.get(target) {
            Some(Row { absence: Some(absence), .. }) => Some(absence.revision),
            Some(row) => Some(eras.place(row.revision)),
            None => self.tombstones.get(target).map(|tombstone| tombstone.revision),
        }
    }

    fn update(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        revision: ids::Revision,
        mut entry: Entry,
    ) -> Outcome {
        self.tombstones.remove(target);
        // It differs from write to write; `Row::cold` keeps what it means.
        let cold_left = entry.cold_left_ms.take().map(time::Duration::from_millis);
        match self.rows.get_mut(target) {
            Some(row) if row.entry.born == entry.born && row.entry.address == entry.address => {
                let starts_leaving = entry.is_leaving && !row.entry.is_leaving;
                let is_back = row.absence.take().is_some();
                row.revision = revision;
                let is_news = row.cold.observe_entry(now, cold_left);
                if row.entry == entry && !is_back && !is_news {
                    return Outcome::Unchanged;
                }
                row.entry = entry;
                if starts_leaving { Outcome::Leaving } else { Outcome::Changed }
            }
            _ => {
                let before = self.take_row(target);
                let pause = self.former.take(target, entry.born);
                let row = Row { pause, ..Row::new(now, revision, entry, cold_left) };
                self.rows.insert(target.clone(), row);
                Outcome::New { before: before.map(|row| row.entry.address) }
            }
        }
    }

    fn remove(&mut self, now: ids::Time, target: &ids::Target, revision: ids::Revision) -> Outcome {
        let until = self.absences_tolerated_until;
        if let Some(row) = self.rows.get_mut(target)
            && !row.entry.is_leaving
            && (now < until || row.absence.is_some())
        {
            // A second outage does not extend the deadline set after the first one.
            let outcome = if row.absence.is_none() { Outcome::Missing } else { Outcome::Stale };
            row.absence = Some(Absence {
                revision,
                until: row.absence.map_or(until, |absence| absence.until),
            });
            return outcome;
        }
        self.tombstones.insert(target.clone(), Tombstone { revision, since: now });
        match self.take_row(target) {
            Some(row) => Outcome::Gone { address: row.entry.address },
            None => Outcome::Unknown,
        }
    }

    /// Removes a row; what its instance has announced is remembered.
    fn take_row(&mut self, target: &ids::Target) -> Option<Row> {
        let row = self.rows.remove(target)?;
        self.former.keep(target, row.entry.born, row.pause);
        Some(row)
    }

    /// What an instance has announced, to be changed.
    pub fn announcement_mut(&mut self, target: &ids::Target, born: u64) -> &mut pause::State {
        match self.rows.get_mut(target).filter(|row| row.entry.born == born) {
            Some(row) => &mut row.pause,
            None => self.former.get_mut(target, born),
        }
    }

    /// Removals of all targets that are missing from the complete list of `revision`.
    #[must_use]
    pub fn unlisted(&self, revision: ids::Revision, listed: &[Change]) -> Vec<Change> {
        let listed: collections::BTreeSet<_> = listed.iter().map(|change| &change.target).collect();
        let unlisted = self.rows.keys().filter(|target| !listed.contains(target));
        unlisted.map(|target| Change { target: target.clone(), revision, entry: None }).collect()
    }

    /// Removals of targets that were known to be gone before `era` began. The copy from which the
    /// store came back may list them.
    #[must_use]
    pub fn removals_before(&self, era: ids::Era) -> Vec<Change> {
        let removed =
            self.tombstones.iter().filter(|(_, tombstone)| tombstone.revision.era() < era);
        let removal = |(target, tombstone): (&ids::Target, &Tombstone)| Change {
            target: target.clone(),
            revision: tombstone.revision,
            entry: None,
        };
        removed.map(removal).collect()
    }

    /// Removes targets whose entries have not come back after a store outage, and
    /// expired tombstones.
    pub fn expire(&mut self, now: ids::Time) -> Vec<Change> {
        self.tombstones.retain(|_, tombstone| now.since(tombstone.since) < TOMBSTONE_LIFETIME);
        let overdue = |row: &Row| {
            Some((
                row.entry.target.clone(),
                row.absence.filter(|absence| absence.until <= now)?.revision,
            ))
        };
        let overdue: Vec<_> = self.rows.values().filter_map(overdue).collect();
        let mut removed = Vec::new();
        for (target, revision) in overdue {
            self.take_row(&target);
            self.tombstones.insert(target.clone(), Tombstone { revision, since: now });
            removed.push(Change { target, revision, entry: None });
        }
        removed
    }

    /// Records that an order has changed what a target holds, ahead of its entry.
    /// Returns whether this is news: messages about it may arrive more than once.
    pub fn correct(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        item: &sync::Arc<str>,
        present: bool,
    ) -> bool {
        let Some(row) = self.rows.get_mut(target) else {
            return false;
        };
        let until = now + CORRECTION_LIFETIME;
        let correction = Correction { present, until };
        let known = row.corrections.insert(sync::Arc::clone(item), correction);
        known.is_none_or(|known| {
            known.present != present || until.since(known.until) >= REPEAT_INTERVAL
        })
    }

    /// Looks up a target.
    #[must_use]
    pub fn get(&self, target: &ids::Target) -> Option<&Row> {
        self.rows.get(target)
    }

    /// Mutable access to a target.
    pub fn get_mut(&mut self, target: &ids::Target) -> Option<&mut Row> {
        self.rows.get_mut(target)
    }

    /// The targets of `service` that accept new calls.
    pub fn open<'a>(&'a self, service: &'a ids::Service) -> impl Iterator<Item = &'a Row> {
        let open = self.rows.values();
        let open = open.filter(move |row| row.entry.service == *service && !row.is_leaving());
        open.filter(|row| !self.is_drained(row))
    }

    /// Sets the drained data centres.
    pub fn set_drained(&mut self, centres: &collections::BTreeSet<ids::Centre>) {
        self.drained.clone_from(centres);
    }

    /// Whether the data centre of a target is drained.
    #[must_use]
    pub fn is_drained(&self, row: &Row) -> bool {
        self.drained.contains(&row.entry.centre)
    }

    /// Whether `service` has no targets that accept new calls, because of drains.
    #[must_use]
    pub fn is_drained_out(&self, service: &ids::Service) -> bool {
        let own = |row: &&Row| row.entry.service == *service && !row.is_leaving();
        !self.drained.is_empty()
            && self.open(service).next().is_none()
            && self.rows.values().any(|row| own(&row))
    }

    /// Iterates over all targets, in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Mutable iteration over all targets.
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
