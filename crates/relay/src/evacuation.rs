//! The data centres that the operator has drained: nothing more is sent to their targets.
//!
//! The set is small and always known as a whole, with the store revision at which it was
//! read. It serves loads in which a whole data centre is taken out of service while calls
//! go on, and comes back later.

use std::{collections, time};

/// Data centres that were added to the set or removed from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Data centres whose drain has begun.
    pub began: Vec<ids::Centre>,
    /// Data centres whose drain has ended.
    pub ended: Vec<ids::Centre>,
}

/// How long a drain outlasts, or stays away in spite of, the copy from which the store came back:
/// the operator writes again what was lost, in about two seconds.
const COPY_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// What the store lists after it has come back from a copy.
#[derive(Clone, Debug)]
struct Listing {
    /// The set at the first read.
    first: collections::BTreeSet<ids::Centre>,
    /// The set at the last read.
    last: collections::BTreeSet<ids::Centre>,
    /// When what it lists holds, also if it was not written again.
    until: ids::Time,
}

impl Listing {
    /// What holds, given the set in force: what the operator has changed since the first read,
    /// and else what was in force.
    fn merge(
        &self,
        in_force: &collections::BTreeSet<ids::Centre>,
    ) -> collections::BTreeSet<ids::Centre> {
        let unchanged =
            |centre: &&ids::Centre| self.first.contains(*centre) == self.last.contains(*centre);
        let written = self.last.iter().filter(|centre| !unchanged(centre));
        in_force.iter().filter(unchanged).chain(written).cloned().collect()
    }
}

/// The set of drained data centres as known to this VM. It begins empty: a VM that has not
/// read the set assumes that nothing is drained.
#[derive(Clone, Debug, Default)]
pub struct Table {
    centres: collections::BTreeSet<ids::Centre>,
    /// Store revision up to which the set is known.
    known: ids::Revision,
    /// Revision that other VMs are told. It stays 0 where there never was a drain, so that no
    /// messages are sent then.
    announced: ids::Revision,
    /// Set while the store may list what was in force earlier.
    listing: Option<Listing>,
}

impl Table {
    /// The drained data centres.
    #[must_use]
    pub const fn centres(&self) -> &collections::BTreeSet<ids::Centre> {
        &self.centres
    }

    /// Revision that other VMs are told; 0 if no drain was ever known.
    #[must_use]
    pub const fn revision(&self) -> ids::Revision {
        self.announced
    }

    /// Applies a set that this VM has read from the store. Returns the change, or `None` if
    /// the set is the same, or older than the known one.
    pub fn read(
        &mut self,
        now: ids::Time,
        revision: ids::Revision,
        centres: &collections::BTreeSet<ids::Centre>,
    ) -> Option<Change> {
        if revision < self.known {
            return None;
        }
        let is_first = self.known == ids::Revision::default();
        if !is_first && revision.era() > self.known.era() {
            let (first, last) = (centres.clone(), centres.clone());
            self.listing = Some(Listing { first, last, until: now + COPY_GRACE });
        }
        self.known = revision;
        let Some(listing) = &mut self.listing else {
            return self.adopt(centres);
        };
        listing.last.clone_from(centres);
        let merged = listing.merge(&self.centres);
        self.adopt(&merged)
    }

    /// Returns the change, if there is one, when what the store lists holds although it came
    /// back from a copy.
    pub fn expire(&mut self, now: ids::Time) -> Option<Change> {
        let listing = self.listing.take_if(|listing| listing.until <= now)?;
        self.adopt(&listing.last)
    }

    /// Puts the set into force that this VM goes by after a read.
    fn adopt(&mut self, centres: &collections::BTreeSet<ids::Centre>) -> Option<Change> {
        if *centres == self.centres {
            return None;
        }
        self.announced = self.known;
        Some(self.replace(centres))
    }

    /// Applies a set that another VM has sent. Returns the change, which is empty if only the
    /// revision is newer, or `None` if the set is not newer than the known one.
    pub fn receive(
        &mut self,
        revision: ids::Revision,
        centres: &collections::BTreeSet<ids::Centre>,
    ) -> Option<Change> {
        if revision <= self.known {
            // A different set of an older revision shows that the sender lags behind; the
            // announced revision makes it visible who does.
            let is_same = *centres == self.centres;
            self.announced = self.announced.max(if is_same { revision } else { self.known });
            return None;
        }
        (self.known, self.announced) = (revision, revision);
        self.listing = None;
        Some(self.replace(centres))
    }

    fn replace(&mut self, centres: &collections::BTreeSet<ids::Centre>) -> Change {
        let began = centres.difference(&self.centres).cloned().collect();
        let ended = self.centres.difference(centres).cloned().collect();
        self.centres.clone_from(centres);
        Change { began, ended }
    }
}
