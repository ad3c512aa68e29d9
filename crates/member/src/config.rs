//! Settings of a [`crate::View`].

use std::time;

/// Settings of a [`crate::View`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: crate::Member,
    /// How long a VM serves after it was shown that its head is the newest.
    pub fresh_for: time::Duration,
    /// Allowance for clocks that run at different rates.
    pub margin: time::Duration,
    /// Interval between reads of the head, or between pulls from a peer.
    pub read_every: time::Duration,
    /// Interval between tries to write or to spread a change.
    pub retry_every: time::Duration,
    /// How long a change is tried to be written.
    pub write_for: time::Duration,
    /// How long the platform must have left a VM out of its list until it
    /// counts as gone.
    pub gone_after: time::Duration,
    /// Most witnesses.
    pub witnesses_max: usize,
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
            fresh_for: time::Duration::from_secs(3),
            margin: time::Duration::from_millis(300),
            read_every: time::Duration::from_millis(500),
            retry_every: time::Duration::from_millis(200),
            write_for: time::Duration::from_secs(5),
            gone_after: time::Duration::from_secs(10),
            witnesses_max: 9,
            fanout: 6,
            seed,
        }
    }
}
