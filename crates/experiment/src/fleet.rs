//! Simulates the VMs of a scenario, its engines, the store's rows and the links between them.

use std::{collections, sync, time};

use relay::{Input, Output, Relay, Settings, config, input, lease, membership, output};
use standin::batch;
use store::table;

use crate::{
    engine, load,
    rule::Rule,
    scenario::{self, Scenario},
    tally::{self, Outcome, Tally},
};

/// Resolution of virtual time.
const STEP_MS: u64 = 5;
/// Time from the start of the VMs to the first calls. VMs need two seconds to become ready.
const WARM_UP_MS: u64 = 5_000;
/// Virtual time at which the VMs start, some time after the epoch.
const START_MS: u64 = 100_000;
/// One-way delay between a VM and an engine, or between VMs.
const LINK_DELAY_MS: u64 = 5;
/// Delay until a change in the store, or the result of a write, reaches a VM.
const STORE_DELAY_MS: u64 = 20;
/// Delay until an engine's change is in its entry and VMs have read it.
const ENTRY_DELAY_MS: u64 = 700;
/// Least interval between two progress events of a stream.
const PROGRESS_INTERVAL_MS: u64 = 250;
/// Interval at which VMs read the store.
const STORE_READ_INTERVAL_MS: u64 = 500;
/// Number of retries of a caller after a refusal.
const MAX_RETRIES: u32 = 1;
/// A caller waits before a retry for at most the time left divided by this.
const MAX_WAIT_DIVISOR: u64 = 3;
/// Rate of an account as a multiple of its usual demand.
const RATE_HEADROOM: f64 = 1.8;
/// Mean tokens of a call, for the accounts' rates.
const MEAN_CALL_TOKENS: f64 = 2_000.0;

/// An event scheduled for a later time.
enum Event {
    Input(usize, Box<Input>),
    Arrive { call_index: usize, retries: u32, vm: usize },
    Submit { vm: usize, begin: Box<output::Begin> },
}

/// A request in an engine's batch.
struct Request {
    vm: usize,
    attempt: ids::Attempt,
    call: ids::Call,
    engine: usize,
    chunks: u64,
    last_progress_ms: u64,
    meter: relay::speed::Meter,
}

/// A call that arrived at a VM and has not ended.
struct OpenCall {
    call_index: usize,
    retries: u32,
    vm: usize,
    first_ms: Option<u64>,
    last_event_ms: u64,
    max_gap_ms: u64,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    calls: Vec<load::Call>,
    now_ms: u64,
    vms: Vec<Relay>,
    inputs: Vec<Vec<Input>>,
    engines: Vec<engine::Engine>,
    events: collections::BTreeMap<(u64, u64), Event>,
    rows: collections::BTreeMap<sync::Arc<str>, table::Row>,
    requests: collections::BTreeMap<u64, Request>,
    open_calls: collections::BTreeMap<ids::Call, OpenCall>,
    /// Last id given to a call, an engine job or a scheduled event.
    last_id: u64,
    version: u64,
    /// Time for which each engine had work, in ms.
    busy_ms: Vec<u64>,
    tally: Tally,
}

/// Runs a scenario under a rule; runs with the same seed are identical.
#[must_use]
pub fn run(scenario: &Scenario, rule: &Rule, seed: u64) -> Tally {
    let mut fleet = Fleet::new(scenario, rule, seed);
    let max_timeout_ms = scenario.kinds.iter().map(|kind| kind.timeout_ms).max().unwrap_or(0);
    let end = START_MS + WARM_UP_MS + scenario.length_s * 1_000 + max_timeout_ms + 1_000;
    while fleet.now_ms < end {
        fleet.step();
    }
    let unanswered: Vec<_> =
        fleet.open_calls.values().map(|open| (open.call_index, open.first_ms)).collect();
    for (call_index, first_ms) in unanswered {
        fleet.record(call_index, first_ms, Outcome::Failed);
    }
    fleet.tally.busiest_engine = busiest(&fleet.busy_ms);
    fleet.tally.speed_error = fleet.speed_error();
    fleet.tally
}

/// Models loaded on each engine at the start, with copies in proportion to demand.
fn initial_placement(engines: usize) -> Vec<Vec<String>> {
    let capacity = engines * engine::MODELS_PER_ENGINE;
    let mut placement = vec![Vec::new(); engines];
    let mut next = 0;
    for model in 0..scenario::MODELS {
        let copies = (capacity >> (model + 1)).clamp(1, engines);
        for _ in 0..copies {
            for _ in 0..engines {
                next = (next + 1) % engines;
                let free: &mut Vec<String> = &mut placement[next];
                if free.len() < engine::MODELS_PER_ENGINE
                    && !free.contains(&load::model_name(model))
                {
                    free.push(load::model_name(model));
                    break;
                }
            }
        }
    }
    placement
}

/// Data centre of the VM or engine with this number.
fn centre(scenario: &Scenario, number: usize) -> String {
    format!("centre-{}", number % scenario.centres)
}

fn configuration(scenario: &Scenario) -> config::Config {
    let models = (0..scenario::MODELS).map(|number| {
        let spec = config::Model {
            weights_mb: 72_700.0,
            adapter_mb: 66.0,
            load: engine::STORE_LOAD_TIME,
            disk: engine::DISK_LOAD_TIME,
            warm: engine::WARM_LOAD_TIME,
        };
        (load::model_name(number).as_str().into(), spec)
    });
    let engine = config::Engine {
        slots: 64,
        kv_tokens: 131_945,
        memory_mb: 220_000.0,
        adapters: 8,
        loads_per_second: 1.4,
        stride: scenario.stride,
        models: models.collect(),
    };
    let service = config::Service {
        name: "writers".into(),
        connections: 360,
        engine: Some(engine),
        cold: None,
    };
    let routes = scenario.kinds.iter().enumerate().map(|(number, kind)| {
        sync::Arc::new(config::Route {
            name: kind.name.into(),
            host: "experiment".into(),
            prefix: format!("/{}/", kind.name).into(),
            repeat: config::Repeat::Stream,
            timeout: time::Duration::from_millis(kind.timeout_ms),
            objective: time::Duration::from_millis(kind.objective_ms),
            gap: time::Duration::from_millis(tally::MAX_GAP_MS),
            priority: u32::from(number == 1),
            split: vec![("writers".into(), 1)],
            attempts: 1,
            public: false,
        })
    });
    let shares = load::account_shares();
    let accounts = shares.iter().enumerate().map(|(number, share)| {
        let rate = scenario.rate * share * MEAN_CALL_TOKENS * RATE_HEADROOM;
        let account = config::Account {
            name: load::account_name(number).as_str().into(),
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

/// Busy time of the busiest engine as a multiple of the mean.
fn busiest(busy_ms: &[u64]) -> f64 {
    let mean = busy_ms.iter().sum::<u64>() as f64 / busy_ms.len().max(1) as f64;
    busy_ms.iter().max().map_or(0.0, |most| *most as f64 / mean.max(1.0))
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, rule: &Rule, seed: u64) -> Self {
        let placement = initial_placement(scenario.engines);
        let engines: Vec<_> = placement
            .iter()
            .enumerate()
            .map(|(number, placement)| {
                let mut engine = engine::Engine::new(number, placement);
                engine.entry.centre = centre(scenario, number).as_str().into();
                engine
            })
            .collect();
        let settings = |number: usize| {
            let mut settings = Settings::new(&format!("vm-{number}"), &centre(scenario, number), 1)
                .with_peer(&format!("10.1.0.{number}:1"))
                .with_rules(rule.choice, rule.discipline)
                .with_learned_speed(rule.learns_speed);
            settings.seed = seed * 100 + number as u64;
            settings
        };
        let config = sync::Arc::new(configuration(scenario));
        let members: Vec<_> = (0..scenario.vms).map(|number| settings(number).member()).collect();
        let inputs = (0..scenario.vms).map(|_| {
            let revision = ids::Revision::from(1);
            let changes = engines.iter().map(|engine| engine.change(revision)).collect();
            let targets = input::Targets { is_full: true, revision, changes };
            let row =
                |member: &member::Member| membership::Row { member: member.clone(), revision };
            vec![
                Input::Members { revision, rows: members.iter().map(row).collect() },
                Input::Lease { row: None, era: ids::Era::default(), clock_ms: 0 },
                Input::Config { text: "".into(), config: sync::Arc::clone(&config) },
                Input::Targets(targets),
            ]
        });
        let mut fleet = Self {
            scenario,
            calls: load::generate_calls(scenario, seed),
            now_ms: START_MS,
            vms: (0..scenario.vms).map(|number| Relay::new(settings(number))).collect(),
            inputs: inputs.collect(),
            engines,
            events: collections::BTreeMap::new(),
            rows: collections::BTreeMap::new(),
            requests: collections::BTreeMap::new(),
            open_calls: collections::BTreeMap::new(),
            last_id: 0,
            version: 1,
            busy_ms: vec![0; scenario.engines],
            tally: Tally::new(scenario.length_s),
        };
        for call_index in 0..fleet.calls.len() {
            let (at, vm) = (fleet.calls[call_index].arrival_ms, fleet.calls[call_index].vm);
            fleet
                .schedule(START_MS + WARM_UP_MS + at, Event::Arrive { call_index, retries: 0, vm });
        }
        fleet
    }

    const fn now(&self) -> ids::Time {
        ids::Time::from_millis(self.now_ms)
    }

    /// Seconds since the first call may arrive.
    const fn second(&self) -> u64 {
        self.now_ms.saturating_sub(START_MS + WARM_UP_MS) / 1_000
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_id += 1;
        self.events.insert((at, self.last_id), event);
    }

    fn schedule_input(&mut self, vm: usize, after_ms: u64, input: Input) {
        self.schedule(self.now_ms + after_ms, Event::Input(vm, Box::new(input)));
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
        if self.now_ms.is_multiple_of(STORE_READ_INTERVAL_MS) {
            let tables = [input::Table::Config, input::Table::Targets, input::Table::Members];
            let reads = tables.map(Input::Read);
            self.inputs.iter_mut().for_each(|inputs| inputs.extend(reads.clone()));
        }
        self.run_engines();
        for vm in 0..self.vms.len() {
            let mut outputs = Vec::new();
            let inputs = std::mem::take(&mut self.inputs[vm]);
            let now = self.now();
            self.vms[vm].step(now, inputs, &mut outputs);
            for output in outputs {
                self.handle_output(vm, output);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(vm, input) => self.inputs[vm].push(*input),
            Event::Arrive { call_index, retries, vm } => {
                self.last_id += 1;
                let call = ids::Call::new(self.last_id);
                let envelope = self.calls[call_index].envelope.clone();
                let arrived = self.now();
                let open = OpenCall {
                    call_index,
                    retries,
                    vm,
                    first_ms: None,
                    last_event_ms: 0,
                    max_gap_ms: 0,
                };
                self.open_calls.insert(call, open);
                self.inputs[vm].push(Input::Arrival { call, envelope, arrived });
            }
            Event::Submit { vm, begin } => self.submit(vm, &begin),
        }
    }

    fn submit(&mut self, vm: usize, begin: &output::Begin) {
        let engine = self.engines.iter().position(|row| row.entry.target == begin.target);
        let work =
            self.open_calls.get(&begin.call).map(|open| &self.calls[open.call_index].envelope.work);
        let (Some(engine), Some(Some(work))) = (engine, work) else {
            return;
        };
        self.last_id += 1;
        if self.engines[engine].submit(self.last_id, begin.rank, work) {
            let (attempt, call) = (begin.attempt, begin.call);
            let request = Request {
                vm,
                attempt,
                call,
                engine,
                chunks: 0,
                last_progress_ms: self.now_ms,
                meter: relay::speed::Meter::default(),
            };
            self.requests.insert(self.last_id, request);
        } else {
            let event = input::Event::Refused { status: 503, retry_after: None };
            self.schedule_input(
                vm,
                LINK_DELAY_MS,
                Input::Attempt { attempt: begin.attempt, event },
            );
        }
    }

    /// Advances the engines by one step and schedules their events for the VMs.
    fn run_engines(&mut self) {
        let (second, now) = (self.second(), self.now());
        for number in 0..self.engines.len() {
            let speed = self.scenario.speed(second, number);
            for at_ms in self.now_ms + 1 - STEP_MS..=self.now_ms {
                let speed = speed * self.scenario.uneven_speed(at_ms, number);
                let mut events = Vec::new();
                let step = time::Duration::from_millis(1);
                self.busy_ms[number] += u64::from(self.engines[number].is_busy());
                self.engines[number].advance(step, speed, &mut events);
                for event in events {
                    match event {
                        batch::Event::Chunk { job, .. } => self.handle_chunk(job, at_ms),
                        batch::Event::Done { job } => self.handle_done(job),
                        batch::Event::Cache(_) => {}
                    }
                }
            }
            if self.engines[number].complete_order(now) {
                self.version += 1;
                let revision = self.version.into();
                let changes = vec![self.engines[number].change(revision)];
                let targets = input::Targets { is_full: false, revision, changes };
                for vm in 0..self.vms.len() {
                    self.schedule_input(vm, ENTRY_DELAY_MS, Input::Targets(targets.clone()));
                }
            }
        }
    }

    fn handle_chunk(&mut self, job: u64, now_ms: u64) {
        let stride = u64::from(self.scenario.stride);
        let Some(request) = self.requests.get_mut(&job) else {
            return;
        };
        request.chunks += 1;
        if (request.chunks - 1) % stride != 0 {
            return;
        }
        request.meter.record(time::Duration::from_millis(now_ms), 1);
        let (vm, attempt, is_first) = (request.vm, request.attempt, request.chunks == 1);
        let is_due = now_ms.saturating_sub(request.last_progress_ms) >= PROGRESS_INTERVAL_MS;
        if is_first || is_due {
            request.last_progress_ms = now_ms;
        }
        let rhythm = if is_due && !is_first {
            request.meter.take()
        } else {
            relay::speed::Rhythm::default()
        };
        if let Some(open) = self.open_calls.get_mut(&request.call) {
            if is_first {
                open.first_ms = Some(now_ms);
            } else {
                open.max_gap_ms = open.max_gap_ms.max(now_ms - open.last_event_ms);
            }
            open.last_event_ms = now_ms;
        }
        if is_first {
            self.schedule_input(
                vm,
                LINK_DELAY_MS,
                Input::Attempt { attempt, event: input::Event::Began },
            );
            self.schedule_input(
                vm,
                LINK_DELAY_MS,
                Input::Attempt { attempt, event: input::Event::First },
            );
        } else if is_due {
            self.schedule_input(
                vm,
                LINK_DELAY_MS,
                Input::Attempt { attempt, event: input::Event::Progress(rhythm) },
            );
        }
    }

    fn handle_done(&mut self, job: u64) {
        let Some(mut request) = self.requests.remove(&job) else {
            return;
        };
        let rhythm = request.meter.take();
        let event = input::Event::Ended(input::Summary { rhythm, ..input::Summary::default() });
        self.schedule_input(
            request.vm,
            LINK_DELAY_MS,
            Input::Attempt { attempt: request.attempt, event },
        );
        self.schedule_input(request.vm, LINK_DELAY_MS, Input::Closed { call: request.call });
        if let Some(open) = self.open_calls.remove(&request.call) {
            let kind = self.scenario.kinds[self.calls[open.call_index].kind];
            let since = |ms: u64| ms - self.arrival_ms(open.call_index);
            let is_prompt = open.first_ms.is_some_and(|ms| since(ms) <= kind.objective_ms);
            let is_within_timeout = since(self.now_ms) <= kind.timeout_ms;
            self.tally.paused += u64::from(open.max_gap_ms > tally::MAX_GAP_MS);
            let outcome =
                match is_prompt && is_within_timeout && open.max_gap_ms <= tally::MAX_GAP_MS {
                    true => Outcome::InTime,
                    false if is_within_timeout => Outcome::Late,
                    false => Outcome::Failed,
                };
            self.record(open.call_index, open.first_ms, outcome);
        }
    }

    /// Mean relative error of the ratios that the first VM has learned, among the engines of
    /// uneven speed; those of all engines may have a common factor, which the pace contains.
    fn speed_error(&self) -> f64 {
        let pairs = self.engines.iter().enumerate().filter_map(|(number, engine)| {
            let (_, speed) =
                self.vms[0].speeds().find(|(target, _)| **target == engine.entry.target)?;
            Some(speed.prefill * self.scenario.hardware_speed(number))
        });
        let pairs: Vec<f64> = pairs.collect();
        let mean = pairs.iter().sum::<f64>() / pairs.len().max(1) as f64;
        let errors = pairs.iter().map(|product| (product / mean - 1.0).abs());
        errors.sum::<f64>() / pairs.len().max(1) as f64
    }

    fn arrival_ms(&self, call_index: usize) -> u64 {
        START_MS + WARM_UP_MS + self.calls[call_index].arrival_ms
    }

    fn record(&mut self, call_index: usize, first_ms: Option<u64>, outcome: Outcome) {
        let first_ms = first_ms.map(|ms| ms - self.arrival_ms(call_index));
        self.tally.record(&self.calls[call_index], first_ms, outcome);
    }

    fn handle_output(&mut self, vm: usize, output: Output) {
        match output {
            Output::Begin(begin) => {
                let event = Event::Submit { vm, begin: Box::new(begin) };
                self.schedule(self.now_ms + LINK_DELAY_MS, event);
            }
            Output::Refuse { call, retry_after, .. } => self.handle_refusal(call, retry_after),
            Output::Fail { call, .. } | Output::Deliver { call } => {
                let found = self.requests.iter().find(|(_, request)| request.call == call);
                if let Some(job) = found.map(|(job, _)| *job)
                    && let Some(request) = self.requests.remove(&job)
                {
                    self.engines[request.engine].cancel(job);
                }
                self.schedule_input(vm, LINK_DELAY_MS, Input::Closed { call });
                if let Some(open) = self.open_calls.remove(&call) {
                    self.record(open.call_index, open.first_ms, Outcome::Failed);
                }
            }
            Output::Peer { to, message } => {
                let from: ids::Vm = format!("vm-{vm}").as_str().into();
                let incarnation = ids::Incarnation::new(1);
                let is_receiver =
                    |number: &usize| to.contains(&format!("vm-{number}").as_str().into());
                for receiver in (0..self.vms.len()).filter(is_receiver) {
                    let (from, message) = (from.clone(), message.clone());
                    let input = Input::Peer { from, incarnation, message };
                    self.schedule_input(receiver, LINK_DELAY_MS, input);
                }
            }
            Output::Write { op, write } => self.write_row(vm, op, write),
            Output::Order { op, order } => {
                let now = self.now();
                let engine = self.engines.iter_mut().find(|row| row.entry.target == order.target);
                let reply =
                    engine.map_or(input::Reply::Refused, |row| row.start_order(now, &order));
                self.schedule_input(vm, LINK_DELAY_MS, Input::Ordered { op, reply });
            }
            Output::Report { target, .. } => {
                let engine = self.engines.iter().find(|row| row.entry.target == target);
                let report = engine.map(engine::Engine::report);
                self.schedule_input(vm, LINK_DELAY_MS, Input::Reported { target, report });
            }
            // Other outputs, for the store and the log, have no effect on a run.
            _ => {}
        }
    }

    /// Schedules the caller's retry at the next VM, after the advised delay, or records the
    /// refusal if no delay was advised, no retry is left or the call has timed out.
    fn handle_refusal(&mut self, call: ids::Call, retry_after: Option<time::Duration>) {
        let Some(open) = self.open_calls.remove(&call) else {
            return;
        };
        let generated = &self.calls[open.call_index];
        let elapsed = self.now_ms - self.arrival_ms(open.call_index);
        let left = self.scenario.kinds[generated.kind].timeout_ms.saturating_sub(elapsed);
        let wait = retry_after.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        match wait.map(|wait| wait.min(left / MAX_WAIT_DIVISOR)) {
            Some(wait) if open.retries < MAX_RETRIES && left > 0 => {
                let vm = (open.vm + 1) % self.vms.len();
                let event =
                    Event::Arrive { call_index: open.call_index, retries: open.retries + 1, vm };
                self.schedule(self.now_ms + wait, event);
            }
            _ => self.record(open.call_index, None, Outcome::Refused(elapsed)),
        }
    }

    fn write_row(&mut self, vm: usize, op: ids::Op, write: table::Write) {
        let found = self.rows.get(&write.key).cloned();
        let is_unconditional = !write.key.starts_with(lease::KEY);
        let result = if is_unconditional || found.as_ref().map(|row| row.version) == write.expect {
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
            if !is_unconditional {
                for other in 0..self.vms.len() {
                    self.schedule_input(
                        other,
                        STORE_DELAY_MS,
                        Input::Lease { row: row.clone(), era: ids::Era::default(), clock_ms: 0 },
                    );
                }
            }
            input::Written::Done { revision: self.version.into(), clock_ms: 0 }
        } else {
            input::Written::Conflict { row: found, era: ids::Era::default() }
        };
        self.schedule_input(vm, STORE_DELAY_MS, Input::Written { op, result: Ok(result) });
    }
}
