//! Planned stops.

use crate::{Node, Output, event, system};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Serves; no stop was asked for.
    Running,
    /// Not ready any more, but serves what the balancer still sends.
    Draining {
        /// When it was asked to stop.
        since: ids::Time,
    },
    /// All calls have ended; it is leaving the head.
    Leaving,
    /// Nothing is left to do.
    Stopped,
}

/// Begins a planned stop.
pub fn begin(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    if node.stage == Stage::Running {
        node.stage = Stage::Draining { since: now };
        out.push(Output::Log(event::Event::new("stop", &node.config.vm, "draining")));
    }
}

/// Goes on with a planned stop.
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

/// The VM has left the head.
pub fn handle_left(node: &mut Node, out: &mut Vec<Output>) {
    if node.stage == Stage::Leaving {
        node.stage = Stage::Stopped;
        out.push(Output::Stopped);
    }
}
