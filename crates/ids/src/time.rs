//! Time of the decision core.

use std::{fmt, ops, time};

/// A point in time, in milliseconds on a clock that keeps running while a process
/// is suspended.
///
/// Times of different VMs are never compared: VMs exchange only ages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// Creates the time `millis` milliseconds after the clock's origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the clock's origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Time {
    type Output = Self;

    fn add(self, rhs: time::Duration) -> Self {
        let millis = u64::try_from(rhs.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
