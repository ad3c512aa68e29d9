//! State of a model engine.

use std::{collections, sync, time};

use super::{chat, config, memory, stream};
use crate::{batch, cache};

/// How long a stream can be resumed after its end.
const KEEP_ENDED: time::Duration = time::Duration::from_mins(1);
/// Cache events kept for those who ask late.
const KEEP_EVENTS: usize = 10_000;

/// Why a call is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub(super) enum Refusal {
    /// the runner is about to stop
    Leaving,
    /// the model or adapter is not ready on this runner
    NotReady,
    /// the stream is not held and the request has no `continue_text`
    UnknownStream,
    /// the stream belongs to another prompt
    OtherPrompt,
    /// the stream is to be resumed beyond its end
    BeyondEnd,
}

#[derive(Debug)]
pub(super) struct State {
    origin: time::Instant,
    batch: batch::Batch,
    streams: collections::BTreeMap<sync::Arc<str>, stream::Held>,
    by_job: collections::BTreeMap<u64, sync::Arc<str>>,
    next_job: u64,
    pub(super) memory: memory::Holdings,
    pub(super) fence: ids::Fence,
    pub(super) leaving: bool,
    event_gap: u64,
    event_seq: u64,
    events: collections::VecDeque<(time::Instant, cache::Event)>,
    samples: collections::VecDeque<(time::Instant, engine::Report)>,
}

impl State {
    pub(super) fn new(config: &config::Config) -> Self {
        let mut memory = memory::Holdings::new(config.memory_mib);
        for resident in &config.residents {
            let item = memory::Item::new(&resident.item, &resident.version);
            memory.begin_load(&item, resident.memory_mib);
            memory.finish_load(&item);
        }
        Self {
            origin: time::Instant::now(),
            batch: batch::Batch::new(config.batch()),
            streams: collections::BTreeMap::new(),
            by_job: collections::BTreeMap::new(),
            next_job: 1,
            memory,
            fence: ids::Fence::default(),
            leaving: config.leaving,
            event_gap: config.event_gap,
            event_seq: 0,
            events: collections::VecDeque::new(),
            samples: collections::VecDeque::new(),
        }
    }

    /// Takes a call on, or goes on with the stream that it names.
    pub(super) fn begin(&mut self, chat: &chat::Chat) -> Result<stream::Listener, Refusal> {
        if chat.resume_from > chat.total {
            return Err(Refusal::BeyondEnd);
        }
        if let Some(held) = chat.stream.as_deref().and_then(|name| self.streams.get(name)) {
            return listen(held, chat);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        let items = self.memory.serving(&chat.item).ok_or(Refusal::NotReady)?;
        if chat.resume_from > 0 && chat.continue_text.is_none() {
            return Err(Refusal::UnknownStream);
        }
        listen(self.submit(chat, items), chat)
    }

    fn submit(&mut self, chat: &chat::Chat, items: Vec<memory::Item>) -> &stream::Held {
        self.advance();
        let job = self.next_job;
        self.next_job += 1;
        let name: sync::Arc<str> = match &chat.stream {
            Some(name) => name.as_str().into(),
            None => format!("local-{job}").into(),
        };
        let work = batch::Job::new(job, chat.priority, chat.prompt_tokens, chat.total)
            .with_blocks(chat.blocks.clone())
            .with_next(chat.resume_from);
        self.batch.submit(self.origin.elapsed(), work);
        self.by_job.insert(job, sync::Arc::clone(&name));
        let stream = stream::Stream {
            name: sync::Arc::clone(&name),
            prompt: chat.prompt,
            prompt_tokens: chat.prompt_tokens,
            total: chat.total,
            items,
            job,
        };
        let progress = stream::Progress { made: chat.resume_from, end: None };
        self.streams.entry(name).or_insert(stream::Held {
            stream: sync::Arc::new(stream),
            progress: tokio::sync::watch::Sender::new(progress),
            ended: None,
        })
    }

    /// Ends the steps that are due; returns the time until the next one.
    pub(super) fn advance(&mut self) -> Option<time::Duration> {
        let mut events = Vec::new();
        self.batch.advance(self.origin.elapsed(), &mut events);
        for event in events {
            self.apply(event);
        }
        self.forget();
        let end = self.batch.next_end()?;
        Some(end.saturating_sub(self.origin.elapsed()))
    }

    fn apply(&mut self, event: batch::Event) {
        match event {
            batch::Event::Chunk { job, seq } => {
                self.update(job, |progress| progress.made = seq + 1);
            }
            batch::Event::Done { job } => self.end(job, stream::End::Complete),
            batch::Event::Cache(change) => self.publish(change),
        }
    }

    fn update(&self, job: u64, change: impl FnOnce(&mut stream::Progress)) {
        let name = self.by_job.get(&job);
        if let Some(held) = name.and_then(|name| self.streams.get(name)) {
            held.progress.send_modify(change);
        }
    }

    fn end(&mut self, job: u64, end: stream::End) {
        self.update(job, |progress| progress.end = Some(end));
        let Some(name) = self.by_job.remove(&job) else {
            return;
        };
        if let Some(held) = self.streams.get_mut(&name) {
            held.ended = Some(time::Instant::now());
        }
        self.release();
    }

    /// Ends a stream before its time and forgets it; says whether it was there.
    pub(super) fn cancel(&mut self, name: &str) -> bool {
        let Some(held) = self.streams.get(name) else {
            return false;
        };
        let job = held.stream.job;
        if self.batch.cancel(job) {
            self.end(job, stream::End::Cancelled);
        }
        self.streams.remove(name);
        true
    }

    /// Gives back the memory of unloading items that no call uses.
    pub(super) fn release(&mut self) {
        let streams = &self.streams;
        let running = self.by_job.values().filter_map(|name| streams.get(name));
        let used: Vec<memory::Item> =
            running.flat_map(|held| held.stream.items.iter().cloned()).collect();
        self.memory.release(|item| used.contains(item));
    }

    /// Drops streams that ended long ago.
    fn forget(&mut self) {
        self.streams.retain(|_, held| held.ended.is_none_or(|ended| ended.elapsed() < KEEP_ENDED));
    }

    fn publish(&mut self, change: cache::Change) {
        self.event_seq += 1;
        if self.event_gap > 0 && self.event_seq.is_multiple_of(self.event_gap) {
            return;
        }
        let event = cache::Event { seq: self.event_seq, change };
        self.events.push_back((time::Instant::now(), event));
        if self.events.len() > KEEP_EVENTS {
            self.events.pop_front();
        }
    }

    /// Cache events after number `after` that are at least `lag` old.
    pub(super) fn published(&self, after: u64, lag: time::Duration) -> Vec<cache::Event> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > after && at.elapsed() >= lag)
            .map(|(_, event)| *event)
            .collect()
    }

    /// Keeps the present report for later, and of those older than `lag` the newest.
    pub(super) fn sample(&mut self, lag: time::Duration) {
        let report = self.present_report();
        self.samples.push_back((time::Instant::now(), report));
        while self.samples.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.samples.pop_front();
        }
    }

    /// The report as it was `lag` ago, or the first one.
    pub(super) fn lagging_report(&mut self, lag: time::Duration) -> engine::Report {
        self.sample(lag);
        let Some((at, report)) = self.samples.front() else {
            return self.present_report();
        };
        let age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        engine::Report { age_ms, ..report.clone() }
    }

    fn present_report(&self) -> engine::Report {
        let load = self.batch.load();
        engine::Report {
            age_ms: 0,
            fence: self.fence,
            leaving: self.leaving,
            running: load.running,
            waiting: load.waiting,
            backlog_tokens: load.backlog_tokens,
            kv_permille: load.kv_permille,
            residents: self.memory.residents().to_vec(),
        }
    }
}

fn listen(held: &stream::Held, chat: &chat::Chat) -> Result<stream::Listener, Refusal> {
    if held.stream.prompt != chat.prompt {
        return Err(Refusal::OtherPrompt);
    }
    Ok(stream::Listener {
        stream: sync::Arc::clone(&held.stream),
        progress: held.progress.subscribe(),
        from: chat.resume_from,
    })
}
