//! The choice of a target: the shortest expected time to the first byte.

use std::time;

use rand::seq::IteratorRandom as _;
use route::policy;

use crate::{cold, config, envelope, target};

/// Prefill time per prompt token, in ms: the engines' data sheets give 19 tokens
/// per ms.
const PREFILL_MS_PER_TOKEN: f64 = 1.0 / 19.0;
/// Time of a decoding step, which generates one token per call, in ms: the
/// engines' data sheets give 9 to 10.5 ms.
pub const STEP_MS: f64 = 10.0;
/// Time that each concurrent call adds to a decoding step, in ms: the data sheets
/// give 0.04, and reading KV memory adds as much again.
const STEP_MS_PER_CALL: f64 = 0.08;
/// Prefill backlog of an engine beyond which calls stay queued in the relay, where
/// they can still be refused or sent elsewhere, in ms: half of the shortest objective.
const MAX_BACKLOG_MS: f64 = 400.0;
/// Maximum expected fill of the KV memory; the rest is headroom for answers that
/// are longer than their callers estimate.
const MAX_KV_FILL: f64 = 0.9;
/// Fill of the KV memory above which an engine's cost rises.
const KV_PENALTY_START: f64 = 0.6;
/// Cost of a full KV memory, in ms: the time that a preempted call loses.
const KV_FULL_PENALTY_MS: f64 = 400.0;
/// Maximum calls at an instance of a plain service, as a multiple of its slots;
/// the instance queues the excess.
const PLAIN_CALLS_PER_SLOT: u64 = 2;
/// Cost of a target that always fails, as a multiple of its expected time.
const FAILURE_COST_FACTOR: f64 = 5.0;
/// Round trip to another data centre, in ms.
const CENTRE_ROUND_TRIP_MS: f64 = 3.0;
/// Random variation of the cost, so that VMs with the same view do not all
/// select the same target.
const JITTER: f64 = 0.1;

/// Rule for selecting targets; all but the default are baselines for experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Criterion for the selection.
    pub policy: policy::Policy,
    /// Whether cached prompt prefixes reduce the expected prefill time.
    pub has_affinity: bool,
}

impl Default for Rule {
    fn default() -> Self {
        Self { policy: policy::Policy::Expected, has_affinity: true }
    }
}

/// Requirements for a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a config::Service,
    /// Work for a model engine; `None` for plain services.
    pub work: Option<&'a envelope::Work>,
    /// The model, adapter or service that the target must offer.
    pub item: &'a str,
    /// Targets already tried, which are skipped.
    pub excluded: &'a [ids::Target],
    /// Targets that could not be reached, which are skipped.
    pub unreached: &'a [ids::Target],
    /// Limit of the service's cold targets; `None` for no limit.
    pub cold: Option<cold::Gate<'a>>,
    /// Data centre of this VM.
    pub centre: &'a ids::Centre,
    /// Typical answer time of the plain service, in ms.
    pub typical_ms: f64,
    /// Fraction of a plain service instance's capacity that this VM may use.
    pub place_share: f64,
    /// Relative pace of the model.
    pub pace: f64,
    /// Selection rule.
    pub rule: Rule,
    /// Number of attempts so far; selects the target under round robin.
    pub sequence: usize,
}

/// A selected target.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: ids::Target,
    /// Load that the call adds to it.
    pub load: target::Load,
    /// Expected time to the first byte, in ms.
    pub expected_ms: f64,
}

/// Time to complete `work` at an idle engine, in ms.
#[must_use]
pub fn min_answer_ms(work: &envelope::Work) -> f64 {
    let output = work.output_estimate.unwrap_or(work.output_tokens).min(work.output_tokens);
    work.prompt_tokens as f64 * PREFILL_MS_PER_TOKEN + output as f64 * STEP_MS
}

/// Time to the first byte of `work` at an idle engine, in ms.
#[must_use]
pub fn min_first_byte_ms(work: &envelope::Work) -> f64 {
    work.prompt_tokens as f64 * PREFILL_MS_PER_TOKEN + 2.0 * STEP_MS
}

/// Engine time that `work` consumes, in ms, with decoding steps shared by a
/// typical batch.
#[must_use]
pub fn busy_ms(work: &envelope::Work) -> f64 {
    let output = work.output_estimate.unwrap_or(work.output_tokens).min(work.output_tokens);
    work.prompt_tokens as f64 * PREFILL_MS_PER_TOKEN + output as f64 * STEP_MS / TYPICAL_BATCH
}

/// Typical number of calls that share a decoding step.
const TYPICAL_BATCH: f64 = 24.0;

/// Whether some target has capacity for the call now.
#[must_use]
pub fn has_room(table: &target::Table, now: ids::Time, query: &Query<'_>) -> bool {
    candidates(table, now, query).any(|row| has_room_at(now, row, query))
}

/// Whether some target offers the item, with or without free capacity.
#[must_use]
pub fn is_offered(table: &target::Table, now: ids::Time, query: &Query<'_>) -> bool {
    candidates(table, now, query).next().is_some()
}

/// Whether some healthy target offers the item, with or without free capacity.
#[must_use]
pub fn is_offered_healthy(table: &target::Table, now: ids::Time, query: &Query<'_>) -> bool {
    candidates(table, now, query).any(|row| row.health.is_healthy(now))
}

/// Selects the target with the lowest cost among those with free capacity.
/// Unhealthy targets are used only if no healthy one qualifies, and cold ones only if no warm
/// one does.
pub fn choose<R: rand::Rng + ?Sized>(
    table: &target::Table,
    now: ids::Time,
    query: &Query<'_>,
    rng: &mut R,
) -> Option<Choice> {
    let with_room = || candidates(table, now, query).filter(|row| has_room_at(now, row, query));
    let is_warm = |row: &&target::Row| query.cold.is_none() || !row.cold.is_cold(now);
    let healthy = || with_room().filter(|row| row.health.is_healthy(now));
    let warm = pick(healthy().filter(is_warm), query, rng);
    if query.cold.is_none() {
        return warm.or_else(|| pick(with_room(), query, rng));
    }
    warm.or_else(|| pick(healthy(), query, rng))
        .or_else(|| pick(with_room().filter(is_warm), query, rng))
        .or_else(|| pick(with_room(), query, rng))
}

fn candidates<'a>(
    table: &'a target::Table,
    now: ids::Time,
    query: &'a Query<'_>,
) -> impl Iterator<Item = &'a target::Row> {
    table
        .open(&query.service.name)
        .filter(move |row| row.pause.admits(now))
        .filter(|row| !query.excluded.contains(&row.entry.target))
        .filter(|row| !query.unreached.contains(&row.entry.target))
        .filter(move |row| {
            query.work.is_none_or(|work| row.holds(now, &work.model, work.adapter.as_ref()))
        })
        .filter(move |row| query.cold.is_none_or(|gate| gate.is_candidate(now, row)))
}

fn has_room_at(now: ids::Time, row: &target::Row, query: &Query<'_>) -> bool {
    if query.cold.is_some_and(|gate| !gate.has_room(now, row)) {
        return false;
    }
    let load = row.load();
    let slots = u64::from(row.entry.slots.max(1));
    let (Some(work), Some(engine)) = (query.work, query.service.engine.as_ref()) else {
        let places = (slots * PLAIN_CALLS_PER_SLOT) as f64;
        return load.calls < slots * PLAIN_CALLS_PER_SLOT
            && (row.own.calls as f64) < (places * query.place_share).max(1.0);
    };
    let kv = (load.kv + work.kv_tokens()) as f64;
    let fits = load.calls == 0 || kv <= engine.kv_tokens as f64 * MAX_KV_FILL;
    let read_ms = PREFILL_MS_PER_TOKEN * row.health.slowness;
    let has_backlog = load.prefill as f64 * read_ms > MAX_BACKLOG_MS;
    load.calls < slots && fits && !has_backlog
}

fn pick<'a, R: rand::Rng + ?Sized>(
    rows: impl Iterator<Item = &'a target::Row>,
    query: &Query<'_>,
    rng: &mut R,
) -> Option<Choice> {
    let row = match query.rule.policy {
        policy::Policy::Expected => {
            let with_cost = |row: &'a target::Row| {
                let (_, expected_ms) = estimate(row, query);
                (cost(row, query, expected_ms) * (1.0 + rng.random_range(0.0..JITTER)), row)
            };
            let rows = rows.map(with_cost);
            rows.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, row)| row)
        }
        policy::Policy::Random => rows.choose(rng),
        policy::Policy::RoundRobin => {
            let rows: Vec<_> = rows.collect();
            rows.get(query.sequence % rows.len().max(1)).copied()
        }
        policy::Policy::LeastReported => rows.min_by_key(|row| row.load().calls),
    }?;
    let (load, expected_ms) = estimate(row, query);
    Some(Choice { target: row.entry.target.clone(), load, expected_ms })
}

/// Load that the call adds to the target, and the expected time to its first byte in ms.
fn estimate(row: &target::Row, query: &Query<'_>) -> (target::Load, f64) {
    let load = row.load();
    let Some(work) = query.work else {
        let slots = f64::from(row.entry.slots.max(1));
        let waiting = (load.calls as f64 + 1.0 - slots).max(0.0) / slots;
        let added = target::Load { calls: 1, ..target::Load::default() };
        return (added, query.typical_ms * (1.0 + waiting));
    };
    let cached =
        if query.rule.has_affinity { row.cache.cached_tokens(query.item, &work.prompt) } else { 0 };
    // Prefill load is expressed in tokens of the slowest models.
    let unread = work.prompt_tokens.saturating_sub(cached) as f64 * query.pace;
    let prefill = (load.prefill as f64 + unread) * PREFILL_MS_PER_TOKEN;
    let unread = time::Duration::from_secs_f64(unread).as_secs();
    let step = (STEP_MS + load.calls as f64 * STEP_MS_PER_CALL) * query.pace;
    let added = target::Load { calls: 1, kv: work.kv_tokens(), prefill: unread };
    (added, prefill + 2.0 * step)
}

fn cost(row: &target::Row, query: &Query<'_>, expected_ms: f64) -> f64 {
    let mut cost =
        expected_ms * row.health.slowness * (1.0 + FAILURE_COST_FACTOR * row.health.failed);
    let load = row.load();
    match query.service.engine.as_ref() {
        Some(engine) => {
            let filled = load.kv as f64 / (engine.kv_tokens.max(1)) as f64;
            cost += (filled - KV_PENALTY_START).max(0.0) / (1.0 - KV_PENALTY_START)
                * KV_FULL_PENALTY_MS;
            cost += load.calls as f64 * STEP_MS_PER_CALL;
        }
        // Less loaded instances respond faster, even if all have free slots.
        None => cost *= 1.0 + load.calls as f64 / f64::from(row.entry.slots.max(1)),
    }
    if row.entry.centre != *query.centre {
        cost += CENTRE_ROUND_TRIP_MS;
    }
    cost
}
