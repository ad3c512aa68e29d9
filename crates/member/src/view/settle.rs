//! Settling: when no VM serves under an older head any more.
//!
//! A VM that does not know a head can go on serving under an older one only
//! with a majority of the older head's witnesses or with a read that was asked
//! before the change. So a head is *confirmed* once enough witnesses of every
//! earlier head know it or are gone, and settled when the time for which
//! evidence counts has passed since, or as soon as all members have adopted it.

use std::time;

use rand::seq::IteratorRandom as _;

use super::View;
use crate::{change, head, output};

/// Most members asked at once for whether they have adopted a head.
const CHASE_MAX: usize = 16;

/// After this long, other witnesses than the collector see a head settled.
const COLLECTOR_PATIENCE: time::Duration = time::Duration::from_secs(1);

/// A change that was written and is not settled.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) op: ids::Op,
    pub(super) version: ids::Version,
    pub(super) until: ids::Time,
}

impl View {
    /// Settles what can be settled.
    pub(super) fn settle(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(head) = &self.head else { return };
        let version = head.version;
        if self.settled >= version {
            return;
        }
        let accounted = |quorum: &head::Quorum| self.accounted(now, quorum, version);
        if !self.confirmed.contains_key(&version) && head.prior.iter().all(accounted) {
            self.confirmed.insert(version, now);
        }
        let wait = self.fencing_time();
        let ripe = |(_, since): &(_, &ids::Time)| now.since(**since) >= wait;
        let timed = self.confirmed.iter().filter(ripe).map(|(version, _)| *version).max();
        let adopted = self.adopted_by_all(head).then_some(version);
        if let Some(version) = timed.max(adopted) {
            self.settled_elsewhere(version, out);
        }
    }

    /// Takes that a head is settled.
    pub(super) fn settled_elsewhere(
        &mut self,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        if version <= self.settled {
            return;
        }
        self.settled = version;
        self.confirmed.retain(|known, _| *known > version);
        out.push(output::Output::Settled(version));
    }

    /// Whether enough witnesses of an earlier head know `version` or are gone.
    pub(super) fn accounted(
        &self,
        now: ids::Time,
        quorum: &head::Quorum,
        version: ids::Version,
    ) -> bool {
        let known = |instance: &&head::Instance| self.knows(now, instance, version);
        quorum.of.iter().filter(known).count() >= quorum.needed
    }

    fn knows(&self, now: ids::Time, instance: &head::Instance, version: ids::Version) -> bool {
        if *instance == self.config.me.instance() {
            return true;
        }
        let peer = self.peers.get(&instance.vm);
        let told = peer.is_some_and(|peer| {
            peer.incarnation == instance.incarnation && peer.version >= version
        });
        told || self.ended(instance) || self.gone(now, &instance.vm)
    }

    /// Whether a later incarnation of the VM has been seen.
    fn ended(&self, instance: &head::Instance) -> bool {
        let own = &self.config.me;
        let peer = self.peers.get(&instance.vm).map(|peer| peer.incarnation);
        let member = self.head.as_ref().and_then(|head| head.member(&instance.vm));
        let own = (own.vm == instance.vm).then_some(own.incarnation);
        let latest = peer.max(own).max(member.map(|member| member.incarnation));
        latest > Some(instance.incarnation)
    }

    /// Whether the platform has not listed the VM for long and it was silent.
    pub(super) fn gone(&self, now: ids::Time, vm: &ids::Vm) -> bool {
        let Some(since) = self.unlisted.get(vm) else {
            return false;
        };
        let heard = self.peers.get(vm).map(|peer| peer.heard);
        let silent = heard.is_none_or(|heard| now.since(heard) >= self.fencing_time());
        silent && now.since(*since) >= self.config.removal_delay
    }

    /// Whether all members, present and former, have adopted the head.
    fn adopted_by_all(&self, head: &head::Head) -> bool {
        let first = head::Head::default();
        let previous = match &self.previous {
            Some(previous) => previous,
            None if head.version == ids::Version::new(1) => &first,
            None => return false,
        };
        let chained = previous.version.next() == head.version;
        let mut members = previous.members.iter().chain(&head.members);
        chained
            && self.settled >= previous.version
            && members.all(|member| self.has_adopted(&member.instance(), head))
    }

    fn has_adopted(&self, instance: &head::Instance, head: &head::Head) -> bool {
        if *instance == self.config.me.instance() {
            return self.stage != super::Stage::Active || self.adopted_version() >= head.version;
        }
        let left =
            head.author.as_ref() == Some(&instance.vm) && head.member(&instance.vm).is_none();
        let peer = self.peers.get(&instance.vm);
        let told = peer.is_some_and(|peer| {
            peer.incarnation == instance.incarnation && peer.adopted >= head.version
        });
        left || told || self.ended(instance)
    }

    /// Asks whoever is missing for a head to be settled.
    pub(super) fn chase(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(head) = &self.head else { return };
        let collector = head.collector() == Some(&self.config.me.vm);
        let duty =
            collector || (self.is_witness() && now.since(self.head_since) >= COLLECTOR_PATIENCE);
        if !duty || self.settled >= head.version || now < self.next_chase {
            return;
        }
        let prior = head.prior.iter().flat_map(|quorum| &quorum.of);
        let prior = prior.filter(|instance| !self.knows(now, instance, head.version));
        let previous = self.previous.iter().flat_map(|head| &head.members);
        let members = previous.chain(&head.members).map(head::Member::instance);
        let members = members.filter(|instance| collector && !self.has_adopted(instance, head));
        let mut missing: Vec<_> =
            prior.cloned().chain(members).map(|instance| instance.vm).collect();
        missing.sort();
        missing.dedup();
        let hurry = now.since(self.head_since) < self.config.max_staleness;
        let wait = if hurry { self.config.retry_interval } else { self.config.read_interval };
        self.next_chase = now + wait;
        for vm in missing.into_iter().choose_multiple(&mut self.rng, CHASE_MAX) {
            self.ask(now, vm, out);
        }
    }

    /// Answers the operators whose changes are settled or overdue.
    pub(super) fn answer(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let settled = self.settled;
        let ends = |waiting: &Waiting| waiting.version <= settled || now >= waiting.until;
        let (ended, waiting) = self.waiting.drain(..).partition(ends);
        self.waiting = waiting;
        let ended: Vec<Waiting> = ended;
        for Waiting { op, version, .. } in ended {
            let outcome = if version <= settled {
                let fenced = self.fenced(version);
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

    /// Members that have not said that `version` is in force there.
    fn fenced(&self, version: ids::Version) -> Vec<ids::Vm> {
        let members = self.head.iter().flat_map(|head| &head.members);
        let behind = members.filter(|member| {
            let peer = self.peers.get(&member.vm);
            let adopted = peer.map(|peer| peer.adopted).unwrap_or_default();
            member.vm != self.config.me.vm && adopted < version
        });
        behind.map(|member| member.vm.clone()).collect()
    }
}
