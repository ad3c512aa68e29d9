//! What an account's rate and burst allow, as its caller sees it.

use std::time;

/// A token bucket that is full at the beginning.
///
/// ```
/// use std::time;
///
/// let mut judge = standin::load::judge::Judge::new(10.0, 20.0);
/// assert!(judge.allows(time::Duration::ZERO, 20));
/// assert!(!judge.allows(time::Duration::from_millis(900), 10));
/// assert!(judge.allows(time::Duration::from_millis(1100), 10));
/// ```
#[derive(Clone, Debug)]
pub struct Judge {
    rate: f64,
    burst: f64,
    level: f64,
    at: time::Duration,
}

impl Judge {
    /// A full bucket of `burst` tokens that `rate` tokens a second refill.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, at: time::Duration::ZERO }
    }

    /// Takes `tokens` if there are so many at `now`; says whether there were.
    pub fn allows(&mut self, now: time::Duration, tokens: u64) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.rate).min(self.burst);
        let allowed = self.level >= tokens as f64;
        if allowed {
            self.level -= tokens as f64;
        }
        allowed
    }

    /// Puts back what a refused call did not use.
    pub fn refund(&mut self, tokens: u64) {
        self.level = (self.level + tokens as f64).min(self.burst);
    }
}
