//! Cold targets: instances that have just started, or have become cold again, and tolerate
//! only a few requests per second until they are warm.
//!
//! The load that this is for: several engines restart together while every VM has calls for
//! their models. Without a limit that holds over all VMs, the first second crashes them again.
//!
//! Each cold target has [`OWNERS`] owner VMs, chosen by rendezvous hashing over the membership.
//! Each owner may send a fixed number of requests in any window; the other VMs send none. The
//! share leaves room for one owner more than there are, so that the bound also holds while
//! two adjacent memberships are in use. `docs/design/cold.md` compares this with other ways.

use std::{collections, time};

use crate::{config, peer, target};

/// Number of owner VMs of a cold target. With five, each VM of a small fleet is an owner, and
/// the owners of the deployment in question (17 requests in any second) have two requests each.
const OWNERS: usize = 5;
/// Window in which an owner may use its share: the second over which targets count, and
/// [`SEND_TIME`], by which the sending of two requests may be delayed differently.
const WINDOW: time::Duration = time::Duration::from_millis(1_250);
/// Time after the decision within which a request to a cold target must have been sent.
pub const SEND_TIME: time::Duration = time::Duration::from_millis(250);
/// Time for which a VM must have been an owner before it uses its share. It covers the
/// propagation of a new membership, and the window in which an earlier process of this VM
/// may have sent requests.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);
/// Maximum age of what an entry states when it is applied: it is written, read and passed on
/// within this time. A younger statement of a response is newer.
const ENTRY_AGE: time::Duration = time::Duration::from_secs(1);
/// Deviation of the time left beyond which an entry that is written again is news.
const TIME_TOLERANCE: time::Duration = time::Duration::from_millis(500);
/// Retry delay added at random, as a fraction of the time until the target is warm, so that
/// callers do not all return at the same instant.
const RETRY_SPREAD: f64 = 0.2;
/// Maximum of the delay added at random, and the minimum of its range, in s.
const RETRY_SPREAD_RANGE_S: std::ops::RangeInclusive<f64> = 0.2..=2.0;

/// Requests that a cold target tolerates beyond its service's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor of the rate.
    pub overage: f64,
    /// Requests in any second in addition to that.
    pub slack: f64,
}

/// Where a belief about a target comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Its entry in the store, read here or by another VM.
    Entry,
    /// One of its responses.
    Response,
    /// It appeared while calls were being served.
    Start,
    /// It was in a drained data centre.
    Evacuation,
}

/// What is believed about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// When it is warm.
    until: ids::Time,
    /// The same, as its entry told it to all VMs.
    entry_until: ids::Time,
    source: Source,
    /// When this was learned.
    at: ids::Time,
}

impl State {
    /// State of an instance whose entry states the time left; `None` if it states none.
    #[must_use]
    pub fn new(now: ids::Time, left: Option<time::Duration>) -> Self {
        let until = left.map_or(ids::Time::default(), |left| now + left);
        Self { until, entry_until: until, source: Source::Entry, at: now }
    }

    /// Applies what the instance's entry states. Returns whether this is news.
    pub fn observe_entry(&mut self, now: ids::Time, left: Option<time::Duration>) -> bool {
        if left.is_none() && self.source == Source::Start {
            return false;
        }
        let before = self.entry_until.since(now);
        let stated = Self::new(now, left);
        let after = stated.left(now);
        // The entry may have been written before the response.
        let is_overtaken = self.source == Source::Response && now.since(self.at) < ENTRY_AGE;
        if is_overtaken && stated.until < self.until {
            self.entry_until = stated.until;
        } else {
            *self = stated;
        }
        let difference = before.max(after).saturating_sub(before.min(after));
        before.is_zero() != after.is_zero() || difference > TIME_TOLERANCE
    }

    /// Applies what a response of the instance states.
    pub fn observe_response(&mut self, now: ids::Time, left: time::Duration) {
        let until = now + left;
        *self = Self { until, source: Source::Response, at: now, ..*self };
    }

    /// Time until it is warm; zero if it is.
    #[must_use]
    pub const fn left(&self, now: ids::Time) -> time::Duration {
        self.until.since(now)
    }

    /// Whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: ids::Time) -> bool {
        now < self.until
    }

    /// Where the belief comes from.
    #[must_use]
    pub const fn source(&self) -> Source {
        self.source
    }

    fn assume(&mut self, now: ids::Time, start: time::Duration, source: Source) {
        let until = now + start;
        *self = Self { until, entry_until: until, source, at: now };
    }
}

/// Assumes that an instance that has just appeared without a stated time is cold for `start`.
pub fn assume_started(row: &mut target::Row, now: ids::Time, start: time::Duration) {
    row.cold.assume(now, start, Source::Start);
}

/// Assumes that an instance is cold for `start` because the drain of its data centre ended
/// with the store revision `ended`, unless its entry is newer.
pub fn assume_cold(
    row: &mut target::Row,
    now: ids::Time,
    start: time::Duration,
    ended: ids::Revision,
) {
    if row.revision <= ended && row.cold.left(now) < start {
        row.cold.assume(now, start, Source::Evacuation);
    }
}

/// Number of owners of each cold target, and the requests that each may send per window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Number of owners.
    pub owners: usize,
    /// Requests that an owner may send in any window.
    pub requests: usize,
}

impl Share {
    /// Divides what the service's targets tolerate among the owners of one membership and one
    /// VM more, which may be an owner under an adjacent membership.
    #[must_use]
    pub fn new(service: &config::Cold, tolerance: Tolerance) -> Self {
        let limit =
            (service.per_second * tolerance.overage + tolerance.slack).clamp(0.0, MAX_LIMIT);
        let limit =
            usize::try_from(time::Duration::from_secs_f64(limit).as_secs()).unwrap_or(usize::MAX);
        let owners = OWNERS.min(limit.saturating_sub(1)).max(1);
        Self { owners, requests: limit / (owners + 1) }
    }
}

/// Maximum limit, so that the numbers stay exact and small.
const MAX_LIMIT: f64 = 1_000_000.0;

/// Requests that this VM sent to one target lately.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    sent: collections::VecDeque<ids::Time>,
}

impl Budget {
    /// Records a request that is sent now.
    pub fn record_sent(&mut self, now: ids::Time) {
        self.prune(now);
        self.sent.push_back(now);
    }

    /// Number of requests sent within the window.
    #[must_use]
    pub fn sent(&self, now: ids::Time) -> usize {
        self.sent.iter().filter(|at| now.since(**at) < WINDOW).count()
    }

    fn prune(&mut self, now: ids::Time) {
        while self.sent.pop_front_if(|at| now.since(*at) >= WINDOW).is_some() {}
    }
}

/// The owners of `target` in a membership: the VMs with the highest scores.
pub fn owners<'a>(
    target: &ids::Target,
    members: impl IntoIterator<Item = &'a ids::Vm>,
    count: usize,
) -> Vec<&'a ids::Vm> {
    let seed = route::hash::seed(target.as_str());
    let scored = members.into_iter().map(|vm| (route::hash::score(seed, vm.as_str()), vm));
    let mut scored: Vec<_> = scored.collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored.truncate(count);
    scored.into_iter().map(|(_, vm)| vm).collect()
}

/// Versions of the membership and of the configuration.
type Basis = (ids::Revision, ids::Version);

/// What this VM may send to cold targets.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Versions of the membership and the configuration that `owned` follows, and since when.
    basis: Option<(Basis, ids::Time)>,
    /// Since when this VM is an owner; `None` for a cold target that it does not own.
    owned: collections::BTreeMap<ids::Target, Option<ids::Time>>,
    /// Requests sent lately. They outlive the row, which a store outage may remove.
    budgets: collections::BTreeMap<ids::Target, Budget>,
}

impl Table {
    /// Updates the owned targets after a change of the membership or of what is cold.
    pub fn update<'a>(
        &mut self,
        now: ids::Time,
        own_vm: &ids::Vm,
        config: ids::Version,
        members: Option<&peer::Members>,
        cold: impl Iterator<Item = (&'a ids::Target, Share)>,
    ) {
        self.budgets.retain(|_, budget| budget.sent(now) > 0);
        let Some(members) = members else {
            self.owned.clear();
            return;
        };
        let basis = (members.revision, config);
        let known = self.basis.filter(|(known, _)| *known == basis);
        let (_, known_since) = *self.basis.insert(known.unwrap_or((basis, now)));
        let mut before = std::mem::take(&mut self.owned);
        for (target, share) in cold {
            let since = before.remove(target);
            if known.is_some()
                && let Some(since) = since
            {
                self.owned.insert(target.clone(), since);
                continue;
            }
            let vms = members.members.iter().map(|member| &member.vm);
            let is_owner = owners(target, vms, share.owners).contains(&own_vm);
            // An ownership that a new membership confirms goes on.
            let since = is_owner.then(|| since.flatten().unwrap_or(known_since));
            self.owned.insert(target.clone(), since);
        }
    }

    /// Whether this VM is an owner of the cold target and may use its share.
    #[must_use]
    pub fn is_owner(&self, now: ids::Time, target: &ids::Target) -> bool {
        let since = self.owned.get(target).copied().flatten();
        since.is_some_and(|since| now.since(since) >= SETTLE_TIME)
    }

    /// Records a request to a target of a service with a limit, cold or not: it may become
    /// cold before the request arrives.
    pub fn record_sent(&mut self, now: ids::Time, target: &ids::Target) {
        self.budgets.entry(target.clone()).or_default().record_sent(now);
    }

    /// Requests that this VM may still send to the cold target within the window.
    #[must_use]
    pub fn room(&self, now: ids::Time, target: &ids::Target, share: Share) -> usize {
        if !self.is_owner(now, target) {
            return 0;
        }
        let sent = self.budgets.get(target).map_or(0, |budget| budget.sent(now));
        share.requests.saturating_sub(sent)
    }
}

/// Decides whether targets of one service may be used.
#[derive(Clone, Copy, Debug)]
pub struct Gate<'a> {
    /// What this VM may send.
    pub table: &'a Table,
    /// Share of an owner.
    pub share: Share,
}

impl Gate<'_> {
    /// Whether the target is warm, or this VM is an owner of it.
    #[must_use]
    pub fn is_candidate(&self, now: ids::Time, row: &target::Row) -> bool {
        !row.cold.is_cold(now) || self.table.is_owner(now, &row.entry.target)
    }

    /// Whether the target tolerates a request of this VM now.
    #[must_use]
    pub fn has_room(&self, now: ids::Time, row: &target::Row) -> bool {
        !row.cold.is_cold(now) || self.table.room(now, &row.entry.target, self.share) > 0
    }
}

/// Time in which `count` requests may be sent with the share of one owner.
#[must_use]
pub fn time_for(count: usize, share: Share) -> time::Duration {
    if share.requests == 0 {
        return time::Duration::MAX;
    }
    WINDOW.saturating_mul(u32::try_from(count.div_ceil(share.requests)).unwrap_or(u32::MAX))
}

/// Retry delay sent to a caller whose targets are warm in `left`.
pub fn retry_after<R: rand::Rng + ?Sized>(left: time::Duration, rng: &mut R) -> time::Duration {
    let range = left.as_secs_f64() * RETRY_SPREAD;
    let range = range.clamp(*RETRY_SPREAD_RANGE_S.start(), *RETRY_SPREAD_RANGE_S.end());
    left + time::Duration::from_secs_f64(rng.random_range(0.0..range))
}
