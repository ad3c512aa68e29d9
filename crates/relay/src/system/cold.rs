//! Use of cold targets: what is believed about them, and calls that only they could serve.

use std::time;

use crate::{Output, Settings, call, cold, config, event, relay::Relay, target};

/// Reason of refusals of calls whose targets are all cold.
pub(crate) const REASON: &str = "targets cold";

/// What this VM may send to cold targets of `service`; `None` if that is not limited.
pub(crate) fn gate<'a>(
    table: &'a cold::Table,
    service: &config::Service,
    settings: &Settings,
) -> Option<cold::Gate<'a>> {
    let share = cold::Share::new(service.cold.as_ref()?, settings.cold);
    Some(cold::Gate { table, share })
}

/// Limit of the cold targets of a service, if there is one.
fn limit(relay: &Relay, service: &ids::Service) -> Option<config::Cold> {
    relay.config.as_ref()?.services.get(service)?.cold
}

/// Whether a target is cold and its service limits what cold targets get.
pub(crate) fn is_cold(relay: &Relay, now: ids::Time, target: &ids::Target) -> bool {
    let row = relay.targets.get(target);
    row.is_some_and(|row| row.cold.is_cold(now) && limit(relay, &row.entry.service).is_some())
}

/// Handles a target that has appeared while calls are being served: it has just started.
pub(crate) fn appeared(relay: &mut Relay, now: ids::Time, change: &target::Change) {
    let Some(entry) = change.entry.as_ref().filter(|entry| entry.cold_left_ms.is_none()) else {
        return;
    };
    let Some(limit) = limit(relay, &entry.service) else {
        return;
    };
    if let Some(row) = relay.targets.get_mut(&change.target) {
        cold::assume_started(row, now, limit.start);
    }
}

/// Handles what the target of an attempt states about itself.
pub(crate) fn stated(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    left: time::Duration,
) {
    let Relay { calls, targets, .. } = relay;
    let Some(attempt) = calls.attempt(attempt) else {
        return;
    };
    let row = targets.get_mut(&attempt.target);
    if let Some(row) = row.filter(|row| row.entry.born == attempt.born) {
        row.cold.observe_response(now, left);
    }
}

/// Records a request to a target. Returns when it must have been sent if the target is cold.
pub(crate) fn record_sent(
    relay: &mut Relay,
    now: ids::Time,
    service: &config::Service,
    target: &ids::Target,
    out: &mut Vec<Output>,
) -> Option<ids::Time> {
    service.cold?;
    relay.cold.record_sent(now, target);
    relay.targets.get(target).filter(|row| row.cold.is_cold(now))?;
    out.push(Output::Measure(event::Measure::ColdGranted));
    Some(now + cold::SEND_TIME)
}

/// Updates the owned targets, and logs changes of what is believed.
pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let Relay { settings, config, targets, peers, cold, cold_logged, .. } = relay;
    let Some(config) = config.as_ref() else {
        return;
    };
    let is_limited = config.services.values().any(|service| service.cold.is_some());
    if !is_limited && cold_logged.is_empty() {
        return;
    }
    let cold_rows = || {
        targets.iter().filter(|row| row.cold.is_cold(now)).filter_map(|row| {
            let limit = config.services.get(&row.entry.service)?.cold?;
            Some((row, limit))
        })
    };
    let owned = cold_rows()
        .map(|(row, limit)| (&row.entry.target, cold::Share::new(&limit, settings.cold)));
    cold.update(now, &settings.vm, config.version, peers.members(), owned);
    let log = |target: &ids::Target, outcome, inputs| {
        Output::Log(event::Event::new("target", target, outcome).with_inputs(inputs))
    };
    let mut before = std::mem::take(cold_logged);
    for (row, limit) in cold_rows() {
        let target = &row.entry.target;
        let belief = (row.entry.born, row.cold.source());
        if before.remove(target) != Some(belief) {
            let share = cold::Share::new(&limit, settings.cold);
            let inputs = format!(
                "source {:?} left {:?} born {} owner {} share {} of {} owners",
                row.cold.source(),
                row.cold.left(now),
                row.entry.born,
                cold.is_owner(now, target),
                share.requests,
                share.owners
            );
            out.push(log(target, "cold", inputs));
        }
        cold_logged.insert(target.clone(), belief);
    }
    for (target, (born, source)) in before {
        let row = targets.get(&target).filter(|row| row.entry.born == born);
        let source = row.map_or(source, |row| row.cold.source());
        let outcome = if row.is_some() { "warm" } else { "cold target gone" };
        out.push(log(&target, outcome, format!("source {source:?} born {born}")));
    }
}

/// The targets that hold what a call needs, and whether each is cold.
fn holders<'a>(
    relay: &'a Relay,
    now: ids::Time,
    row: &'a call::Row,
) -> impl Iterator<Item = &'a target::Row> {
    let holds = move |target: &&target::Row| {
        let work = row.envelope.work.as_ref();
        work.is_none_or(|work| target.holds(now, &work.model, None))
    };
    relay.targets.open(&row.service).filter(holds)
}

/// Time until one of the targets of a call is warm; `None` if one is, or if there are none.
fn time_until_warm(relay: &Relay, now: ids::Time, row: &call::Row) -> Option<time::Duration> {
    limit(relay, &row.service)?;
    let left = holders(relay, now, row).map(|target| target.cold.left(now)).min()?;
    (!left.is_zero()).then_some(left)
}

/// Returns why a call certainly cannot be served in time because all its targets are cold.
pub(crate) fn shortage(
    relay: &Relay,
    now: ids::Time,
    service: &config::Service,
    row: &call::Row,
    latest_start: ids::Time,
) -> Option<String> {
    let left = time_until_warm(relay, now, row)?;
    let may_wait = latest_start.since(now);
    if left <= may_wait {
        return None;
    }
    let loaded_at = row.envelope.work.as_ref().and_then(|work| {
        relay.planner.as_ref().and_then(|planner| planner.expected_at(&work.model))
    });
    if loaded_at.is_some_and(|at| at.since(now) <= may_wait) {
        return None;
    }
    let ahead = relay.queue.iter().filter(|entry| entry.item == row.item).count();
    let gate = gate(&relay.cold, service, &relay.settings)?;
    let owned = holders(relay, now, row).filter(|target| gate.is_candidate(now, target));
    let room = owned.map(|target| gate.table.room(now, &target.entry.target, gate.share));
    let (owned, room) = room.fold((0, 0), |(owned, sum), room| (owned + 1, sum + room));
    let may_send = owned > 0 && cold::time_for(ahead + 1, gate.share) <= may_wait;
    let is_in_time = room > ahead || may_send;
    (!is_in_time).then(|| {
        format!("warm in {left:?} may wait {may_wait:?} ahead {ahead} owned {owned} room {room}")
    })
}

/// Retry delay for a call that is refused while all its targets are cold.
pub(crate) fn retry_after(
    relay: &mut Relay,
    now: ids::Time,
    row: &call::Row,
) -> Option<time::Duration> {
    let left = time_until_warm(relay, now, row)?;
    Some(cold::retry_after(left, &mut relay.rng))
}
