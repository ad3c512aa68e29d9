//! Graceful shutdown: new calls go to other VMs, open ones are finished.

use std::time;

use crate::{
    Output, call, event,
    relay::{Relay, Stage},
    system::{admission, dispatch, planning},
};

/// Time before the kill at which the remaining calls are ended.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(700);

pub(crate) fn begin(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if relay.stage != Stage::Running {
        return;
    }
    relay.stage = Stage::Draining { since: now };
    let inputs = format!("open calls {} grace {:?}", relay.calls.len(), relay.settings.grace);
    let line = event::Event::new("stop", &relay.settings.vm, "draining").with_inputs(inputs);
    out.push(Output::Log(line));
    let vm = relay.settings.vm.clone();
    planning::write(relay, &vm, None, out);
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let Stage::Draining { since } = relay.stage else {
        return;
    };
    let elapsed = now.since(since);
    if elapsed >= relay.settings.grace.saturating_sub(KILL_MARGIN) {
        end_calls(relay, now, out);
    }
    if relay.calls.is_empty() && elapsed >= admission::DRAIN_PERIOD {
        relay.stage = Stage::Stopped;
        out.push(Output::Log(event::Event::new("stop", &relay.settings.vm, "stopped")));
        out.push(Output::Stopped);
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
