//! The state that a VM keeps for one target.

use std::{collections, sync, time};

/// Resolution of the history of the VM's own load, in ms.
const HISTORY_STEP_MS: u64 = 50;
/// Largest number of entries in the history of the VM's own load.
const MAX_HISTORY_ENTRIES: usize = 256;

/// Weight of one token in the moving average of the time between tokens.
const GAP_TOKEN_WEIGHT: f64 = 0.02;
/// Shortest time between two updates of the concurrency limit.
const LIMIT_UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Factor applied to the concurrency limit when tokens come too slowly.
const LIMIT_DECREASE_FACTOR: f64 = 0.9;

/// Calls in flight at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Load {
    /// Number of calls in flight.
    pub calls: f64,
    /// Tokens that these calls are still expected to need.
    pub tokens: f64,
}

/// The load that a runner's last report shows.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub(crate) struct Reported {
    /// When the report's figures were measured.
    pub(crate) taken: ids::Time,
    /// Load from all VMs.
    pub(crate) all: Load,
    /// Load from the other VMs.
    pub(crate) others: Load,
}

/// Outlier detection state: consecutive failures and ejections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub(crate) struct Health {
    /// Failures since the last success.
    pub(crate) failures: u32,
    /// Ejections since the target last had its full weight.
    pub(crate) ejections: u32,
    /// End of the last ejection; no new calls before it except a probe.
    pub(crate) until: ids::Time,
}

/// The state of one target.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Row {
    /// The socket address that the target listens on.
    pub address: sync::Arc<str>,
    /// The data centre that the target runs in.
    pub centre: ids::Centre,
    /// Declared power of one accelerator, relative to the other targets.
    pub power: f64,
    /// Number of accelerators; 1 for an instance of a plain service.
    pub accelerators: u32,
    /// Items that the target is ready to serve.
    pub ready: collections::BTreeSet<sync::Arc<str>>,
    /// Whether an operator has drained the target.
    pub drained: bool,
    /// Whether the platform or a peer says that the target is leaving.
    pub leaving: bool,
    /// Whether the target's own report says that it is leaving.
    pub says_leaving: bool,
    /// Load from this VM.
    pub own: Load,
    /// Measured decode speed, relative to the declared power.
    pub speed: f64,
    /// Concurrency limit on calls from all VMs, adapted to the time between tokens; 0 for none.
    pub limit: f64,
    /// Moving average of the time between tokens of a call, in ms; 0 before the first sample.
    pub gap_ms: f64,
    pub(crate) reported: Option<Reported>,
    pub(crate) health: Health,
    /// When the limit was last changed.
    paced: ids::Time,
    /// This VM's own load over time, to subtract it from delayed reports.
    #[serde(skip)]
    own_history: collections::VecDeque<(ids::Time, Load)>,
}

impl Row {
    pub(crate) fn new(address: &sync::Arc<str>, centre: &ids::Centre) -> Self {
        Self {
            address: sync::Arc::clone(address),
            centre: centre.clone(),
            power: 1.0,
            accelerators: 1,
            ready: collections::BTreeSet::new(),
            drained: false,
            leaving: false,
            says_leaving: false,
            own: Load::default(),
            speed: 1.0,
            limit: 0.0,
            gap_ms: 0.0,
            paced: ids::Time::default(),
            reported: None,
            health: Health::default(),
            own_history: collections::VecDeque::new(),
        }
    }

    /// Returns whether the target accepts new calls: not drained and not leaving.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !(self.drained || self.leaving || self.says_leaving)
    }

    /// Adds to this VM's own load; negative values subtract.
    pub(crate) fn add_own_load(&mut self, now: ids::Time, calls: f64, tokens: f64) {
        self.own.calls = (self.own.calls + calls).max(0.0);
        self.own.tokens = (self.own.tokens + tokens).max(0.0);
        let step = now.as_millis() / HISTORY_STEP_MS;
        match self.own_history.back_mut() {
            Some((time, load)) if time.as_millis() / HISTORY_STEP_MS == step => *load = self.own,
            _ => self.own_history.push_back((now, self.own)),
        }
        if self.own_history.len() > MAX_HISTORY_ENTRIES {
            self.own_history.pop_front();
        }
    }

    /// Records a runner's report of its load.
    ///
    /// The report lags, so the load of the other VMs is what it shows less this
    /// VM's own load at the time of the measurement.
    pub(crate) fn record_report(&mut self, now: ids::Time, report: &engine::Report) {
        let taken = ids::Time::from_millis(now.as_millis().saturating_sub(report.age_ms));
        let own = self.own_at(taken);
        let all = Load {
            calls: (report.running + report.waiting) as f64,
            tokens: report.backlog_tokens as f64,
        };
        let others = Load {
            calls: (all.calls - own.calls).max(0.0),
            tokens: (all.tokens - own.tokens).max(0.0),
        };
        self.says_leaving = report.leaving;
        self.reported = Some(Reported { taken, all, others });
    }

    /// The load from the other VMs, if there is a report no older than `max_age`.
    pub(crate) fn others(&self, now: ids::Time, max_age: time::Duration) -> Option<Load> {
        let reported = self.reported?;
        (now.since(reported.taken) <= max_age).then_some(reported.others)
    }

    /// Records that each of `tokens` tokens took `gap_ms`, and adapts the concurrency limit.
    ///
    /// The limit follows additive increase and multiplicative decrease: it grows
    /// by one call per accelerator while the moving average is at most
    /// `max_gap_ms` and the limit is nearly reached, and shrinks by a tenth when
    /// the average is larger. With a `max_gap_ms` of 0 the limit does not change.
    pub(crate) fn record_gap(&mut self, now: ids::Time, max_gap_ms: u64, gap_ms: f64, tokens: u64) {
        let sample_weight = (GAP_TOKEN_WEIGHT * tokens as f64).min(1.0);
        self.gap_ms += sample_weight * (gap_ms - self.gap_ms);
        if max_gap_ms == 0 || now.since(self.paced) < LIMIT_UPDATE_INTERVAL {
            return;
        }
        self.paced = now;
        let others = self.reported.map_or(0.0, |reported| reported.others.calls);
        let calls = self.own.calls + others;
        let min_limit = f64::from(self.accelerators);
        if self.gap_ms > max_gap_ms as f64 {
            self.limit = (self.limit.min(calls) * LIMIT_DECREASE_FACTOR).max(min_limit);
        } else if calls + min_limit >= self.limit {
            self.limit += min_limit;
        }
    }

    /// This VM's own load at an earlier moment.
    fn own_at(&self, moment: ids::Time) -> Load {
        let before = self.own_history.iter().rev().find(|(time, _)| *time <= moment);
        before.map_or_else(Load::default, |(_, load)| *load)
    }
}
