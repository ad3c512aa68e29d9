//! In-memory table service and object store, for stand-ins and tests.
//!
//! ```
//! use store::{memory, table};
//!
//! let mut store = memory::Table::default();
//! let write = table::Write { key: "head".into(), expect: None, value: Some("1".into()) };
//! let request = table::Request::Write { writes: vec![write] };
//! assert_eq!(store.answer(&request), table::Answer::Written);
//! // The row exists now, so the same insert conflicts.
//! assert!(matches!(store.answer(&request), table::Answer::Conflict { .. }));
//! ```

use std::{collections, ops, sync};

use crate::{object, table};

/// An in-memory table service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<sync::Arc<str>, table::Row>,
}

impl Table {
    /// Executes a request and returns its answer.
    pub fn answer(&mut self, request: &table::Request) -> table::Answer {
        match request {
            table::Request::Get { key } => table::Answer::Row(self.rows.get(key).cloned()),
            table::Request::Scan { prefix, after, limit } => {
                table::Answer::Rows(self.scan(prefix, after.as_deref(), *limit))
            }
            table::Request::Write { writes } => self.write(writes),
        }
    }

    /// Returns all rows in key order.
    pub fn rows(&self) -> impl Iterator<Item = &table::Row> {
        self.rows.values()
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Vec<table::Row> {
        let is_after = |row: &&table::Row| after.is_none_or(|after| &*row.key > after);
        self.rows
            .range::<str, _>((ops::Bound::Included(prefix), ops::Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .filter(is_after)
            .take(limit)
            .cloned()
            .collect()
    }

    fn write(&mut self, writes: &[table::Write]) -> table::Answer {
        let rows: Vec<_> = writes.iter().filter_map(|write| self.conflict(write)).collect();
        if !rows.is_empty() {
            return table::Answer::Conflict { rows };
        }
        for write in writes {
            self.apply(write);
        }
        table::Answer::Written
    }

    fn conflict(&self, write: &table::Write) -> Option<table::Conflict> {
        let row = self.rows.get(&write.key);
        if row.map(|row| row.version) == write.expect {
            return None;
        }
        Some(table::Conflict { key: sync::Arc::clone(&write.key), row: row.cloned() })
    }

    fn apply(&mut self, write: &table::Write) {
        let key = sync::Arc::clone(&write.key);
        let Some(value) = write.value.clone() else {
            self.rows.remove(&key);
            return;
        };
        let version = write.expect.unwrap_or_default().next();
        self.rows.insert(sync::Arc::clone(&key), table::Row { key, version, value });
    }
}

/// An in-memory object store.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    texts: collections::BTreeMap<ids::Digest, sync::Arc<str>>,
}

impl Objects {
    /// Executes a request and returns its answer.
    pub fn answer(&mut self, request: &object::Request) -> object::Answer {
        match request {
            object::Request::Get { digest } => {
                object::Answer::Object(self.texts.get(digest).cloned())
            }
            object::Request::Put { text } => {
                let digest = ids::Digest::of(text.as_bytes());
                self.texts.insert(digest, sync::Arc::clone(text));
                object::Answer::Stored
            }
        }
    }
}
