//! The choice of a target: the shortest expected time to the first byte.

use std::time;

use rand::seq::IteratorRandom as _;
use route::policy;

use crate::{cold, config, envelope, speed, target};

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

/// Prompt tokens that an engine reads in one step at most.
const CHUNK_TOKENS: f64 = 2_048.0;
/// Fraction of its speed by which an engine's backlog shrinks while further prompts arrive.
const NET_READ_SHARE: f64 = 0.5;
/// Uncached prompt tokens from which a prompt counts as long: below, it is read in a
/// quarter of a chunk's time.
const LONG_PROMPT_TOKENS: f64 = 512.0;
/// Expected pause up to which the gap objective is safe, as a fraction of the objective:
/// engines may be 2.5 times slower for a moment.
const SAFE_PAUSE: f64 = 0.4;
/// Cost of each stream that misses its gap objective, in ms.
const PAUSED_STREAM_COST_MS: f64 = 10.0;
/// Cost of decoding at a target whose pauses may exceed the objective, as a fraction of
/// the decoding time.
const EXPOSURE_COST: f64 = 0.1;
/// Number of VMs up to which all targets are compared: a VM knows its own calls at once, and
/// those of the others some hundred ms later.
const SHORTLIST_VMS: usize = 5;
/// Minimum number of targets that are compared.
const MIN_SHORTLIST: usize = 3;
/// Exponent of the speed in the odds of being compared. The comparison prefers fast targets
/// again, so odds in proportion to speed would overload them.
const SPEED_EXPONENT: f64 = 0.8;

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
    /// Gap objective of the streams at the service's targets, in ms; 0 for none.
    pub gap_ms: f64,
    /// Number of VMs that send calls to the targets.
    pub vms: usize,
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
    /// Whether a target with free capacity was left out because of pauses.
    pub has_avoided_pause: bool,
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
    candidates(table, now, query).any(|row| has_room_at(row, now, query))
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
    let with_room = || candidates(table, now, query).filter(|row| has_room_at(row, now, query));
    let is_warm = |row: &&target::Row| query.cold.is_none() || !row.cold.is_cold(now);
    let healthy = || with_room().filter(|row| row.health.is_healthy(now));
    let pauses = |row: &&target::Row| would_pause(row, now, query);
    if healthy().any(|row| pauses(&row)) {
        let calm = healthy().filter(is_warm).filter(|row| !pauses(row));
        if let Some(choice) = pick(calm, now, query, rng) {
            return Some(Choice { has_avoided_pause: true, ..choice });
        }
    }
    let warm = pick(healthy().filter(is_warm), now, query, rng);
    if query.cold.is_none() {
        return warm.or_else(|| pick(with_room(), now, query, rng));
    }
    warm.or_else(|| pick(healthy(), now, query, rng))
        .or_else(|| pick(with_room().filter(is_warm), now, query, rng))
        .or_else(|| pick(with_room(), now, query, rng))
}

/// Prompt tokens that are unread at the target: of what other VMs told, the target has
/// read a part since, while new prompts arrived.
#[must_use]
pub fn backlog_tokens(row: &target::Row, now: ids::Time) -> f64 {
    let Some(speed) = row.speed else {
        return row.load().prefill as f64;
    };
    let age_ms = now.since(row.others_at).as_secs_f64() * 1_000.0;
    let read = age_ms * NET_READ_SHARE / (PREFILL_MS_PER_TOKEN * speed.prefill);
    row.own.prefill as f64 + (row.others.prefill as f64 - read).max(0.0)
}

/// Nominal time of a decoding step at the target for a model of this pace, in ms.
#[must_use]
pub fn step_ms(row: &target::Row, pace: f64) -> f64 {
    (STEP_MS + row.load().calls as f64 * STEP_MS_PER_CALL) * pace
}

/// Uncached prompt tokens of the call at the target, in tokens of the slowest models.
fn unread_tokens(row: &target::Row, query: &Query<'_>) -> f64 {
    let Some(work) = query.work else {
        return 0.0;
    };
    let cached =
        if query.rule.has_affinity { row.cache.cached_tokens(query.item, &work.prompt) } else { 0 };
    work.prompt_tokens.saturating_sub(cached) as f64 * query.pace
}

/// Longest time between two events of the target's streams while `unread` prompt tokens are
/// read, in ms: an engine makes `stride` steps from one event to the next and reads one chunk
/// in each.
fn pause_ms(row: &target::Row, speed: speed::Estimate, unread: f64, query: &Query<'_>) -> f64 {
    let stride = query.service.engine.as_ref().map_or(1.0, |engine| f64::from(engine.stride));
    let read = unread.min(stride * CHUNK_TOKENS);
    stride * step_ms(row, query.pace) * speed.step + read * PREFILL_MS_PER_TOKEN * speed.prefill
}

/// Whether the call is a long prompt that would make the target's streams miss their gap
/// objective.
fn would_pause(row: &target::Row, now: ids::Time, query: &Query<'_>) -> bool {
    let Some(speed) = row.speed.filter(|_| query.gap_ms > 0.0 && row.load().calls > 0) else {
        return false;
    };
    let unread = unread_tokens(row, query);
    let total = backlog_tokens(row, now) + unread;
    unread >= LONG_PROMPT_TOKENS && pause_ms(row, speed, total, query) > query.gap_ms
}

/// Likelihood, from 0 to 1, that a pause expected to take `pause_ms` exceeds the objective.
fn pause_risk(pause_ms: f64, gap_ms: f64) -> f64 {
    if gap_ms <= 0.0 {
        return 0.0;
    }
    ((pause_ms / gap_ms - SAFE_PAUSE) / (1.0 - SAFE_PAUSE)).clamp(0.0, 1.0)
}

/// Cost of the pauses that the call causes or will experience at the target, in ms.
fn pause_cost(row: &target::Row, speed: speed::Estimate, now: ids::Time, query: &Query<'_>) -> f64 {
    let Some(work) = query.work else {
        return 0.0;
    };
    let total = backlog_tokens(row, now) + unread_tokens(row, query);
    let caused = pause_risk(pause_ms(row, speed, total, query), query.gap_ms);
    let longest = pause_ms(row, speed, f64::INFINITY, query);
    let experienced = pause_risk(longest, query.gap_ms);
    let output = work.output_estimate.unwrap_or(work.output_tokens).min(work.output_tokens);
    let stream_ms = output as f64 * step_ms(row, query.pace) * speed.step;
    caused * row.load().calls as f64 * PAUSED_STREAM_COST_MS
        + experienced * stream_ms * EXPOSURE_COST
}

/// Targets to compare, drawn at random with better odds for faster ones: fewer of them the
/// more VMs there are, since VMs with the same old view would choose the same target.
fn shortlist<'a, R: rand::Rng + ?Sized>(
    rows: impl Iterator<Item = &'a target::Row>,
    query: &Query<'_>,
    rng: &mut R,
) -> Vec<&'a target::Row> {
    let draw = |row: &'a target::Row| {
        let weight = row.speed.map_or(1.0, |speed| speed.prefill.powf(-SPEED_EXPONENT));
        // The largest of these keys are a random sample with these weights.
        (rng.random_range(f64::MIN_POSITIVE..1.0).ln() / weight, row)
    };
    let mut rows: Vec<_> = rows.map(draw).collect();
    rows.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    let size = (rows.len() * SHORTLIST_VMS).div_ceil(query.vms.max(1)).max(MIN_SHORTLIST);
    rows.truncate(size);
    rows.into_iter().map(|(_, row)| row).collect()
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

fn has_room_at(row: &target::Row, now: ids::Time, query: &Query<'_>) -> bool {
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
    let slowness = row.speed.map_or(row.health.slowness, |speed| speed.prefill);
    let read_ms = PREFILL_MS_PER_TOKEN * slowness;
    let has_backlog = backlog_tokens(row, now) * read_ms > MAX_BACKLOG_MS;
    load.calls < slots && fits && !has_backlog
}

fn pick<'a, R: rand::Rng + ?Sized>(
    rows: impl Iterator<Item = &'a target::Row>,
    now: ids::Time,
    query: &Query<'_>,
    rng: &mut R,
) -> Option<Choice> {
    let row = match query.rule.policy {
        policy::Policy::Expected => {
            let mut rows = rows.peekable();
            let is_learned = rows.peek().is_some_and(|row| row.speed.is_some());
            let listed = is_learned.then(|| shortlist(&mut rows, query, rng));
            let with_cost = |row: &'a target::Row| {
                let (_, expected_ms) = estimate(row, now, query);
                (cost(row, now, query, expected_ms) * (1.0 + rng.random_range(0.0..JITTER)), row)
            };
            let rows = listed.into_iter().flatten().chain(rows).map(with_cost);
            rows.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, row)| row)
        }
        policy::Policy::Random => rows.choose(rng),
        policy::Policy::RoundRobin => {
            let rows: Vec<_> = rows.collect();
            rows.get(query.sequence % rows.len().max(1)).copied()
        }
        policy::Policy::LeastReported => rows.min_by_key(|row| row.load().calls),
    }?;
    let (load, expected_ms) = estimate(row, now, query);
    let target = row.entry.target.clone();
    Some(Choice { target, load, expected_ms, has_avoided_pause: false })
}

/// Load that the call adds to the target, and the expected time to its first byte in ms.
fn estimate(row: &target::Row, now: ids::Time, query: &Query<'_>) -> (target::Load, f64) {
    let load = row.load();
    let Some(work) = query.work else {
        let slots = f64::from(row.entry.slots.max(1));
        let waiting = (load.calls as f64 + 1.0 - slots).max(0.0) / slots;
        let added = target::Load { calls: 1, ..target::Load::default() };
        return (added, query.typical_ms * (1.0 + waiting));
    };
    // Prefill load is expressed in tokens of the slowest models.
    let unread = unread_tokens(row, query);
    let speed = row.speed.unwrap_or_default();
    let prefill = (backlog_tokens(row, now) + unread) * PREFILL_MS_PER_TOKEN * speed.prefill;
    let unread = time::Duration::from_secs_f64(unread).as_secs();
    let step = step_ms(row, query.pace) * speed.step;
    let added = target::Load { calls: 1, kv: work.kv_tokens(), prefill: unread };
    (added, prefill + 2.0 * step)
}

fn cost(row: &target::Row, now: ids::Time, query: &Query<'_>, expected_ms: f64) -> f64 {
    // A learned speed is part of the expected time.
    let slowness = if row.speed.is_some() { 1.0 } else { row.health.slowness };
    let mut cost = expected_ms * slowness * (1.0 + FAILURE_COST_FACTOR * row.health.failed);
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
    if let Some(speed) = row.speed {
        cost += pause_cost(row, speed, now, query);
    }
    if row.entry.centre != *query.centre {
        cost += CENTRE_ROUND_TRIP_MS;
    }
    cost
}
