#![allow(dead_code, reason = "each benchmark uses another part of the module")]
//! A node in a fleet of a given size, with an in-memory platform.

use std::{collections, fmt::Write as _, sync};

use bundle::signed;
use node::{Input, Output, call, operator};
use store::memory;

/// Fleet sizes: members, runners and models.
pub const SIZES: [(usize, usize, usize); 3] = [(10, 60, 35), (100, 200, 120), (330, 600, 350)];

/// Copies of each model.
const COPIES: usize = 4;

/// Number of chunks of a benchmarked call.
const CHUNKS: u64 = 64;

pub struct Fleet {
    pub node: node::Node,
    pub now: u64,
    last_call: u64,
    table: memory::Table,
    objects: memory::Objects,
    reports: collections::BTreeMap<ids::Target, engine::Report>,
    pub outputs: Vec<Output>,
}

fn bundle_text(runners: usize, models: usize) -> String {
    let mut text = "format: 1\ndeployment: bench\ncentres: [north]\nmodels:\n".to_owned();
    for model in 0..models {
        let line = "version: v1, memory_mib: 20000, kv_floor_mib: 4000, copies: 4";
        writeln!(text, "  - {{name: model-{model}, {line}}}").unwrap();
    }
    text.push_str("runners:\n");
    for runner in 0..runners {
        let line = "centre: north, accelerators: 8, memory_mib: 640000";
        let address = format!("'127.0.0.1:{}'", 1_000 + runner);
        writeln!(text, "  - {{name: runner-{runner}, address: {address}, {line}}}").unwrap();
    }
    let digest = presented().digest;
    text.push_str("accounts:\n  - {name: mayors, class: paid, rate: 100000000, ");
    writeln!(text, "burst: 100000000, keys: [{{id: bench, digest: '{digest}'}}]}}").unwrap();
    text.push_str("weights: {loads_per_second: 100, loads_at_once: 100}\n");
    text
}

fn presented() -> bundle::key::Presented {
    bundle::key::Presented::parse("pp.bench.secret").unwrap()
}

impl Fleet {
    pub fn new(members: usize, runners: usize, models: usize) -> Self {
        let secret = signed::Secret::new([5; 32]);
        let signer = signed::Signer::new("alice", secret.public());
        let config = node::Config::new("vm-0", "north", 1).with_signers(vec![signer]);
        let text = bundle_text(runners, models);
        let document: sync::Arc<str> = signed::sign(&text, &secret, "alice", 1).to_json().into();
        let mut fleet = Self {
            node: node::Node::new(config.clone()),
            now: 0,
            last_call: 0,
            table: memory::Table::default(),
            objects: memory::Objects::default(),
            reports: (0..runners).map(|runner| report(runner, models, runners)).collect(),
            outputs: Vec::new(),
        };
        fleet.write_head(&config, members);
        fleet.run(2_000);
        let request = operator::Request::Accept { document, replaces: None };
        fleet.step([Input::Operator { op: ids::Op::new(1), request }]);
        fleet.assert_not_refused();
        fleet.run(10_000);
        fleet
    }

    fn assert_not_refused(&self) {
        let refused = self.outputs.iter().find_map(|output| match output {
            Output::Operator { reply: operator::Reply::Refused { reason }, .. } => Some(reason),
            _ => None,
        });
        assert_eq!(refused, None, "the bundle of the benchmark is refused");
    }

    /// Writes a head that lists all members.
    fn write_head(&mut self, config: &node::Config, members: usize) {
        let mut head = member::Head { version: ids::Version::new(1), ..member::Head::default() };
        for number in 0..members {
            let mut entry = config.member();
            entry.vm = format!("vm-{number}").into();
            head = head.with_member(entry, 9);
        }
        self.table.answer(&member::row::write_request(&head));
    }

    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.now += 10;
            self.step([]);
        }
    }

    /// Runs a step and answers its requests to the platform without delay.
    pub fn step(&mut self, inputs: impl IntoIterator<Item = Input>) {
        let now = ids::Time::from_millis(self.now);
        self.outputs.clear();
        self.node.step(now, inputs, &mut self.outputs);
        let mut answers = self.answers(0);
        while !answers.is_empty() {
            let seen = self.outputs.len();
            self.node.step(now, answers, &mut self.outputs);
            answers = self.answers(seen);
        }
    }

    /// Returns the platform's answers to the outputs from index `from` on.
    fn answers(&mut self, from: usize) -> Vec<Input> {
        let Self { outputs, table, objects, reports, .. } = self;
        let answers = outputs[from..].iter().filter_map(|output| match output {
            Output::Table { op, request } => {
                Some(Input::Table { op: *op, result: Ok(table.answer(request)) })
            }
            Output::Object { op, request } => {
                Some(Input::Object { op: *op, result: Ok(objects.answer(request)) })
            }
            Output::Report { target, .. } => {
                let report = reports.get(target).cloned();
                Some(Input::Report { target: target.clone(), report })
            }
            _ => None,
        });
        answers.collect()
    }

    fn arrive(&mut self) -> Option<ids::Attempt> {
        self.last_call += 1;
        let arrival = call::Arrival {
            call: ids::Call::new(self.last_call),
            key: Some(presented()),
            work: call::Work::Chat {
                model: "model-1".into(),
                adapter: None,
                prompt_tokens: 100,
                max_tokens: Some(CHUNKS),
                prefix: self.last_call,
            },
            idempotency: None,
            digest: ids::Digest::default(),
            resume: None,
            patience: None,
        };
        self.step([Input::Arrival(arrival)]);
        self.outputs.iter().find_map(|output| match output {
            Output::Begin(begin) => Some(begin.attempt),
            _ => None,
        })
    }

    pub fn call(&mut self) {
        self.now += 2;
        let Some(attempt) = self.arrive() else {
            panic!("the call was not sent: {:?}", self.outputs);
        };
        for seq in 0..CHUNKS {
            self.chunk(attempt, seq);
        }
        let reason = "length".into();
        let event = engine::Event::Done { chunks: CHUNKS, reason, prompt_tokens: 100 };
        self.step([Input::Attempt { attempt, event }]);
    }

    fn chunk(&mut self, attempt: ids::Attempt, seq: u64) {
        let event = engine::Event::Chunk { seq, text: "word ".into() };
        self.step([Input::Attempt { attempt, event }]);
    }
}

pub fn report(runner: usize, models: usize, runners: usize) -> (ids::Target, engine::Report) {
    let is_resident =
        |model: &usize| (0..COPIES).any(|copy| (model * COPIES + copy) % runners == runner);
    let residents = (0..models).filter(is_resident).map(|model| engine::report::Resident {
        item: format!("model-{model}").into(),
        version: "v1".into(),
        state: engine::report::State::Ready,
        memory_mib: 24_000,
    });
    let report = engine::Report { residents: residents.collect(), ..engine::Report::default() };
    (format!("runner-{runner}").into(), report)
}
