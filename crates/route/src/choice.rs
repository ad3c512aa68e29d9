//! The choice of a target among those that serve an item.

use std::time;

use rand::seq::{IndexedRandom as _, IteratorRandom as _};

use crate::{
    hash, policy,
    row::{Load, Row},
    target::{Config, Request, Table},
};

/// Share of its full weight that a target has when its ejection ends.
const MIN_RETURN_SHARE: f64 = 0.1;
/// Expected time below which the target preferred for a prefix is always chosen,
/// in the unit of expected times (tokens at power 1 on one accelerator).
const AFFINITY_MIN_TIME: f64 = 512.0;

/// A target that can accept the call.
struct Candidate<'a> {
    target: &'a ids::Target,
    row: &'a Row,
    /// In units of one accelerator of power 1.
    capacity: f64,
    /// Expected time until the call is complete, in tokens per unit of capacity.
    time: f64,
}

pub(crate) fn has_room(
    table: &Table,
    now: ids::Time,
    item: &str,
    excluded: &[ids::Target],
) -> bool {
    let rows = || open_rows(table, item, excluded);
    rows().any(|(_, row)| accepts_call(&table.config, row, now))
        || rows().any(|(_, row)| accepts_probe(row, now))
}

pub(crate) fn has_spare_room(
    table: &Table,
    now: ids::Time,
    item: &str,
    excluded: &[ids::Target],
) -> bool {
    let config = &table.config;
    let late_share = config.late_permille as f64 / 1_000.0;
    let max_age = time::Duration::from_millis(config.report_age_ms);
    open_rows(table, item, excluded).any(|(_, row)| {
        let others = row.others(now, max_age).unwrap_or_default();
        let calls = row.own.calls + others.calls;
        let has_spare = config.gap_ms == 0 || row.limit == 0.0 || calls < row.limit * late_share;
        (has_spare && accepts_call(config, row, now)) || accepts_probe(row, now)
    })
}

pub(crate) fn choose<R: rand::Rng + ?Sized>(
    table: &mut Table,
    now: ids::Time,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<ids::Target> {
    table.turn = table.turn.wrapping_add(1);
    let candidates = candidates(table, now, request);
    if candidates.is_empty() {
        return choose_probe(table, now, request, rng);
    }
    let chosen = match table.config.policy {
        policy::Policy::Expected => choose_expected(&table.config, &candidates, request, rng),
        policy::Policy::Random => candidates.choose(rng),
        policy::Policy::RoundRobin => candidates.get(table.turn % candidates.len()),
        policy::Policy::LeastReported => choose_least_reported(&candidates, rng),
    }?;
    Some(chosen.target.clone())
}

/// The open targets that serve `item`, except the excluded ones.
fn open_rows<'a>(
    table: &'a Table,
    item: &str,
    excluded: &'a [ids::Target],
) -> impl Iterator<Item = (&'a ids::Target, &'a Row)> {
    let targets = table.targets_by_item.get(item).into_iter().flatten();
    targets
        .filter(|target| !excluded.contains(target))
        .filter_map(|target| table.rows.get_key_value(target))
        .filter(|(_, row)| row.is_open())
}

/// Whether a target is not ejected and below its limits.
///
/// A target without a call of this VM accepts one call, however many the other
/// VMs have there.
fn accepts_call(config: &Config, row: &Row, now: ids::Time) -> bool {
    let accelerators = f64::from(row.accelerators);
    let is_below_own_limit = row.own.calls < accelerators * f64::from(config.calls_per_accelerator);
    let max_age = time::Duration::from_millis(config.report_age_ms);
    let others = row.others(now, max_age).unwrap_or_default();
    let max_batch = f64::from(config.batch_per_accelerator) * accelerators;
    let calls = row.own.calls + others.calls;
    let is_below_limit = config.gap_ms == 0 || row.limit == 0.0 || calls < row.limit;
    let is_below_batch = max_batch == 0.0 || calls < max_batch;
    is_below_own_limit
        && ((is_below_batch && is_below_limit) || row.own.calls < 1.0)
        && now >= row.health.until
}

/// Whether an ejected target accepts a single call as a probe.
fn accepts_probe(row: &Row, now: ids::Time) -> bool {
    now < row.health.until && row.own.calls < 1.0
}

/// Chooses an ejected target at random, for when no other target accepts the call.
fn choose_probe<R: rand::Rng + ?Sized>(
    table: &Table,
    now: ids::Time,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<ids::Target> {
    let ejected =
        open_rows(table, request.item, request.excluded).filter(|(_, row)| accepts_probe(row, now));
    ejected.choose(rng).map(|(target, _)| target.clone())
}

fn candidates<'a>(table: &'a Table, now: ids::Time, request: &Request<'a>) -> Vec<Candidate<'a>> {
    let config = &table.config;
    let available: Vec<_> = open_rows(table, request.item, request.excluded)
        .filter(|(_, row)| accepts_call(config, row, now))
        .collect();
    let density = mean_density(config, &available, now);
    available
        .into_iter()
        .map(|(target, row)| {
            let capacity = capacity(config, row, now);
            let backlog = backlog(config, row, now, density);
            let cost = request.tokens as f64 + config.prompt_cost(request.prompt_tokens);
            Candidate { target, row, capacity, time: (backlog + cost) / capacity }
        })
        .collect()
}

/// Capacity of a target, in units of one accelerator of power 1.
///
/// After an ejection it grows linearly back to its full value.
fn capacity(config: &Config, row: &Row, now: ids::Time) -> f64 {
    let full = row.power * f64::from(row.accelerators) * row.speed;
    if row.health.ejections == 0 {
        return full;
    }
    let elapsed_ms = now.since(row.health.until).as_secs_f64() * 1_000.0;
    let share = elapsed_ms / config.return_ms.max(1) as f64;
    full * share.clamp(MIN_RETURN_SHARE, 1.0)
}

/// Mean load from other VMs per unit of capacity, over the targets with recent reports.
fn mean_density(config: &Config, available: &[(&ids::Target, &Row)], now: ids::Time) -> f64 {
    let max_age = time::Duration::from_millis(config.report_age_ms);
    let mut tokens = 0.0;
    let mut units = 0.0;
    for (_, row) in available {
        if let Some(Load { tokens: others, .. }) = row.others(now, max_age) {
            tokens += others;
            units += capacity(config, row, now);
        }
    }
    if units > 0.0 { tokens / units } else { 0.0 }
}

/// Tokens queued ahead of a new call at a target.
///
/// Without a recent report, the load from other VMs is estimated from `density`,
/// the mean over the other targets.
fn backlog(config: &Config, row: &Row, now: ids::Time, density: f64) -> f64 {
    let max_age = time::Duration::from_millis(config.report_age_ms);
    let others = match row.others(now, max_age) {
        Some(load) => load.tokens,
        None => density * capacity(config, row, now),
    };
    let base = config.base_tokens as f64 * f64::from(row.accelerators);
    (others + row.own.tokens).max(base)
}

fn choose_expected<'a, 'b, R: rand::Rng + ?Sized>(
    config: &Config,
    candidates: &'b [Candidate<'a>],
    request: &Request<'_>,
    rng: &mut R,
) -> Option<&'b Candidate<'a>> {
    if request.prefix != 0
        && let Some(preferred) = choose_by_prefix(config, candidates, request.prefix)
    {
        return Some(preferred);
    }
    if config.sample == 0 || config.sample >= candidates.len() {
        return fastest(candidates.iter());
    }
    let drawn =
        candidates.choose_multiple_weighted(rng, config.sample, |each| each.capacity).ok()?;
    fastest(drawn)
}

fn fastest<'a, 'b>(candidates: impl Iterator<Item = &'b Candidate<'a>>) -> Option<&'b Candidate<'a>>
where
    'a: 'b,
{
    candidates.min_by(|one, other| one.time.total_cmp(&other.time))
}

/// The target that ranks first for the prefix, and so is likely to have it in
/// its prefix cache, unless it is much busier than the others.
fn choose_by_prefix<'a, 'b>(
    config: &Config,
    candidates: &'b [Candidate<'a>],
    prefix: u64,
) -> Option<&'b Candidate<'a>> {
    let mean = candidates.iter().map(|each| each.time).sum::<f64>() / candidates.len() as f64;
    let bound = mean * config.affinity_permille as f64 / 1_000.0;
    let bound = if config.affinity_permille == 0 { 0.0 } else { bound.max(AFFINITY_MIN_TIME) };
    let score = |each: &Candidate<'_>| {
        hash::weighted(
            prefix,
            each.target.as_str(),
            each.row.power * f64::from(each.row.accelerators),
        )
    };
    let first = candidates.iter().max_by(|one, other| score(one).total_cmp(&score(other)))?;
    (first.time <= bound).then_some(first)
}

fn choose_least_reported<'a, 'b, R: rand::Rng + ?Sized>(
    candidates: &'b [Candidate<'a>],
    rng: &mut R,
) -> Option<&'b Candidate<'a>> {
    let load = |each: &Candidate<'_>| each.row.reported.map_or(0.0, |reported| reported.all.tokens);
    let least = candidates.iter().map(load).min_by(f64::total_cmp)?;
    candidates.iter().filter(|each| load(each) <= least).choose(rng)
}
