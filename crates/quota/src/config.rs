//! Settings of a [`crate::Table`].

use std::time;

/// Settings of a [`crate::Table`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM and its incarnation.
    pub me: crate::Member,
    /// Maximum number of homes of an account.
    pub max_homes: usize,
    /// How long borrowed tokens can be spent, counted from the request.
    pub lease_duration: time::Duration,
    /// Added to [`Self::lease_duration`] by lenders to allow for clocks that run
    /// at different rates.
    pub clock_margin: time::Duration,
    /// How long a call waits for borrowed tokens before it is refused.
    pub borrow_timeout: time::Duration,
    /// Interval between rounds of requests for one account.
    pub borrow_interval: time::Duration,
    /// Interval between reports to lenders.
    pub report_interval: time::Duration,
    /// How long a lender keeps a loan to accept refunds for it.
    pub refund_window: time::Duration,
}

impl Config {
    /// Default settings for the VM `me`.
    #[must_use]
    pub const fn new(me: crate::Member) -> Self {
        Self {
            me,
            max_homes: 5,
            lease_duration: time::Duration::from_secs(1),
            clock_margin: time::Duration::from_millis(100),
            borrow_timeout: time::Duration::from_millis(100),
            borrow_interval: time::Duration::from_millis(25),
            report_interval: time::Duration::from_millis(200),
            refund_window: time::Duration::from_mins(10),
        }
    }
}
