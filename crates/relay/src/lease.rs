//! The planner's lease: a row of the store with a fencing token.
//!
//! Only the holder sends orders to runners, and they arrive within `ORDER_PERIOD` after it has
//! sent its last successful renewal. Other VMs take over the lease once its row has not
//! changed for `TAKEOVER_AFTER`. A new holder sends orders only when the last
//! possible order of the previous holder is at least the handover time required
//! by the platform in the past.
//!
//! When the store comes back from a copy, the row may be that of an earlier holder, and a write
//! of before may still be applied to it. So a lease ends with the era in which it was
//! taken, and fencing tokens begin with the era: those of a new era are higher than all
//! of the ones before. The VM that held the lease at the end goes on at once; no other
//! can have taken it since. Any other one waits as after an unknown holder.

use std::{sync, time};

use store::table;

use crate::{input, poison, quota};

/// Key of the lease row.
pub const KEY: &str = "planner";

/// Time in which an order arrives and is answered, normally in some ms. If there is no answer, a
/// later report shows whether the order took effect.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How long orders of a holder may arrive after it has sent a renewal.
const ORDER_PERIOD: time::Duration = time::Duration::from_millis(1_500);
/// Time without a change of the row after which other VMs may take the lease:
/// `ORDER_PERIOD` plus half a second for propagation.
const TAKEOVER_AFTER: time::Duration = time::Duration::from_secs(2);
/// Renewal interval; allows for one renewal that fails at once within `ORDER_PERIOD`.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Timeout of a write to the store, after which it is retried.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Delay before a retry of a failed write.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Contents of the lease row.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The VM that holds the lease.
    pub vm: ids::Vm,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Era of the store in which it took the lease.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: ids::Era,
    /// Its fencing token, higher than those of all previous holders.
    pub fence: ids::Fence,
    /// Number of renewals since another VM held the lease, of which no more count than one each
    /// renewal interval.
    pub renewals: u64,
    /// Saved quota buckets, restored by VMs after a restart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<quota::Saved>,
    /// Prompt parts that are blocked, restored by VMs after a restart.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub poison: Vec<poison::Entry>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature is serde's")]
fn is_first_era(era: &ids::Era) -> bool {
    *era == ids::Era::default()
}

/// What is saved in the row besides the lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    /// The quota buckets, if they are known.
    pub quota: Option<quota::Saved>,
    /// The prompt parts that are blocked.
    pub poison: Vec<poison::Entry>,
}

/// The quota buckets saved in a lease row.
#[must_use]
pub fn saved_quota(row: Option<&table::Row>) -> Option<quota::Saved> {
    // An unreadable row is logged by the caller of `Lease::observe`.
    let holder: Option<Holder> = serde_json::from_str(&row?.value).ok();
    holder?.quota
}

/// The blocked prompt parts saved in a lease row.
#[must_use]
pub fn saved_poison(row: Option<&table::Row>) -> Vec<poison::Entry> {
    // An unreadable row is logged by the caller of `Lease::observe`.
    let holder = row.and_then(|row| serde_json::from_str::<Holder>(&row.value).ok());
    holder.map(|holder| holder.poison).unwrap_or_default()
}

/// The last observed state of the row.
#[derive(Clone, Debug)]
struct Seen {
    /// Its revision; version 0 if the row did not exist.
    revision: ids::Revision,
    holder: Option<Holder>,
    /// When this version was first observed.
    since: ids::Time,
}

/// A write in flight.
#[derive(Clone, Debug)]
struct Pending {
    op: ids::Op,
    sent: ids::Time,
    holder: Holder,
}

/// State of the lease as known to this VM.
#[derive(Clone, Debug)]
pub struct Lease {
    vm: ids::Vm,
    incarnation: ids::Incarnation,
    /// Minimum time between the last order of one holder and the first of the next.
    handover: time::Duration,
    seen: Option<Seen>,
    /// The store's era.
    era: ids::Era,
    /// Whether this VM held the lease when the era began.
    was_last_holder: bool,
    /// The store's clock, in ms, at a time of this VM's clock.
    clock: Option<(ids::Time, u64)>,
    pending: Option<Pending>,
    next_try: ids::Time,
    /// When the last renewal that counts was sent.
    counted_at: ids::Time,
    /// End of the order period of this VM's last renewal.
    held_until: ids::Time,
    /// Earliest time at which this VM may send orders.
    orders_from: ids::Time,
    /// Who held the lease before this process, with its token and era.
    previous: Option<(ids::Vm, ids::Fence, ids::Era)>,
}

impl Lease {
    /// Creates a lease whose row has not been observed.
    #[must_use]
    pub fn new(vm: ids::Vm, incarnation: ids::Incarnation, handover: time::Duration) -> Self {
        Self {
            vm,
            incarnation,
            handover,
            seen: None,
            era: ids::Era::default(),
            was_last_holder: false,
            clock: None,
            pending: None,
            next_try: ids::Time::default(),
            counted_at: ids::Time::default(),
            held_until: ids::Time::default(),
            orders_from: ids::Time::default(),
            previous: None,
        }
    }

    /// Ends the lease, as the store has come back from a copy. What it answers to writes of
    /// before is not waited for: the row tells what holds.
    pub fn begin_era(&mut self, now: ids::Time, era: ids::Era) {
        if era > self.era {
            self.was_last_holder = self.fence(now).is_some();
            self.era = era;
            self.pending = None;
            self.next_try = now;
        }
    }

    /// Whether this VM goes on with the lease that it held when the era began, as soon as the
    /// store has written that.
    #[must_use]
    pub fn is_resuming(&self, now: ids::Time) -> bool {
        self.was_last_holder && now < self.held_until
    }

    /// Whether the row has been observed.
    #[must_use]
    pub const fn is_seen(&self) -> bool {
        self.seen.is_some()
    }

    /// The fencing token if this VM holds the lease, even if it may not send orders yet.
    #[must_use]
    pub fn fence(&self, now: ids::Time) -> Option<ids::Fence> {
        let holder = self.seen.as_ref()?.holder.as_ref()?;
        (self.is_own(holder) && now < self.held_until).then_some(holder.fence)
    }

    /// The process that held the lease before this one, with its token and its era, for the log.
    #[must_use]
    pub const fn previous(&self) -> Option<&(ids::Vm, ids::Fence, ids::Era)> {
        self.previous.as_ref()
    }

    /// How long this VM has to wait before it may send orders, for the log.
    #[must_use]
    pub fn wait(&self, now: ids::Time) -> time::Duration {
        self.orders_from.since(now)
    }

    /// The fencing token if this VM may send orders now: they arrive within the order period.
    #[must_use]
    pub fn may_order(&self, now: ids::Time) -> Option<ids::Fence> {
        self.fence(now + ORDER_TIMEOUT).filter(|_| now >= self.orders_from)
    }

    fn is_own(&self, holder: &Holder) -> bool {
        self.is_valid(holder) && holder.vm == self.vm && holder.incarnation == self.incarnation
    }

    /// Whether a holder took the lease in the current era.
    fn is_valid(&self, holder: &Holder) -> bool {
        holder.era == self.era
    }

    /// Estimate of the store's clock, in ms; `None` if it is unknown.
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

    /// Observes the row in an era and at the time `clock_ms` of the store's clock; `None` if
    /// the row does not exist. Returns whether it was readable; an unreadable row counts as
    /// having no holder.
    pub fn observe(
        &mut self,
        now: ids::Time,
        row: Option<&table::Row>,
        era: ids::Era,
        clock_ms: u64,
    ) -> bool {
        self.set_clock(now, clock_ms);
        if era < self.era {
            return true;
        }
        self.begin_era(now, era);
        let version = row.map_or_else(ids::Version::default, |row| row.version);
        let revision = ids::Revision::new(era, version);
        if self.seen.as_ref().is_some_and(|seen| seen.revision >= revision && row.is_some()) {
            return true;
        }
        // The version of an unreadable row is still used for conditional writes.
        let holder: Option<Holder> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let is_readable = holder.is_some() || row.is_none();
        // If the response to this VM's write was lost, its success shows only here.
        if holder.as_ref().is_some_and(|holder| self.is_own(holder)) {
            self.become_holder();
        }
        self.was_last_holder &= !holder.as_ref().is_some_and(|holder| self.is_valid(holder));
        self.seen = Some(Seen { revision, holder, since: now });
        is_readable
    }

    /// Returns the write that is due, if any. The lease of a holder that is heard
    /// (`is_led`) is never taken over. `rank` is this VM's position among the
    /// candidates; higher ranks wait longer. `save` returns what to save in the row.
    pub fn tick(
        &mut self,
        now: ids::Time,
        is_led: bool,
        rank: u32,
        save: impl FnOnce() -> Saved,
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
        let seen = self.seen.as_ref().filter(|seen| seen.revision.era() == self.era)?;
        // Higher than the tokens of all earlier eras, and of this one, as a row's versions rise.
        let least_fence = ids::Fence::new(u64::from(seen.revision)).next();
        let mut is_counted = true;
        let next = match &seen.holder {
            Some(holder) if self.is_own(holder) => {
                // Renewals follow faster when answers are lost.
                is_counted = now.since(self.counted_at) >= RENEWAL_INTERVAL;
                Holder { renewals: holder.renewals + u64::from(is_counted), ..holder.clone() }
            }
            Some(holder) => {
                // An earlier incarnation of this VM has ended.
                let has_lapsed = now.since(seen.since) >= TAKEOVER_AFTER + RETRY_DELAY * rank;
                let is_earlier_process = self.is_valid(holder) && holder.vm == self.vm;
                let is_free = is_earlier_process || self.was_last_holder;
                if !is_free && (is_led || !has_lapsed) {
                    return None;
                }
                let renewals = if is_earlier_process { holder.renewals } else { 0 };
                Holder { renewals, ..self.claim(holder.fence.next().max(least_fence)) }
            }
            None => self.claim(least_fence),
        };
        // Buckets saved by an earlier holder are kept until newer ones exist.
        let last_saved = || seen.holder.as_ref().and_then(|holder| holder.quota.clone());
        let Saved { quota, poison } = save();
        let next = Holder { quota: quota.or_else(last_saved), poison, ..next };
        // A holder always has a JSON form.
        let value = serde_json::to_string(&next).unwrap_or_default();
        let expect = Some(seen.revision.version()).filter(|version| version.get() > 0);
        let op = next_op();
        if is_counted {
            self.counted_at = now;
        }
        self.pending = Some(Pending { op, sent: now, holder: next });
        let value = Some(sync::Arc::from(value));
        Some((op, table::Write { key: KEY.into(), expect, value }))
    }

    fn claim(&self, fence: ids::Fence) -> Holder {
        Holder {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            era: self.era,
            fence,
            renewals: 0,
            quota: None,
            poison: Vec::new(),
        }
    }

    /// Handles the result of a write. Returns whether this VM has just become the holder.
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
        let revision = match result {
            Ok(input::Written::Done { revision, clock_ms }) => {
                self.set_clock(now, *clock_ms);
                *revision
            }
            Ok(input::Written::Conflict { row, era }) => {
                // The watch on the lease also delivers the row and logs an unreadable one.
                let _is_readable = self.observe(now, row.as_ref(), *era, 0);
                return false;
            }
            Err(_unknown) => return false,
        };
        let is_new_holder = self.fence(now).is_none();
        self.next_try = pending.sent + RENEWAL_INTERVAL;
        self.held_until = pending.sent + ORDER_PERIOD;
        self.become_holder();
        self.was_last_holder = false;
        self.seen = Some(Seen { revision, holder: Some(pending.holder), since: now });
        is_new_holder
    }

    /// Called when this VM becomes the holder. The last renewal of another previous
    /// holder is the one observed here, as no other write came in between; it may
    /// have sent orders until the end of its order period. An earlier incarnation of this
    /// VM may have been waiting for that itself. The last holder of an earlier era is not
    /// known; the last renewal of that era came before the first observation in this one.
    fn become_holder(&mut self) {
        let Some(Seen { holder, since, .. }) = &self.seen else {
            return;
        };
        if let Some(holder) = holder.as_ref().filter(|holder| !self.is_own(holder)) {
            self.previous = Some((holder.vm.clone(), holder.fence, holder.era));
        }
        let wait = ORDER_PERIOD + self.handover;
        let Some(holder) = holder.as_ref().filter(|holder| self.is_valid(holder)) else {
            if !is_first_era(&self.era) && !self.was_last_holder {
                self.orders_from = *since + wait;
            }
            return;
        };
        let renewals = u32::try_from(holder.renewals).unwrap_or(u32::MAX);
        let has_waited = RENEWAL_INTERVAL.saturating_mul(renewals) >= wait;
        if !self.is_own(holder) && (holder.vm != self.vm || !has_waited) {
            self.orders_from = *since + wait;
        }
    }
}
