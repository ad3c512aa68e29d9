//! Which calls of an account get its units while it asks for more than its rate.
//!
//! The load that this is for: one of 16 accounts sends 3.5 to 7 times its usual traffic for
//! 6 to 8 s to 26 VMs. Its urgent streams and its small bookings need half of the rate; the
//! rest would take several times what is left.
//!
//! [`Class`] orders calls by priority and size. [`Plan`] divides the rate among the classes:
//! a small share for each, the rest by urgency. A less urgent call is granted only beyond a
//! [`Reserve`] for the more urgent calls that are expected. Calls that will get their units
//! soon wait in a [`Queue`]; the others are told a time from a [`Ledger`], so that they do
//! not all return at once.

use std::{collections, time};

use crate::decay;

/// Number of size bands of a priority.
const BANDS: u8 = 16;
/// Highest priority number that is told apart.
const MAX_PRIORITY: u32 = 15;
/// Base-two logarithm of the ratio between the sizes of neighbouring bands. A step in
/// priority weighs as much as one in size, so that a booking of 200 units goes before a
/// stream of 2,400 with the next higher priority, but not before urgent streams.
const BAND_BITS: f64 = 2.0;
/// Fraction of the rate that each class gets if it asks for as much.
const MIN_SHARE: f64 = 0.05;
/// Maximum of these fractions of all classes together.
const MAX_MIN_SHARES: f64 = 0.2;
/// Time for which units are reserved for more urgent calls: the demand of a VM in two
/// digest intervals varies by about as much as this makes up for.
const RESERVE_S: f64 = 0.3;
/// Half-life of the demand by class, in ms: rare classes need a longer time than the sum.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Maximum number of classes in a digest; the others count as less urgent ones.
pub const MAX_CLASSES: usize = 16;
/// Fraction of its objective that a call waits for units at most. The rest is left for the
/// target: the first token of a prompt of 2,400 tokens takes 130 ms without backlog.
const MAX_WAIT_FRACTION: f64 = 0.3;
/// Fraction of the time to the deadline up to which callers honour a Retry-After.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;
/// Minimum Retry-After: a call returns only once, so it should not return too early.
const MIN_RETURN: time::Duration = time::Duration::from_millis(200);
/// Maximum time for which units are promised; callers wait no longer than a third of 15 s.
const MAX_PROMISE_S: f64 = 5.0;
/// Maximum number of calls that wait for units on a VM.
pub const MAX_WAITING: usize = 200;

/// Urgency of a call: its route's priority, and the magnitude of its units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Class(u8);

impl Class {
    /// The class of calls with the priority `priority`, 0 first, that need `units`.
    #[must_use]
    pub fn new(priority: u32, units: f64) -> Self {
        let priority = u8::try_from(priority.min(MAX_PRIORITY)).unwrap_or_default();
        let band = (units.max(1.0).log2() / BAND_BITS).floor();
        let band = (0..BANDS).rev().find(|known| f64::from(*known) <= band).unwrap_or_default();
        Self(priority * BANDS + band)
    }

    /// The route's priority.
    #[must_use]
    pub const fn priority(self) -> u8 {
        self.0 / BANDS
    }

    /// Magnitude of the units, as a power of four.
    #[must_use]
    pub const fn band(self) -> u8 {
        self.0 % BANDS
    }
}

impl Ord for Class {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let key = |class: &Self| (class.priority() + class.band(), class.priority());
        key(self).cmp(&key(other))
    }
}

impl PartialOrd for Class {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A request for units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// Its units.
    pub units: f64,
}

impl Request {
    /// A request of a call with the priority `priority` for `units`.
    #[must_use]
    pub fn new(priority: u32, units: f64) -> Self {
        Self { class: Class::new(priority, units), units }
    }
}

/// Recent demand of one VM by class.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    sums: collections::BTreeMap<Class, decay::Sum>,
    largest: f64,
}

impl Demand {
    /// Adds a request.
    pub fn add(&mut self, now: ids::Time, request: Request) {
        let new_sum = || decay::Sum::new(HALF_LIFE_MS);
        self.sums.entry(request.class).or_insert_with(new_sum).add(now, request.units);
        self.largest = self.largest.max(request.units);
    }

    /// Units of the largest request so far.
    #[must_use]
    pub const fn largest(&self) -> f64 {
        self.largest
    }

    /// Units per second by class, those with the highest demand.
    #[must_use]
    pub fn rates(&self, now: ids::Time) -> Vec<(Class, f64)> {
        let rates = self.sums.iter().map(|(class, sum)| (*class, sum.per_second(now).round()));
        let mut rates: Vec<_> = rates.filter(|(_, rate)| *rate > 0.0).collect();
        rates.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        rates.truncate(MAX_CLASSES);
        rates
    }
}

/// Demand by class as another VM or data centre reports it; figures that are no demand are
/// ignored.
pub fn add_rates(sums: &mut collections::BTreeMap<Class, f64>, rates: &[(Class, f64)]) {
    for (class, rate) in rates.iter().take(MAX_CLASSES) {
        if rate.is_finite() && *rate > 0.0 {
            *sums.entry(*class).or_default() += rate;
        }
    }
}

/// What one class asks for and gets, in units per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// The class.
    pub class: Class,
    /// Asked for at all VMs.
    pub asked: f64,
    /// Asked for at this VM.
    pub own: f64,
    /// Granted at all VMs.
    pub granted: f64,
    /// What it is granted whatever the others ask for.
    pub minimum: f64,
}

impl Share {
    /// This VM's part of `units`, by its part of the demand.
    fn own_part(&self, units: f64) -> f64 {
        if self.asked > 0.0 { units * (self.own / self.asked).min(1.0) } else { 0.0 }
    }
}

/// Units that are kept for more urgent calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserve {
    /// At all VMs.
    pub fleet: f64,
    /// At this VM.
    pub own: f64,
}

/// Division of an account's rate among the classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    shares: Vec<Share>,
    /// Number of VMs that share the rate.
    vms: f64,
}

impl Plan {
    /// Divides `rate` among the classes that ask for units at `vms` VMs: `own` at this one,
    /// `all` at all.
    #[must_use]
    pub fn new(
        rate: f64,
        vms: usize,
        own: &collections::BTreeMap<Class, f64>,
        all: &collections::BTreeMap<Class, f64>,
    ) -> Self {
        let minimum = |asked: f64| asked.min(MIN_SHARE * rate);
        let minima: f64 = all.values().map(|asked| minimum(*asked)).sum();
        let scale = (MAX_MIN_SHARES * rate / minima.max(f64::MIN_POSITIVE)).min(1.0);
        let mut left = (rate - minima * scale).max(0.0);
        let shares = all.iter().map(|(class, asked)| {
            let minimum = minimum(*asked) * scale;
            let further = (asked - minimum).clamp(0.0, left);
            left -= further;
            let own = own.get(class).copied().unwrap_or_default();
            Share { class: *class, asked: *asked, own, granted: minimum + further, minimum }
        });
        Self { shares: shares.collect(), vms: vms.max(1) as f64 }
    }

    /// Number of VMs that share the rate.
    #[must_use]
    pub const fn vms(&self) -> f64 {
        self.vms
    }

    /// The classes, most urgent first.
    #[must_use]
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }

    /// The share of `class`.
    #[must_use]
    pub fn share(&self, class: Class) -> Option<&Share> {
        self.shares.iter().find(|share| share.class == class)
    }

    /// This VM's fraction of the units granted; `None` if none are.
    #[must_use]
    pub fn own_fraction(&self) -> Option<f64> {
        let all: f64 = self.shares.iter().map(|share| share.granted).sum();
        let own: f64 = self.shares.iter().map(|share| share.own_part(share.granted)).sum();
        (all > 0.0).then(|| own / all)
    }

    /// Units per second granted to classes that are more urgent than `class`, at all VMs and
    /// at this one.
    #[must_use]
    pub fn more_urgent(&self, class: Class) -> (f64, f64) {
        let before = || self.shares.iter().take_while(move |share| share.class < class);
        let fleet = before().map(|share| share.granted).sum();
        (fleet, before().map(|share| share.own_part(share.granted)).sum())
    }

    /// Units to keep for classes that are more urgent than `class`: none if there is room for
    /// all of its calls besides theirs.
    #[must_use]
    pub fn reserve(&self, class: Class) -> Reserve {
        if self.share(class).is_none_or(|share| share.granted >= share.asked) {
            return Reserve::default();
        }
        let (fleet, own) = self.more_urgent(class);
        // The demand seen by one VM varies more than its part of all demand.
        Reserve { fleet: fleet * RESERVE_S, own: own.max(fleet / self.vms) * RESERVE_S }
    }

    /// This VM's part of the minimum of `class`, in units per second.
    #[must_use]
    pub fn own_minimum(&self, class: Class) -> f64 {
        self.share(class).map_or(0.0, |share| share.own_part(share.minimum))
    }
}

/// Units that the classes of a VM get whatever the others ask for.
#[derive(Clone, Debug, Default)]
pub struct Minimum(collections::BTreeMap<Class, (ids::Time, f64)>);

impl Minimum {
    /// Whether a call of `class` may be granted without regard to more urgent ones. The
    /// minimum grows by `rate` units per second; a class starts with a debt of `debt` units, so
    /// that not all VMs grant its first call at once.
    #[must_use]
    pub fn is_due(&mut self, now: ids::Time, class: Class, rate: f64, debt: f64) -> bool {
        let (at, units) = self.0.entry(class).or_insert((now, -debt));
        // It is not saved up: unused units went to other calls.
        *units = (*units + now.since(*at).as_secs_f64() * rate).min(rate);
        *at = now;
        *units > 0.0
    }

    /// Records that a call was granted.
    pub fn spend(&mut self, request: Request) {
        if let Some((_, units)) = self.0.get_mut(&request.class) {
            // What a class gets beyond its minimum does not count against later calls.
            *units = (*units - request.units).max(-request.units);
        }
    }
}

/// Times at which refused calls were told to return, as units promised to each class.
#[derive(Clone, Debug, Default)]
pub struct Ledger(collections::BTreeMap<Class, (ids::Time, f64)>);

impl Ledger {
    /// Promises units that this VM can grant to the class at `rate` units per second, at least
    /// `wait` from now, and returns when to come back. A call whose turn is beyond
    /// `honoured` is told that time, without a promise.
    pub fn promise(
        &mut self,
        now: ids::Time,
        request: Request,
        rate: f64,
        wait: time::Duration,
        honoured: time::Duration,
    ) -> time::Duration {
        let (at, units) = self.0.entry(request.class).or_insert((now, 0.0));
        *units = (*units - now.since(*at).as_secs_f64() * rate).max(0.0);
        *at = now;
        let turn_s = (*units + request.units) / rate.max(f64::MIN_POSITIVE);
        let turn = time::Duration::from_secs_f64(turn_s.min(MAX_PROMISE_S));
        let turn = turn.max(wait).max(MIN_RETURN);
        if turn_s >= MAX_PROMISE_S || turn > honoured {
            return honoured.max(MIN_RETURN);
        }
        *units += request.units;
        turn
    }
}

/// How long a caller with `left` until its deadline honours a Retry-After.
#[must_use]
pub fn honoured(left: time::Duration) -> time::Duration {
    left.mul_f64(HONOURED_FRACTION)
}

/// How long a call with this objective may wait for units.
#[must_use]
pub fn max_wait(objective: time::Duration) -> time::Duration {
    objective.mul_f64(MAX_WAIT_FRACTION)
}

/// A call that waits for units.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The call.
    pub call: ids::Call,
    /// The account.
    pub account: ids::Account,
    /// Its request.
    pub request: Request,
    /// When it stops waiting.
    pub until: ids::Time,
}

/// Calls that wait for units, by urgency, then by units, then by arrival.
#[derive(Clone, Debug, Default)]
pub struct Queue(Vec<Entry>);

impl Queue {
    /// Adds a call.
    pub fn push(&mut self, entry: Entry) {
        let key = |entry: &Entry| (entry.request.class, entry.request.units);
        let (class, units) = key(&entry);
        let index = self.0.partition_point(|known| {
            let (known_class, known_units) = key(known);
            known_class < class || (known_class == class && known_units <= units)
        });
        self.0.insert(index, entry);
    }

    /// Units that calls of `account` wait for that go before those of `class`, or are as urgent.
    #[must_use]
    pub fn ahead(&self, account: &ids::Account, class: Class) -> f64 {
        let ahead =
            self.0.iter().filter(|entry| entry.account == *account && entry.request.class <= class);
        // The sum of no floats is -0, which a log line would show.
        ahead.map(|entry| entry.request.units).sum::<f64>().abs()
    }

    /// Removes and returns all calls, in order.
    #[must_use]
    pub fn take(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.0)
    }

    /// Removes the calls for which `keeps` is false.
    pub fn retain(&mut self, keeps: impl FnMut(&Entry) -> bool) {
        self.0.retain(keeps);
    }

    /// Number of calls that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no call waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
