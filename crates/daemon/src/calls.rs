//! The table of open calls: what was asked, and the way of the answer.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use node::call;
use tokio::sync::{mpsc, watch};

/// A part of an answer, on its way to the caller.
#[derive(Clone, Debug)]
pub enum Part {
    /// The answer begins.
    Accepted {
        /// Name under which the stream can be resumed.
        stream: sync::Arc<str>,
    },
    /// The next chunk.
    Chunk {
        /// Its number.
        seq: u64,
        /// Its text.
        text: sync::Arc<str>,
    },
    /// The answer ends.
    Ended(call::Ending),
}

/// What is sent on to a target.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A chat: the request's JSON, without what the VM sets itself.
    Chat(serde_json::Map<String, serde_json::Value>),
    /// A call of a plain service.
    Service {
        /// Method.
        method: http::Method,
        /// Path and query, without credentials.
        path_and_query: String,
        /// Headers, without credentials.
        headers: http::HeaderMap,
        /// Body.
        body: bytes::Bytes,
    },
    /// Nothing is sent.
    None,
}

/// An open call.
#[derive(Debug)]
struct Open {
    payload: sync::Arc<Payload>,
    parts: mpsc::Sender<Part>,
}

/// How the sending of a part went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// It is on its way.
    Queued,
    /// The caller reads too slowly; its call was closed.
    Overflow,
    /// The call is not open any more.
    Closed,
}

/// The open calls.
#[derive(Debug)]
pub struct Table {
    open: sync::Mutex<collections::HashMap<ids::Call, Open>>,
    count: watch::Sender<usize>,
    next: atomic::AtomicU64,
    most_open: usize,
    most_chunks: usize,
}

impl Table {
    /// An empty table for `most_open` calls with at most `most_chunks` chunks
    /// waiting for each caller.
    #[must_use]
    pub fn new(most_open: usize, most_chunks: usize) -> Self {
        Self {
            open: sync::Mutex::default(),
            count: watch::Sender::new(0),
            next: atomic::AtomicU64::new(1),
            most_open,
            most_chunks,
        }
    }

    /// Opens a call, unless too many are open.
    #[must_use]
    pub fn open(&self, payload: Payload) -> Option<(ids::Call, mpsc::Receiver<Part>)> {
        // Two places are kept for the beginning and the end.
        let (sender, receiver) = mpsc::channel(self.most_chunks + 2);
        let mut open = self.lock();
        if open.len() >= self.most_open {
            return None;
        }
        let call = ids::Call::new(self.next.fetch_add(1, atomic::Ordering::Relaxed));
        let entry = Open { payload: sync::Arc::new(payload), parts: sender };
        open.insert(call, entry);
        self.count.send_replace(open.len());
        Some((call, receiver))
    }

    /// What is to be sent on for a call, if it is open.
    #[must_use]
    pub fn payload(&self, call: ids::Call) -> Option<sync::Arc<Payload>> {
        self.lock().get(&call).map(|open| sync::Arc::clone(&open.payload))
    }

    /// Sends a part to the caller; never waits.
    pub fn send(&self, call: ids::Call, part: Part) -> Sent {
        let mut open = self.lock();
        let Some(entry) = open.get(&call) else {
            return Sent::Closed;
        };
        let reserved = usize::from(!matches!(part, Part::Ended(_)));
        if entry.parts.capacity() > reserved && entry.parts.try_send(part).is_ok() {
            return Sent::Queued;
        }
        open.remove(&call);
        self.count.send_replace(open.len());
        Sent::Overflow
    }

    /// Closes a call; whether it was open.
    pub fn close(&self, call: ids::Call) -> bool {
        let mut open = self.lock();
        let known = open.remove(&call).is_some();
        self.count.send_replace(open.len());
        known
    }

    /// Number of open calls.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no call is open, or for as long as `limit` while none ends.
    pub async fn drained(&self, limit: time::Duration) {
        let mut count = self.count.subscribe();
        while *count.borrow_and_update() > 0 {
            if tokio::time::timeout(limit, count.changed()).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::Call, Open>> {
        self.open.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
