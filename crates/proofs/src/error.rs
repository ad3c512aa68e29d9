//! Failures of the harness.

/// Outcome of a step of the harness.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// {step} of {peer}: {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error {
    step: &'static str,
    peer: String,
    reason: String,
}

impl std::error::Error for Error {}

impl Error {
    /// A failure at `step` with `peer`.
    #[must_use]
    pub fn new(step: &'static str, peer: &impl ToString, reason: &impl ToString) -> Self {
        Self { step, peer: peer.to_string(), reason: reason.to_string() }
    }
}
