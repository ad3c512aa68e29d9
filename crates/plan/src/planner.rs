//! The planner: tables of runners and operations, and the systems that run over them.

use std::{collections, mem, sync, time};

use bundle::format;
use store::table;

use crate::{
    config::Config,
    demand,
    fleet::{Fleet, Host, Item, Step},
    ledger::{Ledger, Resident, Sender, State},
    placement, rate,
    rows::{Operation, Scan},
    view::{Context, Key, Reported, View},
};

/// Id of the planner in the highest byte of operation numbers.
const AREA: u64 = 3 << 56;

/// An action that the caller performs for the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to the table service.
    Table {
        /// The operation id, to be passed back with the answer.
        op: ids::Op,
        /// The request to send.
        request: table::Request,
    },
    /// Send an order to a runner at once; it must not be sent later.
    Order {
        /// The operation id, to be passed back with the reply.
        op: ids::Op,
        /// The runner to send the order to.
        target: ids::Target,
        /// The order to send.
        order: engine::Order,
    },
    /// Write a log line about a change of state.
    Log {
        /// The runner that has changed.
        peer: String,
        /// The text of the log line.
        text: String,
    },
}

/// An order that has been sent and whose reply is outstanding.
#[derive(Debug)]
struct Ordered {
    target: ids::Target,
    key: Key,
    fence: ids::Fence,
}

/// Keeps the models and adapters that the bundle declares resident on the runners.
///
/// Every VM has a planner, which tracks the ready items from the runners'
/// reports. Only the leader ([`Planner::is_leader`]) reads the ledger and makes
/// placement decisions; the others only follow up the orders that they have sent
/// before.
#[derive(Debug)]
pub struct Planner {
    pub(crate) config: Config,
    bundle: Option<format::Bundle>,
    /// When the first bundle was applied.
    bundle_applied: Option<ids::Time>,
    members: Vec<Sender>,
    /// Whether this VM is the leader.
    pub(crate) leads: bool,
    drained: collections::BTreeSet<ids::Target>,
    /// Runners that check fencing tokens.
    fencing: collections::BTreeSet<ids::Target>,
    /// Runners that the platform or a peer says are leaving.
    leaving: collections::BTreeSet<ids::Target>,
    pub(crate) views: collections::BTreeMap<ids::Target, View>,
    pub(crate) operations: collections::BTreeMap<ids::Op, Operation>,
    ordered: collections::BTreeMap<ids::Op, Ordered>,
    demand: demand::Demand,
    load_limiter: Option<rate::Limiter>,
    pub(crate) scan: Scan,
    /// When placement was last decided.
    decided: Option<ids::Time>,
    last_op: u64,
}

impl Planner {
    /// Creates a planner without a bundle.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            bundle: None,
            bundle_applied: None,
            members: Vec::new(),
            leads: false,
            drained: collections::BTreeSet::new(),
            fencing: collections::BTreeSet::new(),
            leaving: collections::BTreeSet::new(),
            views: collections::BTreeMap::new(),
            operations: collections::BTreeMap::new(),
            ordered: collections::BTreeMap::new(),
            demand: demand::Demand::default(),
            load_limiter: None,
            scan: Scan::default(),
            decided: None,
            last_op: 0,
        }
    }

    /// Applies the bundle, members and drained targets that are in force.
    pub fn apply_bundle(
        &mut self,
        now: ids::Time,
        bundle: &format::Bundle,
        members: &[Sender],
        drained: &collections::BTreeSet<ids::Target>,
    ) {
        self.bundle_applied.get_or_insert(now);
        self.bundle = Some(bundle.clone());
        self.members = members.to_vec();
        self.drained.clone_from(drained);
        let fencing = bundle.runners.iter().filter(|runner| runner.fencing);
        self.fencing = fencing.map(|runner| runner.name.clone()).collect();
        let mut known = mem::take(&mut self.views);
        for runner in &bundle.runners {
            let view = known.remove(&runner.name).unwrap_or_default();
            self.views.insert(runner.name.clone(), view);
        }
        let was_leader = mem::replace(&mut self.leads, ranks_first(members, &self.config.me));
        if self.leads && !was_leader {
            self.scan.completed = None;
            self.load_limiter = Some(rate::Limiter::new(now));
        }
    }

    /// Returns whether this planner is the leader.
    ///
    /// All VMs agree on the leader once they have the same list of members. While
    /// the lists differ there may be several leaders; compare-and-set on the rows
    /// keeps their decisions safe.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.leads
    }

    /// Sets whether the platform or a peer says that a runner is leaving.
    pub fn set_leaving(&mut self, target: &ids::Target, leaving: bool) {
        if leaving {
            self.leaving.insert(target.clone());
        } else {
            self.leaving.remove(target);
        }
    }

    /// Records a runner's report that was requested at `sent`.
    pub fn record_report(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        sent: ids::Time,
        report: &engine::Report,
    ) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        let taken = ids::Time::from_millis(sent.as_millis().saturating_sub(report.age_ms));
        let is_newer = view.reported.as_ref().is_none_or(|reported| reported.taken <= taken);
        if is_newer {
            view.reported = Some(Reported { report: report.clone(), taken, received: now });
        }
    }

    /// Records tokens that callers of this VM request of `MODEL` or `MODEL:ADAPTER`.
    pub fn record_demand(&mut self, now: ids::Time, item: &sync::Arc<str>, tokens: u64) {
        let model = item.split(':').next().unwrap_or(item);
        self.demand.add(now, &model.into(), tokens);
    }

    /// Records the reply to an order.
    pub fn record_reply(&mut self, now: ids::Time, op: ids::Op, reply: engine::order::Reply) {
        let Some(ordered) = self.ordered.remove(&op) else {
            return;
        };
        let hold_off = time::Duration::from_millis(self.config.hold_ms);
        if let Some(view) = self.views.get_mut(&ordered.target) {
            view.record_reply(now, &ordered.key, ordered.fence, reply, hold_off);
        }
    }

    /// Handles an answer of the table service.
    pub fn handle_answer(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: store::Result<table::Answer>,
        out: &mut Vec<Output>,
    ) {
        match (self.operations.remove(&op), result) {
            (Some(Operation::Scan { started, listed }), result) => {
                self.handle_scanned(now, started, listed, result, out);
            }
            (Some(Operation::Get { target, sent }), result) => {
                self.handle_row(now, &target, sent, result);
            }
            (Some(Operation::Write { rows, sent }), result) => {
                self.handle_written(now, rows, sent, result);
            }
            (None, _) => return,
        }
        self.send_orders(now, out);
    }

    /// Runs the systems: reads rows, sends orders, reconciles the rows with the
    /// reports, makes placement decisions and writes the changed rows.
    pub fn tick(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        self.read_rows(now, out);
        self.send_orders(now, out);
        let mut drafts = self.drafts(now);
        let mut links = Vec::new();
        if self.may_decide(now) {
            self.decided = Some(now);
            self.decide(now, &mut drafts, &mut links, out);
        }
        self.write(now, drafts, &links, out);
    }

    /// Returns the runners that can serve `MODEL` or `MODEL:ADAPTER` to new calls.
    ///
    /// A drained runner is included only if no other runner has a ready copy.
    #[must_use]
    pub fn ready_targets(&self, now: ids::Time, item: &str) -> Vec<&ids::Target> {
        let (open, drained): (Vec<_>, Vec<_>) = self
            .views
            .iter()
            .filter(|(target, view)| self.serves(now, target, view, item))
            .map(|(target, _)| target)
            .partition(|target| !self.drained.contains(*target));
        if open.is_empty() { drained } else { open }
    }

    /// Returns the declared items that no runner can serve.
    #[must_use]
    pub fn unreachable_items(&self, now: ids::Time) -> Vec<sync::Arc<str>> {
        let offers = self.offers(now);
        let offered: collections::BTreeSet<_> = offers.values().flatten().collect();
        let items = self.bundle.iter().flat_map(|bundle| Item::all(bundle, |_| 0));
        items.map(|item| item.name).filter(|item| !offered.contains(item)).collect()
    }

    /// Returns every runner with the items that it can serve to new calls.
    ///
    /// The cost is proportional to the number of copies, not to runners times
    /// items, because this runs several times a second on every VM.
    #[must_use]
    pub fn offers(
        &self,
        now: ids::Time,
    ) -> collections::BTreeMap<ids::Target, collections::BTreeSet<sync::Arc<str>>> {
        let mut offers = collections::BTreeMap::new();
        let mut open = collections::BTreeSet::new();
        for (target, view) in &self.views {
            let items = self.servable_items(now, target, view);
            if !self.drained.contains(target) {
                open.extend(items.iter().cloned());
            }
            offers.insert(target.clone(), items);
        }
        for target in &self.drained {
            if let Some(items) = offers.get_mut(target) {
                items.retain(|item| !open.contains(item));
            }
        }
        offers
    }

    /// Iterates over the latest reports of the runners that have reported recently.
    pub fn reports(&self, now: ids::Time) -> impl Iterator<Item = (&ids::Target, &engine::Report)> {
        self.views.iter().filter_map(move |(target, view)| {
            let reported = self.recent_report(now, view)?;
            Some((target, &reported.report))
        })
    }

    /// Iterates over the ledgers as this planner last read or wrote them, for the state dump.
    pub fn ledgers(&self) -> impl Iterator<Item = (&ids::Target, &Ledger)> {
        self.views.iter().map(|(target, view)| (target, &view.ledger))
    }

    /// The items that a runner can serve, whether or not it is drained.
    fn servable_items(
        &self,
        now: ids::Time,
        target: &ids::Target,
        view: &View,
    ) -> collections::BTreeSet<sync::Arc<str>> {
        let Some(reported) = self.recent_report(now, view) else {
            return collections::BTreeSet::new();
        };
        if reported.report.leaving || self.leaving.contains(target) {
            return collections::BTreeSet::new();
        }
        let is_ready = |each: &&engine::report::Resident| {
            let is_unloading = self.leads && view.is_unloading(&each.item, &each.version);
            each.state == engine::report::State::Ready && !is_unloading
        };
        let ready = reported.report.residents.iter().filter(is_ready);
        let mut items: collections::BTreeSet<_> =
            ready.map(|each| sync::Arc::clone(&each.item)).collect();
        let has_model = |item: &sync::Arc<str>, items: &collections::BTreeSet<sync::Arc<str>>| {
            item.split_once(':').is_none_or(|(model, _)| items.contains(model))
        };
        let all = items.clone();
        items.retain(|item| has_model(item, &all));
        items
    }

    /// Whether a runner can serve `item`, whether or not it is drained.
    fn serves(&self, now: ids::Time, target: &ids::Target, view: &View, item: &str) -> bool {
        let Some(reported) = self.recent_report(now, view) else {
            return false;
        };
        if reported.report.leaving || self.leaving.contains(target) {
            return false;
        }
        let is_unloading =
            |name: &str, version: &str| self.leads && view.is_unloading(name, version);
        let base = item.split_once(':').map(|(model, _)| model);
        let ready = |name: &str| {
            let mut residents = reported.report.residents.iter();
            residents.any(|each| {
                *each.item == *name
                    && each.state == engine::report::State::Ready
                    && !is_unloading(name, &each.version)
            })
        };
        ready(item) && base.is_none_or(ready)
    }

    /// The latest report of a runner, unless it is too old.
    fn recent_report<'a>(&self, now: ids::Time, view: &'a View) -> Option<&'a Reported> {
        let silence = time::Duration::from_millis(self.config.silence_ms);
        let reported = view.reported.as_ref()?;
        (now.since(reported.received) <= silence).then_some(reported)
    }

    const fn op(&mut self) -> ids::Op {
        self.last_op += 1;
        ids::Op::new(AREA | self.last_op)
    }

    /// Emits a request to the table service and remembers it for its answer.
    pub(crate) fn send_request(
        &mut self,
        operation: Operation,
        request: table::Request,
        out: &mut Vec<Output>,
    ) -> ids::Op {
        let op = self.op();
        self.operations.insert(op, operation);
        out.push(Output::Table { op, request });
        op
    }

    fn context<'a>(&'a self, now: ids::Time, target: &ids::Target) -> Context<'a> {
        Context {
            now,
            config: &self.config,
            members: &self.members,
            fencing: self.fencing.contains(target),
        }
    }

    /// Sends the due orders of rows that were confirmed recently.
    ///
    /// Rows with due orders whose confirmation is too old are read again first.
    fn send_orders(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        if !self.members.contains(&self.config.me) {
            return;
        }
        let confirm = time::Duration::from_millis(self.config.confirm_ms);
        let mut views = mem::take(&mut self.views);
        for (target, view) in &mut views {
            if !view.is_writable() || !view.has_order_of(&self.config.me) {
                continue;
            }
            let context = self.context(now, target);
            if !view.has_due_orders(&context) {
                continue;
            }
            if now.since(view.confirmed) > confirm {
                view.mark_unknown();
                continue;
            }
            for order in view.take_due_orders(&context) {
                let op = self.op();
                let ordered = Ordered {
                    target: target.clone(),
                    key: (sync::Arc::clone(&order.item), sync::Arc::clone(&order.version)),
                    fence: order.fence,
                };
                self.ordered.insert(op, ordered);
                out.push(Output::Order { op, target: target.clone(), order });
            }
        }
        self.views = views;
    }

    /// The rows that may be changed now, reconciled with the runners' reports.
    fn drafts(&mut self, now: ids::Time) -> collections::BTreeMap<ids::Target, Ledger> {
        let mut views = mem::take(&mut self.views);
        let mut drafts = collections::BTreeMap::new();
        for (target, view) in &mut views {
            let context = self.context(now, target);
            view.update_departures(&context);
            let is_responsible = self.leads || view.in_doubt || view.has_order_of(&self.config.me);
            if is_responsible && view.is_writable() {
                drafts.insert(target.clone(), view.reconciled(&context));
            }
        }
        self.views = views;
        drafts
    }

    /// Whether a placement decision is due and enough is known for it.
    fn may_decide(&self, now: ids::Time) -> bool {
        let Some(bundle_applied) = self.bundle_applied else {
            return false;
        };
        let grace = time::Duration::from_millis(self.config.grace_ms);
        let has_all_reports = self.views.values().all(|view| view.reported.is_some());
        let interval = time::Duration::from_millis(self.config.decide_ms);
        let is_due = self.decided.is_none_or(|decided| now.since(decided) >= interval);
        is_due
            && self.leads
            && self.scan.completed.is_some()
            && (has_all_reports || now.since(bundle_applied) >= grace)
    }

    /// Decides what to load and unload, and applies it to the drafts.
    ///
    /// Adds to `links` the pairs of rows that must change together: the row of a
    /// runner that loses a copy and the row of a runner that keeps its copy.
    fn decide(
        &mut self,
        now: ids::Time,
        drafts: &mut collections::BTreeMap<ids::Target, Ledger>,
        links: &mut Vec<(ids::Target, ids::Target)>,
        out: &mut Vec<Output>,
    ) {
        let Some(mut fleet) = self.fleet(now, drafts) else {
            return;
        };
        let mut allowance = self.allowance(now, &fleet);
        let models = allowance.models;
        placement::decide(&mut fleet, &mut allowance);
        if let Some(limiter) = &mut self.load_limiter
            && allowance.models < models
        {
            limiter.spend();
        }
        for step in fleet.steps {
            self.apply_step(now, step, drafts, links, out);
        }
    }

    fn fleet(
        &self,
        now: ids::Time,
        drafts: &collections::BTreeMap<ids::Target, Ledger>,
    ) -> Option<Fleet> {
        let bundle = self.bundle.as_ref()?;
        let items = Item::all(bundle, |model| self.copies_demanded(now, model));
        let mut hosts = collections::BTreeMap::new();
        for runner in &bundle.runners {
            let view = self.views.get(&runner.name)?;
            let host = self.host(now, runner, view, drafts.get(&runner.name));
            hosts.insert(runner.name.clone(), host);
        }
        Some(Fleet { items, hosts, steps: Vec::new() })
    }

    fn host(
        &self,
        now: ids::Time,
        runner: &format::Runner,
        view: &View,
        draft: Option<&Ledger>,
    ) -> Host {
        let reported = self.recent_report(now, view);
        let leaving = reported.is_some_and(|reported| reported.report.leaving);
        let is_closed =
            leaving || self.leaving.contains(&runner.name) || self.drained.contains(&runner.name);
        // A row is first written from a report. Until then its committed memory
        // is not known, so nothing is placed on the runner.
        let has_row = view.version.is_some();
        Host {
            centre: runner.centre.clone(),
            memory_mib: runner.memory_mib,
            alive: reported.is_some(),
            open: !is_closed,
            writable: draft.is_some() && has_row,
            residents: draft.unwrap_or_else(|| view.expected()).residents.clone(),
            refused: view.recently_refused(now),
        }
    }

    /// Number of copies of `model` for its demand, at most one per runner.
    ///
    /// The demand on this VM is taken as the mean over all VMs.
    fn copies_demanded(&self, now: ids::Time, model: &str) -> usize {
        let rate = self.demand.rate(now, model) * self.members.len() as f64;
        let copies = (rate / self.config.copy_tokens).ceil().max(0.0);
        let max_copies = self.views.len();
        (0..max_copies).find(|count| *count as f64 >= copies).unwrap_or(max_copies)
    }

    /// Number of loads that may begin now, over all VMs; only the leader begins any.
    fn allowance(&mut self, now: ids::Time, fleet: &Fleet) -> placement::Allowance {
        let none = placement::Allowance { models: 0, adapters: 0 };
        let Some(weights) = self.bundle.as_ref().map(|bundle| &bundle.weights) else {
            return none;
        };
        let loading = |adapters: bool| {
            let residents = fleet.hosts.values().flat_map(|host| &host.residents);
            residents
                .filter(|each| matches!(each.state, State::Reserved | State::Loading))
                .filter(|each| each.item.contains(':') == adapters)
                .count()
        };
        let models_left = (weights.loads_at_once as usize).saturating_sub(loading(false));
        let adapters_left = (weights.adapters_at_once as usize).saturating_sub(loading(true));
        let limiter = self.load_limiter.get_or_insert_with(|| rate::Limiter::new(now));
        let is_allowed = limiter.allows(now, weights.loads_per_second);
        placement::Allowance {
            models: if is_allowed { models_left.min(1) } else { 0 },
            adapters: adapters_left,
        }
    }

    /// Applies a decided step to the draft of its runner and logs it.
    fn apply_step(
        &self,
        now: ids::Time,
        step: Step,
        drafts: &mut collections::BTreeMap<ids::Target, Ledger>,
        links: &mut Vec<(ids::Target, ids::Target)>,
        out: &mut Vec<Output>,
    ) {
        let (Step::Load { target, .. } | Step::Unload { target, .. }) = &step;
        let (Some(draft), Some(view)) = (drafts.get_mut(target), self.views.get(target)) else {
            return;
        };
        let order = Some(view.new_pending(&self.context(now, target)));
        let target = target.clone();
        let text = match step {
            Step::Load { item, version, memory_mib, .. } => {
                let mut resident = Resident::new(&item, &version, State::Reserved, memory_mib);
                resident.order = order;
                draft.residents.push(resident);
                format!("reserve {memory_mib} MiB for {item}@{version}")
            }
            Step::Unload { item, version, keepers, .. } => {
                if let Some(resident) = draft.get_mut(&item, &version) {
                    resident.state = State::Unloading;
                    resident.order = order;
                }
                links.extend(keepers.into_iter().map(|keeper| (target.clone(), keeper)));
                format!("unload {item}@{version}")
            }
        };
        out.push(Output::Log { peer: target.to_string(), text });
    }
}

/// Whether `me` has the highest hash among the members.
fn ranks_first(members: &[Sender], me: &Sender) -> bool {
    let rank = |each: &&Sender| xxhash_rust::xxh3::xxh3_64(each.vm.as_str().as_bytes());
    members.iter().max_by_key(rank) == Some(me)
}
