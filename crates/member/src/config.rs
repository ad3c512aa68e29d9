//! Settings of a [`crate::View`].

use std::time;

/// Settings of a [`crate::View`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM as a member of the head.
    pub me: crate::Member,
    /// How long evidence that a head is the newest allows a VM to serve.
    pub max_staleness: time::Duration,
    /// Added to [`Self::max_staleness`] to allow for clocks that run at
    /// different rates.
    pub clock_margin: time::Duration,
    /// Interval between reads of the head or queries to a peer.
    pub read_interval: time::Duration,
    /// Interval between attempts to write a change or to poll lagging members.
    pub retry_interval: time::Duration,
    /// How long to keep trying to write a change.
    pub write_timeout: time::Duration,
    /// How long a VM must be missing from the platform's list before it is
    /// presumed dead and removed.
    pub removal_delay: time::Duration,
    /// Maximum number of witnesses.
    pub max_witnesses: usize,
    /// Number of children of each VM in the distribution tree.
    pub fanout: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Config {
    /// Default settings for the VM `me`.
    #[must_use]
    pub const fn new(me: crate::Member, seed: u64) -> Self {
        Self {
            me,
            max_staleness: time::Duration::from_secs(3),
            clock_margin: time::Duration::from_millis(300),
            read_interval: time::Duration::from_millis(500),
            retry_interval: time::Duration::from_millis(200),
            write_timeout: time::Duration::from_secs(5),
            removal_delay: time::Duration::from_secs(10),
            max_witnesses: 9,
            fanout: 6,
            seed,
        }
    }
}
