//! Runs the VMs of a scene, its engines, the store's rows and the links between.

use std::{collections, sync, time};

use relay::{Input, Output, Relay, Settings, config, input, lease, output};
use standin::batch;
use store::table;

use crate::{
    engine, load,
    rule::Rule,
    scene::{self, Scene},
    tally::{self, End, Tally},
};

/// Resolution of virtual time, in ms.
const STEP_MS: u64 = 5;
/// Moment at which calls begin, in ms: VMs need two seconds to come up.
const BEGIN_MS: u64 = 5_000;
/// Moment at which the VMs start, in ms: some time after the epoch.
const START_MS: u64 = 100_000;
/// Way between VM and engine, or VM and VM, in ms.
const WAY_MS: u64 = 5;
/// Time until the news of the store reach a VM, in ms.
const STORE_MS: u64 = 20;
/// Time until an engine's entry tells of a change, and VMs read it, in ms.
const ENTRY_MS: u64 = 700;
/// Time between two signs of life of a stream, in ms.
const PROGRESS_MS: u64 = 250;
/// Time between two readings of the store, in ms.
const READ_MS: u64 = 500;
/// Times that a caller tries again after a refusal.
const RETRIES: u32 = 1;
/// Part of the time left that a caller waits as told, at most.
const WAIT_PART: u64 = 3;
/// Rate of an account against its usual demand, in tokens.
const QUOTA: f64 = 1.8;
/// Tokens of a call on average, for the accounts' rates.
const CALL_TOKENS: f64 = 2_000.0;

/// Something that is on its way.
enum Event {
    Input(usize, Box<Input>),
    Arrive { drawn: usize, tries: u32, vm: usize },
    Submit { vm: usize, begin: Box<output::Begin> },
}

/// A request at an engine.
struct Flight {
    vm: usize,
    attempt: ids::Attempt,
    call: ids::Call,
    engine: usize,
    made: u64,
    told_ms: u64,
}

/// A call that was given to a VM.
struct Open {
    drawn: usize,
    tries: u32,
    vm: usize,
    first_ms: Option<u64>,
    event_ms: u64,
    gap_ms: u64,
}

struct Fleet<'a> {
    scene: &'a Scene,
    drawn: Vec<load::Drawn>,
    now_ms: u64,
    vms: Vec<Relay>,
    inputs: Vec<Vec<Input>>,
    engines: Vec<engine::Engine>,
    events: collections::BTreeMap<(u64, u64), Event>,
    rows: collections::BTreeMap<sync::Arc<str>, table::Row>,
    flights: collections::BTreeMap<u64, Flight>,
    open: collections::BTreeMap<ids::Call, Open>,
    last: u64,
    version: u64,
    tally: Tally,
}

/// Runs a scene under a rule.
#[must_use]
pub fn run(scene: &Scene, rule: &Rule, seed: u64) -> Tally {
    let mut fleet = Fleet::new(scene, rule, seed);
    let patience = load::KINDS.iter().map(|kind| kind.patience_ms).max().unwrap_or(0);
    let end = START_MS + BEGIN_MS + scene.length_s * 1_000 + patience + 1_000;
    while fleet.now_ms < end {
        fleet.step();
    }
    let unanswered: Vec<_> = fleet.open.values().map(|open| (open.drawn, open.first_ms)).collect();
    for (drawn, first_ms) in unanswered {
        fleet.count(drawn, first_ms, End::Failed);
    }
    fleet.tally
}

/// Which engine holds which models at the start: as many copies as a model has demand.
fn placement(engines: usize) -> Vec<Vec<String>> {
    let places = engines * engine::ROOM;
    let mut held = vec![Vec::new(); engines];
    let mut next = 0;
    for model in 0..scene::MODELS {
        let copies = (places >> (model + 1)).clamp(1, engines);
        for _ in 0..copies {
            for _ in 0..engines {
                next = (next + 1) % engines;
                let free: &mut Vec<String> = &mut held[next];
                if free.len() < engine::ROOM && !free.contains(&load::model(model)) {
                    free.push(load::model(model));
                    break;
                }
            }
        }
    }
    held
}

fn configuration(scene: &Scene) -> config::Config {
    let models = (0..scene::MODELS).map(|number| {
        let spec = config::Model {
            weights_mb: 72_700.0,
            adapter_mb: 66.0,
            load: engine::LOAD,
            disk: engine::DISK_LOAD,
            warm: engine::WARM_LOAD,
        };
        (load::model(number).as_str().into(), spec)
    });
    let engine = config::Engine {
        slots: 64,
        kv_tokens: 131_945,
        memory_mb: 220_000.0,
        adapters: 8,
        loads_per_second: 1.4,
        models: models.collect(),
    };
    let service =
        config::Service { name: "writers".into(), connections: 360, engine: Some(engine) };
    let routes = load::KINDS.iter().enumerate().map(|(number, kind)| {
        sync::Arc::new(config::Route {
            name: kind.name.into(),
            host: "experiment".into(),
            prefix: format!("/{}/", kind.name).into(),
            repeat: config::Repeat::Stream,
            timeout: time::Duration::from_millis(kind.patience_ms),
            objective: time::Duration::from_millis(kind.objective_ms),
            gap: time::Duration::from_millis(tally::GAP_MS),
            priority: u32::from(number == 1),
            split: vec![("writers".into(), 1)],
            attempts: 1,
            public: false,
        })
    });
    let shares = load::shares();
    let accounts = shares.iter().enumerate().map(|(number, share)| {
        let rate = scene.rate * share * CALL_TOKENS * QUOTA;
        let account = config::Account {
            name: load::account(number).as_str().into(),
            priority: 1,
            unit: config::Unit::Tokens(200.0),
            rate,
            burst: rate,
        };
        (account.name.clone(), account)
    });
    let accounts: collections::BTreeMap<_, _> = accounts.collect();
    config::Config {
        version: ids::Version::new(1),
        routes: routes.collect(),
        services: [(service.name.clone(), service)].into(),
        keys: accounts.keys().map(|name| (name.as_str().into(), name.clone())).collect(),
        accounts: accounts.into_iter().collect(),
        limits: config::Limits::default(),
    }
}

impl<'a> Fleet<'a> {
    fn new(scene: &'a Scene, rule: &Rule, seed: u64) -> Self {
        let held = placement(scene.engines);
        let engines: Vec<_> = held
            .iter()
            .enumerate()
            .map(|(number, held)| engine::Engine::new(number, held))
            .collect();
        let settings = |number: usize| {
            let mut settings = Settings::new(&format!("vm-{number}"), "north", 1)
                .with_peer(&format!("10.1.0.{number}:1"))
                .with_rules(rule.choice, rule.discipline);
            settings.seed = seed * 100 + number as u64;
            settings
        };
        let config = sync::Arc::new(configuration(scene));
        let members: Vec<_> = (0..scene.vms).map(|number| settings(number).member()).collect();
        let inputs = (0..scene.vms).map(|_| {
            let version = ids::Version::new(1);
            let changes = engines.iter().map(|engine| engine.change(version)).collect();
            let targets = input::Targets { is_full: true, version, changes };
            vec![
                Input::Members(members.clone()),
                Input::Lease { row: None, clock_ms: 0 },
                Input::Config { text: "".into(), config: sync::Arc::clone(&config) },
                Input::Targets(targets),
            ]
        });
        let mut fleet = Self {
            scene,
            drawn: load::draw(scene, seed),
            now_ms: START_MS,
            vms: (0..scene.vms).map(|number| Relay::new(settings(number))).collect(),
            inputs: inputs.collect(),
            engines,
            events: collections::BTreeMap::new(),
            rows: collections::BTreeMap::new(),
            flights: collections::BTreeMap::new(),
            open: collections::BTreeMap::new(),
            last: 0,
            version: 1,
            tally: Tally::new(scene.length_s),
        };
        for drawn in 0..fleet.drawn.len() {
            let (at, vm) = (fleet.drawn[drawn].at, fleet.drawn[drawn].vm);
            fleet.later(START_MS + BEGIN_MS + at, Event::Arrive { drawn, tries: 0, vm });
        }
        fleet
    }

    const fn now(&self) -> ids::Time {
        ids::Time::from_millis(self.now_ms)
    }

    /// The second of the scene.
    const fn second(&self) -> u64 {
        self.now_ms.saturating_sub(START_MS + BEGIN_MS) / 1_000
    }

    fn later(&mut self, at: u64, event: Event) {
        self.last += 1;
        self.events.insert((at, self.last), event);
    }

    fn tell(&mut self, vm: usize, after_ms: u64, input: Input) {
        self.later(self.now_ms + after_ms, Event::Input(vm, Box::new(input)));
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let event = entry.remove();
            self.happen(event);
        }
        if self.now_ms.is_multiple_of(READ_MS) {
            self.inputs.iter_mut().for_each(|inputs| inputs.push(Input::Unchanged));
        }
        self.work();
        for vm in 0..self.vms.len() {
            let mut outputs = Vec::new();
            let inputs = std::mem::take(&mut self.inputs[vm]);
            let now = self.now();
            self.vms[vm].step(now, inputs, &mut outputs);
            for output in outputs {
                self.act(vm, output);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Input(vm, input) => self.inputs[vm].push(*input),
            Event::Arrive { drawn, tries, vm } => {
                self.last += 1;
                let call = ids::Call::new(self.last);
                let envelope = self.drawn[drawn].ask.clone();
                let arrived = self.now();
                let open = Open { drawn, tries, vm, first_ms: None, event_ms: 0, gap_ms: 0 };
                self.open.insert(call, open);
                self.inputs[vm].push(Input::Arrival { call, envelope, arrived });
            }
            Event::Submit { vm, begin } => self.submit(vm, &begin),
        }
    }

    fn submit(&mut self, vm: usize, begin: &output::Begin) {
        let engine = self.engines.iter().position(|row| row.entry.target == begin.target);
        let work = self.open.get(&begin.call).map(|open| &self.drawn[open.drawn].ask.work);
        let (Some(engine), Some(Some(work))) = (engine, work) else {
            return;
        };
        self.last += 1;
        if self.engines[engine].submit(self.last, begin.rank, work) {
            let (attempt, call) = (begin.attempt, begin.call);
            let flight = Flight { vm, attempt, call, engine, made: 0, told_ms: self.now_ms };
            self.flights.insert(self.last, flight);
        } else {
            let event = input::Event::Refused { status: 503, retry_after: None };
            self.tell(vm, WAY_MS, Input::Attempt { attempt: begin.attempt, event });
        }
    }

    /// Lets the engines work for one step.
    fn work(&mut self) {
        let (second, now) = (self.second(), self.now());
        for number in 0..self.engines.len() {
            let speed = self.scene.speed(second, number);
            let mut events = Vec::new();
            let step = time::Duration::from_millis(STEP_MS);
            self.engines[number].advance(step, speed, &mut events);
            for event in events {
                match event {
                    batch::Event::Chunk { job, .. } => self.chunk(job),
                    batch::Event::Done { job } => self.done(job),
                    batch::Event::Cache(_) => {}
                }
            }
            if self.engines[number].carry_out(now) {
                self.version += 1;
                let version = ids::Version::new(self.version);
                let changes = vec![self.engines[number].change(version)];
                let targets = input::Targets { is_full: false, version, changes };
                for vm in 0..self.vms.len() {
                    self.tell(vm, ENTRY_MS, Input::Targets(targets.clone()));
                }
            }
        }
    }

    fn chunk(&mut self, job: u64) {
        let now_ms = self.now_ms;
        let Some(flight) = self.flights.get_mut(&job) else {
            return;
        };
        flight.made += 1;
        let (vm, attempt, is_first) = (flight.vm, flight.attempt, flight.made == 1);
        let tells = now_ms - flight.told_ms >= PROGRESS_MS;
        if is_first || tells {
            flight.told_ms = now_ms;
        }
        if let Some(open) = self.open.get_mut(&flight.call) {
            if is_first {
                open.first_ms = Some(now_ms);
            } else {
                open.gap_ms = open.gap_ms.max(now_ms - open.event_ms);
            }
            open.event_ms = now_ms;
        }
        if is_first {
            self.tell(vm, WAY_MS, Input::Attempt { attempt, event: input::Event::Began });
            self.tell(vm, WAY_MS, Input::Attempt { attempt, event: input::Event::First });
        } else if tells {
            self.tell(vm, WAY_MS, Input::Attempt { attempt, event: input::Event::Progress });
        }
    }

    fn done(&mut self, job: u64) {
        let Some(flight) = self.flights.remove(&job) else {
            return;
        };
        let event = input::Event::Ended;
        self.tell(flight.vm, WAY_MS, Input::Attempt { attempt: flight.attempt, event });
        self.tell(flight.vm, WAY_MS, Input::Closed { call: flight.call });
        if let Some(open) = self.open.remove(&flight.call) {
            let kind = load::KINDS[self.drawn[open.drawn].kind];
            let since = |ms: u64| ms - self.arrived(open.drawn);
            let is_quick = open.first_ms.is_some_and(|ms| since(ms) <= kind.objective_ms);
            let is_whole = since(self.now_ms) <= kind.patience_ms;
            let end = match is_quick && is_whole && open.gap_ms <= tally::GAP_MS {
                true => End::InTime,
                false if is_whole => End::Late,
                false => End::Failed,
            };
            self.count(open.drawn, open.first_ms, end);
        }
    }

    fn arrived(&self, drawn: usize) -> u64 {
        START_MS + BEGIN_MS + self.drawn[drawn].at
    }

    fn count(&mut self, drawn: usize, first_ms: Option<u64>, end: End) {
        let first_ms = first_ms.map(|ms| ms - self.arrived(drawn));
        self.tally.add(&self.drawn[drawn], first_ms, end);
    }

    fn act(&mut self, vm: usize, output: Output) {
        match output {
            Output::Begin(begin) => {
                let event = Event::Submit { vm, begin: Box::new(begin) };
                self.later(self.now_ms + WAY_MS, event);
            }
            Output::Refuse { call, retry_after, .. } => self.refused(call, retry_after),
            Output::Fail { call, .. } | Output::Deliver { call } => {
                let own = self.flights.iter().find(|(_, flight)| flight.call == call);
                if let Some(job) = own.map(|(job, _)| *job)
                    && let Some(flight) = self.flights.remove(&job)
                {
                    self.engines[flight.engine].cancel(job);
                }
                self.tell(vm, WAY_MS, Input::Closed { call });
                if let Some(open) = self.open.remove(&call) {
                    self.count(open.drawn, open.first_ms, End::Failed);
                }
            }
            Output::Peer { to, message } => {
                let from: ids::Vm = format!("vm-{vm}").as_str().into();
                let to = (0..self.vms.len()).find(|number| *to.as_str() == *format!("vm-{number}"));
                let incarnation = ids::Incarnation::new(1);
                if let Some(to) = to {
                    self.tell(to, WAY_MS, Input::Peer { from, incarnation, message });
                }
            }
            Output::Write { op, write } => self.write(vm, op, write),
            Output::Order { op, order } => {
                let now = self.now();
                let engine = self.engines.iter_mut().find(|row| row.entry.target == order.target);
                let reply = engine.map_or(input::Reply::Refused, |row| row.order(now, &order));
                self.tell(vm, WAY_MS, Input::Ordered { op, reply });
            }
            Output::Report { target, .. } => {
                let engine = self.engines.iter().find(|row| row.entry.target == target);
                let report = engine.map(engine::Engine::report);
                self.tell(vm, WAY_MS, Input::Reported { target, report });
            }
            // What the store and the log would be told changes nothing here.
            _ => {}
        }
    }

    /// A caller comes back once, when it was told to, if that leaves it time.
    fn refused(&mut self, call: ids::Call, retry_after: Option<time::Duration>) {
        let Some(open) = self.open.remove(&call) else {
            return;
        };
        let drawn = &self.drawn[open.drawn];
        let passed = self.now_ms - self.arrived(open.drawn);
        let left = load::KINDS[drawn.kind].patience_ms.saturating_sub(passed);
        let wait = retry_after.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        match wait.map(|wait| wait.min(left / WAIT_PART)) {
            Some(wait) if open.tries < RETRIES && left > 0 => {
                let vm = (open.vm + 1) % self.vms.len();
                let event = Event::Arrive { drawn: open.drawn, tries: open.tries + 1, vm };
                self.later(self.now_ms + wait, event);
            }
            _ => self.count(open.drawn, None, End::Refused(passed)),
        }
    }

    fn write(&mut self, vm: usize, op: ids::Op, write: table::Write) {
        let found = self.rows.get(&write.key).cloned();
        let is_own = !write.key.starts_with(lease::KEY);
        let result = if is_own || found.as_ref().map(|row| row.version) == write.expect {
            self.version += 1;
            let version = ids::Version::new(self.version);
            let row = write.value.map(|value| table::Row {
                key: sync::Arc::clone(&write.key),
                version,
                value,
            });
            match &row {
                Some(row) => drop(self.rows.insert(sync::Arc::clone(&write.key), row.clone())),
                None => drop(self.rows.remove(&write.key)),
            }
            if !is_own {
                for other in 0..self.vms.len() {
                    self.tell(other, STORE_MS, Input::Lease { row: row.clone(), clock_ms: 0 });
                }
            }
            input::Written::Done { version, clock_ms: 0 }
        } else {
            input::Written::Conflict(found)
        };
        self.tell(vm, STORE_MS, Input::Written { op, result: Ok(result) });
    }
}
