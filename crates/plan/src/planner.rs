//! The planner: tables of runners and operations, and the systems over them.

use std::{collections, mem, sync, time};

use bundle::format;
use store::table;

use crate::{
    config::Config,
    demand,
    ledger::{Ledger, Resident, Sender, State},
    pace, place,
    rows::{Asked, Scan},
    scene::{Item, Scene, Site, Step},
    view::{Name, Scale, Seen, View},
};

/// Area of the planner in the highest byte of operation numbers.
const AREA: u64 = 3 << 56;

/// What the planner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask the table service.
    Table {
        /// The operation, to be named in the answer.
        op: ids::Op,
        /// What to ask.
        request: table::Request,
    },
    /// Send an order to a runner, now or not at all.
    Order {
        /// The operation, to be named in the reply.
        op: ids::Op,
        /// The runner.
        target: ids::Target,
        /// The order.
        order: engine::Order,
    },
    /// A change of state worth a log line.
    Log {
        /// The runner or item that it is about.
        peer: String,
        /// What changed.
        text: String,
    },
}

/// An order that awaits its reply.
#[derive(Debug)]
struct Ordered {
    target: ids::Target,
    name: Name,
    fence: ids::Fence,
}

/// Keeps what the bundle declares resident on the runners.
///
/// Every VM has a planner. It learns from the runners' reports what is ready.
/// The one whose turn it is ([`Planner::is_leader`]) reads the ledger and
/// decides; any other only settles the orders that it has sent before.
#[derive(Debug)]
pub struct Planner {
    pub(crate) config: Config,
    bundle: Option<format::Bundle>,
    adopted: Option<ids::Time>,
    members: Vec<Sender>,
    pub(crate) leads: bool,
    drained: collections::BTreeSet<ids::Target>,
    /// Runners that check fencing tokens.
    fencing: collections::BTreeSet<ids::Target>,
    leaving: collections::BTreeSet<ids::Target>,
    pub(crate) views: collections::BTreeMap<ids::Target, View>,
    pub(crate) asked: collections::BTreeMap<ids::Op, Asked>,
    ordered: collections::BTreeMap<ids::Op, Ordered>,
    demand: demand::Demand,
    pace: Option<pace::Pace>,
    pub(crate) scan: Scan,
    decided: Option<ids::Time>,
    next: u64,
}

impl Planner {
    /// A planner that knows nothing yet.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            bundle: None,
            adopted: None,
            members: Vec::new(),
            leads: false,
            drained: collections::BTreeSet::new(),
            fencing: collections::BTreeSet::new(),
            leaving: collections::BTreeSet::new(),
            views: collections::BTreeMap::new(),
            asked: collections::BTreeMap::new(),
            ordered: collections::BTreeMap::new(),
            demand: demand::Demand::default(),
            pace: None,
            scan: Scan::default(),
            decided: None,
            next: 0,
        }
    }

    /// Takes in the bundle, members and drained targets that are in force.
    pub fn apply_bundle(
        &mut self,
        now: ids::Time,
        bundle: &format::Bundle,
        members: &[Sender],
        drained: &collections::BTreeSet<ids::Target>,
    ) {
        self.adopted.get_or_insert(now);
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
        let led = mem::replace(&mut self.leads, leads(members, &self.config.me));
        if self.leads && !led {
            self.scan.done = None;
            self.pace = Some(pace::Pace::new(now));
        }
    }

    /// Whether it is this planner's turn to decide.
    ///
    /// All members agree on it once they have the same members. Where they
    /// differ for a while, compare-and-set on the rows keeps decisions safe.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.leads
    }

    /// Notes whether the platform or a peer says that a runner is leaving.
    pub fn set_leaving(&mut self, target: &ids::Target, leaving: bool) {
        if leaving {
            self.leaving.insert(target.clone());
        } else {
            self.leaving.remove(target);
        }
    }

    /// Takes in a report that answers a question sent at `asked`.
    pub fn record_report(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        asked: ids::Time,
        report: &engine::Report,
    ) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        let taken = ids::Time::from_millis(asked.as_millis().saturating_sub(report.age_ms));
        let newer = view.seen.as_ref().is_none_or(|seen| seen.taken <= taken);
        if newer {
            view.seen = Some(Seen { report: report.clone(), taken, received: now });
        }
    }

    /// Counts tokens that callers of this VM ask of `MODEL` or `MODEL:ADAPTER`.
    pub fn record_demand(&mut self, now: ids::Time, item: &sync::Arc<str>, tokens: u64) {
        let model = item.split(':').next().unwrap_or(item);
        self.demand.add(now, &model.into(), tokens);
    }

    /// Takes in the reply to an order.
    pub fn record_reply(&mut self, now: ids::Time, op: ids::Op, reply: engine::order::Reply) {
        let Some(ordered) = self.ordered.remove(&op) else {
            return;
        };
        let hold = time::Duration::from_millis(self.config.hold_ms);
        if let Some(view) = self.views.get_mut(&ordered.target) {
            view.reply(now, &ordered.name, ordered.fence, reply, hold);
        }
    }

    /// Takes in an answer of the table service.
    pub fn handle_answer(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: store::Result<table::Answer>,
        out: &mut Vec<Output>,
    ) {
        match (self.asked.remove(&op), result) {
            (Some(Asked::Scan { started, seen }), result) => {
                self.scanned(now, started, seen, result, out);
            }
            (Some(Asked::Get { target, at }), result) => self.got(now, &target, at, result),
            (Some(Asked::Write { rows, at }), result) => self.wrote(now, rows, at, result),
            (None, _) => return,
        }
        self.send_orders(now, out);
    }

    /// Runs the systems: reads rows, sends orders, weighs reports, decides.
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

    /// Runners with a ready copy of `MODEL` or `MODEL:ADAPTER` that is fit for
    /// new work.
    ///
    /// A drained runner is fit only while no other has a copy.
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

    /// The declared items that have no ready copy.
    #[must_use]
    pub fn unreachable_items(&self, now: ids::Time) -> Vec<sync::Arc<str>> {
        let offers = self.offers(now);
        let offered: collections::BTreeSet<_> = offers.values().flatten().collect();
        let items = self.bundle.iter().flat_map(|bundle| Item::all(bundle, |_| 0));
        items.map(|item| item.name).filter(|item| !offered.contains(item)).collect()
    }

    /// Every runner with the items that it is fit to serve now.
    ///
    /// The work grows with the copies that there are, not with runners times
    /// items, for this runs several times a second on every VM.
    #[must_use]
    pub fn offers(
        &self,
        now: ids::Time,
    ) -> collections::BTreeMap<ids::Target, collections::BTreeSet<sync::Arc<str>>> {
        let mut offers = collections::BTreeMap::new();
        let mut open = collections::BTreeSet::new();
        for (target, view) in &self.views {
            let items = self.served(now, target, view);
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

    /// The latest report of every runner that is not silent.
    pub fn reports(&self, now: ids::Time) -> impl Iterator<Item = (&ids::Target, &engine::Report)> {
        self.views.iter().filter_map(move |(target, view)| {
            let seen = self.fresh(now, view)?;
            Some((target, &seen.report))
        })
    }

    /// The rows as this planner knows them, for the dump.
    pub fn ledgers(&self) -> impl Iterator<Item = (&ids::Target, &Ledger)> {
        self.views.iter().map(|(target, view)| (target, &view.ledger))
    }

    /// The items that a runner is fit to serve, drained or not.
    fn served(
        &self,
        now: ids::Time,
        target: &ids::Target,
        view: &View,
    ) -> collections::BTreeSet<sync::Arc<str>> {
        let Some(seen) = self.fresh(now, view) else {
            return collections::BTreeSet::new();
        };
        if seen.report.leaving || self.leaving.contains(target) {
            return collections::BTreeSet::new();
        }
        let is_ready = |each: &&engine::report::Resident| {
            let going = self.leads && view.is_going(&each.item, &each.version);
            each.state == engine::report::State::Ready && !going
        };
        let ready = seen.report.residents.iter().filter(is_ready);
        let mut items: collections::BTreeSet<_> =
            ready.map(|each| sync::Arc::clone(&each.item)).collect();
        let has_model = |item: &sync::Arc<str>, items: &collections::BTreeSet<sync::Arc<str>>| {
            item.split_once(':').is_none_or(|(model, _)| items.contains(model))
        };
        let all = items.clone();
        items.retain(|item| has_model(item, &all));
        items
    }

    fn serves(&self, now: ids::Time, target: &ids::Target, view: &View, item: &str) -> bool {
        let Some(seen) = self.fresh(now, view) else {
            return false;
        };
        if seen.report.leaving || self.leaving.contains(target) {
            return false;
        }
        let going = |name: &str, version: &str| self.leads && view.is_going(name, version);
        let base = item.split_once(':').map(|(model, _)| model);
        let ready = |name: &str| {
            let mut residents = seen.report.residents.iter();
            residents.any(|each| {
                *each.item == *name
                    && each.state == engine::report::State::Ready
                    && !going(name, &each.version)
            })
        };
        ready(item) && base.is_none_or(ready)
    }

    fn fresh<'a>(&self, now: ids::Time, view: &'a View) -> Option<&'a Seen> {
        let silence = time::Duration::from_millis(self.config.silence_ms);
        let seen = view.seen.as_ref()?;
        (now.since(seen.received) <= silence).then_some(seen)
    }

    const fn op(&mut self) -> ids::Op {
        self.next += 1;
        ids::Op::new(AREA | self.next)
    }

    pub(crate) fn ask(
        &mut self,
        asked: Asked,
        request: table::Request,
        out: &mut Vec<Output>,
    ) -> ids::Op {
        let op = self.op();
        self.asked.insert(op, asked);
        out.push(Output::Table { op, request });
        op
    }

    fn scale<'a>(&'a self, now: ids::Time, target: &ids::Target) -> Scale<'a> {
        Scale {
            now,
            config: &self.config,
            members: &self.members,
            fencing: self.fencing.contains(target),
        }
    }

    /// Sends the orders of rows that were confirmed a moment ago.
    fn send_orders(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        if !self.members.contains(&self.config.me) {
            return;
        }
        let confirm = time::Duration::from_millis(self.config.confirm_ms);
        let mut views = mem::take(&mut self.views);
        for (target, view) in &mut views {
            if !view.is_settled() || !view.has_order_of(&self.config.me) {
                continue;
            }
            let scale = self.scale(now, target);
            if !view.has_due(&scale) {
                continue;
            }
            if now.since(view.confirmed) > confirm {
                view.doubt();
                continue;
            }
            for order in view.due(&scale) {
                let op = self.op();
                let ordered = Ordered {
                    target: target.clone(),
                    name: (sync::Arc::clone(&order.item), sync::Arc::clone(&order.version)),
                    fence: order.fence,
                };
                self.ordered.insert(op, ordered);
                out.push(Output::Order { op, target: target.clone(), order });
            }
        }
        self.views = views;
    }

    /// The rows that may be changed now, as they should be after the reports.
    fn drafts(&mut self, now: ids::Time) -> collections::BTreeMap<ids::Target, Ledger> {
        let mut views = mem::take(&mut self.views);
        let mut drafts = collections::BTreeMap::new();
        for (target, view) in &mut views {
            let scale = self.scale(now, target);
            view.note_left(&scale);
            let concerned = self.leads || view.in_doubt || view.has_order_of(&self.config.me);
            if concerned && view.is_settled() {
                drafts.insert(target.clone(), view.judged(&scale));
            }
        }
        self.views = views;
        drafts
    }

    fn may_decide(&self, now: ids::Time) -> bool {
        let Some(adopted) = self.adopted else {
            return false;
        };
        let grace = time::Duration::from_millis(self.config.grace_ms);
        let heard = self.views.values().all(|view| view.seen.is_some());
        let pause = time::Duration::from_millis(self.config.decide_ms);
        let due = self.decided.is_none_or(|decided| now.since(decided) >= pause);
        due && self.leads && self.scan.done.is_some() && (heard || now.since(adopted) >= grace)
    }

    /// Decides what to load and unload, and enters it into the drafts.
    ///
    /// `links` gets pairs of rows that must change together: one that loses a
    /// copy, and one that keeps its own.
    fn decide(
        &mut self,
        now: ids::Time,
        drafts: &mut collections::BTreeMap<ids::Target, Ledger>,
        links: &mut Vec<(ids::Target, ids::Target)>,
        out: &mut Vec<Output>,
    ) {
        let Some(mut scene) = self.scene(now, drafts) else {
            return;
        };
        let mut allowance = self.allowance(now, &scene);
        let models = allowance.models;
        place::decide(&mut scene, &mut allowance);
        if let Some(pace) = &mut self.pace
            && allowance.models < models
        {
            pace.spend();
        }
        for step in scene.steps {
            self.enter(now, step, drafts, links, out);
        }
    }

    fn scene(
        &self,
        now: ids::Time,
        drafts: &collections::BTreeMap<ids::Target, Ledger>,
    ) -> Option<Scene> {
        let bundle = self.bundle.as_ref()?;
        let items = Item::all(bundle, |model| self.copies_demanded(now, model));
        let mut sites = collections::BTreeMap::new();
        for runner in &bundle.runners {
            let view = self.views.get(&runner.name)?;
            let site = self.site(now, runner, view, drafts.get(&runner.name));
            sites.insert(runner.name.clone(), site);
        }
        Some(Scene { items, sites, steps: Vec::new() })
    }

    fn site(
        &self,
        now: ids::Time,
        runner: &format::Runner,
        view: &View,
        draft: Option<&Ledger>,
    ) -> Site {
        let seen = self.fresh(now, view);
        let leaving = seen.is_some_and(|seen| seen.report.leaving);
        let closed =
            leaving || self.leaving.contains(&runner.name) || self.drained.contains(&runner.name);
        // A row is first written from a report: until then nothing is placed there.
        let founded = view.version.is_some();
        Site {
            centre: runner.centre.clone(),
            memory_mib: runner.memory_mib,
            alive: seen.is_some(),
            open: !closed,
            settled: draft.is_some() && founded,
            residents: draft.unwrap_or_else(|| view.expected()).residents.clone(),
            held: view.held(now),
        }
    }

    fn copies_demanded(&self, now: ids::Time, model: &str) -> usize {
        let rate = self.demand.rate(now, model) * self.members.len() as f64;
        let copies = (rate / self.config.copy_tokens).ceil().max(0.0);
        let most = self.views.len();
        (0..most).find(|count| *count as f64 >= copies).unwrap_or(most)
    }

    /// Loads that may begin now, over all VMs: only the leader begins any.
    fn allowance(&mut self, now: ids::Time, scene: &Scene) -> place::Allowance {
        let none = place::Allowance { models: 0, adapters: 0 };
        let Some(weights) = self.bundle.as_ref().map(|bundle| &bundle.weights) else {
            return none;
        };
        let coming = |adapters: bool| {
            let residents = scene.sites.values().flat_map(|site| &site.residents);
            residents
                .filter(|each| matches!(each.state, State::Reserved | State::Loading))
                .filter(|each| each.item.contains(':') == adapters)
                .count()
        };
        let models_left = (weights.loads_at_once as usize).saturating_sub(coming(false));
        let adapters_left = (weights.adapters_at_once as usize).saturating_sub(coming(true));
        let pace = self.pace.get_or_insert_with(|| pace::Pace::new(now));
        let paced = pace.allows(now, weights.loads_per_second);
        place::Allowance {
            models: if paced { models_left.min(1) } else { 0 },
            adapters: adapters_left,
        }
    }

    fn enter(
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
        let order = Some(view.order_of(&self.scale(now, target)));
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

/// Whether `me` ranks first among the members.
fn leads(members: &[Sender], me: &Sender) -> bool {
    let rank = |each: &&Sender| xxhash_rust::xxh3::xxh3_64(each.vm.as_str().as_bytes());
    members.iter().max_by_key(rank) == Some(me)
}
