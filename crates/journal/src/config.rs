//! How a journal is set up.

use std::time;

/// Claims that wait together before they are written without awaiting a tick.
pub const GROUP_CLAIMS: usize = 16;

/// Text of one transaction, in bytes, beyond which no further row joins it.
pub const GROUP_BYTES: usize = 256 * 1024;

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
    pub claim_within: time::Duration,
    /// How long the storing of an answer may take before it is reported as not
    /// durable; tries go on after that.
    pub store_within: time::Duration,
    /// How long an answer of the table service is waited for.
    pub answer_within: time::Duration,
    /// Wait before the second try of a write.
    pub first_backoff: time::Duration,
    /// Longest wait between two tries.
    pub longest_backoff: time::Duration,
    /// Claims kept in memory at most; more are refused.
    pub most_claims: usize,
}

impl Config {
    /// The usual set-up for a VM.
    #[must_use]
    pub const fn new(vm: ids::Vm, incarnation: ids::Incarnation, seed: u64) -> Self {
        Self {
            vm,
            incarnation,
            seed,
            claim_within: time::Duration::from_secs(3),
            store_within: time::Duration::from_secs(5),
            answer_within: time::Duration::from_secs(2),
            first_backoff: time::Duration::from_millis(50),
            longest_backoff: time::Duration::from_secs(2),
            most_claims: 20_000,
        }
    }

    /// The same set-up with another wait for claims.
    #[must_use]
    pub const fn with_claim_within(mut self, wait: time::Duration) -> Self {
        self.claim_within = wait;
        self
    }

    /// The same set-up with another bound on claims in memory.
    #[must_use]
    pub const fn with_most_claims(mut self, claims: usize) -> Self {
        self.most_claims = claims;
        self
    }
}
