//! Transactions that write several rows at once.
//!
//! The table service accepts a few hundred writes per second, which is fewer
//! than the calls of a busy fleet, so the claims of a VM are written in batches.
//! The cost is that a conflict on one row delays the others by a round trip.

use std::{mem, sync};

use store::table;

use crate::config;

/// A transaction in flight.
#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub sent_at: ids::Time,
    pub keys: Vec<sync::Arc<str>>,
}

/// Splits `writes` into transactions of bounded size, in order.
pub(crate) fn split(writes: Vec<table::Write>) -> Vec<Vec<table::Write>> {
    let mut transactions = Vec::new();
    let mut transaction = Vec::new();
    let mut bytes = 0;
    for write in writes {
        let size = write.value.as_ref().map_or(0, |value| value.len());
        let is_full = transaction.len() >= config::MAX_TRANSACTION_WRITES
            || bytes + size > config::MAX_TRANSACTION_BYTES;
        if is_full && !transaction.is_empty() {
            transactions.push(mem::take(&mut transaction));
            bytes = 0;
        }
        bytes += size;
        transaction.push(write);
    }
    if !transaction.is_empty() {
        transactions.push(transaction);
    }
    transactions
}
