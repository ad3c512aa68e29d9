//! What a VM knows of one target.

use std::{collections, sync, time};

/// Resolution of the record of own work, in ms.
const RECORD_STEP_MS: u64 = 50;
/// Most entries of the record of own work.
const RECORD_ENTRIES: usize = 256;

/// Work that is on its way at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Work {
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
    pub(crate) all: Work,
    /// The part that is not this VM's.
    pub(crate) others: Work,
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
    /// Work that this VM has there.
    pub own: Work,
    /// Power as measured, relative to the declared one.
    pub speed: f64,
    pub(crate) reported: Option<Reported>,
    pub(crate) health: Health,
    #[serde(skip)]
    record: collections::VecDeque<(ids::Time, Work)>,
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
            own: Work::default(),
            speed: 1.0,
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
    pub(crate) fn report(&mut self, now: ids::Time, report: &engine::Report) {
        let taken = ids::Time::from_millis(now.as_millis().saturating_sub(report.age_ms));
        let own = self.own_at(taken);
        let all = Work {
            calls: (report.running + report.waiting) as f64,
            tokens: report.backlog_tokens as f64,
        };
        let others = Work {
            calls: (all.calls - own.calls).max(0.0),
            tokens: (all.tokens - own.tokens).max(0.0),
        };
        self.says_leaving = report.leaving;
        self.reported = Some(Reported { taken, all, others });
    }

    /// The work of other VMs, as far as a report no older than `limit` shows it.
    pub(crate) fn others(&self, now: ids::Time, limit: time::Duration) -> Option<Work> {
        let reported = self.reported?;
        (now.since(reported.taken) <= limit).then_some(reported.others)
    }

    /// Work that this VM had there at an earlier moment.
    fn own_at(&self, moment: ids::Time) -> Work {
        let before = self.record.iter().rev().find(|(time, _)| *time <= moment);
        before.map_or_else(Work::default, |(_, work)| *work)
    }
}
