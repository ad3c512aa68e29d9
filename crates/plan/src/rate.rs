//! Rate limit on the start of model loads.

/// A token bucket that holds at most one load, refilled at the rate that the
/// weight store allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limiter {
    balance: f64,
    refilled: ids::Time,
}

impl Limiter {
    /// Creates an empty bucket.
    pub(crate) const fn new(now: ids::Time) -> Self {
        Self { balance: 0.0, refilled: now }
    }

    /// Refills the bucket and returns whether a load may begin.
    pub(crate) fn allows(&mut self, now: ids::Time, per_second: f64) -> bool {
        let elapsed_s = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.balance = (self.balance + elapsed_s * per_second).min(1.0);
        self.balance >= 1.0
    }

    /// Empties the bucket for a load that begins.
    pub(crate) fn spend(&mut self) {
        self.balance = 0.0;
    }
}
