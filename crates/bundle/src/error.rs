//! Errors of reading bundles, signed documents and keys.

/// Result of reading a bundle, a signed document or a key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Class of an error.
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

    /// The class of this error.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}
