//! Handling of the table service's responses.

use std::{collections, sync};

use store::table;

use crate::{entry, journal, output, row, transaction};

/// Consequence of an existing row for a claim that conflicts with it.
enum Verdict {
    /// The row is this claim, written by an earlier attempt.
    Own,
    /// The row is released and may be claimed again.
    Free,
    /// The row has the answer to replay.
    Answered(crate::Answer),
    /// The call must be refused.
    Refused(output::Reason),
}

impl journal::Journal {
    /// Clears a finished transaction from its entries. Returns the keys of those
    /// that still waited for it.
    pub(super) fn finish_transaction(
        &mut self,
        op: ids::Op,
        transaction: transaction::Transaction,
    ) -> Vec<sync::Arc<str>> {
        let mut keys = Vec::new();
        for key in transaction.keys {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if entry.op == Some(op) {
                entry.op = None;
                keys.push(key);
            }
        }
        keys
    }

    /// Handles a write that took effect.
    pub(super) fn handle_written(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let version = entry.written_version();
        match entry.phase {
            entry::Phase::Claiming => self.confirm_claim(key, version, out),
            entry::Phase::Running => {}
            entry::Phase::Settling(row::State::Released) => {
                self.finish(now, key, Some(version), true, out);
            }
            entry::Phase::Settling(_) => self.finish(now, key, None, true, out),
        }
    }

    /// Handles a transaction that was rejected because some rows had other
    /// versions than expected.
    pub(super) fn handle_conflict(
        &mut self,
        now: ids::Time,
        keys: &[sync::Arc<str>],
        rows: Vec<table::Conflict>,
        out: &mut Vec<output::Output>,
    ) {
        let mut rows: collections::BTreeMap<_, _> =
            rows.into_iter().map(|conflict| (conflict.key, conflict.row)).collect();
        let is_expected = |key: &&sync::Arc<str>| !rows.contains_key(*key);
        if keys.iter().all(|key| is_expected(&key)) {
            // No row of ours conflicts. An immediate retry could loop forever, so
            // the transaction is retried with a backoff.
            self.schedule_retry(now, keys, store::Kind::Unknown);
            return;
        }
        for key in keys.iter().filter(is_expected) {
            self.schedule(key, now);
        }
        for key in keys {
            if let Some(row) = rows.remove(key) {
                self.resolve_row(now, key, row.as_ref(), out);
            }
        }
        self.flush(now, out);
    }

    /// Continues an entry from the row that the conflict returned.
    fn resolve_row(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        row: Option<&table::Row>,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let Some(row) = row else {
            self.rebase(now, key, None);
            return;
        };
        let version = row.version;
        let claim = row::Row::parse(&row.value);
        match &entry.phase {
            entry::Phase::Claiming => {
                let verdict = claim.map(|claim| self.verdict(entry, claim));
                // The call of an unreadable claim may have run.
                let verdict = verdict.unwrap_or(Verdict::Refused(output::Reason::Unknown));
                self.apply_verdict(now, key, version, verdict, out);
            }
            entry::Phase::Running => {}
            entry::Phase::Settling(target) => {
                let own = claim.filter(|claim| claim.nonce == entry.nonce);
                match own.map(|own| own.state) {
                    Some(row::State::Claimed) => self.rebase(now, key, Some(version)),
                    Some(state) => {
                        let durable = state == *target;
                        let released_version = (state == row::State::Released).then_some(version);
                        self.finish(now, key, released_version, durable, out);
                    }
                    // Another claim has replaced this one. All writes of this one
                    // expect older versions and cannot take effect any more.
                    None => {
                        let durable = *target == row::State::Released;
                        self.finish(now, key, None, durable, out);
                    }
                }
            }
        }
    }

    /// Applies the consequence of a conflicting row to its claim.
    fn apply_verdict(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        version: ids::Version,
        verdict: Verdict,
        out: &mut Vec<output::Output>,
    ) {
        match verdict {
            Verdict::Own => self.confirm_claim(key, version, out),
            Verdict::Free => self.rebase(now, key, Some(version)),
            Verdict::Answered(answer) => self.replay(key, answer, out),
            Verdict::Refused(reason) => self.refuse_claim(key, reason, out),
        }
    }

    /// Determines the consequence of a conflicting row for a claim.
    fn verdict(&self, entry: &entry::Entry, row: row::Row) -> Verdict {
        match row.state {
            row::State::Released => Verdict::Free,
            row::State::Claimed if row.nonce == entry.nonce => Verdict::Own,
            _ if row.digest != entry.digest => Verdict::Refused(output::Reason::Conflict),
            row::State::Answered(answer) => Verdict::Answered(answer),
            row::State::Claimed if self.is_live(&row.vm, row.incarnation) => {
                Verdict::Refused(output::Reason::InProgress)
            }
            row::State::Claimed | row::State::Unknown => Verdict::Refused(output::Reason::Unknown),
        }
    }

    /// Returns whether the VM that holds a claim may still be running its call.
    fn is_live(&self, vm: &ids::Vm, incarnation: ids::Incarnation) -> bool {
        if *vm == self.config.vm {
            return incarnation == self.config.incarnation;
        }
        self.live_members.contains(&(vm.clone(), incarnation))
    }

    /// Marks a claim as written at `version`, so that its call may be sent.
    fn confirm_claim(
        &mut self,
        key: &sync::Arc<str>,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = entry::Phase::Running;
        entry.expected_version = Some(version);
        if let Some(deadline) = entry.deadline.take() {
            self.deadlines.remove(&(deadline, sync::Arc::clone(key)));
        }
        if let Some(call) = entry.call {
            out.push(output::Output::Send { call });
        }
    }

    /// Retries the write over another version of the row.
    fn rebase(&mut self, now: ids::Time, key: &sync::Arc<str>, version: Option<ids::Version>) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.expected_version = version;
        }
        self.schedule(key, now);
    }

    /// Removes an entry whose final state is written or can no longer be written.
    ///
    /// `released_version` is the row's version if the row is known to be released.
    /// `durable` is reported in [`output::Output::Stored`].
    fn finish(
        &mut self,
        now: ids::Time,
        key: &sync::Arc<str>,
        released_version: Option<ids::Version>,
        durable: bool,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.remove(key) else {
            return;
        };
        if let Some(call) = entry.call {
            match entry.phase {
                entry::Phase::Settling(row::State::Released) => {
                    out.push(output::Output::Released { call });
                }
                entry::Phase::Settling(row::State::Answered(_)) => {
                    out.push(output::Output::Stored { call, durable });
                }
                _ => {}
            }
        }
        if let Some(waiter) = entry.waiter {
            self.start_claim(now, key, &waiter.call, released_version, waiter.deadline);
        }
    }

    /// Refuses a call whose claim is not written and cannot be written later.
    fn refuse_claim(
        &mut self,
        key: &sync::Arc<str>,
        reason: output::Reason,
        out: &mut Vec<output::Output>,
    ) {
        let entry = self.remove(key);
        if let Some(call) = entry.and_then(|entry| entry.call) {
            journal::refuse(call, reason, out);
        }
    }

    fn replay(
        &mut self,
        key: &sync::Arc<str>,
        answer: crate::Answer,
        out: &mut Vec<output::Output>,
    ) {
        let entry = self.remove(key);
        if let Some(call) = entry.and_then(|entry| entry.call) {
            out.push(output::Output::Replay { call, answer });
        }
    }
}
