//! Limits on retries.
//!
//! A [`Budget`] limits retries to a share of all calls, so that retries can't
//! multiply the load when every target fails. [`Backoff`] spreads retries in
//! time with full jitter.

use std::time;

/// Configuration of a retry [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Retries that each new call adds to the budget.
    pub share: f64,
    /// Retries added per second, however few calls begin.
    pub per_second: f64,
    /// Largest balance, in retries.
    pub saved: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self { share: 0.1, per_second: 1.0, saved: 50.0 }
    }
}

/// A token bucket of retries, refilled by new calls and, slowly, over time.
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
    balance: f64,
    refilled: ids::Time,
}

impl Budget {
    /// Creates a budget with a balance of 0.
    #[must_use]
    pub const fn new(now: ids::Time, config: Config) -> Self {
        Self { config, balance: 0.0, refilled: now }
    }

    /// Sets the balance, in retries.
    #[must_use]
    pub const fn with_balance(mut self, balance: f64) -> Self {
        self.balance = balance;
        self
    }

    /// Sets the largest balance; retries in excess of it are lost.
    pub const fn set_cap(&mut self, cap: f64) {
        self.config.saved = cap;
        self.balance = self.balance.min(cap);
    }

    /// Counts a new call. Retries must not be counted.
    pub fn deposit(&mut self) {
        self.add(self.config.share);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn withdraw(&mut self, now: ids::Time) -> bool {
        let elapsed_s = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.add(elapsed_s * self.config.per_second);
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }

    fn add(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.config.saved);
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backoff {
    /// Upper bound of the first delay, in ms.
    pub first_ms: u64,
    /// Upper bound of every delay, in ms.
    pub longest_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first_ms: 20, longest_ms: 1_000 }
    }
}

impl Backoff {
    /// Draws the delay before retry number `retry`, counted from 0.
    ///
    /// It is uniform between 0 and a bound that doubles with every retry, up to
    /// [`Self::longest_ms`].
    pub fn delay<R: rand::Rng + ?Sized>(&self, retry: u32, rng: &mut R) -> time::Duration {
        let factor = 1_u64.checked_shl(retry).unwrap_or(u64::MAX);
        let bound = self.first_ms.saturating_mul(factor).min(self.longest_ms);
        time::Duration::from_millis(rng.random_range(0..=bound))
    }
}
