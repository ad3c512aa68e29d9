//! Estimate of the contents of a runner's prefix cache.

use std::collections;

use crate::envelope;

/// Maximum number of prompt parts tracked per runner; a runner's KV memory holds
/// a few hundred.
const MAX_PARTS: usize = 512;

/// Prompt parts that this VM has sent to a runner, evicted in LRU order.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    last_use: collections::HashMap<u64, u64>,
    by_use: collections::BTreeMap<u64, u64>,
    clock: u64,
}

/// Hashes of each prefix of `prompt` that ends with a part, with the part's
/// length in tokens. Prefixes are specific to a model or adapter (`item`).
fn prefix_hashes(item: &str, prompt: &[envelope::Part]) -> impl Iterator<Item = (u64, u64)> {
    let mut hash = route::hash::seed(item);
    prompt.iter().map(move |part| {
        hash = route::hash::score(hash, &part.hash.to_string());
        (hash, part.tokens)
    })
}

impl Cache {
    /// Number of prompt tokens that are likely to be cached.
    #[must_use]
    pub fn cached_tokens(&self, item: &str, prompt: &[envelope::Part]) -> u64 {
        let is_cached = |(hash, _): &(u64, u64)| self.last_use.contains_key(hash);
        prefix_hashes(item, prompt).take_while(is_cached).map(|(_, tokens)| tokens).sum()
    }

    /// Records that the runner processes a prompt.
    pub fn record(&mut self, item: &str, prompt: &[envelope::Part]) {
        for (hash, _) in prefix_hashes(item, prompt) {
            self.clock += 1;
            if let Some(before) = self.last_use.insert(hash, self.clock) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(self.clock, hash);
        }
        while self.by_use.len() > MAX_PARTS {
            if let Some((_, hash)) = self.by_use.pop_first() {
                self.last_use.remove(&hash);
            }
        }
    }

    /// Clears the estimate, after the runner has dropped its cache.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
