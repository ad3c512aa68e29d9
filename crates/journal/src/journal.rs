//! The state machine.

mod resolution;
mod schedule;

use std::{collections, sync};

use rand::SeedableRng as _;
use store::table;

use crate::{config, entry, group, output, row};

/// Area of the journal's operations, in their highest byte.
const OP_AREA: u64 = 2 << 56;

/// Random digits of a nonce are cut to this length.
const NONCE_DIGITS: usize = 32;

/// A call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Call {
    /// The call.
    pub call: ids::Call,
    /// Its account.
    pub account: ids::Account,
    /// Its route: service and path as the bundle has them.
    pub route: sync::Arc<str>,
    /// Its idempotency key.
    pub key: sync::Arc<str>,
    /// Digest of the whole request.
    pub digest: ids::Digest,
}

/// How many claims a journal works on, by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// Claims to be written.
    pub claiming: usize,
    /// Calls being run.
    pub running: usize,
    /// Ends of calls to be written.
    pub settling: usize,
    /// Transactions in flight.
    pub transactions: usize,
}

/// The claims that a VM works on.
#[derive(Debug)]
pub struct Journal {
    config: config::Config,
    random: rand::rngs::SmallRng,
    nonces: u64,
    ops: u64,
    live: collections::BTreeSet<(ids::Vm, ids::Incarnation)>,
    entries: collections::BTreeMap<sync::Arc<str>, entry::Entry>,
    calls: collections::BTreeMap<ids::Call, sync::Arc<str>>,
    due: collections::BTreeSet<(ids::Time, sync::Arc<str>)>,
    deadlines: collections::BTreeSet<(ids::Time, sync::Arc<str>)>,
    groups: collections::BTreeMap<ids::Op, group::Group>,
}

impl Journal {
    /// A journal without claims.
    #[must_use]
    pub fn new(config: config::Config) -> Self {
        Self {
            random: rand::rngs::SmallRng::seed_from_u64(config.seed),
            config,
            nonces: 0,
            ops: 0,
            live: collections::BTreeSet::new(),
            entries: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            due: collections::BTreeSet::new(),
            deadlines: collections::BTreeSet::new(),
            groups: collections::BTreeMap::new(),
        }
    }

    /// Takes the list of members, whose claims may still be running.
    pub fn set_members(&mut self, members: &[(ids::Vm, ids::Incarnation)]) {
        self.live = members.iter().cloned().collect();
    }

    /// How many claims are worked on.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut summary = Summary { transactions: self.groups.len(), ..Summary::default() };
        for entry in self.entries.values() {
            match entry.phase {
                entry::Phase::Claim => summary.claiming += 1,
                entry::Phase::Run => summary.running += 1,
                entry::Phase::Settle(_) => summary.settling += 1,
            }
        }
        summary
    }

    /// Asks for the claim of a call.
    ///
    /// [`output::Output::Send`], [`output::Output::Replay`] or [`output::Output::Refuse`] follows, now
    /// or later, unless [`Journal::release`] comes first.
    pub fn begin(&mut self, now: ids::Time, call: Call, out: &mut Vec<output::Output>) {
        let key = row::key(&call.account, &call.route, &call.key);
        if self.entries.contains_key(&key) {
            self.join(now, &key, call, out);
            return;
        }
        if self.entries.len() >= self.config.max_claims {
            refuse(call.call, output::Reason::Unavailable, out);
            return;
        }
        let deadline = now + self.config.claim_timeout;
        self.open(now, &key, &call, None, deadline);
        self.flush_full(now, out);
    }

    /// Takes that nothing of a call was sent, or that its target has proved
    /// that it refused. The claim is given back.
    ///
    /// After this the call must not be sent. Before [`output::Output::Send`] it means
    /// that the caller has gone.
    pub fn release(&mut self, now: ids::Time, call: ids::Call, out: &mut Vec<output::Output>) {
        let Some(key) = self.calls.get(&call).map(sync::Arc::clone) else {
            return;
        };
        if self.drop_waiter(call, &key) {
            out.push(output::Output::Released { call });
            return;
        }
        match self.entries[&key].phase {
            entry::Phase::Claim => {
                self.abandon(now, &key);
                out.push(output::Output::Released { call });
            }
            entry::Phase::Run => self.settle(now, &key, row::State::Released, None),
            entry::Phase::Settle(_) => {}
        }
        self.flush_full(now, out);
    }

    /// Takes the answer of a call that was sent, to be stored for later calls
    /// with the same idempotency key.
    pub fn store_answer(
        &mut self,
        now: ids::Time,
        call: ids::Call,
        answer: crate::Answer,
        out: &mut Vec<output::Output>,
    ) {
        let Some(key) = self.running(call) else {
            return;
        };
        let deadline = now + self.config.store_timeout;
        self.settle(now, &key, row::State::Answered(answer), Some(deadline));
        self.flush_full(now, out);
    }

    /// Takes that a call was sent and its answer will never be known.
    pub fn mark_lost(&mut self, now: ids::Time, call: ids::Call, out: &mut Vec<output::Output>) {
        let Some(key) = self.running(call) else {
            return;
        };
        self.settle(now, &key, row::State::Unknown, None);
        self.flush_full(now, out);
    }

    /// Takes an answer of the table service; answers to unknown operations are
    /// without effect.
    pub fn handle_table_answer(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: store::Result<table::Answer>,
        out: &mut Vec<output::Output>,
    ) {
        // After a pause of this process the time of a claim may have run out
        // before its answer is looked at.
        self.expire_entries(now, out);
        let Some(group) = self.groups.remove(&op) else {
            return;
        };
        let keys = self.close(op, group);
        match result {
            Ok(table::Answer::Written) => {
                for key in &keys {
                    self.written(now, key, out);
                }
            }
            Ok(table::Answer::Conflict { rows }) => self.conflict(now, &keys, rows, out),
            Ok(_) => self.failed(now, &keys, store::Kind::Unknown),
            Err(fault) => self.failed(now, &keys, fault.kind),
        }
    }

    /// Takes the passing of time: writes what is due and gives up on what
    /// took too long.
    pub fn tick(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.expire_groups(now);
        self.expire_entries(now, out);
        self.flush(now, out);
    }

    /// Enters a claim that is to be written at once.
    fn open(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        call: &Call,
        base: Option<ids::Version>,
        deadline: ids::Time,
    ) {
        let nonce = self.nonce();
        self.calls.insert(call.call, sync::Arc::clone(key));
        self.deadlines.insert((deadline, sync::Arc::clone(key)));
        let entry = entry::Entry::new(call, nonce, base, deadline);
        self.entries.insert(sync::Arc::clone(key), entry);
        self.schedule(key, now);
    }

    /// Decides on a call whose row this VM already works on.
    fn join(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        call: Call,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let given_back = matches!(entry.phase, entry::Phase::Settle(row::State::Released));
        if given_back && entry.waiter.is_none() {
            let deadline = now + self.config.claim_timeout;
            self.calls.insert(call.call, sync::Arc::clone(key));
            self.deadlines.insert((deadline, sync::Arc::clone(key)));
            entry.waiter = Some(entry::Waiter { call, deadline });
            return;
        }
        if !given_back && entry.digest != call.digest {
            refuse(call.call, output::Reason::Conflict, out);
            return;
        }
        match &entry.phase {
            entry::Phase::Settle(row::State::Answered(answer)) => {
                out.push(output::Output::Replay { call: call.call, answer: answer.clone() });
            }
            entry::Phase::Settle(row::State::Unknown) => {
                refuse(call.call, output::Reason::Unknown, out);
            }
            _ => refuse(call.call, output::Reason::InProgress, out),
        }
    }

    /// Begins to write the end of a call.
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
        entry.phase = entry::Phase::Settle(state);
        entry.failures = 0;
        entry.deadline = deadline;
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, sync::Arc::clone(key)));
        }
        self.schedule(key, now);
    }

    /// Gives up a claim of which nothing was sent.
    fn abandon(&mut self, now: ids::Time, key: &sync::Arc<str>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.op.is_none() && !entry.doubtful {
            self.remove(key);
            return;
        }
        // A write of the claim may have taken effect, or still will. A later
        // row version keeps it out, so the claim is given back like any other.
        entry.op = None;
        let deadline = entry.deadline.take();
        let call = entry.call.take();
        if let Some(deadline) = deadline {
            self.deadlines.remove(&(deadline, sync::Arc::clone(key)));
        }
        if let Some(call) = call {
            self.calls.remove(&call);
        }
        self.settle(now, key, row::State::Released, None);
    }

    /// The row of a call that is being run.
    fn running(&self, call: ids::Call) -> Option<sync::Arc<str>> {
        let key = self.calls.get(&call)?;
        let entry = self.entries.get(key)?;
        let running = entry.call == Some(call) && matches!(entry.phase, entry::Phase::Run);
        running.then(|| sync::Arc::clone(key))
    }

    /// Drops a call that waits for a row; whether it did wait.
    fn drop_waiter(&mut self, call: ids::Call, key: &sync::Arc<str>) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        let waited = entry.waiter.take_if(|waiter| waiter.call.call == call);
        if waited.is_some() {
            self.calls.remove(&call);
        }
        waited.is_some()
    }

    /// Forgets an entry.
    fn remove(&mut self, key: &sync::Arc<str>) -> Option<entry::Entry> {
        let entry = self.entries.remove(key)?;
        if let Some(due) = entry.due {
            self.due.remove(&(due, sync::Arc::clone(key)));
        }
        if let Some(deadline) = entry.deadline {
            self.deadlines.remove(&(deadline, sync::Arc::clone(key)));
        }
        if let Some(call) = entry.call {
            self.calls.remove(&call);
        }
        Some(entry)
    }

    /// A text that no other claim has, on whatever VM.
    fn nonce(&mut self) -> sync::Arc<str> {
        self.nonces += 1;
        let numbers = [self.config.incarnation.get(), self.config.seed, self.nonces];
        let numbers = numbers.map(|number| number.to_string());
        let parts = [self.config.vm.as_str(), &numbers[0], &numbers[1], &numbers[2]];
        let digest = ids::Digest::of(&row::framed(&parts)).to_string();
        digest[..NONCE_DIGITS].into()
    }
}

fn refuse(call: ids::Call, reason: output::Reason, out: &mut Vec<output::Output>) {
    out.push(output::Output::Refuse { call, reason });
}
