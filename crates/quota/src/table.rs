//! Buckets, leases and pending calls of all accounts on one VM.

use std::{collections, mem, time};

use crate::{bucket, lease, output, share};

mod borrow;
mod dump;

pub use dump::Dump;

/// Number of low bits of a lease id that count within one incarnation.
const LEASE_ID_BITS: u32 = 20;

/// Tokens that a call on this VM has reserved.
#[derive(Debug)]
struct Reservation {
    account: ids::Account,
    /// Amount from this VM's bucket, and its mark for the refund.
    own: (u64, u64),
    /// Ids of leases and the amounts reserved from them.
    leases: Vec<(u64, u64)>,
}

/// A call that waits for borrowed tokens.
#[derive(Debug)]
struct Pending {
    call: ids::Call,
    need: u64,
    deadline: ids::Time,
}

/// Last known balance of another home.
#[derive(Clone, Copy, Debug)]
struct Hint {
    left: u64,
    received_at: ids::Time,
    /// Consecutive answers that lent nothing.
    refusals: u32,
}

/// State of an account on this VM.
#[derive(Debug)]
struct Entry {
    limit: share::Limit,
    /// The version that added the account.
    added_in: ids::Version,
    /// The homes other than this VM.
    homes: Vec<ids::Vm>,
    /// The share of each home.
    share: share::Share,
    bucket: bucket::Bucket,
    leases: collections::BTreeMap<u64, lease::Lease>,
    requests: collections::BTreeMap<u64, lease::Request>,
    loans: collections::BTreeMap<(share::Member, u64), lease::Loan>,
    pending: collections::VecDeque<Pending>,
    hints: collections::BTreeMap<ids::Vm, Hint>,
    next_borrow: ids::Time,
    /// Amounts that calls requested in the current and in the previous second.
    demand: (u64, u64),
    demand_second: u64,
}

/// The tokens of all accounts that this VM may spend.
#[derive(Debug)]
pub struct Table {
    config: crate::Config,
    shares: share::Shares,
    /// Settled versions, with the time from which their higher shares may be
    /// used.
    pending_raises: collections::BTreeMap<ids::Version, ids::Time>,
    /// The newest version whose higher shares are in use.
    effective_version: ids::Version,
    /// Time since which no VM uses a version that is unknown here.
    up_to_date_since: Option<ids::Time>,
    entries: collections::BTreeMap<ids::Account, Entry>,
    reservations: collections::BTreeMap<ids::Call, Reservation>,
    last_lease_id: u64,
    next_report: ids::Time,
}

impl Table {
    /// Creates a table without accounts.
    #[must_use]
    pub const fn new(config: crate::Config) -> Self {
        // A later incarnation must not use lease ids again, so that it does not
        // take tokens that were lent to an earlier one.
        let last_lease_id = config.me.incarnation.get() << LEASE_ID_BITS;
        Self {
            config,
            shares: share::Shares::new(),
            pending_raises: collections::BTreeMap::new(),
            effective_version: ids::Version::new(0),
            up_to_date_since: None,
            entries: collections::BTreeMap::new(),
            reservations: collections::BTreeMap::new(),
            last_lease_id,
            next_report: ids::Time::from_millis(0),
        }
    }

    /// Applies a version of the head: lower shares immediately, higher ones once
    /// the version is settled. Versions that are not newer are ignored.
    pub fn adopt(
        &mut self,
        now: ids::Time,
        version: ids::Version,
        members: &[share::Member],
        limits: &[share::Limit],
    ) {
        if version <= self.shares.newest_version() {
            return;
        }
        if version > self.shares.newest_version().next() {
            self.up_to_date_since = None;
            self.mark_used(version);
        }
        let mut own = collections::BTreeMap::new();
        for limit in limits {
            let homes = share::homes(limit, members, self.config.max_homes);
            let share = share::home_share(limit, homes.len());
            let is_home = homes.contains(&self.config.me);
            if is_home {
                own.insert(limit.account.clone(), share);
            }
            let unused_since = self.up_to_date_since.filter(|_| is_home);
            let new_entry = || Entry::new(now, version, unused_since, limit);
            let entry = self.entries.entry(limit.account.clone()).or_insert_with(new_entry);
            entry.limit = limit.clone();
            entry.share = share;
            let others = homes.into_iter().map(|home| home.vm);
            entry.homes = others.filter(|vm| *vm != self.config.me.vm).collect();
        }
        let known = |account: &ids::Account| limits.iter().any(|limit| limit.account == *account);
        for (account, entry) in &mut self.entries {
            if !known(account) {
                entry.limit.rate = 0;
                entry.limit.burst = 0;
            }
        }
        self.shares.adopt(version, own);
        self.shares.settle(self.effective_version);
        self.resize_buckets(now);
    }

    /// Records that other VMs may use the accounts added up to `version`.
    fn mark_used(&mut self, version: ids::Version) {
        for entry in self.entries.values_mut().filter(|entry| entry.added_in <= version) {
            entry.bucket.mark_used();
        }
    }

    /// Records that every serving VM has reached `version`. Its higher shares are
    /// used once all leases granted under older versions have expired.
    pub fn on_settled(&mut self, now: ids::Time, version: ids::Version) {
        let due = now + self.config.lease_duration + self.config.clock_margin;
        if version > self.effective_version {
            self.pending_raises.entry(version).or_insert(due);
        }
    }

    /// The newest version whose higher shares are in use.
    #[must_use]
    pub const fn effective_version(&self) -> ids::Version {
        self.effective_version
    }

    fn resize_buckets(&mut self, now: ids::Time) {
        for (account, entry) in &mut self.entries {
            entry.bucket.resize(now, self.shares.current(account));
        }
    }

    /// Reserves the maximum number of tokens that a call may use. The result is
    /// [`output::Output::Granted`] or [`output::Output::Short`], immediately or
    /// after other VMs have answered. Call it only while this VM serves.
    pub fn reserve(
        &mut self,
        now: ids::Time,
        call: ids::Call,
        account: &ids::Account,
        tokens: u64,
        out: &mut Vec<output::Output>,
    ) {
        let known = self.entries.get_mut(account).filter(|entry| entry.limit.burst > 0);
        let Some(entry) = known else {
            refuse(call, output::Reason::Unknown, None, out);
            return;
        };
        if tokens > entry.limit.burst {
            refuse(call, output::Reason::TooLarge, None, out);
            return;
        }
        if tokens == 0 {
            out.push(output::Output::Granted { call });
            return;
        }
        let need = tokens * crate::NANOS;
        entry.record_demand(now, need);
        entry.bucket.refill(now);
        let deadline = now + self.config.borrow_timeout;
        entry.pending.push_back(Pending { call, need, deadline });
        self.grant_pending(now, account, out);
        self.borrow(now, account, out);
    }

    /// Grants pending calls in order, as long as the tokens suffice.
    fn grant_pending(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        while let Some(first) = entry.pending.front() {
            if first.need > entry.available(now) {
                return;
            }
            let (call, need) = (first.call, first.need);
            entry.pending.pop_front();
            let (own, leases) = entry.take(now, need);
            let reservation = Reservation { account: account.clone(), own, leases };
            self.reservations.insert(call, reservation);
            out.push(output::Output::Granted { call });
        }
    }

    /// Ends a call that has used `used` tokens and refunds the rest of its
    /// reservation.
    pub fn finish(&mut self, now: ids::Time, call: ids::Call, used: u64) {
        let Some(reservation) = self.reservations.remove(&call) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&reservation.account) else {
            return;
        };
        let borrowed: u64 = reservation.leases.iter().map(|(_, amount)| amount).sum();
        let (own, mark) = reservation.own;
        let used = used.saturating_mul(crate::NANOS);
        let mut unused = (borrowed + own).saturating_sub(used);
        for (lease_id, amount) in reservation.leases {
            let part = amount.min(unused);
            unused -= part;
            if let Some(lease) = entry.leases.get_mut(&lease_id) {
                lease.open_calls -= 1;
                lease.unused += part;
                lease.changed = true;
            }
        }
        entry.bucket.refund(now, mark, unused.min(own));
    }

    /// Drops a call that is still pending. No effect if it is not.
    pub fn cancel(&mut self, call: ids::Call) {
        for entry in self.entries.values_mut() {
            entry.pending.retain(|pending| pending.call != call);
        }
    }

    /// Performs actions that are due. Call it several times in each
    /// [`crate::Config::borrow_interval`].
    pub fn tick(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.apply_raises(now);
        let accounts: Vec<_> = self.entries.keys().cloned().collect();
        for account in accounts {
            if let Some(entry) = self.entries.get_mut(&account) {
                entry.expire(now, self.config.lease_duration);
            }
            self.grant_pending(now, &account, out);
            self.refuse_overdue(now, &account, out);
            self.borrow(now, &account, out);
        }
        if now >= self.next_report {
            self.next_report = now + self.config.report_interval;
            self.send_reports(out);
            self.prune(now);
        }
    }

    /// Applies the higher shares of settled versions that are due.
    fn apply_raises(&mut self, now: ids::Time) {
        let due = self.pending_raises.iter().filter(|(_, due)| now >= **due);
        let Some(version) = due.map(|(version, _)| *version).max() else {
            return;
        };
        self.pending_raises.retain(|known, _| *known > version);
        self.effective_version = version;
        if version >= self.shares.newest_version() {
            self.up_to_date_since.get_or_insert(now);
        }
        self.shares.settle(version);
        self.resize_buckets(now);
        self.mark_used(version);
    }

    /// Refuses the pending calls whose deadline has passed.
    fn refuse_overdue(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        out: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        let waiting = mem::take(&mut entry.pending);
        let (overdue, waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|pending| now >= pending.deadline);
        entry.pending = waiting.into();
        let unanswered = entry
            .requests
            .values()
            .any(|request| now.since(request.sent_at) >= self.config.borrow_timeout / 2);
        let reason =
            if unanswered { output::Reason::Unreachable } else { output::Reason::Exhausted };
        for pending in overdue {
            let wait = entry.retry_after(now, pending.need);
            refuse(pending.call, reason, Some(wait), out);
        }
    }

    /// Drops loans and room samples that no refund can refer to.
    fn prune(&mut self, now: ids::Time) {
        let mut marks = collections::BTreeMap::new();
        for reservation in self.reservations.values() {
            let mark: &mut u64 = marks.entry(&reservation.account).or_insert(u64::MAX);
            *mark = (*mark).min(reservation.own.1);
        }
        for (account, entry) in &mut self.entries {
            entry.loans.retain(|_, loan| !loan.is_ended(now));
            let loans = entry.loans.values().filter_map(lease::Loan::mark).min();
            let own = marks.get(account).copied();
            let oldest = own.unwrap_or(u64::MAX).min(loans.unwrap_or(u64::MAX));
            entry.bucket.prune(oldest);
        }
    }
}

impl Entry {
    fn new(
        now: ids::Time,
        added_in: ids::Version,
        unused_since: Option<ids::Time>,
        limit: &share::Limit,
    ) -> Self {
        Self {
            limit: limit.clone(),
            added_in,
            homes: Vec::new(),
            share: share::Share::default(),
            bucket: bucket::Bucket::new(now, unused_since),
            leases: collections::BTreeMap::new(),
            requests: collections::BTreeMap::new(),
            loans: collections::BTreeMap::new(),
            pending: collections::VecDeque::new(),
            hints: collections::BTreeMap::new(),
            next_borrow: now,
            demand: (0, 0),
            demand_second: 0,
        }
    }

    /// Tokens in the bucket and in leases that can be reserved now.
    fn available(&self, now: ids::Time) -> u64 {
        let leases: u64 = self.leases.values().map(|lease| lease.spendable(now)).sum();
        leases + self.bucket.balance()
    }

    /// Takes tokens from leases, soonest to expire first, then from the bucket.
    fn take(&mut self, now: ids::Time, need: u64) -> ((u64, u64), Vec<(u64, u64)>) {
        let mut order: Vec<_> =
            self.leases.iter().map(|(lease_id, lease)| (lease.expires_at, *lease_id)).collect();
        order.sort_unstable();
        let mut rest = need;
        let mut parts = Vec::new();
        for (_, lease_id) in order {
            let Some(lease) = self.leases.get_mut(&lease_id) else {
                continue;
            };
            let amount = lease.take(now, rest);
            if amount > 0 {
                parts.push((lease_id, amount));
                rest -= amount;
            }
        }
        (self.bucket.take(rest), parts)
    }

    /// Records the amount that a call requests.
    fn record_demand(&mut self, now: ids::Time, need: u64) {
        self.roll_demand(now);
        self.demand.0 = self.demand.0.saturating_add(need);
    }

    fn roll_demand(&mut self, now: ids::Time) {
        let second = now.as_millis() / 1_000;
        if second > self.demand_second + 1 {
            self.demand = (0, 0);
        } else if second > self.demand_second {
            self.demand = (0, self.demand.0);
        }
        self.demand_second = self.demand_second.max(second);
    }

    /// Refills the bucket and expires leases, loans and requests.
    fn expire(&mut self, now: ids::Time, lease_duration: time::Duration) {
        self.bucket.refill(now);
        for lease in self.leases.values_mut() {
            lease.expire(now);
        }
        for loan in self.loans.values_mut() {
            loan.expire(now, &mut self.bucket);
        }
        self.leases.retain(|_, lease| !lease.is_ended());
        self.requests.retain(|_, request| now.since(request.sent_at) < lease_duration);
    }

    /// Time in which the account's rate refills what is missing.
    fn retry_after(&self, now: ids::Time, need: u64) -> time::Duration {
        let missing = need.saturating_sub(self.available(now));
        let refill = self.limit.rate.max(1) * (crate::NANOS / 1_000);
        time::Duration::from_millis(missing.div_ceil(refill))
    }
}

fn refuse(
    call: ids::Call,
    reason: output::Reason,
    retry_after: Option<time::Duration>,
    out: &mut Vec<output::Output>,
) {
    out.push(output::Output::Short { call, reason, retry_after });
}
