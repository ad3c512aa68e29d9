//! Recorded sessions: inputs and outputs of a node as text.
//!
//! The first line is `config JSON`. A line `@MILLIS JSON` is a step with one
//! input, `@MILLIS` alone a step with none. The lines `> JSON` below it are
//! its outputs. Empty lines and comments, which begin with `#`, are kept.

use std::fmt::Write as _;

use crate::{Config, Input, Node, Output};

/// Result of reading a session.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// session, line {line}: {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error {
    line: usize,
    reason: String,
}

impl std::error::Error for Error {}

impl Error {
    fn new(line: usize, reason: impl Into<String>) -> Self {
        Self { line: line + 1, reason: reason.into() }
    }

    /// Returns the number of the faulty line, from 1.
    #[must_use]
    pub const fn line(&self) -> usize {
        self.line
    }
}

/// Replays the inputs of a session and returns it with the resulting outputs.
///
/// The text is returned unchanged if the recorded outputs equal those of this
/// version.
///
/// # Errors
///
/// If a line cannot be parsed, or if an input precedes the line `config`.
///
/// # Examples
///
/// ```
/// let config = serde_json::to_string(&node::Config::new("vm-1", "north", 1)).unwrap();
/// let text = format!("config {config}\n@0\n");
/// let replayed = node::session::replay(&text).unwrap();
/// assert!(replayed.contains("> "));
/// assert_eq!(node::session::replay(&replayed).unwrap(), replayed);
/// ```
pub fn replay(text: &str) -> Result<String> {
    let mut node = None;
    let mut written = String::with_capacity(text.len());
    for (number, line) in text.lines().enumerate() {
        if line.starts_with("> ") {
            continue;
        }
        written.push_str(line);
        written.push('\n');
        if let Some(json) = line.strip_prefix("config ") {
            node = Some(Node::new(config(number, json)?));
        } else if let Some(rest) = line.strip_prefix('@') {
            let Some(node) = node.as_mut() else {
                return Err(Error::new(number, "a line `config JSON` must come first"));
            };
            write_outputs(number, step(number, node, rest)?, &mut written)?;
        } else if !line.is_empty() && !line.starts_with('#') {
            return Err(Error::new(
                number,
                "the line starts with none of `config`, `@`, `>` and `#`",
            ));
        }
    }
    Ok(written)
}

fn config(number: usize, json: &str) -> Result<Config> {
    serde_json::from_str(json).map_err(|cause| Error::new(number, cause.to_string()))
}

fn step(number: usize, node: &mut Node, rest: &str) -> Result<Vec<Output>> {
    let (millis, json) = rest.split_once(' ').unwrap_or((rest, ""));
    let millis = millis.parse::<u64>();
    let millis =
        millis.map_err(|cause| Error::new(number, format!("invalid time in ms: {cause}")))?;
    let mut outputs = Vec::new();
    node.step(ids::Time::from_millis(millis), input(number, json)?, &mut outputs);
    Ok(outputs)
}

fn input(number: usize, json: &str) -> Result<Option<Input>> {
    if json.is_empty() {
        return Ok(None);
    }
    let input = serde_json::from_str(json);
    input.map(Some).map_err(|cause| Error::new(number, cause.to_string()))
}

fn write_outputs(number: usize, outputs: Vec<Output>, written: &mut String) -> Result<()> {
    for output in outputs {
        let json = serde_json::to_string(&output);
        let json = json.map_err(|cause| Error::new(number, cause.to_string()))?;
        // Writing to a string cannot fail.
        let _ = writeln!(written, "> {json}");
    }
    Ok(())
}
