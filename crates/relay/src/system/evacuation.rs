//! Draining of data centres: applies the set of drained data centres, passes it on to the
//! other VMs, and ends or requeues the calls that it concerns.

use std::{collections, sync, time};

use crate::{
    Output, call, cold, evacuation, event, peer,
    relay::{Relay, line},
    system::{admission, attempt, overlay, replication},
    target,
};

/// Interval between copies of the set to one VM, and between checks of the queue.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Reason for refusing a call all of whose targets are drained.
pub(crate) const REASON: &str = "drained";
/// Retry delay sent to callers whose service is drained. Only the operator knows when the
/// drain ends; callers honour a delay up to a third of the time that they have left.
pub(crate) const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// State of the drains on this VM.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) table: evacuation::Table,
    progress: replication::Progress<ids::Revision>,
    /// When each VM may be sent a copy of the set again.
    copies: collections::BTreeMap<ids::Vm, ids::Time>,
    /// Targets to which the shell was told to send nothing.
    withheld: sync::Arc<collections::BTreeSet<ids::Target>>,
    next_check: ids::Time,
}

/// Handles the set that this VM has read from the store.
pub(crate) fn read(
    relay: &mut Relay,
    now: ids::Time,
    revision: ids::Revision,
    centres: &collections::BTreeSet<ids::Centre>,
    out: &mut Vec<Output>,
) {
    relay.eras.record(revision);
    if let Some(change) = relay.evacuation.table.read(now, revision, centres) {
        adopt(relay, now, &change, "store", out);
        send(relay, receivers(relay, now, true, true), out);
    }
}

/// Handles the set that another VM has sent.
pub(crate) fn receive(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    news: &peer::Evacuations,
    out: &mut Vec<Output>,
) {
    let Some(change) = relay.evacuation.table.receive(news.revision, &news.centres) else {
        return;
    };
    adopt(relay, now, &change, from.as_str(), out);
    // An aggregator passes the set on: to the other data centres if it comes from this one,
    // else to the VMs of this one.
    if overlay::is_aggregator(relay, now) {
        let is_neighbour = relay.peers.get(from).is_some_and(|row| row.is_neighbour);
        send(relay, receivers(relay, now, !is_neighbour, is_neighbour), out);
    }
}

/// The VMs that are reached directly and understand the message: their digests or
/// summaries state a revision of the set.
fn receivers(
    relay: &Relay,
    now: ids::Time,
    to_neighbours: bool,
    to_centres: bool,
) -> Vec<(ids::Vm, ids::Revision)> {
    let neighbours = relay.peers.neighbours().filter(|_| to_neighbours);
    let neighbours =
        neighbours.filter_map(|row| Some((row.member.vm.clone(), row.digest.evacuations?)));
    let to_centres = to_centres && overlay::is_aggregator(relay, now);
    let centres = relay.centres.heard(now).filter(|_| to_centres);
    let centres =
        centres.filter_map(|row| Some((row.head.aggregator.clone(), row.head.evacuations?)));
    neighbours.chain(centres).collect()
}

fn send(relay: &Relay, receivers: Vec<(ids::Vm, ids::Revision)>, out: &mut Vec<Output>) {
    let table = &relay.evacuation.table;
    let to: Vec<_> = receivers.into_iter().map(|(vm, _)| vm).collect();
    if !to.is_empty() {
        let news =
            peer::Evacuations { revision: table.revision(), centres: table.centres().clone() };
        out.push(Output::Peer { to, message: peer::Message::Evacuations(news) });
    }
}

/// Sends the set to VMs whose digests or summaries show that they lag behind.
pub(crate) fn send_copies(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let revision = relay.evacuation.table.revision();
    if revision == ids::Revision::default() {
        return;
    }
    let settle_time = replication::settle_time(relay);
    relay.evacuation.progress.note(now, settle_time, revision);
    let settled = relay.evacuation.progress.settled(now, settle_time);
    let is_source = relay.peers.is_mesh()
        || replication::read_age(relay, now).is_some()
        || overlay::is_aggregator(relay, now);
    if !is_source {
        return;
    }
    let lagging = receivers(relay, now, true, true).into_iter().filter(|(_, known)| {
        *known < if *known == ids::Revision::default() { revision } else { settled }
    });
    let copies = &mut relay.evacuation.copies;
    copies.retain(|_, at| *at > now);
    let due = lagging.filter(|(vm, _)| !copies.contains_key(vm));
    let due: Vec<_> = due.collect();
    copies.extend(due.iter().map(|(vm, _)| (vm.clone(), now + REPEAT_INTERVAL)));
    send(relay, due, out);
}

/// Puts a new set into force.
fn adopt(
    relay: &mut Relay,
    now: ids::Time,
    change: &evacuation::Change,
    source: &str,
    out: &mut Vec<Output>,
) {
    let revision = relay.evacuation.table.revision();
    relay.targets.set_drained(relay.evacuation.table.centres());
    for centre in &change.ended {
        ended(relay, now, revision, centre);
    }
    let all = relay.targets.iter().map(|row| &row.entry.centre);
    let all: collections::BTreeSet<_> = all.collect();
    let left = all.iter().filter(|centre| !relay.evacuation.table.centres().contains(**centre));
    let left = left.count();
    let began = change.began.iter().map(|centre| (centre, "drained"));
    for (centre, outcome) in began.chain(change.ended.iter().map(|centre| (centre, "drain ended")))
    {
        let own = relay.targets.iter().filter(|row| row.entry.centre == *centre);
        let (targets, calls) =
            own.fold((0, 0), |(targets, calls), row| (targets + 1_usize, calls + row.own.calls));
        let inputs = format!(
            "store {revision} told by {source} targets {targets} open calls {calls}, \
             data centres with targets that are left {left}"
        );
        let line = event::Event::new("evacuation", centre, outcome).with_inputs(inputs);
        out.push(Output::Log(line));
    }
    publish(relay, out);
    if !change.began.is_empty() {
        recheck(relay, now, out);
    }
}

/// Assumes that the targets of a drained data centre have become cold, until newer entries
/// tell otherwise.
fn ended(relay: &mut Relay, now: ids::Time, revision: ids::Revision, centre: &ids::Centre) {
    let Some(config) = relay.config.clone() else {
        return;
    };
    for row in relay.targets.iter_mut().filter(|row| row.entry.centre == *centre) {
        let limit = config.services.get(&row.entry.service).and_then(|service| service.cold);
        if let Some(limit) = limit {
            cold::assume_cold(row, now, limit.start, revision);
        }
    }
}

/// Tells the shell to which targets nothing may be sent, if that has changed.
fn publish(relay: &mut Relay, out: &mut Vec<Output>) {
    if relay.evacuation.table.centres().is_empty() && relay.evacuation.withheld.is_empty() {
        return;
    }
    let drained = relay.targets.iter().filter(|row| relay.targets.is_drained(row));
    let drained: collections::BTreeSet<_> = drained.map(|row| row.entry.target.clone()).collect();
    if drained != *relay.evacuation.withheld {
        relay.evacuation.withheld = sync::Arc::new(drained);
        out.push(Output::Withhold { targets: sync::Arc::clone(&relay.evacuation.withheld) });
    }
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if let Some(change) = relay.evacuation.table.expire(now) {
        adopt(relay, now, &change, "store", out);
        send(relay, receivers(relay, now, true, true), out);
    }
    publish(relay, out);
    // Retries and calls whose other targets have gone join the queue later.
    if !relay.evacuation.table.centres().is_empty() && now >= relay.evacuation.next_check {
        relay.evacuation.next_check = now + REPEAT_INTERVAL;
        end_queued(relay, now, out, |relay, _, row| refusal_without_targets(relay, row));
    }
}

/// Why a call is not served: its service has targets, and all are drained.
pub(crate) fn refusal_without_targets(
    relay: &Relay,
    row: &call::Row,
) -> Option<admission::Rejection> {
    let is_drained_out = relay.targets.is_drained_out(&row.service);
    is_drained_out.then(|| admission::Rejection::new(503, REASON).with_wait(RETRY_AFTER))
}

/// Why a call is not served in time because of a drain, if so: its only usable targets were
/// tried, or none has its model and a load elsewhere takes too long.
pub(crate) fn refusal(
    relay: &Relay,
    now: ids::Time,
    row: &call::Row,
) -> Option<admission::Rejection> {
    if relay.evacuation.table.centres().is_empty() {
        return None;
    }
    let without_targets = refusal_without_targets(relay, row);
    if without_targets.is_some() {
        return without_targets;
    }
    let work = row.envelope.work.as_ref();
    let is_usable = |target: &&target::Row| {
        target.entry.service == row.service
            && !target.is_leaving()
            && work.is_none_or(|work| target.holds(now, &work.model, None))
    };
    let usable = || relay.targets.iter().filter(is_usable);
    let is_untried = |target: &target::Row| !row.tried.contains(&target.entry.target);
    let would_serve = usable().any(|target| is_untried(target) && relay.targets.is_drained(target));
    // Calls that no target served before the drain wait for a load that has begun.
    if !would_serve
        || usable().any(|target| is_untried(target) && !relay.targets.is_drained(target))
    {
        return None;
    }
    // In the queue, a call that has tried all would hold up those behind it.
    if usable().any(|target| !relay.targets.is_drained(target)) {
        return Some(admission::Rejection::new(503, REASON).with_wait(RETRY_AFTER));
    }
    admission::load_rejection(relay, now, row)
}

/// Ends the queued calls that cannot be served any more, when a drain begins.
fn recheck(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    end_queued(relay, now, out, refusal);
}

fn end_queued(
    relay: &mut Relay,
    now: ids::Time,
    out: &mut Vec<Output>,
    refusal: impl Fn(&Relay, ids::Time, &call::Row) -> Option<admission::Rejection>,
) {
    let queued = relay
        .queue
        .iter()
        .filter_map(|entry| Some((entry.call, refusal(relay, now, relay.calls.get(entry.call)?)?)));
    let queued: Vec<_> = queued.collect();
    for (call, rejection) in queued {
        relay.queue.remove(call);
        if let Some(row) = relay.calls.remove(call) {
            end(relay, now, call, &row, &rejection, out);
        }
    }
}

/// Ends a call that cannot be served because of a drain.
pub(crate) fn end(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    row: &call::Row,
    rejection: &admission::Rejection,
    out: &mut Vec<Output>,
) {
    let reason = rejection.reason;
    if row.may_have_run || row.has_begun {
        let inputs = format!("waited {:?}", now.since(row.arrived));
        out.push(line(row, &row.service, reason, inputs));
        out.push(Output::Measure(event::Measure::Ended { outcome: reason }));
        out.push(Output::Fail { call, status: 502, reason });
        return;
    }
    admission::refuse(relay, call, row, reason, rejection.retry_after, &rejection.inputs, out);
}

/// Handles a call that the shell has not sent because its target was drained while the call
/// waited for a connection. It counts as neither an attempt nor a retry, nor as a sign of
/// the target's health.
pub(crate) fn withheld(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    out: &mut Vec<Output>,
) {
    let Some(ended) = attempt::release_load(relay, now, attempt) else {
        return;
    };
    let Some(mut row) = relay.calls.remove(ended.call) else {
        return;
    };
    if row.stage != call::Stage::Sent(attempt) {
        // The call was already answered.
        return;
    }
    row.stage = call::Stage::Waiting;
    row.tried.retain(|target| *target != ended.target);
    let inputs = format!("sent {:?} ago", now.since(ended.sent));
    out.push(line(&row, &ended.target, "withheld", inputs));
    out.push(Output::Measure(event::Measure::Withheld));
    match refusal(relay, now, &row) {
        Some(rejection) => end(relay, now, ended.call, &row, &rejection, out),
        None => admission::enqueue(relay, now, ended.call, row, out),
    }
}
