//! A simulation of several VMs and runners with continuous batching, in virtual time.

use std::{collections, sync, time};

use bundle::format;
use rand::{Rng as _, SeedableRng as _};
use rand_distr::Distribution as _;
use route::{queue, target};
use standin::batch;

/// Resolution of virtual time, in ms.
const STEP_MS: u64 = 5;
/// Interval between the reports that a VM gets from a runner, in ms.
const POLL_MS: u64 = 1_000;
/// Age of a report's figures when it arrives, in ms.
const REPORT_AGE_MS: u64 = 500;
/// Calls that arrive before this moment are not counted, in ms.
const WARM_UP_MS: u64 = 20_000;
/// Longest wait in a queue.
const QUEUE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Objective for the time to first token.
const FIRST_TOKEN: time::Duration = time::Duration::from_millis(1_800);
/// Objective for the mean time between tokens of a call, in ms.
const TOKEN_GAP_MS: f64 = 57.0;
/// Number of shared prompt prefixes per model.
const PREFIXES: u64 = 8;
/// Tokens of a shared prompt prefix.
const PREFIX_TOKENS: u64 = 256;
/// Tokens that the prefix cache of an engine holds.
const CACHE_TOKENS: usize = 8_192;

/// Parameters of a simulation run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub queue: queue::Config,
    pub target: target::Config,
    /// Offered load relative to the capacity.
    pub load: f64,
    pub vms: usize,
    pub runners: usize,
    /// Power of every fourth runner, and whether it is declared.
    pub slow_power: f64,
    pub slow_declared: bool,
    pub models: usize,
    /// Number of runners with a copy of each model.
    pub copies: usize,
    /// Factor by which the last account exceeds its rate.
    pub flood: f64,
    pub length: time::Duration,
}

/// Shares of the accounts in the load.
pub const SHARES: [f64; 5] = [0.4, 0.25, 0.15, 0.1, 0.1];

/// Results of the calls of one account.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub calls: u64,
    /// Calls that met both objectives.
    pub attained: u64,
    pub refused: u64,
}

impl Tally {
    pub fn share(&self) -> f64 {
        self.attained as f64 / self.calls.max(1) as f64
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub accounts: [Tally; 5],
    /// Times to the first token, in ms.
    pub firsts: Vec<f64>,
    /// Mean times between tokens of calls, in ms.
    pub gaps: Vec<f64>,
    /// Calls per second and accelerator that met both objectives.
    pub per_accelerator: f64,
}

struct Call {
    account: usize,
    model: usize,
    arrived: ids::Time,
    prefix: u64,
    unique: u64,
    tokens: u64,
    expected: u64,
}

/// A call that is running on a runner.
struct Flight {
    vm: usize,
    first: Option<ids::Time>,
    call: Call,
}

struct Vm {
    queue: queue::Queue,
    table: target::Table,
}

struct Runner {
    batch: batch::Batch,
    loads: collections::VecDeque<batch::Load>,
}

pub struct Fleet {
    setup: Setup,
    now: ids::Time,
    rng: rand::rngs::SmallRng,
    vms: Vec<Vm>,
    runners: Vec<Runner>,
    waiting: collections::BTreeMap<u64, Call>,
    flights: collections::BTreeMap<u64, Flight>,
    next: u64,
    outcome: Outcome,
}

/// An engine whose prefix cache holds about half of the prefixes that it receives.
fn engine_config(power: f64) -> batch::Config {
    batch::Config { cache_tokens: CACHE_TOKENS, ..batch::Config::new(power, 1) }
}

/// Calls per second that a runner of power 1 completes when it is never idle.
pub fn runner_capacity() -> f64 {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let mut engine = batch::Batch::new(engine_config(1.0));
    let calls: u64 = 2_000;
    for id in 0..calls {
        let prefix = rng.random_range(0..4 * PREFIXES);
        let (prompt, tokens) = (PREFIX_TOKENS + unique(&mut rng), length(&mut rng));
        let job = batch::Job::new(id, 0, prompt, tokens).with_blocks(blocks(prefix));
        engine.submit(time::Duration::ZERO, job);
    }
    let mut end = time::Duration::ZERO;
    let mut events = Vec::new();
    while let Some(next) = engine.next_end() {
        end = next;
        engine.advance(next, &mut events);
        events.clear();
    }
    calls as f64 / end.as_secs_f64()
}

fn length(rng: &mut rand::rngs::SmallRng) -> u64 {
    let normal = rand_distr::LogNormal::new(4.8, 0.7).expect("finite parameters");
    whole(normal.sample(rng)).clamp(8, 512)
}

/// The whole part of a number that is neither negative nor large.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "samples are positive and small"
)]
pub fn whole(number: f64) -> u64 {
    number as u64
}

fn unique(rng: &mut rand::rngs::SmallRng) -> u64 {
    rng.random_range(16..256)
}

fn blocks(prefix: u64) -> Vec<u64> {
    let count = PREFIX_TOKENS / standin::cache::BLOCK_TOKENS as u64;
    (0..count).map(|block| (prefix + 1) * 1_000 + block).collect()
}

fn runner_name(number: usize) -> ids::Target {
    format!("r{number}").into()
}

fn account_name(number: usize) -> ids::Account {
    format!("account-{number}").into()
}

fn item(model: usize) -> sync::Arc<str> {
    format!("m{model}").into()
}

impl Fleet {
    pub fn new(setup: Setup) -> Self {
        let power = |number: usize| if number % 4 == 3 { setup.slow_power } else { 1.0 };
        let runners = (0..setup.runners)
            .map(|number| Runner {
                batch: batch::Batch::new(engine_config(power(number))),
                loads: collections::VecDeque::new(),
            })
            .collect();
        let bundle = declare_bundle(&setup, &power);
        let vms = (0..setup.vms).map(|_| vm(&setup, &bundle)).collect();
        Self {
            setup,
            now: ids::Time::default(),
            rng: rand::rngs::SmallRng::seed_from_u64(setup.seed),
            vms,
            runners,
            waiting: collections::BTreeMap::new(),
            flights: collections::BTreeMap::new(),
            next: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        let full: f64 = (0..self.setup.runners)
            .map(|number| if number % 4 == 3 { self.setup.slow_power } else { 1.0 })
            .sum();
        let rate = self.setup.load * full * runner_capacity();
        let end = ids::Time::default() + self.setup.length;
        while self.now < end {
            self.now = self.now + time::Duration::from_millis(STEP_MS);
            self.arrive(rate);
            self.advance();
            self.poll();
            for vm in 0..self.vms.len() {
                self.dispatch(vm);
            }
        }
        let counted = self.setup.length.as_secs_f64() - WARM_UP_MS as f64 / 1_000.0;
        let attained: u64 = self.outcome.accounts.iter().map(|tally| tally.attained).sum();
        self.outcome.per_accelerator = attained as f64 / counted / self.setup.runners as f64;
        self.outcome
    }

    fn arrive(&mut self, rate: f64) {
        for (account, share) in SHARES.into_iter().enumerate() {
            let flood = if account + 1 == SHARES.len() { self.setup.flood } else { 1.0 };
            let mean = rate * share * flood * STEP_MS as f64 / 1_000.0;
            let poisson = rand_distr::Poisson::new(mean).expect("a positive rate");
            let count = whole(poisson.sample(&mut self.rng));
            for _ in 0..count {
                self.push(account);
            }
        }
    }

    fn push(&mut self, account: usize) {
        let model = self.rng.random_range(0..self.setup.models);
        let tokens = length(&mut self.rng);
        let call = Call {
            account,
            model,
            arrived: self.now,
            prefix: model as u64 * PREFIXES + self.rng.random_range(0..PREFIXES),
            unique: unique(&mut self.rng),
            tokens,
            expected: whole(tokens as f64 * self.rng.random_range(1.0..2.0)),
        };
        let number = self.next;
        self.next += 1;
        let entry = queue::Entry {
            call: ids::Call::new(number),
            account: account_name(account),
            class: format::Class::Paid,
            tokens: call.expected,
            item: item(model),
            arrived: self.now,
            deadline: self.now + QUEUE_TIMEOUT,
            prefix: call.prefix + 1,
        };
        self.waiting.insert(number, call);
        let vm = self.rng.random_range(0..self.vms.len());
        match self.vms[vm].queue.push(self.now, entry) {
            Ok(evicted) => evicted.into_iter().for_each(|entry| self.refuse(&entry)),
            Err(queue::Full(entry)) => self.refuse(&entry),
        }
    }

    fn refuse(&mut self, entry: &queue::Entry) {
        let Some(call) = self.waiting.remove(&entry.call.get()) else {
            return;
        };
        if call.arrived.as_millis() >= WARM_UP_MS {
            let tally = &mut self.outcome.accounts[call.account];
            tally.calls += 1;
            tally.refused += 1;
        }
    }

    fn advance(&mut self) {
        let now = time::Duration::from_millis(self.now.as_millis());
        let mut events = Vec::new();
        for runner in &mut self.runners {
            runner.batch.advance(now, &mut events);
        }
        for event in events {
            match event {
                batch::Event::Chunk { job, .. } => self.chunk(job),
                batch::Event::Done { job } => self.done(job),
                batch::Event::Cache(_) => {}
            }
        }
    }

    fn chunk(&mut self, job: u64) {
        let Some(flight) = self.flights.get_mut(&job) else {
            return;
        };
        flight.first.get_or_insert(self.now);
        let attempt = ids::Attempt::new(job);
        self.vms[flight.vm].table.record_progress(self.now, attempt, 1);
    }

    fn done(&mut self, job: u64) {
        let Some(Flight { vm, first: Some(first), call }) = self.flights.remove(&job) else {
            return;
        };
        self.vms[vm].table.end_attempt(self.now, ids::Attempt::new(job), target::Outcome::Ok);
        if call.arrived.as_millis() < WARM_UP_MS {
            return;
        }
        let wait = first.since(call.arrived);
        let decode = self.now.since(first).as_secs_f64() * 1_000.0;
        let gap = decode / (call.tokens - 1).max(1) as f64;
        let tally = &mut self.outcome.accounts[call.account];
        tally.calls += 1;
        if wait <= FIRST_TOKEN && gap <= TOKEN_GAP_MS {
            tally.attained += 1;
        }
        self.outcome.firsts.push(wait.as_secs_f64() * 1_000.0);
        self.outcome.gaps.push(gap);
    }

    /// Records the load of the runners and reports it to the VMs after a delay.
    fn poll(&mut self) {
        let past = usize::try_from(REPORT_AGE_MS / STEP_MS).unwrap_or(usize::MAX);
        for runner in &mut self.runners {
            runner.loads.push_back(runner.batch.load());
            if runner.loads.len() > past {
                runner.loads.pop_front();
            }
        }
        for vm in 0..self.vms.len() {
            let offset = vm as u64 * POLL_MS / self.vms.len() as u64 / STEP_MS * STEP_MS;
            if (self.now.as_millis() + offset).is_multiple_of(POLL_MS) {
                self.report(vm);
            }
        }
    }

    fn report(&mut self, vm: usize) {
        for (number, runner) in self.runners.iter().enumerate() {
            let Some(load) = runner.loads.front() else {
                continue;
            };
            let report = engine::Report {
                age_ms: REPORT_AGE_MS,
                running: load.running,
                waiting: load.waiting,
                backlog_tokens: load.backlog_tokens,
                kv_permille: load.kv_permille,
                ..engine::Report::default()
            };
            self.vms[vm].table.record_report(self.now, &runner_name(number), &report);
        }
    }

    fn dispatch(&mut self, vm: usize) {
        let now = self.now;
        let expired = self.vms[vm].queue.expire(now);
        for entry in &expired {
            self.refuse(entry);
        }
        loop {
            let Vm { queue, table } = &mut self.vms[vm];
            let config = &self.setup.queue;
            let can_run = |entry: &queue::Entry| {
                if config.is_late(now, entry) {
                    return table.has_spare_room(now, &entry.item, &[]);
                }
                table.has_room(now, &entry.item, &[])
            };
            let Some(entry) = queue.pop(now, can_run) else {
                return;
            };
            self.begin(vm, &entry);
        }
    }

    fn begin(&mut self, vm: usize, entry: &queue::Entry) {
        let number = entry.call.get();
        let Some(call) = self.waiting.remove(&number) else {
            return;
        };
        let prompt_tokens = PREFIX_TOKENS + call.unique;
        let name = item(call.model);
        let request = target::Request {
            item: &name,
            tokens: call.expected,
            prompt_tokens,
            prefix: entry.prefix,
            excluded: &[],
        };
        let table = &mut self.vms[vm].table;
        let Some(chosen) = table.choose(self.now, &request, &mut self.rng) else {
            return;
        };
        table.begin_attempt(self.now, ids::Attempt::new(number), &chosen, &request);
        let index: usize = chosen.as_str()[1..].parse().expect("a runner's name");
        let job = batch::Job::new(number, 0, prompt_tokens, call.tokens);
        let job = job.with_blocks(blocks(call.prefix));
        let now = time::Duration::from_millis(self.now.as_millis());
        self.runners[index].batch.submit(now, job);
        self.flights.insert(number, Flight { vm, first: None, call });
    }
}

fn declare_bundle(setup: &Setup, power: &impl Fn(usize) -> f64) -> format::Bundle {
    let runners = (0..setup.runners).map(|number| format::Runner {
        name: runner_name(number),
        centre: "gulf".into(),
        address: "127.0.0.1:1".into(),
        accelerators: 1,
        memory_mib: 1,
        power: if setup.slow_declared { power(number) } else { 1.0 },
        fencing: true,
    });
    let accounts = SHARES.into_iter().enumerate().map(|(number, share)| format::Account {
        name: account_name(number),
        class: format::Class::Paid,
        rate: whole(share * 1_000.0),
        burst: 1_000,
        keys: Vec::new(),
    });
    format::Bundle {
        format: 1,
        deployment: "policies".into(),
        centres: vec!["gulf".into()],
        models: Vec::new(),
        adapters: Vec::new(),
        runners: runners.collect(),
        services: Vec::new(),
        accounts: accounts.collect(),
        weights: format::Weights { loads_per_second: 1.0, loads_at_once: 1, adapters_at_once: 1 },
        limits: format::Limits {
            calls_per_accelerator: setup.target.calls_per_accelerator,
            ..format::Limits::default()
        },
    }
}

fn vm(setup: &Setup, bundle: &format::Bundle) -> Vm {
    let mut queue = queue::Queue::new(setup.queue);
    queue.apply_bundle(bundle);
    let mut table = target::Table::new(setup.target);
    table.apply_bundle(bundle, &collections::BTreeSet::new());
    for number in 0..setup.runners {
        let held = (0..setup.models).filter(|model| {
            (0..setup.copies).any(|copy| (model + copy * 5) % setup.runners == number)
        });
        let items: Vec<_> = held.map(item).collect();
        table.set_ready_items(&runner_name(number), &items);
    }
    Vm { queue, table }
}
