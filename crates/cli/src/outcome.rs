//! How a command ends.

use std::process;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done, or nothing is wrong.
    Success = 0,
    /// Refused, or faults were found.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Not known, or no VM could be reached.
    Unknown = 3,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// What a command has to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub exit: Exit,
    /// Text for the standard output.
    pub text: String,
}

impl Outcome {
    /// A command that ended with `exit` and has `text` to say.
    #[must_use]
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        let mut text = text.into();
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        Self { exit, text }
    }

    /// A command that was done.
    #[must_use]
    pub fn ok(text: impl Into<String>) -> Self {
        Self::new(Exit::Success, text)
    }
}
