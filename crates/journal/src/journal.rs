//! State machine of the claims.

mod resolution;
mod schedule;

use std::{collections, sync};

use rand::SeedableRng as _;
use store::table;

use crate::{config, entry, output, row, transaction};

/// Highest byte of the journal's operation ids, distinct from those of other parts.
const OP_NAMESPACE: u64 = 2 << 56;

/// Number of hexadecimal digits of a nonce.
const NONCE_DIGITS: usize = 32;

/// A call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Call {
    /// Identifies the call in outputs and later inputs.
    pub call: ids::Call,
    /// The client account that makes the call.
    pub account: ids::Account,
    /// The route: service and path as in the bundle.
    pub route: sync::Arc<str>,
    /// The caller's idempotency key.
    pub key: sync::Arc<str>,
    /// Digest of the whole request.
    pub digest: ids::Digest,
}

/// Number of unfinished claims by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// Claims not yet known to be written.
    pub claiming: usize,
    /// Claimed calls that may be sent or were sent.
    pub running: usize,
    /// Claims whose final state is not yet known to be written.
    pub settling: usize,
    /// Transactions in flight.
    pub transactions: usize,
}

/// The unfinished claims of a VM.
#[derive(Debug)]
pub struct Journal {
    config: config::Config,
    rng: rand::rngs::SmallRng,
    nonce_count: u64,
    op_count: u64,
    live_members: collections::BTreeSet<(ids::Vm, ids::Incarnation)>,
    entries: collections::BTreeMap<sync::Arc<str>, entry::Entry>,
    keys_by_call: collections::BTreeMap<ids::Call, sync::Arc<str>>,
    write_queue: collections::BTreeSet<(ids::Time, sync::Arc<str>)>,
    deadlines: collections::BTreeSet<(ids::Time, sync::Arc<str>)>,
    transactions: collections::BTreeMap<ids::Op, transaction::Transaction>,
}

impl Journal {
    /// Creates a journal without claims.
    #[must_use]
    pub fn new(config: config::Config) -> Self {
        Self {
            rng: rand::rngs::SmallRng::seed_from_u64(config.seed),
            config,
            nonce_count: 0,
            op_count: 0,
            live_members: collections::BTreeSet::new(),
            entries: collections::BTreeMap::new(),
            keys_by_call: collections::BTreeMap::new(),
            write_queue: collections::BTreeSet::new(),
            deadlines: collections::BTreeSet::new(),
            transactions: collections::BTreeMap::new(),
        }
    }

    /// Sets the live members. Calls claimed by other incarnations are no longer
    /// running.
    pub fn set_members(&mut self, members: &[(ids::Vm, ids::Incarnation)]) {
        self.live_members = members.iter().cloned().collect();
    }

    /// Counts the unfinished claims.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut summary = Summary { transactions: self.transactions.len(), ..Summary::default() };
        for entry in self.entries.values() {
            match entry.phase {
                entry::Phase::Claiming => summary.claiming += 1,
                entry::Phase::Running => summary.running += 1,
                entry::Phase::Settling(_) => summary.settling += 1,
            }
        }
        summary
    }

    /// Requests the claim of a call.
    ///
    /// [`output::Output::Send`], [`output::Output::Replay`] or [`output::Output::Refuse`] follows, now
    /// or later, unless [`Journal::release`] is called first.
    pub fn begin(&mut self, now: ids::Time, call: Call, out: &mut Vec<output::Output>) {
        let key = row::key(&call.account, &call.route, &call.key);
        if self.entries.contains_key(&key) {
            self.handle_duplicate(now, &key, call, out);
            return;
        }
        if self.entries.len() >= self.config.max_claims {
            refuse(call.call, output::Reason::Unavailable, out);
            return;
        }
        let deadline = now + self.config.claim_timeout;
        self.start_claim(now, &key, &call, None, deadline);
        self.flush_if_full(now, out);
    }

    /// Releases the claim of a call of which nothing was sent, or which its
    /// target provably refused.
    ///
    /// The call must not be sent afterwards. If called before
    /// [`output::Output::Send`], the caller has disconnected.
    pub fn release(&mut self, now: ids::Time, call: ids::Call, out: &mut Vec<output::Output>) {
        let Some(key) = self.keys_by_call.get(&call).map(sync::Arc::clone) else {
            return;
        };
        if self.remove_waiter(call, &key) {
            out.push(output::Output::Released { call });
            return;
        }
        match self.entries[&key].phase {
            entry::Phase::Claiming => {
                self.abandon(now, &key);
                out.push(output::Output::Released { call });
            }
            entry::Phase::Running => self.settle(now, &key, row::State::Released, None),
            entry::Phase::Settling(_) => {}
        }
        self.flush_if_full(now, out);
    }

    /// Stores the answer of a call that was sent, for later calls with the same
    /// idempotency key.
    pub fn store_answer(
        &mut self,
        now: ids::Time,
        call: ids::Call,
        answer: crate::Answer,
        out: &mut Vec<output::Output>,
    ) {
        let Some(key) = self.running_key(call) else {
            return;
        };
        let deadline = now + self.config.store_timeout;
        self.settle(now, &key, row::State::Answered(answer), Some(deadline));
        self.flush_if_full(now, out);
    }

    /// Records that a call was sent and its answer will never be known.
    pub fn mark_lost(&mut self, now: ids::Time, call: ids::Call, out: &mut Vec<output::Output>) {
        let Some(key) = self.running_key(call) else {
            return;
        };
        self.settle(now, &key, row::State::Unknown, None);
        self.flush_if_full(now, out);
    }

    /// Handles a response of the table service. Responses to unknown operations
    /// are ignored.
    pub fn handle_table_answer(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: store::Result<table::Answer>,
        out: &mut Vec<output::Output>,
    ) {
        // After a pause of this process, the deadline of a claim may have passed
        // before the response is handled.
        self.expire_entries(now, out);
        let Some(transaction) = self.transactions.remove(&op) else {
            return;
        };
        let keys = self.finish_transaction(op, transaction);
        match result {
            Ok(table::Answer::Written) => {
                for key in &keys {
                    self.handle_written(now, key, out);
                }
            }
            Ok(table::Answer::Conflict { rows }) => self.handle_conflict(now, &keys, rows, out),
            Ok(_) => self.schedule_retry(now, &keys, store::Kind::Unknown),
            Err(fault) => self.schedule_retry(now, &keys, fault.kind),
        }
    }

    /// Advances time: sends the writes that are due and expires transactions
    /// and calls past their deadlines.
    pub fn tick(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.expire_transactions(now);
        self.expire_entries(now, out);
        self.flush(now, out);
    }

    /// Creates an entry for a claim and schedules its write for now.
    fn start_claim(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        call: &Call,
        expected_version: Option<ids::Version>,
        deadline: ids::Time,
    ) {
        let nonce = self.next_nonce();
        self.keys_by_call.insert(call.call, sync::Arc::clone(key));
        self.deadlines.insert((deadline, sync::Arc::clone(key)));
        let entry = entry::Entry::new(call, nonce, expected_version, deadline);
        self.entries.insert(sync::Arc::clone(key), entry);
        self.schedule(key, now);
    }

    /// Handles a call whose row already has an entry on this VM.
    fn handle_duplicate(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        call: Call,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let is_released = matches!(entry.phase, entry::Phase::Settling(row::State::Released));
        if is_released && entry.waiter.is_none() {
            let deadline = now + self.config.claim_timeout;
            self.keys_by_call.insert(call.call, sync::Arc::clone(key));
            self.deadlines.insert((deadline, sync::Arc::clone(key)));
            entry.waiter = Some(entry::Waiter { call, deadline });
            return;
        }
        if !is_released && entry.digest != call.digest {
            refuse(call.call, output::Reason::Conflict, out);
            return;
        }
        match &entry.phase {
            entry::Phase::Settling(row::State::Answered(answer)) => {
                out.push(output::Output::Replay { call: call.call, answer: answer.clone() });
            }
            entry::Phase::Settling(row::State::Unknown) => {
                refuse(call.call, output::Reason::Unknown, out);
            }
            _ => refuse(call.call, output::Reason::InProgress, out),
        }
    }

    /// Starts writing the final state of a claim.
    fn settle(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        state: row::State,
        deadline: Option<ids::Time>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = entry::Phase::Settling(state);
        entry.failures = 0;
        entry.deadline = deadline;
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, sync::Arc::clone(key)));
        }
        self.schedule(key, now);
    }

    /// Abandons a claim whose call was not sent.
    fn abandon(&mut self, now: ids::Time, key: &sync::Arc<str>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.op.is_none() && !entry.may_be_written {
            self.remove(key);
            return;
        }
        // A write of the claim may have taken effect, or may do so later. Writing
        // the release raises the row's version, which invalidates that write.
        entry.op = None;
        let deadline = entry.deadline.take();
        let call = entry.call.take();
        if let Some(deadline) = deadline {
            self.deadlines.remove(&(deadline, sync::Arc::clone(key)));
        }
        if let Some(call) = call {
            self.keys_by_call.remove(&call);
        }
        self.settle(now, key, row::State::Released, None);
    }

    /// Returns the row key of a call that may be sent or was sent.
    fn running_key(&self, call: ids::Call) -> Option<sync::Arc<str>> {
        let key = self.keys_by_call.get(&call)?;
        let entry = self.entries.get(key)?;
        let is_running = entry.call == Some(call) && matches!(entry.phase, entry::Phase::Running);
        is_running.then(|| sync::Arc::clone(key))
    }

    /// Removes a call that waits for a row. Returns whether it was waiting.
    fn remove_waiter(&mut self, call: ids::Call, key: &sync::Arc<str>) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let waiter = entry.waiter.take_if(|waiter| waiter.call.call == call);
        if waiter.is_some() {
            self.keys_by_call.remove(&call);
        }
        waiter.is_some()
    }

    /// Removes an entry together with its queue and index records.
    fn remove(&mut self, key: &sync::Arc<str>) -> Option<entry::Entry> {
        let entry = self.entries.remove(key)?;
        if let Some(write_at) = entry.write_at {
            self.write_queue.remove(&(write_at, sync::Arc::clone(key)));
        }
        if let Some(deadline) = entry.deadline {
            self.deadlines.remove(&(deadline, sync::Arc::clone(key)));
        }
        if let Some(call) = entry.call {
            self.keys_by_call.remove(&call);
        }
        Some(entry)
    }

    /// Returns a nonce that no other claim has on any VM.
    fn next_nonce(&mut self) -> sync::Arc<str> {
        self.nonce_count += 1;
        let numbers = [self.config.incarnation.get(), self.config.seed, self.nonce_count];
        let numbers = numbers.map(|number| number.to_string());
        let parts = [self.config.vm.as_str(), &numbers[0], &numbers[1], &numbers[2]];
        let digest = ids::Digest::of(&row::length_prefixed(&parts)).to_string();
        digest[..NONCE_DIGITS].into()
    }
}

fn refuse(call: ids::Call, reason: output::Reason, out: &mut Vec<output::Output>) {
    out.push(output::Output::Refuse { call, reason });
}
