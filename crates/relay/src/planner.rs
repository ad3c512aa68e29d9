//! Sends orders to runners, one at a time per runner, while this VM holds the lease.
//!
//! A record per runner (`record::Record`) tracks the state of the runner at a given
//! count of accepted orders, and the orders sent since. Each order carries the count
//! that it was decided for, so that the runner rejects an order that arrives late or
//! after another one. Memory that an order of unknown outcome may occupy counts as
//! used until a report shows the result.
//!
//! Records are updated from reports only: the runners' entries in the store carry no
//! order count, and lag behind a load that has just finished.

mod record;

use std::{collections, sync, time};

use crate::{
    config,
    input::{Reply, Report},
    lease,
    output::{Order, Output, Verb},
    peer, placement, target,
};

/// Interval between decisions about models.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Delay between the announcement of an eviction and the order, in which VMs stop
/// sending calls for the model to the runner.
const EVICTION_NOTICE: time::Duration = time::Duration::from_millis(200);
/// Timeout of an order or a report request.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Maximum age of a runner's report: it shows the state of 100 ms ago.
const REPORT_LAG: time::Duration = time::Duration::from_millis(120);
/// Interval between report requests to a runner that is executing an order.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Time to load a small adapter: the data sheets give 6 to 19 ms.
const ADAPTER_LOAD_TIME: time::Duration = time::Duration::from_millis(30);
/// How long a runner that refused an order is sent no further ones.
const REFUSAL_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Time after which an adapter request expires unless it is repeated.
const REQUEST_LIFETIME: time::Duration = time::Duration::from_millis(600);
/// Burst of loads from the weight store beyond those of one planning interval; the
/// platform tolerates three.
const FETCH_BURST: f64 = 2.0;
/// Fraction of the weight store's rate that is used.
const FETCH_SHARE: f64 = 0.95;

/// Inputs of a planner tick.
#[derive(Debug)]
pub struct View<'a> {
    /// The configuration in force.
    pub config: &'a config::Config,
    /// The targets.
    pub targets: &'a target::Table,
    /// Demand per model, in busy runners. The planner sums the entries of all VMs.
    pub demand: &'a [(ids::Service, ids::Model, f64)],
    /// Adapters in use on each target, from all VMs.
    pub adapters: &'a [(ids::Target, sync::Arc<str>)],
    /// The fencing token of the orders.
    pub fence: ids::Fence,
}

/// A request to load an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AdapterRequest {
    service: ids::Service,
    model: ids::Model,
    adapter: ids::Adapter,
    /// Whether runners already offer it, but none of them has free capacity.
    is_offered: bool,
}

/// Decides on orders to the runners.
#[derive(Clone, Debug)]
pub struct Planner {
    records: collections::BTreeMap<ids::Target, record::Record>,
    requests: collections::BTreeMap<AdapterRequest, ids::Time>,
    /// Announcements to VMs that take effect at a later time.
    pending_news: Vec<(ids::Time, peer::Placed)>,
    next_plan: ids::Time,
    fetch_tokens: f64,
    refilled_at: ids::Time,
}

impl Planner {
    /// Creates a planner without records. A previous planner may just have started
    /// loads, so the budget of loads from the weight store starts empty.
    #[must_use]
    pub fn new(now: ids::Time) -> Self {
        Self {
            records: collections::BTreeMap::new(),
            requests: collections::BTreeMap::new(),
            pending_news: Vec::new(),
            next_plan: now,
            fetch_tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Records that an adapter is requested: no runner holds it, or, if it
    /// `is_offered`, none of those that do has free capacity.
    pub fn request_adapter(
        &mut self,
        now: ids::Time,
        service: &ids::Service,
        model: &ids::Model,
        adapter: &ids::Adapter,
        is_offered: bool,
    ) {
        let (service, model, adapter) = (service.clone(), model.clone(), adapter.clone());
        let request = AdapterRequest { service, model, adapter, is_offered };
        self.requests.insert(request, now);
    }

    /// Earliest expected end of a load of `model` in progress.
    #[must_use]
    pub fn expected_at(&self, model: &ids::Model) -> Option<ids::Time> {
        let usable = self.records.values().filter(|record| !record.is_drained);
        let loading = usable.filter_map(|record| record.loading.as_ref());
        loading.filter(|(loading, _)| loading == model).map(|(_, at)| *at).min()
    }

    /// Describes the contents of a runner according to its record, for the log.
    #[must_use]
    pub fn describe_held(&self, target: &ids::Target, config: &config::Config) -> String {
        let Some(record) = self.records.get(target) else {
            return "nothing known".to_owned();
        };
        let engines = config.services.values().filter_map(|service| service.engine.as_ref());
        let taken = engines.map(|engine| record.taken_mb(engine)).fold(0.0, f64::max);
        let models: Vec<_> = record
            .models
            .iter()
            .map(|(model, adapters)| format!("{model}+{}", adapters.len()))
            .collect();
        format!("{taken:.0} MB: {}", models.join(" "))
    }

    /// Emits the orders that are due, and returns the changes to announce to all VMs.
    pub fn tick(
        &mut self,
        now: ids::Time,
        view: &View<'_>,
        mut next_op: impl FnMut() -> ids::Op,
        out: &mut Vec<Output>,
    ) -> Vec<peer::Placed> {
        let mut placed = self.due_news(now);
        self.sync(now, view);
        self.request_reports(now, view, out);
        if now >= self.next_plan {
            self.next_plan = now + PLAN_INTERVAL;
            self.plan_models(now, view, &mut placed);
        }
        self.place_adapters(now, view, &mut placed);
        self.send_orders(now, view, &mut next_op, out);
        placed
    }

    fn due_news(&mut self, now: ids::Time) -> Vec<peer::Placed> {
        let (due_news, pending_news) =
            std::mem::take(&mut self.pending_news).into_iter().partition(|(at, _)| *at <= now);
        self.pending_news = pending_news;
        let due_news: Vec<(ids::Time, peer::Placed)> = due_news;
        due_news.into_iter().map(|(_, placed)| placed).collect()
    }

    /// Updates the set of records from the targets, and the last use of adapters.
    fn sync(&mut self, now: ids::Time, view: &View<'_>) {
        self.records.retain(|target, record| {
            view.targets.get(target).is_some_and(|row| row.entry.born == record.born)
        });
        for row in view.targets.iter() {
            let entry = &row.entry;
            if view.config.services.get(&entry.service).is_none_or(|found| found.engine.is_none()) {
                continue;
            }
            let record = self
                .records
                .entry(entry.target.clone())
                .or_insert_with(|| record::Record::new(now, entry));
            record.is_drained = view.targets.is_drained(row);
            if row.is_leaving() || record.is_drained {
                record.tasks.clear();
            }
        }
        for (target, item) in view.adapters {
            if let Some(record) = self.records.get_mut(target) {
                record.adapter_uses.insert(sync::Arc::clone(item), now);
            }
        }
    }

    /// Requests reports from runners whose state is uncertain.
    fn request_reports(&mut self, now: ids::Time, view: &View<'_>, out: &mut Vec<Output>) {
        for (target, record) in self.records.iter_mut().filter(|(_, record)| !record.is_drained) {
            if let record::Stage::Ordered { sent, .. } = &record.stage
                && now.since(*sent) > ANSWER_TIMEOUT
            {
                record.stage = record::Stage::AwaitingReport { ask_at: now, asked_at: None };
            }
            let due_load = record.loading.as_ref().is_some_and(|(_, at)| now >= *at);
            if record.stage == record::Stage::Idle
                && (due_load || (record.is_busy && record.loading.is_none()))
            {
                record.stage = record::Stage::AwaitingReport { ask_at: now, asked_at: None };
            }
            let record::Stage::AwaitingReport { ask_at, asked_at } = &mut record.stage else {
                continue;
            };
            if !view.targets.get(target).is_some_and(|row| row.takes_requests(now)) {
                continue;
            }
            let is_overdue = asked_at.is_some_and(|asked_at| now.since(asked_at) > ANSWER_TIMEOUT);
            if (asked_at.is_none() && now >= *ask_at) || is_overdue {
                *asked_at = Some(now);
                if let Some(row) = view.targets.get(target) {
                    let address = sync::Arc::clone(&row.entry.address);
                    let born = row.entry.born;
                    out.push(Output::Report { target: target.clone(), born, address });
                }
            }
        }
    }

    /// Handles a report, or `None` if the request failed. Returns a change to announce.
    pub fn reported(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        report: Option<&Report>,
    ) -> Option<peer::Placed> {
        let record = self.records.get_mut(target)?;
        let Some(report) = report else {
            record.stage =
                record::Stage::AwaitingReport { ask_at: now + REPORT_INTERVAL, asked_at: None };
            return None;
        };
        if report.born != 0 && report.born != record.born {
            return None;
        }
        // Reports are about 100 ms old: one from before the last order is of no use.
        let orders = record.orders.unwrap_or(report.orders);
        if report.orders < orders {
            record.stage =
                record::Stage::AwaitingReport { ask_at: now + REPORT_INTERVAL, asked_at: None };
            return None;
        }
        if report.orders > orders {
            record.loading = None;
        }
        record.orders = Some(report.orders);
        record.is_busy = report.is_busy;
        record.models.clone_from(&report.models);
        record.stage = record::Stage::Idle;
        let (model, _) = record.loading.clone()?;
        if report.models.contains_key(&model) {
            record.loading = None;
            let item = route::item::model(&model, None);
            return Some(peer::Placed { target: target.clone(), item, present: true });
        }
        if report.is_busy {
            record.models.entry(model).or_default();
            record.stage =
                record::Stage::AwaitingReport { ask_at: now + REPORT_INTERVAL, asked_at: None };
        } else {
            // The load has ended without the model being there.
            record.loading = None;
        }
        None
    }

    /// Handles the reply to an order; returns the runner and the outcome for the log.
    pub fn ordered(
        &mut self,
        now: ids::Time,
        config: &config::Config,
        targets: &target::Table,
        op: ids::Op,
        reply: Reply,
    ) -> Option<(ids::Target, &'static str)> {
        let is_awaiting = |record: &record::Record| matches!(&record.stage, record::Stage::Ordered { op: own, .. } if *own == op);
        let (target, record) = self.records.iter_mut().find(|(_, record)| is_awaiting(record))?;
        let record::Stage::Ordered { task, .. } =
            std::mem::replace(&mut record.stage, record::Stage::Idle)
        else {
            return None;
        };
        let target = target.clone();
        let outcome = match reply {
            Reply::Accepted | Reply::Holds => {
                self.apply_accepted(now, config, targets, &target, task, reply);
                "accepted"
            }
            Reply::Conflict => {
                record.tasks.clear();
                record.stage = record::Stage::AwaitingReport { ask_at: now, asked_at: None };
                "conflict"
            }
            Reply::Refused => {
                record.tasks.clear();
                record.backoff_until = now + REFUSAL_BACKOFF;
                record.stage = record::Stage::AwaitingReport { ask_at: now, asked_at: None };
                "refused"
            }
            Reply::Unknown => {
                record.tasks.clear();
                // The load may have been executed: count its memory until the next report.
                if task.verb == Verb::Load {
                    let held = record.models.entry(task.model).or_default();
                    held.extend(task.adapter);
                }
                record.stage =
                    record::Stage::AwaitingReport { ask_at: now + REPORT_LAG, asked_at: None };
                "unknown"
            }
        };
        Some((target, outcome))
    }

    fn apply_accepted(
        &mut self,
        now: ids::Time,
        config: &config::Config,
        targets: &target::Table,
        target: &ids::Target,
        task: record::Task,
        reply: Reply,
    ) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        // A runner replies to an immediate unload as if the adapter was not loaded, but
        // counts the order.
        let is_counted =
            reply == Reply::Accepted || (task.adapter.is_some() && task.verb == Verb::Unload);
        record.orders = record.orders.map(|orders| orders + u64::from(is_counted));
        let item = task.item();
        let placed = |present| peer::Placed { target: target.clone(), item, present };
        match (task.verb, task.adapter) {
            (Verb::Load, Some(adapter)) => {
                record.models.entry(task.model).or_default().insert(adapter);
                self.pending_news.push((now + ADAPTER_LOAD_TIME, placed(true)));
            }
            (Verb::Load, None) => {
                record.models.entry(task.model.clone()).or_default();
                if reply == Reply::Accepted {
                    let takes = record::load_time(config, targets, target, &task.model);
                    record.loading = Some((task.model, now + takes));
                    record.is_busy = true;
                } else {
                    self.pending_news.push((now, placed(true)));
                }
            }
            (Verb::Unload, Some(adapter)) => {
                if let Some(held) = record.models.get_mut(&task.model) {
                    held.remove(&adapter);
                }
            }
            (Verb::Unload, None) => {
                record.models.remove(&task.model);
                record.is_busy = reply == Reply::Accepted;
            }
        }
    }

    /// Decides which models to load next, for each service.
    fn plan_models(&mut self, now: ids::Time, view: &View<'_>, placed: &mut Vec<peer::Placed>) {
        for service in view.config.services.values() {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.refill(now, engine);
            while let Some(chosen) = self.snapshot(now, view, service, engine).next_move() {
                self.fetch_tokens -= f64::from(u8::from(chosen.is_fetch));
                self.queue_move(now, chosen, placed);
            }
        }
    }

    fn refill(&mut self, now: ids::Time, engine: &config::Engine) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let more = passed * engine.loads_per_second * FETCH_SHARE;
        let between = PLAN_INTERVAL.as_secs_f64() * engine.loads_per_second * FETCH_SHARE;
        self.fetch_tokens = (self.fetch_tokens + more).min(FETCH_BURST + between);
    }

    fn snapshot<'a>(
        &self,
        now: ids::Time,
        view: &View<'_>,
        service: &config::Service,
        engine: &'a config::Engine,
    ) -> placement::Snapshot<'a> {
        let mut runners = Vec::new();
        for row in view.targets.open(&service.name) {
            let Some(record) = self.records.get(&row.entry.target) else {
                continue;
            };
            let planned = record.tasks.iter().filter(|task| task.adapter.is_none());
            let mut models: collections::BTreeSet<_> = record.models.keys().cloned().collect();
            for task in planned {
                match task.verb {
                    Verb::Load => models.insert(task.model.clone()),
                    Verb::Unload => models.remove(&task.model),
                };
            }
            // Calls for models that only this runner holds would wait for its pauses.
            if row.pause.is_long(now) {
                models.clear();
            }
            let cached = row.entry.warm.union(&row.entry.on_disk).cloned().collect();
            runners.push(placement::Runner {
                target: row.entry.target.clone(),
                free_mb: engine.memory_mb - record.taken_mb(engine),
                models,
                cached,
                is_free: record.is_free(now)
                    && row.health.is_healthy(now)
                    && row.takes_requests(now),
                speed: row.speed.map_or(1.0, |speed| speed.median / speed.prefill),
            });
        }
        let own = view.demand.iter().filter(|(name, _, _)| *name == service.name);
        let mut demand = collections::BTreeMap::new();
        for (_, model, work) in own {
            *demand.entry(model.clone()).or_insert(0.0) += work;
        }
        placement::Snapshot { runners, demand, engine, may_fetch: self.fetch_tokens >= 1.0 }
    }

    fn queue_move(
        &mut self,
        now: ids::Time,
        chosen: placement::Move,
        placed: &mut Vec<peer::Placed>,
    ) {
        let Some(record) = self.records.get_mut(&chosen.target) else {
            return;
        };
        let at = if chosen.evict.is_empty() { now } else { now + EVICTION_NOTICE };
        for model in chosen.evict {
            placed.push(peer::Placed {
                target: chosen.target.clone(),
                item: route::item::model(&model, None),
                present: false,
            });
            let verb = Verb::Unload;
            record.tasks.push_back(record::Task {
                verb,
                model,
                adapter: None,
                at,
                is_fetch: false,
            });
        }
        let is_fetch = chosen.is_fetch;
        let verb = Verb::Load;
        record.tasks.push_back(record::Task {
            verb,
            model: chosen.load,
            adapter: None,
            at,
            is_fetch,
        });
    }

    /// Selects a runner for each requested adapter.
    fn place_adapters(&mut self, now: ids::Time, view: &View<'_>, placed: &mut Vec<peer::Placed>) {
        self.requests.retain(|_, at| now.since(*at) < REQUEST_LIFETIME);
        let requests: Vec<_> = self.requests.keys().cloned().collect();
        for request in requests {
            if self.place_adapter(now, view, &request, placed) {
                self.requests.remove(&request);
            }
        }
    }

    /// Selects a runner for an adapter. Returns whether the request is settled.
    fn place_adapter(
        &mut self,
        now: ids::Time,
        view: &View<'_>,
        request: &AdapterRequest,
        placed: &mut Vec<peer::Placed>,
    ) -> bool {
        let service = view.config.services.get(&request.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return true;
        };
        let Some(spec) = engine.models.get(&request.model) else {
            return true;
        };
        let is_planned = |record: &record::Record| {
            record.tasks.iter().any(|task| task.adapter.as_ref() == Some(&request.adapter))
                || matches!(&record.stage, record::Stage::Ordered { task, .. }
                    if task.adapter.as_ref() == Some(&request.adapter) && task.model == request.model)
        };
        if self.records.values().any(is_planned) {
            return true;
        }
        let mut best: Option<((bool, u64), ids::Target)> = None;
        let usable = |row: &&target::Row| row.health.is_healthy(now) && row.takes_requests(now);
        for row in view.targets.open(&request.service).filter(usable) {
            let Some(record) = self.records.get(&row.entry.target) else {
                continue;
            };
            let holds = record.models.get(&request.model);
            let Some(adapters) = holds else {
                continue;
            };
            let is_held = adapters.contains(&request.adapter)
                && row.holds(now, &request.model, Some(&request.adapter));
            if is_held && request.is_offered {
                continue;
            }
            if is_held {
                // The requesting VM has missed the announcement, as it started later or
                // was disconnected.
                placed.push(peer::Placed {
                    target: row.entry.target.clone(),
                    item: route::item::model(&request.model, Some(&request.adapter)),
                    present: true,
                });
                return true;
            }
            let loading = record.loading.as_ref().is_some_and(|(model, _)| *model == request.model);
            if !record.is_free(now) || loading {
                continue;
            }
            let fits = record.adapters() < engine.adapters as usize
                && record.taken_mb(engine) + spec.adapter_mb <= engine.memory_mb;
            if !fits && record.least_recent_adapter(now).is_none() {
                continue;
            }
            let key = (!fits, row.load().prefill + row.load().kv);
            if best.as_ref().is_none_or(|(least, _)| key < *least) {
                best = Some((key, row.entry.target.clone()));
            }
        }
        let Some(((needs_eviction, _), target)) = best else {
            return false;
        };
        let Some(record) = self.records.get_mut(&target) else {
            return false;
        };
        let task = |verb, model: &ids::Model, adapter: &ids::Adapter| record::Task {
            verb,
            model: model.clone(),
            adapter: Some(adapter.clone()),
            at: now,
            is_fetch: false,
        };
        if needs_eviction && let Some((model, adapter)) = record.least_recent_adapter(now) {
            placed.push(peer::Placed {
                target: target.clone(),
                item: route::item::model(&model, Some(&adapter)),
                present: false,
            });
            record.tasks.push_back(task(Verb::Unload, &model, &adapter));
        }
        record.tasks.push_back(task(Verb::Load, &request.model, &request.adapter));
        true
    }

    /// Sends the next order of each runner that is ready for one.
    fn send_orders(
        &mut self,
        now: ids::Time,
        view: &View<'_>,
        next_op: &mut impl FnMut() -> ids::Op,
        out: &mut Vec<Output>,
    ) {
        for (target, record) in &mut self.records {
            if record.stage != record::Stage::Idle || record.is_busy {
                continue;
            }
            let row = view.targets.get(target).filter(|row| row.takes_requests(now));
            let Some(row) = row else {
                continue;
            };
            let Some(expected) = record.orders else {
                continue;
            };
            let Some(task) = record.tasks.pop_front_if(|task| task.at <= now) else {
                continue;
            };
            let op = next_op();
            let order = Order {
                target: target.clone(),
                born: row.entry.born,
                address: sync::Arc::clone(&row.entry.address),
                verb: task.verb,
                model: task.model.clone(),
                adapter: task.adapter.clone(),
                expected,
                fence: view.fence,
                expires_at: now + lease::ORDER_TIMEOUT,
            };
            record.stage = record::Stage::Ordered { op, sent: now, task };
            out.push(Output::Order { op, order });
        }
    }
}
