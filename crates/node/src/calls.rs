//! The table of open calls.

use std::{collections, sync, time};

use bundle::{format, key};

use crate::call;

/// Length of a stream's name at targets, in characters.
const TARGET_STREAM_CHARS: usize = 32;

/// What stands between a stream's name and the target that holds it.
const HOLDER_SEPARATOR: char = '@';

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Waits for tokens of its account.
    Quota,
    /// Waits for its claim to be written.
    Claim,
    /// Waits in the queue for a target.
    Queue,
    /// Waits for the end of a pause before another attempt.
    Backoff,
    /// Is at a target.
    Sent {
        /// The attempt.
        attempt: ids::Attempt,
    },
    /// Has its answer, which is being stored for replay.
    Store,
    /// Is complete, kept for a caller that may come back for the rest.
    Kept,
}

/// What a call needs of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Need {
    /// `MODEL`, `MODEL:ADAPTER` or a service, as `route::item` writes them.
    pub item: sync::Arc<str>,
    /// Whether the call may be sent again after it may have run.
    pub repeatable: bool,
    /// Most tokens to generate; 0 for plain services.
    pub max_tokens: u64,
    /// Tokens of the prompt, or what a call of the service counts for.
    pub prompt_tokens: u64,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
}

impl Need {
    /// Tokens that the call may use at most.
    #[must_use]
    pub const fn token_limit(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }
}

/// An open call.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Row {
    /// The call's number.
    pub call: ids::Call,
    /// Number of the caller's connection: another one after a resume, none while it is away.
    pub caller: Option<ids::Call>,
    /// When the caller went away.
    pub away_since: Option<ids::Time>,
    /// Name of the stream, for callers, without the target that holds it.
    pub stream: sync::Arc<str>,
    /// The target that holds the stream, as the name that a caller came back with says.
    pub holder: Option<ids::Target>,
    /// Name of the stream at targets, from [`target_stream_name`].
    pub target_stream: sync::Arc<str>,
    /// Account, unless the route is open to all.
    pub account: Option<ids::Account>,
    /// Class of the work.
    pub class: format::Class,
    /// The key, to be checked again before each sending.
    #[serde(skip)]
    pub key: Option<key::Presented>,
    /// Account, route and idempotency key, for calls that run at most once.
    #[serde(skip)]
    pub claim: Option<Claim>,
    /// What it needs of a target.
    pub need: Need,
    /// How far it has come.
    pub stage: Stage,
    /// When it arrived.
    pub arrived: ids::Time,
    /// When it must have reached a target.
    pub deadline: ids::Time,
    /// When a backoff ends.
    pub resume_at: ids::Time,
    /// Tokens reserved at the account's rate.
    pub reserved: u64,
    /// Attempts made.
    pub attempts: u32,
    /// Targets that failed it.
    pub failed: Vec<ids::Target>,
    /// When the last of them did.
    pub failed_at: ids::Time,
    /// Whether a byte of the present attempt may have been sent.
    pub sent: bool,
    /// Whether an earlier attempt may have run.
    pub broken: bool,
    /// Number of the first chunk in `chunks`.
    pub first: u64,
    /// Text of the chunks before `first`, as the caller sent it along.
    #[serde(skip)]
    pub prior_text: sync::Arc<str>,
    /// Chunks received.
    #[serde(skip)]
    pub chunks: Vec<sync::Arc<str>>,
    /// Whether the beginning of the answer was announced.
    pub accepted: bool,
    /// How it ended, while it is kept.
    #[serde(skip)]
    pub ending: Option<call::Ending>,
}

/// What a call that runs at most once is known by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service and path of the route.
    pub route: sync::Arc<str>,
    /// The caller's idempotency key.
    pub key: sync::Arc<str>,
    /// Digest of the request.
    pub digest: ids::Digest,
}

impl Row {
    /// Number of the next chunk to come.
    #[must_use]
    pub fn next_chunk(&self) -> u64 {
        self.first + self.chunks.len() as u64
    }

    /// The text so far.
    #[must_use]
    pub fn text_so_far(&self) -> String {
        let mut text = self.prior_text.to_string();
        for chunk in &self.chunks {
            text.push_str(chunk);
        }
        text
    }

    /// Whether it may have run, at any attempt.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.sent || self.broken
    }

    /// Tokens that it has used.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        if self.may_have_run() { self.need.prompt_tokens + self.chunks.len() as u64 } else { 0 }
    }

    /// Whether the time for reaching a target is over.
    #[must_use]
    pub fn is_past_deadline(&self, now: ids::Time) -> bool {
        now > self.deadline
    }
}

/// An attempt at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Attempt {
    /// The call.
    pub call: ids::Call,
    /// The target.
    pub target: ids::Target,
    /// When it was begun.
    pub begun: ids::Time,
}

/// The name that callers get of the stream `stream`, which `target` holds.
///
/// With the target in the name, any VM finds the runner that holds a stream,
/// also when the VM that began it is gone.
#[must_use]
pub fn public_stream_name(stream: &str, target: &ids::Target) -> sync::Arc<str> {
    format!("{stream}{HOLDER_SEPARATOR}{target}").into()
}

/// The parts of such a name: the stream, and the target that holds it.
#[must_use]
pub fn parse_stream_name(name: &str) -> (&str, Option<ids::Target>) {
    match name.split_once(HOLDER_SEPARATOR) {
        Some((stream, target)) => (stream, Some(target.into())),
        None => (name, None),
    }
}

/// Name at targets of the stream that callers know as `stream`.
///
/// The account is part of it, so that the name of another account's stream,
/// however a caller may have come by it, names nothing.
#[must_use]
pub fn target_stream_name(account: Option<&ids::Account>, stream: &str) -> sync::Arc<str> {
    let account = account.map_or("", ids::Account::as_str);
    let digest = ids::Digest::of(format!("{account}\n{stream}").as_bytes()).to_string();
    digest[..TARGET_STREAM_CHARS].into()
}

/// All open calls and attempts.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Table {
    /// Calls by number.
    pub rows: collections::BTreeMap<ids::Call, Row>,
    /// Attempts by number.
    pub attempts: collections::BTreeMap<ids::Attempt, Attempt>,
    streams: collections::BTreeMap<sync::Arc<str>, ids::Call>,
    callers: collections::BTreeMap<ids::Call, ids::Call>,
    last_attempt: ids::Attempt,
}

impl Table {
    /// Adds a call.
    pub fn insert(&mut self, row: Row) {
        self.streams.insert(sync::Arc::clone(&row.target_stream), row.call);
        if let Some(caller) = row.caller {
            self.callers.insert(caller, row.call);
        }
        self.rows.insert(row.call, row);
    }

    /// Removes a call and its attempt.
    pub fn remove(&mut self, call: ids::Call) -> Option<Row> {
        let row = self.rows.remove(&call)?;
        if self.streams.get(&row.target_stream) == Some(&call) {
            self.streams.remove(&row.target_stream);
        }
        if let Some(caller) = row.caller {
            self.callers.remove(&caller);
        }
        if let Stage::Sent { attempt } = row.stage {
            self.attempts.remove(&attempt);
        }
        Some(row)
    }

    /// The call whose answer goes to the connection `caller`.
    #[must_use]
    pub fn find_by_caller(&self, caller: ids::Call) -> Option<ids::Call> {
        self.callers.get(&caller).copied()
    }

    /// The call of `account` with the stream `stream`.
    #[must_use]
    pub fn find_by_stream(
        &self,
        account: Option<&ids::Account>,
        stream: &str,
    ) -> Option<ids::Call> {
        self.streams.get(&target_stream_name(account, stream)).copied()
    }

    /// The name that callers get of a call's stream.
    #[must_use]
    pub fn stream_name(&self, row: &Row) -> sync::Arc<str> {
        let Stage::Sent { attempt } = row.stage else {
            return sync::Arc::clone(&row.stream);
        };
        match self.attempts.get(&attempt) {
            Some(attempt) => public_stream_name(&row.stream, &attempt.target),
            None => sync::Arc::clone(&row.stream),
        }
    }

    /// Notes that the connection of `call` has gone.
    pub fn detach(&mut self, now: ids::Time, call: ids::Call) {
        let Some(row) = self.rows.get_mut(&call) else {
            return;
        };
        if let Some(caller) = row.caller.take() {
            self.callers.remove(&caller);
        }
        row.away_since = Some(now);
    }

    /// Sends the answer of `call` to the connection `caller` from now on.
    ///
    /// Returns the connection that had it before.
    pub fn attach(&mut self, call: ids::Call, caller: ids::Call) -> Option<ids::Call> {
        let row = self.rows.get_mut(&call)?;
        let before = row.caller.replace(caller);
        row.away_since = None;
        if let Some(before) = before {
            self.callers.remove(&before);
        }
        self.callers.insert(caller, call);
        before
    }

    /// Adds an attempt and returns its number.
    pub fn insert_attempt(&mut self, attempt: Attempt) -> ids::Attempt {
        self.last_attempt = self.last_attempt.next();
        self.attempts.insert(self.last_attempt, attempt);
        self.last_attempt
    }

    /// Calls with a caller, not counting those that are only kept.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.rows.values().filter(|row| row.stage != Stage::Kept).count()
    }

    /// Calls whose time away exceeds `limit`.
    #[must_use]
    pub fn detached_longer_than(&self, now: ids::Time, limit: time::Duration) -> Vec<ids::Call> {
        let gone = |row: &&Row| row.away_since.is_some_and(|since| now.since(since) > limit);
        self.rows.values().filter(gone).map(|row| row.call).collect()
    }
}
