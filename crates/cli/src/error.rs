//! Errors of commands.

use std::fmt;

use crate::outcome;

/// Result of a command or of a step of it.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Class of an error, which decides the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The command was refused and has no effect.
    Refused,
    /// The command line, or a file that it names, can't be used.
    Usage,
    /// Whether the command took effect is not known, or no VM could be reached.
    Unknown,
}

impl Kind {
    /// Returns the exit code for this class.
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
    /// Builds an error at `step` with `peer`, such as a VM's address or a file.
    #[must_use]
    pub fn new(kind: Kind, step: &str, peer: &dyn fmt::Display, reason: &dyn fmt::Display) -> Self {
        Self { kind, step: step.to_owned(), peer: peer.to_string(), reason: reason.to_string() }
    }

    /// Returns the class of this error.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}
