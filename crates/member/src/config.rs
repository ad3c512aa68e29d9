//! Settings of a [`crate::View`].

use std::time;

/// Settings of a [`crate::View`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: crate::Member,
    /// How long a VM serves after it was shown that its head is the newest.
    pub max_staleness: time::Duration,
    /// Allowance for clocks that run at different rates.
    pub clock_margin: time::Duration,
    /// Interval between reads of the head, or between pulls from a peer.
    pub read_interval: time::Duration,
    /// Interval between tries to write or to spread a change.
    pub retry_interval: time::Duration,
    /// How long a change is tried to be written.
    pub write_timeout: time::Duration,
    /// How long the platform must have left a VM out of its list until it
    /// counts as gone.
    pub removal_delay: time::Duration,
    /// Most witnesses.
    pub max_witnesses: usize,
    /// Number of VMs that pull from one.
    pub fanout: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Config {
    /// The usual settings for the VM `me`.
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
