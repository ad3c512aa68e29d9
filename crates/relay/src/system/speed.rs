//! Collects samples of the targets' speed, exchanges them with the other VMs and updates
//! the estimates.

use std::{collections, time};

use crate::{
    Output, choice, config, event, input, peer, relay::Relay, speed, system::overlay, target,
};

/// Interval at which the estimates are updated.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Minimum interval between two messages of a kind that carry samples: enough to follow
/// a change within seconds, and a third of the digests.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Minimum number of samples of a model's pace before its calls give samples of a
/// target's speed: until then one cannot be told from the other.
const MIN_PACE_SAMPLES: u32 = 6;
/// Minimum number of events for a sample of the step time.
const MIN_EVENTS: u32 = 4;

/// Learned speeds, and the samples that have to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    table: speed::Table,
    /// Samples of this VM, for its neighbours.
    own: speed::Unsent,
    /// Samples of this data centre, for the others; collected by the aggregator.
    centre: speed::Unsent,
    /// Samples of the other data centres, for this one; collected by the aggregator.
    elsewhere: speed::Unsent,
    refresh_at: ids::Time,
    digest_at: ids::Time,
    summary_at: ids::Time,
    overview_at: ids::Time,
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time) {
    if !relay.settings.learns_speed || now < relay.speed.refresh_at {
        return;
    }
    relay.speed.refresh_at = now + REFRESH_INTERVAL;
    let Some(config) = relay.config.clone() else {
        return;
    };
    let is_engine = |service: &ids::Service| {
        config.services.get(service).is_some_and(|service| service.engine.is_some())
    };
    relay.speed.table.refresh(now, &mut relay.targets, is_engine);
    if !overlay::is_aggregator(relay, now) {
        relay.speed.centre.clear();
        relay.speed.elsewhere.clear();
    }
}

/// Records a sample that this VM has taken.
fn record(
    relay: &mut Relay,
    now: ids::Time,
    target: &ids::Target,
    kind: speed::Kind,
    ratio: f64,
    out: &mut Vec<Output>,
) {
    let Some(samples) = speed::Samples::new(kind, ratio) else {
        let line = event::Event::new("speed", target, "sample ignored")
            .with_inputs(format!("{kind:?} ratio {ratio:.3} is out of range"));
        out.push(Output::Log(line));
        return;
    };
    relay.speed.table.add(now, target, samples);
    relay.speed.own.add(target, samples);
    if overlay::is_aggregator(relay, now) {
        relay.speed.centre.add(target, samples);
    }
}

/// Whether the target's instance is the one that the attempt was sent to, and speeds are learned.
fn is_measured(relay: &Relay, target: &ids::Target, born: u64) -> bool {
    relay.settings.learns_speed
        && relay.targets.get(target).is_some_and(|row| row.entry.born == born)
}

/// Records the rhythm of a stream's events.
pub(crate) fn record_rhythm(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    rhythm: speed::Rhythm,
    out: &mut Vec<Output>,
) {
    if rhythm.events < MIN_EVENTS {
        return;
    }
    let Some(row) = relay.calls.attempt(attempt) else {
        return;
    };
    let (target, born, nominal_ms) = (row.target.clone(), row.born, row.nominal_gap_ms);
    if nominal_ms > 0.0 && is_measured(relay, &target, born) {
        let ratio = rhythm.gap.as_secs_f64() * 1_000.0 / nominal_ms;
        record(relay, now, &target, speed::Kind::Step, ratio, out);
    }
}

/// Records the rhythm at the end of a stream.
pub(crate) fn ended(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    summary: &input::Summary,
    out: &mut Vec<Output>,
) {
    record_rhythm(relay, now, attempt, summary.rhythm, out);
}

/// Records the time to first event at a target without backlog. `expected_ms` contains
/// the target's estimate.
pub(crate) fn record_first(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    took: time::Duration,
    expected_ms: f64,
    out: &mut Vec<Output>,
) {
    let Some(row) = relay.calls.attempt(attempt).filter(|row| row.nominal_gap_ms > 0.0) else {
        return;
    };
    let (target, born) = (row.target.clone(), row.born);
    if is_measured(relay, &target, born)
        && let Some(estimate) = relay.targets.get(&target).and_then(|row| row.speed)
    {
        let ratio = took.as_secs_f64() * 1_000.0 / expected_ms.max(1.0) * estimate.prefill;
        record(relay, now, &target, speed::Kind::Prefill, ratio, out);
    }
}

/// What the nominal time between two events of a call depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Nominal {
    pace: f64,
    stride: u32,
    /// Whether the pace is known well enough, and speeds are learned.
    is_known: bool,
}

impl Nominal {
    pub(crate) fn of_call(
        relay: &Relay,
        config: &config::Config,
        call: ids::Call,
        pace: f64,
    ) -> Self {
        let found = || {
            let row = relay.calls.get(call)?;
            let engine = config.services.get(&row.service)?.engine.as_ref()?;
            let spec = engine.models.get(&row.envelope.work.as_ref()?.model)?;
            Some((engine.stride, relay.pace.samples(spec.weights_mb) >= MIN_PACE_SAMPLES))
        };
        let (stride, is_known) = found().unwrap_or((1, false));
        Self { pace, stride, is_known: is_known && relay.settings.learns_speed }
    }

    /// Nominal time between two events at `target`, in ms; 0 if it is not known.
    pub(crate) fn gap_ms(&self, target: &target::Row) -> f64 {
        let step_ms = choice::step_ms(target, self.pace);
        if self.is_known { step_ms * f64::from(self.stride) } else { 0.0 }
    }
}

/// Describes the learned speed of a target, for the log.
pub(crate) fn describe(target: &target::Row, now: ids::Time) -> String {
    let Some(speed) = target.speed else {
        return String::new();
    };
    let backlog = choice::backlog_tokens(target, now);
    format!(" prefill ratio {:.2} step ratio {:.2} unread {backlog:.0}", speed.prefill, speed.step)
}

/// Samples for the next digest.
pub(crate) fn digest_samples(relay: &mut Relay, now: ids::Time) -> Vec<speed::Entry> {
    let State { own, digest_at, .. } = &mut relay.speed;
    take(now, own, digest_at, speed::MAX_DIGEST_ENTRIES)
}

/// Samples of this data centre for the next summary.
pub(crate) fn summary_samples(relay: &mut Relay, now: ids::Time) -> Vec<speed::Entry> {
    let State { centre, summary_at, .. } = &mut relay.speed;
    take(now, centre, summary_at, speed::MAX_SUMMARY_ENTRIES)
}

/// Samples of the other data centres for the next overview.
pub(crate) fn overview_samples(relay: &mut Relay, now: ids::Time) -> Vec<speed::Entry> {
    let State { elsewhere, overview_at, .. } = &mut relay.speed;
    take(now, elsewhere, overview_at, speed::MAX_SUMMARY_ENTRIES)
}

fn take(
    now: ids::Time,
    unsent: &mut speed::Unsent,
    next: &mut ids::Time,
    limit: usize,
) -> Vec<speed::Entry> {
    if now < *next {
        return Vec::new();
    }
    *next = now + REPORT_INTERVAL;
    unsent.take(limit)
}

/// Where received samples come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A VM of this data centre.
    Neighbour,
    /// The aggregator of another data centre.
    Centre,
    /// The aggregator of this data centre, about the others.
    Elsewhere,
}

/// Adds the samples of a message. Each message is applied once by its receiver, so each
/// sample is counted once; those of a lost message are not counted.
pub(crate) fn merge(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    source: Source,
    entries: Vec<speed::Entry>,
    out: &mut Vec<Output>,
) {
    if !relay.settings.learns_speed || entries.is_empty() {
        return;
    }
    let collects = overlay::is_aggregator(relay, now);
    let mut ignored = 0_usize;
    for (target, samples) in entries.into_iter().take(speed::MAX_SUMMARY_ENTRIES) {
        if !samples.is_valid() {
            ignored += 1;
            continue;
        }
        relay.speed.table.add(now, &target, samples);
        match source {
            Source::Neighbour if collects => relay.speed.centre.add(&target, samples),
            Source::Centre if collects => relay.speed.elsewhere.add(&target, samples),
            _ => {}
        }
    }
    if ignored > 0 {
        let line = event::Event::new("speed", from, "samples ignored")
            .with_inputs(format!("{ignored} targets with figures out of range"));
        out.push(Output::Log(line));
    }
}

/// Notes up to when the prefill load of the other VMs' calls is known, per target. The
/// target has read a part of it since.
pub(crate) fn date_peer_loads(relay: &mut Relay, now: ids::Time) {
    if !relay.settings.learns_speed {
        return;
    }
    let neighbours = relay.peers.heard_neighbours(now);
    let neighbours =
        neighbours.map(|row: &peer::Row| (row.last_heard.unwrap_or(now), &row.digest.loads));
    let heard: Vec<_> = relay.centres.heard(now).map(|row| now.since(row.at)).collect();
    let centres = u32::try_from(heard.len()).unwrap_or(u32::MAX).max(1);
    let age = heard.iter().sum::<time::Duration>() / centres;
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let at = ids::Time::from_millis(now.as_millis().saturating_sub(age));
    let elsewhere = relay.centres.sums(now).map(|sums| (at, &sums.loads));
    let mut ages = collections::BTreeMap::<&ids::Target, (f64, f64)>::new();
    for (at, loads) in neighbours.chain(elsewhere) {
        for (target, load) in loads.iter().filter(|(_, load): &&(_, target::Load)| load.prefill > 0)
        {
            let (weighted, total) = ages.entry(target).or_default();
            *weighted += now.since(at).as_secs_f64() * load.prefill as f64;
            *total += load.prefill as f64;
        }
    }
    let ages: collections::BTreeMap<ids::Target, u64> = ages
        .into_iter()
        .map(|(target, (weighted, total))| {
            let age = time::Duration::from_secs_f64(weighted / total);
            (target.clone(), u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
        })
        .collect();
    for row in relay.targets.iter_mut() {
        let age = ages.get(&row.entry.target).copied().unwrap_or_default();
        row.others_at = ids::Time::from_millis(now.as_millis().saturating_sub(age));
    }
}
