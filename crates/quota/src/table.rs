//! The accounts' buckets, leases and waiting calls of one VM.

use std::{collections, mem, time};

use crate::{bucket, lease, output, share};

mod borrow;
mod dump;

pub use dump::Dump;

/// Binary digits of lease numbers within one incarnation.
const NUMBER_BITS: u32 = 20;

/// What an own call has reserved.
#[derive(Debug)]
struct Reservation {
    account: ids::Account,
    /// Amount of the own bucket, and its mark.
    own: (u64, u64),
    /// Numbers and amounts of leases.
    leases: Vec<(u64, u64)>,
}

/// A call that waits for borrowed tokens.
#[derive(Debug)]
struct Pending {
    call: ids::Call,
    need: u64,
    deadline: ids::Time,
}

/// What another home was known to have.
#[derive(Clone, Copy, Debug)]
struct Hint {
    left: u64,
    time: ids::Time,
    /// Answers with nothing since the last with something.
    refusals: u32,
}

/// An account on this VM.
#[derive(Debug)]
struct Entry {
    limit: share::Limit,
    /// The version that brought the account.
    since: ids::Version,
    /// The other homes.
    homes: Vec<ids::Vm>,
    /// The share of each home.
    share: share::Share,
    bucket: bucket::Bucket,
    leases: collections::BTreeMap<u64, lease::Lease>,
    asks: collections::BTreeMap<u64, lease::Ask>,
    lends: collections::BTreeMap<(share::Member, u64), lease::Lend>,
    pending: collections::VecDeque<Pending>,
    hints: collections::BTreeMap<ids::Vm, Hint>,
    next_ask: ids::Time,
    /// Amounts asked for by calls in this and in the last second.
    demand: (u64, u64),
    second: u64,
}

/// The accounts' tokens, as far as they are this VM's to spend.
#[derive(Debug)]
pub struct Table {
    config: crate::Config,
    shares: share::Shares,
    /// Versions whose higher shares may be used from a moment on.
    raises: collections::BTreeMap<ids::Version, ids::Time>,
    /// The newest version whose higher shares may be used.
    raised: ids::Version,
    /// Since when no VM goes by a version that is not known here.
    known: Option<ids::Time>,
    entries: collections::BTreeMap<ids::Account, Entry>,
    reservations: collections::BTreeMap<ids::Call, Reservation>,
    last_number: u64,
    next_report: ids::Time,
}

impl Table {
    /// A table without any accounts.
    #[must_use]
    pub const fn new(config: crate::Config) -> Self {
        // Numbers of leases are not used again by a later incarnation, which
        // must not take what was lent to an earlier one.
        let last_number = config.me.incarnation.get() << NUMBER_BITS;
        Self {
            config,
            shares: share::Shares::new(),
            raises: collections::BTreeMap::new(),
            raised: ids::Version::new(0),
            known: None,
            entries: collections::BTreeMap::new(),
            reservations: collections::BTreeMap::new(),
            last_number,
            next_report: ids::Time::from_millis(0),
        }
    }

    /// Puts a version of the head in force: lower shares at once, higher ones
    /// once it is settled. Versions that are not newer are ignored.
    pub fn adopt(
        &mut self,
        now: ids::Time,
        version: ids::Version,
        members: &[share::Member],
        limits: &[share::Limit],
    ) {
        if version <= self.shares.newest() {
            return;
        }
        if version > self.shares.newest().next() {
            self.known = None;
            self.occupy(version);
        }
        let mut own = collections::BTreeMap::new();
        for limit in limits {
            let homes = share::homes(limit, members, self.config.max_homes);
            let share = share::share(limit, homes.len());
            let home = homes.contains(&self.config.me);
            if home {
                own.insert(limit.account.clone(), share);
            }
            let vacant = self.known.filter(|_| home);
            let fresh = || Entry::new(now, version, vacant, limit);
            let entry = self.entries.entry(limit.account.clone()).or_insert_with(fresh);
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
        self.shares.settle(self.raised);
        self.resize(now);
    }

    /// From now on, accounts that this or an earlier version brought are used.
    fn occupy(&mut self, version: ids::Version) {
        for entry in self.entries.values_mut().filter(|entry| entry.since <= version) {
            entry.bucket.occupy();
        }
    }

    /// Every serving VM has reached this version. Higher shares are used once
    /// what was lent under older ones has expired.
    pub fn on_settled(&mut self, now: ids::Time, version: ids::Version) {
        let due = now + self.config.lease_duration + self.config.clock_margin;
        if version > self.raised {
            self.raises.entry(version).or_insert(due);
        }
    }

    /// The newest version whose higher shares are in use.
    #[must_use]
    pub const fn effective_version(&self) -> ids::Version {
        self.raised
    }

    fn resize(&mut self, now: ids::Time) {
        for (account, entry) in &mut self.entries {
            entry.bucket.resize(now, self.shares.of(account));
        }
    }

    /// Reserves the most that a call may use; ends with
    /// [`output::Output::Granted`] or [`output::Output::Short`], at once or
    /// after other VMs were asked. Only to be called while the VM serves.
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
        entry.ask_for(now, need);
        entry.bucket.refill(now);
        let deadline = now + self.config.borrow_timeout;
        entry.pending.push_back(Pending { call, need, deadline });
        self.serve(now, account, out);
        self.borrow(now, account, out);
    }

    /// Grants what can be granted to the calls that wait, in their order.
    fn serve(&mut self, now: ids::Time, account: &ids::Account, out: &mut Vec<output::Output>) {
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

    /// A call has ended and has used so many tokens; the rest is given back.
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
        for (number, amount) in reservation.leases {
            let part = amount.min(unused);
            unused -= part;
            if let Some(lease) = entry.leases.get_mut(&number) {
                lease.open -= 1;
                lease.unused += part;
                lease.changed = true;
            }
        }
        entry.bucket.give_back(now, mark, unused.min(own));
    }

    /// A call that waits is given up; nothing if it does not.
    pub fn cancel(&mut self, call: ids::Call) {
        for entry in self.entries.values_mut() {
            entry.pending.retain(|pending| pending.call != call);
        }
    }

    /// Does what is due. To be called several times in each
    /// [`crate::Config::borrow_interval`].
    pub fn tick(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.raise(now);
        let accounts: Vec<_> = self.entries.keys().cloned().collect();
        for account in accounts {
            if let Some(entry) = self.entries.get_mut(&account) {
                entry.expire(now, self.config.lease_duration);
            }
            self.serve(now, &account, out);
            self.give_up(now, &account, out);
            self.borrow(now, &account, out);
        }
        if now >= self.next_report {
            self.next_report = now + self.config.report_interval;
            self.report(out);
            self.forget(now);
        }
    }

    /// Begins to use the higher shares of settled versions.
    fn raise(&mut self, now: ids::Time) {
        let due = self.raises.iter().filter(|(_, due)| now >= **due);
        let Some(version) = due.map(|(version, _)| *version).max() else {
            return;
        };
        self.raises.retain(|known, _| *known > version);
        self.raised = version;
        if version >= self.shares.newest() {
            self.known.get_or_insert(now);
        }
        self.shares.settle(version);
        self.resize(now);
        self.occupy(version);
    }

    /// Refuses the calls that have waited for long enough.
    fn give_up(&mut self, now: ids::Time, account: &ids::Account, out: &mut Vec<output::Output>) {
        let Some(entry) = self.entries.get_mut(account) else {
            return;
        };
        let waiting = mem::take(&mut entry.pending);
        let (late, waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|pending| now >= pending.deadline);
        entry.pending = waiting.into();
        let silent =
            entry.asks.values().any(|ask| now.since(ask.sent) >= self.config.borrow_timeout / 2);
        let reason = if silent { output::Reason::Unreachable } else { output::Reason::Exhausted };
        for pending in late {
            let wait = entry.wait(now, pending.need);
            refuse(pending.call, reason, Some(wait), out);
        }
    }

    /// Forgets what can no longer be given back.
    fn forget(&mut self, now: ids::Time) {
        let mut marks = collections::BTreeMap::new();
        for reservation in self.reservations.values() {
            let mark: &mut u64 = marks.entry(&reservation.account).or_insert(u64::MAX);
            *mark = (*mark).min(reservation.own.1);
        }
        for (account, entry) in &mut self.entries {
            entry.lends.retain(|_, lend| !lend.ended(now));
            let lends = entry.lends.values().filter_map(lease::Lend::mark).min();
            let own = marks.get(account).copied();
            let oldest = own.unwrap_or(u64::MAX).min(lends.unwrap_or(u64::MAX));
            entry.bucket.forget(oldest);
        }
    }
}

impl Entry {
    fn new(
        now: ids::Time,
        since: ids::Version,
        vacant: Option<ids::Time>,
        limit: &share::Limit,
    ) -> Self {
        Self {
            limit: limit.clone(),
            since,
            homes: Vec::new(),
            share: share::Share::default(),
            bucket: bucket::Bucket::new(now, vacant),
            leases: collections::BTreeMap::new(),
            asks: collections::BTreeMap::new(),
            lends: collections::BTreeMap::new(),
            pending: collections::VecDeque::new(),
            hints: collections::BTreeMap::new(),
            next_ask: now,
            demand: (0, 0),
            second: 0,
        }
    }

    /// What can be spent now.
    fn available(&self, now: ids::Time) -> u64 {
        let leases: u64 = self.leases.values().map(|lease| lease.live(now)).sum();
        leases + self.bucket.balance()
    }

    /// Takes tokens, leases that expire soonest first.
    fn take(&mut self, now: ids::Time, need: u64) -> ((u64, u64), Vec<(u64, u64)>) {
        let mut order: Vec<_> =
            self.leases.iter().map(|(number, lease)| (lease.expires, *number)).collect();
        order.sort_unstable();
        let mut rest = need;
        let mut parts = Vec::new();
        for (_, number) in order {
            let Some(lease) = self.leases.get_mut(&number) else {
                continue;
            };
            let amount = lease.take(now, rest);
            if amount > 0 {
                parts.push((number, amount));
                rest -= amount;
            }
        }
        (self.bucket.take(rest), parts)
    }

    /// Notes what calls ask for.
    fn ask_for(&mut self, now: ids::Time, need: u64) {
        self.roll(now);
        self.demand.0 = self.demand.0.saturating_add(need);
    }

    fn roll(&mut self, now: ids::Time) {
        let second = now.as_millis() / 1_000;
        if second > self.second + 1 {
            self.demand = (0, 0);
        } else if second > self.second {
            self.demand = (0, self.demand.0);
        }
        self.second = self.second.max(second);
    }

    /// Lets go of what has expired.
    fn expire(&mut self, now: ids::Time, lease_duration: time::Duration) {
        self.bucket.refill(now);
        for lease in self.leases.values_mut() {
            lease.expire(now);
        }
        for lend in self.lends.values_mut() {
            lend.expire(now, &mut self.bucket);
        }
        self.leases.retain(|_, lease| !lease.ended());
        self.asks.retain(|_, ask| now.since(ask.sent) < lease_duration);
    }

    /// When the account's rate will have yielded what is missing.
    fn wait(&self, now: ids::Time, need: u64) -> time::Duration {
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
