//! A few tables that exchange messages, under heads that change, and a judge
//! who adds up what all VMs let through. Time is virtual.

use std::{collections, fmt::Write as _};

use rand::{Rng as _, SeedableRng as _};

/// Resolution of the run, in ms.
pub const STEP: u64 = 5;

/// How long a VM serves after it was last in touch, in ms.
const FRESH_MS: u64 = 3_000;

/// When whoever does not know a head is certainly fenced, in ms.
const FENCED_MS: u64 = 3_300;

enum Event {
    Peer(usize, ids::Incarnation, quota::Message),
    Adopt(u64),
    Settled(u64),
    /// A call of this incarnation ends, having used so many tokens.
    End(ids::Incarnation, ids::Call, u64),
}

pub struct Vm {
    pub table: Option<quota::Table>,
    pub frozen: bool,
    pub isolated: bool,
    /// Whether new heads leave it out.
    pub removed: bool,
    /// Tokens asked for in a second, as calls bring them.
    pub demand: u64,
    incarnation: ids::Incarnation,
    adopted: u64,
    fresh_until: u64,
    offset: u64,
    held: Vec<Event>,
    /// Bytes and messages sent and received.
    pub bytes: u64,
    pub messages: u64,
}

/// A head as far as it matters here.
struct Head {
    members: Vec<quota::Member>,
    limit: quota::Limit,
    made: u64,
    settled: Option<u64>,
}

/// What a call was let through with: the moment and the tokens it used.
type Use = (u64, u64);

pub struct Fleet {
    pub now: u64,
    pub rng: rand::rngs::SmallRng,
    pub vms: Vec<Vm>,
    pub loss: u32,
    pub doubling: u32,
    pub lag: u64,
    pub cuts: collections::BTreeSet<(usize, usize)>,
    /// Tokens that calls reserve at least and at most.
    pub sizes: (u64, u64),
    /// Part of its reservation that a call uses at least, in percent.
    pub used_percent: u64,
    /// Shortest and longest call, in ms.
    pub lengths: (u64, u64),
    heads: Vec<Head>,
    /// What happened, if it is to be noted.
    pub session: Option<String>,
    pub uses: Vec<Use>,
    /// Moment, reservation and use of each call.
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
            loss: 0,
            doubling: 0,
            lag: 4,
            cuts: collections::BTreeSet::new(),
            sizes: (100, 900),
            used_percent: 100,
            lengths: (20, 3_000),
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
                held: Vec::new(),
                bytes: 0,
                messages: 0,
            });
            fleet.restart(vm);
        }
        fleet.limit(rate, burst);
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

    /// Starts another process; it joins by a change of the head.
    pub fn restart(&mut self, vm: usize) {
        self.vms[vm].incarnation = ids::Incarnation::new(self.now * 1_000 + vm as u64);
        let config = quota::Config::new(self.member(vm));
        let entry = &mut self.vms[vm];
        entry.table = Some(quota::Table::new(config));
        entry.frozen = false;
        entry.adopted = 0;
        entry.fresh_until = 0;
        entry.held.clear();
    }

    /// Makes a head with another limit and all live VMs.
    pub fn limit(&mut self, rate: u64, burst: u64) {
        let live = |vm: &usize| self.vms[*vm].table.is_some() && !self.vms[*vm].removed;
        let members = (0..self.vms.len()).filter(live).map(|vm| self.member(vm));
        let limit = quota::Limit { account: account(), rate, burst };
        self.heads.push(Head { members: members.collect(), limit, made: self.now, settled: None });
        let version = self.heads.len() as u64;
        for vm in 0..self.vms.len() {
            let delay = self.rng.random_range(1..400);
            self.post(vm, delay, Event::Adopt(version));
        }
    }

    /// Makes a head with the present limit.
    pub fn join(&mut self) {
        let limit = self.heads.last().unwrap().limit.clone();
        self.limit(limit.rate, limit.burst);
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
        self.now += STEP;
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
            for event in std::mem::take(&mut self.vms[vm].held) {
                self.deliver(vm, event);
            }
            let entry = &mut self.vms[vm];
            if !entry.isolated && entry.adopted == latest {
                entry.fresh_until = self.now + FRESH_MS;
            } else if !entry.isolated && entry.table.is_some() && self.rng.random_range(0..200) == 0
            {
                self.deliver(vm, Event::Adopt(latest));
            }
            if (self.now / STEP + vm as u64).is_multiple_of(2) {
                self.with(vm, quota::Table::tick);
            }
            self.load(vm);
        }
        self.settle_heads();
    }

    /// Settles a head once all that serve have reached it, or in time.
    fn settle_heads(&mut self) {
        let latest = self.heads.len() as u64;
        let Some(head) = self.heads.last().filter(|head| head.settled.is_none()) else {
            return;
        };
        let timed = self.now >= head.made + FENCED_MS;
        let may_serve = |vm: &Vm| vm.table.is_some() && vm.adopted < latest;
        if !timed && self.vms.iter().any(may_serve) {
            return;
        }
        self.heads.last_mut().unwrap().settled = Some(self.now);
        for vm in 0..self.vms.len() {
            let delay = self.rng.random_range(1..100);
            self.post(vm, delay, Event::Settled(latest));
        }
    }

    fn load(&mut self, vm: usize) {
        if self.vms[vm].demand == 0 || !self.serves(vm) {
            return;
        }
        let mean = f64::midpoint(self.sizes.0 as f64, self.sizes.1 as f64);
        let calls = self.vms[vm].demand as f64 * STEP as f64 / 1_000.0 / mean;
        let mut due = calls - self.rng.random::<f64>();
        while due > 0.0 {
            due -= 1.0;
            let tokens = self.rng.random_range(self.sizes.0..=self.sizes.1);
            let percent = self.rng.random_range(self.used_percent..=100);
            self.call(vm, tokens, tokens * percent / 100);
        }
    }

    /// A call that reserves `tokens` and uses `used`.
    pub fn call(&mut self, vm: usize, tokens: u64, used: u64) {
        self.sequence += 1;
        let call = ids::Call::new(self.sequence);
        self.note(vm, &format!("call {call} may use {tokens} and will use {used}"));
        self.open.insert((vm, call), (tokens, used));
        self.arrivals.push((self.now, tokens, used));
        self.with(vm, |table, now, out| {
            table.reserve(now, call, &account(), tokens, out);
        });
    }

    fn with(
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
            self.take(vm, output);
        }
    }

    fn note(&mut self, vm: usize, text: &str) {
        if let Some(session) = &mut self.session {
            writeln!(session, "{:>6} {} {text}", self.now, Self::name(vm)).unwrap();
        }
    }

    fn take(&mut self, vm: usize, output: quota::Output) {
        self.note(vm, &serde_json::to_string(&output).unwrap());
        match output {
            quota::Output::Granted { call } => {
                let (_, used) = self.open.remove(&(vm, call)).unwrap();
                // A VM that has been fenced meanwhile drops the call.
                let used = if self.serves(vm) { used } else { 0 };
                self.uses.push((self.now, used));
                let length = self.rng.random_range(self.lengths.0..=self.lengths.1);
                let incarnation = self.vms[vm].incarnation;
                self.post(vm, length, Event::End(incarnation, call, used));
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
        let copies = 1 + usize::from(self.rng.random_range(0..100) < self.doubling);
        for _ in 0..copies {
            if !cut && self.rng.random_range(0..100) >= self.loss {
                let delay = self.rng.random_range(1..=self.lag);
                self.post(to, delay, Event::Peer(vm, incarnation, message.clone()));
            }
        }
    }

    fn post(&mut self, vm: usize, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), (vm, event));
    }

    fn deliver(&mut self, vm: usize, event: Event) {
        if self.vms[vm].frozen {
            self.vms[vm].held.push(event);
            return;
        }
        let cut = self.vms[vm].isolated;
        match event {
            Event::Peer(from, incarnation, message) => {
                let serving = self.serves(vm);
                let from = Self::name(from);
                self.with(vm, |table, now, out| {
                    table.on_message(now, serving, &from, incarnation, message, out);
                });
            }
            Event::Adopt(version) => {
                if !cut && version > self.vms[vm].adopted {
                    self.vms[vm].adopted = version;
                    let head = &self.heads[usize::try_from(version - 1).unwrap()];
                    let (members, limits) = (head.members.clone(), [head.limit.clone()]);
                    let version = ids::Version::new(version);
                    self.with(vm, |table, now, _| {
                        table.adopt(now, version, &members, &limits);
                    });
                }
            }
            Event::Settled(version) => {
                if !cut {
                    let version = ids::Version::new(version);
                    self.with(vm, |table, now, _| table.on_settled(now, version));
                }
            }
            Event::End(incarnation, call, used) => {
                if self.vms[vm].incarnation == incarnation {
                    self.with(vm, |table, now, _| table.finish(now, call, used));
                }
            }
        }
    }

    /// The most that was used in any window beyond the rate times the window.
    pub fn most_beyond(&self, rate: u64, from: u64, to: u64) -> f64 {
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

    /// Whether no window had more than the limit allows: under each head that
    /// was settled until the next was made, and with the highest limit always.
    pub fn within_limits(&self) -> bool {
        let rate = self.heads.iter().map(|head| head.limit.rate).max().unwrap();
        let burst = self.heads.iter().map(|head| head.limit.burst).max().unwrap();
        let mut within = self.most_beyond(rate, 0, u64::MAX) <= burst as f64;
        for (place, head) in self.heads.iter().enumerate() {
            let end = self.heads.get(place + 1).map_or(u64::MAX, |next| next.made);
            let settled = head.settled.unwrap_or(end);
            let most = self.most_beyond(head.limit.rate, settled, end.max(settled));
            within &= most <= head.limit.burst as f64;
        }
        within
    }

    /// Calls since `from` that one bucket for all VMs would have refused, full
    /// at first and charged at once with what a call comes to use.
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
