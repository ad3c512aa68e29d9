//! The transactional table service.
//!
//! Rows map string keys to string values. The version of a row is 1 on insertion
//! and increases by one with each change. Over HTTP a [`Request`] is the JSON
//! body of `POST /table` and an [`Answer`] that of its response with status
//! 200. Status 503 means that the request was refused without effect.

use std::sync;

/// A row with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: sync::Arc<str>,
    /// Number of times the row was written.
    pub version: ids::Version,
    /// The row's value.
    pub value: sync::Arc<str>,
}

/// A conditional write within a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: sync::Arc<str>,
    /// The version that the row must have; `None` if the row must not exist.
    pub expect: Option<ids::Version>,
    /// The row's new value; `None` deletes the row.
    pub value: Option<sync::Arc<str>>,
}

/// A request to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Reads one row.
    Get {
        /// The row's key.
        key: sync::Arc<str>,
    },
    /// Reads rows in key order.
    Scan {
        /// Prefix of the keys to read.
        prefix: sync::Arc<str>,
        /// Exclusive lower bound of the keys; `None` for no bound.
        after: Option<sync::Arc<str>>,
        /// Maximum number of rows to return.
        limit: usize,
    },
    /// Applies all writes atomically, or none.
    Write {
        /// The writes, at most one per key.
        writes: Vec<Write>,
    },
}

/// An answer of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The row, or `None` if it does not exist.
    Row(Option<Row>),
    /// The rows in key order.
    Rows(Vec<Row>),
    /// All writes were applied.
    Written,
    /// No write was applied, because some rows had other versions than expected.
    Conflict {
        /// The conflicting rows, as they are now.
        rows: Vec<Conflict>,
    },
}

/// A row whose version differs from the one that a transaction expected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Conflict {
    /// The row's key.
    pub key: sync::Arc<str>,
    /// The current row; `None` if it does not exist.
    pub row: Option<Row>,
}
