//! The choice of a target among those that offer an item.

use std::time;

use rand::seq::{IndexedRandom as _, IteratorRandom as _};

use crate::{
    hash, policy,
    row::{Load, Row},
    target::{Config, Request, Table},
};

/// Weight of a target at the moment when its ejection ends.
const RETURN_WEIGHT: f64 = 0.1;
/// Expected time below which a target always is good enough for its prefix
/// cache, in the unit of expected times (tokens at power 1 on one accelerator).
const AFFINITY_FREE: f64 = 512.0;

/// A target that could be chosen.
struct Candidate<'a> {
    target: &'a ids::Target,
    row: &'a Row,
    capacity: f64,
    time: f64,
}

pub(crate) fn has_room(
    table: &Table,
    now: ids::Time,
    item: &str,
    excluded: &[ids::Target],
) -> bool {
    let open = || open_rows(table, item, excluded);
    open().any(|(_, row)| is_fit(&table.config, row, now))
        || open().any(|(_, row)| is_probe(row, now))
}

pub(crate) fn has_spare_room(
    table: &Table,
    now: ids::Time,
    item: &str,
    excluded: &[ids::Target],
) -> bool {
    let config = &table.config;
    let part = config.late_permille as f64 / 1_000.0;
    let limit = time::Duration::from_millis(config.report_age_ms);
    open_rows(table, item, excluded).any(|(_, row)| {
        let others = row.others(now, limit).unwrap_or_default();
        let calls = row.own.calls + others.calls;
        let spare = config.gap_ms == 0 || row.limit == 0.0 || calls < row.limit * part;
        (spare && is_fit(config, row, now)) || is_probe(row, now)
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
        return probe(table, now, request, rng);
    }
    let chosen = match table.config.policy {
        policy::Policy::Expected => expected(&table.config, &candidates, request, rng),
        policy::Policy::Random => candidates.choose(rng),
        policy::Policy::RoundRobin => candidates.get(table.turn % candidates.len()),
        policy::Policy::LeastReported => least_reported(&candidates, rng),
    }?;
    Some(chosen.target.clone())
}

fn open_rows<'a>(
    table: &'a Table,
    item: &str,
    excluded: &'a [ids::Target],
) -> impl Iterator<Item = (&'a ids::Target, &'a Row)> {
    let offering = table.offers.get(item).into_iter().flatten();
    offering
        .filter(|target| !excluded.contains(target))
        .filter_map(|target| table.rows.get_key_value(target))
        .filter(|(_, row)| row.is_open())
}

fn is_fit(config: &Config, row: &Row, now: ids::Time) -> bool {
    let accelerators = f64::from(row.accelerators);
    let own = row.own.calls < accelerators * f64::from(config.calls_per_accelerator);
    let limit = time::Duration::from_millis(config.report_age_ms);
    let others = row.others(now, limit).unwrap_or_default();
    let batch = f64::from(config.batch_per_accelerator) * accelerators;
    let calls = row.own.calls + others.calls;
    let paced = config.gap_ms == 0 || row.limit == 0.0 || calls < row.limit;
    let all = batch == 0.0 || calls < batch;
    own && ((all && paced) || row.own.calls < 1.0) && now >= row.health.until
}

/// Whether an ejected target may be tried by a single call.
fn is_probe(row: &Row, now: ids::Time) -> bool {
    now < row.health.until && row.own.calls < 1.0
}

fn probe<R: rand::Rng + ?Sized>(
    table: &Table,
    now: ids::Time,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<ids::Target> {
    let ejected =
        open_rows(table, request.item, request.excluded).filter(|(_, row)| is_probe(row, now));
    ejected.choose(rng).map(|(target, _)| target.clone())
}

fn candidates<'a>(table: &'a Table, now: ids::Time, request: &Request<'a>) -> Vec<Candidate<'a>> {
    let config = &table.config;
    let fit: Vec<_> = open_rows(table, request.item, request.excluded)
        .filter(|(_, row)| is_fit(config, row, now))
        .collect();
    let usual = usual_density(config, &fit, now);
    fit.into_iter()
        .map(|(target, row)| {
            let capacity = capacity(config, row, now);
            let backlog = backlog(config, row, now, usual);
            let cost = request.tokens as f64 + config.prompt_cost(request.prompt_tokens);
            Candidate { target, row, capacity, time: (backlog + cost) / capacity }
        })
        .collect()
}

/// What a target can do, in units of one accelerator of power 1.
fn capacity(config: &Config, row: &Row, now: ids::Time) -> f64 {
    let full = row.power * f64::from(row.accelerators) * row.speed;
    if row.health.ejections == 0 {
        return full;
    }
    let back = now.since(row.health.until).as_secs_f64() * 1_000.0;
    let share = back / config.return_ms.max(1) as f64;
    full * share.clamp(RETURN_WEIGHT, 1.0)
}

/// Mean work of other VMs for each unit of capacity, where reports show it.
fn usual_density(config: &Config, fit: &[(&ids::Target, &Row)], now: ids::Time) -> f64 {
    let limit = time::Duration::from_millis(config.report_age_ms);
    let mut tokens = 0.0;
    let mut units = 0.0;
    for (_, row) in fit {
        if let Some(Load { tokens: others, .. }) = row.others(now, limit) {
            tokens += others;
            units += capacity(config, row, now);
        }
    }
    if units > 0.0 { tokens / units } else { 0.0 }
}

/// Tokens before a new call; work of others is taken as usual where no report shows it.
fn backlog(config: &Config, row: &Row, now: ids::Time, usual: f64) -> f64 {
    let limit = time::Duration::from_millis(config.report_age_ms);
    let others = match row.others(now, limit) {
        Some(work) => work.tokens,
        None => usual * capacity(config, row, now),
    };
    let base = config.base_tokens as f64 * f64::from(row.accelerators);
    (others + row.own.tokens).max(base)
}

fn expected<'a, 'b, R: rand::Rng + ?Sized>(
    config: &Config,
    candidates: &'b [Candidate<'a>],
    request: &Request<'_>,
    rng: &mut R,
) -> Option<&'b Candidate<'a>> {
    if request.prefix != 0
        && let Some(near) = by_prefix(config, candidates, request.prefix)
    {
        return Some(near);
    }
    if config.sample == 0 || config.sample >= candidates.len() {
        return quickest(candidates.iter());
    }
    let drawn =
        candidates.choose_multiple_weighted(rng, config.sample, |each| each.capacity).ok()?;
    quickest(drawn)
}

fn quickest<'a, 'b>(
    candidates: impl Iterator<Item = &'b Candidate<'a>>,
) -> Option<&'b Candidate<'a>>
where
    'a: 'b,
{
    candidates.min_by(|one, other| one.time.total_cmp(&other.time))
}

/// The target that ranks first for the prefix, unless it is busier than the others.
fn by_prefix<'a, 'b>(
    config: &Config,
    candidates: &'b [Candidate<'a>],
    prefix: u64,
) -> Option<&'b Candidate<'a>> {
    let mean = candidates.iter().map(|each| each.time).sum::<f64>() / candidates.len() as f64;
    let bound = mean * config.affinity_permille as f64 / 1_000.0;
    let bound = if config.affinity_permille == 0 { 0.0 } else { bound.max(AFFINITY_FREE) };
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

fn least_reported<'a, 'b, R: rand::Rng + ?Sized>(
    candidates: &'b [Candidate<'a>],
    rng: &mut R,
) -> Option<&'b Candidate<'a>> {
    let load = |each: &Candidate<'_>| each.row.reported.map_or(0.0, |reported| reported.all.tokens);
    let least = candidates.iter().map(load).min_by(f64::total_cmp)?;
    candidates.iter().filter(|each| load(each) <= least).choose(rng)
}
