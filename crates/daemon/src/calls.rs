//! The table of open calls: the payload of each, and the channel for its answer.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use node::call;
use tokio::sync::{mpsc, watch};

/// A part of an answer that is sent to the caller.
#[derive(Clone, Debug)]
pub enum Part {
    /// The target accepted the call; chunks follow.
    Accepted {
        /// Name with which the caller can resume the stream.
        stream: sync::Arc<str>,
    },
    /// A chunk of a streamed answer.
    Chunk {
        /// Sequence number of the chunk, from 0.
        seq: u64,
        /// Text of the chunk.
        text: sync::Arc<str>,
    },
    /// The call ended; no part follows.
    Ended(call::Ending),
}

/// The request that is sent to a target.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A chat: the fields of the request's JSON body, without those that the VM sets.
    Chat(serde_json::Map<String, serde_json::Value>),
    /// A call of a plain service.
    Service {
        /// HTTP method of the request.
        method: http::Method,
        /// Path and query, without credentials.
        path_and_query: String,
        /// Headers, without credentials.
        headers: http::HeaderMap,
        /// The whole request body.
        body: bytes::Bytes,
    },
    /// No request: the call is answered by the VM itself.
    None,
}

#[derive(Debug)]
struct Open {
    payload: sync::Arc<Payload>,
    parts: mpsc::Sender<Part>,
}

/// Outcome of sending a part to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The part was queued for the caller.
    Queued,
    /// The caller's queue was full because it reads too slowly; its call was closed.
    Overflow,
    /// The call is no longer open.
    Closed,
}

/// All open calls of the VM, by id.
#[derive(Debug)]
pub struct Table {
    open: sync::Mutex<collections::HashMap<ids::Call, Open>>,
    count: watch::Sender<usize>,
    next: atomic::AtomicU64,
    max_open: usize,
    max_chunks: usize,
}

impl Table {
    /// Returns an empty table for at most `max_open` calls, each with at most
    /// `max_chunks` chunks queued for the caller.
    #[must_use]
    pub fn new(max_open: usize, max_chunks: usize) -> Self {
        Self {
            open: sync::Mutex::default(),
            count: watch::Sender::new(0),
            next: atomic::AtomicU64::new(1),
            max_open,
            max_chunks,
        }
    }

    /// Opens a call and returns its id and the receiver of its answer, or `None`
    /// if the table is full.
    #[must_use]
    pub fn open(&self, payload: Payload) -> Option<(ids::Call, mpsc::Receiver<Part>)> {
        // Two more slots, for `Part::Accepted` and `Part::Ended`.
        let (sender, receiver) = mpsc::channel(self.max_chunks + 2);
        let mut open = self.lock();
        if open.len() >= self.max_open {
            return None;
        }
        let call = ids::Call::new(self.next.fetch_add(1, atomic::Ordering::Relaxed));
        let entry = Open { payload: sync::Arc::new(payload), parts: sender };
        open.insert(call, entry);
        self.count.send_replace(open.len());
        Some((call, receiver))
    }

    /// Returns the payload of a call, or `None` if the call is not open.
    #[must_use]
    pub fn payload(&self, call: ids::Call) -> Option<sync::Arc<Payload>> {
        self.lock().get(&call).map(|open| sync::Arc::clone(&open.payload))
    }

    /// Queues a part for the caller without blocking.
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

    /// Closes a call and returns whether it was open.
    pub fn close(&self, call: ids::Call) -> bool {
        let mut open = self.lock();
        let known = open.remove(&call).is_some();
        self.count.send_replace(open.len());
        known
    }

    /// Returns the number of open calls.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no call is open. Gives up once the number of open calls has
    /// not changed for `stall_timeout`.
    pub async fn wait_until_drained(&self, stall_timeout: time::Duration) {
        let mut count = self.count.subscribe();
        while *count.borrow_and_update() > 0 {
            if tokio::time::timeout(stall_timeout, count.changed()).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::Call, Open>> {
        self.open.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
