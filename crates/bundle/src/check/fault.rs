//! Faults found in a document.

use std::fmt;

/// One fault: its position, the problem and what is allowed instead.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Line, from 1; 0 if unknown.
    pub line: u64,
    /// Column, from 1; 0 if unknown.
    pub column: u64,
    /// Path of the field, such as `accounts[2].rate`; empty for the whole document.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed; empty if `problem` says so already.
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

/// Formats a path, with names separated by dots and indices in brackets.
pub(super) fn format_path(path: &[String]) -> String {
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
