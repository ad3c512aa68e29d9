//! Event loop of the task that owns the decision core.

use std::time;

use relay::{Input, config};
use tokio::sync::{mpsc, watch};

use crate::{
    clock,
    relay::{effect, metric},
};

/// Longest interval between two steps of the core.
const MAX_STEP_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum number of inputs passed to one step.
const MAX_BATCH_INPUTS: usize = 256;
/// Interval between two updates of the gauges.
const GAUGE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Steps `core` on batched inputs, and at least every `MAX_STEP_INTERVAL`, and applies its
/// outputs. Returns when every sender of `inputs` is dropped.
pub async fn run(
    mut core: relay::Relay,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    mut effects: effect::Effects,
    limits: watch::Sender<config::Limits>,
) {
    let mut ticks = tokio::time::interval(MAX_STEP_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(MAX_BATCH_INPUTS);
    let mut outputs = Vec::new();
    let mut published_at = clock::now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            count = inputs.recv_many(&mut batch, MAX_BATCH_INPUTS) => {
                if count == 0 {
                    return;
                }
            }
        }
        let now = clock::now();
        for input in &batch {
            if let Input::Config { config, .. } = input {
                limits.send_replace(config.limits);
            }
        }
        core.step(now, batch.drain(..), &mut outputs);
        for output in outputs.drain(..) {
            effects.apply(output);
        }
        if now.since(published_at) >= GAUGE_INTERVAL {
            published_at = now;
            effects.pool.close_expired();
            metrics::gauge!(metric::OPEN_CALLS).set(core.open_calls() as f64);
            let (by_store, by_answer) = core.leaving_targets();
            metrics::gauge!(metric::LEAVING_TARGETS, "source" => "store").set(by_store as f64);
            metrics::gauge!(metric::LEAVING_TARGETS, "source" => "answer").set(by_answer as f64);
            metrics::gauge!(metric::COLD_TARGETS).set(core.cold_targets() as f64);
            for (target, speed) in core.speeds() {
                let target = target.to_string();
                metrics::gauge!(metric::PREFILL_RATIO, "target" => target.clone())
                    .set(speed.prefill);
                metrics::gauge!(metric::STEP_RATIO, "target" => target).set(speed.step);
            }
            metrics::gauge!(metric::BLOCKED_PARTS).set(core.blocked_parts() as f64);
            metrics::gauge!(metric::DRAINED_CENTRES).set(core.drained_centres() as f64);
            metrics::gauge!(metric::STORE_ERA).set(core.store_era().get() as f64);
            metrics::gauge!(metric::VIEW_AGE).set(core.view_age(now).as_secs_f64());
            metrics::gauge!(metric::WAITING_FOR_UNITS).set(core.calls_waiting_for_units() as f64);
            metrics::gauge!(metric::GRANTED_RATIO).set(core.granted_ratio(now).unwrap_or(1.0));
            metrics::gauge!(metric::CONFIG_VERSION).set(core.version().get() as f64);
        }
    }
}
