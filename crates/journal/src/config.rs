//! Configuration of a journal.

use std::time;

/// Maximum number of writes in one transaction. As many pending writes are sent
/// at once, without waiting for the next tick.
pub const MAX_TRANSACTION_WRITES: usize = 16;

/// Maximum total size of the row texts in one transaction, in bytes. A single
/// larger row is sent in a transaction of its own.
pub const MAX_TRANSACTION_BYTES: usize = 256 * 1024;

/// Configuration of a journal.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM that owns the journal.
    pub vm: ids::Vm,
    /// Incarnation of that VM, unique among its starts.
    pub incarnation: ids::Incarnation,
    /// Seed of the retry jitter; also part of the nonces.
    pub seed: u64,
    /// Time after which a call whose claim is not yet written is refused.
    pub claim_timeout: time::Duration,
    /// Time after which an answer that is not yet stored is reported as not
    /// durable; the journal keeps retrying the write.
    pub store_timeout: time::Duration,
    /// Time after which a transaction without a response counts as failed with
    /// an unknown outcome.
    pub transaction_timeout: time::Duration,
    /// Upper bound of the delay before the first retry of a write.
    pub initial_backoff: time::Duration,
    /// Upper bound of the delay between two attempts to write a row.
    pub max_backoff: time::Duration,
    /// Maximum number of claims in memory; further calls are refused.
    pub max_claims: usize,
}

impl Config {
    /// The default configuration for a VM.
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

    /// Sets the claim timeout.
    #[must_use]
    pub const fn with_claim_timeout(mut self, timeout: time::Duration) -> Self {
        self.claim_timeout = timeout;
        self
    }

    /// Sets the maximum number of claims in memory.
    #[must_use]
    pub const fn with_max_claims(mut self, claims: usize) -> Self {
        self.max_claims = claims;
        self
    }
}
