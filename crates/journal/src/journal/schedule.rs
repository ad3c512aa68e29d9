//! When rows are written, tried again and given up.

use std::{sync, time};

use rand::Rng as _;
use store::table;

use crate::{config, entry, group, journal, output, row};

/// Doublings of the backoff after which it stays the same.
const BACKOFF_DOUBLINGS: u32 = 10;

impl journal::Journal {
    /// Plans another try of writes that failed.
    pub(super) fn failed(&mut self, now: ids::Time, keys: &[sync::Arc<str>], kind: store::Kind) {
        for key in keys {
            let Some(entry) = self.entries.get_mut(key) else {
                continue;
            };
            entry.doubtful |= kind == store::Kind::Unknown;
            entry.failures = entry.failures.saturating_add(1);
            let failures = entry.failures;
            let wait = self.backoff(failures);
            self.schedule(key, now + wait);
        }
    }

    /// Full jitter over an exponentially growing wait.
    fn backoff(&mut self, failures: u32) -> time::Duration {
        let doublings = failures.saturating_sub(1).min(BACKOFF_DOUBLINGS);
        let longest = self.config.initial_backoff.saturating_mul(1 << doublings);
        let longest = longest.min(self.config.max_backoff);
        longest.mul_f64(self.random.random_range(0.0..=1.0))
    }

    /// Treats transactions without answer as of unknown outcome.
    pub(super) fn expire_groups(&mut self, now: ids::Time) {
        let limit = self.config.transaction_timeout;
        let late = |group: &group::Group| now.since(group.sent_at) >= limit;
        let ops: Vec<_> =
            self.groups.iter().filter(|(_, group)| late(group)).map(|(op, _)| *op).collect();
        for op in ops {
            let Some(group) = self.groups.remove(&op) else {
                continue;
            };
            let keys = self.close(op, group);
            self.failed(now, &keys, store::Kind::Unknown);
        }
    }

    /// Tells the calls whose time is up.
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
            self.calls.remove(&waiter.call.call);
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
            entry::Phase::Claim => {
                self.abandon(now, key);
                if let Some(call) = call {
                    journal::refuse(call, output::Reason::Unavailable, out);
                }
            }
            entry::Phase::Run => {}
            entry::Phase::Settle(_) => {
                entry.call = None;
                if let Some(call) = call {
                    self.calls.remove(&call);
                    out.push(output::Output::Stored { call, durable: false });
                }
            }
        }
    }

    /// Writes what is due if that fills a group.
    pub(super) fn flush_full(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        if self.due.len() >= config::MAX_TRANSACTION_WRITES {
            self.flush(now, out);
        }
    }

    /// Writes what is due, in groups.
    pub(super) fn flush(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let mut writes = Vec::new();
        while let Some((time, key)) = self.due.first().cloned() {
            if time > now {
                break;
            }
            self.due.pop_first();
            writes.extend(self.write(&key));
        }
        for writes in group::split(writes) {
            self.send(now, writes, out);
        }
    }

    /// The write that an entry needs next.
    fn write(&mut self, key: &sync::Arc<str>) -> Option<table::Write> {
        let entry = self.entries.get_mut(key)?;
        entry.due = None;
        let row = row::Row {
            account: entry.account.clone(),
            route: sync::Arc::clone(&entry.route),
            digest: entry.digest,
            vm: self.config.vm.clone(),
            incarnation: self.config.incarnation,
            nonce: sync::Arc::clone(&entry.nonce),
            state: entry.target(),
        };
        Some(table::Write {
            key: sync::Arc::clone(key),
            expect: entry.base,
            value: Some(row.to_json()),
        })
    }

    fn send(&mut self, now: ids::Time, writes: Vec<table::Write>, out: &mut Vec<output::Output>) {
        self.ops += 1;
        let op = ids::Op::new(journal::OP_AREA | self.ops);
        let keys: Vec<_> = writes.iter().map(|write| sync::Arc::clone(&write.key)).collect();
        for key in &keys {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.op = Some(op);
            }
        }
        self.groups.insert(op, group::Group { sent_at: now, keys });
        let request = table::Request::Write { writes };
        out.push(output::Output::Table { op, request });
    }

    /// Plans an entry's next write.
    pub(super) fn schedule(&mut self, key: &sync::Arc<str>, time: ids::Time) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let Some(due) = entry.due.replace(time) {
            self.due.remove(&(due, sync::Arc::clone(key)));
        }
        self.due.insert((time, sync::Arc::clone(key)));
    }
}
