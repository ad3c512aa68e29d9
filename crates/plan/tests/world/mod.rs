//! A simulation of a table service, runners and planners in virtual time.

pub mod runner;

use std::{collections, sync, time};

use rand::{Rng as _, SeedableRng as _};
use store::table;

/// Length of a simulation step, in ms.
pub const STEP_MS: u64 = 100;
/// Interval between polls of a runner, in ms.
const POLL_MS: u64 = 500;
/// Time after which a lost answer is reported as unknown, in ms.
const TIMEOUT_MS: u64 = 1_000;
/// Longest transit time of an order, in ms. Together with the age of a row's
/// confirmation it stays within [`ORDER_DELAY_MS`].
const MAX_ORDER_TRANSIT_MS: u64 = 2_500;
/// The planners' setting for the longest time until an order takes effect, in ms.
pub const ORDER_DELAY_MS: u64 = 4_000;

/// Probabilities of faults, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A request, order or poll is lost.
    pub lost: u32,
    /// A request or order takes effect, but its answer is lost.
    pub answer_lost: u32,
    /// A request or order is late: its outcome is reported as unknown before it takes effect.
    pub late: u32,
}

enum Event {
    Request { vm: usize, op: ids::Op, request: table::Request, answered: bool },
    Answer { vm: usize, op: ids::Op, result: store::Result<table::Answer> },
    Order { vm: usize, op: ids::Op, target: ids::Target, order: engine::Order, answered: bool },
    Reply { vm: usize, op: ids::Op, reply: engine::order::Reply },
    Report { vm: usize, target: ids::Target, sent: ids::Time, report: engine::Report },
}

/// The planner of one VM and its identity.
pub struct Vm {
    pub planner: plan::Planner,
    pub sender: plan::ledger::Sender,
}

pub struct World {
    pub now: ids::Time,
    pub rng: rand::rngs::SmallRng,
    pub faults: Faults,
    pub runners: collections::BTreeMap<ids::Target, runner::Runner>,
    pub vms: Vec<Vm>,
    pub bundle: bundle::Bundle,
    pub drained: collections::BTreeSet<ids::Target>,
    rows: collections::BTreeMap<sync::Arc<str>, (ids::Version, sync::Arc<str>)>,
    events: collections::BTreeMap<(u64, u64), Event>,
    number: u64,
    /// Items that have been reachable before.
    reached: collections::BTreeSet<String>,
    /// Violations of invariants, in order of detection.
    pub violations: Vec<String>,
    /// When each load of a model began at a runner.
    pub loads: Vec<ids::Time>,
    /// Whether a step in which no runner serves an item is a violation.
    pub check_reachability: bool,
}

pub fn config(sender: &plan::ledger::Sender) -> plan::Config {
    plan::Config {
        order_delay_ms: ORDER_DELAY_MS,
        confirm_ms: 1_000,
        scan_ms: 2_000,
        ..plan::Config::new(sender.clone())
    }
}

impl World {
    pub fn new(seed: u64, bundle: bundle::Bundle, vms: usize) -> Self {
        let runners = bundle.runners.iter();
        let runners = runners.map(|each| (each.name.clone(), runner::Runner::new(each))).collect();
        let mut world = Self {
            now: ids::Time::from_millis(10_000),
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            faults: Faults::default(),
            runners,
            vms: Vec::new(),
            bundle,
            drained: collections::BTreeSet::new(),
            rows: collections::BTreeMap::new(),
            events: collections::BTreeMap::new(),
            number: 0,
            reached: collections::BTreeSet::new(),
            violations: Vec::new(),
            loads: Vec::new(),
            check_reachability: true,
        };
        for number in 0..vms {
            let sender = plan::ledger::Sender {
                vm: format!("vm-{number}").into(),
                incarnation: ids::Incarnation::new(1),
            };
            let planner = plan::Planner::new(config(&sender));
            world.vms.push(Vm { planner, sender });
        }
        world.adopt_all();
        world
    }

    /// The VMs, as members.
    pub fn members(&self) -> Vec<plan::ledger::Sender> {
        self.vms.iter().map(|vm| vm.sender.clone()).collect()
    }

    pub fn adopt(&mut self, vm: usize, members: &[plan::ledger::Sender]) {
        let vm = &mut self.vms[vm];
        vm.planner.apply_bundle(self.now, &self.bundle, members, &self.drained);
    }

    pub fn adopt_all(&mut self) {
        let members = self.members();
        for vm in 0..self.vms.len() {
            self.adopt(vm, &members);
        }
    }

    /// Kills a VM's process and starts a new incarnation.
    pub fn restart(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        vm.sender.incarnation = vm.sender.incarnation.next();
        vm.planner = plan::Planner::new(config(&vm.sender));
        self.adopt_all();
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + time::Duration::from_millis(millis);
        while self.now < end {
            self.step();
        }
    }

    pub fn leader(&self) -> Option<&plan::Planner> {
        self.vms.iter().map(|vm| &vm.planner).find(|planner| planner.is_leader())
    }

    pub fn step(&mut self) {
        self.now = self.now + time::Duration::from_millis(STEP_MS);
        for runner in self.runners.values_mut() {
            runner.step(self.now);
        }
        self.deliver();
        if self.now.as_millis().is_multiple_of(POLL_MS) {
            self.poll();
        }
        for vm in 0..self.vms.len() {
            let mut out = Vec::new();
            self.vms[vm].planner.tick(self.now, &mut out);
            self.send(vm, out);
        }
        self.check_invariants();
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.number += 1;
        let at = self.now.as_millis() + millis;
        self.events.insert((at, self.number), event);
    }

    fn send(&mut self, vm: usize, out: Vec<plan::Output>) {
        for output in out {
            match output {
                plan::Output::Table { op, request } => self.send_request(vm, op, request),
                plan::Output::Order { op, target, order } => self.send_order(vm, op, target, order),
                plan::Output::Log { .. } => {}
            }
        }
    }

    fn send_request(&mut self, vm: usize, op: ids::Op, request: table::Request) {
        let lost = self.chance(self.faults.lost);
        let answered = !self.chance(self.faults.answer_lost);
        let late = self.chance(self.faults.late);
        if lost || late || !answered {
            let fault = store::Fault::new("table", "table", store::Kind::Unknown, "lost");
            self.schedule(TIMEOUT_MS, Event::Answer { vm, op, result: Err(fault) });
        }
        if !lost {
            let transit_ms = if late {
                TIMEOUT_MS + self.rng.random_range(0..3_000)
            } else {
                self.rng.random_range(1..200)
            };
            let answered = answered && !late;
            self.schedule(transit_ms, Event::Request { vm, op, request, answered });
        }
    }

    fn send_order(&mut self, vm: usize, op: ids::Op, target: ids::Target, order: engine::Order) {
        let lost = self.chance(self.faults.lost);
        let answered = !self.chance(self.faults.answer_lost);
        let late = self.chance(self.faults.late);
        if lost || late || !answered {
            let reply = engine::order::Reply::Unknown;
            self.schedule(TIMEOUT_MS, Event::Reply { vm, op, reply });
        }
        if !lost {
            let transit_ms = if late {
                self.rng.random_range(TIMEOUT_MS..MAX_ORDER_TRANSIT_MS)
            } else {
                self.rng.random_range(1..200)
            };
            let answered = answered && !late;
            self.schedule(transit_ms, Event::Order { vm, op, target, order, answered });
        }
    }

    fn poll(&mut self) {
        let targets: Vec<_> = self.runners.keys().cloned().collect();
        for vm in 0..self.vms.len() {
            for target in &targets {
                let lost = self.chance(self.faults.lost);
                let (there, back) = (self.rng.random_range(1..80), self.rng.random_range(1..80));
                let lag = self.rng.random_range(0..500);
                let sent = self.now;
                let Some(report) = self.runners[target].report(self.now, lag) else {
                    continue;
                };
                if !lost {
                    let report = engine::Report { age_ms: lag, ..report };
                    let event = Event::Report { vm, target: target.clone(), sent, report };
                    self.schedule(there + back, event);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > self.now.as_millis() {
                break;
            }
            let event = first.remove();
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Request { vm, op, request, answered } => {
                let answer = self.serve(&request);
                if answered {
                    let transit_ms = self.rng.random_range(1..100);
                    self.schedule(transit_ms, Event::Answer { vm, op, result: Ok(answer) });
                }
            }
            Event::Order { vm, op, target, order, answered } => {
                let reply = self.execute_order(&target, &order);
                if answered {
                    let transit_ms = self.rng.random_range(1..100);
                    self.schedule(transit_ms, Event::Reply { vm, op, reply });
                }
            }
            Event::Answer { vm, op, result } => {
                let mut out = Vec::new();
                self.vms[vm].planner.handle_answer(self.now, op, result, &mut out);
                self.send(vm, out);
            }
            Event::Reply { vm, op, reply } => {
                self.vms[vm].planner.record_reply(self.now, op, reply);
            }
            Event::Report { vm, target, sent, report } => {
                self.vms[vm].planner.record_report(self.now, &target, sent, &report);
            }
        }
    }

    /// Delivers an order to its runner.
    fn execute_order(
        &mut self,
        target: &ids::Target,
        order: &engine::Order,
    ) -> engine::order::Reply {
        let runner = self.runners.get_mut(target).unwrap();
        let reply = runner.order(self.now, order);
        let taken = reply == engine::order::Reply::Taken;
        let is_load = order.action == engine::order::Action::Load;
        if taken && is_load && !order.item.contains(':') {
            self.loads.push(self.now);
        }
        reply
    }

    fn serve(&mut self, request: &table::Request) -> table::Answer {
        match request {
            table::Request::Get { key } => table::Answer::Row(self.row(key)),
            table::Request::Scan { prefix, after, limit } => {
                let keys = self.rows.keys().filter(|key| key.starts_with(&**prefix));
                let keys = keys.filter(|key| after.as_ref().is_none_or(|after| *key > after));
                let rows = keys.take(*limit).filter_map(|key| self.row(key)).collect();
                table::Answer::Rows(rows)
            }
            table::Request::Write { writes } => {
                let matches_version = |write: &&table::Write| {
                    self.rows.get(&write.key).map(|(version, _)| *version) == write.expect
                };
                if !writes.iter().all(|write| matches_version(&write)) {
                    return table::Answer::Conflict { rows: Vec::new() };
                }
                for write in writes {
                    let version = write.expect.unwrap_or_default().next();
                    let value = write.value.clone().unwrap();
                    self.rows.insert(sync::Arc::clone(&write.key), (version, value));
                }
                table::Answer::Written
            }
        }
    }

    fn row(&self, key: &sync::Arc<str>) -> Option<table::Row> {
        let (version, value) = self.rows.get(key)?;
        Some(table::Row {
            key: sync::Arc::clone(key),
            version: *version,
            value: sync::Arc::clone(value),
        })
    }

    /// The names of all declared items.
    pub fn items(&self) -> Vec<String> {
        let models = self.bundle.models.iter().map(|model| model.name.to_string());
        let adapters = self.bundle.adapters.iter();
        models.chain(adapters.map(|each| format!("{}:{}", each.model, each.name))).collect()
    }

    /// Whether a runner actually serves `item`, whatever the planners have recorded.
    pub fn is_served(&self, item: &str) -> bool {
        self.runners.values().any(|runner| runner.serves(item))
    }

    /// Checks the invariants: memory in use and reachability of the items.
    fn check_invariants(&mut self) {
        for (name, runner) in &self.runners {
            if runner.used_mib() > runner.memory_mib {
                let used = runner.used_mib();
                self.violations.push(format!("{}: {name} uses {used} MiB", self.now));
            }
        }
        if !self.check_reachability {
            return;
        }
        for item in self.items() {
            if self.is_served(&item) {
                let is_reported =
                    |planner: &plan::Planner| !planner.ready_targets(self.now, &item).is_empty();
                if self.leader().is_some_and(is_reported) {
                    self.reached.insert(item);
                }
            } else if self.reached.contains(&item) {
                self.violations.push(format!("{}: nothing serves {item}", self.now));
            }
        }
    }

    /// Differences between the fleet and the bundle.
    pub fn unconverged(&self) -> Vec<String> {
        let mut found = Vec::new();
        for model in &self.bundle.models {
            let name = model.name.as_str();
            let ready = self.runners.iter().filter(|(target, runner)| {
                !self.drained.contains(*target) && runner.has_ready(name, &model.version)
            });
            if ready.count() < model.copies as usize {
                found.push(format!("{name}@{} has too few copies", model.version));
            }
        }
        for adapter in &self.bundle.adapters {
            let name = format!("{}:{}", adapter.model, adapter.name);
            let ready = self
                .runners
                .values()
                .any(|runner| runner.has_ready(&name, &adapter.version) && runner.serves(&name));
            if !ready {
                found.push(format!("{name}@{} has no copy", adapter.version));
            }
        }
        for (key, (_, text)) in &self.rows {
            let ledger = plan::ledger::Ledger::from_json(text).unwrap();
            for each in ledger.residents {
                if each.state != plan::ledger::State::Ready {
                    found.push(format!("{key}: {} still {:?}", each.item, each.state));
                }
            }
        }
        found
    }
}
