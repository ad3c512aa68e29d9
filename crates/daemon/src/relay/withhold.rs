//! The targets to which nothing may be sent any more, checked at the moment of sending.

use std::{collections, sync};

type Targets = sync::Arc<collections::BTreeSet<ids::Target>>;

/// The targets to which nothing may be sent. Clones share the same set.
#[derive(Clone, Debug, Default)]
pub struct Set {
    targets: sync::Arc<sync::RwLock<Targets>>,
}

impl Set {
    /// Replaces the set.
    pub fn set(&self, targets: Targets) {
        *self.targets.write().unwrap_or_else(sync::PoisonError::into_inner) = targets;
    }

    /// Whether nothing may be sent to `target`.
    #[must_use]
    pub fn contains(&self, target: &ids::Target) -> bool {
        self.targets.read().unwrap_or_else(sync::PoisonError::into_inner).contains(target)
    }
}
