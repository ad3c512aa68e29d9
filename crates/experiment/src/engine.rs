//! Engines of a run: their batch, and the models that they hold.

use std::{collections, time};

use relay::{envelope, output, target};
use standin::batch;

/// Speed and room of an engine, after the sheets of the users' sites.
#[must_use]
pub fn config() -> batch::Config {
    batch::Config {
        slots: 64,
        step: time::Duration::from_micros(8_870),
        per_token: time::Duration::ZERO,
        per_running: time::Duration::from_micros(39),
        per_thousand_kept: time::Duration::from_micros(23),
        // 19 tokens a ms.
        per_prompt_token: time::Duration::from_nanos(52_400),
        prompt_tokens_per_step: 2_048,
        kv_tokens: 131_945,
        memory: batch::Memory::Shared,
        ..batch::Config::default()
    }
}

/// Requests that wait at an engine at most.
const QUEUE: u64 = 134;
/// Models for which an engine has room.
pub const ROOM: usize = 3;
/// Time that a model takes to load from the weight store, after the sheet.
pub const LOAD: time::Duration = time::Duration::from_millis(8_600);
/// The same from a copy on the own disk.
pub const DISK_LOAD: time::Duration = time::Duration::from_millis(1_700);
/// The same from a copy in memory, which these engines do not keep.
pub const WARM_LOAD: time::Duration = time::Duration::from_millis(810);

/// An engine.
#[derive(Debug)]
pub struct Engine {
    /// Its entry, as the VMs are told it.
    pub entry: target::Entry,
    /// Orders that it has accepted.
    pub orders: u64,
    batch: batch::Batch,
    /// Its own time, which a slow engine falls behind with.
    clock: time::Duration,
    busy: Option<(ids::Time, output::Order)>,
}

impl Engine {
    /// What the store says of it as of a version.
    #[must_use]
    pub fn change(&self, version: ids::Version) -> target::Change {
        let entry = Some(self.entry.clone());
        target::Change { target: self.entry.target.clone(), version, entry }
    }

    /// The engine `number` with these models.
    #[must_use]
    pub fn new(number: usize, models: &[String]) -> Self {
        let models = models
            .iter()
            .map(|model| (ids::Model::from(model.as_str()), collections::BTreeSet::new()));
        let models: collections::BTreeMap<_, _> = models.collect();
        let entry = target::Entry {
            target: format!("engine-{number}").as_str().into(),
            service: "writers".into(),
            address: format!("10.0.0.{number}:1").into(),
            centre: "north".into(),
            slots: 64,
            is_leaving: false,
            born: 1,
            on_disk: models.keys().cloned().collect(),
            models,
            warm: collections::BTreeSet::new(),
        };
        let batch = batch::Batch::new(config());
        Self { entry, orders: 0, batch, clock: time::Duration::ZERO, busy: None }
    }

    /// Takes a request on; whether there was room.
    pub fn submit(&mut self, job: u64, rank: u8, work: &envelope::Work) -> bool {
        let load = self.batch.load();
        let holds = self.entry.models.contains_key(&work.model);
        if !holds || load.waiting >= QUEUE {
            return false;
        }
        let mut blocks = Vec::new();
        let mut seed = route::hash::seed(work.model.as_str());
        for part in &work.prompt {
            for block in 0..part.tokens / standin::cache::BLOCK_TOKENS as u64 {
                seed = route::hash::score(seed, &format!("{}.{block}", part.hash));
                blocks.push(seed);
            }
        }
        let job = batch::Job::new(job, rank, work.prompt_tokens, work.output_tokens);
        self.batch.submit(self.clock, job.with_blocks(blocks));
        true
    }

    /// Gives up the place of a request.
    pub fn cancel(&mut self, job: u64) {
        self.batch.cancel(job);
    }

    /// Works for `passed` at a part of its speed.
    pub fn advance(&mut self, passed: time::Duration, speed: f64, events: &mut Vec<batch::Event>) {
        self.clock += passed.mul_f64(speed);
        self.batch.advance(self.clock, events);
    }

    /// Takes an order.
    pub fn order(&mut self, now: ids::Time, order: &output::Order) -> relay::input::Reply {
        use relay::input::Reply;
        if self.busy.is_some() || order.expected != self.orders {
            return Reply::Conflict;
        }
        let holds = self.entry.models.contains_key(&order.model);
        if (order.verb == output::Verb::Load) == holds {
            return Reply::Holds;
        }
        if order.verb == output::Verb::Load && self.entry.models.len() >= ROOM {
            return Reply::Refused;
        }
        self.orders += 1;
        let takes = match order.verb {
            output::Verb::Load if self.entry.on_disk.contains(&order.model) => DISK_LOAD,
            output::Verb::Load => LOAD,
            output::Verb::Unload => time::Duration::ZERO,
        };
        self.busy = Some((now + takes, order.clone()));
        Reply::Accepted
    }

    /// Ends an order whose time has come; whether what it holds has changed.
    pub fn carry_out(&mut self, now: ids::Time) -> bool {
        let Some((_, order)) = self.busy.take_if(|(at, _)| *at <= now) else {
            return false;
        };
        match order.verb {
            output::Verb::Load => {
                self.entry.on_disk.insert(order.model.clone());
                self.entry.models.entry(order.model).or_default();
            }
            output::Verb::Unload => {
                self.entry.models.remove(&order.model);
            }
        }
        true
    }

    /// What it reports when asked.
    #[must_use]
    pub fn report(&self) -> relay::input::Report {
        relay::input::Report {
            born: 1,
            orders: self.orders,
            is_busy: self.busy.is_some(),
            models: self.entry.models.clone(),
        }
    }
}
