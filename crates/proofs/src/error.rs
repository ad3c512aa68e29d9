//! Errors of the harness.

/// Result of an operation of the harness.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// {step} failed for {peer}: {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error {
    step: &'static str,
    peer: String,
    reason: String,
}

impl std::error::Error for Error {}

impl Error {
    /// Creates an error of the operation `step`; `peer` names the process, address or condition.
    #[must_use]
    pub fn new(step: &'static str, peer: &impl ToString, reason: &impl ToString) -> Self {
        Self { step, peer: peer.to_string(), reason: reason.to_string() }
    }
}
