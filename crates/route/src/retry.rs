//! Limits on retries.
//!
//! A [`Budget`] lets retries be a share of all calls, so that retries can't
//! multiply the load when every target fails. [`Backoff`] spreads retries in
//! time with full jitter.

use std::time;

/// How many retries are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Retries for each call that begins.
    pub share: f64,
    /// Retries a second that are allowed however few calls begin.
    pub per_second: f64,
    /// Most retries saved up.
    pub saved: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self { share: 0.1, per_second: 1.0, saved: 50.0 }
    }
}

/// A token bucket of retries, filled by calls that begin and, slowly, by time.
///
/// ```
/// let config = route::retry::Config { share: 0.5, per_second: 0.0, saved: 10.0 };
/// let now = ids::Time::default();
/// let mut budget = route::retry::Budget::new(now, config);
/// assert!(!budget.withdraw(now));
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.withdraw(now));
/// assert!(!budget.withdraw(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    saved: f64,
    refilled: ids::Time,
}

impl Budget {
    /// An empty budget.
    #[must_use]
    pub const fn new(now: ids::Time, config: Config) -> Self {
        Self { config, saved: 0.0, refilled: now }
    }

    /// Sets the retries that are saved up.
    #[must_use]
    pub const fn with_balance(mut self, saved: f64) -> Self {
        self.saved = saved;
        self
    }

    /// Sets the most retries that are saved up; those beyond it are lost.
    pub const fn set_cap(&mut self, saved: f64) {
        self.config.saved = saved;
        self.saved = self.saved.min(saved);
    }

    /// Counts a call that begins; retries do not count.
    pub fn deposit(&mut self) {
        self.add(self.config.share);
    }

    /// Takes one retry; whether there was one.
    pub fn withdraw(&mut self, now: ids::Time) -> bool {
        let passed = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.add(passed * self.config.per_second);
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    fn add(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(self.config.saved);
    }
}

/// Waits before retries: exponential, with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backoff {
    /// Upper bound of the first wait, in ms.
    pub first_ms: u64,
    /// Upper bound of every wait, in ms.
    pub longest_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first_ms: 20, longest_ms: 1_000 }
    }
}

impl Backoff {
    /// Draws the wait before retry number `retry`, counted from 0.
    ///
    /// It is spread evenly between nothing and a bound that doubles with every retry.
    pub fn delay<R: rand::Rng + ?Sized>(&self, retry: u32, rng: &mut R) -> time::Duration {
        let factor = 1_u64.checked_shl(retry).unwrap_or(u64::MAX);
        let bound = self.first_ms.saturating_mul(factor).min(self.longest_ms);
        time::Duration::from_millis(rng.random_range(0..=bound))
    }
}
