//! What can go wrong in a stand-in.

use std::fmt;

/// Outcome of an operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// {step} at {peer}: {reason}
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
    pub(crate) fn new(
        step: &'static str,
        peer: impl fmt::Display,
        reason: impl fmt::Display,
    ) -> Self {
        Self { step, peer: peer.to_string(), reason: reason.to_string() }
    }

    /// The step that failed.
    #[must_use]
    pub const fn step(&self) -> &str {
        self.step
    }
}
