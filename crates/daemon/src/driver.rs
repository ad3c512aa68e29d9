//! The task that owns the decision core.

use std::time;

use crate::{clock, effect, inbox, metric};

/// Longest time between two steps of the core.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum number of inputs passed to one step.
const BATCH_INPUTS: usize = 1_024;
/// Interval at which the core's counters are published as metrics.
const PUBLISH_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The interface through which the daemon drives the decision core.
pub trait Core: Send + 'static {
    /// Processes and drains `inputs` at time `now` and appends the resulting
    /// actions to `outputs`.
    fn step(
        &mut self,
        now: ids::Time,
        inputs: &mut Vec<node::Input>,
        outputs: &mut Vec<node::Output>,
    );

    /// Metric names and current values of the core's counters.
    fn counters(&self) -> Vec<(&'static str, u64)>;
}

impl Core for node::Node {
    fn step(
        &mut self,
        now: ids::Time,
        inputs: &mut Vec<node::Input>,
        outputs: &mut Vec<node::Output>,
    ) {
        Self::step(self, now, inputs.drain(..), outputs);
    }

    fn counters(&self) -> Vec<(&'static str, u64)> {
        Self::counters(self).collect()
    }
}

/// Steps `core` on batched inputs and at least once per tick, and applies its
/// outputs. Returns once every [`inbox::Inbox`] has been dropped.
pub async fn run(mut core: impl Core, mut receiver: inbox::Receiver, mut effects: effect::Effects) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut inputs = Vec::with_capacity(BATCH_INPUTS);
    let mut outputs = Vec::new();
    let mut last_published = clock::now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            open = receiver.receive(&mut inputs, BATCH_INPUTS) => {
                if !open {
                    return;
                }
            }
        }
        let now = clock::now();
        core.step(now, &mut inputs, &mut outputs);
        inputs.clear();
        for output in outputs.drain(..) {
            effects.apply(now, output);
        }
        if now.since(last_published) >= PUBLISH_INTERVAL {
            last_published = now;
            publish_metrics(&core, &effects);
        }
    }
}

fn publish_metrics(core: &impl Core, effects: &effect::Effects) {
    for (name, value) in core.counters() {
        metric::set_counter(name, value);
    }
    let open_calls = effects.open_calls();
    metrics::gauge!(metric::OPEN_CALLS).set(open_calls as f64);
}
