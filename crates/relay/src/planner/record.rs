//! The planner's record of one runner.

use std::{collections, sync, time};

use crate::{config, output::Verb, target};

/// Time without use after which an adapter may be evicted.
const ADAPTER_IDLE_AFTER: time::Duration = time::Duration::from_millis(1_500);

/// A planned order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Task {
    pub(crate) verb: Verb,
    pub(crate) model: ids::Model,
    pub(crate) adapter: Option<ids::Adapter>,
    /// Earliest time at which it may be sent.
    pub(crate) at: ids::Time,
    pub(crate) is_fetch: bool,
}

impl Task {
    pub(crate) fn item(&self) -> sync::Arc<str> {
        route::item::model(&self.model, self.adapter.as_ref())
    }
}

/// State of the communication with a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Idle,
    /// An order is in flight.
    Ordered {
        op: ids::Op,
        sent: ids::Time,
        task: Task,
    },
    /// The runner's state is uncertain: a report is needed before the next order. It is
    /// requested at `ask_at`; `asked_at` is the time of the request in flight.
    AwaitingReport {
        ask_at: ids::Time,
        asked_at: Option<ids::Time>,
    },
}

/// State of a runner as known to the planner.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) born: u64,
    /// Number of orders that it has accepted; `None` before the first report.
    pub(crate) orders: Option<u64>,
    pub(crate) models: collections::BTreeMap<ids::Model, collections::BTreeSet<ids::Adapter>>,
    /// Model being loaded, and the expected end of the load.
    pub(crate) loading: Option<(ids::Model, ids::Time)>,
    pub(crate) is_busy: bool,
    pub(crate) stage: Stage,
    pub(crate) tasks: collections::VecDeque<Task>,
    pub(crate) backoff_until: ids::Time,
    /// Whether its data centre is drained: it is sent neither orders nor report requests.
    pub(crate) is_drained: bool,
    /// Last use of each adapter.
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
            is_drained: false,
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

    /// The least recently used adapter that is idle.
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

/// Expected duration of a load of `model` at `target`.
pub(crate) fn load_time(
    config: &config::Config,
    targets: &target::Table,
    target: &ids::Target,
    model: &ids::Model,
) -> time::Duration {
    let Some(row) = targets.get(target) else {
        return time::Duration::ZERO;
    };
    let engine = config.services.get(&row.entry.service).and_then(|found| found.engine.as_ref());
    let Some(spec) = engine.and_then(|engine| engine.models.get(model)) else {
        return time::Duration::ZERO;
    };
    if row.entry.warm.contains(model) {
        spec.warm
    } else if row.entry.on_disk.contains(model) {
        spec.disk
    } else {
        spec.load
    }
}
