//! Which VMs exchange messages: all of a small fleet; in a large one the VMs of each
//! data centre, and one VM of each, its aggregator, with those of the others.

use std::{collections, time};

use crate::{Output, event, peer, quota, relay::Relay};

/// How long a VM that has not been heard yet counts as a candidate for the aggregator,
/// so that starting VMs do not all take themselves for it.
const ELECTION_GRACE: time::Duration = time::Duration::from_millis(500);
/// Number of VMs contacted at a time in a data centre whose aggregator is not known.
const PROBES: usize = 3;
/// Time after which further VMs are contacted.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Maximum number of times that a message to the planner is forwarded: to the
/// aggregator, to that of the planner's data centre, and to the planner; once more if
/// an aggregator has just changed.
const MAX_HOPS: u8 = 4;

/// The aggregator of this data centre, as far as this VM knows; `None` in a small fleet.
pub(crate) fn aggregator(relay: &Relay, now: ids::Time) -> Option<ids::Vm> {
    if relay.peers.is_mesh() {
        return None;
    }
    let own = &relay.settings.vm;
    let is_candidate =
        |row: &&peer::Row| row.is_heard(now) || now.since(row.known_since) < ELECTION_GRACE;
    let first = relay.peers.neighbours().find(is_candidate).map(|row| &row.member.vm);
    // The others elect another one when this VM's row is gone.
    let may_be_own = relay.stage.has_row();
    Some(first.filter(|first| *first < own || !may_be_own).unwrap_or(own).clone())
}

/// Whether this VM is the aggregator of its data centre.
pub(crate) fn is_aggregator(relay: &Relay, now: ids::Time) -> bool {
    aggregator(relay, now).is_some_and(|vm| vm == relay.settings.vm)
}

/// The VMs to contact in the other data centres: their aggregators, or some VMs of
/// those whose aggregator is not known.
pub(crate) fn contacts(relay: &Relay, now: ids::Time) -> Vec<ids::Vm> {
    let mut centres = collections::BTreeMap::<&ids::Centre, Vec<&ids::Vm>>::new();
    for row in relay.peers.iter().filter(|row| !row.is_neighbour) {
        centres.entry(&row.member.centre).or_default().push(&row.member.vm);
    }
    let mut contacts = Vec::new();
    for (centre, vms) in centres {
        let prompt = relay.centres.prompt(now, centre).map(|row| &row.head.aggregator);
        if let Some(aggregator) = prompt.filter(|vm| relay.peers.get(vm).is_some()) {
            contacts.push(aggregator.clone());
            continue;
        }
        let since = relay.centres.last_heard(centre).or(relay.started).unwrap_or_default();
        let round = now.since(since).as_millis() / PROBE_INTERVAL.as_millis();
        let first = usize::try_from(round).unwrap_or_default().wrapping_mul(PROBES);
        let probed = (0..PROBES.min(vms.len())).map(|index| vms[(first + index) % vms.len()]);
        contacts.extend(probed.cloned());
    }
    contacts
}

/// Updates the connections to other VMs.
pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let aggregator = aggregator(relay, now);
    if aggregator != relay.aggregator {
        if let Some(aggregator) = &aggregator {
            let inputs = format!("before {:?}", relay.aggregator);
            let line = event::Event::new("peer", aggregator, "aggregator").with_inputs(inputs);
            out.push(Output::Log(line));
        }
        relay.aggregator = aggregator;
    }
    let mut links: Vec<_> = relay.peers.neighbours().map(|row| row.member.clone()).collect();
    if is_aggregator(relay, now) {
        let contacts = contacts(relay, now);
        let contacts = contacts.iter().filter_map(|vm| relay.peers.get(vm));
        links.extend(contacts.map(|row| row.member.clone()));
    }
    if links != relay.links {
        relay.links.clone_from(&links);
        out.push(Output::Members(links));
    }
}

/// Sends a message to all VMs that are reached directly; aggregators forward it.
pub(crate) fn broadcast(
    relay: &Relay,
    now: ids::Time,
    message: peer::Message,
    out: &mut Vec<Output>,
) {
    let mut to: Vec<_> = relay.peers.neighbours().map(|row| row.member.vm.clone()).collect();
    if is_aggregator(relay, now) {
        to.extend(contacts(relay, now));
    }
    if !to.is_empty() {
        out.push(Output::Peer { to, message });
    }
}

/// Forwards a broadcast message of another VM, if this VM is the aggregator: to the
/// other data centres if it comes from this one, else to the VMs of this one.
pub(crate) fn forward(
    relay: &Relay,
    now: ids::Time,
    from: &ids::Vm,
    message: peer::Message,
    out: &mut Vec<Output>,
) {
    if !is_aggregator(relay, now) {
        return;
    }
    let is_neighbour = relay.peers.get(from).is_some_and(|row| row.is_neighbour);
    let to: Vec<_> = if is_neighbour {
        contacts(relay, now)
    } else {
        relay.peers.neighbours().map(|row| row.member.vm.clone()).collect()
    };
    if !to.is_empty() {
        out.push(Output::Peer { to, message });
    }
}

/// Whether what another VM learns reaches this one: each VM on the way hears the next, and says
/// so itself. Configurations and complete copies are only sent to VMs that are heard.
pub(crate) fn reaches_this(relay: &Relay, now: ids::Time, from: &peer::Row) -> bool {
    let own = &relay.settings.vm;
    if from.is_neighbour {
        return !from.digest.silent.contains(own);
    }
    let aggregator = aggregator(relay, now).filter(|aggregator| aggregator != own);
    let aggregator = aggregator.and_then(|aggregator| relay.peers.get(&aggregator));
    relay.centres.reaches(now, &from.member.centre, &relay.settings.centre)
        && aggregator.is_none_or(|row| !row.digest.silent.contains(own))
}

/// Sends a message to the planner, directly or by way of the aggregators.
pub(crate) fn send_to_planner(
    relay: &Relay,
    now: ids::Time,
    message: peer::Message,
    out: &mut Vec<Output>,
) {
    let Some(leader) = relay.peers.leader(now) else {
        return;
    };
    if let peer::Message::AdapterRequest { hops, .. } = &message
        && *hops >= MAX_HOPS
    {
        return;
    }
    let to = if leader.is_neighbour {
        leader.member.vm.clone()
    } else if is_aggregator(relay, now) {
        let Some(row) = relay.centres.prompt(now, &leader.member.centre) else {
            return;
        };
        row.head.aggregator.clone()
    } else {
        let Some(aggregator) = aggregator(relay, now) else {
            return;
        };
        aggregator
    };
    out.push(Output::Peer { to: vec![to], message });
}

/// Connectivity of this VM to the others, for quotas.
pub(crate) fn view(relay: &Relay, now: ids::Time) -> quota::View {
    if !relay.peers.is_known() {
        return quota::View::Unknown;
    }
    let (heard, all) = relay.peers.count(now);
    let agree = relay.peers.neighbours_agree(now, &relay.settings.vm)
        && relay.centres.agree(now, &relay.settings.centre);
    if agree { quota::View::Together { heard, all } } else { quota::View::Alone { all } }
}
