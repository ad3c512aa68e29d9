//! What the planner keeps about one runner.

use std::{collections, sync, time};

use crate::{config, output::Verb, target};

/// Time without use after which an adapter may make way.
const ADAPTER_IDLE_AFTER: time::Duration = time::Duration::from_millis(1_500);

/// An order that is to be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Task {
    pub(crate) verb: Verb,
    pub(crate) model: ids::Model,
    pub(crate) adapter: Option<ids::Adapter>,
    /// When it may be given.
    pub(crate) at: ids::Time,
    pub(crate) is_fetch: bool,
}

impl Task {
    pub(crate) fn item(&self) -> sync::Arc<str> {
        route::item::model(&self.model, self.adapter.as_ref())
    }
}

/// What is under way at a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Idle,
    /// An order was sent.
    Ordered {
        op: ids::Op,
        sent: ids::Time,
        task: Task,
    },
    /// A report is needed before anything else; asked for at this moment.
    AwaitingReport {
        ask_at: ids::Time,
        asked_at: Option<ids::Time>,
    },
}

/// A runner as the planner keeps it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) born: u64,
    /// Orders that it has accepted; none before the first report.
    pub(crate) orders: Option<u64>,
    pub(crate) models: collections::BTreeMap<ids::Model, collections::BTreeSet<ids::Adapter>>,
    /// A model on its way, and when it is expected.
    pub(crate) loading: Option<(ids::Model, ids::Time)>,
    pub(crate) is_busy: bool,
    pub(crate) stage: Stage,
    pub(crate) tasks: collections::VecDeque<Task>,
    pub(crate) backoff_until: ids::Time,
    /// When each adapter was last in use.
    pub(crate) adapter_uses: collections::BTreeMap<sync::Arc<str>, ids::Time>,
}

impl Record {
    pub(crate) fn new(now: ids::Time, entry: &target::Entry) -> Self {
        Self {
            born: entry.born,
            orders: None,
            models: entry.models.clone(),
            loading: None,
            is_busy: false,
            stage: Stage::AwaitingReport { ask_at: now, asked_at: None },
            tasks: collections::VecDeque::new(),
            backoff_until: ids::Time::default(),
            adapter_uses: collections::BTreeMap::new(),
        }
    }

    pub(crate) fn adapters(&self) -> usize {
        self.models.values().map(collections::BTreeSet::len).sum()
    }

    pub(crate) fn taken_mb(&self, engine: &config::Engine) -> f64 {
        self.models
            .iter()
            .filter_map(|(model, adapters)| {
                let spec = engine.models.get(model)?;
                Some(spec.weights_mb + adapters.len() as f64 * spec.adapter_mb)
            })
            .sum()
    }

    pub(crate) fn is_free(&self, now: ids::Time) -> bool {
        self.stage == Stage::Idle
            && self.tasks.is_empty()
            && !self.is_busy
            && self.loading.is_none()
            && now >= self.backoff_until
    }

    /// The adapter that was not used for longest, if it is idle.
    pub(crate) fn least_recent_adapter(
        &self,
        now: ids::Time,
    ) -> Option<(ids::Model, ids::Adapter)> {
        let mut least_recent: Option<(ids::Time, (ids::Model, ids::Adapter))> = None;
        for (model, adapters) in &self.models {
            for adapter in adapters {
                let item = route::item::model(model, Some(adapter));
                let last_use = self.adapter_uses.get(&item).copied().unwrap_or_default();
                let is_idle = now.since(last_use) >= ADAPTER_IDLE_AFTER;
                if is_idle && least_recent.as_ref().is_none_or(|(earliest, _)| last_use < *earliest)
                {
                    least_recent = Some((last_use, (model.clone(), adapter.clone())));
                }
            }
        }
        least_recent.map(|(_, found)| found)
    }
}
