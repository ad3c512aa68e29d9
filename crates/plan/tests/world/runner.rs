//! A simulated runner that accounts for its memory in use.

use std::sync;

use engine::{order, report};

/// Time to load a model, in ms.
const MODEL_LOAD_MS: u64 = 1_500;
/// Time to load an adapter, in ms.
const ADAPTER_LOAD_MS: u64 = 100;
/// Time for calls in flight to end before memory is freed, in ms.
const UNLOAD_MS: u64 = 700;
/// Number of past reports that are kept, one per step.
const MAX_PAST_REPORTS: usize = 10;

struct Resident {
    shown: report::Resident,
    until: ids::Time,
}

pub struct Runner {
    pub memory_mib: u64,
    pub fencing: bool,
    pub alive: bool,
    fence: ids::Fence,
    residents: Vec<Resident>,
    past_reports: Vec<(ids::Time, engine::Report)>,
}

impl Runner {
    pub fn new(declared: &bundle::format::Runner) -> Self {
        Self {
            memory_mib: declared.memory_mib,
            fencing: declared.fencing,
            alive: true,
            fence: ids::Fence::default(),
            residents: Vec::new(),
            past_reports: Vec::new(),
        }
    }

    /// Adds an item that is ready from the start.
    pub fn preload(&mut self, item: &str, version: &str, memory_mib: u64) {
        let shown = report::Resident {
            item: item.into(),
            version: version.into(),
            state: report::State::Ready,
            memory_mib,
        };
        self.residents.push(Resident { shown, until: ids::Time::default() });
    }

    pub fn used_mib(&self) -> u64 {
        self.residents.iter().map(|each| each.shown.memory_mib).sum()
    }

    pub fn has_ready(&self, item: &str, version: &str) -> bool {
        let mut all = self.residents.iter().map(|each| &each.shown);
        self.alive
            && all.any(|each| {
                *each.item == *item
                    && *each.version == *version
                    && each.state == report::State::Ready
            })
    }

    pub fn serves(&self, item: &str) -> bool {
        let ready = |item: &str| {
            let mut all = self.residents.iter().map(|each| &each.shown);
            all.any(|each| *each.item == *item && each.state == report::State::Ready)
        };
        let base = item.split(':').next().unwrap();
        self.alive && ready(item) && ready(base)
    }

    /// Number of models that are being loaded.
    pub fn loading(&self) -> usize {
        let mut models = self.residents.iter().map(|each| &each.shown).collect::<Vec<_>>();
        models.retain(|each| each.state == report::State::Loading && !each.item.contains(':'));
        models.len()
    }

    /// Stops the runner; all its residents are lost.
    pub fn die(&mut self) {
        self.alive = false;
        self.residents.clear();
        self.past_reports.clear();
    }

    pub fn step(&mut self, now: ids::Time) {
        for each in &mut self.residents {
            if each.shown.state == report::State::Loading && each.until <= now {
                each.shown.state = report::State::Ready;
            }
        }
        self.residents
            .retain(|each| each.shown.state != report::State::Unloading || each.until > now);
        let report = engine::Report {
            fence: if self.fencing { self.fence } else { ids::Fence::default() },
            residents: self.residents.iter().map(|each| each.shown.clone()).collect(),
            ..engine::Report::default()
        };
        self.past_reports.push((now, report));
        if self.past_reports.len() > MAX_PAST_REPORTS {
            self.past_reports.remove(0);
        }
    }

    /// The earliest kept report that is at most `lag_ms` old.
    pub fn report(&self, now: ids::Time, lag_ms: u64) -> Option<engine::Report> {
        let from = now.as_millis().saturating_sub(lag_ms);
        let mut past_reports = self.past_reports.iter();
        let found = past_reports.find(|(time, _)| time.as_millis() >= from)?;
        self.alive.then(|| found.1.clone())
    }

    pub fn order(&mut self, now: ids::Time, order: &engine::Order) -> order::Reply {
        if !self.alive {
            return order::Reply::Unknown;
        }
        if self.fencing && order.fence < self.fence {
            return order::Reply::Stale;
        }
        self.fence = self.fence.max(order.fence);
        match order.action {
            order::Action::Load => self.load(now, order),
            order::Action::Unload => self.unload(now, order),
        }
    }

    fn load(&mut self, now: ids::Time, order: &engine::Order) -> order::Reply {
        let base = order.item.split_once(':').map(|(model, _)| model);
        let has_base = base.is_none_or(|model| {
            let mut all = self.residents.iter().map(|each| &each.shown);
            all.any(|each| *each.item == *model && each.state == report::State::Ready)
        });
        if !has_base {
            return order::Reply::Refused;
        }
        let same =
            |each: &Resident| each.shown.item == order.item && each.shown.version == order.version;
        if self.residents.iter().any(same) {
            return order::Reply::Taken;
        }
        let wait = if base.is_some() { ADAPTER_LOAD_MS } else { MODEL_LOAD_MS };
        let shown = report::Resident {
            item: sync::Arc::clone(&order.item),
            version: sync::Arc::clone(&order.version),
            state: report::State::Loading,
            memory_mib: order.memory_mib,
        };
        let until = now + std::time::Duration::from_millis(wait);
        self.residents.push(Resident { shown, until });
        order::Reply::Taken
    }

    fn unload(&mut self, now: ids::Time, order: &engine::Order) -> order::Reply {
        for each in &mut self.residents {
            if each.shown.item == order.item
                && each.shown.version == order.version
                && each.shown.state != report::State::Unloading
            {
                each.shown.state = report::State::Unloading;
                each.until = now + std::time::Duration::from_millis(UNLOAD_MS);
            }
        }
        order::Reply::Taken
    }
}
