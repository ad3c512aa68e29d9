//! Borrowing and lending.

use std::collections;

use super::{Entry, Hint, Table};
use crate::{lease, message, output, share};

/// How often the interval between questions to a home that has nothing is
/// doubled.
const DOUBLINGS_MAX: u32 = 5;

impl Table {
    /// Takes a message of another VM. A VM that does not serve lends nothing,
    /// so `serving` is to be found out at this moment.
    pub fn on_message(
        &mut self,
        now: ids::Time,
        serving: bool,
        from: &ids::Vm,
        incarnation: ids::Incarnation,
        message: message::Message,
        out: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Borrow { account, lease_id, amount } => {
                let borrower = share::Member { vm: from.clone(), incarnation };
                if serving {
                    self.lend(now, &account, (borrower, lease_id), amount, out);
                }
            }
            message::Message::Lend { account, lease_id, amount, left } => {
                self.receive(now, &account, from, (lease_id, amount, left));
                self.serve(now, &account, out);
                self.borrow(now, &account, out);
            }
            message::Message::Report { account, leases } => {
                let borrower = share::Member { vm: from.clone(), incarnation };
                self.take_report(now, &account, &borrower, &leases);
                self.serve(now, &account, out);
            }
        }
    }

    /// Lends what is there, unless own calls wait for it.
    fn lend(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        key: (share::Member, u64),
        requested: u64,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        if entry.lends.contains_key(&key) {
            return;
        }
        entry.bucket.refill(now);
        let free = entry.pending.is_empty();
        let amount = entry.bucket.lend(if free { requested } else { 0 });
        let left = if free { entry.bucket.balance() } else { 0 };
        let to = key.0.vm.clone();
        let message =
            message::Message::Lend { account: account.clone(), lease_id: key.1, amount, left };
        if amount > 0 {
            let lease_duration = self.config.lease_duration + self.config.clock_margin;
            let lend = lease::Lend::new(amount, now, lease_duration, self.config.refund_window);
            entry.lends.insert(key, lend);
        }
        out.push(output::Output::Peer { to, message });
    }

    fn receive(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        from: &ids::Vm,
        (lease_id, amount, left): (u64, u64, u64),
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        let Some(ask) = entry.asks.remove(&lease_id).filter(|ask| ask.to == *from) else {
            return;
        };
        let known = entry.hints.get(from).map_or(0, |hint| hint.refusals);
        let hint = Hint { left, time: now, refusals: if amount == 0 { known + 1 } else { 0 } };
        entry.hints.insert(from.clone(), hint);
        entry.bucket.refill(now);
        let expires = ask.sent + self.config.lease_duration;
        if amount > 0 {
            let lease = lease::Lease::new(from.clone(), amount, expires);
            entry.leases.insert(lease_id, lease);
        }
    }

    fn take_report(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        borrower: &share::Member,
        leases: &[message::State],
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        entry.bucket.refill(now);
        for state in leases {
            let key = (borrower.clone(), state.lease_id);
            if let Some(lend) = entry.lends.get_mut(&key) {
                lend.report(now, state, &mut entry.bucket);
            }
        }
    }

    /// Asks other homes for what the waiting calls lack.
    pub(super) fn borrow(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        if entry.pending.is_empty() || now < entry.next_ask {
            return;
        }
        let wants = entry.wants(now, &self.config);
        if !wants.is_empty() {
            entry.next_ask = now + self.config.borrow_interval;
        }
        for (to, amount) in wants {
            self.last_number += 1;
            let lease_id = self.last_number;
            let ask = lease::Ask { to: to.clone(), sent: now };
            entry.asks.insert(lease_id, ask);
            let message = message::Message::Borrow { account: account.clone(), lease_id, amount };
            out.push(output::Output::Peer { to, message });
        }
    }

    /// Tells lenders what has become of their tokens.
    pub(super) fn report(&mut self, out: &mut Vec<output::Output>) {
        for (account, entry) in &mut self.entries {
            let mut reports = collections::BTreeMap::<_, Vec<_>>::new();
            for (lease_id, lease) in &mut entry.leases {
                if std::mem::take(&mut lease.changed) {
                    let states = reports.entry(lease.lender.clone()).or_default();
                    states.push(lease.state(*lease_id));
                }
            }
            for (to, leases) in reports {
                let account = account.clone();
                let message = message::Message::Report { account, leases };
                out.push(output::Output::Peer { to, message });
            }
        }
    }
}

impl Entry {
    /// How much to ask of whom: what is missing and what calls of the next
    /// half of a lease will need, divided by what the homes seem to have.
    fn wants(&mut self, now: ids::Time, config: &crate::Config) -> Vec<(ids::Vm, u64)> {
        let need: u64 = self.pending.iter().map(|pending| pending.need).sum();
        let missing = need.saturating_sub(self.available(now));
        if missing == 0 {
            return Vec::new();
        }
        self.roll(now);
        let millis = u64::try_from(config.lease_duration.as_millis() / 2).unwrap_or(0);
        let demand = self.demand.0.max(self.demand.1) / 1_000;
        let ahead = demand.min(self.limit.rate * (crate::NANOS / 1_000)) * millis;
        let amount = missing + ahead;
        let asked = |vm: &ids::Vm| {
            let recent = |ask: &lease::Ask| now.since(ask.sent) < config.borrow_timeout;
            self.asks.values().any(|ask| ask.to == *vm && recent(ask))
        };
        let free = self.homes.iter().filter(|vm| !asked(vm));
        let have = free.map(|vm| (vm.clone(), self.estimate(now, vm, config)));
        let least = missing.min(self.share.cap / 8);
        let have: Vec<_> = have.filter(|(_, have)| *have > 0 && *have >= least).collect();
        divide(amount, have)
    }

    /// What a home has, by its last word and its share; nothing for a while if
    /// it has had nothing several times, for it needs its tokens itself.
    fn estimate(&self, now: ids::Time, vm: &ids::Vm, config: &crate::Config) -> u64 {
        let Some(hint) = self.hints.get(vm) else {
            return self.share.cap;
        };
        let passed = now.since(hint.time);
        let pause = config.borrow_interval * (1 << hint.refusals.min(DOUBLINGS_MAX));
        if hint.refusals > 0 && passed < pause {
            return 0;
        }
        let passed = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        let fresh = self.share.refill.saturating_mul(passed);
        hint.left.saturating_add(fresh).min(self.share.cap)
    }
}

/// Divides what is wanted by what the homes have; if one has plenty, it is
/// asked alone, for each question costs three messages.
fn divide(amount: u64, have: Vec<(ids::Vm, u64)>) -> Vec<(ids::Vm, u64)> {
    let richest = have.iter().max_by_key(|(_, have)| *have);
    if let Some((vm, _)) = richest.filter(|(_, have)| *have / 2 >= amount) {
        return vec![(vm.clone(), amount)];
    }
    let total: u128 = have.iter().map(|(_, have)| u128::from(*have)).sum();
    let part = |have: u64| {
        let part = u128::from(amount) * u128::from(have) / total.max(1) + 1;
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    have.into_iter().map(|(vm, have)| (vm, part(have))).collect()
}
