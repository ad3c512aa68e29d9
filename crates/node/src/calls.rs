//! The table of open calls.

use std::{collections, sync, time};

use bundle::{format, key};

use crate::call;

/// Length of a stream's name at targets, in characters.
const TARGET_STREAM_CHARS: usize = 32;

/// Separator between a stream's name and the target that holds it.
const HOLDER_SEPARATOR: char = '@';

/// Processing stage of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Waits for tokens from its account's rate.
    Quota,
    /// Waits until its claim is written to the journal.
    Claim,
    /// Waits in the queue for a target.
    Queue,
    /// Waits for its backoff to end before another attempt.
    Backoff,
    /// Is running at a target.
    Sent {
        /// Attempt in progress.
        attempt: ids::Attempt,
    },
    /// Was answered; the answer is being stored for replay.
    Store,
    /// Is complete and retained so that a disconnected caller can resume the stream.
    Kept,
}

/// Requirements of a call on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Need {
    /// `MODEL`, `MODEL:ADAPTER` or a service, as `route::item` writes them.
    pub item: sync::Arc<str>,
    /// Whether the call may be sent again after it may have run.
    pub repeatable: bool,
    /// Maximum number of tokens to generate; 0 for plain services.
    pub max_tokens: u64,
    /// Estimated length of the prompt, or the route's cost of a service call, in tokens.
    pub prompt_tokens: u64,
    /// Hash of the beginning of the prompt, for routing by prefix cache.
    pub prefix: u64,
}

impl Need {
    /// Returns the maximum number of tokens that the call can use.
    #[must_use]
    pub const fn token_limit(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }
}

/// An open call.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Row {
    /// Number of the call.
    pub call: ids::Call,
    /// Number of the caller's connection, which changes on resume; `None` while disconnected.
    pub caller: Option<ids::Call>,
    /// Time at which the caller disconnected; `None` while connected.
    pub away_since: Option<ids::Time>,
    /// Name of the stream for callers, without the target that holds it.
    pub stream: sync::Arc<str>,
    /// Target that holds the stream, taken from the name in a resume request.
    pub holder: Option<ids::Target>,
    /// Name of the stream at targets, from [`target_stream_name`].
    pub target_stream: sync::Arc<str>,
    /// Account of the call; `None` on open routes.
    pub account: Option<ids::Account>,
    /// Service class of the account; courtesy on open routes.
    pub class: format::Class,
    /// Key presented by the caller, checked again before each attempt.
    #[serde(skip)]
    pub key: Option<key::Presented>,
    /// Claim of a call that runs at most once; `None` for repeatable calls.
    #[serde(skip)]
    pub claim: Option<Claim>,
    /// Requirements on a target.
    pub need: Need,
    /// Current processing stage.
    pub stage: Stage,
    /// Time of arrival.
    pub arrived: ids::Time,
    /// Time by which the call must have been sent to a target.
    pub deadline: ids::Time,
    /// Time at which the backoff ends, in [`Stage::Backoff`].
    pub resume_at: ids::Time,
    /// Tokens reserved from the account's rate.
    pub reserved: u64,
    /// Number of attempts made.
    pub attempts: u32,
    /// Targets at which an attempt failed.
    pub failed: Vec<ids::Target>,
    /// Time of the last failed attempt.
    pub failed_at: ids::Time,
    /// Whether a byte of the current attempt may have been sent.
    pub sent: bool,
    /// Whether an earlier attempt may have run.
    pub broken: bool,
    /// Number of the first chunk in `chunks`.
    pub first: u64,
    /// Text of the chunks before `first`, as sent by the caller with a resume request.
    #[serde(skip)]
    pub prior_text: sync::Arc<str>,
    /// Text of the chunks received, from number `first` on.
    #[serde(skip)]
    pub chunks: Vec<sync::Arc<str>>,
    /// Whether the response to the caller was started.
    pub accepted: bool,
    /// Result of the call, while it is stored or retained.
    #[serde(skip)]
    pub ending: Option<call::Ending>,
}

/// Identity of a call that runs at most once, within its account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service and path of the route.
    pub route: sync::Arc<str>,
    /// Idempotency key sent by the caller.
    pub key: sync::Arc<str>,
    /// Digest of the request, to refuse another request with the same key.
    pub digest: ids::Digest,
}

impl Row {
    /// Returns the number of the next expected chunk.
    #[must_use]
    pub fn next_chunk(&self) -> u64 {
        self.first + self.chunks.len() as u64
    }

    /// Returns the text of all chunks so far, `prior_text` included.
    #[must_use]
    pub fn text_so_far(&self) -> String {
        let mut text = self.prior_text.to_string();
        for chunk in &self.chunks {
            text.push_str(chunk);
        }
        text
    }

    /// Whether any attempt of the call may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.sent || self.broken
    }

    /// Returns the number of tokens used; 0 if the call cannot have run.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        if self.may_have_run() { self.need.prompt_tokens + self.chunks.len() as u64 } else { 0 }
    }

    /// Whether the deadline for sending the call to a target has passed.
    #[must_use]
    pub fn is_past_deadline(&self, now: ids::Time) -> bool {
        now > self.deadline
    }
}

/// An open attempt to run a call at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Attempt {
    /// Call that the attempt belongs to.
    pub call: ids::Call,
    /// Target that runs the attempt.
    pub target: ids::Target,
    /// Time at which the attempt was sent.
    pub begun: ids::Time,
}

/// Returns the name under which a caller can resume `stream`, which `target` holds.
///
/// The name contains the target so that any VM can find the runner that holds
/// the stream, even if the VM that started it has stopped.
#[must_use]
pub fn public_stream_name(stream: &str, target: &ids::Target) -> sync::Arc<str> {
    format!("{stream}{HOLDER_SEPARATOR}{target}").into()
}

/// Splits a public stream name into the stream and the target that holds it.
#[must_use]
pub fn parse_stream_name(name: &str) -> (&str, Option<ids::Target>) {
    match name.split_once(HOLDER_SEPARATOR) {
        Some((stream, target)) => (stream, Some(target.into())),
        None => (name, None),
    }
}

/// Returns the name at targets of the stream that callers know as `stream`.
///
/// It is a hash that covers the account, so that a caller who learns the name
/// of another account's stream cannot resume it.
#[must_use]
pub fn target_stream_name(account: Option<&ids::Account>, stream: &str) -> sync::Arc<str> {
    let account = account.map_or("", ids::Account::as_str);
    let digest = ids::Digest::of(format!("{account}\n{stream}").as_bytes()).to_string();
    digest[..TARGET_STREAM_CHARS].into()
}

/// Table of all open calls and attempts.
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

    /// Removes a call together with its open attempt.
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

    /// Returns the call whose response goes to the connection `caller`.
    #[must_use]
    pub fn find_by_caller(&self, caller: ids::Call) -> Option<ids::Call> {
        self.callers.get(&caller).copied()
    }

    /// Returns the call of `account` that has the stream `stream`.
    #[must_use]
    pub fn find_by_stream(
        &self,
        account: Option<&ids::Account>,
        stream: &str,
    ) -> Option<ids::Call> {
        self.streams.get(&target_stream_name(account, stream)).copied()
    }

    /// Returns the name under which the caller can resume the stream of a call.
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

    /// Records that the caller of `call` disconnected.
    pub fn detach(&mut self, now: ids::Time, call: ids::Call) {
        let Some(row) = self.rows.get_mut(&call) else {
            return;
        };
        if let Some(caller) = row.caller.take() {
            self.callers.remove(&caller);
        }
        row.away_since = Some(now);
    }

    /// Redirects the response of `call` to the connection `caller`.
    ///
    /// Returns the previous connection, if there was one.
    pub fn attach(&mut self, call: ids::Call, caller: ids::Call) -> Option<ids::Call> {
        let row = self.rows.get_mut(&call)?;
        let previous = row.caller.replace(caller);
        row.away_since = None;
        if let Some(previous) = previous {
            self.callers.remove(&previous);
        }
        self.callers.insert(caller, call);
        previous
    }

    /// Adds an attempt and returns its number.
    pub fn insert_attempt(&mut self, attempt: Attempt) -> ids::Attempt {
        self.last_attempt = self.last_attempt.next();
        self.attempts.insert(self.last_attempt, attempt);
        self.last_attempt
    }

    /// Returns the number of calls, without those that are complete and only retained.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.rows.values().filter(|row| row.stage != Stage::Kept).count()
    }

    /// Returns the calls whose caller has been disconnected for longer than `limit`.
    #[must_use]
    pub fn detached_longer_than(&self, now: ids::Time, limit: time::Duration) -> Vec<ids::Call> {
        let is_expired = |row: &&Row| row.away_since.is_some_and(|since| now.since(since) > limit);
        self.rows.values().filter(is_expired).map(|row| row.call).collect()
    }
}
