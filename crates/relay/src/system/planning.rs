//! The planner's lease, its orders, and the membership rows of VMs.

use std::time;

use store::table;

use crate::{
    Output, event,
    input::{Reply, Report, Written},
    lease, membership, peer, planner,
    relay::{Relay, Stage},
    system::{gossip, overlay, replication, shutdown},
};

/// Silence after which the planner removes a VM's membership row: longer than any
/// restart.
const REMOVE_AFTER: time::Duration = time::Duration::from_mins(1);
/// Interval between writes of this VM's own row while it is missing.
const ROW_REWRITE_INTERVAL: time::Duration = time::Duration::from_secs(1);

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    replication::expire(relay, now, out);
    maintain_rows(relay, now, out);
    renew_lease(relay, now, out);
    let may_plan = relay.lease.fence(now).is_some() || relay.lease.is_resuming(now);
    if !may_plan && relay.planner.take().is_some() {
        out.push(Output::Log(event::Event::new("lease", &relay.settings.vm, "lost")));
    }
    let Some(fence) = relay.lease.may_order(now) else {
        return;
    };
    let Some(config) = relay.config.clone().filter(|_| relay.has_targets) else {
        return;
    };
    let demand = demand(relay, now);
    let adapters = adapters(relay, now);
    let mut planner = relay.planner.take().unwrap_or_else(|| planner::Planner::new(now));
    let Relay { targets, last_op, .. } = relay;
    let view =
        planner::View { config: &config, targets, demand: &demand, adapters: &adapters, fence };
    let next_op = || {
        *last_op = last_op.next();
        *last_op
    };
    let mut orders = Vec::new();
    let placed = planner.tick(now, &view, next_op, &mut orders);
    for output in orders {
        if let Output::Order { order, .. } = &output {
            let held = planner.describe_held(&order.target, &config);
            let inputs = format!(
                "{:?} {} {:?} expected {} fence {} version {} holds {held}",
                order.verb, order.model, order.adapter, order.expected, order.fence, config.version
            );
            let line = event::Event::new("order", &order.target, "given").with_inputs(inputs);
            out.push(Output::Log(line));
            out.push(Output::Measure(event::Measure::Ordered));
        }
        out.push(output);
    }
    relay.planner = Some(planner);
    announce(relay, now, placed, out);
}

/// Acquires or renews the lease when due.
fn renew_lease(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let is_holder = relay.lease.fence(now).is_some();
    if relay.stage != Stage::Running || !(is_holder || replication::may_lead(relay, now)) {
        return;
    }
    let precedes = |row: &&peer::Row| row.member.vm < relay.settings.vm;
    let rank = u32::try_from(relay.peers.heard(now).filter(precedes).count()).unwrap_or(u32::MAX);
    let is_led = relay.peers.leader(now).is_some();
    let view = overlay::view(relay, now);
    let Relay { lease, last_op, quota, poison, .. } = relay;
    let clock_ms = lease.clock_ms(now);
    let save = || {
        let quota = clock_ms.and_then(|clock_ms| quota.save(now, view, clock_ms));
        lease::Saved { quota, poison: poison.save(now) }
    };
    let next_op = || {
        *last_op = last_op.next();
        *last_op
    };
    if let Some((op, write)) = lease.tick(now, is_led, rank, save, next_op) {
        out.push(Output::Write { op, write });
    }
}

/// Demand entries of this VM and of all VMs that are heard.
fn demand(relay: &Relay, now: ids::Time) -> Vec<(ids::Service, ids::Model, f64)> {
    let mut demand = neighbours_demand(relay, now);
    demand.extend(relay.centres.sums(now).flat_map(|sums| sums.demand.iter().cloned()));
    demand
}

/// Demand entries of this VM and of its neighbours.
pub(crate) fn neighbours_demand(
    relay: &Relay,
    now: ids::Time,
) -> Vec<(ids::Service, ids::Model, f64)> {
    let mut demand = relay.demand.rates(now);
    let neighbours = relay.peers.heard_neighbours(now);
    demand.extend(neighbours.flat_map(|row| row.digest.demand.iter().cloned()));
    demand
}

fn adapters(relay: &Relay, now: ids::Time) -> Vec<(ids::Target, std::sync::Arc<str>)> {
    let mut adapters = neighbours_adapters(relay, now);
    adapters.extend(relay.centres.sums(now).flat_map(|sums| sums.adapters.iter().cloned()));
    adapters
}

/// Adapters used by the open calls of this VM and of its neighbours.
pub(crate) fn neighbours_adapters(
    relay: &Relay,
    now: ids::Time,
) -> Vec<(ids::Target, std::sync::Arc<str>)> {
    let mut adapters = gossip::adapters(relay);
    let neighbours = relay.peers.heard_neighbours(now);
    adapters.extend(neighbours.flat_map(|row| row.digest.adapters.iter().cloned()));
    adapters
}

/// Announces changes of the planner to all VMs.
fn announce(relay: &mut Relay, now: ids::Time, placed: Vec<peer::Placed>, out: &mut Vec<Output>) {
    for placed in placed {
        let peer::Placed { target, item, present } = &placed;
        relay.targets.correct(now, target, item, *present);
        overlay::broadcast(relay, now, peer::Message::Placed(placed), out);
    }
}

/// Handles the membership rows read from the store.
pub(crate) fn read_members(
    relay: &mut Relay,
    now: ids::Time,
    revision: ids::Revision,
    rows: Vec<membership::Row>,
    out: &mut Vec<Output>,
) {
    relay.eras.record(revision);
    if revision.era() < relay.peers.revision().era() {
        return;
    }
    let Relay { kept, eras, peers, .. } = relay;
    let is_silent = |vm: &ids::Vm| peers.get(vm).is_some_and(|row| is_silent(now, row));
    let members = kept.resolve(eras, peers.members(), revision, rows, is_silent);
    // The store's version also grows with changes of other tables.
    let is_same = relay
        .peers
        .members()
        .is_some_and(|known| known.members == members && known.revision.era() == revision.era());
    let revision = if is_same { relay.peers.revision() } else { revision };
    let news = peer::Members { revision, members };
    if update_members(relay, now, news.clone(), out) {
        overlay::broadcast(relay, now, peer::Message::Members(news), out);
    }
}

/// Handles the membership rows that another VM has read.
pub(crate) fn receive_members(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    news: peer::Members,
    out: &mut Vec<Output>,
) {
    if news.revision <= relay.peers.revision() {
        return;
    }
    overlay::forward(relay, now, from, peer::Message::Members(news.clone()), out);
    relay.kept.adopt(relay.peers.members(), &news);
    update_members(relay, now, news, out);
}

/// Updates the membership, unless a later one is known. Returns whether any other VM was
/// added, removed or changed.
fn update_members(
    relay: &mut Relay,
    now: ids::Time,
    news: peer::Members,
    out: &mut Vec<Output>,
) -> bool {
    if news.revision < relay.peers.revision() {
        return false;
    }
    let revision = news.revision;
    let has_changed = relay.peers.update(now, &relay.settings.vm, news);
    if has_changed {
        let others = relay.peers.iter().count();
        let inputs = format!("{others} besides this one, version {revision}");
        out.push(Output::Log(event::Event::new("peer", &"vm/", "members").with_inputs(inputs)));
        let peers = &relay.peers;
        relay.centres.retain(|centre| {
            peers.iter().any(|row| !row.is_neighbour && row.member.centre == *centre)
        });
        relay.quota.set_hops(if relay.peers.is_mesh() { 1 } else { OVERLAY_HOPS });
        overlay::tick(relay, now, out);
        relay.update_retry_shares();
        // A new VM waits for the quota usage of the others.
        relay.gossip.send_now(now);
    }
    has_changed
}

/// Writes this VM's row while it is missing. The planner also removes the rows of silent
/// VMs.
fn maintain_rows(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let Some(known) = relay.peers.members() else {
        return;
    };
    if relay.stage != Stage::Running || now.since(relay.row_written_at) < ROW_REWRITE_INTERVAL {
        return;
    }
    let own = relay.settings.member();
    let may_be_lost = relay.row_due.is_some_and(|due| now >= due);
    if may_be_lost || !known.members.contains(&own) {
        relay.row_written_at = now;
        // A member always has a JSON form.
        let value = serde_json::to_string(&own).unwrap_or_default();
        let op = write(relay, &own.vm, Some(value), out);
        relay.row_op = Some(op);
        if may_be_lost {
            out.push(Output::Log(event::Event::new("peer", &own.vm, "row written again")));
        }
    }
    // A VM that was suspended has heard nobody, and has lost the lease meanwhile.
    if relay.planner.is_none() || relay.lease.fence(now).is_none() {
        return;
    }
    let silent_vms = relay.peers.iter().filter(|row| is_silent(now, row));
    let silent_vms: Vec<_> = silent_vms.map(|row| row.member.vm.clone()).collect();
    for vm in silent_vms {
        relay.row_written_at = now;
        out.push(Output::Log(event::Event::new("peer", &vm, "removed")));
        write(relay, &vm, None, out);
    }
}

/// Whether a VM has been silent for so long that its row is removed.
fn is_silent(now: ids::Time, row: &peer::Row) -> bool {
    now.since(row.last_heard.unwrap_or(row.known_since)) > REMOVE_AFTER
}

/// Number of digest intervals after which all VMs of a large fleet know a usage: to the
/// aggregator, to those of the other data centres, and to their VMs.
const OVERLAY_HOPS: u32 = 3;

/// Writes or removes the row of a VM unconditionally.
pub(crate) fn write(
    relay: &mut Relay,
    vm: &ids::Vm,
    value: Option<String>,
    out: &mut Vec<Output>,
) -> ids::Op {
    let op = relay.next_op();
    let value = value.map(std::sync::Arc::from);
    let write = table::Write { key: member_key(vm), expect: None, value };
    out.push(Output::Write { op, write });
    op
}

/// Key of a VM's row.
#[must_use]
pub(crate) fn member_key(vm: &ids::Vm) -> std::sync::Arc<str> {
    format!("{}{vm}", crate::MEMBER_PREFIX).into()
}

pub(crate) fn written(
    relay: &mut Relay,
    now: ids::Time,
    op: ids::Op,
    result: &store::Result<Written>,
    out: &mut Vec<Output>,
) {
    if let Err(fault) = result {
        let line = event::Event::new("store", &fault.peer, "write not answered")
            .with_inputs(fault.to_string());
        out.push(Output::Log(line));
    }
    if let Ok(Written::Done { revision, .. }) = result
        && relay.row_op == Some(op)
        && revision.era() == relay.eras.current()
    {
        relay.row_due = None;
    }
    shutdown::written(relay, op);
    if relay.lease.written(now, op, result) {
        let fence = relay.lease.fence(now);
        let era = relay.eras.current();
        let wait = relay.lease.wait(now);
        let after = relay
            .lease
            .previous()
            .map(|(vm, fence, era)| format!(" after {vm} with fence {fence} of era {era}"));
        let after = after.unwrap_or_default();
        let inputs = format!("fence {fence:?} of era {era} orders in {wait:?}{after}");
        let line = event::Event::new("lease", &relay.settings.vm, "taken").with_inputs(inputs);
        out.push(Output::Log(line));
    }
}

pub(crate) fn ordered(
    relay: &mut Relay,
    now: ids::Time,
    op: ids::Op,
    reply: Reply,
    out: &mut Vec<Output>,
) {
    let (Some(planner), Some(config)) = (&mut relay.planner, &relay.config) else {
        return;
    };
    if let Some((target, outcome)) = planner.ordered(now, config, &relay.targets, op, reply) {
        out.push(Output::Log(event::Event::new("order", &target, outcome)));
    }
}

pub(crate) fn reported(
    relay: &mut Relay,
    now: ids::Time,
    target: &ids::Target,
    report: Option<&Report>,
    out: &mut Vec<Output>,
) {
    let Some(planner) = &mut relay.planner else {
        return;
    };
    if let Some(placed) = planner.reported(now, target, report) {
        let inputs = format!("{} present {}", placed.item, placed.present);
        let line = event::Event::new("order", target, "carried out").with_inputs(inputs);
        out.push(Output::Log(line));
        announce(relay, now, vec![placed], out);
    }
}
