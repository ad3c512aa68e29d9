//! Dispatch of queued calls to targets, and expiry of calls.

use std::{collections, time};

use crate::{
    Output, call, choice, envelope, event, output, peer,
    relay::{Relay, line, pace_of},
    system::{admission, attempt, cold, overlay, pause, speed, startup},
};

/// Interval between adapter requests for one call.
const ADAPTER_REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Expected wait of a new call up to which late calls are not shed: calls that can
/// meet their objective are then usually sent at once.
const SHED_WAIT: time::Duration = time::Duration::from_millis(200);
/// Minimum retry delay sent to callers whose call found no free target in time.
const NO_ROOM_RETRY: time::Duration = time::Duration::from_millis(500);

/// Sends queued calls while some target has free capacity.
pub(crate) fn dispatch(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if relay.queue.is_empty() {
        return;
    }
    let Some(config) = relay.config.clone() else {
        return;
    };
    let place_share = startup::place_share(relay, now);
    let mut blocked_items = collections::HashSet::new();
    let mut requeue = Vec::new();
    loop {
        let Relay { queue, calls, targets, settings, typical_ms, pace, cold, .. } = relay;
        let typical = |service| typical_ms.get(service).copied().unwrap_or_default();
        let popped = queue.pop(now, |entry| {
            let Some(row) = calls.get(entry.call).filter(|_| !blocked_items.contains(&entry.item))
            else {
                return false;
            };
            let Some(service) = config.services.get(&row.service) else {
                return false;
            };
            let typical_ms = typical(&row.service);
            choice::has_room(
                targets,
                now,
                &query(
                    row,
                    service,
                    settings,
                    cold,
                    pace_of(Some(&config), pace, row),
                    typical_ms,
                    place_share,
                ),
            )
        });
        let Some(entry) = popped else {
            break;
        };
        let item = std::sync::Arc::clone(&entry.item);
        if !send(relay, now, &config, entry.call, out) {
            // Smaller calls of the item may have fitted; this one waits for more capacity.
            blocked_items.insert(item);
            requeue.push(entry);
        }
    }
    for entry in requeue {
        // The entry was just removed from the queue, so there is space for it.
        if let Err(full) = relay.queue.push(now, entry) {
            give_up(relay, now, full.0.call, "queue full", out);
        }
    }
    request_adapters(relay, now, out);
}

/// Smallest gap objective of the streams of a service, in ms; 0 for none.
fn gap_ms(config: &crate::config::Config, service: &crate::config::Service) -> f64 {
    let routes = config.routes.iter().filter(|route| {
        !route.gap.is_zero() && route.split.iter().any(|(name, _)| *name == service.name)
    });
    routes.map(|route| route.gap).min().map_or(0.0, |gap| gap.as_secs_f64() * 1_000.0)
}

fn query<'a>(
    row: &'a call::Row,
    service: &'a crate::config::Service,
    settings: &'a crate::Settings,
    cold: &'a crate::cold::Table,
    pace: f64,
    typical_ms: f64,
    place_share: f64,
) -> choice::Query<'a> {
    choice::Query {
        service,
        work: row.envelope.work.as_ref(),
        item: &row.item,
        excluded: &row.tried,
        unreached: &row.unreached,
        cold: cold::gate(cold, service, settings),
        centre: &settings.centre,
        pace,
        typical_ms,
        place_share,
        gap_ms: 0.0,
        vms: 1,
        rule: settings.rule,
        sequence: 0,
    }
}

/// Sends a call to a target. Returns whether one had free capacity.
fn send(
    relay: &mut Relay,
    now: ids::Time,
    config: &crate::config::Config,
    call: ids::Call,
    out: &mut Vec<Output>,
) -> bool {
    let typical_ms = relay.calls.get(call).map_or(0.0, |row| relay.typical_ms(&row.service));
    let place_share = startup::place_share(relay, now);
    let pace = relay.calls.get(call).map_or(1.0, |row| relay.pace_of(row));
    let vms = relay.peers.iter().count() + 1;
    let nominal = speed::Nominal::of_call(relay, config, call, pace);
    let Relay { calls, targets, settings, cold, rng, .. } = relay;
    let Some(row) = calls.get(call) else {
        return true;
    };
    let Some(service) = config.services.get(&row.service) else {
        return true;
    };
    let sequence = calls.attempt_count();
    let gap_ms = if settings.learns_speed { gap_ms(config, service) } else { 0.0 };
    let query = choice::Query {
        gap_ms,
        vms,
        sequence,
        ..query(row, service, settings, cold, pace, typical_ms, place_share)
    };
    let Some(chosen) = choice::choose(targets, now, &query, rng) else {
        return false;
    };
    let connections = relay.connections(service);
    let send_by = cold::record_sent(relay, now, service, &chosen.target, out);
    let Some(target) = relay.targets.get_mut(&chosen.target) else {
        return false;
    };
    let had_no_backlog = choice::backlog_tokens(target, now) <= 0.0;
    let nominal_gap_ms = nominal.gap_ms(target);
    target.own.add(chosen.load);
    if let Some(row) = relay.calls.get(call) {
        relay.throughput.record_sent(now, &row.item);
    }
    target.pause.record_sent(now);
    if send_by.is_none() {
        target.health.record_sent(now);
    }
    if let Some(work) = &relay.calls.get(call).and_then(|row| row.envelope.work.clone()) {
        let item = work.item();
        target.cache.record(&item, &work.prompt);
    }
    if chosen.has_avoided_pause {
        out.push(Output::Measure(event::Measure::PauseAvoided));
    }
    let inputs = format!(
        "load {}+{} kv {} prefill {} slowness {:.2} failed {:.2}{}",
        target.own.calls,
        target.others.calls,
        target.load().kv,
        target.load().prefill,
        target.health.slowness,
        target.health.failed,
        speed::describe(target, now)
    );
    let address = std::sync::Arc::clone(&target.entry.address);
    let born = target.entry.born;
    let attempt = relay.calls.begin(call::Attempt {
        call,
        target: chosen.target.clone(),
        born,
        load: chosen.load,
        sent: now,
        expected_ms: chosen.expected_ms,
        had_no_backlog,
        was_cold: send_by.is_some(),
        nominal_gap_ms,
        first_byte_at: None,
        asked_pause: false,
    });
    let Some(row) = relay.calls.get_mut(call) else {
        return true;
    };
    row.stage = call::Stage::Sent(attempt);
    row.tried.push(chosen.target.clone());
    let waited = now.since(row.arrived);
    let inputs = format!(
        "route {} item {} waited {waited:?} left {:?} try {} expected {:.0} ms pace {pace:.2} {inputs}",
        row.route.name,
        row.item,
        row.remaining(now),
        row.tried.len(),
        chosen.expected_ms
    );
    out.push(line(row, &chosen.target, "sent", inputs));
    out.push(Output::Measure(event::Measure::Queue(waited)));
    out.push(Output::Begin(output::Begin {
        call,
        attempt,
        target: chosen.target,
        address,
        connections,
        account: row.account.clone(),
        rank: row.rank,
        deadline: row.deadline,
        is_stream: row.route.repeat.is_stream(),
        resume_after: row.resume_after,
        send_by,
    }));
    true
}

/// Requests adapters from the planner that no target with free capacity holds.
fn request_adapters(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if relay.queue.is_empty() {
        return;
    }
    let Some(config) = relay.config.clone() else {
        return;
    };
    let waiting: Vec<ids::Call> = relay.queue.iter().map(|entry| entry.call).collect();
    let mut requested = collections::BTreeSet::new();
    for call in waiting {
        let Relay { calls, targets, settings, cold, .. } = &mut *relay;
        let Some(row) = calls.get_mut(call) else {
            continue;
        };
        let Some(service) = config.services.get(&row.service) else {
            continue;
        };
        let adapter =
            row.envelope.work.as_ref().and_then(|work| Some((work, work.adapter.as_ref()?)));
        let Some((work, adapter)) = adapter else {
            continue;
        };
        let query = query(row, service, settings, cold, 1.0, 0.0, 1.0);
        // A paused target that holds it does not help: a further one is to load it.
        let is_offered = choice::is_offered_healthy(targets, now, &query)
            || pause::is_held_paused(targets, now, row);
        // If its targets are full, a further copy helps only where the model has capacity.
        let model_alone = envelope::Work { adapter: None, ..work.clone() };
        let model_query = choice::Query { work: Some(&model_alone), ..query };
        if is_offered && !choice::has_room(targets, now, &model_query) {
            continue;
        }
        if row.adapter_requested_at.is_some_and(|at| now.since(at) < ADAPTER_REQUEST_INTERVAL) {
            continue;
        }
        row.adapter_requested_at = Some(now);
        let (service, model, adapter) = (row.service.clone(), work.model.clone(), adapter.clone());
        if !requested.insert(std::sync::Arc::clone(&row.item)) {
            continue;
        }
        if let Some(planner) = &mut relay.planner {
            planner.request_adapter(now, &service, &model, &adapter, is_offered);
        } else {
            let message =
                peer::Message::AdapterRequest { service, model, adapter, is_offered, hops: 0 };
            overlay::send_to_planner(relay, now, message, out);
        }
    }
}

/// Number of queued calls of `item` that can still meet their objective.
pub(crate) fn calls_in_time(relay: &Relay, now: ids::Time, item: &str) -> usize {
    let in_time = |entry: &route::queue::Entry| {
        relay.calls.get(entry.call).is_some_and(|row| !is_late(row, now))
    };
    relay.queue.iter().filter(|entry| &*entry.item == item && in_time(entry)).count()
}

/// Whether a call has missed its objective.
fn is_late(row: &call::Row, now: ids::Time) -> bool {
    now.since(row.arrived) >= row.route.objective
}

/// Sheds load: refuses calls that have missed their objective while calls that can
/// still meet theirs use all capacity.
fn shed_late(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let late: Vec<_> = relay
        .queue
        .iter()
        .filter(|entry| {
            let may_shed =
                |row: &call::Row| !row.may_have_run && !row.has_begun && is_late(row, now);
            relay.calls.get(entry.call).is_some_and(may_shed)
        })
        .map(|entry| (entry.call, std::sync::Arc::clone(&entry.item)))
        .collect();
    for (call, item) in late {
        let wait = relay.throughput.expected_wait(now, &item, calls_in_time(relay, now, &item));
        if wait > SHED_WAIT
            && let Some(row) = relay.calls.remove(call)
        {
            relay.queue.remove(call);
            let inputs = format!("waited {:?} others {wait:?}", now.since(row.arrived));
            let wait = cold::retry_after(relay, now, &row).unwrap_or(wait.max(NO_ROOM_RETRY));
            admission::refuse(relay, call, &row, "overloaded", Some(wait), &inputs, out);
        }
    }
}

/// Ends calls that cannot be answered in time any more.
pub(crate) fn expire(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    shed_late(relay, now, out);
    for entry in relay.queue.expire(now) {
        give_up(relay, now, entry.call, "no room in time", out);
    }
    for call in relay.calls.overdue(now) {
        let Some(row) = relay.calls.get(call) else {
            continue;
        };
        match row.stage {
            call::Stage::Waiting => {
                relay.queue.remove(call);
                give_up(relay, now, call, "no room in time", out);
            }
            call::Stage::Sent(attempt) => {
                let target = row.tried.last().map(ToString::to_string).unwrap_or_default();
                let inputs =
                    format!("route {} waited {:?}", row.route.name, now.since(row.arrived));
                out.push(line(row, &target, "out of time", inputs));
                out.push(Output::Measure(event::Measure::Ended { outcome: "out of time" }));
                out.push(Output::Fail { call, status: 504, reason: "out of time" });
                attempt::release_load(relay, now, attempt);
                attempt::end(relay, call);
            }
            call::Stage::Ended => {}
        }
    }
}

/// Ends a queued call without sending it again.
pub(crate) fn give_up(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    reason: &'static str,
    out: &mut Vec<Output>,
) {
    let Some(row) = relay.calls.remove(call) else {
        return;
    };
    let waited = format!("waited {:?}", now.since(row.arrived));
    if row.may_have_run || row.has_begun {
        out.push(line(&row, &row.service, reason, waited));
        out.push(Output::Measure(event::Measure::Ended { outcome: reason }));
        out.push(Output::Fail { call, status: 502, reason });
        return;
    }
    let wait = cold::retry_after(relay, now, &row).unwrap_or(NO_ROOM_RETRY);
    admission::refuse(relay, call, &row, reason, Some(wait), &waited, out);
}
