//! How a journal is set up.

use std::time;

/// Claims that wait together before they are written without awaiting a tick.
pub const MAX_TRANSACTION_WRITES: usize = 16;

/// Text of one transaction, in bytes, beyond which no further row joins it.
pub const MAX_TRANSACTION_BYTES: usize = 256 * 1024;

/// How a journal is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM.
    pub vm: ids::Vm,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Seed of the jitter between tries.
    pub seed: u64,
    /// How long a call waits for its claim before it is refused.
    pub claim_timeout: time::Duration,
    /// How long the storing of an answer may take before it is reported as not
    /// durable; tries go on after that.
    pub store_timeout: time::Duration,
    /// How long an answer of the table service is waited for.
    pub transaction_timeout: time::Duration,
    /// Wait before the second try of a write.
    pub initial_backoff: time::Duration,
    /// Longest wait between two tries.
    pub max_backoff: time::Duration,
    /// Claims kept in memory at most; more are refused.
    pub max_claims: usize,
}

impl Config {
    /// The usual set-up for a VM.
    #[must_use]
    pub const fn new(vm: ids::Vm, incarnation: ids::Incarnation, seed: u64) -> Self {
        Self {
            vm,
            incarnation,
            seed,
            claim_timeout: time::Duration::from_secs(3),
            store_timeout: time::Duration::from_secs(5),
            transaction_timeout: time::Duration::from_secs(2),
            initial_backoff: time::Duration::from_millis(50),
            max_backoff: time::Duration::from_secs(2),
            max_claims: 20_000,
        }
    }

    /// The same set-up with another wait for claims.
    #[must_use]
    pub const fn with_claim_timeout(mut self, wait: time::Duration) -> Self {
        self.claim_timeout = wait;
        self
    }

    /// The same set-up with another bound on claims in memory.
    #[must_use]
    pub const fn with_max_claims(mut self, claims: usize) -> Self {
        self.max_claims = claims;
        self
    }
}
