//! The operators' command line, as a library.
//!
//! [`args`] defines the commands and their options, [`command`] implements
//! them, and [`client`] talks to the VMs' operator interface. Every command
//! ends with an [`Exit`] code for scripts:
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | done, or nothing is wrong |
//! | 1 | refused, or faults were found |
//! | 2 | the command line is wrong |
//! | 3 | not known, or no VM could be reached |
//!
//! ```
//! use clap::Parser as _;
//!
//! let line = cli::args::Line::try_parse_from(["primroseplank", "key", "withdraw", "mayors-1"]);
//! assert!(matches!(line.unwrap().command, cli::args::Command::Key { .. }));
//! ```

pub mod args;
pub mod client;
pub mod command;
pub mod credential;
pub mod error;
pub mod file;
pub mod outcome;

pub use error::{Error, Kind, Result};
pub use outcome::{Exit, Outcome};

/// Runs a parsed command line.
///
/// # Errors
///
/// [`Kind::Refused`] if the command was refused, [`Kind::Usage`] if it can't
/// be run as it was given, [`Kind::Unknown`] if its outcome is not known.
pub async fn run(line: args::Line) -> Result<Outcome> {
    command::run(line).await
}
