//! The pace at which loads begin.

/// A token bucket of one load, filled at the rate that the weight store allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    saved: f64,
    at: ids::Time,
}

impl Pace {
    /// An empty bucket.
    pub(crate) const fn new(now: ids::Time) -> Self {
        Self { saved: 0.0, at: now }
    }

    /// Whether a load may begin.
    pub(crate) fn allows(&mut self, now: ids::Time, per_second: f64) -> bool {
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.saved = (self.saved + passed * per_second).min(1.0);
        self.saved >= 1.0
    }

    /// Counts a load that begins.
    pub(crate) fn spend(&mut self) {
        self.saved = 0.0;
    }
}
