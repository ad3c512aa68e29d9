//! Graceful shutdown: new calls go to other VMs, open ones are finished.

use std::time;

use crate::{
    Output, call, event,
    relay::{Relay, Stage},
    shutdown,
    system::{dispatch, planning},
};

/// Longest wait for the store's answer to the removal of the VM's row.
const MAX_REMOVAL_TIME: time::Duration = time::Duration::from_millis(500);

pub(crate) fn begin(
    relay: &mut Relay,
    now: ids::Time,
    schedule: shutdown::Schedule,
    out: &mut Vec<Output>,
) {
    if relay.stage != Stage::Running {
        return;
    }
    relay.stage = Stage::Draining { since: now, schedule };
    let shutdown::Schedule { drained_after, ended_after, .. } = schedule;
    let inputs = format!(
        "open calls {} accepts calls for {drained_after:?} ends them after {ended_after:?}",
        relay.calls.len()
    );
    let line = event::Event::new("stop", &relay.settings.vm, "draining").with_inputs(inputs);
    out.push(Output::Log(line));
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if let Stage::Draining { since, schedule } = relay.stage
        && now.since(since) >= schedule.drained_after
    {
        let vm = relay.settings.vm.clone();
        let removal = Some(planning::write(relay, &vm, None, out));
        relay.stage = Stage::Finishing { since, schedule, removal };
    }
    let Stage::Finishing { since, schedule, removal } = relay.stage else {
        return;
    };
    let elapsed = now.since(since);
    if elapsed >= schedule.ended_after {
        end_calls(relay, now, out);
    }
    let is_removed = removal.is_none() || elapsed >= schedule.drained_after + MAX_REMOVAL_TIME;
    if relay.calls.is_empty() && (is_removed || elapsed >= schedule.ended_after) {
        relay.stage = Stage::Stopped;
        out.push(Output::Log(event::Event::new("stop", &relay.settings.vm, "stopped")));
        out.push(Output::Stopped);
    }
}

/// Records the result of a write.
pub(crate) fn written(relay: &mut Relay, op: ids::Op) {
    if let Stage::Finishing { removal, .. } = &mut relay.stage
        && *removal == Some(op)
    {
        *removal = None;
    }
}

/// Ends all remaining calls before the kill.
fn end_calls(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let open: Vec<_> = relay.calls.iter().map(|(call, row)| (call, row.stage)).collect();
    for (call, stage) in open {
        match stage {
            call::Stage::Waiting => {
                relay.queue.remove(call);
                dispatch::give_up(relay, now, call, "stopping", out);
            }
            call::Stage::Sent(_) | call::Stage::Ended => {
                out.push(Output::Fail { call, status: 502, reason: "stopping" });
                relay.calls.remove(call);
            }
        }
    }
}
