//! Result of a command: its exit code and its output.

use std::process;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded, or nothing is wrong.
    Success = 0,
    /// Refused, or faults were found.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The result is not known, or no VM could be reached.
    Unknown = 3,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Exit code and output of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Exit code.
    pub exit: Exit,
    /// Text for the standard output.
    pub text: String,
}

impl Outcome {
    /// Builds an outcome with `exit` and `text`, to which a final newline is added if it lacks one.
    #[must_use]
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        let mut text = text.into();
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        Self { exit, text }
    }

    /// Builds the outcome of a command that succeeded.
    #[must_use]
    pub fn ok(text: impl Into<String>) -> Self {
        Self::new(Exit::Success, text)
    }
}
