//! Positions in the history of a store.

use std::fmt;

use crate::{Era, Version};

/// Number of bits of the version in the number that stands for a revision in messages.
const VERSION_BITS: u32 = 40;

/// A position in the history of a store that may come back from an older copy of itself: era,
/// then version. Versions are given out again after that, and each time begins an era.
///
/// In messages it is one number, `era * 2^40 + version`, in the order of the revisions, so that
/// a revision of era 0 is its version. A store that commits 400 transactions a second reaches
/// version 2^40 after 87 years; greater ones count as equal to that.
///
/// ```
/// use ids::{Era, Revision, Version};
///
/// let before = Revision::new(Era::new(0), Version::new(480));
/// let after = Revision::new(Era::new(1), Version::new(450));
/// assert!(before < after);
/// assert_eq!((u64::from(before), before.to_string()), (480, "480".to_owned()));
/// assert_eq!((Revision::from(u64::from(after)), after.to_string()), (after, "1.450".to_owned()));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct Revision {
    era: Era,
    version: Version,
}

impl Revision {
    /// Creates a revision.
    #[must_use]
    pub const fn new(era: Era, version: Version) -> Self {
        Self { era, version }
    }

    /// Number of times the store had come back from a copy.
    #[must_use]
    pub const fn era(self) -> Era {
        self.era
    }

    /// Version within the era.
    #[must_use]
    pub const fn version(self) -> Version {
        self.version
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> Self {
        let most = Self::MAX >> (Self::BITS - VERSION_BITS);
        let era = revision.era.get().min(Self::MAX >> VERSION_BITS);
        (era << VERSION_BITS) | revision.version.get().min(most)
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        let version = number & (u64::MAX >> (u64::BITS - VERSION_BITS));
        Self::new(Era::new(number >> VERSION_BITS), Version::new(version))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era.get() > 0 {
            write!(f, "{}.", self.era)?;
        }
        self.version.fmt(f)
    }
}
