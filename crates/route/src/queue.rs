//! The queue of calls that wait on a VM for a target.
//!
//! Paid calls are served before courtesy calls, except that waiting courtesy
//! calls get a small guaranteed share (the floor). Within a class, the account
//! with the least recent usage per unit of weight is served first. Within an
//! account, calls that can still meet the time to first token objective are
//! served before those that can't, in order of arrival. A call whose item has
//! no capacity at any target does not block calls of other items.
//!
//! The queue is bounded. When it is full, a call of the account with the most
//! waiting tokens per unit of weight is evicted, courtesy calls first, so that
//! an account that sends several times its rate can't crowd out the others.

use std::{collections, sync, time};

use bundle::format;

use crate::{fair, policy};

/// Result of adding a call to the queue.
pub type Result<T, E = Full> = std::result::Result<T, E>;

/// the queue is full
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Full(
    /// The rejected call.
    pub Entry,
);

impl std::error::Error for Full {}

/// Configuration of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Largest number of waiting calls.
    pub calls: usize,
    /// Round-robin quantum of an account of average weight, in tokens.
    pub quantum: u64,
    /// Guaranteed tokens of courtesy calls per thousand tokens of paid calls.
    pub floor_permille: u64,
    /// Wait after which a call can't meet the time to first token objective any more, in ms.
    pub fresh_ms: u64,
    /// The order in which calls are served.
    pub discipline: policy::Discipline,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            calls: 2_000,
            quantum: 512,
            floor_permille: 50,
            fresh_ms: 1_200,
            discipline: policy::Discipline::LeastServed,
        }
    }
}

impl Config {
    /// Returns whether `entry` can't meet the time to first token objective any more.
    #[must_use]
    pub fn is_late(&self, now: ids::Time, entry: &Entry) -> bool {
        now.since(entry.arrived) >= time::Duration::from_millis(self.fresh_ms)
    }
}

/// A waiting call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The id of the call.
    pub call: ids::Call,
    /// The account that the call is charged to.
    pub account: ids::Account,
    /// The class of the account: paid or courtesy.
    pub class: format::Class,
    /// Tokens that the call is expected to use.
    pub tokens: u64,
    /// `MODEL`, `MODEL:ADAPTER` or a service, as [`crate::item`] writes them.
    pub item: sync::Arc<str>,
    /// When the call arrived on this VM; unchanged when the call is queued again.
    pub arrived: ids::Time,
    /// When the call must have been sent to a target.
    pub deadline: ids::Time,
    /// Hash of the prompt prefix; 0 for none.
    pub prefix: u64,
}

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    slot: fair::Slot,
}

/// A bounded queue of calls that wait for a target.
///
/// ```
/// use std::time;
///
/// use bundle::format;
/// use route::queue;
///
/// let now = ids::Time::from_millis(5);
/// let mut queue = queue::Queue::new(queue::Config::default());
/// let entry = queue::Entry {
///     call: ids::Call::new(1),
///     account: "mayors".into(),
///     class: format::Class::Paid,
///     tokens: 300,
///     item: "draft".into(),
///     arrived: now,
///     deadline: now + time::Duration::from_secs(10),
///     prefix: 0,
/// };
/// assert_eq!(queue.push(now, entry), Ok(None));
/// assert_eq!(queue.pop(now, |entry| &*entry.item != "draft"), None);
/// assert_eq!(queue.pop(now, |_| true).unwrap().call, ids::Call::new(1));
/// ```
#[derive(Debug)]
pub struct Queue {
    config: Config,
    paid: fair::Ring,
    courtesy: fair::Ring,
    waiting: collections::BTreeMap<u64, Waiting>,
    calls: collections::BTreeMap<ids::Call, u64>,
    deadlines: collections::BTreeSet<(ids::Time, u64)>,
    /// When each fresh call becomes late.
    late_times: collections::BTreeSet<(ids::Time, u64)>,
    weights: collections::BTreeMap<ids::Account, f64>,
    next_seq: u64,
    /// Tokens that the floor owes to courtesy calls; negative if they got more.
    courtesy_owed: f64,
}

impl Queue {
    /// Creates an empty queue in which all accounts have the same weight.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            paid: fair::Ring::new(),
            courtesy: fair::Ring::new(),
            waiting: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            deadlines: collections::BTreeSet::new(),
            late_times: collections::BTreeSet::new(),
            weights: collections::BTreeMap::new(),
            next_seq: 0,
            courtesy_owed: 0.0,
        }
    }

    /// Updates the account weights and the largest number of calls from a bundle.
    ///
    /// The weight of an account is its rate relative to the mean rate.
    pub fn apply_bundle(&mut self, bundle: &format::Bundle) {
        let total: f64 = bundle.accounts.iter().map(|each| each.rate as f64).sum();
        let mean = (total / bundle.accounts.len().max(1) as f64).max(1.0);
        self.config.calls = bundle.limits.queue_calls;
        self.weights = bundle
            .accounts
            .iter()
            .map(|each| (each.name.clone(), (each.rate as f64 / mean).max(MIN_WEIGHT)))
            .collect();
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Iterates over the waiting calls in the order in which they were queued.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.waiting.values().map(|waiting| &waiting.entry)
    }

    /// Adds a call. Returns the call that was evicted for it, if any.
    ///
    /// # Errors
    ///
    /// [`Full`] with the call if the queue is full and no other call can be evicted for it.
    pub fn push(&mut self, now: ids::Time, entry: Entry) -> Result<Option<Entry>> {
        let mut evicted = None;
        if self.waiting.len() >= self.config.calls {
            let Some(seq) = self.victim(&entry) else {
                return Err(Full(entry));
            };
            evicted = self.take(seq);
        }
        self.add(now, entry);
        Ok(evicted)
    }

    /// Removes and returns the next call to serve among those that can run.
    ///
    /// `can_run` is called at most once for each item and class, and once more
    /// for late calls; its result is reused for all such calls.
    pub fn pop(
        &mut self,
        now: ids::Time,
        mut can_run: impl FnMut(&Entry) -> bool,
    ) -> Option<Entry> {
        self.mark_late_calls(now);
        let seq = match self.config.discipline {
            policy::Discipline::LeastServed | policy::Discipline::Fair => {
                self.next_fair(now, &mut can_run)
            }
            policy::Discipline::Fifo => self.next_fifo(&mut can_run),
        }?;
        self.take(seq)
    }

    /// Removes and returns the calls whose deadlines have passed.
    pub fn expire(&mut self, now: ids::Time) -> Vec<Entry> {
        let mut expired = Vec::new();
        while let Some(&(deadline, seq)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            expired.extend(self.take(seq));
        }
        expired
    }

    /// Returns the earliest deadline of the waiting calls.
    #[must_use]
    pub fn next_deadline(&self) -> Option<ids::Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns a call, if it is waiting.
    pub fn remove(&mut self, call: ids::Call) -> Option<Entry> {
        let seq = *self.calls.get(&call)?;
        self.take(seq)
    }

    /// Removes and returns all calls for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let dropped: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| !keep(&waiting.entry))
            .map(|(seq, _)| *seq)
            .collect();
        dropped.into_iter().filter_map(|seq| self.take(seq)).collect()
    }

    fn add(&mut self, now: ids::Time, entry: Entry) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let late_at = entry.arrived + time::Duration::from_millis(self.config.fresh_ms);
        let slot = fair::Slot {
            account: entry.account.clone(),
            item: sync::Arc::clone(&entry.item),
            seq,
            tokens: entry.tokens,
            late: late_at <= now,
        };
        if !slot.late {
            self.late_times.insert((late_at, seq));
        }
        self.ring(entry.class).insert(&slot);
        self.deadlines.insert((entry.deadline, seq));
        self.calls.insert(entry.call, seq);
        self.waiting.insert(seq, Waiting { entry, slot });
    }

    fn take(&mut self, seq: u64) -> Option<Entry> {
        let Waiting { entry, slot } = self.waiting.remove(&seq)?;
        let late_at = entry.arrived + time::Duration::from_millis(self.config.fresh_ms);
        self.late_times.remove(&(late_at, seq));
        self.deadlines.remove(&(entry.deadline, seq));
        self.calls.remove(&entry.call);
        self.ring(entry.class).remove(&slot);
        Some(entry)
    }

    /// Marks the calls that have become late by `now`.
    fn mark_late_calls(&mut self, now: ids::Time) {
        while let Some(&(late_at, seq)) = self.late_times.first() {
            if late_at > now {
                break;
            }
            self.late_times.pop_first();
            let Some(waiting) = self.waiting.get_mut(&seq) else {
                continue;
            };
            let ring = match waiting.entry.class {
                format::Class::Paid => &mut self.paid,
                format::Class::Courtesy => &mut self.courtesy,
            };
            ring.mark_late(&mut waiting.slot);
        }
    }

    /// The call to evict for `entry` when the queue is full.
    fn victim(&self, entry: &Entry) -> Option<u64> {
        let weight = |account: &ids::Account| weight(&self.weights, account);
        if entry.class == format::Class::Paid
            && let Some((account, _)) = self.courtesy.longest_flow(weight)
        {
            return self.courtesy.newest(account);
        }
        let ring = match entry.class {
            format::Class::Paid => &self.paid,
            format::Class::Courtesy => &self.courtesy,
        };
        let (account, longest) = ring.longest_flow(weight)?;
        let own = ring.tokens(&entry.account) + entry.tokens;
        let is_shorter = own as f64 / weight(&entry.account) < longest;
        if is_shorter { ring.newest(account) } else { None }
    }

    fn next_fair(
        &mut self,
        now: ids::Time,
        can_run: &mut impl FnMut(&Entry) -> bool,
    ) -> Option<u64> {
        if self.courtesy.is_empty() {
            self.courtesy_owed = self.courtesy_owed.min(0.0);
        }
        if self.courtesy_owed > 0.0
            && let Some(seq) = self.next_of_class(now, format::Class::Courtesy, can_run)
        {
            self.courtesy_owed -= self.waiting[&seq].entry.tokens as f64;
            return Some(seq);
        }
        let Some(seq) = self.next_of_class(now, format::Class::Paid, can_run) else {
            return self.next_of_class(now, format::Class::Courtesy, can_run);
        };
        if !self.courtesy.is_empty() {
            let tokens = self.waiting[&seq].entry.tokens as f64;
            self.courtesy_owed += tokens * self.config.floor_permille as f64 / 1_000.0;
        }
        Some(seq)
    }

    fn next_of_class(
        &mut self,
        now: ids::Time,
        class: format::Class,
        can_run: &mut impl FnMut(&Entry) -> bool,
    ) -> Option<u64> {
        let ring = match class {
            format::Class::Paid => &mut self.paid,
            format::Class::Courtesy => &mut self.courtesy,
        };
        let quantum = self.config.quantum as f64;
        let weights = &self.weights;
        let waiting = &self.waiting;
        let mut runnable_by_key = collections::BTreeMap::new();
        let can_run = |seq| {
            let Waiting { entry, slot } = &waiting[&seq];
            let key = (sync::Arc::clone(&entry.item), slot.late);
            *runnable_by_key.entry(key).or_insert_with(|| can_run(entry))
        };
        if self.config.discipline == policy::Discipline::LeastServed {
            return ring.next_least_served(now, |account| weight(weights, account), can_run);
        }
        ring.next_round_robin(|account| quantum * weight(weights, account), can_run)
    }

    fn next_fifo(&self, can_run: &mut impl FnMut(&Entry) -> bool) -> Option<u64> {
        let mut runnable_by_key = collections::BTreeMap::new();
        let is_runnable = |waiting: &Waiting| {
            let entry = &waiting.entry;
            let key = (sync::Arc::clone(&entry.item), entry.class);
            *runnable_by_key.entry(key).or_insert_with(|| can_run(entry))
        };
        let mut is_runnable = is_runnable;
        let (seq, _) = self.waiting.iter().find(|(_, waiting)| is_runnable(waiting))?;
        Some(*seq)
    }

    const fn ring(&mut self, class: format::Class) -> &mut fair::Ring {
        match class {
            format::Class::Paid => &mut self.paid,
            format::Class::Courtesy => &mut self.courtesy,
        }
    }
}

/// Smallest weight, for accounts whose declared rate is 0 or close to it.
const MIN_WEIGHT: f64 = 0.01;

fn weight(weights: &collections::BTreeMap<ids::Account, f64>, account: &ids::Account) -> f64 {
    weights.get(account).copied().unwrap_or(1.0)
}
