//! Decides which request bodies may hold memory. It has no clock and does no I/O.

use std::{cmp, collections};

/// Size up to which a body may use the part of the budget that is kept for small ones, in
/// bytes.
pub const SMALL_BYTES: usize = 64 * 1024;
/// The budget as a fraction of the memory of the machine: one part in this many.
const MEMORY_PARTS: usize = 4;
/// Largest budget as a fraction of the memory, where the largest body needs more.
const MAX_MEMORY_PARTS: usize = 2;
/// Part of the budget that is kept for small bodies: one in this many.
const SMALL_PARTS: usize = 4;

/// Identifies a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u64);

/// Decision about a body that needs more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may grow. These bodies are ended to make room.
    Granted(Vec<Id>),
    /// It is ended.
    Refused,
}

/// A body that holds memory.
#[derive(Clone, Copy, Debug)]
struct Body {
    bytes: usize,
    /// Number of the last step in which it made progress.
    progress: u64,
    is_complete: bool,
}

/// The memory that the bodies of all requests hold together.
#[derive(Debug)]
pub struct Budget {
    memory: usize,
    /// Size of the largest body that is allowed, in bytes.
    largest: usize,
    held: usize,
    bodies: collections::HashMap<Id, Body>,
    last_id: u64,
    last_step: u64,
}

impl Budget {
    /// Creates the budget of a machine with `memory` bytes of memory.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        Self {
            memory,
            largest: 0,
            held: 0,
            bodies: collections::HashMap::new(),
            last_id: 0,
            last_step: 0,
        }
    }

    /// Returns how many bytes are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns how many bytes may be held. One body of the largest size always fits in
    /// addition to the part for small ones, unless it exceeds what the memory allows.
    #[must_use]
    pub fn total(&self) -> usize {
        let needed = self.largest.saturating_add(self.largest.div_ceil(SMALL_PARTS - 1));
        (self.memory / MEMORY_PARTS).max(needed).min(self.memory / MAX_MEMORY_PARTS)
    }

    /// Begins a body, while bodies of up to `largest` bytes are allowed.
    pub fn open(&mut self, largest: usize) -> Id {
        self.largest = largest;
        self.last_id += 1;
        let id = Id(self.last_id);
        self.bodies.insert(id, Body { bytes: 0, progress: self.last_step, is_complete: false });
        id
    }

    /// Lets a body hold `bytes` bytes in total. If they do not fit, the largest incomplete
    /// bodies are ended, and of bodies of the same size the one that has made no progress for
    /// longest; none is ended for a larger one.
    pub fn grow(&mut self, id: Id, bytes: usize) -> Verdict {
        self.progress(id);
        let Some(body) = self.bodies.get(&id) else {
            return Verdict::Refused;
        };
        let excess = (self.held - body.bytes + bytes).saturating_sub(self.limit(bytes));
        let Some(ended) = self.choose(id, bytes, excess) else {
            return Verdict::Refused;
        };
        for id in &ended {
            self.close(*id);
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            self.held = self.held - body.bytes + bytes;
            body.bytes = bytes;
        }
        Verdict::Granted(ended)
    }

    /// Records that a body has made progress.
    pub fn progress(&mut self, id: Id) {
        self.last_step += 1;
        if let Some(body) = self.bodies.get_mut(&id) {
            body.progress = self.last_step;
        }
    }

    /// Records that a body has arrived completely, so that it is not ended any more.
    pub fn complete(&mut self, id: Id) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Forgets a body, which holds no memory any more.
    pub fn close(&mut self, id: Id) {
        if let Some(body) = self.bodies.remove(&id) {
            self.held -= body.bytes;
        }
    }

    /// Returns how many bytes may be held in total if a body of `bytes` bytes is among them.
    fn limit(&self, bytes: usize) -> usize {
        let total = self.total();
        if bytes <= SMALL_BYTES { total } else { total - total / SMALL_PARTS }
    }

    /// Chooses the bodies that are ended to free `excess` bytes for a body of `bytes` bytes;
    /// `None` if that is not possible.
    fn choose(&self, id: Id, bytes: usize, excess: usize) -> Option<Vec<Id>> {
        let mut ended = Vec::new();
        if excess == 0 {
            return Some(ended);
        }
        let others = self
            .bodies
            .iter()
            .filter(|(other, body)| **other != id && !body.is_complete && body.bytes >= bytes);
        let mut others: Vec<_> =
            others.map(|(other, body)| (cmp::Reverse(body.bytes), body.progress, *other)).collect();
        others.sort_unstable();
        let mut freed = 0;
        for (cmp::Reverse(bytes), _progress, other) in others {
            if freed >= excess {
                break;
            }
            freed += bytes;
            ended.push(other);
        }
        (freed >= excess).then_some(ended)
    }
}
