//! Messages to and from the other VMs.

use std::{collections, sync, time};

use crate::{
    Output, call, centre, event, peer, quota,
    relay::Relay,
    system::{era, evacuation, overlay, planning, quarantine, replication, speed},
    target,
};

/// Delay of a digest after first contact with a VM, so that further VMs heard in the
/// meantime are included.
const FIRST_CONTACT_DELAY: time::Duration = time::Duration::from_millis(40);

/// Times of the next messages.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    digest: ids::Time,
    pub(crate) targets: collections::BTreeMap<ids::Vm, ids::Time>,
    pub(crate) configs: collections::BTreeMap<ids::Vm, ids::Time>,
    pub(crate) members: collections::BTreeMap<ids::Vm, ids::Time>,
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
    relay.gossip.digest = now + relay.peers.digest_interval();
    sum_peer_loads(relay, now);
    if relay.peers.iter().next().is_none() {
        return;
    }
    overlay::tick(relay, now, out);
    send_digests(relay, now, out);
    if overlay::is_aggregator(relay, now) {
        send_summaries(relay, now, out);
        send_overviews(relay, now, out);
    }
    replication::send_copies(relay, now, out);
    evacuation::send_copies(relay, now, out);
}

/// Sends the state of this VM to its neighbours.
fn send_digests(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let digest = digest(relay, now);
    // Only the planner needs the long lists; the aggregator passes them on to it.
    let planner = relay.peers.leader(now).filter(|row| row.is_neighbour);
    let planner = planner.map(|row| row.member.vm.clone());
    let collector = planner.or_else(|| overlay::aggregator(relay, now));
    let neighbours = relay.peers.neighbours().map(|row| row.member.vm.clone());
    let (collectors, others): (Vec<_>, Vec<_>) =
        neighbours.partition(|vm| Some(vm) == collector.as_ref());
    if !collectors.is_empty() {
        let demand = relay.demand.rates(now);
        let full = peer::Digest { demand, adapters: adapters(relay), ..digest.clone() };
        out.push(Output::Peer { to: collectors, message: peer::Message::Digest(full) });
    }
    if !others.is_empty() {
        out.push(Output::Peer { to: others, message: peer::Message::Digest(digest) });
    }
}

fn digest(relay: &mut Relay, now: ids::Time) -> peer::Digest {
    let granted = relay.quota.usage(now);
    let speeds = speed::digest_samples(relay, now);
    let loads = relay.targets.iter().filter(|row| row.own.calls > 0);
    let silent = relay.peers.neighbours().filter(|row| !row.is_heard(now));
    peer::Digest {
        version: relay.version(),
        read_age: replication::read_age(relay, now),
        targets: relay.targets_revision,
        members: relay.peers.revision(),
        heard_hash: relay.peers.heard_hash(now, &relay.settings.vm),
        silent: silent.map(|row| row.member.vm.clone()).collect(),
        granted,
        loads: loads.map(|row| (row.entry.target.clone(), row.own)).collect(),
        demand: Vec::new(),
        adapters: Vec::new(),
        leader_fence: relay.lease.fence(now),
        poison: quarantine::news(relay, now),
        evacuations: Some(relay.evacuation.table.revision()),
        era: relay.eras.stated(),
        speeds,
    }
}

/// Sends the state of this data centre to the aggregators of the others.
fn send_summaries(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let leader_centre = relay.peers.leader(now).map(|row| row.member.centre.clone());
    let contacts = overlay::contacts(relay, now);
    let is_planner_side = |vm: &ids::Vm| {
        relay.peers.get(vm).is_some_and(|row| Some(&row.member.centre) == leader_centre.as_ref())
    };
    let (planner_side, others): (Vec<_>, Vec<_>) = contacts.into_iter().partition(is_planner_side);
    let summary = centre::Summary { head: head(relay, now), sums: centre_sums(relay, now) };
    if !planner_side.is_empty() {
        let sums = centre::Sums {
            demand: merge_demand(planning::neighbours_demand(relay, now)),
            adapters: planning::neighbours_adapters(relay, now),
            ..summary.sums.clone()
        };
        let message = peer::Message::Summary(Box::new(centre::Summary { sums, ..summary.clone() }));
        out.push(Output::Peer { to: planner_side, message });
    }
    if !others.is_empty() {
        out.push(Output::Peer { to: others, message: peer::Message::Summary(Box::new(summary)) });
    }
}

/// Sends the state of the other data centres to the VMs of this one.
fn send_overviews(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let leader = relay.peers.leader(now).map(|row| row.member.vm.clone());
    let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
    let heads = relay.centres.heard(now).map(|row| (row.head.clone(), age_ms(row.at)));
    let heads: Vec<_> = heads.collect();
    if heads.is_empty() {
        return;
    }
    let loads = merge_loads(relay.centres.sums(now).flat_map(|sums| &sums.loads));
    let usage = relay.quota.elsewhere_usage(now);
    let poison = quarantine::news(relay, now);
    let speeds = speed::overview_samples(relay, now);
    let sums = centre::Sums { usage, loads, poison, speeds, ..centre::Sums::default() };
    let overview = centre::Overview { heads, sums };
    let neighbours = relay.peers.neighbours().map(|row| row.member.vm.clone());
    let (planner, others): (Vec<_>, Vec<_>) =
        neighbours.partition(|vm| Some(vm) == leader.as_ref());
    if !planner.is_empty() {
        let parts: Vec<_> = relay.centres.sums(now).collect();
        let sums = centre::Sums {
            demand: merge_demand(parts.iter().flat_map(|sums| sums.demand.iter().cloned())),
            adapters: parts.iter().flat_map(|sums| sums.adapters.iter().cloned()).collect(),
            ..overview.sums.clone()
        };
        let message = peer::Message::Overview(centre::Overview { sums, ..overview.clone() });
        out.push(Output::Peer { to: planner, message });
    }
    if !others.is_empty() {
        out.push(Output::Peer { to: others, message: peer::Message::Overview(overview) });
    }
}

fn head(relay: &mut Relay, now: ids::Time) -> centre::Head {
    let own_vm = relay.settings.vm.clone();
    let own_age = replication::read_age(relay, now).map(|age| (own_vm.clone(), age));
    let own_fence = relay.lease.fence(now).map(|fence| (own_vm.clone(), fence));
    let neighbours = || relay.peers.heard_neighbours(now);
    let vm = |row: &peer::Row| row.member.vm.clone();
    let readers = neighbours()
        .filter(|row| overlay::reaches_this(relay, now, row))
        .filter(|row| row.digest.era() == relay.eras.current())
        .filter_map(|row| Some((vm(row), row.digest.read_age?)));
    let leaders = neighbours().filter_map(|row| Some((vm(row), row.digest.leader_fence?)));
    let silent = relay.peers.neighbours().filter(|row| !row.is_heard(now));
    centre::Head {
        centre: relay.settings.centre.clone(),
        aggregator: own_vm.clone(),
        incarnation: relay.settings.incarnation,
        sequence: now.as_millis(),
        version: relay.version(),
        targets: relay.targets_revision,
        members: relay.peers.revision(),
        silent: silent.map(vm).collect(),
        centres_hash: relay.centres.hash(now, &relay.settings.centre),
        readers: readers.chain(own_age).collect(),
        leader: leaders.chain(own_fence).max_by_key(|(_, fence)| *fence),
        era: relay.eras.stated(),
        reached: Some(relay.centres.reached(now)),
        evacuations: Some(relay.evacuation.table.revision()),
    }
}

/// Sums over the VMs of this data centre.
fn centre_sums(relay: &mut Relay, now: ids::Time) -> centre::Sums {
    let usage = relay.quota.centre_usage(now);
    let speeds = speed::summary_samples(relay, now);
    let own = relay.targets.iter().filter(|row| row.own.calls > 0);
    let own: Vec<_> = own.map(|row| (row.entry.target.clone(), row.own)).collect();
    let others = relay.peers.heard_neighbours(now).flat_map(|row| &row.digest.loads);
    let loads = merge_loads(own.iter().chain(others));
    let poison = quarantine::news(relay, now);
    centre::Sums { usage, loads, poison, speeds, ..centre::Sums::default() }
}

fn merge_loads<'a>(
    loads: impl Iterator<Item = &'a (ids::Target, target::Load)>,
) -> Vec<(ids::Target, target::Load)> {
    let mut sums = collections::BTreeMap::<&ids::Target, target::Load>::new();
    for (target, load) in loads {
        sums.entry(target).or_default().add(*load);
    }
    sums.into_iter().map(|(target, load)| (target.clone(), load)).collect()
}

fn merge_demand(
    demand: impl IntoIterator<Item = (ids::Service, ids::Model, f64)>,
) -> Vec<(ids::Service, ids::Model, f64)> {
    let mut sums = collections::BTreeMap::<(ids::Service, ids::Model), f64>::new();
    for (service, model, work) in demand {
        *sums.entry((service, model)).or_default() += work;
    }
    sums.into_iter().map(|((service, model), work)| (service, model, work)).collect()
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
    let neighbours = relay.peers.heard_neighbours(now).flat_map(|row| &row.digest.loads);
    let elsewhere = relay.centres.sums(now).flat_map(|sums| &sums.loads);
    let others: collections::BTreeMap<_, _> =
        merge_loads(neighbours.chain(elsewhere)).into_iter().collect();
    for row in relay.targets.iter_mut() {
        row.others = others.get(&row.entry.target).copied().unwrap_or_default();
    }
    speed::date_peer_loads(relay, now);
}

pub(crate) fn receive(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    incarnation: ids::Incarnation,
    message: peer::Message,
    out: &mut Vec<Output>,
) {
    let was_heard = relay.peers.get(from).is_some_and(|row| row.is_heard(now));
    let Some(row) = relay.peers.record_heard(now, from, incarnation) else {
        if let Some(current) = relay.peers.record_ignored(from, incarnation) {
            let inputs = format!("incarnation {incarnation}, current {current}");
            let line = event::Event::new("peer", from, "message ignored").with_inputs(inputs);
            out.push(Output::Log(line));
        }
        return;
    };
    let is_neighbour = row.is_neighbour;
    if !was_heard {
        out.push(Output::Log(event::Event::new("peer", from, "heard")));
        out.push(Output::Reconnect { to: from.clone() });
        replication::tell_removals(relay, from, out);
        relay.gossip.send_soon(now);
    }
    match message {
        peer::Message::Digest(digest) => {
            // A VM whose membership is older may still send digests to all others.
            era::learn(relay, now, from, digest.era, out);
            if is_neighbour && let Some(row) = relay.peers.record_heard(now, from, incarnation) {
                let granted = digest.granted.clone();
                row.digest = digest;
                let speeds = std::mem::take(&mut row.digest.speeds);
                relay.poison.merge(now, &std::mem::take(&mut row.digest.poison));
                let view = overlay::view(relay, now);
                let reporter = quota::Reporter { vm: from.clone(), incarnation };
                let source = quota::Source::Vm(from.clone());
                relay.quota.apply_usage(now, view, &source, &reporter, &granted);
                speed::merge(relay, now, from, speed::Source::Neighbour, speeds, out);
            }
        }
        peer::Message::Config { version, text } => {
            if version > relay.version() {
                out.push(Output::Decode { text });
            }
        }
        peer::Message::Targets(targets) => {
            replication::receive_targets(relay, now, from, targets, out);
        }
        peer::Message::Members(members) => {
            planning::receive_members(relay, now, from, members, out);
        }
        peer::Message::AdapterRequest { service, model, adapter, is_offered, hops } => {
            if let Some(planner) = &mut relay.planner {
                planner.request_adapter(now, &service, &model, &adapter, is_offered);
            } else {
                let hops = hops + 1;
                let message =
                    peer::Message::AdapterRequest { service, model, adapter, is_offered, hops };
                overlay::send_to_planner(relay, now, message, out);
            }
        }
        peer::Message::Placed(placed) => {
            let peer::Placed { target, item, present } = &placed;
            if relay.targets.correct(now, target, item, *present) {
                overlay::forward(relay, now, from, peer::Message::Placed(placed), out);
            }
        }
        peer::Message::Evacuations(news) => evacuation::receive(relay, now, from, &news, out),
        peer::Message::Summary(summary) => receive_summary(relay, now, *summary, out),
        peer::Message::Overview(overview) => receive_overview(relay, now, from, &overview, out),
    }
}

fn receive_summary(
    relay: &mut Relay,
    now: ids::Time,
    summary: centre::Summary,
    out: &mut Vec<Output>,
) {
    let Some(aggregator) = overlay::aggregator(relay, now) else {
        return;
    };
    if aggregator != relay.settings.vm {
        // The sender does not know this data centre's aggregator.
        out.push(Output::Peer {
            to: vec![aggregator],
            message: peer::Message::Summary(Box::new(summary)),
        });
        return;
    }
    let is_current = relay.peers.admits(&summary.head.aggregator, summary.head.incarnation);
    if !is_current || !relay.centres.accept_summary(now, &summary) {
        return;
    }
    let centre::Summary { head, sums } = summary;
    let from = head.aggregator.clone();
    era::learn(relay, now, &from, head.era, out);
    speed::merge(relay, now, &from, speed::Source::Centre, sums.speeds.clone(), out);
    relay.poison.merge(now, &sums.poison);
    relay.peers.record_head(now, time::Duration::ZERO, &head);
    let view = overlay::view(relay, now);
    let source = quota::Source::Centre(head.centre);
    let reporter = quota::Reporter { vm: head.aggregator, incarnation: head.incarnation };
    relay.quota.apply_usage(now, view, &source, &reporter, &sums.usage);
}

fn receive_overview(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    overview: &centre::Overview,
    out: &mut Vec<Output>,
) {
    if overlay::is_aggregator(relay, now) || !relay.centres.accept_overview(now, from, overview) {
        return;
    }
    relay.poison.merge(now, &overview.sums.poison);
    let speeds = overview.sums.speeds.clone();
    speed::merge(relay, now, from, speed::Source::Elsewhere, speeds, out);
    for (head, age_ms) in &overview.heads {
        era::learn(relay, now, from, head.era, out);
        relay.peers.record_head(now, time::Duration::from_millis(*age_ms), head);
    }
    let Some(incarnation) = relay.peers.get(from).map(|row| row.incarnation) else {
        return;
    };
    let view = overlay::view(relay, now);
    let reporter = quota::Reporter { vm: from.clone(), incarnation };
    let usage = &overview.sums.usage;
    relay.quota.apply_usage(now, view, &quota::Source::Elsewhere, &reporter, usage);
}
