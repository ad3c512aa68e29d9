//! Continuous batching of a model engine, in virtual time.
//!
//! A [`Batch`] works in steps. In each step every running job past its
//! prefill yields one token, and waiting prefills share a bounded number of
//! prompt tokens. The step's length grows with both. Jobs are admitted by
//! strict priority while there is room; a job of better priority takes the
//! place of one of worse priority, which goes on later where it stopped.
//!
//! There is no clock in here: the caller passes the time since an origin of
//! its own, and is told when the next step ends.
//!
//! ```
//! use std::time;
//!
//! use standin::batch;
//!
//! let mut batch = batch::Batch::new(batch::Config::default());
//! batch.submit(time::Duration::ZERO, batch::Job::new(1, 0, 100, 2));
//! let mut events = Vec::new();
//! while let Some(end) = batch.next_end() {
//!     batch.advance(end, &mut events);
//! }
//! assert_eq!(events.last(), Some(&batch::Event::Done { job: 1 }));
//! ```

use std::{cmp, collections, time};

use crate::cache;

/// How running jobs and kept prompts share the KV memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Memory {
    /// A job is admitted with room for all that it may generate; the prefix
    /// cache has memory of its own ([`Config::cache_tokens`]).
    #[default]
    Reserved,
    /// A job takes what it has read and generated so far, and kept prompts have
    /// the rest and yield. When memory runs out, the newest of the jobs of worst
    /// priority gives way and is read anew. A prefix that several running jobs
    /// share counts for each of them.
    Shared,
}

/// Speed and room of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Speed of each accelerator; 1 is an ordinary one.
    pub power: f64,
    /// Accelerators that work together.
    pub accelerators: u32,
    /// Jobs that run at once on each accelerator.
    pub slots: u32,
    /// Length of an empty step at power 1.
    pub step: time::Duration,
    /// What each token generated adds to a step, on one accelerator.
    pub per_token: time::Duration,
    /// What each running job adds to a step, on one accelerator.
    pub per_running: time::Duration,
    /// What each thousand tokens in the memory of running jobs add to a step, on
    /// one accelerator.
    pub per_thousand_kept: time::Duration,
    /// What each prompt token adds to a step, on one accelerator.
    pub per_prompt_token: time::Duration,
    /// Prompt tokens in one step at most, for each accelerator.
    pub prompt_tokens_per_step: u64,
    /// Tokens that the KV cache of running jobs holds, for each accelerator.
    pub kv_tokens: u64,
    /// Tokens that the prefix cache holds, for each accelerator.
    pub cache_tokens: usize,
    /// How running jobs and kept prompts share the memory.
    pub memory: Memory,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            power: 1.0,
            accelerators: 1,
            slots: 32,
            step: time::Duration::from_millis(16),
            per_token: time::Duration::from_millis(1),
            per_running: time::Duration::ZERO,
            per_thousand_kept: time::Duration::ZERO,
            per_prompt_token: time::Duration::from_micros(100),
            prompt_tokens_per_step: 128,
            kv_tokens: 65_536,
            cache_tokens: 65_536,
            memory: Memory::Reserved,
        }
    }
}

impl Config {
    /// Settings of `accelerators` accelerators of speed `power`.
    #[must_use]
    pub fn new(power: f64, accelerators: u32) -> Self {
        Self { power, accelerators, ..Self::default() }
    }

    fn slots(&self) -> usize {
        usize::try_from(self.slots * self.accelerators).unwrap_or(usize::MAX)
    }

    fn kv(&self) -> u64 {
        self.kv_tokens * u64::from(self.accelerators)
    }

    const fn kv_of(&self, job: &Job) -> u64 {
        match self.memory {
            Memory::Reserved => job.prompt_tokens + job.total,
            Memory::Shared => job.prompt_tokens + job.next,
        }
    }

    fn cache_blocks(&self) -> usize {
        let accelerators = usize::try_from(self.accelerators).unwrap_or(usize::MAX);
        self.cache_tokens.saturating_mul(accelerators) / cache::BLOCK_TOKENS
    }

    fn length(&self, step: &Step) -> time::Duration {
        let shared = self.per_token.as_secs_f64() * step.tokens as f64
            + self.per_running.as_secs_f64() * step.running as f64
            + self.per_thousand_kept.as_secs_f64() * step.kept as f64 / 1000.0
            + self.per_prompt_token.as_secs_f64() * step.prompt_tokens as f64;
        let seconds = self.step.as_secs_f64() + shared / f64::from(self.accelerators);
        time::Duration::from_secs_f64(seconds / self.power)
    }
}

/// What a step works on.
struct Step {
    /// Jobs past their prompt, which generate one token each.
    tokens: u64,
    running: u64,
    /// Tokens in the memory of the running jobs.
    kept: u64,
    prompt_tokens: u64,
}

/// One stream to generate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number of the job, not used by another one.
    pub id: u64,
    /// Class of the work: 0 is served first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Names of the prompt's blocks, as [`cache::blocks`] gives them.
    pub blocks: Vec<u64>,
    /// The first chunk to generate; those before it are known.
    pub next: u64,
    /// Chunks of the whole stream.
    pub total: u64,
}

impl Job {
    /// A job of `total` chunks with a prompt that is not cached.
    #[must_use]
    pub const fn new(id: u64, priority: u8, prompt_tokens: u64, total: u64) -> Self {
        Self { id, priority, prompt_tokens, blocks: Vec::new(), next: 0, total }
    }

    /// The job with the names of its prompt's blocks.
    #[must_use]
    pub fn with_blocks(mut self, blocks: Vec<u64>) -> Self {
        self.blocks = blocks;
        self
    }

    /// The job begun at chunk `next`.
    #[must_use]
    pub const fn with_next(mut self, next: u64) -> Self {
        self.next = next;
        self
    }

    const fn left(&self) -> u64 {
        self.total.saturating_sub(self.next)
    }
}

/// What a step brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job has generated a chunk.
    Chunk {
        /// The job.
        job: u64,
        /// Number of the chunk.
        seq: u64,
    },
    /// A job has generated its last chunk.
    Done {
        /// The job.
        job: u64,
    },
    /// The prefix cache has changed.
    Cache(cache::Change),
}

/// How busy an engine is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Jobs running.
    pub running: u64,
    /// Jobs waiting.
    pub waiting: u64,
    /// Tokens still to be generated for both.
    pub backlog_tokens: u64,
    /// Tokens in the KV memory of running jobs.
    pub kv_tokens: u64,
    /// The same, in thousandths of the memory.
    pub kv_permille: u64,
}

/// Order in which jobs are served: priority, then arrival.
type Rank = (u8, u64);

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    prompt_left: u64,
    /// Prompt tokens that the present step works on.
    prompt_now: u64,
}

/// The jobs of an engine and the step under way.
#[derive(Clone, Debug)]
pub struct Batch {
    config: Config,
    arrivals: u64,
    waiting: collections::BTreeMap<Rank, Job>,
    running: collections::BTreeMap<Rank, Running>,
    cache: cache::Cache,
    /// Changes of the cache that were not told yet.
    changes: Vec<cache::Change>,
    end: Option<time::Duration>,
}

impl Batch {
    /// An engine without jobs.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let cache = cache::Cache::new(config.cache_blocks());
        Self {
            config,
            arrivals: 0,
            waiting: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            cache,
            changes: Vec::new(),
            end: None,
        }
    }

    /// Adds a job at `now`, up to which the batch must have advanced.
    pub fn submit(&mut self, now: time::Duration, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        if self.end.is_none() {
            self.begin(now);
        }
    }

    /// Takes a job out; says whether it was there.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|_, job| job.id != id);
        self.running.retain(|_, running| running.job.id != id);
        before > self.waiting.len() + self.running.len()
    }

    /// When the step under way ends; `None` if there is nothing to do.
    #[must_use]
    pub const fn next_end(&self) -> Option<time::Duration> {
        self.end
    }

    /// Ends all steps that end by `now` and adds what they brought to `events`.
    pub fn advance(&mut self, now: time::Duration, events: &mut Vec<Event>) {
        while let Some(end) = self.end.filter(|end| *end <= now) {
            self.finish(events);
            self.begin(end);
        }
        events.extend(self.changes.drain(..).map(Event::Cache));
    }

    /// Drops kept blocks, as when their model is unloaded.
    pub fn forget(&mut self, blocks: &[u64]) {
        self.cache.remove(blocks, &mut self.changes);
    }

    /// Number of tokens at the beginning of a prompt of `blocks` that are kept.
    #[must_use]
    pub fn kept_tokens(&self, blocks: &[u64]) -> usize {
        self.cache.cached_tokens(blocks)
    }

    /// How busy the engine is.
    #[must_use]
    pub fn load(&self) -> Load {
        let waiting: u64 = self.waiting.values().map(Job::left).sum();
        let running: u64 = self.running.values().map(|running| running.job.left()).sum();
        Load {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            backlog_tokens: waiting + running,
            kv_tokens: self.kv_used(),
            kv_permille: self.kv_used() * 1000 / self.config.kv().max(1),
        }
    }

    fn kv_used(&self) -> u64 {
        self.running.values().map(|running| self.config.kv_of(&running.job)).sum()
    }

    /// Begins the next step at `start`, if there is work.
    fn begin(&mut self, start: time::Duration) {
        self.preempt();
        self.admit();
        self.shrink_cache();
        if self.running.is_empty() {
            self.end = None;
            return;
        }
        let prompt_tokens = self.plan_prefill();
        let decoding = self.running.values().filter(|running| running.prompt_left == 0);
        let step = Step {
            tokens: decoding.count() as u64,
            running: self.running.len() as u64,
            kept: self.kv_used(),
            prompt_tokens,
        };
        self.end = Some(start + self.config.length(&step));
    }

    /// Makes room for the tokens of the next step.
    fn preempt(&mut self) {
        if self.config.memory == Memory::Reserved {
            return;
        }
        // A job that does not fit even alone runs alone.
        while self.running.len() > 1
            && self.kv_used() + self.running.len() as u64 > self.config.kv()
        {
            let Some((rank, running)) = self.running.pop_last() else {
                return;
            };
            self.waiting.insert(rank, running.job);
        }
    }

    /// Lets kept prompts yield to the jobs that run.
    fn shrink_cache(&mut self) {
        if self.config.memory == Memory::Shared {
            let left = self.config.kv().saturating_sub(self.kv_used());
            let blocks = usize::try_from(left).unwrap_or(usize::MAX) / cache::BLOCK_TOKENS;
            self.cache.shrink(blocks, &mut self.changes);
        }
    }

    fn admit(&mut self) {
        while let Some((rank, job)) = self.waiting.first_key_value() {
            let (rank, needed) = (*rank, self.config.kv_of(job));
            if !self.make_room(rank, needed) {
                return;
            }
            let Some(job) = self.waiting.remove(&rank) else {
                return;
            };
            let running = self.start(job);
            self.running.insert(rank, running);
        }
    }

    /// Whether a job of `rank` fits, once jobs of worse priority have given way.
    fn make_room(&mut self, rank: Rank, kv: u64) -> bool {
        while !self.fits(kv) {
            let Some((worst, _)) = self.running.last_key_value() else {
                // A job that does not fit even alone runs alone.
                return true;
            };
            let worst = *worst;
            if worst.0 <= rank.0 {
                return false;
            }
            if let Some(running) = self.running.remove(&worst) {
                self.waiting.insert(worst, running.job);
            }
        }
        true
    }

    fn fits(&self, kv: u64) -> bool {
        // What the jobs generate in the step to come.
        let growth = match self.config.memory {
            Memory::Reserved => 0,
            Memory::Shared => self.running.len() as u64 + 1,
        };
        self.running.len() < self.config.slots() && self.kv_used() + kv + growth <= self.config.kv()
    }

    fn start(&self, job: Job) -> Running {
        let cached = self.cache.cached_tokens(&job.blocks) as u64;
        let prompt = job.prompt_tokens + job.next;
        Running { prompt_left: cmp::max(prompt.saturating_sub(cached), 1), prompt_now: 0, job }
    }

    /// Shares the step's prompt tokens out by rank; returns their number.
    fn plan_prefill(&mut self) -> u64 {
        let most = self.config.prompt_tokens_per_step * u64::from(self.config.accelerators);
        let mut budget = most;
        for running in self.running.values_mut() {
            running.prompt_now = running.prompt_left.min(budget);
            budget -= running.prompt_now;
        }
        most - budget
    }

    fn finish(&mut self, events: &mut Vec<Event>) {
        for running in self.running.values_mut() {
            let was_prefill = running.prompt_left > 0;
            running.prompt_left -= running.prompt_now.min(running.prompt_left);
            running.prompt_now = 0;
            if running.prompt_left > 0 {
                continue;
            }
            if was_prefill {
                self.cache.store(&running.job.blocks, &mut self.changes);
            }
            emit(&mut running.job, events);
        }
        self.running.retain(|_, running| running.job.left() > 0);
    }
}

fn emit(job: &mut Job, events: &mut Vec<Event>) {
    if job.left() > 0 {
        let seq = job.next;
        events.push(Event::Chunk { job: job.id, seq });
        job.next += 1;
    }
    if job.left() == 0 {
        events.push(Event::Done { job: job.id });
    }
}
