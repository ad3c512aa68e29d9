//! Exponentially decaying sums.

/// A sum whose terms decay exponentially with a fixed half-life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sum {
    half_life_ms: f64,
    weighted: f64,
    updated_at: ids::Time,
    /// When the first term was added.
    first_added: Option<ids::Time>,
}

/// Minimum age used for rates, in ms, so that young sums are not over-extrapolated.
const MIN_AGE_MS: f64 = 1_000.0;

impl Sum {
    /// Creates an empty sum.
    #[must_use]
    pub const fn new(half_life_ms: f64) -> Self {
        Self {
            half_life_ms,
            weighted: 0.0,
            updated_at: ids::Time::from_millis(0),
            first_added: None,
        }
    }

    /// Adds a term.
    pub fn add(&mut self, now: ids::Time, amount: f64) {
        self.weighted = self.decayed(now) + amount;
        self.updated_at = now;
        self.first_added.get_or_insert(now);
    }

    /// Rate per second, assuming that terms arrived evenly since the first one.
    #[must_use]
    pub fn per_second(&self, now: ids::Time) -> f64 {
        let Some(first_added) = self.first_added else {
            return 0.0;
        };
        let age = (now.since(first_added).as_secs_f64() * 1_000.0).max(MIN_AGE_MS);
        let covered = 1.0 - (-age / self.half_life_ms).exp2();
        let window_ms = self.half_life_ms / std::f64::consts::LN_2 * covered;
        self.decayed(now) * 1_000.0 / window_ms
    }

    fn decayed(&self, now: ids::Time) -> f64 {
        let elapsed_ms = now.since(self.updated_at).as_secs_f64() * 1_000.0;
        self.weighted * (-elapsed_ms / self.half_life_ms).exp2()
    }
}
