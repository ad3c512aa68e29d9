//! Scheduling of writes, retries and timeouts.

use std::{sync, time};

use rand::Rng as _;
use store::table;

use crate::{config, entry, journal, output, row, transaction};

/// Maximum number of times the retry delay is doubled.
const BACKOFF_DOUBLINGS: u32 = 10;

impl journal::Journal {
    /// Schedules retries of failed writes.
    pub(super) fn schedule_retry(
        &mut self,
        now: ids::Time,
        keys: &[sync::Arc<str>],
        kind: store::Kind,
    ) {
        for key in keys {
            let Some(entry) = self.entries.get_mut(key) else {
                continue;
            };
            entry.may_be_written |= kind == store::Kind::Unknown;
            entry.failures = entry.failures.saturating_add(1);
            let failures = entry.failures;
            let delay = self.backoff(failures);
            self.schedule(key, now + delay);
        }
    }

    /// Returns an exponential retry delay with full jitter.
    fn backoff(&mut self, failures: u32) -> time::Duration {
        let doublings = failures.saturating_sub(1).min(BACKOFF_DOUBLINGS);
        let max_delay = self.config.initial_backoff.saturating_mul(1 << doublings);
        let max_delay = max_delay.min(self.config.max_backoff);
        max_delay.mul_f64(self.rng.random_range(0.0..=1.0))
    }

    /// Fails transactions past their timeout with an unknown outcome.
    pub(super) fn expire_transactions(&mut self, now: ids::Time) {
        let limit = self.config.transaction_timeout;
        let is_expired =
            |transaction: &transaction::Transaction| now.since(transaction.sent_at) >= limit;
        let ops: Vec<_> = self
            .transactions
            .iter()
            .filter(|(_, transaction)| is_expired(transaction))
            .map(|(op, _)| *op)
            .collect();
        for op in ops {
            let Some(transaction) = self.transactions.remove(&op) else {
                continue;
            };
            let keys = self.finish_transaction(op, transaction);
            self.schedule_retry(now, &keys, store::Kind::Unknown);
        }
    }

    /// Reports the outcome of calls past their deadline.
    pub(super) fn expire_entries(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        while let Some((time, key)) = self.deadlines.first().cloned() {
            if time > now {
                return;
            }
            self.deadlines.pop_first();
            self.expire_waiter(now, &key, out);
            self.expire_entry(now, &key, out);
        }
    }

    fn expire_waiter(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let Some(waiter) = entry.waiter.take_if(|waiter| waiter.deadline <= now) {
            self.keys_by_call.remove(&waiter.call.call);
            journal::refuse(waiter.call.call, output::Reason::Unavailable, out);
        }
    }

    fn expire_entry(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.deadline.take_if(|deadline| *deadline <= now).is_none() {
            return;
        }
        let call = entry.call;
        match entry.phase {
            entry::Phase::Claiming => {
                self.abandon(now, key);
                if let Some(call) = call {
                    journal::refuse(call, output::Reason::Unavailable, out);
                }
            }
            entry::Phase::Running => {}
            entry::Phase::Settling(_) => {
                entry.call = None;
                if let Some(call) = call {
                    self.keys_by_call.remove(&call);
                    out.push(output::Output::Stored { call, durable: false });
                }
            }
        }
    }

    /// Sends the writes that are due if they fill a transaction.
    pub(super) fn flush_if_full(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        if self.write_queue.len() >= config::MAX_TRANSACTION_WRITES {
            self.flush(now, out);
        }
    }

    /// Sends the writes that are due, split into transactions.
    pub(super) fn flush(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let mut writes = Vec::new();
        while let Some((time, key)) = self.write_queue.first().cloned() {
            if time > now {
                break;
            }
            self.write_queue.pop_first();
            writes.extend(self.next_write(&key));
        }
        for writes in transaction::split(writes) {
            self.send(now, writes, out);
        }
    }

    /// Returns the next write of an entry.
    fn next_write(&mut self, key: &sync::Arc<str>) -> Option<table::Write> {
        let entry = self.entries.get_mut(key)?;
        entry.write_at = None;
        let row = row::Row {
            account: entry.account.clone(),
            route: sync::Arc::clone(&entry.route),
            digest: entry.digest,
            vm: self.config.vm.clone(),
            incarnation: self.config.incarnation,
            nonce: sync::Arc::clone(&entry.nonce),
            state: entry.next_state(),
        };
        Some(table::Write {
            key: sync::Arc::clone(key),
            expect: entry.expected_version,
            value: Some(row.to_json()),
        })
    }

    fn send(&mut self, now: ids::Time, writes: Vec<table::Write>, out: &mut Vec<output::Output>) {
        self.op_count += 1;
        let op = ids::Op::new(journal::OP_NAMESPACE | self.op_count);
        let keys: Vec<_> = writes.iter().map(|write| sync::Arc::clone(&write.key)).collect();
        for key in &keys {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.op = Some(op);
            }
        }
        self.transactions.insert(op, transaction::Transaction { sent_at: now, keys });
        let request = table::Request::Write { writes };
        out.push(output::Output::Table { op, request });
    }

    /// Schedules an entry's next write.
    pub(super) fn schedule(&mut self, key: &sync::Arc<str>, time: ids::Time) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let Some(write_at) = entry.write_at.replace(time) {
            self.write_queue.remove(&(write_at, sync::Arc::clone(key)));
        }
        self.write_queue.insert((time, sync::Arc::clone(key)));
    }
}
