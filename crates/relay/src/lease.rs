//! The lease of the planner: a row of the store with a fencing token.
//!
//! Only the holder gives orders to runners. A holder may give orders for
//! `ORDER_PERIOD` after it has sent its last successful renewal. Others take the
//! lease once its row has not changed for `TAKEOVER_AFTER`, and give orders only
//! when the last order of the holder before is at least the bound of the
//! platform in the past.

use std::{sync, time};

use store::table;

use crate::{input, quota};

/// Key of the lease's row.
pub const KEY: &str = "planner";

/// How long after sending a renewal its holder may give orders.
const ORDER_PERIOD: time::Duration = time::Duration::from_millis(1_500);
/// Time without a change of the row after which others may take the lease:
/// longer than a holder may act, with half a second for the way of the news.
const TAKEOVER_AFTER: time::Duration = time::Duration::from_secs(2);
/// Time between two renewals: a lost one leaves time for another.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Longest wait for the store's answer before the next try.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Wait before a try after one that failed.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Who holds the lease, as the row tells.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The VM.
    pub vm: ids::Vm,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Its fencing token, higher than all before.
    pub fence: ids::Fence,
    /// Changes with every renewal.
    pub renewals: u64,
    /// The accounts' buckets, for VMs that start anew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<quota::Saved>,
}

/// The accounts' buckets that a lease's row keeps.
#[must_use]
pub fn saved_quota(row: Option<&table::Row>) -> Option<quota::Saved> {
    // A row that cannot be read is logged where the lease takes it in.
    let holder: Option<Holder> = serde_json::from_str(&row?.value).ok();
    holder?.quota
}

/// The row as it was seen last.
#[derive(Clone, Debug)]
struct Seen {
    version: ids::Version,
    holder: Option<Holder>,
    /// When this version was first seen here.
    since: ids::Time,
}

/// A write that awaits its answer.
#[derive(Clone, Debug)]
struct Pending {
    op: ids::Op,
    sent: ids::Time,
    holder: Holder,
}

/// What this VM knows of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    vm: ids::Vm,
    incarnation: ids::Incarnation,
    /// Time between the last order of one holder and the first of the next.
    handover: time::Duration,
    seen: Option<Seen>,
    /// The store's clock, in ms, at a moment of this VM's.
    clock: Option<(ids::Time, u64)>,
    pending: Option<Pending>,
    next_try: ids::Time,
    /// Until when this VM may give orders, as its last renewal says.
    held_until: ids::Time,
    /// From when this VM may give orders.
    orders_from: ids::Time,
}

impl Lease {
    /// A lease of which nothing is known yet.
    #[must_use]
    pub fn new(vm: ids::Vm, incarnation: ids::Incarnation, handover: time::Duration) -> Self {
        Self {
            vm,
            incarnation,
            handover,
            seen: None,
            clock: None,
            pending: None,
            next_try: ids::Time::default(),
            held_until: ids::Time::default(),
            orders_from: ids::Time::default(),
        }
    }

    /// The fencing token if this VM holds the lease, also while it may not give
    /// orders yet.
    #[must_use]
    pub fn fence(&self, now: ids::Time) -> Option<ids::Fence> {
        let holder = self.seen.as_ref()?.holder.as_ref()?;
        (self.is_own(holder) && now < self.held_until).then_some(holder.fence)
    }

    /// The fencing token if this VM may give orders now.
    #[must_use]
    pub fn may_order(&self, now: ids::Time) -> Option<ids::Fence> {
        self.fence(now).filter(|_| now >= self.orders_from)
    }

    fn is_own(&self, holder: &Holder) -> bool {
        holder.vm == self.vm && holder.incarnation == self.incarnation
    }

    /// The store's clock now, in ms, as far as it is known.
    #[must_use]
    pub fn clock_ms(&self, now: ids::Time) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        Some(clock_ms + u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX))
    }

    fn set_clock(&mut self, now: ids::Time, clock_ms: u64) {
        if clock_ms > 0 {
            self.clock = Some((now, clock_ms));
        }
    }

    /// Takes in the row as the store tells it, whose clock shows `clock_ms`; none if
    /// there is no row. Whether it could be read: one that cannot names no holder.
    pub fn observe(&mut self, now: ids::Time, row: Option<&table::Row>, clock_ms: u64) -> bool {
        self.set_clock(now, clock_ms);
        let version = row.map_or(ids::Version::new(0), |row| row.version);
        if self.seen.as_ref().is_some_and(|seen| seen.version >= version && row.is_some()) {
            return true;
        }
        // The version of a row that cannot be read still counts.
        let holder: Option<Holder> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let is_readable = holder.is_some() || row.is_none();
        // A write of this VM whose answer was lost may show only here.
        if holder.as_ref().is_some_and(|holder| self.is_own(holder)) {
            self.become_holder();
        }
        self.seen = Some(Seen { version, holder, since: now });
        is_readable
    }

    /// What is to be written now, if anything. Nobody takes the lease of a
    /// holder that is heard (`is_led`). `rank` is this VM's place among the VMs
    /// that may take the lease; later ones wait longer. `save` tells what else
    /// the row is to keep.
    pub fn tick(
        &mut self,
        now: ids::Time,
        is_led: bool,
        rank: u32,
        save: impl FnOnce() -> Option<quota::Saved>,
        next_op: impl FnOnce() -> ids::Op,
    ) -> Option<(ids::Op, table::Write)> {
        let timed_out = |pending: &Pending| now.since(pending.sent) > ANSWER_TIMEOUT;
        if self.pending.as_ref().is_some_and(timed_out) {
            self.pending = None;
            self.next_try = now;
        }
        if self.pending.is_some() || now < self.next_try {
            return None;
        }
        let seen = self.seen.as_ref()?;
        let next = match &seen.holder {
            Some(holder) if self.is_own(holder) => {
                Holder { renewals: holder.renewals + 1, ..holder.clone() }
            }
            Some(holder) => {
                // An earlier incarnation of this VM has ended.
                let has_lapsed = now.since(seen.since) >= TAKEOVER_AFTER + RETRY_DELAY * rank;
                let is_available = holder.vm == self.vm || (has_lapsed && !is_led);
                if !is_available {
                    return None;
                }
                self.claim(holder.fence.next())
            }
            None => self.claim(ids::Fence::new(seen.version.get() + 1)),
        };
        // What an earlier holder has kept stays until there is something newer.
        let last_saved = || seen.holder.as_ref().and_then(|holder| holder.quota.clone());
        let next = Holder { quota: save().or_else(last_saved), ..next };
        // A holder always has a JSON form.
        let value = serde_json::to_string(&next).unwrap_or_default();
        let expect = (seen.version.get() > 0).then_some(seen.version);
        let op = next_op();
        self.pending = Some(Pending { op, sent: now, holder: next });
        let value = Some(sync::Arc::from(value));
        Some((op, table::Write { key: KEY.into(), expect, value }))
    }

    fn claim(&self, fence: ids::Fence) -> Holder {
        Holder {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            fence,
            renewals: 0,
            quota: None,
        }
    }

    /// Takes in the answer to a write; whether this VM has just become the holder.
    pub fn written(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: &store::Result<input::Written>,
    ) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.op == op) else {
            return false;
        };
        self.next_try = now + RETRY_DELAY;
        let version = match result {
            Ok(input::Written::Done { version, clock_ms }) => {
                self.set_clock(now, *clock_ms);
                *version
            }
            Ok(input::Written::Conflict(row)) => {
                // The lease is followed, too, and what cannot be read is told there.
                let _is_readable = self.observe(now, row.as_ref(), 0);
                return false;
            }
            Err(_unknown) => return false,
        };
        self.next_try = pending.sent + RENEWAL_INTERVAL;
        self.held_until = pending.sent + ORDER_PERIOD;
        let previous = self.seen.as_ref().and_then(|seen| seen.holder.as_ref());
        let is_new_holder = previous.is_none_or(|holder| !self.is_own(holder));
        self.become_holder();
        self.seen = Some(Seen { version, holder: Some(pending.holder), since: now });
        is_new_holder
    }

    /// This VM turns out to be the holder. If another VM was it before, its last
    /// renewal is the one that was seen here, for no other came in between; it
    /// may have given orders until that one lapsed.
    fn become_holder(&mut self) {
        let Some(Seen { holder: Some(holder), since, .. }) = &self.seen else {
            return;
        };
        if holder.vm != self.vm {
            self.orders_from = *since + ORDER_PERIOD + self.handover;
        }
    }
}
