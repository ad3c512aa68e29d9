//! Simulation of a fleet of tables that exchange messages under changing heads.
//! It records the use on all VMs and checks it against the limits. Time is
//! virtual.

use std::{collections, fmt::Write as _};

use rand::{Rng as _, SeedableRng as _};

/// Step of the simulation, in ms.
pub const STEP_MS: u64 = 5;

/// How long a VM serves after it was last connected, in ms.
const MAX_STALENESS_MS: u64 = 3_000;

/// Time after which every VM that does not know a head is fenced, in ms.
const FENCED_MS: u64 = 3_300;

enum Event {
    Peer(usize, ids::Incarnation, quota::Message),
    Adopt(u64),
    Settled(u64),
    /// A call of this incarnation ends and has used this number of tokens.
    End(ids::Incarnation, ids::Call, u64),
}

pub struct Vm {
    pub table: Option<quota::Table>,
    pub frozen: bool,
    pub isolated: bool,
    /// Whether new heads omit it from the members.
    pub removed: bool,
    /// Tokens per second that generated calls reserve.
    pub demand: u64,
    incarnation: ids::Incarnation,
    adopted: u64,
    fresh_until: u64,
    offset: u64,
    deferred: Vec<Event>,
    /// Bytes sent and received; `messages` counts likewise.
    pub bytes: u64,
    pub messages: u64,
}

/// The parts of a head that matter for limits.
struct Head {
    members: Vec<quota::Member>,
    limit: quota::Limit,
    made_at: u64,
    settled_at: Option<u64>,
}

/// Time in ms and tokens used of a granted call.
type Use = (u64, u64);

pub struct Fleet {
    pub now: u64,
    pub rng: rand::rngs::SmallRng,
    pub vms: Vec<Vm>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u64,
    pub cuts: collections::BTreeSet<(usize, usize)>,
    /// Minimum and maximum tokens that a call reserves.
    pub reservations: (u64, u64),
    /// Minimum percentage of its reservation that a call uses.
    pub used_percent: u64,
    /// Minimum and maximum duration of a call, in ms.
    pub call_ms: (u64, u64),
    heads: Vec<Head>,
    /// Log of calls and outputs, if enabled.
    pub session: Option<String>,
    pub uses: Vec<Use>,
    /// Time, reservation and use of each call.
    arrivals: Vec<(u64, u64, u64)>,
    pub refusals: Vec<(u64, u64, quota::Reason)>,
    open: collections::BTreeMap<(usize, ids::Call), (u64, u64)>,
    events: collections::BTreeMap<(u64, u64), (usize, Event)>,
    sequence: u64,
}

pub fn account() -> ids::Account {
    "growers".into()
}

impl Fleet {
    /// A fleet whose shares are settled and whose buckets are full.
    pub fn new(vms: usize, seed: u64, rate: u64, burst: u64) -> Self {
        let mut fleet = Self {
            now: 1_000,
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            vms: Vec::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 4,
            cuts: collections::BTreeSet::new(),
            reservations: (100, 900),
            used_percent: 100,
            call_ms: (20, 3_000),
            heads: Vec::new(),
            session: None,
            uses: Vec::new(),
            arrivals: Vec::new(),
            refusals: Vec::new(),
            open: collections::BTreeMap::new(),
            events: collections::BTreeMap::new(),
            sequence: 0,
        };
        for vm in 0..vms {
            let offset = fleet.rng.random_range(0..1_000_000);
            fleet.vms.push(Vm {
                table: None,
                frozen: false,
                isolated: false,
                removed: false,
                demand: 0,
                incarnation: ids::Incarnation::new(0),
                adopted: 0,
                fresh_until: 0,
                offset,
                deferred: Vec::new(),
                bytes: 0,
                messages: 0,
            });
            fleet.restart(vm);
        }
        fleet.set_limit(rate, burst);
        fleet.run(5_000 + burst * 1_000 / rate);
        fleet
    }

    fn name(vm: usize) -> ids::Vm {
        format!("vm-{vm}").into()
    }

    pub fn member(&self, vm: usize) -> quota::Member {
        quota::Member { vm: Self::name(vm), incarnation: self.vms[vm].incarnation }
    }

    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].table = None;
    }

    /// Starts a new process; it becomes a member with the next head.
    pub fn restart(&mut self, vm: usize) {
        self.vms[vm].incarnation = ids::Incarnation::new(self.now * 1_000 + vm as u64);
        let config = quota::Config::new(self.member(vm));
        let entry = &mut self.vms[vm];
        entry.table = Some(quota::Table::new(config));
        entry.frozen = false;
        entry.adopted = 0;
        entry.fresh_until = 0;
        entry.deferred.clear();
    }

    /// Creates a head with this limit and all live VMs.
    pub fn set_limit(&mut self, rate: u64, burst: u64) {
        let live = |vm: &usize| self.vms[*vm].table.is_some() && !self.vms[*vm].removed;
        let members = (0..self.vms.len()).filter(live).map(|vm| self.member(vm));
        let limit = quota::Limit { account: account(), rate, burst };
        self.heads.push(Head {
            members: members.collect(),
            limit,
            made_at: self.now,
            settled_at: None,
        });
        let version = self.heads.len() as u64;
        for vm in 0..self.vms.len() {
            let delay = self.rng.random_range(1..400);
            self.schedule(vm, delay, Event::Adopt(version));
        }
    }

    /// Creates a head with the current limit and all live VMs.
    pub fn renew_head(&mut self) {
        let limit = self.heads.last().unwrap().limit.clone();
        self.set_limit(limit.rate, limit.burst);
    }

    pub fn serves(&self, vm: usize) -> bool {
        let entry = &self.vms[vm];
        let head = entry.adopted.checked_sub(1).map(|at| &self.heads[usize::try_from(at).unwrap()]);
        let member = head.is_some_and(|head| head.members.contains(&self.member(vm)));
        entry.table.is_some() && !entry.frozen && member && self.now < entry.fresh_until
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (vm, event) = entry.remove();
            self.deliver(vm, event);
        }
        let latest = self.heads.len() as u64;
        for vm in 0..self.vms.len() {
            if self.vms[vm].frozen {
                continue;
            }
            for event in std::mem::take(&mut self.vms[vm].deferred) {
                self.deliver(vm, event);
            }
            let entry = &mut self.vms[vm];
            if !entry.isolated && entry.adopted == latest {
                entry.fresh_until = self.now + MAX_STALENESS_MS;
            } else if !entry.isolated && entry.table.is_some() && self.rng.random_range(0..200) == 0
            {
                self.deliver(vm, Event::Adopt(latest));
            }
            if (self.now / STEP_MS + vm as u64).is_multiple_of(2) {
                self.with_table(vm, quota::Table::tick);
            }
            self.generate_calls(vm);
        }
        self.settle_heads();
    }

    /// Settles the newest head once all VMs that may serve have reached it, or
    /// after the fencing time.
    fn settle_heads(&mut self) {
        let latest = self.heads.len() as u64;
        let Some(head) = self.heads.last().filter(|head| head.settled_at.is_none()) else {
            return;
        };
        let timed = self.now >= head.made_at + FENCED_MS;
        let may_serve = |vm: &Vm| vm.table.is_some() && vm.adopted < latest;
        if !timed && self.vms.iter().any(may_serve) {
            return;
        }
        self.heads.last_mut().unwrap().settled_at = Some(self.now);
        for vm in 0..self.vms.len() {
            let delay = self.rng.random_range(1..100);
            self.schedule(vm, delay, Event::Settled(latest));
        }
    }

    fn generate_calls(&mut self, vm: usize) {
        if self.vms[vm].demand == 0 || !self.serves(vm) {
            return;
        }
        let mean = f64::midpoint(self.reservations.0 as f64, self.reservations.1 as f64);
        let calls = self.vms[vm].demand as f64 * STEP_MS as f64 / 1_000.0 / mean;
        let mut remaining = calls - self.rng.random::<f64>();
        while remaining > 0.0 {
            remaining -= 1.0;
            let tokens = self.rng.random_range(self.reservations.0..=self.reservations.1);
            let percent = self.rng.random_range(self.used_percent..=100);
            self.call(vm, tokens, tokens * percent / 100);
        }
    }

    /// Requests `tokens` for a call that will use `used`.
    pub fn call(&mut self, vm: usize, tokens: u64, used: u64) {
        self.sequence += 1;
        let call = ids::Call::new(self.sequence);
        self.log(vm, &format!("call {call} may use {tokens} and will use {used}"));
        self.open.insert((vm, call), (tokens, used));
        self.arrivals.push((self.now, tokens, used));
        self.with_table(vm, |table, now, out| {
            table.reserve(now, call, &account(), tokens, out);
        });
    }

    fn with_table(
        &mut self,
        vm: usize,
        act: impl FnOnce(&mut quota::Table, ids::Time, &mut Vec<quota::Output>),
    ) {
        let entry = &mut self.vms[vm];
        let now = ids::Time::from_millis(self.now + entry.offset);
        let mut out = Vec::new();
        if let Some(table) = &mut entry.table {
            act(table, now, &mut out);
        }
        for output in out {
            self.apply(vm, output);
        }
    }

    fn log(&mut self, vm: usize, text: &str) {
        if let Some(session) = &mut self.session {
            writeln!(session, "{:>6} {} {text}", self.now, Self::name(vm)).unwrap();
        }
    }

    fn apply(&mut self, vm: usize, output: quota::Output) {
        self.log(vm, &serde_json::to_string(&output).unwrap());
        match output {
            quota::Output::Granted { call } => {
                let (_, used) = self.open.remove(&(vm, call)).unwrap();
                // A VM that was fenced in the meantime drops the call.
                let used = if self.serves(vm) { used } else { 0 };
                self.uses.push((self.now, used));
                let length = self.rng.random_range(self.call_ms.0..=self.call_ms.1);
                let incarnation = self.vms[vm].incarnation;
                self.schedule(vm, length, Event::End(incarnation, call, used));
            }
            quota::Output::Short { call, reason, .. } => {
                let (tokens, _) = self.open.remove(&(vm, call)).unwrap();
                self.refusals.push((self.now, tokens, reason));
            }
            quota::Output::Peer { to, message } => self.send(vm, &to, &message),
        }
    }

    fn send(&mut self, vm: usize, to: &ids::Vm, message: &quota::Message) {
        let to = (0..self.vms.len()).find(|vm| Self::name(*vm) == *to).unwrap();
        let incarnation = self.vms[vm].incarnation;
        let frame = wire::Frame { incarnation: incarnation.get(), message };
        let bytes = wire::encode(&frame).unwrap().len() as u64;
        for end in [vm, to] {
            self.vms[end].bytes += bytes;
            self.vms[end].messages += 1;
        }
        let cut = self.cuts.contains(&(vm, to)) || self.vms[vm].isolated || self.vms[to].isolated;
        let copies = 1 + usize::from(self.rng.random_range(0..100) < self.duplicate_percent);
        for _ in 0..copies {
            if !cut && self.rng.random_range(0..100) >= self.loss_percent {
                let delay = self.rng.random_range(1..=self.max_delay_ms);
                self.schedule(to, delay, Event::Peer(vm, incarnation, message.clone()));
            }
        }
    }

    fn schedule(&mut self, vm: usize, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), (vm, event));
    }

    fn deliver(&mut self, vm: usize, event: Event) {
        if self.vms[vm].frozen {
            self.vms[vm].deferred.push(event);
            return;
        }
        let cut = self.vms[vm].isolated;
        match event {
            Event::Peer(from, incarnation, message) => {
                let serving = self.serves(vm);
                let from = Self::name(from);
                self.with_table(vm, |table, now, out| {
                    table.on_message(now, serving, &from, incarnation, message, out);
                });
            }
            Event::Adopt(version) => {
                if !cut && version > self.vms[vm].adopted {
                    self.vms[vm].adopted = version;
                    let head = &self.heads[usize::try_from(version - 1).unwrap()];
                    let (members, limits) = (head.members.clone(), [head.limit.clone()]);
                    let version = ids::Version::new(version);
                    self.with_table(vm, |table, now, _| {
                        table.adopt(now, version, &members, &limits);
                    });
                }
            }
            Event::Settled(version) => {
                if !cut {
                    let version = ids::Version::new(version);
                    self.with_table(vm, |table, now, _| table.on_settled(now, version));
                }
            }
            Event::End(incarnation, call, used) => {
                if self.vms[vm].incarnation == incarnation {
                    self.with_table(vm, |table, now, _| table.finish(now, call, used));
                }
            }
        }
    }

    /// Maximum use in any window beyond the rate times the length of the window.
    pub fn max_excess(&self, rate: u64, from: u64, to: u64) -> f64 {
        let mut level = 0.0_f64;
        let mut most = 0.0_f64;
        let mut last = from;
        for (time, used) in self.uses.iter().filter(|(time, _)| (from..to).contains(time)) {
            level = (level - rate as f64 * (time - last) as f64 / 1_000.0).max(0.0);
            last = *time;
            level += *used as f64;
            most = most.max(level);
        }
        most
    }

    /// Whether no window exceeds the limits: the highest limit over the whole run,
    /// and the limit of each head from when it settled until the next was made.
    pub fn within_limits(&self) -> bool {
        let rate = self.heads.iter().map(|head| head.limit.rate).max().unwrap();
        let burst = self.heads.iter().map(|head| head.limit.burst).max().unwrap();
        let mut within = self.max_excess(rate, 0, u64::MAX) <= burst as f64;
        for (index, head) in self.heads.iter().enumerate() {
            let end = self.heads.get(index + 1).map_or(u64::MAX, |next| next.made_at);
            let settled = head.settled_at.unwrap_or(end);
            let most = self.max_excess(head.limit.rate, settled, end.max(settled));
            within &= most <= head.limit.burst as f64;
        }
        within
    }

    /// Number of calls since `from` that a single bucket for all VMs would have
    /// refused if it was full at `from` and each call was charged its actual use
    /// on arrival.
    pub fn refused_by_one_bucket(&self, rate: u64, burst: u64, from: u64) -> usize {
        let (mut level, mut last) = (burst as f64, from);
        let mut refused = 0;
        for (time, tokens, used) in self.arrivals.iter().filter(|(time, ..)| *time >= from) {
            let fresh = rate as f64 * (time - last) as f64 / 1_000.0;
            level = (level + fresh).min(burst as f64);
            last = *time;
            if level >= *tokens as f64 {
                level -= *used as f64;
            } else {
                refused += 1;
            }
        }
        refused
    }

    /// Tokens used since `from`.
    pub fn used(&self, from: u64) -> u64 {
        let uses = self.uses.iter().filter(|(time, _)| *time >= from);
        uses.map(|(_, used)| used).sum()
    }
}
