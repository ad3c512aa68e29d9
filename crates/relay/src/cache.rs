//! What a runner's prompt cache is likely to hold.

use std::collections;

use crate::envelope;

/// Parts remembered for each runner; a runner's KV memory holds a few hundred.
const PARTS: usize = 512;

/// The parts of prompts that this VM had a runner read, most recent last.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    used: collections::HashMap<u64, u64>,
    order: collections::BTreeMap<u64, u64>,
    last: u64,
}

/// Hash of a part together with everything before it, for one model or adapter.
fn chain(item: &str, prompt: &[envelope::Part]) -> impl Iterator<Item = (u64, u64)> {
    let mut hash = route::hash::seed(item);
    prompt.iter().map(move |part| {
        hash = route::hash::score(hash, &part.hash.to_string());
        (hash, part.tokens)
    })
}

impl Cache {
    /// Tokens of the prompt that are likely to be kept.
    #[must_use]
    pub fn kept(&self, item: &str, prompt: &[envelope::Part]) -> u64 {
        let known = |(hash, _): &(u64, u64)| self.used.contains_key(hash);
        chain(item, prompt).take_while(known).map(|(_, tokens)| tokens).sum()
    }

    /// Notes that a runner reads a prompt.
    pub fn read(&mut self, item: &str, prompt: &[envelope::Part]) {
        for (hash, _) in chain(item, prompt) {
            self.last += 1;
            if let Some(before) = self.used.insert(hash, self.last) {
                self.order.remove(&before);
            }
            self.order.insert(self.last, hash);
        }
        while self.order.len() > PARTS {
            if let Some((_, hash)) = self.order.pop_first() {
                self.used.remove(&hash);
            }
        }
    }

    /// Forgets everything: the runner has dropped it.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
