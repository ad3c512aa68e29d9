//! What VMs tell one another, and what is known of the other VMs.

use std::{collections, sync, time};

use crate::{quota, target};

/// Silence after which a VM counts as not heard: several digests, and a lost
/// packet that is sent again.
const HEARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A message between VMs. It may be lost or late.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// The regular state of the sender.
    #[serde(rename = "d")]
    Digest(Digest),
    /// A configuration that the receiver does not have, as the platform wrote it.
    #[serde(rename = "c")]
    Config {
        /// Its version.
        version: ids::Version,
        /// Its text.
        text: sync::Arc<str>,
    },
    /// Targets as a VM has read them from the store.
    #[serde(rename = "t")]
    Targets(Targets),
    /// Asks the planner for an adapter: no target holds it, or none of those that
    /// hold it has room.
    #[serde(rename = "w")]
    AdapterRequest {
        /// The service.
        service: ids::Service,
        /// The model.
        model: ids::Model,
        /// The adapter.
        adapter: ids::Adapter,
        /// Whether targets offer it already, and another one is to do so.
        is_offered: bool,
    },
    /// The planner has changed what a target holds.
    #[serde(rename = "p")]
    Placed(Placed),
}

/// Targets as a VM has read them from the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Targets {
    /// The version that these are changes of; none if these are all targets.
    #[serde(rename = "b")]
    pub since: Option<ids::Version>,
    /// The version of the store up to which they were read.
    #[serde(rename = "v")]
    pub version: ids::Version,
    /// What was read, in the order of the changes.
    #[serde(rename = "e")]
    pub changes: Vec<target::Change>,
}

/// A change of what a target holds, before the target's entry tells.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Placed {
    /// The target.
    pub target: ids::Target,
    /// The model or adapter, as targets offer it.
    pub item: sync::Arc<str>,
    /// Whether it is there from now on.
    pub present: bool,
}

/// The regular state of a VM.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Version of the configuration in force there.
    #[serde(rename = "v")]
    pub version: ids::Version,
    /// Age of what it has last read of the store itself, in ms.
    #[serde(rename = "r")]
    pub read_age: Option<u64>,
    /// Version of the store at the last change of the targets that it knows.
    #[serde(rename = "t")]
    pub targets: ids::Version,
    /// Hash of the names of the VMs that it hears, its own too.
    #[serde(rename = "h")]
    pub heard_hash: u64,
    /// What it has granted of the accounts' quotas.
    #[serde(rename = "q")]
    pub granted: Vec<quota::Usage>,
    /// Its calls at each target.
    #[serde(rename = "l")]
    pub loads: Vec<(ids::Target, target::Load)>,
    /// For the planner: work that will soon be asked of it of each model, in
    /// runners kept busy by it.
    #[serde(rename = "m")]
    pub demand: Vec<(ids::Service, ids::Model, f64)>,
    /// For the planner: adapters that its calls use, and where.
    #[serde(rename = "a")]
    pub adapters: Vec<(ids::Target, sync::Arc<str>)>,
    /// Its fencing token if it is the planner.
    #[serde(rename = "f")]
    pub leader_fence: Option<ids::Fence>,
}

/// Another VM.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name, incarnation and address, from the store.
    pub member: member::Member,
    /// The incarnation that was heard last.
    pub incarnation: ids::Incarnation,
    /// When it was heard last.
    pub last_heard: Option<ids::Time>,
    /// When it was first known.
    pub known_since: ids::Time,
    /// What it told last.
    pub digest: Digest,
}

/// The other VMs.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<ids::Vm, Row>,
    /// Whether it is known which VMs there are.
    is_known: bool,
}

impl Table {
    /// Takes in which VMs there are; whether any came, went or moved.
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

    /// Notes that a VM was heard; none if it is unknown or of an earlier incarnation.
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

    /// The VMs that were heard a moment ago.
    pub fn heard(&self, now: ids::Time) -> impl Iterator<Item = &Row> {
        let is_recent =
            move |row: &&Row| row.last_heard.is_some_and(|heard| now.since(heard) <= HEARD_TIMEOUT);
        self.rows.values().filter(is_recent)
    }

    /// All other VMs.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// A VM.
    #[must_use]
    pub fn get(&self, vm: &ids::Vm) -> Option<&Row> {
        self.rows.get(vm)
    }

    /// How many VMs are heard, and how many there are, `own_vm` too.
    #[must_use]
    pub fn count(&self, now: ids::Time) -> (usize, usize) {
        (self.heard(now).count() + 1, self.rows.len() + 1)
    }

    /// Hash of the names of the VMs that are heard, `own_vm` too.
    #[must_use]
    pub fn heard_hash(&self, now: ids::Time, own_vm: &ids::Vm) -> u64 {
        let hash = |vm: &ids::Vm| route::hash::seed(vm.as_str());
        self.heard(now).fold(hash(own_vm), |sum, row| sum.wrapping_add(hash(&row.member.vm)))
    }

    /// Whether it is known which VMs there are.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// What `own_vm` knows of the other VMs, for quotas.
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

    /// The planner, if it is another VM that is heard: the one with the highest
    /// fencing token.
    #[must_use]
    pub fn leader(&self, now: ids::Time) -> Option<&Row> {
        self.heard(now)
            .filter(|row| row.digest.leader_fence.is_some())
            .max_by_key(|row| row.digest.leader_fence)
    }
}
