//! Buffers of request bodies, which share a [`budget`](crate::relay::budget).

use std::{collections, mem, sync, time};

use tokio::sync::Notify;

use crate::relay::{budget, metric};

/// Smallest buffer of a body whose length is not known, in bytes.
const MIN_BYTES: usize = 4 * 1024;

/// Error of a body that was ended because all bodies together need too much memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
#[displaydoc("request bodies need too much memory")]
pub struct Full;

impl std::error::Error for Full {}

/// Result of buffering a body.
pub type Result<T> = std::result::Result<T, Full>;

/// The buffers of all bodies. Clones share them.
#[derive(Clone, Debug)]
pub struct Pool(sync::Arc<sync::Mutex<State>>);

#[derive(Debug)]
struct State {
    budget: budget::Budget,
    /// The incomplete bodies.
    slots: collections::HashMap<budget::Id, Slot>,
    /// Number of bodies that were ended because of the budget.
    ended: u64,
}

impl State {
    /// Lets a body hold `bytes` bytes in total, or ends it.
    fn grow(&mut self, id: budget::Id, bytes: usize) -> Result<()> {
        let (ended, result) = match self.budget.grow(id, bytes) {
            budget::Verdict::Granted(ended) => (ended, Ok(())),
            budget::Verdict::Refused => (vec![id], Err(Full)),
        };
        for id in ended {
            self.budget.close(id);
            if let Some(slot) = self.slots.remove(&id) {
                slot.ended.notify_one();
            }
            self.ended += 1;
            metrics::counter!(metric::REFUSED_BODIES).increment(1);
        }
        result
    }
}

#[derive(Debug)]
struct Slot {
    bytes: Vec<u8>,
    ended: sync::Arc<Notify>,
}

impl Pool {
    /// Creates the buffers of a machine with `memory` bytes of memory.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        let budget = budget::Budget::new(memory);
        let slots = collections::HashMap::new();
        Self(sync::Arc::new(sync::Mutex::new(State { budget, slots, ended: 0 })))
    }

    /// Begins a body, while bodies of up to `largest` bytes are allowed.
    #[must_use]
    pub fn open(&self, largest: usize) -> Buffer {
        let ended = sync::Arc::<Notify>::default();
        let mut state = self.lock();
        let id = state.budget.open(largest);
        state.slots.insert(id, Slot { bytes: Vec::new(), ended: sync::Arc::clone(&ended) });
        drop(state);
        Buffer { pool: self.clone(), id, ended, complete: Vec::new() }
    }

    /// Returns how many bytes the bodies hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().budget.held()
    }

    /// Publishes the held bytes and logs how many bodies were ended, once in each interval,
    /// for as long as the process runs.
    pub async fn publish(self, interval: time::Duration) {
        let mut logged = 0;
        loop {
            tokio::time::sleep(interval).await;
            let (held, total, ended) = {
                let state = self.lock();
                (state.budget.held(), state.budget.total(), state.ended)
            };
            metrics::gauge!(metric::BODY_BYTES).set(held as f64);
            if ended != logged {
                tracing::warn!(
                    step = "memory",
                    outcome = "bodies refused",
                    inputs = %format!("{} bodies, {held} of {total} bytes held", ended - logged),
                );
                logged = ended;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The buffer of one body. Its memory counts until it is dropped.
#[derive(Debug)]
pub struct Buffer {
    pool: Pool,
    id: budget::Id,
    ended: sync::Arc<Notify>,
    /// The bytes of a complete body.
    complete: Vec<u8>,
}

impl Buffer {
    /// Appends bytes. The body is never larger than `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`Full`] if the body was ended, or is ended by this.
    pub fn append(&mut self, data: &[u8], max_bytes: usize) -> Result<()> {
        let mut state = self.pool.lock();
        let slot = state.slots.get(&self.id).ok_or(Full)?;
        let (length, capacity) = (slot.bytes.len(), slot.bytes.capacity());
        let needed = length + data.len();
        let mut additional = 0;
        if needed > capacity {
            let capacity = (2 * capacity).max(MIN_BYTES).min(max_bytes).max(needed);
            state.grow(self.id, capacity)?;
            additional = capacity - length;
        } else {
            state.budget.progress(self.id);
        }
        let slot = state.slots.get_mut(&self.id).ok_or(Full)?;
        slot.bytes.reserve_exact(additional);
        slot.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Waits until the body is ended to make room for others.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Returns the complete body.
    ///
    /// # Errors
    ///
    /// [`Full`] if it was ended.
    pub fn complete(mut self) -> Result<bytes::Bytes> {
        let mut state = self.pool.lock();
        let slot = state.slots.remove(&self.id).ok_or(Full)?;
        state.budget.complete(self.id);
        drop(state);
        self.complete = slot.bytes;
        if self.complete.is_empty() {
            return Ok(bytes::Bytes::new());
        }
        Ok(bytes::Bytes::from_owner(self))
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.complete
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        // The memory is free before it no longer counts.
        drop(mem::take(&mut self.complete));
        let mut state = self.pool.lock();
        drop(state.slots.remove(&self.id));
        state.budget.close(self.id);
    }
}
