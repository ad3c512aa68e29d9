//! Errors of encoding and decoding.

/// Result of encoding or decoding.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Kind {
    /// the frame is larger than the limit
    Size,
    /// the value has no CBOR form
    Encode,
    /// the bytes are not a frame
    Decode,
}

/// frame: {kind}: {reason}
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

    /// Returns the kind of the failure.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}
