//! Simulation of a fleet of views over one table service, with fault injection.
//!
//! Time is virtual. Every VM has its own clock, with an offset and a rate.

use std::{collections, fmt::Write as _, sync, time};

use rand::{Rng as _, SeedableRng as _};

pub const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;

/// Fleets with more VMs use the settings of the largest deployments.
const LARGE_FLEET: usize = 50;

/// Messages and bytes that a VM has sent and received.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub enum Event {
    Request(store::table::Request),
    Answer(store::Result<store::table::Answer>),
    Peer(ids::Vm, ids::Incarnation, member::Message),
    Adopt(ids::Version),
}

/// A scheduled event. `vm` is the receiver or, for a request, the sender.
struct Delivery {
    vm: usize,
    incarnation: ids::Incarnation,
    op: ids::Op,
    event: Event,
}

pub struct Vm {
    pub view: Option<member::View>,
    pub incarnation: ids::Incarnation,
    pub frozen: bool,
    pub table_unreachable: bool,
    pub listed: bool,
    /// Virtual time in ms at which it left.
    pub left: Option<u64>,
    pub settled: ids::Version,
    /// Why it does not serve, from its last output.
    pub fenced_reason: Option<member::Reason>,
    pub traffic: Traffic,
    deferred: Vec<Delivery>,
    offset: u64,
    /// Rate of the clock in thousandths.
    rate: u64,
    adopted: ids::Version,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Store {
    Up,
    Down,
    Slow,
    LosesAnswers,
}

pub struct Fleet {
    pub now: u64,
    pub rng: rand::rngs::SmallRng,
    pub vms: Vec<Vm>,
    pub store: Store,
    /// Directed links that are cut.
    pub cuts: collections::BTreeSet<(usize, usize)>,
    /// Percentage of messages that are lost.
    pub loss_percent: u32,
    pub rows: collections::BTreeMap<String, store::table::Row>,
    pub outcomes: collections::BTreeMap<u64, member::Outcome>,
    /// Keys withdrawn by each amendments object.
    pub objects: collections::BTreeMap<ids::Digest, collections::BTreeSet<ids::Key>>,
    withdrawals: collections::BTreeMap<u64, ids::Key>,
    /// The object of each requested change, by operation.
    pub changes: collections::BTreeMap<u64, ids::Digest>,
    /// All objects that a written head has named.
    pub written: collections::BTreeSet<ids::Digest>,
    pub withdrawn: collections::BTreeSet<ids::Key>,
    pub reads: usize,
    pub session: String,
    /// Whether the session records every output.
    pub trace: bool,
    pub max_delay_ms: u64,
    /// Whether it has the settings of the largest deployments.
    large: bool,
    pub objects_up: bool,
    /// The newest version that a VM reported as settled or in force.
    pub enforced: ids::Version,
    events: collections::BTreeMap<(u64, u64), Delivery>,
    sequence: u64,
    ops: u64,
}

impl Fleet {
    pub fn new(vms: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: 1_000,
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            vms: Vec::new(),
            store: Store::Up,
            cuts: collections::BTreeSet::new(),
            loss_percent: 0,
            rows: collections::BTreeMap::new(),
            outcomes: collections::BTreeMap::new(),
            objects: collections::BTreeMap::new(),
            withdrawals: collections::BTreeMap::new(),
            changes: collections::BTreeMap::new(),
            written: collections::BTreeSet::new(),
            withdrawn: collections::BTreeSet::new(),
            reads: 0,
            session: String::new(),
            trace: false,
            max_delay_ms: 5,
            large: vms > LARGE_FLEET,
            objects_up: true,
            enforced: ids::Version::default(),
            events: collections::BTreeMap::new(),
            sequence: 0,
            ops: 0,
        };
        (0..vms).for_each(|_| fleet.add_vm());
        fleet
    }

    /// Adds a VM and starts it.
    pub fn add_vm(&mut self) {
        let vm = self.vms.len();
        let offset = self.rng.random_range(0..10_000_000);
        let rate = self.rng.random_range(970..=1_030);
        self.vms.push(Vm {
            view: None,
            incarnation: ids::Incarnation::new(0),
            frozen: false,
            table_unreachable: false,
            listed: true,
            left: None,
            settled: ids::Version::default(),
            fenced_reason: Some(member::Reason::Starting),
            traffic: Traffic::default(),
            deferred: Vec::new(),
            offset,
            rate,
            adopted: ids::Version::default(),
        });
        self.start(vm);
    }

    /// A fleet in which all VMs are members from the start.
    pub fn with_initial_members(vms: usize, seed: u64) -> Self {
        let mut fleet = Self::new(vms, seed);
        let join = |head: member::Head, vm| head.with_member(fleet.member(vm), 9);
        let mut head = (0..vms).fold(member::Head::default(), join);
        head.version = ids::Version::new(1);
        fleet.execute(member::row::write_request(&head));
        fleet.run_until(30_000, |fleet| fleet.serving_count() == vms);
        fleet
    }

    /// A fleet whose VMs all serve and whose head is settled.
    pub fn serving(vms: usize, seed: u64) -> Self {
        let mut fleet = Self::new(vms, seed);
        fleet.run_until(30_000, |fleet| {
            let version = fleet.rows.get("head").map(|row| row.version);
            fleet.serving_count() == vms && fleet.vms.iter().all(|vm| Some(vm.settled) == version)
        });
        fleet
    }

    pub fn name(vm: usize) -> ids::Vm {
        format!("vm-{vm:03}").into()
    }

    pub fn local_time(&self, vm: usize) -> ids::Time {
        let vm = &self.vms[vm];
        ids::Time::from_millis(vm.offset + self.now * vm.rate / 1_000)
    }

    pub fn start(&mut self, vm: usize) {
        self.start_as(vm, ids::Incarnation::new(self.now + vm as u64));
    }

    /// Starts a VM as this incarnation.
    pub fn start_as(&mut self, vm: usize, incarnation: ids::Incarnation) {
        self.vms[vm].incarnation = incarnation;
        let mut config = member::Config::new(self.member(vm), 1);
        if self.large {
            config.max_staleness = time::Duration::from_secs(5);
            config.read_interval = time::Duration::from_secs(1);
        }
        let entry = &mut self.vms[vm];
        entry.view = Some(member::View::new(config));
        entry.frozen = false;
        entry.left = None;
        entry.deferred.clear();
        entry.settled = ids::Version::default();
        entry.adopted = ids::Version::default();
    }

    fn member(&self, vm: usize) -> member::Member {
        member::Member {
            vm: Self::name(vm),
            incarnation: self.vms[vm].incarnation,
            centre: ["a", "b", "c", "d", "e", "f"][vm % 6].into(),
            peer: format!("10.0.0.{vm}:7000").into(),
        }
    }

    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].view = None;
    }

    pub fn isolate(&mut self, vm: usize) {
        self.vms[vm].table_unreachable = true;
        for other in 0..self.vms.len() {
            self.cuts.insert((vm, other));
            self.cuts.insert((other, vm));
        }
    }

    pub fn heal(&mut self) {
        self.store = Store::Up;
        self.loss_percent = 0;
        self.objects_up = true;
        self.cuts.clear();
        for vm in 0..self.vms.len() {
            self.vms[vm].table_unreachable = false;
            self.vms[vm].frozen = false;
        }
    }

    pub fn serves(&self, vm: usize) -> bool {
        let view = self.vms[vm].view.as_ref();
        view.is_some_and(|view| view.serves(self.local_time(vm)).is_ok())
    }

    pub fn serving_count(&self) -> usize {
        (0..self.vms.len()).filter(|vm| self.serves(*vm)).count()
    }

    pub fn head_version(&self) -> ids::Version {
        self.rows["head"].version
    }

    /// Requests the withdrawal of a key at a VM and returns the operation id.
    pub fn withdraw_key(&mut self, vm: usize, key: &str) -> u64 {
        let key = ids::Key::from(key);
        let head = self.vms[vm].view.as_ref().and_then(member::View::in_force);
        let replaces = head.and_then(|head| head.amendments);
        let base = replaces.and_then(|digest| self.objects.get(&digest));
        let mut keys = base.cloned().unwrap_or_default();
        keys.insert(key.clone());
        let amendments = ids::Digest::of(format!("{keys:?} {}", self.ops).as_bytes());
        self.objects.insert(amendments, keys);
        let op = self.change(
            vm,
            member::Change::Amend { amendments, replaces, withdrawn: Some(key.clone()) },
        );
        self.withdrawals.insert(op, key);
        op
    }

    /// Requests a new bundle at a VM and returns the operation id.
    pub fn accept_bundle(&mut self, vm: usize, text: &str) -> u64 {
        let head = self.vms[vm].view.as_ref().and_then(member::View::in_force);
        let replaces = head.and_then(|head| head.bundle);
        let bundle = ids::Digest::of(text.as_bytes());
        self.change(vm, member::Change::Bundle { bundle, replaces })
    }

    fn change(&mut self, vm: usize, change: member::Change) -> u64 {
        self.ops += 1;
        let op = ids::Op::new(self.ops);
        let (member::Change::Bundle { bundle: object, .. }
        | member::Change::Amend { amendments: object, .. }) = change;
        self.changes.insert(self.ops, object);
        self.log(vm, &format!("change {op}"));
        self.with_view(vm, |view, now, out| view.request_change(now, op, change, out));
        self.ops
    }

    pub fn leave(&mut self, vm: usize) {
        self.with_view(vm, member::View::leave);
    }

    /// Delivers the platform's list of machines to every VM.
    pub fn deliver_vm_list(&mut self) {
        let listed = (0..self.vms.len()).filter(|vm| self.vms[*vm].listed);
        let entry = |vm| store::vm::Entry {
            name: Self::name(vm).to_string(),
            state: store::vm::State::Live,
        };
        let list: Vec<_> = listed.map(entry).collect();
        for vm in 0..self.vms.len() {
            if !self.vms[vm].frozen {
                self.with_view(vm, |view, now, out| view.on_vm_list(now, &list, out));
            }
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds and returns the elapsed milliseconds.
    #[track_caller]
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now < start + millis, "not within {millis} ms");
            self.step();
        }
        self.now - start
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let delivery = entry.remove();
            self.deliver(delivery);
        }
        for vm in 0..self.vms.len() {
            if self.vms[vm].frozen {
                continue;
            }
            for delivery in std::mem::take(&mut self.vms[vm].deferred) {
                self.deliver(delivery);
            }
            if (self.now / STEP_MS + vm as u64).is_multiple_of(TICK_MS / STEP_MS) {
                self.with_view(vm, member::View::tick);
            }
        }
        self.check_invariants();
    }

    fn with_view(
        &mut self,
        vm: usize,
        act: impl FnOnce(&mut member::View, ids::Time, &mut Vec<member::Output>),
    ) {
        let now = self.local_time(vm);
        let mut out = Vec::new();
        if let Some(view) = &mut self.vms[vm].view {
            act(view, now, &mut out);
        }
        for output in out {
            self.apply(vm, output);
        }
    }

    fn apply(&mut self, vm: usize, output: member::Output) {
        if self.trace {
            let text = serde_json::to_string(&output).unwrap();
            self.log(vm, &text);
        }
        match output {
            member::Output::Table { op, request } => {
                let down = self.store == Store::Down || self.vms[vm].table_unreachable;
                let event = if down {
                    let kind = store::fault::Kind::Refused;
                    Event::Answer(Err(store::Fault::new("ask", "table", kind, "down")))
                } else {
                    Event::Request(request)
                };
                self.schedule(vm, op, event);
            }
            member::Output::Peer { to, message } => {
                let Some(to) = (0..self.vms.len()).find(|vm| Self::name(*vm) == to) else {
                    return;
                };
                let lost = self.rng.random_range(0..100) < self.loss_percent;
                let frame =
                    wire::Frame { incarnation: self.vms[vm].incarnation.get(), message: &message };
                let bytes = wire::encode(&frame).unwrap().len() as u64;
                for end in [vm, to] {
                    self.vms[end].traffic.messages += 1;
                    self.vms[end].traffic.bytes += bytes;
                }
                if !lost && !self.cuts.contains(&(vm, to)) {
                    let incarnation = self.vms[vm].incarnation;
                    let event = Event::Peer(Self::name(vm), incarnation, message);
                    self.schedule(to, ids::Op::default(), event);
                }
            }
            member::Output::Adopt(head) => {
                if self.objects_up {
                    self.schedule(vm, ids::Op::default(), Event::Adopt(head.version));
                }
            }
            member::Output::Settled(version) => {
                self.vms[vm].settled = version;
                self.enforced = self.enforced.max(version);
            }
            member::Output::Changed { op, outcome } => {
                self.log(vm, &format!("{op}: {outcome:?}"));
                if let member::Outcome::InForce { version, .. } = &outcome {
                    self.enforced = self.enforced.max(*version);
                    self.withdrawn.extend(self.withdrawals.get(&op.get()).cloned());
                }
                self.outcomes.insert(op.get(), outcome);
            }
            member::Output::Serving { serving, reason } => {
                self.vms[vm].fenced_reason = reason;
                let reason = reason.map(|reason| reason.to_string()).unwrap_or_default();
                self.log(vm, &format!("serving {serving} {reason}"));
            }
            member::Output::Left => {
                self.vms[vm].left = Some(self.now);
                self.log(vm, "left");
                self.kill(vm);
            }
            member::Output::Members(_) | member::Output::Log(_) => {}
        }
    }

    pub fn log(&mut self, vm: usize, text: &str) {
        writeln!(self.session, "{:>6} {} {}", self.now, Self::name(vm), text).unwrap();
    }

    fn schedule(&mut self, vm: usize, op: ids::Op, event: Event) {
        self.sequence += 1;
        let slow = matches!(event, Event::Request(_)) && self.store == Store::Slow;
        let slow = if slow { self.rng.random_range(0..4_000) } else { 0 };
        let delay = self.rng.random_range(1..=self.max_delay_ms) + slow;
        let incarnation = self.vms[vm].incarnation;
        let delivery = Delivery { vm, incarnation, op, event };
        self.events.insert((self.now + delay, self.sequence), delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { vm, incarnation, op, event } = delivery;
        if let Event::Request(request) = event {
            let answer = self.execute(request);
            let lost = self.store == Store::LosesAnswers || self.vms[vm].table_unreachable;
            let kind = store::fault::Kind::Unknown;
            let lost = lost.then(|| store::Fault::new("ask", "table", kind, "lost"));
            let result = lost.map_or(Ok(answer), Err);
            self.schedule(vm, op, Event::Answer(result));
            return;
        }
        // Messages reach any incarnation; other events only the one that caused them.
        let message = matches!(event, Event::Peer(..));
        if !message && self.vms[vm].incarnation != incarnation {
            return;
        }
        if self.vms[vm].frozen {
            let incarnation = self.vms[vm].incarnation;
            self.vms[vm].deferred.push(Delivery { vm, incarnation, op, event });
            return;
        }
        match event {
            Event::Answer(result) => {
                self.with_view(vm, |view, now, out| view.on_table_answer(now, op, result, out));
            }
            Event::Peer(from, incarnation, message) => self.with_view(vm, |view, now, out| {
                view.on_message(now, &from, incarnation, message, out);
            }),
            Event::Adopt(version) => {
                self.with_view(vm, |view, now, out| view.on_adopted(now, version, out));
            }
            Event::Request(_) => {}
        }
    }

    fn execute(&mut self, request: store::table::Request) -> store::table::Answer {
        match request {
            store::table::Request::Get { key } => {
                self.reads += 1;
                store::table::Answer::Row(self.rows.get(&*key).cloned())
            }
            store::table::Request::Write { writes } => {
                let version = |key: &str| self.rows.get(key).map(|row| row.version);
                let clash = |write: &&store::table::Write| version(&write.key) != write.expect;
                let conflict = |write: &store::table::Write| store::table::Conflict {
                    key: sync::Arc::clone(&write.key),
                    row: self.rows.get(&*write.key).cloned(),
                };
                let rows: Vec<_> = writes.iter().filter(clash).map(conflict).collect();
                if !rows.is_empty() {
                    return store::table::Answer::Conflict { rows };
                }
                for write in writes {
                    let row = store::table::Row {
                        key: sync::Arc::clone(&write.key),
                        version: write.expect.unwrap_or_default().next(),
                        value: write.value.unwrap(),
                    };
                    let head =
                        (&*row.key == "head").then(|| member::row::decode_head(&row).unwrap());
                    let objects = head.map(|head| [head.bundle, head.amendments]);
                    self.written.extend(objects.into_iter().flatten().flatten());
                    self.rows.insert(write.key.to_string(), row);
                }
                store::table::Answer::Written
            }
            store::table::Request::Scan { .. } => store::table::Answer::Rows(Vec::new()),
        }
    }

    /// Checks the safety properties on all VMs, including frozen ones.
    fn check_invariants(&mut self) {
        for vm in 0..self.vms.len() {
            let serves = self.serves(vm);
            let Some(view) = &self.vms[vm].view else {
                continue;
            };
            let Some(head) = view.in_force() else {
                continue;
            };
            let version = head.version;
            assert!(version >= self.vms[vm].adopted, "vm {vm} reverted to {version}");
            let enforced = self.enforced;
            let trail = &self.session;
            assert!(
                !serves || version >= enforced,
                "vm {vm} serves under {version} after {enforced} was in force\n{trail}"
            );
            let object = head.amendments.and_then(|digest| self.objects.get(&digest));
            let refused = |key: &ids::Key| object.is_some_and(|keys| keys.contains(key));
            let admits = |key: &&ids::Key| serves && !refused(key) && !view.is_withdrawn(key);
            let admitted = self.withdrawn.iter().find(admits);
            assert_eq!(admitted, None, "vm {vm} admits a withdrawn key\n{trail}");
            self.vms[vm].adopted = version;
        }
    }
}
