//! The head: what is in force, and who serves.
//!
//! Every change of configuration, keys or membership takes the head from
//! version v to v+1 by one compare-and-set in the table service. The row's
//! version there is the version of the head.

use std::sync;

/// Changes whose nonces the head remembers.
pub const MAX_NONCES: usize = 16;

/// A VM that serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Its incarnation: a restarted VM is another member.
    pub incarnation: ids::Incarnation,
    /// Its data centre.
    pub centre: ids::Centre,
    /// Address of its peer face: IP number and port.
    pub peer: sync::Arc<str>,
}

impl Member {
    /// Name and incarnation alone.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance { vm: self.vm.clone(), incarnation: self.incarnation }
    }
}

/// One incarnation of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
}

/// Witnesses of an earlier head, of which some have to know the present one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Quorum {
    /// How many of them.
    pub needed: usize,
    /// The witnesses.
    pub of: Vec<Instance>,
}

/// What is in force, and who serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// Version, equal to the version of the row.
    pub version: ids::Version,
    /// The bundle's object; none before the first was accepted.
    pub bundle: Option<ids::Digest>,
    /// The amendments' object; none before the first was made.
    pub amendments: Option<ids::Digest>,
    /// The key that the last change withdrew.
    #[serde(default)]
    pub withdrawn: Option<ids::Key>,
    /// The VM that made the last change.
    #[serde(default)]
    pub author: Option<ids::Vm>,
    /// Nonces of the last changes, the newest last, by which an author whose
    /// answer was lost recognises its own change.
    #[serde(default)]
    pub nonces: Vec<u64>,
    /// Witnesses of earlier heads that were not yet known to have learnt of a
    /// later one when the last change was made.
    #[serde(default)]
    pub prior: Vec<Quorum>,
    /// The VMs that serve, in the order of their names.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Names of the members that vouch for the head while the table service
    /// cannot be read.
    #[serde(default)]
    pub witnesses: Vec<ids::Vm>,
}

impl Head {
    /// The member with this name.
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

    /// The witnesses as incarnations.
    #[must_use]
    pub fn witness_instances(&self) -> Vec<Instance> {
        let members = self.witnesses.iter().filter_map(|vm| self.member(vm));
        members.map(Member::instance).collect()
    }

    /// The member that collects word of adoptions: the author of the last
    /// change, or the first witness if the author has left.
    #[must_use]
    pub fn collector(&self) -> Option<&ids::Vm> {
        let author = self.author.as_ref().filter(|vm| self.member(vm).is_some());
        author.or_else(|| self.witnesses.first())
    }

    /// How many witnesses are a majority.
    #[must_use]
    pub const fn majority(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// The version that the change with this nonce made, if it is remembered.
    #[must_use]
    pub fn version_of_nonce(&self, nonce: u64) -> Option<ids::Version> {
        let versions_back = self.nonces.iter().rev().position(|known| *known == nonce)?;
        let version = self.version.get().checked_sub(versions_back as u64)?;
        Some(ids::Version::new(version))
    }

    /// Adds or replaces a member and fills up the witnesses.
    #[must_use]
    pub fn with_member(mut self, member: Member, max_witnesses: usize) -> Self {
        self.members.retain(|known| known.vm != member.vm);
        self.members.push(member);
        self.members.sort();
        self.fill_witnesses(max_witnesses);
        self
    }

    /// Removes a member and fills up the witnesses.
    #[must_use]
    pub fn without_member(mut self, instance: &Instance, max_witnesses: usize) -> Self {
        self.members.retain(|known| known.instance() != *instance);
        self.fill_witnesses(max_witnesses);
        self
    }

    /// Keeps the witnesses that are members and fills up from the data centres
    /// that have the fewest, so that losing one centre costs few witnesses.
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
