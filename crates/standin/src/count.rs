//! Counters of a stand-in, answered on `GET /counts`.

use std::{collections, sync};

/// Counters by name.
#[derive(Debug, Default)]
pub struct Counts(sync::Mutex<collections::BTreeMap<String, u64>>);

impl Counts {
    /// Counters that all stand at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one to the counter `name`.
    pub fn add(&self, name: &str) {
        let mut counts = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        *counts.entry(name.to_owned()).or_default() += 1;
    }

    /// The counter `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> u64 {
        self.all().get(name).copied().unwrap_or_default()
    }

    /// All counters that are not zero.
    #[must_use]
    pub fn all(&self) -> collections::BTreeMap<String, u64> {
        let counts = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        counts.clone()
    }
}
