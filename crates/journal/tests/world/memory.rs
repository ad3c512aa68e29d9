//! In-memory table service.

use std::{collections, sync};

use journal::row;
use store::table;

/// Rows by key.
#[derive(Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<sync::Arc<str>, (ids::Version, sync::Arc<str>)>,
}

impl Table {
    fn row(&self, key: &sync::Arc<str>) -> Option<table::Row> {
        let (version, value) = self.rows.get(key)?.clone();
        let key = sync::Arc::clone(key);
        Some(table::Row { key, version, value })
    }

    /// Applies all writes, or none if one conflicts.
    pub fn write(&mut self, writes: &[table::Write]) -> table::Answer {
        let conflict = |write: &table::Write| {
            let row = self.row(&write.key);
            let is_expected = row.as_ref().map(|row| row.version) == write.expect;
            let key = sync::Arc::clone(&write.key);
            (!is_expected).then_some(table::Conflict { key, row })
        };
        let rows: Vec<_> = writes.iter().filter_map(conflict).collect();
        if !rows.is_empty() {
            return table::Answer::Conflict { rows };
        }
        for write in writes {
            let value = write.value.clone().expect("rows are never deleted");
            assert!(row::Row::parse(&value).is_some());
            let version = write.expect.unwrap_or_default().next();
            self.rows.insert(sync::Arc::clone(&write.key), (version, value));
        }
        table::Answer::Written
    }
}
