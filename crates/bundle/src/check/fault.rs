//! Faults of a document.

use std::fmt;

/// One thing that is wrong, where, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Line, from 1; 0 if it is not known.
    pub line: u64,
    /// Column, from 1; 0 if it is not known.
    pub column: u64,
    /// The field, such as `accounts[2].rate`.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed; empty if the problem says it.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}, column {}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.problem)?;
        if !self.allowed.is_empty() {
            write!(f, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

/// A path as it is shown: names after dots, indices in brackets.
pub(super) fn shown(path: &[String]) -> String {
    let mut text = String::new();
    for part in path {
        if part.bytes().all(|byte| byte.is_ascii_digit()) {
            text.push('[');
            text.push_str(part);
            text.push(']');
            continue;
        }
        if !text.is_empty() {
            text.push('.');
        }
        text.push_str(part);
    }
    text
}
