//! Settings of a [`crate::Table`].

use std::time;

/// Settings of a [`crate::Table`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: crate::Member,
    /// Most homes of an account.
    pub homes: usize,
    /// How long borrowed tokens can be used, from when they were asked for.
    pub lease_for: time::Duration,
    /// Allowance for clocks that run at different rates.
    pub margin: time::Duration,
    /// How long a call waits for borrowed tokens.
    pub wait_for: time::Duration,
    /// Interval between rounds of asking for one account.
    pub ask_every: time::Duration,
    /// Interval between reports to lenders.
    pub report_every: time::Duration,
    /// How long a lender remembers a lease for what is given back.
    pub return_for: time::Duration,
}

impl Config {
    /// The usual settings for the VM `me`.
    #[must_use]
    pub const fn new(me: crate::Member) -> Self {
        Self {
            me,
            homes: 5,
            lease_for: time::Duration::from_secs(1),
            margin: time::Duration::from_millis(100),
            wait_for: time::Duration::from_millis(100),
            ask_every: time::Duration::from_millis(25),
            report_every: time::Duration::from_millis(200),
            return_for: time::Duration::from_mins(10),
        }
    }
}
