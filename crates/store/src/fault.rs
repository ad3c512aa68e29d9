//! Failures of operations on the platform's services.

/// Result of an operation on a platform service.
pub type Result<T, E = Fault> = std::result::Result<T, E>;

/// Whether a failed operation may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// refused, without effect
    Refused,
    /// unknown, it may have taken effect
    Unknown,
}

/// {step} at {peer}: {kind}: {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize, displaydoc::Display)]
pub struct Fault {
    /// The operation that failed.
    pub step: String,
    /// The platform service that was called.
    pub peer: String,
    /// Whether the operation may have taken effect nevertheless.
    pub kind: Kind,
    /// Description of the failure.
    pub reason: String,
}

impl std::error::Error for Fault {}

impl Fault {
    /// Creates a failure of the operation `step` on `peer`.
    #[must_use]
    pub fn new(step: &str, peer: &str, kind: Kind, reason: &str) -> Self {
        Self { step: step.to_owned(), peer: peer.to_owned(), kind, reason: reason.to_owned() }
    }
}
