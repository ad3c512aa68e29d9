//! The planner's lease, its orders, and the membership rows of VMs.

use std::time;

use store::table;

use crate::{
    Output, event,
    input::{Reply, Report, Written},
    peer, planner,
    relay::{Relay, Stage},
    system::{gossip, replication},
};

/// Silence after which the planner removes a VM's membership row: longer than any
/// restart.
const REMOVE_AFTER: time::Duration = time::Duration::from_mins(1);
/// Interval between writes of this VM's own row while it is missing.
const ROW_REWRITE_INTERVAL: time::Duration = time::Duration::from_secs(1);

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    replication::expire(relay, now, out);
    renew_lease(relay, now, out);
    if relay.lease.fence(now).is_none() && relay.planner.take().is_some() {
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
    if relay.stage != Stage::Running {
        return;
    }
    let precedes = |row: &&peer::Row| row.member.vm < relay.settings.vm;
    let rank = u32::try_from(relay.peers.heard(now).filter(precedes).count()).unwrap_or(u32::MAX);
    let is_led = relay.peers.leader(now).is_some();
    let view = relay.peers.view(now, &relay.settings.vm);
    let Relay { lease, last_op, quota, .. } = relay;
    let clock_ms = lease.clock_ms(now);
    let save = || quota.save(now, view, clock_ms?);
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
    let mut demand = relay.demand.rates(now);
    demand.extend(relay.peers.heard(now).flat_map(|row| row.digest.demand.iter().cloned()));
    demand
}

fn adapters(relay: &Relay, now: ids::Time) -> Vec<(ids::Target, std::sync::Arc<str>)> {
    let mut adapters = gossip::adapters(relay);
    adapters.extend(relay.peers.heard(now).flat_map(|row| row.digest.adapters.iter().cloned()));
    adapters
}

/// Announces changes of the planner to all VMs.
fn announce(relay: &mut Relay, now: ids::Time, placed: Vec<peer::Placed>, out: &mut Vec<Output>) {
    for placed in placed {
        let peer::Placed { target, item, present } = &placed;
        relay.targets.correct(now, target, item, *present);
        for row in relay.peers.iter() {
            let message = peer::Message::Placed(placed.clone());
            out.push(Output::Peer { to: row.member.vm.clone(), message });
        }
    }
}

/// Handles the membership rows read from the store.
pub(crate) fn members(
    relay: &mut Relay,
    now: ids::Time,
    members: Vec<member::Member>,
    out: &mut Vec<Output>,
) {
    let own = relay.settings.member();
    let is_listed = members.contains(&own);
    if !is_listed
        && relay.stage == Stage::Running
        && now.since(relay.row_written_at) >= ROW_REWRITE_INTERVAL
    {
        relay.row_written_at = now;
        // A member always has a JSON form.
        let value = serde_json::to_string(&own).unwrap_or_default();
        write(relay, &own.vm, Some(value), out);
    }
    let others: Vec<_> = members.into_iter().filter(|other| other.vm != own.vm).collect();
    if relay.peers.update(now, others.iter().cloned()) {
        let inputs = format!("{} besides this one", others.len());
        out.push(Output::Log(event::Event::new("peer", &"vm/", "members").with_inputs(inputs)));
        out.push(Output::Members(others));
        relay.update_retry_shares();
        // A new VM waits for the quota usage of the others.
        relay.gossip.send_now(now);
    }
    if relay.planner.is_some() {
        let is_silent =
            |row: &&peer::Row| now.since(row.last_heard.unwrap_or(row.known_since)) > REMOVE_AFTER;
        let silent_vms: Vec<_> =
            relay.peers.iter().filter(is_silent).map(|row| row.member.vm.clone()).collect();
        for vm in silent_vms {
            out.push(Output::Log(event::Event::new("peer", &vm, "removed")));
            write(relay, &vm, None, out);
        }
    }
}

/// Writes or removes the row of a VM unconditionally.
pub(crate) fn write(relay: &mut Relay, vm: &ids::Vm, value: Option<String>, out: &mut Vec<Output>) {
    let op = relay.next_op();
    let value = value.map(std::sync::Arc::from);
    let write = table::Write { key: member_key(vm), expect: None, value };
    out.push(Output::Write { op, write });
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
    if relay.lease.written(now, op, result) {
        let fence = relay.lease.fence(now);
        let line = event::Event::new("lease", &relay.settings.vm, "taken")
            .with_inputs(format!("fence {fence:?}"));
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
