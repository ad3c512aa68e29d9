//! Random sessions of calls and faults.
//!
//! The test plays the targets: it decides for each attempt whether it runs, what
//! it answers and what is lost. It therefore knows which calls ran, and checks
//! every outcome against that.

mod harness;

use std::collections;

use harness::{Harness, chat, desk};
use node::{Begin, Input, Output, call};
use rand::{Rng as _, SeedableRng as _};

/// Seed of the generator of schedules.
const SEED: u64 = 0x5eed_0001;

/// Number of random schedules.
const SCHEDULES: u64 = 120;

/// Number of steps in a schedule.
const STEPS: usize = 120;

/// Time in which every call must have ended once faults are over, in ms.
const DRAIN_MS: u64 = 60_000;

#[derive(Clone, Debug, Default)]
struct Attempt {
    begin: Option<Begin>,
    has_run: bool,
    is_over: bool,
    next: u64,
}

#[derive(Clone, Debug)]
struct Call {
    is_chat: bool,
    chunks: u64,
    key: Option<u8>,
    ending: Option<call::Ending>,
    received: Vec<u64>,
}

struct Schedule {
    rng: rand::rngs::SmallRng,
    harness: Harness,
    calls: collections::BTreeMap<ids::Call, Call>,
    attempts: collections::BTreeMap<ids::Attempt, Attempt>,
    observed: usize,
    are_faults_over: bool,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        Self {
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            harness: Harness::ready(),
            calls: collections::BTreeMap::new(),
            attempts: collections::BTreeMap::new(),
            observed: 0,
            are_faults_over: false,
        }
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            match self.rng.random_range(0..100) {
                0..25 => self.arrive(),
                25..80 => self.move_attempt(),
                80..84 => self.disconnect(),
                84..87 => self.harness.is_store_down = !self.harness.is_store_down,
                87..89 => self.pause(),
                _ => self.wait(),
            }
            self.observe();
        }
        self.drain();
        self.check_chunks();
    }

    fn arrive(&mut self) {
        let account = if self.rng.random_bool(0.5) { "mayors" } else { "hosts" };
        let chunks = self.rng.random_range(1..6);
        let kind = self.rng.random_range(0..4);
        let key = (kind == 0).then(|| self.rng.random_range(0..4));
        let work = match kind {
            0 => desk("POST", "/booking"),
            1 => desk("GET", "/lookup/1"),
            _ => chat(chunks),
        };
        let call = self.harness.arrive_with(account, work, |arrival| {
            arrival.idempotency = key.map(|key| format!("{account}-{key}").into());
        });
        let key = key.map(|key| key + if account == "mayors" { 0 } else { 100 });
        let is_chat = kind > 1;
        let row = Call { is_chat, chunks, key, ending: None, received: Vec::new() };
        self.calls.insert(call, row);
    }

    /// Advances or breaks a random open attempt.
    fn move_attempt(&mut self) {
        let is_open = |attempt: &&Attempt| !attempt.is_over;
        let open = self.attempts.values().filter(is_open).count();
        if open == 0 {
            return;
        }
        let chosen = self.rng.random_range(0..open);
        let attempts = self.attempts.iter().filter(|(_, attempt)| !attempt.is_over);
        let (id, attempt) = attempts.map(|(id, row)| (*id, row.clone())).nth(chosen).unwrap();
        let fault = !self.are_faults_over && self.rng.random_bool(0.3);
        if fault { self.break_attempt(id, attempt) } else { self.advance(id, attempt) }
    }

    fn advance(&mut self, id: ids::Attempt, mut attempt: Attempt) {
        let begin = attempt.begin.clone().unwrap();
        let call = self.calls[&begin.call].clone();
        attempt.has_run = true;
        if !call.is_chat {
            attempt.is_over = true;
            self.attempts.insert(id, attempt);
            let body = bytes::Bytes::from(format!("ran {id}"));
            let media = "text/plain".into();
            self.harness.event(id, engine::Event::Answer { status: 200, media, body });
        } else if attempt.next < call.chunks {
            let seq = attempt.next;
            attempt.next += 1;
            self.attempts.insert(id, attempt);
            self.harness.chunk(id, seq);
        } else {
            attempt.is_over = true;
            self.attempts.insert(id, attempt);
            self.harness.done(id, call.chunks);
        }
    }

    fn break_attempt(&mut self, id: ids::Attempt, mut attempt: Attempt) {
        let reason = "test".into();
        let event = match self.rng.random_range(0..6) {
            0 if !attempt.has_run => engine::Event::Unsent { reason },
            1 if !attempt.has_run => engine::Event::Refused { reason },
            2 => engine::Event::Chunk { seq: attempt.next + 1, text: "crossed".into() },
            3 if attempt.next > 0 => engine::Event::Chunk { seq: 0, text: "doubled".into() },
            4 => engine::Event::Done { chunks: 99, reason, prompt_tokens: 1 },
            _ => engine::Event::Broken { reason },
        };
        let begin = attempt.begin.clone().unwrap();
        let is_service = !self.calls[&begin.call].is_chat;
        let event = match event {
            engine::Event::Chunk { .. } | engine::Event::Done { .. } if is_service => {
                engine::Event::Broken { reason: "test".into() }
            }
            event => event,
        };
        let is_not_run =
            matches!(event, engine::Event::Unsent { .. } | engine::Event::Refused { .. });
        attempt.has_run |= !is_not_run;
        attempt.is_over = event.is_last();
        self.attempts.insert(id, attempt);
        self.harness.event(id, event);
    }

    fn disconnect(&mut self) {
        let open: Vec<_> = self.open().collect();
        if let Some(call) = open.get(self.rng.random_range(0..open.len().max(1))) {
            self.harness.input(Input::Gone { call: *call });
            let row = self.calls.get_mut(call).unwrap();
            row.ending = Some(call::Ending::Models { names: Vec::new() });
        }
    }

    fn pause(&mut self) {
        self.harness.now += harness::TICK_MS * self.rng.random_range(5..400);
    }

    fn wait(&mut self) {
        let until = self.harness.now + self.rng.random_range(2..300);
        self.harness.run(until);
    }

    fn open(&self) -> impl Iterator<Item = ids::Call> {
        let open = self.calls.iter().filter(|(_, row)| row.ending.is_none());
        open.map(|(call, _)| *call)
    }

    /// Checks the node's outputs since the last call.
    fn observe(&mut self) {
        let outputs = self.harness.outputs[self.observed..].to_vec();
        self.observed = self.harness.outputs.len();
        for output in outputs {
            match output {
                Output::Begin(begin) => self.record_attempt(begin),
                Output::Abort { attempt } => {
                    let row = self.attempts.get_mut(&attempt).unwrap();
                    // The abort may reach the target too late.
                    row.has_run = true;
                    row.is_over = true;
                }
                Output::Chunk { call, seq, text } => {
                    assert_eq!(&*text, format!("t{seq} "), "a chunk of another stream");
                    self.calls.get_mut(&call).unwrap().received.push(seq);
                }
                Output::Finish { call, ending } => {
                    let row = self.calls.get_mut(&call).unwrap();
                    assert_eq!(row.ending, None, "call {call} ended twice");
                    row.ending = Some(ending.clone());
                    self.check_ending(call, &ending);
                }
                _ => {}
            }
        }
    }

    fn record_attempt(&mut self, begin: Begin) {
        if let Some(key) = self.calls[&begin.call].key {
            let others = self.attempts.values().filter(|row| row.has_run || !row.is_over);
            let calls = others.filter_map(|row| row.begin.as_ref()).map(|other| other.call);
            let twice = calls.filter(|call| self.calls[call].key == Some(key)).count();
            assert_eq!(twice, 0, "the call with key {key} was sent twice");
        }
        let next = begin.resume_from;
        let id = begin.attempt;
        let row = Attempt { begin: Some(begin), next, ..Attempt::default() };
        self.attempts.insert(id, row);
    }

    /// Checks a result against what ran at the targets.
    fn check_ending(&self, call: ids::Call, ending: &call::Ending) {
        let of_call = |row: &&Attempt| row.begin.as_ref().is_some_and(|begin| begin.call == call);
        let may_run = |row: &Attempt| row.has_run || !row.is_over;
        if ending.outcome() == call::Outcome::NotRun {
            let ran = self.attempts.values().filter(of_call).any(may_run);
            assert!(!ran, "call {call} was refused as not run, but it may have: {ending:?}");
        }
        if let call::Ending::Done { chunks, .. } = ending {
            assert_eq!(*chunks, self.calls[&call].chunks);
        }
    }

    /// Stops injecting faults and checks that every open call ends.
    fn drain(&mut self) {
        self.are_faults_over = true;
        self.harness.is_store_down = false;
        let limit = self.harness.now + DRAIN_MS;
        while self.open().next().is_some() {
            assert!(self.harness.now < limit, "calls that did not end: {:?}", self.open().last());
            self.move_attempt();
            self.harness.run(self.harness.now + 10);
            self.observe();
        }
    }

    fn check_chunks(&self) {
        for (call, row) in &self.calls {
            let expected: Vec<_> = (0..row.received.len() as u64).collect();
            assert_eq!(row.received, expected, "call {call} received its chunks out of order");
            if let Some(call::Ending::Done { chunks, .. }) = row.ending {
                assert_eq!(row.received.len() as u64, chunks, "call {call} was cut short");
            }
        }
    }
}

#[test]
fn outcomes_and_streams_are_correct_under_random_faults() {
    fn property(seed: u64) -> bool {
        Schedule::new(seed).run();
        true
    }
    let generator = quickcheck::Gen::from_size_and_seed(STEPS, SEED);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(SCHEDULES)
        .quickcheck(property as fn(u64) -> bool);
}
