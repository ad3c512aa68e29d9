//! Messages between VMs, and the state of the other VMs.

use std::{collections, sync, time};

use crate::{centre, poison, quota, speed, target};

/// Digest interval of a small fleet; the age of digests bounds the error of loads and
/// quotas.
const MIN_DIGEST_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Digest interval per neighbour of a VM: about 400 messages take 100 ms of CPU time
/// of a VM per second.
const DIGEST_INTERVAL_PER_NEIGHBOUR: time::Duration = time::Duration::from_millis(8);
/// Minimum silence after which a VM counts as unreachable: several digest intervals
/// plus a packet retransmission.
const MIN_HEARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Silence after which a VM counts as unreachable, in digest intervals.
const HEARD_TIMEOUT_INTERVALS: u32 = 4;
/// Number of ended incarnations that are remembered for each VM: messages of theirs may
/// still arrive.
const MAX_ENDED: usize = 8;
/// Largest fleet in which all VMs exchange digests. In a larger one, those of
/// different data centres exchange summaries instead.
const MAX_MESH_VMS: usize = 16;

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
        /// How often the request has been forwarded.
        #[serde(default)]
        hops: u8,
    },
    /// The planner has loaded or unloaded an item at a target.
    #[serde(rename = "p")]
    Placed(Placed),
    /// The membership read from the store.
    #[serde(rename = "e")]
    Members(Members),
    /// State of a data centre, for the aggregators of the others.
    #[serde(rename = "s")]
    Summary(Box<centre::Summary>),
    /// State of the other data centres, for the VMs of the sender's.
    #[serde(rename = "o")]
    Overview(centre::Overview),
    /// The drained data centres; sent only to VMs whose digests state a version of them.
    #[serde(rename = "ev")]
    Evacuations(Evacuations),
}

impl Message {
    /// Name of the kind of message, for metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) => "digest",
            Self::Config { .. } => "config",
            Self::Targets(_) => "targets",
            Self::AdapterRequest { .. } => "adapter request",
            Self::Placed(_) => "placed",
            Self::Members(_) => "members",
            Self::Summary(_) => "summary",
            Self::Overview(_) => "overview",
            Self::Evacuations(_) => "evacuations",
        }
    }
}

/// All VMs, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Members {
    /// Store revision of the read.
    #[serde(rename = "v")]
    pub revision: ids::Revision,
    /// The VMs.
    #[serde(rename = "e")]
    pub members: Vec<member::Member>,
}

/// The drained data centres, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Evacuations {
    /// Store revision of the read.
    #[serde(rename = "v")]
    pub revision: ids::Revision,
    /// The data centres.
    #[serde(rename = "e")]
    pub centres: collections::BTreeSet<ids::Centre>,
}

/// Targets read from the store by a VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Targets {
    /// Version that the changes are relative to; `None` for a complete list.
    #[serde(rename = "b")]
    pub since: Option<ids::Revision>,
    /// Store revision of the read.
    #[serde(rename = "v")]
    pub revision: ids::Revision,
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
    /// Store revision of the last change of the targets that it knows.
    #[serde(rename = "t")]
    pub targets: ids::Revision,
    /// Store revision of the membership that it knows.
    #[serde(rename = "e", default)]
    pub members: ids::Revision,
    /// Hash of the names of the neighbours that it hears, and of its own.
    #[serde(rename = "h")]
    pub heard_hash: u64,
    /// Neighbours that it does not hear.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<ids::Vm>,
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
    /// What is new about prompt parts that crash engines.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub poison: Vec<poison::Entry>,
    /// Store revision of the drained data centres that it knows; `None` if it is of a version
    /// that does not understand [`Message::Evacuations`].
    #[serde(rename = "ev", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<ids::Revision>,
    /// The store's era, and the lowest version that the store has stated in it, as far as it
    /// knows; `None` in the first era.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<ids::Revision>,
    /// Samples of the targets' speed since the last digest that had some.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<speed::Entry>,
}

impl Digest {
    /// The store's era, as far as its sender knows.
    #[must_use]
    pub fn era(&self) -> ids::Era {
        self.era.unwrap_or_default().era()
    }
}

/// State of another VM.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name, incarnation and address, from the store.
    pub member: member::Member,
    /// The incarnation that runs, as far as is known.
    pub incarnation: ids::Incarnation,
    /// Incarnations that ended before it, the latest last.
    ended: collections::VecDeque<ids::Incarnation>,
    /// The last incarnation whose messages were ignored.
    ignored: Option<ids::Incarnation>,
    /// Whether this VM exchanges digests with it.
    pub is_neighbour: bool,
    /// When it was heard last, directly or by the aggregator of its data centre.
    pub last_heard: Option<ids::Time>,
    /// When it counts as unreachable unless it is heard again.
    heard_until: ids::Time,
    /// When it was first known.
    pub known_since: ids::Time,
    /// Its latest digest.
    pub digest: Digest,
}

impl Row {
    fn new(now: ids::Time, member: member::Member) -> Self {
        Self {
            incarnation: member.incarnation,
            ended: collections::VecDeque::new(),
            ignored: None,
            is_neighbour: true,
            last_heard: None,
            heard_until: ids::Time::default(),
            known_since: now,
            digest: Digest::default(),
            member,
        }
    }

    /// Whether it counts as reachable.
    #[must_use]
    pub fn is_heard(&self, now: ids::Time) -> bool {
        self.last_heard.is_some() && now <= self.heard_until
    }

    /// Whether an incarnation is the one that runs, or a later one.
    ///
    /// Incarnations are times of day, so a clock that was set back gives a later one a lower
    /// number. Only the order of the store's rows tells; until its row is known, such an
    /// incarnation passes for an earlier one.
    fn admits(&self, incarnation: ids::Incarnation) -> bool {
        incarnation >= self.incarnation && !self.ended.contains(&incarnation)
    }

    /// Replaces the incarnation that runs.
    fn restart(&mut self, incarnation: ids::Incarnation) {
        if incarnation == self.incarnation {
            return;
        }
        self.ended.retain(|ended| *ended != incarnation);
        self.ended.push_back(self.incarnation);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        self.incarnation = incarnation;
        self.digest = Digest::default();
    }
}

/// The other VMs.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Data centre of this VM.
    centre: Option<ids::Centre>,
    rows: collections::BTreeMap<ids::Vm, Row>,
    /// The membership, with the store revision of its last change; `None` before it is known.
    members: Option<Members>,
    /// Number of neighbours.
    neighbours: usize,
}

impl Table {
    /// Creates the table of a VM in the data centre `centre`, without other VMs.
    #[must_use]
    pub fn new(centre: ids::Centre) -> Self {
        Self { centre: Some(centre), ..Self::default() }
    }

    /// Updates the membership of the VM `own_vm`. Returns whether any other VM was added,
    /// removed or changed.
    pub fn update(&mut self, now: ids::Time, own_vm: &ids::Vm, members: Members) -> bool {
        let mut before = std::mem::take(&mut self.rows);
        let mut changed = false;
        for member in members.members.iter().filter(|member| member.vm != *own_vm).cloned() {
            let known = before.remove(&member.vm);
            changed |= known.as_ref().is_none_or(|row| row.member != member);
            let row = match known {
                Some(mut row) => {
                    if row.member.incarnation != member.incarnation {
                        row.restart(member.incarnation);
                    }
                    Row { member: member.clone(), ..row }
                }
                None => Row::new(now, member.clone()),
            };
            self.rows.insert(member.vm, row);
        }
        let is_mesh = self.rows.len() < MAX_MESH_VMS;
        for row in self.rows.values_mut() {
            row.is_neighbour = is_mesh || Some(&row.member.centre) == self.centre.as_ref();
        }
        self.neighbours = self.rows.values().filter(|row| row.is_neighbour).count();
        self.members = Some(members);
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
        let timeout = self.heard_timeout();
        let row = self.rows.get_mut(from).filter(|row| row.admits(incarnation))?;
        row.restart(incarnation);
        row.last_heard = Some(now);
        row.heard_until = row.heard_until.max(now + timeout);
        Some(row)
    }

    /// Records that a message of a VM was ignored. Returns the incarnation that runs instead,
    /// if this is the first message of `incarnation` that is ignored.
    pub fn record_ignored(
        &mut self,
        from: &ids::Vm,
        incarnation: ids::Incarnation,
    ) -> Option<ids::Incarnation> {
        let row = self.rows.get_mut(from)?;
        (row.ignored.replace(incarnation) != Some(incarnation)).then_some(row.incarnation)
    }

    /// Whether a message of a VM's incarnation is current. A VM without a row cannot be
    /// judged, so its messages count as current.
    #[must_use]
    pub fn admits(&self, vm: &ids::Vm, incarnation: ids::Incarnation) -> bool {
        self.rows.get(vm).is_none_or(|row| row.admits(incarnation))
    }

    /// Records what an aggregator reports about the VMs of its data centre.
    pub fn record_head(&mut self, now: ids::Time, age: time::Duration, head: &centre::Head) {
        let remote = self.rows.values_mut().filter(|row| !row.is_neighbour);
        for row in remote.filter(|row| row.member.centre == head.centre) {
            let vm = &row.member.vm;
            let read_age = head.readers.iter().find(|(reader, _)| reader == vm);
            let elapsed = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            row.digest.read_age = read_age.map(|(_, read_age)| read_age.saturating_add(elapsed));
            let leader = head.leader.as_ref().filter(|(leader, _)| leader == vm);
            row.digest.leader_fence = leader.map(|(_, fence)| *fence);
            row.digest.era = head.era;
            if head.silent.contains(vm) {
                row.heard_until = row.heard_until.min(now);
                continue;
            }
            row.last_heard = Some(now);
            row.heard_until = now + centre::LIFETIME.saturating_sub(age);
        }
    }

    /// Interval between two digests of a VM.
    #[must_use]
    pub fn digest_interval(&self) -> time::Duration {
        let neighbours = u32::try_from(self.neighbours).unwrap_or(u32::MAX);
        MIN_DIGEST_INTERVAL.max(DIGEST_INTERVAL_PER_NEIGHBOUR * neighbours)
    }

    fn heard_timeout(&self) -> time::Duration {
        MIN_HEARD_TIMEOUT.max(self.digest_interval() * HEARD_TIMEOUT_INTERVALS)
    }

    /// The VMs that are heard, directly or by the aggregators of their data centres.
    pub fn heard(&self, now: ids::Time) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(move |row| row.is_heard(now))
    }

    /// The VMs with which this VM exchanges digests.
    pub fn neighbours(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|row| row.is_neighbour)
    }

    /// The neighbours that are heard.
    pub fn heard_neighbours(&self, now: ids::Time) -> impl Iterator<Item = &Row> {
        self.neighbours().filter(move |row| row.is_heard(now))
    }

    /// Whether all VMs are neighbours.
    #[must_use]
    pub fn is_mesh(&self) -> bool {
        self.rows.len() == self.neighbours
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

    /// Hash of the names of the neighbours that are heard, and of `own_vm`.
    #[must_use]
    pub fn heard_hash(&self, now: ids::Time, own_vm: &ids::Vm) -> u64 {
        let hash = |vm: &ids::Vm| route::hash::seed(vm.as_str());
        self.heard_neighbours(now)
            .fold(hash(own_vm), |sum, row| sum.wrapping_add(hash(&row.member.vm)))
    }

    /// Whether the membership is known.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.members.is_some()
    }

    /// The membership, as read from the store; `None` before it is known.
    #[must_use]
    pub const fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// Store revision of the membership; 0 before it is known.
    #[must_use]
    pub fn revision(&self) -> ids::Revision {
        self.members.as_ref().map_or_else(ids::Revision::default, |members| members.revision)
    }

    /// Whether the neighbours that `own_vm` hears all hear the same neighbours.
    #[must_use]
    pub fn neighbours_agree(&self, now: ids::Time, own_vm: &ids::Vm) -> bool {
        let own = self.heard_hash(now, own_vm);
        self.heard_neighbours(now).all(|row| row.digest.heard_hash == own)
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
