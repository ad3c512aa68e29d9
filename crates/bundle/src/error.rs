//! Failures of reading a bundle.

/// Outcome of reading a bundle.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What is wrong with a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Kind {
    /// not such a document
    Format,
    /// not a client key
    Key,
    /// not signed by one of the signers
    Signature,
}

/// {kind}: {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error {
    kind: Kind,
    reason: String,
}

impl std::error::Error for Error {}

impl Error {
    pub(crate) fn new(kind: Kind, reason: impl Into<String>) -> Self {
        Self { kind, reason: reason.into() }
    }

    /// What is wrong.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}
