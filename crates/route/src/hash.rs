//! Hash functions for rendezvous hashing.

use xxhash_rust::xxh3;

/// Returns the score of `candidate` under `seed`, uniform over 64 bits.
#[must_use]
pub fn score(seed: u64, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Hashes `text` to a seed for [`score`].
#[must_use]
pub fn seed(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}

/// Returns a weighted score: the probability that `candidate` has the highest
/// score is proportional to `weight`.
pub(crate) fn weighted(seed: u64, candidate: &str, weight: f64) -> f64 {
    let hash = score(seed, candidate);
    let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    -weight / unit.max(f64::MIN_POSITIVE).ln()
}
