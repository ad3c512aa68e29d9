//! Groups: writes of several rows in one transaction.
//!
//! The table service takes a few hundred writes a second, which is less than
//! the calls of a busy fleet, so the claims of a VM travel together. The price
//! is that a conflict on one row holds the others up for one more round trip.

use std::{mem, sync};

use store::table;

use crate::config;

/// One transaction in flight.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub sent_at: ids::Time,
    pub keys: Vec<sync::Arc<str>>,
}

/// Splits `writes` into transactions of bounded size, in order.
pub(crate) fn split(writes: Vec<table::Write>) -> Vec<Vec<table::Write>> {
    let mut groups = Vec::new();
    let mut group = Vec::new();
    let mut bytes = 0;
    for write in writes {
        let size = write.value.as_ref().map_or(0, |value| value.len());
        let full = group.len() >= config::MAX_TRANSACTION_WRITES
            || bytes + size > config::MAX_TRANSACTION_BYTES;
        if full && !group.is_empty() {
            groups.push(mem::take(&mut group));
            bytes = 0;
        }
        bytes += size;
        group.push(write);
    }
    if !group.is_empty() {
        groups.push(group);
    }
    groups
}
