//! The head: the configuration in force and the member VMs.
//!
//! Every change of configuration, keys or membership takes the head from
//! version v to v+1 with one compare-and-set in the table service. The version
//! of the row in the table is the version of the head.

use std::sync;

/// Number of recent changes whose nonces the head keeps.
pub const MAX_NONCES: usize = 16;

/// A member VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Incarnation of its process; a restarted VM is a different member.
    pub incarnation: ids::Incarnation,
    /// Its data centre.
    pub centre: ids::Centre,
    /// Address of its peer listener: IP address and port.
    pub peer: sync::Arc<str>,
}

impl Member {
    /// The name and incarnation.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance { vm: self.vm.clone(), incarnation: self.incarnation }
    }
}

/// One incarnation of a VM, that is, one run of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Incarnation of its process.
    pub incarnation: ids::Incarnation,
}

/// Witnesses of an earlier head, a number of which must know the current one
/// before it is settled.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Quorum {
    /// How many of them must know it.
    pub needed: usize,
    /// The witnesses.
    pub of: Vec<Instance>,
}

/// The configuration in force and the member VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// Version of the head, equal to the version of its row.
    pub version: ids::Version,
    /// Digest of the bundle's object; `None` before the first was accepted.
    pub bundle: Option<ids::Digest>,
    /// Digest of the amendments' object; `None` before the first amendment.
    pub amendments: Option<ids::Digest>,
    /// The key that the last change withdrew, if any.
    #[serde(default)]
    pub withdrawn: Option<ids::Key>,
    /// The VM that made the last change.
    #[serde(default)]
    pub author: Option<ids::Vm>,
    /// Nonces of the last changes, newest last. An author that did not receive
    /// the answer to its write finds its own change by its nonce.
    #[serde(default)]
    pub nonces: Vec<u64>,
    /// Quorums of earlier heads that were not known to have learnt of a later
    /// head when the last change was made.
    #[serde(default)]
    pub prior: Vec<Quorum>,
    /// The member VMs, sorted by name.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Names of the members whose votes confirm the head while the table service
    /// cannot be read.
    #[serde(default)]
    pub witnesses: Vec<ids::Vm>,
}

impl Head {
    /// The member with this name, in any incarnation.
    #[must_use]
    pub fn member(&self, vm: &ids::Vm) -> Option<&Member> {
        let index = self.members.binary_search_by(|member| member.vm.cmp(vm));
        index.ok().map(|index| &self.members[index])
    }

    /// Whether this incarnation is a member.
    #[must_use]
    pub fn contains(&self, instance: &Instance) -> bool {
        let member = self.member(&instance.vm);
        member.is_some_and(|member| member.incarnation == instance.incarnation)
    }

    /// The witnesses with their incarnations.
    #[must_use]
    pub fn witness_instances(&self) -> Vec<Instance> {
        let members = self.witnesses.iter().filter_map(|vm| self.member(vm));
        members.map(Member::instance).collect()
    }

    /// The member to which adoptions are reported: the author of the last
    /// change, or the first witness if the author has left.
    #[must_use]
    pub fn collector(&self) -> Option<&ids::Vm> {
        let author = self.author.as_ref().filter(|vm| self.member(vm).is_some());
        author.or_else(|| self.witnesses.first())
    }

    /// Number of witnesses that form a majority.
    #[must_use]
    pub const fn majority(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// The version that the change with this nonce created, if the head still
    /// keeps the nonce.
    #[must_use]
    pub fn version_of_nonce(&self, nonce: u64) -> Option<ids::Version> {
        let versions_back = self.nonces.iter().rev().position(|known| *known == nonce)?;
        let version = self.version.get().checked_sub(versions_back as u64)?;
        Some(ids::Version::new(version))
    }

    /// Adds or replaces a member and fills vacant witness places.
    #[must_use]
    pub fn with_member(mut self, member: Member, max_witnesses: usize) -> Self {
        self.members.retain(|known| known.vm != member.vm);
        self.members.push(member);
        self.members.sort();
        self.fill_witnesses(max_witnesses);
        self
    }

    /// Removes a member and fills vacant witness places.
    #[must_use]
    pub fn without_member(mut self, instance: &Instance, max_witnesses: usize) -> Self {
        self.members.retain(|known| known.instance() != *instance);
        self.fill_witnesses(max_witnesses);
        self
    }

    /// Drops witnesses that are no longer members and adds new ones from the
    /// data centres with the fewest, so that losing one centre loses few
    /// witnesses.
    fn fill_witnesses(&mut self, max_witnesses: usize) {
        let members = &self.members;
        self.witnesses.retain(|vm| members.iter().any(|member| member.vm == *vm));
        while self.witnesses.len() < max_witnesses.min(self.members.len()) {
            let Some(vm) = self.next_witness() else { return };
            self.witnesses.push(vm);
        }
        self.witnesses.sort();
    }

    fn next_witness(&self) -> Option<ids::Vm> {
        let free = self.members.iter().filter(|member| !self.witnesses.contains(&member.vm));
        let chosen = free.min_by_key(|member| self.witnesses_in(&member.centre))?;
        Some(chosen.vm.clone())
    }

    fn witnesses_in(&self, centre: &ids::Centre) -> usize {
        let members = self.witnesses.iter().filter_map(|vm| self.member(vm));
        members.filter(|member| member.centre == *centre).count()
    }
}
