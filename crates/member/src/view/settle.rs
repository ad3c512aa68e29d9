//! Settling: determining when no VM serves under an older head.
//!
//! A VM that does not know a head can continue to serve under an older one only
//! with votes from a majority of the older head's witnesses, or with a read that
//! was sent before the change. A head is therefore *confirmed* once enough
//! witnesses of every earlier head know it or are presumed dead. It is settled
//! when the validity of older evidence has expired after that, or as soon as all
//! members have adopted it.

use std::time;

use rand::seq::IteratorRandom as _;

use super::View;
use crate::{change, head, output};

/// Maximum number of members queried at once about their adoption of a head.
const MAX_POLLED: usize = 16;

/// Time after which the other witnesses help the collector settle a head, in
/// case it has failed.
const COLLECTOR_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// An operator change that was written and is not settled yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) op: ids::Op,
    pub(super) version: ids::Version,
    pub(super) deadline: ids::Time,
}

impl View {
    /// Records confirmation of the newest head and settles versions that are due.
    pub(super) fn settle(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(head) = &self.head else { return };
        let version = head.version;
        if self.settled >= version {
            return;
        }
        let knows_version = |quorum: &head::Quorum| self.quorum_knows(now, quorum, version);
        if !self.confirmed.contains_key(&version) && head.prior.iter().all(knows_version) {
            self.confirmed.insert(version, now);
        }
        let wait = self.fencing_time();
        let fencing_elapsed = |(_, since): &(_, &ids::Time)| now.since(**since) >= wait;
        let by_time =
            self.confirmed.iter().filter(fencing_elapsed).map(|(version, _)| *version).max();
        let adopted = self.adopted_by_all(head).then_some(version);
        if let Some(version) = by_time.max(adopted) {
            self.set_settled(version, out);
        }
    }

    /// Records that a version is settled.
    pub(super) fn set_settled(&mut self, version: ids::Version, out: &mut Vec<output::Output>) {
        if version <= self.settled {
            return;
        }
        self.settled = version;
        self.confirmed.retain(|known, _| *known > version);
        out.push(output::Output::Settled(version));
    }

    /// Whether enough witnesses of an earlier head know `version`, were replaced
    /// or are presumed dead.
    pub(super) fn quorum_knows(
        &self,
        now: ids::Time,
        quorum: &head::Quorum,
        version: ids::Version,
    ) -> bool {
        let known = |instance: &&head::Instance| self.instance_knows(now, instance, version);
        quorum.of.iter().filter(known).count() >= quorum.needed
    }

    fn instance_knows(
        &self,
        now: ids::Time,
        instance: &head::Instance,
        version: ids::Version,
    ) -> bool {
        if *instance == self.config.me.instance() {
            return true;
        }
        let peer = self.peers.get(&instance.vm);
        let reported = peer.is_some_and(|peer| {
            peer.incarnation == instance.incarnation && peer.version >= version
        });
        reported || self.is_superseded(instance) || self.is_presumed_dead(now, &instance.vm)
    }

    /// Whether a later incarnation of the same VM has been seen.
    fn is_superseded(&self, instance: &head::Instance) -> bool {
        let own = &self.config.me;
        let peer = self.peers.get(&instance.vm).map(|peer| peer.incarnation);
        let member = self.head.as_ref().and_then(|head| head.member(&instance.vm));
        let own = (own.vm == instance.vm).then_some(own.incarnation);
        let latest = peer.max(own).max(member.map(|member| member.incarnation));
        latest > Some(instance.incarnation)
    }

    /// Whether the VM has been missing from the platform's list for
    /// [`crate::Config::removal_delay`] and has also been silent.
    pub(super) fn is_presumed_dead(&self, now: ids::Time, vm: &ids::Vm) -> bool {
        let Some(since) = self.unlisted.get(vm) else {
            return false;
        };
        let last_seen = self.peers.get(vm).map(|peer| peer.last_seen);
        let silent = last_seen.is_none_or(|last_seen| now.since(last_seen) >= self.fencing_time());
        silent && now.since(*since) >= self.config.removal_delay
    }

    /// Whether all members of this head and of its predecessor have adopted it.
    /// `false` if the predecessor is unknown or not settled.
    fn adopted_by_all(&self, head: &head::Head) -> bool {
        let empty = head::Head::default();
        let previous = match &self.previous {
            Some(previous) => previous,
            None if head.version == ids::Version::new(1) => &empty,
            None => return false,
        };
        let consecutive = previous.version.next() == head.version;
        let mut members = previous.members.iter().chain(&head.members);
        consecutive
            && self.settled >= previous.version
            && members.all(|member| self.has_adopted(&member.instance(), head))
    }

    fn has_adopted(&self, instance: &head::Instance, head: &head::Head) -> bool {
        if *instance == self.config.me.instance() {
            return self.stage != super::Stage::Active || self.adopted_version() >= head.version;
        }
        let has_left =
            head.author.as_ref() == Some(&instance.vm) && head.member(&instance.vm).is_none();
        let peer = self.peers.get(&instance.vm);
        let reported = peer.is_some_and(|peer| {
            peer.incarnation == instance.incarnation && peer.adopted >= head.version
        });
        has_left || reported || self.is_superseded(instance)
    }

    /// Queries the VMs whose replies are missing for the newest head to settle.
    /// Done by the collector, and after a timeout also by the other witnesses.
    pub(super) fn poll_lagging(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(head) = &self.head else { return };
        let collector = head.collector() == Some(&self.config.me.vm);
        let responsible = collector
            || (self.is_witness() && now.since(self.head_learned_at) >= COLLECTOR_TIMEOUT);
        if !responsible || self.settled >= head.version || now < self.next_poll {
            return;
        }
        let prior = head.prior.iter().flat_map(|quorum| &quorum.of);
        let prior = prior.filter(|instance| !self.instance_knows(now, instance, head.version));
        let previous = self.previous.iter().flat_map(|head| &head.members);
        let members = previous.chain(&head.members).map(head::Member::instance);
        let members = members.filter(|instance| collector && !self.has_adopted(instance, head));
        let mut missing: Vec<_> =
            prior.cloned().chain(members).map(|instance| instance.vm).collect();
        missing.sort();
        missing.dedup();
        let recent = now.since(self.head_learned_at) < self.config.max_staleness;
        let wait = if recent { self.config.retry_interval } else { self.config.read_interval };
        self.next_poll = now + wait;
        for vm in missing.into_iter().choose_multiple(&mut self.rng, MAX_POLLED) {
            self.query(now, vm, out);
        }
    }

    /// Answers operators whose changes are settled or have timed out.
    pub(super) fn answer_operators(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let settled = self.settled;
        let ends = |change: &Pending| change.version <= settled || now >= change.deadline;
        let (ended, pending) = self.pending.drain(..).partition(ends);
        self.pending = pending;
        let ended: Vec<Pending> = ended;
        for Pending { op, version, .. } in ended {
            let outcome = if version <= settled {
                let fenced = self.fenced_members(version);
                change::Outcome::InForce { version, fenced }
            } else {
                let reason = format!(
                    "written as version {version}, but VMs that cannot be reached may serve \
                     under an older one"
                );
                change::Outcome::Unknown { reason }
            };
            out.push(output::Output::Changed { op, outcome });
        }
    }

    /// Members that have not reported `version` as in force.
    fn fenced_members(&self, version: ids::Version) -> Vec<ids::Vm> {
        let members = self.head.iter().flat_map(|head| &head.members);
        let behind = members.filter(|member| {
            let peer = self.peers.get(&member.vm);
            let adopted = peer.map(|peer| peer.adopted).unwrap_or_default();
            member.vm != self.config.me.vm && adopted < version
        });
        behind.map(|member| member.vm.clone()).collect()
    }
}
