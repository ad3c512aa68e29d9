//! Applies what targets announce in the heads of their answers, and refuses the calls that
//! only paused or leaving targets could serve.

use std::{collections, sync, time};

use crate::{Output, call, event, pause, relay::Relay, system::admission, target};

/// Reason for refusing calls that no target takes in time.
pub(crate) const REASON: &str = "targets paused";
/// Retry delay sent to callers if all targets of a plain service leave: a new instance is
/// usually known within a second of its start.
const REPLACEMENT_WAIT: time::Duration = time::Duration::from_secs(1);
/// Minimum width of the range of the times at which refused callers are told to return.
const MIN_RETURN_WIDTH: time::Duration = time::Duration::from_millis(500);

/// When calls for an item can be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outlook {
    /// Nothing that targets have announced stands against it.
    Open,
    /// Not before this time: all targets are paused.
    PausedUntil(ids::Time),
    /// Not by the present targets, which leave or have refused the call; the first of them
    /// takes calls again at this time.
    Closed(Option<ids::Time>),
}

/// Handles what the answer to an attempt announces.
pub(crate) fn attempt_noticed(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    notice: pause::Notice,
    out: &mut Vec<Output>,
) {
    let Some(attempt) = relay.calls.attempt(attempt) else {
        return;
    };
    attempt.asked_pause |= matches!(notice.pause, Some(pause::Pause::For(_)));
    let (target, born) = (attempt.target.clone(), attempt.born);
    noticed(relay, now, &target, born, notice, out);
}

/// Handles what an answer of an instance announces.
pub(crate) fn noticed(
    relay: &mut Relay,
    now: ids::Time,
    target: &ids::Target,
    born: u64,
    notice: pause::Notice,
    out: &mut Vec<Output>,
) {
    let spread = spread(relay);
    let Relay { targets, rng, .. } = relay;
    let state = targets.announcement_mut(target, born);
    let line = |outcome, inputs: String| {
        Output::Log(event::Event::new("target", target, outcome).with_inputs(inputs))
    };
    if notice.is_leaving && state.leave() {
        out.push(line("leaving", format!("born {born}, told by its answer")));
    }
    let Some(asked) = notice.pause else {
        return;
    };
    match state.ask(now, asked, spread, rng) {
        pause::Outcome::Begun { in_a_row } => {
            let pause::Pause::For(length) = asked else {
                return;
            };
            let left = state.returns_at(now).map_or(time::Duration::ZERO, |at| at.since(now));
            out.push(line(
                "paused",
                format!("born {born}, asked {length:?}, {in_a_row} in a row, returns in {left:?}"),
            ));
            out.push(Output::Measure(event::Measure::Paused(length.min(pause::MAX_PAUSE))));
        }
        pause::Outcome::Unreadable => {
            let inputs = format!("born {born}, negative or not a number; ignored from now on");
            out.push(line("pause not readable", inputs));
        }
        pause::Outcome::Extended | pause::Outcome::Unchanged => {}
    }
}

fn spread(relay: &Relay) -> pause::Spread {
    pause::Spread::new(relay.peers.iter().count() + 1, &relay.settings.vm)
}

/// Why and until when a call cannot be served, if that is so.
#[derive(Clone, Debug)]
pub(crate) struct Hopeless {
    /// Delay after which a retry succeeds.
    pub(crate) wait: time::Duration,
    /// Inputs of the decision, for the log.
    pub(crate) inputs: String,
}

/// Returns when a call should come back if only targets that are paused or leave could serve
/// it, and no pause ends in time.
pub(crate) fn hopeless(relay: &Relay, now: ids::Time, row: &call::Row) -> Option<Hopeless> {
    judge(relay, now, row, outlook(relay, now, row))
}

fn judge(relay: &Relay, now: ids::Time, row: &call::Row, outlook: Outlook) -> Option<Hopeless> {
    let latest = admission::latest_start(row);
    let (at, reason) = match outlook {
        Outlook::Open => return None,
        Outlook::PausedUntil(at) if at <= latest => return None,
        Outlook::PausedUntil(at) => (at, "all targets are paused"),
        Outlook::Closed(Some(at)) => (at, "refused by the targets that are paused"),
        // Whether the model is loaded elsewhere in time is for admission to decide.
        Outlook::Closed(None) if row.envelope.work.is_some() => return None,
        Outlook::Closed(None) => (now + REPLACEMENT_WAIT, "all targets leave"),
    };
    let wait = at.since(now);
    let inputs = format!("{reason}, for {wait:?}; left {:?}", latest.since(now));
    Some(Hopeless { wait: wait + return_offset(relay, row), inputs })
}

/// A call's place in the range over which refused callers return.
fn return_offset(relay: &Relay, row: &call::Row) -> time::Duration {
    let width = spread(relay).ramp().max(MIN_RETURN_WIDTH);
    let place = route::hash::score(relay.settings.seed, &row.envelope.id) >> 40;
    width.mul_f64(place as f64 / (1_u64 << 24) as f64)
}

/// Whether a paused target holds the adapter of a call.
pub(crate) fn is_held_paused(targets: &target::Table, now: ids::Time, row: &call::Row) -> bool {
    let holds = |target: &target::Row, work: &crate::envelope::Work| {
        target.holds(now, &work.model, work.adapter.as_ref())
    };
    let mut paused = targets.open(&row.service).filter(|row| row.pause.returns_at(now).is_some());
    row.envelope.work.as_ref().is_some_and(|work| paused.any(|target| holds(target, work)))
}

fn outlook(relay: &Relay, now: ids::Time, row: &call::Row) -> Outlook {
    let mut earliest: Option<ids::Time> = None;
    let mut earliest_tried: Option<ids::Time> = None;
    let mut is_closed = false;
    // An adapter is loaded in milliseconds wherever its model is.
    let work = row.envelope.work.as_ref();
    let holds = |target: &&target::Row| {
        target.entry.service == row.service
            && work.is_none_or(|work| target.holds(now, &work.model, None))
    };
    for target in relay.targets.iter().filter(holds) {
        let name = &target.entry.target;
        let was_tried = row.tried.contains(name) || row.unreached.contains(name);
        if target.is_leaving() {
            is_closed |= target.pause.is_leaving();
            continue;
        }
        match target.pause.returns_at(now) {
            None if !was_tried => return Outlook::Open,
            None => {}
            Some(at) => {
                let best = if was_tried { &mut earliest_tried } else { &mut earliest };
                *best = Some(best.map_or(at, |known| known.min(at)));
            }
        }
    }
    if let Some(at) = earliest {
        let planner = relay.planner.as_ref();
        let loaded_at = work.and_then(|work| planner?.expected_at(&work.model));
        return Outlook::PausedUntil(loaded_at.map_or(at, |loaded_at| loaded_at.min(at)));
    }
    match earliest_tried {
        Some(at) => Outlook::Closed(Some(at)),
        None if is_closed => Outlook::Closed(None),
        None => Outlook::Open,
    }
}

/// Refuses the queued calls that have not run and that only paused or leaving targets could
/// serve.
pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let has_announced =
        |row: &target::Row| row.pause.is_leaving() || row.pause.returns_at(now).is_some();
    if relay.queue.is_empty() || !relay.targets.iter().any(has_announced) {
        return;
    }
    // Most calls have tried no target, so that one answer holds for all calls for an item.
    let mut known = collections::HashMap::<(ids::Service, sync::Arc<str>), Outlook>::new();
    let mut hopeless_calls = Vec::new();
    for entry in relay.queue.iter() {
        let Some(row) = relay.calls.get(entry.call) else {
            continue;
        };
        if row.may_have_run || row.has_begun {
            continue;
        }
        let outlook = if row.tried.is_empty() && row.unreached.is_empty() {
            let key = (row.service.clone(), sync::Arc::clone(&row.item));
            *known.entry(key).or_insert_with(|| outlook(relay, now, row))
        } else {
            outlook(relay, now, row)
        };
        if let Some(Hopeless { wait, inputs }) = judge(relay, now, row, outlook) {
            hopeless_calls.push((entry.call, REASON, Some(wait), inputs));
        } else if outlook == Outlook::Closed(None)
            && let Some(rejection) = admission::rejection_reason(relay, now, row)
        {
            let admission::Rejection { reason, retry_after, inputs, .. } = rejection;
            hopeless_calls.push((entry.call, reason, retry_after, inputs));
        }
    }
    for (call, reason, wait, inputs) in hopeless_calls {
        relay.queue.remove(call);
        if let Some(row) = relay.calls.remove(call) {
            admission::refuse(relay, call, &row, reason, wait, &inputs, out);
        }
    }
}
