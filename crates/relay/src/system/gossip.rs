//! Messages to and from the other VMs.

use std::{collections, sync, time};

use crate::{Output, call, event, peer, relay::Relay, system::replication, target};

/// Digest interval of a small fleet; the age of digests bounds the error of loads and
/// quotas.
const MIN_DIGEST_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Digest interval per VM of a large fleet: about 400 messages take 100 ms of CPU
/// time of a VM per second.
const DIGEST_INTERVAL_PER_VM: time::Duration = time::Duration::from_millis(8);

/// Delay of a digest after first contact with a VM, so that further VMs heard in the
/// meantime are included.
const FIRST_CONTACT_DELAY: time::Duration = time::Duration::from_millis(40);

/// Times of the next messages.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    digest: ids::Time,
    pub(crate) targets: collections::BTreeMap<ids::Vm, ids::Time>,
    pub(crate) configs: collections::BTreeMap<ids::Vm, ids::Time>,
}

impl Schedule {
    /// Schedules the next digest immediately.
    pub(crate) fn send_now(&mut self, now: ids::Time) {
        self.digest = self.digest.min(now);
    }

    /// Schedules the next digest after a short delay, to cover further first contacts.
    fn send_soon(&mut self, now: ids::Time) {
        self.digest = self.digest.min(now + FIRST_CONTACT_DELAY);
    }
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if now < relay.gossip.digest {
        return;
    }
    let members = u32::try_from(relay.peers.iter().count()).unwrap_or(u32::MAX);
    relay.gossip.digest = now + MIN_DIGEST_INTERVAL.max(DIGEST_INTERVAL_PER_VM * members);
    sum_peer_loads(relay, now);
    if members == 0 {
        return;
    }
    let digest = digest(relay, now);
    let leader = relay.peers.leader(now).map(|row| row.member.vm.clone());
    for row in relay.peers.iter() {
        let mut own_digest = digest.clone();
        // Only the planner needs these lists, which are long in a large fleet.
        if leader.as_ref() == Some(&row.member.vm) {
            own_digest.demand = relay.demand.rates(now);
            own_digest.adapters = adapters(relay);
        }
        let message = peer::Message::Digest(own_digest);
        out.push(Output::Peer { to: row.member.vm.clone(), message });
    }
    replication::send_copies(relay, now, out);
}

fn digest(relay: &mut Relay, now: ids::Time) -> peer::Digest {
    let granted = relay.quota.usage(now);
    let loads = relay.targets.iter().filter(|row| row.own.calls > 0);
    peer::Digest {
        version: relay.version(),
        read_age: replication::read_age(relay, now),
        targets: relay.targets_version,
        heard_hash: relay.peers.heard_hash(now, &relay.settings.vm),
        granted,
        loads: loads.map(|row| (row.entry.target.clone(), row.own)).collect(),
        demand: Vec::new(),
        adapters: Vec::new(),
        leader_fence: relay.lease.fence(now),
    }
}

/// Adapters used by open calls, by target.
pub(crate) fn adapters(relay: &Relay) -> Vec<(ids::Target, sync::Arc<str>)> {
    let with_adapter =
        |row: &&call::Row| row.envelope.work.as_ref().is_some_and(|work| work.adapter.is_some());
    let sent = relay.calls.iter().map(|(_, row)| row).filter(with_adapter);
    let mut used: Vec<_> = sent
        .filter_map(|row| Some((row.tried.last()?.clone(), sync::Arc::clone(&row.item))))
        .collect();
    used.sort_unstable();
    used.dedup();
    used
}

/// Sums the loads reported by the other VMs per target.
fn sum_peer_loads(relay: &mut Relay, now: ids::Time) {
    let mut others = collections::BTreeMap::<&ids::Target, target::Load>::new();
    for peer in relay.peers.heard(now) {
        for (target, load) in &peer.digest.loads {
            others.entry(target).or_default().add(*load);
        }
    }
    for row in relay.targets.iter_mut() {
        row.others = others.get(&row.entry.target).copied().unwrap_or_default();
    }
}

pub(crate) fn receive(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    incarnation: ids::Incarnation,
    message: peer::Message,
    out: &mut Vec<Output>,
) {
    let was_silent = relay.peers.heard(now).all(|row| row.member.vm != *from);
    let Some(row) = relay.peers.record_heard(now, from, incarnation) else {
        return;
    };
    if was_silent {
        out.push(Output::Log(event::Event::new("peer", from, "heard")));
        relay.gossip.send_soon(now);
    }
    match message {
        peer::Message::Digest(digest) => {
            let granted = digest.granted.clone();
            row.digest = digest;
            let view = relay.peers.view(now, &relay.settings.vm);
            relay.quota.apply_usage(now, view, from, incarnation, &granted);
        }
        peer::Message::Config { version, text } => {
            if version > relay.version() {
                out.push(Output::Decode { text });
            }
        }
        peer::Message::Targets(targets) => replication::receive_targets(relay, now, targets, out),
        peer::Message::AdapterRequest { service, model, adapter, is_offered } => {
            if let Some(planner) = &mut relay.planner {
                planner.request_adapter(now, &service, &model, &adapter, is_offered);
            }
        }
        peer::Message::Placed(placed) => {
            let peer::Placed { target, item, present } = placed;
            relay.targets.correct(now, &target, &item, present);
        }
    }
}
