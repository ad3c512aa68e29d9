//! Messages between VMs, and the state of the other VMs.

use std::{collections, sync, time};

use crate::{quota, target};

/// Silence after which a VM counts as unreachable: several digest intervals plus a
/// packet retransmission.
const HEARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A message between VMs. Messages may be lost or delayed.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Periodic state digest of the sender.
    #[serde(rename = "d")]
    Digest(Digest),
    /// A configuration that the receiver lacks, in the platform's format.
    #[serde(rename = "c")]
    Config {
        /// Its version.
        version: ids::Version,
        /// Its text.
        text: sync::Arc<str>,
    },
    /// Targets read from the store.
    #[serde(rename = "t")]
    Targets(Targets),
    /// Asks the planner to load an adapter: no target holds it, or none of those that
    /// do has free capacity.
    #[serde(rename = "w")]
    AdapterRequest {
        /// The service.
        service: ids::Service,
        /// The model.
        model: ids::Model,
        /// The adapter.
        adapter: ids::Adapter,
        /// Whether targets already offer it, so that a further copy is requested.
        is_offered: bool,
    },
    /// The planner has loaded or unloaded an item at a target.
    #[serde(rename = "p")]
    Placed(Placed),
}

/// Targets read from the store by a VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Targets {
    /// Version that the changes are relative to; `None` for a complete list.
    #[serde(rename = "b")]
    pub since: Option<ids::Version>,
    /// Store version of the read.
    #[serde(rename = "v")]
    pub version: ids::Version,
    /// Changes, in the order in which they were made.
    #[serde(rename = "e")]
    pub changes: Vec<target::Change>,
}

/// An item loaded or unloaded at a target, ahead of the update of the target's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Placed {
    /// The target.
    pub target: ids::Target,
    /// The model or adapter, as targets offer it.
    pub item: sync::Arc<str>,
    /// Whether the target holds it from now on.
    pub present: bool,
}

/// Periodic state digest of a VM.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Version of its current configuration.
    #[serde(rename = "v")]
    pub version: ids::Version,
    /// Age of its last direct read of the store, in ms; `None` if it is not a reader.
    #[serde(rename = "r")]
    pub read_age: Option<u64>,
    /// Store version of the last change of the targets that it knows.
    #[serde(rename = "t")]
    pub targets: ids::Version,
    /// Hash of the names of the VMs that it hears, including its own.
    #[serde(rename = "h")]
    pub heard_hash: u64,
    /// Its usage of the accounts' quotas.
    #[serde(rename = "q")]
    pub granted: Vec<quota::Usage>,
    /// Load of its calls at each target.
    #[serde(rename = "l")]
    pub loads: Vec<(ids::Target, target::Load)>,
    /// For the planner: forecast demand per model, in busy runners.
    #[serde(rename = "m")]
    pub demand: Vec<(ids::Service, ids::Model, f64)>,
    /// For the planner: adapters used by its open calls, by target.
    #[serde(rename = "a")]
    pub adapters: Vec<(ids::Target, sync::Arc<str>)>,
    /// Its fencing token, if it is the planner.
    #[serde(rename = "f")]
    pub leader_fence: Option<ids::Fence>,
}

/// State of another VM.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name, incarnation and address, from the store.
    pub member: member::Member,
    /// The latest incarnation heard.
    pub incarnation: ids::Incarnation,
    /// When it was heard last.
    pub last_heard: Option<ids::Time>,
    /// When it was first known.
    pub known_since: ids::Time,
    /// Its latest digest.
    pub digest: Digest,
}

/// The other VMs.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<ids::Vm, Row>,
    /// Whether the membership has been read.
    is_known: bool,
}

impl Table {
    /// Updates the membership. Returns whether any VM was added, removed or changed.
    pub fn update(
        &mut self,
        now: ids::Time,
        members: impl Iterator<Item = member::Member>,
    ) -> bool {
        self.is_known = true;
        let mut before = std::mem::take(&mut self.rows);
        let mut changed = false;
        for member in members {
            let known = before.remove(&member.vm);
            changed |= known.as_ref().is_none_or(|row| row.member != member);
            let row = match known {
                Some(row) => Row { member: member.clone(), ..row },
                None => Row {
                    incarnation: member.incarnation,
                    last_heard: None,
                    known_since: now,
                    digest: Digest::default(),
                    member: member.clone(),
                },
            };
            self.rows.insert(member.vm, row);
        }
        changed || !before.is_empty()
    }

    /// Records that a VM was heard. Returns `None` if the VM is unknown or the
    /// message is from an earlier incarnation.
    pub fn record_heard(
        &mut self,
        now: ids::Time,
        from: &ids::Vm,
        incarnation: ids::Incarnation,
    ) -> Option<&mut Row> {
        let row = self.rows.get_mut(from)?;
        if incarnation < row.incarnation {
            return None;
        }
        if incarnation > row.incarnation {
            row.incarnation = incarnation;
            row.digest = Digest::default();
        }
        row.last_heard = Some(now);
        Some(row)
    }

    /// The VMs heard within the last second.
    pub fn heard(&self, now: ids::Time) -> impl Iterator<Item = &Row> {
        let is_recent =
            move |row: &&Row| row.last_heard.is_some_and(|heard| now.since(heard) <= HEARD_TIMEOUT);
        self.rows.values().filter(is_recent)
    }

    /// All other VMs.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Looks up a VM.
    #[must_use]
    pub fn get(&self, vm: &ids::Vm) -> Option<&Row> {
        self.rows.get(vm)
    }

    /// Number of VMs that are heard, and number of all VMs, both including this one.
    #[must_use]
    pub fn count(&self, now: ids::Time) -> (usize, usize) {
        (self.heard(now).count() + 1, self.rows.len() + 1)
    }

    /// Hash of the names of the VMs that are heard, including `own_vm`.
    #[must_use]
    pub fn heard_hash(&self, now: ids::Time, own_vm: &ids::Vm) -> u64 {
        let hash = |vm: &ids::Vm| route::hash::seed(vm.as_str());
        self.heard(now).fold(hash(own_vm), |sum, row| sum.wrapping_add(hash(&row.member.vm)))
    }

    /// Whether the membership has been read.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Connectivity of `own_vm` to the other VMs, for quotas.
    #[must_use]
    pub fn view(&self, now: ids::Time, own_vm: &ids::Vm) -> quota::View {
        if !self.is_known {
            return quota::View::Unknown;
        }
        let (heard, all) = self.count(now);
        let own = self.heard_hash(now, own_vm);
        if self.heard(now).all(|row| row.digest.heard_hash == own) {
            quota::View::Together { heard, all }
        } else {
            quota::View::Alone { all }
        }
    }

    /// The VM that is the planner, if it is another one and heard. If several claim
    /// to be, the one with the highest fencing token.
    #[must_use]
    pub fn leader(&self, now: ids::Time) -> Option<&Row> {
        self.heard(now)
            .filter(|row| row.digest.leader_fence.is_some())
            .max_by_key(|row| row.digest.leader_fence)
    }
}
