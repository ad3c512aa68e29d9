//! Failures of commands.

use std::fmt;

use crate::outcome;

/// Outcome of a command or of a step of it.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What a failure means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It was not done and will not be.
    Refused,
    /// The command line, or a file that it names, is of no use.
    Usage,
    /// Whether it was done is not known, or no VM could be reached.
    Unknown,
}

impl Kind {
    /// The exit code that tells scripts.
    #[must_use]
    pub const fn exit(self) -> outcome::Exit {
        match self {
            Self::Refused => outcome::Exit::Refused,
            Self::Usage => outcome::Exit::Usage,
            Self::Unknown => outcome::Exit::Unknown,
        }
    }
}

/// {step} ({peer}): {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error {
    kind: Kind,
    step: String,
    peer: String,
    reason: String,
}

impl std::error::Error for Error {}

impl Error {
    /// A failure at `step` with `peer`, a VM's address or a file.
    #[must_use]
    pub fn new(kind: Kind, step: &str, peer: &dyn fmt::Display, reason: &dyn fmt::Display) -> Self {
        Self { kind, step: step.to_owned(), peer: peer.to_string(), reason: reason.to_string() }
    }

    /// What it means.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}
