//! A bounded prefix cache and its events.
//!
//! A prompt is cut into blocks of [`BLOCK_TOKENS`] tokens. The name of a block
//! depends on all tokens up to its end, so that equal names mean an equal
//! beginning. The least recently used blocks are evicted first.

use std::collections;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The block is cached.
    Stored(u64),
    /// The block is cached no longer.
    Evicted(u64),
}

/// A change as a runner publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Number of the event; numbers may be left out.
    pub seq: u64,
    /// What happened.
    pub change: Change,
}

/// Names of the whole blocks of a prompt of `tokens` to `item`.
#[must_use]
pub fn blocks(item: &str, tokens: &[&str]) -> Vec<u64> {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(item.as_bytes());
    tokens
        .chunks_exact(BLOCK_TOKENS)
        .map(|block| {
            for token in block {
                hasher.update(b" ");
                hasher.update(token.as_bytes());
            }
            hasher.digest()
        })
        .collect()
}

/// The cached blocks.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: usize,
    uses: u64,
    by_block: collections::BTreeMap<u64, u64>,
    by_use: collections::BTreeMap<u64, u64>,
}

impl Cache {
    /// An empty cache for `capacity` blocks.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            by_block: collections::BTreeMap::new(),
            by_use: collections::BTreeMap::new(),
        }
    }

    /// Number of tokens at the beginning of a prompt of `blocks` that are cached.
    #[must_use]
    pub fn cached_tokens(&self, blocks: &[u64]) -> usize {
        let cached = blocks.iter().take_while(|block| self.by_block.contains_key(block));
        cached.count() * BLOCK_TOKENS
    }

    /// Caches `blocks`, evicting others if need be.
    pub fn store(&mut self, blocks: &[u64], changes: &mut Vec<Change>) {
        // The first block is used last: a beginning outlives what follows it.
        for block in blocks.iter().rev() {
            if !self.touch(*block) {
                changes.push(Change::Stored(*block));
            }
        }
        self.shrink(self.capacity, changes);
    }

    /// Evicts the least recently used blocks until no more than `most` are left.
    pub fn shrink(&mut self, most: usize, changes: &mut Vec<Change>) {
        while self.by_block.len() > most {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.by_block.remove(&block);
            changes.push(Change::Evicted(block));
        }
    }

    /// Drops `blocks`.
    pub fn remove(&mut self, blocks: &[u64], changes: &mut Vec<Change>) {
        for block in blocks {
            if let Some(used) = self.by_block.remove(block) {
                self.by_use.remove(&used);
                changes.push(Change::Evicted(*block));
            }
        }
    }

    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        self.by_use.insert(self.uses, block);
        let Some(previous) = self.by_block.insert(block, self.uses) else {
            return false;
        };
        self.by_use.remove(&previous);
        true
    }
}
