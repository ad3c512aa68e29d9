//! Test harness: a whole fleet of decision cores with a store, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections, sync, time};

use relay::{
    Input, Output, Relay, Settings, config, envelope, input, membership, output, peer, quota,
    target,
};

/// Interval at which all VMs are stepped.
const STEP: time::Duration = time::Duration::from_millis(20);
/// Interval at which a reader polls the targets.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Minimum interval between two reads of the members by a VM.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_millis(300);

pub struct Vm {
    pub name: ids::Vm,
    pub centre: ids::Centre,
    pub relay: Option<Relay>,
    incarnation: u64,
    links: collections::BTreeSet<ids::Vm>,
    follow: output::Follow,
    /// The store's era, as its shell knows it.
    era: u64,
    /// Store version of the members delivered last, if they are watched.
    members_read: Option<u64>,
    members_read_at: ids::Time,
    lease_read: Option<u64>,
    polled_at: ids::Time,
    inbox: Vec<Input>,
    /// Other VMs whose messages it does not receive.
    pub deaf_to: collections::BTreeSet<ids::Vm>,
    /// Whether it reaches the store.
    pub has_store: bool,
    /// Tables of the store that it cannot read.
    pub unread: collections::BTreeSet<input::Table>,
    /// Whether its process is suspended. What arrives meanwhile waits.
    pub is_frozen: bool,
}

/// Counters of the traffic of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes_between_centres: u64,
    pub bytes_by_kind: collections::BTreeMap<&'static str, u64>,
    pub store_calls: collections::BTreeMap<&'static str, u64>,
    /// Largest number of targets in the speed samples of a digest.
    pub most_speed_samples: usize,
    /// Messages to a VM without a connection.
    pub unlinked: u64,
    /// Lines that say that a VM is heard again.
    pub heard_lines: u64,
}

/// A refusal of a call.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub call: ids::Call,
    pub status: u16,
    pub retry_after: Option<time::Duration>,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    /// Number of times it has come back from a copy; 0 if it does not state that.
    pub era: u64,
    pub version: u64,
    /// Whether it answers nothing.
    pub is_away: bool,
    config: sync::Arc<config::Config>,
    /// The targets' entries, each with its version.
    targets: collections::BTreeMap<ids::Target, (u64, target::Entry)>,
    /// The drained data centres.
    drained: collections::BTreeSet<ids::Centre>,
    pub lease: Option<store::table::Row>,
    pub members: collections::BTreeMap<sync::Arc<str>, (u64, member::Member)>,
    members_version: u64,
}

impl Store {
    /// A version in the current era.
    fn at(&self, version: u64) -> ids::Revision {
        ids::Revision::new(ids::Era::new(self.era), ids::Version::new(version))
    }

    /// The current revision.
    fn revision(&self) -> ids::Revision {
        self.at(self.version)
    }

    fn evacuations(&self) -> Input {
        Input::Evacuations { revision: self.revision(), centres: self.drained.clone() }
    }

    fn members(&self) -> Input {
        let row = |(version, member): &(u64, member::Member)| membership::Row {
            member: member.clone(),
            revision: self.at(*version),
        };
        let rows = self.members.values().map(row).collect();
        Input::Members { revision: self.revision(), rows }
    }

    fn lease(&self, clock_ms: u64) -> Input {
        Input::Lease { row: self.lease.clone(), era: ids::Era::new(self.era), clock_ms }
    }

    fn all_targets(&self) -> Input {
        let change = |(version, entry): &(u64, target::Entry)| target::Change {
            target: entry.target.clone(),
            revision: self.at(*version),
            entry: Some(entry.clone()),
        };
        let changes = self.targets.values().map(change).collect();
        Input::Targets(input::Targets { is_full: true, revision: self.revision(), changes })
    }

    fn config(&self) -> Input {
        let config = sync::Arc::clone(&self.config);
        Input::Config { text: text_of(&config), config }
    }
}

/// Stands for the text of a configuration.
fn text_of(config: &config::Config) -> sync::Arc<str> {
    config.version.to_string().into()
}

#[expect(clippy::struct_excessive_bools, reason = "independent switches of a test")]
pub struct Fleet {
    pub now: ids::Time,
    pub vms: Vec<Vm>,
    indices: collections::BTreeMap<ids::Vm, usize>,
    pub store: Store,
    /// All configurations, by their texts.
    configs: collections::BTreeMap<sync::Arc<str>, sync::Arc<config::Config>>,
    /// Messages and answers under way: arrival time, index of the receiver.
    in_flight: Vec<(ids::Time, usize, Input)>,
    pub traffic: Traffic,
    last_call: u64,
    pub admitted: u64,
    pub refused: collections::BTreeMap<&'static str, u64>,
    /// Calls refused with status 503, and when their callers may return.
    pub returns: Vec<(ids::Call, time::Duration)>,
    /// Calls sent to each target.
    pub sent: collections::BTreeMap<ids::Target, u64>,
    /// Whether the test ends the calls that are sent, by their attempts in `begun`.
    pub keeps_calls: bool,
    /// Attempts begun since the test took them, with the index of their VM.
    pub begun: Vec<(usize, output::Begin)>,
    /// Refusals, if the test keeps calls.
    pub answers: Vec<Answer>,
    /// Whether quota units are granted by urgency.
    by_urgency: bool,
    /// VMs that have finished a graceful shutdown.
    pub stopped: Vec<usize>,
    /// Whether VMs that begin to read the store read which data centres are drained.
    pub polls_drains: bool,
    /// Whether VMs that start learn the speed of targets.
    pub learns_speed: bool,
    /// Questions whether a target has crashed, with the index of the VM that asks.
    pub probes: Vec<(usize, ids::Target, u64)>,
}

impl Vm {
    /// Ends what its shell reads of an earlier era of the store.
    fn begin_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.polled_at = ids::Time::default();
            (self.members_read, self.lease_read) = (None, None);
        }
    }

    /// Its name and incarnation.
    pub fn member(&self) -> (ids::Vm, ids::Incarnation) {
        (self.name.clone(), ids::Incarnation::new(self.incarnation))
    }

    /// The tables of the store that it watches.
    pub const fn follow(&self) -> output::Follow {
        self.follow
    }
}

impl Fleet {
    /// Creates a fleet of `size` VMs in `centres` data centres that all start at once.
    pub fn new(
        size: usize,
        centres: usize,
        config: config::Config,
        targets: Vec<target::Entry>,
    ) -> Self {
        Self::with_urgency(size, centres, config, targets, false)
    }

    /// Creates a fleet whose VMs grant quota units by urgency if `by_urgency`.
    pub fn with_urgency(
        size: usize,
        centres: usize,
        config: config::Config,
        targets: Vec<target::Entry>,
        by_urgency: bool,
    ) -> Self {
        let vm = |index: usize| Vm {
            name: format!("vm-{}-{}", index % centres, index / centres).as_str().into(),
            centre: format!("centre-{}", index % centres).as_str().into(),
            relay: None,
            incarnation: 0,
            links: collections::BTreeSet::new(),
            follow: output::Follow { is_reader: false, watches_members: true, watches_lease: true },
            era: 0,
            members_read: None,
            members_read_at: ids::Time::default(),
            lease_read: None,
            polled_at: ids::Time::default(),
            inbox: Vec::new(),
            deaf_to: collections::BTreeSet::new(),
            has_store: true,
            unread: collections::BTreeSet::new(),
            is_frozen: false,
        };
        let vms: Vec<_> = (0..size).map(vm).collect();
        let config = sync::Arc::new(config);
        let indices = vms.iter().enumerate().map(|(index, vm)| (vm.name.clone(), index));
        let mut fleet = Self {
            now: ids::Time::from_millis(100_000),
            indices: indices.collect(),
            vms,
            store: Store {
                era: 0,
                version: 1,
                is_away: false,
                config: sync::Arc::clone(&config),
                targets: targets
                    .into_iter()
                    .map(|entry| (entry.target.clone(), (1, entry)))
                    .collect(),
                drained: collections::BTreeSet::new(),
                lease: None,
                members: collections::BTreeMap::new(),
                members_version: 1,
            },
            configs: collections::BTreeMap::from([(text_of(&config), config)]),
            in_flight: Vec::new(),
            traffic: Traffic::default(),
            last_call: 0,
            admitted: 0,
            refused: collections::BTreeMap::new(),
            returns: Vec::new(),
            sent: collections::BTreeMap::new(),
            keeps_calls: false,
            begun: Vec::new(),
            answers: Vec::new(),
            by_urgency,
            stopped: Vec::new(),
            polls_drains: true,
            learns_speed: false,
            probes: Vec::new(),
        };
        (0..size).for_each(|index| fleet.start(index));
        fleet
    }

    /// Starts a VM's process anew.
    pub fn start(&mut self, index: usize) {
        self.start_as(index, self.vms[index].incarnation + 1);
    }

    /// Starts a VM's process anew, as this incarnation.
    pub fn start_as(&mut self, index: usize, incarnation: u64) {
        let vm = &mut self.vms[index];
        vm.incarnation = incarnation;
        let address = format!("10.0.0.{index}:7000");
        let settings = Settings::new(vm.name.as_str(), vm.centre.as_str(), vm.incarnation)
            .with_peer(&address)
            .with_urgency(self.by_urgency)
            .with_learned_speed(self.learns_speed);
        vm.relay = Some(Relay::new(settings));
        vm.links.clear();
        vm.follow = output::Follow { is_reader: false, watches_members: true, watches_lease: true };
        (vm.members_read, vm.lease_read) = (None, None);
        vm.era = 0;
        vm.inbox.clear();
    }

    /// Kills a VM's process.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].relay = None;
    }

    /// Cuts a VM off from the store and from the VMs of other data centres.
    pub fn cut_off(&mut self, index: usize) {
        let (name, centre) = (self.vms[index].name.clone(), self.vms[index].centre.clone());
        let others = self.vms.iter_mut().filter(|vm| vm.centre != centre);
        let others = others.map(|vm| {
            vm.deaf_to.insert(name.clone());
            vm.name.clone()
        });
        let others = others.collect::<Vec<_>>();
        self.vms[index].deaf_to.extend(others);
        self.vms[index].has_store = false;
    }

    pub fn index_of(&self, name: &str) -> usize {
        self.vms.iter().position(|vm| vm.name.as_str() == name).expect("a VM of this name")
    }

    /// The VMs that run.
    pub fn running(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.relay.is_some())
    }

    /// Views of the VMs that run, for quotas.
    pub fn views(&self) -> Vec<quota::View> {
        self.running().filter_map(|vm| Some(vm.relay.as_ref()?.view(self.now))).collect()
    }

    /// Accepts a configuration.
    pub fn configure(&mut self, config: config::Config) {
        self.store.version += 1;
        self.store.config = sync::Arc::new(config);
        let config = sync::Arc::clone(&self.store.config);
        self.configs.insert(text_of(&config), config);
    }

    /// Changes the entry of a target.
    pub fn change(&mut self, entry: target::Entry) {
        self.store.version += 1;
        let (target, version) = (entry.target.clone(), self.store.version);
        self.store.targets.insert(target.clone(), (version, entry.clone()));
        let revision = self.store.revision();
        self.tell_readers(&target::Change { target, revision, entry: Some(entry) });
    }

    /// Removes the entry of a target.
    pub fn remove(&mut self, name: &str) {
        self.store.version += 1;
        let target = ids::Target::from(name);
        self.store.targets.remove(&target);
        let revision = self.store.revision();
        self.tell_readers(&target::Change { target, revision, entry: None });
    }

    /// Passes a change of a target on to the VMs that read the store.
    fn tell_readers(&mut self, change: &target::Change) {
        let revision = change.revision;
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            // One that reads the store for the first time in its era reads all targets.
            if vm.follow.is_reader && vm.has_store && vm.era == self.store.era {
                let changes = vec![change.clone()];
                let targets = input::Targets { is_full: false, revision, changes };
                self.deliver(index, Input::Targets(targets));
            }
        }
    }

    /// Replaces the drained data centres in the store; its readers learn of it `millis` later.
    pub fn drain(&mut self, centres: &[&str], millis: u64) {
        self.store.version += 1;
        self.store.drained = centres.iter().map(|centre| ids::Centre::from(*centre)).collect();
        for index in 0..self.vms.len() {
            if self.vms[index].follow.is_reader && self.vms[index].relay.is_some() {
                let at = self.now + time::Duration::from_millis(millis);
                self.in_flight.push((at, index, self.store.evacuations()));
            }
        }
    }

    /// A copy of the store as it is now.
    pub fn copy_store(&self) -> Store {
        self.store.clone()
    }

    /// Lets the store answer nothing from now on.
    pub const fn take_store_away(&mut self) {
        self.store.is_away = true;
    }

    /// Lets the store come back from a copy, in the next era.
    pub fn bring_store_back(&mut self, copy: Store) {
        self.store = Store { era: self.store.era + 1, is_away: false, ..copy };
    }

    /// A call arrives at a VM. Unless the test keeps calls, it ends at once if it is sent
    /// to a target.
    pub fn arrive(&mut self, index: usize, envelope: envelope::Envelope) -> ids::Call {
        self.last_call += 1;
        let (call, arrived) = (ids::Call::new(self.last_call), self.now);
        self.vms[index].inbox.push(Input::Arrival { call, envelope, arrived });
        call
    }

    /// Passes an input to a VM in its next step, if it runs.
    pub fn input(&mut self, index: usize, input: Input) {
        if self.vms[index].relay.is_some() {
            self.vms[index].inbox.push(input);
        }
    }

    /// Advances time; `each` acts on the fleet before each step.
    pub fn run(&mut self, millis: u64, mut each: impl FnMut(&mut Self)) {
        for _ in 0..millis / 20 {
            self.now = self.now + STEP;
            each(self);
            self.serve_store();
            let now = self.now;
            let all = std::mem::take(&mut self.in_flight);
            let (due, later) = all.into_iter().partition(|(at, _, _)| *at <= now);
            self.in_flight = later;
            let due: Vec<(ids::Time, usize, Input)> = due;
            for (_, index, input) in due {
                self.vms[index].inbox.push(input);
            }
            for index in 0..self.vms.len() {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let mut outputs = Vec::new();
        let vm = &mut self.vms[index];
        if vm.is_frozen {
            return;
        }
        let inputs = std::mem::take(&mut vm.inbox);
        let Some(relay) = &mut vm.relay else {
            return;
        };
        relay.step(self.now, inputs, &mut outputs);
        for output in outputs {
            self.apply(index, output);
        }
    }

    fn apply(&mut self, index: usize, output: Output) {
        match output {
            Output::Peer { to, message } => self.send(index, &to, &message),
            Output::Members(members) => {
                let names = members.into_iter().map(|member| member.vm);
                self.vms[index].links = names.collect();
            }
            Output::Follow(follow) => {
                let vm = &mut self.vms[index];
                if follow.is_reader && !vm.follow.is_reader {
                    vm.polled_at = ids::Time::default();
                }
                if !follow.watches_members {
                    vm.members_read = None;
                }
                if !follow.watches_lease {
                    vm.lease_read = None;
                }
                vm.follow = follow;
            }
            Output::Era(era) => self.vms[index].begin_era(era.get()),
            Output::Write { op, write } => self.write(index, op, write),
            Output::Begin(begin) => {
                self.admitted += 1;
                *self.sent.entry(begin.target.clone()).or_default() += 1;
                if self.keeps_calls {
                    self.begun.push((index, begin));
                } else {
                    self.vms[index].inbox.push(Input::Closed { call: begin.call });
                }
            }
            Output::Stopped => self.stopped.push(index),
            Output::Probe { target, born, .. } => self.probes.push((index, target, born)),
            Output::Refuse { call, status, reason, retry_after } => {
                *self.refused.entry(reason).or_default() += 1;
                if self.keeps_calls {
                    self.answers.push(Answer { call, status, retry_after });
                }
                let wait = retry_after.filter(|_| status == 503);
                self.returns.extend(wait.map(|wait| (call, wait)));
            }
            Output::Decode { text } => {
                let config = sync::Arc::clone(&self.configs[&text]);
                self.vms[index].inbox.push(Input::Config { text, config });
            }
            Output::Log(line) if line.outcome == "heard" => self.traffic.heard_lines += 1,
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &[ids::Vm], message: &peer::Message) {
        let sender = &self.vms[from];
        let (name, centre) = (sender.name.clone(), sender.centre.clone());
        let incarnation = ids::Incarnation::new(sender.incarnation);
        if let peer::Message::Digest(digest) = message {
            let most = &mut self.traffic.most_speed_samples;
            *most = digest.speeds.len().max(*most);
        }
        let mut size = None;
        for receiver in to {
            if !self.vms[from].links.contains(receiver) {
                self.traffic.unlinked += 1;
                continue;
            }
            let Some(index) = self.indices.get(receiver).copied() else {
                continue;
            };
            self.traffic.messages += 1;
            if self.vms[index].centre != centre {
                let size = *size.get_or_insert_with(|| {
                    serde_json::to_string(message).map_or(0, |text| text.len()) as u64
                });
                self.traffic.bytes_between_centres += size;
                *self.traffic.bytes_by_kind.entry(message.kind()).or_default() += size;
            }
            let (from, message) = (name.clone(), message.clone());
            if self.vms[index].relay.is_some() && !self.vms[index].deaf_to.contains(&from) {
                self.deliver(index, Input::Peer { from, incarnation, message });
            }
        }
    }

    /// Delivers an input in the next step.
    fn deliver(&mut self, index: usize, input: Input) {
        self.in_flight.push((self.now + STEP, index, input));
    }

    fn write(&mut self, index: usize, op: ids::Op, write: store::table::Write) {
        if !self.vms[index].has_store || self.store.is_away {
            let fault = store::Fault::new("write", &write.key, store::Kind::Unknown, "cut off");
            self.deliver(index, Input::Written { op, result: Err(fault) });
            return;
        }
        *self.traffic.store_calls.entry("writes").or_default() += 1;
        self.meet_era(index);
        let clock_ms = self.now.as_millis();
        let store = &mut self.store;
        store.version += 1;
        let written = if &*write.key == relay::lease::KEY {
            let known = store.lease.as_ref().map(|row| row.version);
            if known == write.expect {
                let value = write.value.unwrap_or_default();
                let version = ids::Version::new(store.version);
                store.lease = Some(store::table::Row { key: write.key, value, version });
                input::Written::Done { revision: store.revision(), clock_ms }
            } else {
                let (row, era) = (store.lease.clone(), ids::Era::new(store.era));
                input::Written::Conflict { row, era }
            }
        } else {
            store.members_version = store.version;
            match write.value.and_then(|value| serde_json::from_str(&value).ok()) {
                Some(member) => store.members.insert(write.key, (store.version, member)),
                None => store.members.remove(&write.key),
            };
            input::Written::Done { revision: store.revision(), clock_ms }
        };
        self.deliver(index, Input::Written { op, result: Ok(written) });
    }

    /// A VM's shell gets an answer of the store, which states its era.
    fn meet_era(&mut self, index: usize) {
        if self.vms[index].era < self.store.era {
            self.vms[index].begin_era(self.store.era);
            self.deliver(index, Input::Era(ids::Era::new(self.store.era)));
        }
    }

    /// Answers the polls of all VMs.
    fn serve_store(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            if self.store.is_away || vm.relay.is_none() || !vm.has_store {
                continue;
            }
            let (now, follow) = (self.now, vm.follow);
            if follow.is_reader || follow.watches_members || follow.watches_lease {
                self.meet_era(index);
            }
            let vm = &self.vms[index];
            if follow.watches_members
                && !vm.unread.contains(&input::Table::Members)
                && vm.members_read != Some(self.store.members_version)
                && now.since(vm.members_read_at) >= MEMBERS_INTERVAL
            {
                *self.traffic.store_calls.entry("members").or_default() += 1;
                self.vms[index].members_read_at = now;
                self.vms[index].members_read = Some(self.store.members_version);
                self.deliver(index, self.store.members());
            }
            let lease_version = self.store.lease.as_ref().map_or(0, |row| row.version.get());
            if follow.watches_lease && self.vms[index].lease_read != Some(lease_version) {
                *self.traffic.store_calls.entry("lease").or_default() += 1;
                self.vms[index].lease_read = Some(lease_version);
                self.deliver(index, self.store.lease(now.as_millis()));
            }
            if follow.is_reader && now.since(self.vms[index].polled_at) >= POLL_INTERVAL {
                *self.traffic.store_calls.entry("targets").or_default() += 1;
                let is_first = self.vms[index].polled_at == ids::Time::default();
                self.vms[index].polled_at = now;
                if is_first && self.polls_drains {
                    self.deliver(index, self.store.evacuations());
                }
                let unread = self.vms[index].unread.clone();
                if !unread.contains(&input::Table::Config) {
                    self.deliver(index, self.store.config());
                }
                let tables = [input::Table::Config, input::Table::Targets, input::Table::Members];
                for table in tables.into_iter().filter(|table| !unread.contains(table)) {
                    self.deliver(index, Input::Read(table));
                }
                if is_first {
                    self.deliver(index, self.store.all_targets());
                }
            }
        }
    }
}
