//! Errors of starting and running the daemon.

/// Result of starting or running the daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Classification of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Kind {
    /// invalid settings
    Settings,
    /// a system call failed
    System,
}

/// {kind}: {step} of {peer}: {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error {
    kind: Kind,
    step: &'static str,
    peer: String,
    reason: String,
}

impl std::error::Error for Error {}

impl Error {
    pub(crate) fn new(
        kind: Kind,
        step: &'static str,
        peer: &impl ToString,
        reason: &impl ToString,
    ) -> Self {
        Self { kind, step, peer: peer.to_string(), reason: reason.to_string() }
    }

    pub(crate) fn system(step: &'static str, peer: &impl ToString, cause: &impl ToString) -> Self {
        Self::new(Kind::System, step, peer, cause)
    }

    /// Returns the classification of the error.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}
