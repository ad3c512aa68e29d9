//! The targets that a VM sends calls to, and the choice among them.
//!
//! The [`Table`] has one [`Row`] for each target. The rows come from the bundle
//! ([`Table::apply_bundle`]) and the items that they serve from the planner
//! ([`Table::set_ready_items`]). Their load comes from the VM's own calls and
//! from delayed reports, corrected by the calls that the VM has begun and ended
//! since the report was measured.

use std::{collections, sync, time};

use bundle::format;

use crate::{choice, item, policy, row, speed};

pub use crate::row::{Load, Row};

/// Fewest generated tokens of a call from which its decode speed is sampled.
const MIN_SPEED_SAMPLE_TOKENS: u64 = 8;

/// Configuration of the choice of target.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The policy by which a target is chosen.
    pub policy: policy::Policy,
    /// Limit on this VM's calls in flight at one target, per accelerator.
    pub calls_per_accelerator: u32,
    /// Limit on the calls of all VMs at one target, per accelerator; 0 for no limit.
    pub batch_per_accelerator: u32,
    /// Initial adaptive limit on the calls of all VMs at one target, per accelerator.
    pub first_batch_per_accelerator: u32,
    /// Time between tokens above which a target's limit shrinks, in ms; 0 disables the limit.
    pub gap_ms: u64,
    /// Share of a target's limit up to which late calls are sent to it, in thousandths.
    pub late_permille: u64,
    /// Age above which a load report is ignored, in ms.
    pub report_age_ms: u64,
    /// Number of targets drawn at random, of which the best is chosen; 0 for all.
    pub sample: usize,
    /// Backlog per accelerator below which targets rank by capacity alone, in tokens.
    pub base_tokens: u64,
    /// Expected time up to which the target preferred for a prefix is chosen, in
    /// thousandths of the mean over the targets; 0 disables prefix affinity.
    pub affinity_permille: u64,
    /// Cost of one prompt token, in thousandths of a generated token.
    pub prompt_permille: u64,
    /// Consecutive failures after which a target is ejected.
    pub failures: u32,
    /// Duration of the first ejection, in ms; it doubles with every further one.
    pub ejection_ms: u64,
    /// Longest duration of an ejection, in ms.
    pub longest_ejection_ms: u64,
    /// Time after an ejection in which a target returns to its full weight, in ms.
    pub return_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: policy::Policy::Expected,
            calls_per_accelerator: 16,
            batch_per_accelerator: 0,
            first_batch_per_accelerator: 16,
            gap_ms: 50,
            late_permille: 600,
            report_age_ms: 5_000,
            sample: 0,
            base_tokens: 0,
            affinity_permille: 1_250,
            prompt_permille: 50,
            failures: 3,
            ejection_ms: 1_000,
            longest_ejection_ms: 30_000,
            return_ms: 10_000,
        }
    }
}

/// A request for a target for one call.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The item that the call needs, as [`crate::item`] writes it.
    pub item: &'a str,
    /// Tokens that the call is expected to generate.
    pub tokens: u64,
    /// Tokens of the call's prompt.
    pub prompt_tokens: u64,
    /// Hash of the prompt prefix; 0 for none.
    pub prefix: u64,
    /// Targets that must not be chosen.
    pub excluded: &'a [ids::Target],
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete, or the caller disconnected.
    Ok,
    /// The target or the connection to it failed.
    Failed,
    /// The target refused the call; this doesn't count as a failure.
    Refused,
}

/// An attempt in flight at a target.
#[derive(Clone, Debug)]
struct Flight {
    target: ids::Target,
    /// Tokens still expected, including the cost of the prompt.
    tokens: f64,
    /// Cost of the prompt in generated tokens; 0 after the first token.
    prompt: f64,
    first_token: Option<ids::Time>,
    /// When the last token arrived, or when the attempt began.
    last_token: ids::Time,
    generated: u64,
}

/// The targets of a VM and its attempts in flight at them.
#[derive(Clone, Debug)]
pub struct Table {
    pub(crate) config: Config,
    pub(crate) rows: collections::BTreeMap<ids::Target, Row>,
    /// Targets that are ready to serve each item.
    pub(crate) targets_by_item:
        collections::BTreeMap<sync::Arc<str>, collections::BTreeSet<ids::Target>>,
    /// Number of choices so far, for [`policy::Policy::RoundRobin`].
    pub(crate) turn: usize,
    flights: collections::BTreeMap<ids::Attempt, Flight>,
    reference: speed::Reference,
}

impl Table {
    /// Creates a table without targets.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            rows: collections::BTreeMap::new(),
            targets_by_item: collections::BTreeMap::new(),
            turn: 0,
            flights: collections::BTreeMap::new(),
            reference: speed::Reference::default(),
        }
    }

    /// Updates the targets from a bundle. Instances of plain services are ready immediately.
    ///
    /// A target keeps its state unless its address has changed.
    pub fn apply_bundle(
        &mut self,
        bundle: &format::Bundle,
        drained: &collections::BTreeSet<ids::Target>,
    ) {
        self.config.calls_per_accelerator = bundle.limits.calls_per_accelerator;
        let initial_limit = f64::from(self.config.first_batch_per_accelerator);
        let mut old_rows = std::mem::take(&mut self.rows);
        for runner in &bundle.runners {
            let old = old_rows.remove(&runner.name);
            let row = self.upsert_row(old, &runner.name, &runner.address, &runner.centre);
            row.power = runner.power;
            row.accelerators = runner.accelerators;
            if row.limit == 0.0 {
                row.limit = initial_limit * f64::from(runner.accelerators);
            }
        }
        for service in &bundle.services {
            for instance in &service.targets {
                let old = old_rows.remove(&instance.name);
                let row = self.upsert_row(old, &instance.name, &instance.address, &instance.centre);
                row.ready = collections::BTreeSet::from([item::service(&service.name)]);
            }
        }
        for (target, row) in &mut self.rows {
            row.drained = drained.contains(target);
        }
        self.rebuild_index();
    }

    /// Sets the items that a target is ready to serve.
    pub fn set_ready_items<'a>(
        &mut self,
        target: &ids::Target,
        items: impl IntoIterator<Item = &'a sync::Arc<str>>,
    ) {
        let Some(row) = self.rows.get_mut(target) else {
            return;
        };
        let ready = items.into_iter().map(sync::Arc::clone).collect();
        if row.ready == ready {
            return;
        }
        for item in &row.ready {
            if let Some(targets) = self.targets_by_item.get_mut(item) {
                targets.remove(target);
            }
        }
        for item in &ready {
            let targets = self.targets_by_item.entry(sync::Arc::clone(item)).or_default();
            targets.insert(target.clone());
        }
        row.ready = ready;
    }

    /// Records the load that a runner reports, and whether it is leaving.
    pub fn record_report(&mut self, now: ids::Time, target: &ids::Target, report: &engine::Report) {
        if let Some(row) = self.rows.get_mut(target) {
            row.record_report(now, report);
        }
    }

    /// Sets whether the platform or a peer says that a target is leaving.
    pub fn set_leaving(&mut self, target: &ids::Target, leaving: bool) {
        if let Some(row) = self.rows.get_mut(target) {
            row.leaving = leaving;
        }
    }

    /// Chooses a target for a new call; `None` if no target has room.
    ///
    /// The choice is deterministic in the table, the arguments and the state of
    /// the generator.
    pub fn choose<R: rand::Rng + ?Sized>(
        &mut self,
        now: ids::Time,
        request: &Request<'_>,
        rng: &mut R,
    ) -> Option<ids::Target> {
        choice::choose(self, now, request, rng)
    }

    /// Returns whether [`Self::choose`] would find a target for `item`.
    #[must_use]
    pub fn has_room(&self, now: ids::Time, item: &str, excluded: &[ids::Target]) -> bool {
        choice::has_room(self, now, item, excluded)
    }

    /// Returns whether a target for `item` has room for a late call.
    ///
    /// A part of each target's limit ([`Config::late_permille`]) is kept free for
    /// calls that can still meet the time to first token objective.
    #[must_use]
    pub fn has_spare_room(&self, now: ids::Time, item: &str, excluded: &[ids::Target]) -> bool {
        choice::has_spare_room(self, now, item, excluded)
    }

    /// Records that an attempt begins at a target.
    pub fn begin_attempt(
        &mut self,
        now: ids::Time,
        attempt: ids::Attempt,
        target: &ids::Target,
        request: &Request<'_>,
    ) {
        let prompt = self.config.prompt_cost(request.prompt_tokens);
        let tokens = request.tokens as f64 + prompt;
        if let Some(row) = self.rows.get_mut(target) {
            row.add_own_load(now, 1.0, tokens);
        }
        let flight = Flight {
            target: target.clone(),
            tokens,
            prompt,
            first_token: None,
            last_token: now,
            generated: 0,
        };
        self.flights.insert(attempt, flight);
    }

    /// Records the number of tokens that an attempt has generated since the last call.
    pub fn record_progress(&mut self, now: ids::Time, attempt: ids::Attempt, tokens: u64) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        let spent = (tokens as f64 + flight.prompt).min(flight.tokens);
        flight.tokens -= spent;
        flight.prompt = 0.0;
        let is_first = flight.first_token.is_none();
        let elapsed_ms = now.since(flight.last_token).as_secs_f64() * 1_000.0;
        flight.first_token.get_or_insert(now);
        flight.last_token = now;
        flight.generated += tokens;
        if let Some(row) = self.rows.get_mut(&flight.target) {
            row.add_own_load(now, 0.0, -spent);
            if !is_first {
                let gap_ms = elapsed_ms / tokens.max(1) as f64;
                row.record_gap(now, self.config.gap_ms, gap_ms, tokens);
            }
        }
    }

    /// Records the end of an attempt; returns whether its target was ejected for it.
    pub fn end_attempt(&mut self, now: ids::Time, attempt: ids::Attempt, outcome: Outcome) -> bool {
        let Some(flight) = self.flights.remove(&attempt) else {
            return false;
        };
        let Some(row) = self.rows.get_mut(&flight.target) else {
            return false;
        };
        if outcome == Outcome::Ok {
            update_speed(&mut self.reference, row, &flight);
        }
        row.add_own_load(now, -1.0, -flight.tokens);
        update_health(&self.config, row, now, outcome)
    }

    /// Returns the target of an attempt in flight.
    #[must_use]
    pub fn target_of(&self, attempt: ids::Attempt) -> Option<&ids::Target> {
        self.flights.get(&attempt).map(|flight| &flight.target)
    }

    /// Returns the state of a target.
    #[must_use]
    pub fn get(&self, target: &ids::Target) -> Option<&Row> {
        self.rows.get(target)
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::Target, &Row)> {
        self.rows.iter()
    }

    fn upsert_row(
        &mut self,
        old: Option<Row>,
        target: &ids::Target,
        address: &sync::Arc<str>,
        centre: &ids::Centre,
    ) -> &mut Row {
        let mut row = match old {
            Some(row) if row.address == *address => row,
            _ => Row::new(address, centre),
        };
        row.centre = centre.clone();
        self.rows.entry(target.clone()).or_insert(row)
    }

    fn rebuild_index(&mut self) {
        self.targets_by_item.clear();
        for (target, row) in &self.rows {
            for item in &row.ready {
                let targets = self.targets_by_item.entry(sync::Arc::clone(item)).or_default();
                targets.insert(target.clone());
            }
        }
    }
}

impl Config {
    /// Returns the cost of a prompt, in generated tokens.
    pub(crate) fn prompt_cost(&self, prompt_tokens: u64) -> f64 {
        prompt_tokens as f64 * self.prompt_permille as f64 / 1_000.0
    }
}

/// Updates the measured speed of a target from the decode speed of an attempt.
fn update_speed(reference: &mut speed::Reference, row: &mut Row, flight: &Flight) {
    let Some(first_token) = flight.first_token else {
        return;
    };
    if flight.generated < MIN_SPEED_SAMPLE_TOKENS {
        return;
    }
    let decode_ms = flight.last_token.since(first_token).as_secs_f64() * 1_000.0;
    let gap_ms = decode_ms / (flight.generated - 1) as f64;
    let others = row.reported.map_or(0.0, |reported| reported.others.calls);
    let load = (row.own.calls + others) / f64::from(row.accelerators.max(1));
    row.speed = reference.sample(row.speed, load, gap_ms * row.power);
}

/// Updates a target's health and ejects it after consecutive failures.
///
/// A target that is returning from an ejection is ejected again by a single
/// failure. Returns whether the target was ejected now.
fn update_health(config: &Config, row: &mut Row, now: ids::Time, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Refused => return false,
        Outcome::Ok => {
            record_success(config, &mut row.health, now);
            return false;
        }
        Outcome::Failed => row.health.failures += 1,
    }
    let is_returning = row.health.ejections > 0 && now >= row.health.until;
    let max_failures = if is_returning { 1 } else { config.failures };
    if row.health.failures < max_failures || now < row.health.until {
        return false;
    }
    let factor = 1_u64.checked_shl(row.health.ejections).unwrap_or(u64::MAX);
    let ejection_ms = config.ejection_ms.saturating_mul(factor);
    let ejection_ms = ejection_ms.min(config.longest_ejection_ms);
    row.health.until = now + time::Duration::from_millis(ejection_ms);
    row.health.ejections += 1;
    row.health.failures = 0;
    true
}

/// Resets the failures, and the ejections once the target has its full weight again.
fn record_success(config: &Config, health: &mut row::Health, now: ids::Time) {
    health.failures = 0;
    let full_weight_at = health.until + time::Duration::from_millis(config.return_ms);
    if now >= full_weight_at {
        health.ejections = 0;
    }
}
