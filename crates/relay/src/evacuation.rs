//! The data centres that the operator has drained: nothing more is sent to their targets.
//!
//! The set is small and always known as a whole, with the store version at which it was
//! read. It serves loads in which a whole data centre is taken out of service while calls
//! go on, and comes back later.

use std::collections;

/// Data centres that were added to the set or removed from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Data centres whose drain has begun.
    pub began: Vec<ids::Centre>,
    /// Data centres whose drain has ended.
    pub ended: Vec<ids::Centre>,
}

/// The set of drained data centres as known to this VM. It begins empty: a VM that has not
/// read the set assumes that nothing is drained.
#[derive(Clone, Debug, Default)]
pub struct Table {
    centres: collections::BTreeSet<ids::Centre>,
    /// Store version up to which the set is known.
    known: ids::Version,
    /// Version that other VMs are told. It stays 0 where there never was a drain, so that no
    /// messages are sent then.
    announced: ids::Version,
}

impl Table {
    /// The drained data centres.
    #[must_use]
    pub const fn centres(&self) -> &collections::BTreeSet<ids::Centre> {
        &self.centres
    }

    /// Version that other VMs are told; 0 if no drain was ever known.
    #[must_use]
    pub const fn version(&self) -> ids::Version {
        self.announced
    }

    /// Applies a set that this VM has read from the store. Returns the change, or `None` if
    /// the set is the same, or older than the known one.
    pub fn read(
        &mut self,
        version: ids::Version,
        centres: &collections::BTreeSet<ids::Centre>,
    ) -> Option<Change> {
        if version < self.known {
            return None;
        }
        self.known = version;
        if *centres == self.centres {
            return None;
        }
        self.announced = version;
        Some(self.replace(centres))
    }

    /// Applies a set that another VM has sent. Returns the change, which is empty if only the
    /// version is newer, or `None` if the set is not newer than the known one.
    pub fn receive(
        &mut self,
        version: ids::Version,
        centres: &collections::BTreeSet<ids::Centre>,
    ) -> Option<Change> {
        if version <= self.known {
            // A different set of an older version shows that the sender lags behind; the
            // announced version makes it visible who does.
            let is_same = *centres == self.centres;
            self.announced = self.announced.max(if is_same { version } else { self.known });
            return None;
        }
        (self.known, self.announced) = (version, version);
        Some(self.replace(centres))
    }

    fn replace(&mut self, centres: &collections::BTreeSet<ids::Centre>) -> Change {
        let began = centres.difference(&self.centres).cloned().collect();
        let ended = self.centres.difference(centres).cloned().collect();
        self.centres.clone_from(centres);
        Change { began, ended }
    }
}
