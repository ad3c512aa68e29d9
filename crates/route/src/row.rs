//! What a VM knows of one target.

use std::{collections, sync, time};

/// Resolution of the record of own work, in ms.
const RECORD_STEP_MS: u64 = 50;
/// Most entries of the record of own work.
const RECORD_ENTRIES: usize = 256;

/// Share of the time of one token in the recent time between tokens.
const GAP_SHARE: f64 = 0.02;
/// Time between two changes of the limit on calls.
const PACE_STEP: time::Duration = time::Duration::from_millis(500);
/// What is left of the limit when the pace does not hold.
const LESS: f64 = 0.9;

/// Load that is on its way at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Load {
    /// Calls begun and not ended.
    pub calls: f64,
    /// Tokens that they are still expected to take.
    pub tokens: f64,
}

/// A report as it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub(crate) struct Reported {
    /// When its figures were taken.
    pub(crate) taken: ids::Time,
    /// All work at the target, that of other VMs too.
    pub(crate) all: Load,
    /// The part that is not this VM's.
    pub(crate) others: Load,
}

/// Failures in a row and what follows from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub(crate) struct Health {
    /// Failures since the last success.
    pub(crate) failures: u32,
    /// Ejections since the target was last back at full weight.
    pub(crate) ejections: u32,
    /// No new calls before this moment.
    pub(crate) until: ids::Time,
}

/// A target as this VM knows it.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Row {
    /// Where it listens: IP number and port.
    pub address: sync::Arc<str>,
    /// Data centre where it runs.
    pub centre: ids::Centre,
    /// Declared power of one accelerator, relative to the other targets.
    pub power: f64,
    /// Number of accelerators; 1 for an instance of a plain service.
    pub accelerators: u32,
    /// What it is ready to serve.
    pub ready: collections::BTreeSet<sync::Arc<str>>,
    /// Whether an operator has drained it.
    pub drained: bool,
    /// Whether the platform or a peer says that it is leaving.
    pub leaving: bool,
    /// Whether it says of itself that it is leaving.
    pub says_leaving: bool,
    /// Load that this VM has there.
    pub own: Load,
    /// Power as measured, relative to the declared one.
    pub speed: f64,
    /// Calls of all VMs that it may have, as far as its pace allows more.
    pub limit: f64,
    /// Recent time between tokens of a call, in ms; 0 before the first token.
    pub gap_ms: f64,
    pub(crate) reported: Option<Reported>,
    pub(crate) health: Health,
    /// When the limit was last changed.
    paced: ids::Time,
    #[serde(skip)]
    record: collections::VecDeque<(ids::Time, Load)>,
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
            record: collections::VecDeque::new(),
        }
    }

    /// Whether it may be given new calls at all.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !(self.drained || self.leaving || self.says_leaving)
    }

    /// Changes the record of own work.
    pub(crate) fn change(&mut self, now: ids::Time, calls: f64, tokens: f64) {
        self.own.calls = (self.own.calls + calls).max(0.0);
        self.own.tokens = (self.own.tokens + tokens).max(0.0);
        let step = now.as_millis() / RECORD_STEP_MS;
        match self.record.back_mut() {
            Some((time, work)) if time.as_millis() / RECORD_STEP_MS == step => *work = self.own,
            _ => self.record.push_back((now, self.own)),
        }
        if self.record.len() > RECORD_ENTRIES {
            self.record.pop_front();
        }
    }

    /// Takes in a report of all work at the target.
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

    /// The work of other VMs, as far as a report no older than `limit` shows it.
    pub(crate) fn others(&self, now: ids::Time, limit: time::Duration) -> Option<Load> {
        let reported = self.reported?;
        (now.since(reported.taken) <= limit).then_some(reported.others)
    }

    /// Takes in the time that each of `tokens` tokens took, and adapts the limit
    /// on calls: a call more while the pace holds and the limit binds, a tenth
    /// less when it does not hold. `longest_ms` is 0 for any pace.
    pub(crate) fn pace(&mut self, now: ids::Time, longest_ms: u64, gap_ms: f64, tokens: u64) {
        let share = (GAP_SHARE * tokens as f64).min(1.0);
        self.gap_ms += share * (gap_ms - self.gap_ms);
        if longest_ms == 0 || now.since(self.paced) < PACE_STEP {
            return;
        }
        self.paced = now;
        let others = self.reported.map_or(0.0, |reported| reported.others.calls);
        let calls = self.own.calls + others;
        let least = f64::from(self.accelerators);
        if self.gap_ms > longest_ms as f64 {
            self.limit = (self.limit.min(calls) * LESS).max(least);
        } else if calls + least >= self.limit {
            self.limit += least;
        }
    }

    /// Load that this VM had there at an earlier moment.
    fn own_at(&self, moment: ids::Time) -> Load {
        let before = self.record.iter().rev().find(|(time, _)| *time <= moment);
        before.map_or_else(Load::default, |(_, work)| *work)
    }
}
