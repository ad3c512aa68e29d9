#![allow(dead_code, reason = "each test file uses another part of the harness")]
//! Test harness: one node with an in-memory platform, recorded as a session.
//!
//! Tests send the events of targets themselves. The table service and the object
//! store answer after `LATENCY_MS`, unless the test sets `is_store_down`.

use std::fmt::Write as _;

use bundle::signed;
use node::{Begin, Input, Output, call, operator};
use store::memory;

const LATENCY_MS: u64 = 2;
pub const TICK_MS: u64 = 20;
const SECRET: [u8; 24] = [7; 24];

pub const BUNDLE: &str = "
format: 1
deployment: test
centres: [north]
models:
  - {name: draft, version: v1, memory_mib: 1000, kv_floor_mib: 200}
adapters:
  - {name: formal, model: draft, version: v1, memory_mib: 10}
runners:
  - {name: runner-1, centre: north, address: '127.0.0.1:1', accelerators: 1, memory_mib: 4000}
  - {name: runner-2, centre: north, address: '127.0.0.1:2', accelerators: 1, memory_mib: 4000}
services:
  - name: desk
    targets:
      - {name: desk-1, centre: north, address: '127.0.0.1:3'}
    routes:
      - {path: /lookup, repeatable: true}
      - {path: /booking, repeatable: false}
      - {path: /hours, repeatable: true, open: true}
accounts:
  - {name: mayors, class: paid, rate: 1000, burst: 5000}
  - {name: hosts, class: courtesy, rate: 1000, burst: 5000}
weights: {loads_per_second: 1.5, loads_at_once: 10}
";

pub struct Harness {
    pub node: node::Node,
    pub now: u64,
    pub text: String,
    pub outputs: Vec<Output>,
    pub is_store_down: bool,
    /// Whether the second runner reports no resident models.
    pub is_second_runner_empty: bool,
    table: memory::Table,
    objects: memory::Objects,
    due: Vec<(u64, Input)>,
    next_call: u64,
}

/// Returns the key of an account.
pub fn key(account: &str) -> bundle::key::Presented {
    let secret = bundle::key::Secret::new(&account.into(), &SECRET);
    bundle::key::Presented::parse(secret.reveal()).unwrap()
}

fn document() -> (String, signed::Signer) {
    let secret = signed::Secret::new([3; 32]);
    let mut text = BUNDLE.to_owned();
    for account in ["mayors", "hosts"] {
        let digest = key(account).digest;
        let named = format!("name: {account},");
        let keyed = format!("{named} keys: [{{id: {account}, digest: '{digest}'}}],");
        text = text.replace(&named, &keyed);
    }
    let signer = signed::Signer::new("alice", secret.public());
    (signed::sign(&text, &secret, "alice", 1).to_json(), signer)
}

impl Harness {
    /// Creates a node with a bundle in force and both runners ready for all models.
    pub fn ready() -> Self {
        let (document, signer) = document();
        let config = node::Config::new("vm-1", "north", 1)
            .with_signers(vec![signer])
            .with_peer("127.0.0.1:9");
        let mut text = String::new();
        writeln!(text, "config {}", serde_json::to_string(&config).unwrap()).unwrap();
        let mut harness = Self {
            node: node::Node::new(config),
            now: 0,
            text,
            outputs: Vec::new(),
            is_store_down: false,
            is_second_runner_empty: false,
            table: memory::Table::default(),
            objects: memory::Objects::default(),
            due: Vec::new(),
            next_call: 0,
        };
        harness.run(1_000);
        let request = operator::Request::Accept { document: document.into(), replaces: None };
        harness.input(Input::Operator { op: ids::Op::new(1), request });
        harness.run(6_000);
        harness.outputs.clear();
        harness
    }

    /// Runs a step with one input.
    pub fn input(&mut self, input: Input) {
        let json = serde_json::to_string(&input).unwrap();
        writeln!(self.text, "@{} {json}", self.now).unwrap();
        self.step([input]);
    }

    /// Advances the time to `until`, in ms, with ticks and answers of the platform.
    pub fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += LATENCY_MS;
            let (due, later) = self.due.drain(..).partition(|(at, _)| *at <= self.now);
            self.due = later;
            for (_, input) in due {
                self.input(input);
            }
            if self.now.is_multiple_of(TICK_MS) {
                writeln!(self.text, "@{}", self.now).unwrap();
                self.step([]);
            }
        }
    }

    /// Sends a call of an account; an empty name sends no key.
    pub fn arrive(&mut self, account: &str, work: call::Work) -> ids::Call {
        self.arrive_with(account, work, |_| {})
    }

    /// Sends a call whose arrival is modified by `change`.
    pub fn arrive_with(
        &mut self,
        account: &str,
        work: call::Work,
        change: impl FnOnce(&mut call::Arrival),
    ) -> ids::Call {
        self.next_call += 1;
        let call = ids::Call::new(self.next_call);
        let mut arrival = call::Arrival {
            call,
            key: (!account.is_empty()).then(|| key(account)),
            work,
            idempotency: None,
            digest: ids::Digest::of(b"request"),
            resume: None,
            patience: None,
        };
        change(&mut arrival);
        self.input(Input::Arrival(arrival));
        call
    }

    /// Sends an event of an attempt.
    pub fn event(&mut self, attempt: ids::Attempt, event: engine::Event) {
        self.input(Input::Attempt { attempt, event });
    }

    pub fn chunk(&mut self, attempt: ids::Attempt, seq: u64) {
        let text = format!("t{seq} ").into();
        self.event(attempt, engine::Event::Chunk { seq, text });
    }

    pub fn done(&mut self, attempt: ids::Attempt, chunks: u64) {
        let reason = "length".into();
        self.event(attempt, engine::Event::Done { chunks, reason, prompt_tokens: 10 });
    }

    /// Returns all attempts sent to targets, in order.
    pub fn sent_attempts(&self) -> Vec<Begin> {
        let begun = self.outputs.iter().filter_map(|output| match output {
            Output::Begin(begin) => Some(begin.clone()),
            _ => None,
        });
        begun.collect()
    }

    /// Returns the numbers of the chunks sent to a caller.
    pub fn chunks(&self, caller: ids::Call) -> Vec<u64> {
        let chunks = self.outputs.iter().filter_map(|output| match output {
            Output::Chunk { call, seq, .. } if *call == caller => Some(*seq),
            _ => None,
        });
        chunks.collect()
    }

    /// Returns the result of a call, if it has ended; asserts that it did not end twice.
    pub fn ending(&self, caller: ids::Call) -> Option<call::Ending> {
        let mut endings = self.outputs.iter().filter_map(|output| match output {
            Output::Finish { call, ending } if *call == caller => Some(ending.clone()),
            _ => None,
        });
        let ending = endings.next();
        assert!(endings.next().is_none(), "call {caller} ended twice");
        ending
    }

    /// Returns the error code and outcome of a call, if it has failed.
    pub fn failure(&self, caller: ids::Call) -> Option<(call::Code, call::Outcome)> {
        match self.ending(caller)? {
            call::Ending::Failed { code, outcome, .. } => Some((code, outcome)),
            _ => None,
        }
    }

    fn step(&mut self, inputs: impl IntoIterator<Item = Input>) {
        let mut outputs = Vec::new();
        self.node.step(ids::Time::from_millis(self.now), inputs, &mut outputs);
        for output in &outputs {
            writeln!(self.text, "> {}", serde_json::to_string(output).unwrap()).unwrap();
            self.serve(output);
        }
        self.outputs.append(&mut outputs);
    }

    fn serve(&mut self, output: &Output) {
        let input = match output {
            Output::Report { target, .. } => {
                let is_empty = self.is_second_runner_empty && target.as_str() == "runner-2";
                let report = if is_empty { engine::Report::default() } else { report() };
                Input::Report { target: target.clone(), report: Some(report) }
            }
            _ if self.is_store_down => return,
            Output::Table { op, request } => {
                Input::Table { op: *op, result: Ok(self.table.answer(request)) }
            }
            Output::Object { op, request } => {
                Input::Object { op: *op, result: Ok(self.objects.answer(request)) }
            }
            Output::Vms { op } => Input::Vms { op: *op, result: Ok(Vec::new()) },
            _ => return,
        };
        self.due.push((self.now + LATENCY_MS, input));
    }
}

/// Returns the report of both runners.
fn report() -> engine::Report {
    let resident = |item: &str, memory_mib| engine::report::Resident {
        item: item.into(),
        version: "v1".into(),
        state: engine::report::State::Ready,
        memory_mib,
    };
    let residents = vec![resident("draft", 1_200), resident("draft:formal", 10)];
    engine::Report { residents, ..engine::Report::default() }
}

/// Returns the work of a chat completion of `max_tokens` chunks.
pub fn chat(max_tokens: u64) -> call::Work {
    call::Work::Chat {
        model: "draft".into(),
        adapter: None,
        prompt_tokens: 10,
        max_tokens: Some(max_tokens),
        prefix: 1,
    }
}

/// Returns the work of a request to the service `desk`.
pub fn desk(method: &str, path: &str) -> call::Work {
    call::Work::Service { service: "desk".into(), method: method.into(), path: path.into() }
}

/// Compares a recorded session with the golden file `name`.
///
/// If the environment variable `UPDATE_SESSIONS` is set, the file is overwritten first.
pub fn assert_golden(name: &str, harness: &Harness) {
    let path = format!("{}/tests/sessions/{name}.session", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("UPDATE_SESSIONS").is_some() {
        std::fs::write(&path, &harness.text).unwrap();
    }
    let golden = std::fs::read_to_string(&path).unwrap();
    let differs = golden.lines().zip(harness.text.lines()).position(|(old, new)| old != new);
    assert_eq!(differs, None, "{path} differs from the session from this line on");
    assert_eq!(golden.lines().count(), harness.text.lines().count(), "{path} has another length");
    assert_eq!(node::session::replay(&golden).unwrap(), golden);
}
