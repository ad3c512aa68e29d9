//! Eras of the store: each begins when the store comes back from an older copy of itself.
//!
//! What it acknowledged after the copy was made is gone then, and versions are given out again. A
//! row that is read in an era was either written in it or stood in the copy, and the copy is
//! older than what was known before. Only rows with a version above the lowest one that the store
//! has stated in the era were surely written in it; [`Table::place`] counts all others
//! as written before it, where their versions tell the order.

use std::collections;

/// Number of eras whose lowest version is kept.
const MAX_ERAS: usize = 16;

/// The eras of the store, as far as this VM knows them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    current: ids::Era,
    /// Lowest version that the store has stated in each era, to this VM or another one.
    lowest: collections::BTreeMap<ids::Era, ids::Version>,
}

impl Table {
    /// The highest known era; 0 if the store does not state any.
    #[must_use]
    pub const fn current(&self) -> ids::Era {
        self.current
    }

    /// Begins an era, unless it or a later one is known. Returns whether it did.
    pub fn raise(&mut self, era: ids::Era) -> bool {
        let is_later = era > self.current;
        self.current = self.current.max(era);
        is_later
    }

    /// Records that the store was at `revision`.
    pub fn record(&mut self, revision: ids::Revision) {
        let (era, version) = (revision.era(), revision.version());
        // In the first era, all versions are in one order.
        if era == ids::Era::default() {
            return;
        }
        let lowest = self.lowest.entry(era).or_insert(version);
        *lowest = version.min(*lowest);
        if self.lowest.len() > MAX_ERAS {
            self.lowest.pop_first();
        }
    }

    /// The current era, and the lowest version that the store has stated in it; `None` in the
    /// first era.
    #[must_use]
    pub fn stated(&self) -> Option<ids::Revision> {
        // While none is known, any row may stand in the copy.
        const UNKNOWN: ids::Version = ids::Version::new(u64::MAX);
        let lowest = self.lowest.get(&self.current).copied().unwrap_or(UNKNOWN);
        let is_first = self.current == ids::Era::default();
        (!is_first).then_some(ids::Revision::new(self.current, lowest))
    }

    /// The place of a row's revision in the order in which rows were written: in the last era
    /// in which it was surely written.
    #[must_use]
    pub fn place(&self, revision: ids::Revision) -> ids::Revision {
        let mut eras = self.lowest.range(..=revision.era()).rev();
        let written = eras.find(|(_, lowest)| revision.version() > **lowest);
        let era = written.map_or_else(ids::Era::default, |(era, _)| *era);
        ids::Revision::new(era, revision.version())
    }
}
