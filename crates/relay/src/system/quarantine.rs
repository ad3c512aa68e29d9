//! Blocks calls whose prompts have a part that crashes engines.

use std::{collections, sync, time};

use crate::{
    Output, call, event, input, lease, poison,
    relay::{Relay, line},
    system::{admission, attempt},
    target,
};

/// Time for which changes of the ledger are sent to other VMs, in digest intervals, so
/// that a lost message does no harm.
const NEWS_INTERVALS: u32 = 5;
/// Reason for refusing or ending a call with a blocked part.
const REASON: &str = "prompt part blocked";
/// Time of writing after which a call shows that its prompt does not crash the engine: many
/// times the time between two tokens.
const WRITING_TIME: time::Duration = time::Duration::from_millis(500);

/// Parts of the prompt of a call that may crash an engine.
fn shared_parts(row: &call::Row) -> impl Iterator<Item = u64> {
    let prompt = row.envelope.work.as_ref().map_or(&[][..], |work| &work.prompt);
    poison::shared_parts(prompt)
}

/// Shared parts of the calls that one target broke off.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    /// Parts of calls that had just begun, or not yet.
    begun: collections::BTreeSet<u64>,
    /// Parts of calls that had been written for some time.
    written: collections::BTreeSet<u64>,
}

/// Whether an answer has been written for long enough to show that its prompt does not crash
/// the engine.
fn is_written(now: ids::Time, attempt: &call::Attempt) -> bool {
    attempt.first_byte_at.is_some_and(|first| now.since(first) >= WRITING_TIME)
}

/// Handles the progress of an attempt.
pub(crate) fn progress(relay: &mut Relay, now: ids::Time, attempt: ids::Attempt) {
    let Relay { calls, poison, .. } = relay;
    let call = calls.attempt(attempt).filter(|attempt| is_written(now, attempt));
    let Some(call) = call.map(|attempt| attempt.call) else {
        return;
    };
    if let Some(row) = calls.get(call) {
        poison.record_sound(now, shared_parts(row));
    }
}

/// Handles a call that a target broke off: asks whether the target has crashed.
pub(crate) fn broken_off(
    relay: &mut Relay,
    now: ids::Time,
    ended: &call::Attempt,
    row: &call::Row,
    out: &mut Vec<Output>,
) {
    // A drained target is not asked.
    let is_asked = |row: &&target::Row| !row.is_leaving() && !relay.targets.is_drained(row);
    let Some(target) = relay.targets.get(&ended.target).filter(is_asked) else {
        return;
    };
    let parts: Vec<_> = shared_parts(row).collect();
    if parts.is_empty() {
        return;
    }
    if is_written(now, ended) {
        relay.poison.record_sound(now, parts.iter().copied());
    }
    let address = sync::Arc::clone(&target.entry.address);
    // While the target is paused, only a connection to it is tried.
    let may_ask = target.pause.returns_at(now).is_none();
    let key = (ended.target.clone(), ended.born);
    let suspects = relay.suspects.entry(key).or_insert_with(|| {
        let (target, born) = (ended.target.clone(), ended.born);
        out.push(Output::Probe { target, born, address, may_ask });
        Suspects::default()
    });
    let list = if is_written(now, ended) { &mut suspects.written } else { &mut suspects.begun };
    list.extend(parts);
}

/// Handles the answer whether a target has crashed.
pub(crate) fn probed(
    relay: &mut Relay,
    now: ids::Time,
    target: &ids::Target,
    born: u64,
    probe: input::Probe,
    out: &mut Vec<Output>,
) {
    let Some(Suspects { begun, written }) = relay.suspects.remove(&(target.clone(), born)) else {
        return;
    };
    let has_crashed = match probe {
        input::Probe::Refused => true,
        input::Probe::Runs(now_born) => born != 0 && now_born != born,
        input::Probe::Unknown => false,
    };
    if has_crashed {
        let parts: Vec<_> = begun.difference(&written).copied().collect();
        let line = event::Event::new("target", target, "crashed");
        out.push(Output::Log(line.with_inputs(format!("{probe:?} suspect parts {}", parts.len()))));
        let crash = route::hash::score(born, target.as_str());
        relay.poison.record_crash(now, crash, parts);
    }
}

/// Handles a call that was answered completely.
pub(crate) fn answered(relay: &mut Relay, now: ids::Time, row: &call::Row) {
    relay.poison.record_sound(now, shared_parts(row));
}

/// What other VMs are told.
pub(crate) fn news(relay: &Relay, now: ids::Time) -> Vec<poison::Entry> {
    relay.poison.news(now, relay.peers.digest_interval() * NEWS_INTERVALS)
}

/// Takes over the blocked parts that are saved in the planner's row.
pub(crate) fn restore(relay: &mut Relay, now: ids::Time, row: Option<&store::table::Row>) {
    relay.poison.merge(now, &lease::saved_poison(row));
}

/// The block of a part of a call's prompt, if there is one.
pub(crate) fn block(relay: &Relay, row: &call::Row) -> Option<poison::Block> {
    relay.poison.block(shared_parts(row))
}

/// Ends a call with a blocked part that no target is running.
pub(crate) fn refuse(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    row: &call::Row,
    block: poison::Block,
    out: &mut Vec<Output>,
) {
    let inputs = format!("part {:016x}", block.part);
    if row.may_have_run || row.has_begun {
        out.push(line(row, &row.service, REASON, inputs));
        out.push(Output::Measure(event::Measure::Ended { outcome: REASON }));
        out.push(Output::Fail { call, status: 502, reason: REASON });
        return;
    }
    admission::refuse(relay, call, row, REASON, Some(block.until.since(now)), &inputs, out);
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let changes = relay.poison.update(now);
    for poison::Change { part, is_blocked, crashes } in &changes {
        let outcome = if *is_blocked { "blocked" } else { "released" };
        let line = event::Event::new("prompt", &format!("{part:016x}"), outcome);
        out.push(Output::Log(line.with_inputs(format!("crashes without a sound call {crashes}"))));
    }
    if changes.iter().any(|change| change.is_blocked) {
        end_blocked(relay, now, out);
    }
}

/// Ends the open calls with a blocked part: those that wait, and those whose target has
/// not begun to answer.
fn end_blocked(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let blocked = relay.calls.iter().filter(|(_, row)| !row.has_begun);
    let blocked = blocked.filter_map(|(call, row)| Some((call, block(relay, row)?)));
    let blocked: Vec<_> = blocked.collect();
    for (call, block) in blocked {
        let Some(row) = relay.calls.get_mut(call) else {
            continue;
        };
        match row.stage {
            call::Stage::Waiting => {
                relay.queue.remove(call);
                if let Some(row) = relay.calls.remove(call) {
                    refuse(relay, now, call, &row, block, out);
                }
            }
            call::Stage::Sent(attempt) => {
                row.may_have_run = true;
                let row = row.clone();
                refuse(relay, now, call, &row, block, out);
                attempt::release_load(relay, now, attempt);
                attempt::end(relay, call);
            }
            call::Stage::Ended => {}
        }
    }
}
