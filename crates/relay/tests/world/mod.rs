//! Test harness: a VM's decision core with a configuration, targets and callers, in
//! virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections, sync, time};

use relay::{Input, Output, Relay, Settings, config, envelope, input, membership, output, target};

/// Rate of the account `mayors` in units per second, and its burst in units.
pub const RATE: f64 = 10_000.0;

/// Outputs that the tests inspect.
#[derive(Debug, Default)]
pub struct Seen {
    pub begun: Vec<output::Begin>,
    pub refused: Vec<(ids::Call, u16, &'static str, Option<time::Duration>)>,
    pub failed: Vec<(ids::Call, u16, &'static str)>,
    pub delivered: Vec<ids::Call>,
    pub orders: Vec<(ids::Op, output::Order)>,
    pub reports: Vec<ids::Target>,
    pub writes: Vec<(ids::Op, store::table::Write)>,
    pub messages: Vec<(ids::Vm, relay::peer::Message)>,
    pub ready: Vec<bool>,
    pub reconnects: Vec<ids::Vm>,
    pub stopped: bool,
    pub follow: Option<output::Follow>,
    /// The targets to which nothing may be sent, if they were told.
    pub withheld: Option<Vec<ids::Target>>,
    pub probes: Vec<ids::Target>,
    pub lines: Vec<relay::event::Event>,
}

pub struct World {
    pub relay: Relay,
    pub now: ids::Time,
    last: u64,
    /// Store version of the last complete list of targets.
    version: u64,
}

/// The membership as read from the store at its first version.
pub fn members(members: Vec<member::Member>) -> Input {
    members_at(1, members)
}

/// The membership as read from the store, all rows written at `revision`.
pub fn members_at(revision: impl Into<ids::Revision>, members: Vec<member::Member>) -> Input {
    let revision = revision.into();
    let row = |member| membership::Row { member, revision };
    Input::Members { revision, rows: members.into_iter().map(row).collect() }
}

/// A read of each table of the store, without changes.
pub fn reads() -> [Input; 3] {
    [input::Table::Config, input::Table::Targets, input::Table::Members].map(Input::Read)
}

/// A change to a target's entry at a store revision.
pub fn change(revision: impl Into<ids::Revision>, entry: target::Entry) -> target::Change {
    let target = entry.target.clone();
    target::Change { target, revision: revision.into(), entry: Some(entry) }
}

/// The removal of a target's entry at a store revision.
pub fn removal(revision: impl Into<ids::Revision>, target: &str) -> target::Change {
    target::Change { target: target.into(), revision: revision.into(), entry: None }
}

pub fn route(name: &str, repeat: config::Repeat, service: &str) -> config::Route {
    config::Route {
        name: name.into(),
        host: "trips.example".into(),
        prefix: format!("/{name}/").into(),
        repeat,
        timeout: time::Duration::from_secs(5),
        objective: time::Duration::from_millis(800),
        gap: time::Duration::from_millis(400),
        priority: 0,
        split: vec![(service.into(), 1)],
        attempts: 2,
        public: false,
    }
}

/// A model service `writers` with three models, and a plain service `desk`; the accounts
/// `mayors` (limited) and `hosts` (unlimited).
pub fn configuration(version: u64) -> config::Config {
    let model = |name: &str| {
        let spec = config::Model {
            weights_mb: 70.0,
            adapter_mb: 1.0,
            load: time::Duration::from_secs(8),
            disk: time::Duration::from_secs(2),
            warm: time::Duration::from_secs(1),
        };
        (ids::Model::from(name), spec)
    };
    let engine = config::Engine {
        slots: 4,
        kv_tokens: 10_000,
        memory_mb: 150.0,
        adapters: 2,
        loads_per_second: 1.0,
        stride: 1,
        models: [model("alpha"), model("beta"), model("gamma")].into(),
    };
    let service = |name: &str, engine| config::Service {
        name: name.into(),
        connections: 100,
        engine,
        cold: None,
    };
    let account = |name: &str, rate| config::Account {
        name: name.into(),
        priority: 1,
        unit: config::Unit::Tokens(100.0),
        rate,
        burst: rate,
    };
    let mut routes = vec![
        route("draft", config::Repeat::Stream, "writers"),
        route("courtesy", config::Repeat::Resumable, "writers"),
        route("book", config::Repeat::Never, "desk"),
        route("lookup", config::Repeat::Idempotent, "desk"),
        route("book/inner", config::Repeat::Idempotent, "writers"),
    ];
    routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    let services = [service("writers", Some(engine)), service("desk", None)];
    let accounts = [account("mayors", RATE), account("hosts", 0.0)];
    config::Config {
        version: ids::Version::new(version),
        routes: routes.into_iter().map(sync::Arc::new).collect(),
        services: services.into_iter().map(|row| (row.name.clone(), row)).collect(),
        accounts: accounts.into_iter().map(|row| (row.name.clone(), row)).collect(),
        keys: [("key-1".into(), "mayors".into()), ("key-2".into(), "hosts".into())].into(),
        limits: config::Limits::default(),
    }
}

pub fn runner(name: &str, models: &[&str]) -> target::Entry {
    target::Entry {
        target: name.into(),
        service: "writers".into(),
        address: format!("127.0.0.1:{}", 1_000 + name.len()).into(),
        centre: "north".into(),
        slots: 4,
        is_leaving: false,
        born: 1,
        models: models
            .iter()
            .map(|model| (ids::Model::from(*model), collections::BTreeSet::new()))
            .collect(),
        warm: collections::BTreeSet::new(),
        on_disk: collections::BTreeSet::new(),
        cold_left_ms: None,
    }
}

pub fn desk(name: &str) -> target::Entry {
    target::Entry {
        service: "desk".into(),
        models: collections::BTreeMap::new(),
        ..runner(name, &[])
    }
}

pub fn envelope(route: &str, key: Option<&str>) -> envelope::Envelope {
    envelope::Envelope {
        id: "attempt-1".into(),
        host: "trips.example".into(),
        path: format!("/{route}/x").into(),
        key: key.map(Into::into),
        timeout: Some(time::Duration::from_secs(5)),
        work: None,
    }
}

pub fn draft(route: &str, model: &str, prompt: u64) -> envelope::Envelope {
    let work = envelope::Work {
        model: model.into(),
        adapter: None,
        prompt_tokens: prompt,
        output_tokens: 20,
        output_estimate: None,
        prompt: vec![envelope::Part { hash: 1, tokens: prompt / 2 }],
    };
    envelope::Envelope { work: Some(work), ..envelope(route, Some("key-2")) }
}

impl World {
    /// A VM without configuration and targets that knows it is the only VM.
    pub fn empty() -> Self {
        let mut world = Self::unknown();
        world.step([members(vec![Self::member()])]);
        world
    }

    /// A VM without configuration, targets and membership.
    pub fn unknown() -> Self {
        let settings = Settings::new("vm-1", "north", 1).with_peer("127.0.0.1:9");
        let now = ids::Time::from_millis(100_000);
        Self { relay: Relay::new(settings), now, last: 0, version: 0 }
    }

    /// A VM with the configuration 1 and these targets.
    pub fn new(targets: Vec<target::Entry>) -> Self {
        let mut world = Self::empty();
        world.configure(configuration(1));
        world.targets(targets);
        world
    }

    pub fn configure(&mut self, config: config::Config) -> Seen {
        self.step([Input::Config { text: "text".into(), config: sync::Arc::new(config) }])
    }

    pub fn targets(&mut self, entries: Vec<target::Entry>) -> Seen {
        self.version += 1;
        let revision = ids::Revision::from(self.version);
        let changes = entries.into_iter().map(|entry| change(self.version, entry)).collect();
        self.step([Input::Targets(input::Targets { is_full: true, revision, changes })])
    }

    /// Delivers changes read from the store.
    pub fn changes(
        &mut self,
        revision: impl Into<ids::Revision>,
        changes: Vec<target::Change>,
    ) -> Seen {
        let revision = revision.into();
        self.step([Input::Targets(input::Targets { is_full: false, revision, changes })])
    }

    pub fn step(&mut self, inputs: impl IntoIterator<Item = Input>) -> Seen {
        let mut outputs = Vec::new();
        self.relay.step(self.now, inputs, &mut outputs);
        let mut seen = Seen::default();
        for output in outputs {
            match output {
                Output::Begin(begin) => seen.begun.push(begin),
                Output::Refuse { call, status, reason, retry_after } => {
                    seen.refused.push((call, status, reason, retry_after));
                }
                Output::Fail { call, status, reason } => seen.failed.push((call, status, reason)),
                Output::Deliver { call } => seen.delivered.push(call),
                Output::Order { op, order } => seen.orders.push((op, order)),
                Output::Report { target, .. } => seen.reports.push(target),
                Output::Write { op, write } => seen.writes.push((op, write)),
                Output::Peer { to, message } => {
                    seen.messages.extend(to.into_iter().map(|vm| (vm, message.clone())));
                }
                Output::Ready(ready) => seen.ready.push(ready),
                Output::Reconnect { to } => seen.reconnects.push(to),
                Output::Stopped => seen.stopped = true,
                Output::Follow(follow) => seen.follow = Some(follow),
                Output::Withhold { targets } => {
                    seen.withheld = Some(targets.iter().cloned().collect());
                }
                Output::Probe { target, .. } => seen.probes.push(target),
                Output::Log(line) => seen.lines.push(line),
                _ => {}
            }
        }
        seen
    }

    pub fn pass(&mut self, millis: u64) {
        self.now = self.now + time::Duration::from_millis(millis);
    }

    /// Advances time in ticks and returns all outputs.
    pub fn wait(&mut self, millis: u64) -> Seen {
        let mut all = Seen::default();
        for _ in 0..millis / 20 {
            self.pass(20);
            let seen = self.step([]);
            all.extend(seen);
        }
        all
    }

    pub fn arrive(&mut self, envelope: envelope::Envelope) -> (ids::Call, Seen) {
        self.last += 1;
        let call = ids::Call::new(self.last);
        let arrived = self.now;
        (call, self.step([Input::Arrival { call, envelope, arrived }]))
    }

    pub fn event(&mut self, attempt: ids::Attempt, event: input::Event) -> Seen {
        self.step([Input::Attempt { attempt, event }])
    }

    /// Makes this VM the planner by granting its lease writes.
    pub fn lead(&mut self) -> Seen {
        let alone = members(vec![Self::member()]);
        let mut seen =
            self.step([alone, Input::Lease { row: None, era: ids::Era::default(), clock_ms: 0 }]);
        seen.extend(self.wait(20));
        self.grant(&seen);
        seen
    }

    pub fn member() -> member::Member {
        Settings::new("vm-1", "north", 1).with_peer("127.0.0.1:9").member()
    }

    /// Answers writes with success.
    pub fn grant(&mut self, seen: &Seen) {
        for (op, _) in &seen.writes {
            let result = Ok(input::Written::Done {
                revision: ids::Revision::from(1_000 + op.get()),
                clock_ms: 0,
            });
            self.step([Input::Written { op: *op, result }]);
        }
    }
}

impl Seen {
    pub fn extend(&mut self, other: Self) {
        self.begun.extend(other.begun);
        self.refused.extend(other.refused);
        self.failed.extend(other.failed);
        self.delivered.extend(other.delivered);
        self.orders.extend(other.orders);
        self.reports.extend(other.reports);
        self.writes.extend(other.writes);
        self.messages.extend(other.messages);
        self.ready.extend(other.ready);
        self.reconnects.extend(other.reconnects);
        self.stopped |= other.stopped;
        self.follow = other.follow.or(self.follow);
        self.withheld = other.withheld.or_else(|| self.withheld.take());
        self.probes.extend(other.probes);
        self.lines.extend(other.lines);
    }
}
