//! Borrowing from and lending to other VMs.

use std::collections;

use super::{Entry, Hint, Table};
use crate::{lease, message, output, share};

/// Maximum number of times that the interval between requests to a home without
/// tokens is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Table {
    /// Handles a message from another VM. `serving` must be determined
    /// immediately before the call, because a VM that does not serve must not
    /// lend.
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
                self.handle_lend(now, &account, from, (lease_id, amount, left));
                self.grant_pending(now, &account, out);
                self.borrow(now, &account, out);
            }
            message::Message::Report { account, leases } => {
                let borrower = share::Member { vm: from.clone(), incarnation };
                self.handle_report(now, &account, &borrower, &leases);
                self.grant_pending(now, &account, out);
            }
        }
    }

    /// Lends what the bucket holds, up to the requested amount, or nothing while
    /// calls on this VM wait for tokens. A repeated request is ignored.
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
        if entry.loans.contains_key(&key) {
            return;
        }
        entry.bucket.refill(now);
        let is_free = entry.pending.is_empty();
        let amount = entry.bucket.lend(if is_free { requested } else { 0 });
        let left = if is_free { entry.bucket.balance() } else { 0 };
        let to = key.0.vm.clone();
        let message =
            message::Message::Lend { account: account.clone(), lease_id: key.1, amount, left };
        if amount > 0 {
            let lease_duration = self.config.lease_duration + self.config.clock_margin;
            let loan = lease::Loan::new(amount, now, lease_duration, self.config.refund_window);
            entry.loans.insert(key, loan);
        }
        out.push(output::Output::Peer { to, message });
    }

    fn handle_lend(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        from: &ids::Vm,
        (lease_id, amount, left): (u64, u64, u64),
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        let Some(request) = entry.requests.remove(&lease_id).filter(|request| request.to == *from)
        else {
            return;
        };
        let refusals = entry.hints.get(from).map_or(0, |hint| hint.refusals);
        let hint =
            Hint { left, received_at: now, refusals: if amount == 0 { refusals + 1 } else { 0 } };
        entry.hints.insert(from.clone(), hint);
        entry.bucket.refill(now);
        let expires_at = request.sent_at + self.config.lease_duration;
        if amount > 0 {
            let lease = lease::Lease::new(from.clone(), amount, expires_at);
            entry.leases.insert(lease_id, lease);
        }
    }

    fn handle_report(
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
            if let Some(loan) = entry.loans.get_mut(&key) {
                loan.report(now, state, &mut entry.bucket);
            }
        }
    }

    /// Requests the tokens that pending calls lack from other homes, at most once
    /// per [`crate::Config::borrow_interval`].
    pub(super) fn borrow(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        if entry.pending.is_empty() || now < entry.next_borrow {
            return;
        }
        let amounts = entry.borrow_amounts(now, &self.config);
        if !amounts.is_empty() {
            entry.next_borrow = now + self.config.borrow_interval;
        }
        for (to, amount) in amounts {
            self.last_lease_id += 1;
            let lease_id = self.last_lease_id;
            let request = lease::Request { to: to.clone(), sent_at: now };
            entry.requests.insert(lease_id, request);
            let message = message::Message::Borrow { account: account.clone(), lease_id, amount };
            out.push(output::Output::Peer { to, message });
        }
    }

    /// Reports leases that have changed to their lenders.
    pub(super) fn send_reports(&mut self, out: &mut Vec<output::Output>) {
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
    /// The amounts to request and the homes to request them from. The total is
    /// what pending calls lack, plus the expected demand for half the duration of
    /// a lease, divided among the homes by their estimated balances.
    fn borrow_amounts(&mut self, now: ids::Time, config: &crate::Config) -> Vec<(ids::Vm, u64)> {
        let need: u64 = self.pending.iter().map(|pending| pending.need).sum();
        let missing = need.saturating_sub(self.available(now));
        if missing == 0 {
            return Vec::new();
        }
        self.roll_demand(now);
        let millis = u64::try_from(config.lease_duration.as_millis() / 2).unwrap_or(0);
        let demand = self.demand.0.max(self.demand.1) / 1_000;
        let prefetch = demand.min(self.limit.rate * (crate::NANOS / 1_000)) * millis;
        let amount = missing + prefetch;
        let asked = |vm: &ids::Vm| {
            let recent =
                |request: &lease::Request| now.since(request.sent_at) < config.borrow_timeout;
            self.requests.values().any(|request| request.to == *vm && recent(request))
        };
        let candidates = self.homes.iter().filter(|vm| !asked(vm));
        let available = candidates.map(|vm| (vm.clone(), self.estimate_balance(now, vm, config)));
        let min_available = missing.min(self.share.cap / 8);
        let available: Vec<_> = available
            .filter(|(_, available)| *available > 0 && *available >= min_available)
            .collect();
        divide(amount, available)
    }

    /// Estimated balance of a home, from its last answer and its share. Zero
    /// during the backoff after answers without tokens, because that home needs
    /// its tokens itself.
    fn estimate_balance(&self, now: ids::Time, vm: &ids::Vm, config: &crate::Config) -> u64 {
        let Some(hint) = self.hints.get(vm) else {
            return self.share.cap;
        };
        let passed = now.since(hint.received_at);
        let pause = config.borrow_interval * (1 << hint.refusals.min(MAX_BACKOFF_DOUBLINGS));
        if hint.refusals > 0 && passed < pause {
            return 0;
        }
        let passed = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        let refill = self.share.refill.saturating_mul(passed);
        hint.left.saturating_add(refill).min(self.share.cap)
    }
}

/// Divides an amount among homes in proportion to what is available at each. If
/// one home has at least twice the amount, the request goes to it alone, because
/// each request costs three messages.
fn divide(amount: u64, available: Vec<(ids::Vm, u64)>) -> Vec<(ids::Vm, u64)> {
    let largest = available.iter().max_by_key(|(_, available)| *available);
    if let Some((vm, _)) = largest.filter(|(_, available)| *available / 2 >= amount) {
        return vec![(vm.clone(), amount)];
    }
    let total: u128 = available.iter().map(|(_, available)| u128::from(*available)).sum();
    let part = |available: u64| {
        let part = u128::from(amount) * u128::from(available) / total.max(1) + 1;
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    available.into_iter().map(|(vm, available)| (vm, part(available))).collect()
}
