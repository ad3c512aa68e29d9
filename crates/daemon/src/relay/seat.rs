//! Decides which connection of a caller is closed when there are too many. It has no clock
//! and does no I/O.

use std::collections;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u64);

/// Decision about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is room for it.
    Free(Id),
    /// It takes the place of a connection, which is closed.
    Replaces {
        /// The new connection.
        new: Id,
        /// The connection that is closed.
        closed: Id,
    },
    /// It is closed, as all others carry calls.
    Full,
}

/// The open connections, of which those without a call may be closed.
#[derive(Debug)]
pub struct Table {
    capacity: usize,
    /// The connections, with the step since which they carry no call.
    open: collections::HashMap<Id, Option<u64>>,
    /// The connections without a call, in the order of these steps.
    waiting: collections::BTreeMap<u64, Id>,
    last_id: u64,
    last_step: u64,
}

impl Table {
    /// Creates a table of at most `capacity` connections.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let open = collections::HashMap::new();
        Self { capacity, open, waiting: collections::BTreeMap::new(), last_id: 0, last_step: 0 }
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns how many connections may be open.
    #[must_use]
    pub const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Opens a connection. If there are too many, the one that has carried no call for longest
    /// is closed.
    pub fn open(&mut self) -> Verdict {
        let mut closed = None;
        if self.open.len() >= self.capacity {
            let Some((_since, longest)) = self.waiting.pop_first() else {
                return Verdict::Full;
            };
            self.open.remove(&longest);
            closed = Some(longest);
        }
        self.last_id += 1;
        let new = Id(self.last_id);
        self.open.insert(new, None);
        self.end(new);
        closed.map_or(Verdict::Free(new), |closed| Verdict::Replaces { new, closed })
    }

    /// Records that a complete request has arrived on a connection. Returns false if the
    /// connection was closed.
    pub fn begin(&mut self, id: Id) -> bool {
        let Some(since) = self.open.get_mut(&id) else {
            return false;
        };
        if let Some(since) = since.take() {
            self.waiting.remove(&since);
        }
        true
    }

    /// Records that the answer of a connection's call is written, or has failed.
    pub fn end(&mut self, id: Id) {
        if let Some(since @ None) = self.open.get_mut(&id) {
            self.last_step += 1;
            *since = Some(self.last_step);
            self.waiting.insert(self.last_step, id);
        }
    }

    /// Forgets a connection that was closed.
    pub fn close(&mut self, id: Id) {
        if let Some(Some(since)) = self.open.remove(&id) {
            self.waiting.remove(&since);
        }
    }
}
