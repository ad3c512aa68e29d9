//! The targets that a VM sends calls to, and how one of them is chosen.
//!
//! The [`Table`] has one [`Row`] for each target. Rows come from the bundle
//! ([`Table::apply_bundle`]), what they offer from the planner ([`Table::set_ready_items`]),
//! their load from the VM's own calls and from lagging reports, corrected by
//! what the VM has sent and seen since they were taken.

use std::{collections, sync, time};

use bundle::format;

use crate::{choice, item, policy, row, speed};

pub use crate::row::{Load, Row};

/// Fewest tokens of a call from which a decode rate is taken.
const RATE_TOKENS: u64 = 8;

/// Knobs of the choice of target.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// How a target is chosen.
    pub policy: policy::Policy,
    /// Calls that this VM has open at one target at most, for each accelerator.
    pub calls_per_accelerator: u32,
    /// Calls of all VMs at one target at most, for each accelerator; 0 for no limit.
    pub batch_per_accelerator: u32,
    /// Calls of all VMs at one target at first, for each accelerator.
    pub first_batch_per_accelerator: u32,
    /// Time between tokens above which a target gets fewer calls, in ms; 0 for any.
    pub gap_ms: u64,
    /// Share of its calls that a target may have when a late call is sent, in thousandths.
    pub late_permille: u64,
    /// Age from which a load report counts no more, in ms.
    pub report_age_ms: u64,
    /// Number of targets drawn at random of which the best is taken; 0 for all.
    pub sample: usize,
    /// Backlog for each accelerator below which targets rank by capacity alone, in tokens.
    pub base_tokens: u64,
    /// Expected time up to which a target is taken for its prefix cache, in
    /// thousandths of the mean over the targets.
    pub affinity_permille: u64,
    /// Tokens generated in the time that one token of a prompt takes, in thousandths.
    pub prompt_permille: u64,
    /// Failures in a row after which a target is ejected.
    pub failures: u32,
    /// Length of a first ejection, in ms; it doubles with every further one.
    pub ejection_ms: u64,
    /// Length of an ejection at most, in ms.
    pub longest_ejection_ms: u64,
    /// Time in which a target comes back to its full weight, in ms.
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

/// What a target is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The item, as [`crate::item`] writes it.
    pub item: &'a str,
    /// Tokens that the call is expected to generate.
    pub tokens: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Hash of the beginning of its prompt; 0 for none.
    pub prefix: u64,
    /// Targets that are not to be chosen.
    pub excluded: &'a [ids::Target],
}

/// How a call at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With its whole answer, or because the caller had gone.
    Ok,
    /// With a failure of the target or of the way to it.
    Failed,
    /// With a refusal: the target is alive but does not take this call.
    Refused,
}

/// One call that this VM has at a target.
#[derive(Clone, Debug)]
struct Flight {
    target: ids::Target,
    /// Tokens still expected, the prompt's share included.
    tokens: f64,
    /// The prompt's share, until the first token.
    prompt: f64,
    first: Option<ids::Time>,
    last: ids::Time,
    generated: u64,
}

/// The targets of a VM and its calls there.
#[derive(Clone, Debug)]
pub struct Table {
    pub(crate) config: Config,
    pub(crate) rows: collections::BTreeMap<ids::Target, Row>,
    pub(crate) offers: collections::BTreeMap<sync::Arc<str>, collections::BTreeSet<ids::Target>>,
    pub(crate) turn: usize,
    flights: collections::BTreeMap<ids::Attempt, Flight>,
    reference: speed::Reference,
}

impl Table {
    /// A table without targets.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            rows: collections::BTreeMap::new(),
            offers: collections::BTreeMap::new(),
            turn: 0,
            flights: collections::BTreeMap::new(),
            reference: speed::Reference::default(),
        }
    }

    /// Takes the targets from a bundle. Instances of plain services are ready at once.
    pub fn apply_bundle(
        &mut self,
        bundle: &format::Bundle,
        drained: &collections::BTreeSet<ids::Target>,
    ) {
        self.config.calls_per_accelerator = bundle.limits.calls_per_accelerator;
        let first = f64::from(self.config.first_batch_per_accelerator);
        let mut known = std::mem::take(&mut self.rows);
        for runner in &bundle.runners {
            let old = known.remove(&runner.name);
            let row = self.renew(old, &runner.name, &runner.address, &runner.centre);
            row.power = runner.power;
            row.accelerators = runner.accelerators;
            if row.limit == 0.0 {
                row.limit = first * f64::from(runner.accelerators);
            }
        }
        for service in &bundle.services {
            for instance in &service.targets {
                let old = known.remove(&instance.name);
                let row = self.renew(old, &instance.name, &instance.address, &instance.centre);
                row.ready = collections::BTreeSet::from([item::service(&service.name)]);
            }
        }
        for (target, row) in &mut self.rows {
            row.drained = drained.contains(target);
        }
        self.index();
    }

    /// Says what a target is ready to serve.
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
            if let Some(targets) = self.offers.get_mut(item) {
                targets.remove(target);
            }
        }
        for item in &ready {
            let targets = self.offers.entry(sync::Arc::clone(item)).or_default();
            targets.insert(target.clone());
        }
        row.ready = ready;
    }

    /// Takes in the load that a runner reports, and whether it is leaving.
    pub fn record_report(&mut self, now: ids::Time, target: &ids::Target, report: &engine::Report) {
        if let Some(row) = self.rows.get_mut(target) {
            row.record_report(now, report);
        }
    }

    /// Notes whether the platform or a peer says that a target is leaving.
    pub fn set_leaving(&mut self, target: &ids::Target, leaving: bool) {
        if let Some(row) = self.rows.get_mut(target) {
            row.leaving = leaving;
        }
    }

    /// Chooses a target for a new call, or none if none has room.
    ///
    /// The same table, arguments and generator always give the same choice.
    pub fn choose<R: rand::Rng + ?Sized>(
        &mut self,
        now: ids::Time,
        request: &Request<'_>,
        rng: &mut R,
    ) -> Option<ids::Target> {
        choice::choose(self, now, request, rng)
    }

    /// Whether [`Self::choose`] would find a target for `item`.
    #[must_use]
    pub fn has_room(&self, now: ids::Time, item: &str, excluded: &[ids::Target]) -> bool {
        choice::has_room(self, now, item, excluded)
    }

    /// Whether a target for `item` has more room than calls in time may soon need.
    #[must_use]
    pub fn has_spare_room(&self, now: ids::Time, item: &str, excluded: &[ids::Target]) -> bool {
        choice::has_spare_room(self, now, item, excluded)
    }

    /// Counts a call that begins at a target.
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
            row.change(now, 1.0, tokens);
        }
        let flight =
            Flight { target: target.clone(), tokens, prompt, first: None, last: now, generated: 0 };
        self.flights.insert(attempt, flight);
    }

    /// Counts tokens that a call has generated since the last time.
    pub fn record_progress(&mut self, now: ids::Time, attempt: ids::Attempt, tokens: u64) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        let spent = (tokens as f64 + flight.prompt).min(flight.tokens);
        flight.tokens -= spent;
        flight.prompt = 0.0;
        let is_first = flight.first.is_none();
        let passed = now.since(flight.last).as_secs_f64() * 1_000.0;
        flight.first.get_or_insert(now);
        flight.last = now;
        flight.generated += tokens;
        if let Some(row) = self.rows.get_mut(&flight.target) {
            row.change(now, 0.0, -spent);
            if !is_first {
                let gap_ms = passed / tokens.max(1) as f64;
                row.pace(now, self.config.gap_ms, gap_ms, tokens);
            }
        }
    }

    /// Counts the end of a call; whether its target was ejected for it.
    pub fn end_attempt(&mut self, now: ids::Time, attempt: ids::Attempt, outcome: Outcome) -> bool {
        let Some(flight) = self.flights.remove(&attempt) else {
            return false;
        };
        let Some(row) = self.rows.get_mut(&flight.target) else {
            return false;
        };
        if outcome == Outcome::Ok {
            measure(&mut self.reference, row, &flight);
        }
        row.change(now, -1.0, -flight.tokens);
        judge(&self.config, row, now, outcome)
    }

    /// The target where a call was begun and has not ended.
    #[must_use]
    pub fn target_of(&self, attempt: ids::Attempt) -> Option<&ids::Target> {
        self.flights.get(&attempt).map(|flight| &flight.target)
    }

    /// What is known of a target.
    #[must_use]
    pub fn get(&self, target: &ids::Target) -> Option<&Row> {
        self.rows.get(target)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::Target, &Row)> {
        self.rows.iter()
    }

    fn renew(
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

    fn index(&mut self) {
        self.offers.clear();
        for (target, row) in &self.rows {
            for item in &row.ready {
                let targets = self.offers.entry(sync::Arc::clone(item)).or_default();
                targets.insert(target.clone());
            }
        }
    }
}

impl Config {
    /// What a prompt takes, in tokens generated.
    pub(crate) fn prompt_cost(&self, prompt_tokens: u64) -> f64 {
        prompt_tokens as f64 * self.prompt_permille as f64 / 1_000.0
    }
}

/// Takes a call's decode rate into the speed of its target.
fn measure(reference: &mut speed::Reference, row: &mut Row, flight: &Flight) {
    let Some(first) = flight.first else {
        return;
    };
    if flight.generated < RATE_TOKENS {
        return;
    }
    let decode = flight.last.since(first).as_secs_f64() * 1_000.0;
    let gap_ms = decode / (flight.generated - 1) as f64;
    let others = row.reported.map_or(0.0, |reported| reported.others.calls);
    let load = (row.own.calls + others) / f64::from(row.accelerators.max(1));
    row.speed = reference.sample(row.speed, load, gap_ms * row.power);
}

/// Ejects a target after failures in a row; whether it was ejected now.
fn judge(config: &Config, row: &mut Row, now: ids::Time, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Refused => return false,
        Outcome::Ok => {
            recover(config, &mut row.health, now);
            return false;
        }
        Outcome::Failed => row.health.failures += 1,
    }
    let returning = row.health.ejections > 0 && now >= row.health.until;
    let limit = if returning { 1 } else { config.failures };
    if row.health.failures < limit || now < row.health.until {
        return false;
    }
    let factor = 1_u64.checked_shl(row.health.ejections).unwrap_or(u64::MAX);
    let length = config.ejection_ms.saturating_mul(factor);
    let length = length.min(config.longest_ejection_ms);
    row.health.until = now + time::Duration::from_millis(length);
    row.health.ejections += 1;
    row.health.failures = 0;
    true
}

/// Forgets failures, and ejections once the target is back at full weight.
fn recover(config: &Config, health: &mut row::Health, now: ids::Time) {
    health.failures = 0;
    let full = health.until + time::Duration::from_millis(config.return_ms);
    if now >= full {
        health.ejections = 0;
    }
}
