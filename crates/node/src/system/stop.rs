//! Graceful stop.

use crate::{Node, Output, event, system};

/// Stage of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Serves; no stop was requested.
    Running,
    /// Not ready, but still serves calls that the balancer sends.
    Draining {
        /// Time of the stop request.
        since: ids::Time,
    },
    /// All calls have ended; the VM is being removed from the head.
    Leaving,
    /// The VM was removed from the head and the process may exit.
    Stopped,
}

/// Starts a graceful stop.
pub fn begin(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    if node.stage == Stage::Running {
        node.stage = Stage::Draining { since: now };
        out.push(Output::Log(event::Event::new("stop", &node.config.vm, "draining")));
    }
}

/// Removes the VM from the head once all calls have ended.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    let Stage::Draining { since } = node.stage else {
        return;
    };
    let is_waiting = now.since(since) < node.config.balancer_wait;
    if is_waiting || node.calls.open_count() > 0 || !system::claim::is_idle(node) {
        return;
    }
    node.stage = Stage::Leaving;
    out.push(Output::Log(event::Event::new("stop", &node.config.vm, "leaving")));
    super::member::leave_head(node, now, out);
}

/// Completes the stop after the VM was removed from the head.
pub fn handle_left(node: &mut Node, out: &mut Vec<Output>) {
    if node.stage == Stage::Leaving {
        node.stage = Stage::Stopped;
        out.push(Output::Stopped);
    }
}
