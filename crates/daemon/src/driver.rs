//! The task that owns the decision core.

use std::time;

use crate::{clock, effect, inbox, metric};

/// Longest time between two steps.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Most inputs in one step.
const BATCH_INPUTS: usize = 1_024;
/// Time between two publications of the counters.
const PUBLISH: time::Duration = time::Duration::from_secs(1);

/// The decision core, as the daemon drives it.
pub trait Core: Send + 'static {
    /// Takes the time and what has happened and says what to do.
    fn step(
        &mut self,
        now: ids::Time,
        inputs: &mut Vec<node::Input>,
        outputs: &mut Vec<node::Output>,
    );

    /// Names and values of its counters.
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

/// Steps `core` on batched input and at a fixed interval until no sender is
/// left, and carries out what it says.
pub async fn run(mut core: impl Core, mut outlet: inbox::Receiver, mut effects: effect::Effects) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut inputs = Vec::with_capacity(BATCH_INPUTS);
    let mut outputs = Vec::new();
    let mut published = clock::now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            open = outlet.receive(&mut inputs, BATCH_INPUTS) => {
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
        if now.since(published) >= PUBLISH {
            published = now;
            publish(&core, &effects);
        }
    }
}

fn publish(core: &impl Core, effects: &effect::Effects) {
    for (name, value) in core.counters() {
        metric::publish(name, value);
    }
    let open = effects.open_calls();
    metrics::gauge!(metric::OPEN).set(open as f64);
}
