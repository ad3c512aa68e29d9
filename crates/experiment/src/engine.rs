//! Simulated engines: a request batch and the models that are loaded.

use std::{collections, time};

use relay::{envelope, output, target};
use standin::batch;

/// Speed and capacity of an engine, from the data sheets of the users' sites.
#[must_use]
pub fn config() -> batch::Config {
    batch::Config {
        slots: 64,
        step: time::Duration::from_micros(8_870),
        per_token: time::Duration::ZERO,
        per_running: time::Duration::from_micros(39),
        per_thousand_kept: time::Duration::from_micros(23),
        // 19 prompt tokens per ms.
        per_prompt_token: time::Duration::from_nanos(52_400),
        prompt_tokens_per_step: 2_048,
        kv_tokens: 131_945,
        memory: batch::Memory::Shared,
        ..batch::Config::default()
    }
}

/// Largest number of requests that wait at an engine; more are refused.
const MAX_WAITING: u64 = 134;
/// Number of models that fit into an engine.
pub const MODELS_PER_ENGINE: usize = 3;
/// Time to load a model from the weight store, from the data sheet.
pub const STORE_LOAD_TIME: time::Duration = time::Duration::from_millis(8_600);
/// Time to load a model from a copy on the engine's own disk.
pub const DISK_LOAD_TIME: time::Duration = time::Duration::from_millis(1_700);
/// Time to load a model from a copy in memory, which these engines do not keep.
pub const WARM_LOAD_TIME: time::Duration = time::Duration::from_millis(810);

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Its entry in the store, as VMs read it.
    pub entry: target::Entry,
    /// Number of orders that it has accepted.
    pub orders: u64,
    batch: batch::Batch,
    /// Its virtual time, which advances more slowly while its speed is below 1.
    clock: time::Duration,
    pending_order: Option<(ids::Time, output::Order)>,
}

impl Engine {
    /// The change in the store that publishes its entry at `revision`.
    #[must_use]
    pub fn change(&self, revision: ids::Revision) -> target::Change {
        let entry = Some(self.entry.clone());
        target::Change { target: self.entry.target.clone(), revision, entry }
    }

    /// Creates engine `number` with `models` loaded.
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
            cold_left_ms: None,
        };
        let batch = batch::Batch::new(config());
        Self { entry, orders: 0, batch, clock: time::Duration::ZERO, pending_order: None }
    }

    /// Adds a request to the batch. Returns false if the model is not loaded or too many
    /// requests wait.
    pub fn submit(&mut self, job: u64, rank: u8, work: &envelope::Work) -> bool {
        let load = self.batch.load();
        let has_model = self.entry.models.contains_key(&work.model);
        if !has_model || load.waiting >= MAX_WAITING {
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

    /// Whether it has work.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.batch.next_end().is_some()
    }

    /// Removes a request from the batch.
    pub fn cancel(&mut self, job: u64) {
        self.batch.cancel(job);
    }

    /// Advances the batch by `elapsed` multiplied by `speed`.
    pub fn advance(&mut self, elapsed: time::Duration, speed: f64, events: &mut Vec<batch::Event>) {
        self.clock += elapsed.mul_f64(speed);
        self.batch.advance(self.clock, events);
    }

    /// Starts an order to load or unload a model, or says why it is not accepted.
    pub fn start_order(&mut self, now: ids::Time, order: &output::Order) -> relay::input::Reply {
        use relay::input::Reply;
        if self.pending_order.is_some() || order.expected != self.orders {
            return Reply::Conflict;
        }
        let has_model = self.entry.models.contains_key(&order.model);
        if (order.verb == output::Verb::Load) == has_model {
            return Reply::Holds;
        }
        if order.verb == output::Verb::Load && self.entry.models.len() >= MODELS_PER_ENGINE {
            return Reply::Refused;
        }
        self.orders += 1;
        let duration = match order.verb {
            output::Verb::Load if self.entry.on_disk.contains(&order.model) => DISK_LOAD_TIME,
            output::Verb::Load => STORE_LOAD_TIME,
            output::Verb::Unload => time::Duration::ZERO,
        };
        self.pending_order = Some((now + duration, order.clone()));
        Reply::Accepted
    }

    /// Completes the pending order if it is due. Returns whether the loaded models changed.
    pub fn complete_order(&mut self, now: ids::Time) -> bool {
        let Some((_, order)) = self.pending_order.take_if(|(at, _)| *at <= now) else {
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

    /// Its answer to a request for a report.
    #[must_use]
    pub fn report(&self) -> relay::input::Report {
        relay::input::Report {
            born: 1,
            orders: self.orders,
            is_busy: self.pending_order.is_some(),
            models: self.entry.models.clone(),
        }
    }
}
