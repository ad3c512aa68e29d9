//! The calls that wait on a VM for a target.
//!
//! Paid work goes before courtesy work, but courtesy work gets a small share
//! (the floor) whenever it waits. Within a class, the account goes first that
//! was served fewest tokens of late for its weight.
//! Within an account, calls that can still meet the target for the first
//! token go before those that cannot, in order of arrival. A call whose item
//! has no room at any target holds up no call of another item.
//!
//! The queue is bounded. When it is full, the account with most waiting
//! tokens for its weight gives way, courtesy work first, so that an account
//! that sends several times its rate can't take the places of the others.

use std::{collections, sync, time};

use bundle::format;

use crate::{fair, policy};

/// Outcome of adding a call: the call that gave way to it, if one had to.
pub type Result<T, E = Full> = std::result::Result<T, E>;

/// the queue is full
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Full(
    /// The call that was not taken.
    pub Entry,
);

impl std::error::Error for Full {}

/// Knobs of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Most calls that wait.
    pub calls: usize,
    /// Tokens of an account of average weight in one turn.
    pub quantum: u64,
    /// Tokens of courtesy work for a thousand tokens of paid work, at least.
    pub floor_permille: u64,
    /// Wait after which a call can't meet the target for its first token, in ms.
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
    /// Whether `entry` can't meet the target for its first token any more.
    #[must_use]
    pub fn is_late(&self, now: ids::Time, entry: &Entry) -> bool {
        now.since(entry.arrived) >= time::Duration::from_millis(self.fresh_ms)
    }
}

/// A call that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The call.
    pub call: ids::Call,
    /// The account that it counts for.
    pub account: ids::Account,
    /// The class of its work.
    pub class: format::Class,
    /// Tokens that it is expected to use.
    pub tokens: u64,
    /// `MODEL`, `MODEL:ADAPTER` or a service, as [`crate::item`] writes them.
    pub item: sync::Arc<str>,
    /// When the call arrived on this VM; it stays the same when a call is queued again.
    pub arrived: ids::Time,
    /// When it must have been given to a target.
    pub deadline: ids::Time,
    /// Hash of the beginning of the prompt; 0 for none.
    pub prefix: u64,
}

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    place: fair::Place,
}

/// The calls that wait for a target.
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
    /// When fresh calls become late.
    ageing: collections::BTreeSet<(ids::Time, u64)>,
    weights: collections::BTreeMap<ids::Account, f64>,
    next: u64,
    /// Tokens that the floor owes to courtesy work; negative if it had too many.
    owed: f64,
}

impl Queue {
    /// An empty queue in which all accounts weigh the same.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            paid: fair::Ring::new(),
            courtesy: fair::Ring::new(),
            waiting: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            deadlines: collections::BTreeSet::new(),
            ageing: collections::BTreeSet::new(),
            weights: collections::BTreeMap::new(),
            next: 0,
            owed: 0.0,
        }
    }

    /// Takes weights and the most calls that may wait from a bundle.
    ///
    /// An account weighs as much as its rate says, relative to the mean rate.
    pub fn apply_bundle(&mut self, bundle: &format::Bundle) {
        let total: f64 = bundle.accounts.iter().map(|each| each.rate as f64).sum();
        let mean = (total / bundle.accounts.len().max(1) as f64).max(1.0);
        self.config.calls = bundle.limits.queue_calls;
        self.weights = bundle
            .accounts
            .iter()
            .map(|each| (each.name.clone(), (each.rate as f64 / mean).max(LEAST_WEIGHT)))
            .collect();
    }

    /// Number of calls that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The calls that wait, in order of arrival in the queue.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.waiting.values().map(|waiting| &waiting.entry)
    }

    /// Adds a call. Returns the call that gave way to it, if one had to.
    ///
    /// # Errors
    ///
    /// [`Full`] with the call if the queue is full and no other call is to give way.
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

    /// Takes out the call that is to be served next among those that can run.
    ///
    /// `can_run` is asked at most once for each item and class, and once more for
    /// late calls; its answer is taken to hold for all such calls.
    pub fn pop(
        &mut self,
        now: ids::Time,
        mut can_run: impl FnMut(&Entry) -> bool,
    ) -> Option<Entry> {
        self.age(now);
        let seq = match self.config.discipline {
            policy::Discipline::LeastServed | policy::Discipline::Fair => {
                self.next_fair(now, &mut can_run)
            }
            policy::Discipline::Fifo => self.next_fifo(&mut can_run),
        }?;
        self.take(seq)
    }

    /// Takes out the calls that have missed their deadlines.
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

    /// The earliest deadline of a call that waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<ids::Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Takes out a call.
    pub fn remove(&mut self, call: ids::Call) -> Option<Entry> {
        let seq = *self.calls.get(&call)?;
        self.take(seq)
    }

    /// Takes out all calls for which `keep` does not hold.
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
        let seq = self.next;
        self.next += 1;
        let late_at = entry.arrived + time::Duration::from_millis(self.config.fresh_ms);
        let place = fair::Place {
            account: entry.account.clone(),
            item: sync::Arc::clone(&entry.item),
            seq,
            tokens: entry.tokens,
            late: late_at <= now,
        };
        if !place.late {
            self.ageing.insert((late_at, seq));
        }
        self.ring(entry.class).insert(&place);
        self.deadlines.insert((entry.deadline, seq));
        self.calls.insert(entry.call, seq);
        self.waiting.insert(seq, Waiting { entry, place });
    }

    fn take(&mut self, seq: u64) -> Option<Entry> {
        let Waiting { entry, place } = self.waiting.remove(&seq)?;
        let late_at = entry.arrived + time::Duration::from_millis(self.config.fresh_ms);
        self.ageing.remove(&(late_at, seq));
        self.deadlines.remove(&(entry.deadline, seq));
        self.calls.remove(&entry.call);
        self.ring(entry.class).remove(&place);
        Some(entry)
    }

    fn age(&mut self, now: ids::Time) {
        while let Some(&(late_at, seq)) = self.ageing.first() {
            if late_at > now {
                break;
            }
            self.ageing.pop_first();
            let Some(waiting) = self.waiting.get_mut(&seq) else {
                continue;
            };
            let ring = match waiting.entry.class {
                format::Class::Paid => &mut self.paid,
                format::Class::Courtesy => &mut self.courtesy,
            };
            ring.age(&mut waiting.place);
        }
    }

    /// The call that gives way to `entry` when the queue is full.
    fn victim(&self, entry: &Entry) -> Option<u64> {
        let weight = |account: &ids::Account| weight(&self.weights, account);
        if entry.class == format::Class::Paid
            && let Some((account, _)) = self.courtesy.longest(weight)
        {
            return self.courtesy.newest(account);
        }
        let ring = match entry.class {
            format::Class::Paid => &self.paid,
            format::Class::Courtesy => &self.courtesy,
        };
        let (account, longest) = ring.longest(weight)?;
        let own = ring.tokens(&entry.account) + entry.tokens;
        let shorter = own as f64 / weight(&entry.account) < longest;
        if shorter { ring.newest(account) } else { None }
    }

    fn next_fair(
        &mut self,
        now: ids::Time,
        can_run: &mut impl FnMut(&Entry) -> bool,
    ) -> Option<u64> {
        if self.courtesy.is_empty() {
            self.owed = self.owed.min(0.0);
        }
        if self.owed > 0.0
            && let Some(seq) = self.next_of(now, format::Class::Courtesy, can_run)
        {
            self.owed -= self.waiting[&seq].entry.tokens as f64;
            return Some(seq);
        }
        let Some(seq) = self.next_of(now, format::Class::Paid, can_run) else {
            return self.next_of(now, format::Class::Courtesy, can_run);
        };
        if !self.courtesy.is_empty() {
            let tokens = self.waiting[&seq].entry.tokens as f64;
            self.owed += tokens * self.config.floor_permille as f64 / 1_000.0;
        }
        Some(seq)
    }

    fn next_of(
        &mut self,
        now: ids::Time,
        class: format::Class,
        can_run: &mut impl FnMut(&Entry) -> bool,
    ) -> Option<u64> {
        let ring = match class {
            format::Class::Paid => &mut self.paid,
            format::Class::Courtesy => &mut self.courtesy,
        };
        let average = self.config.quantum as f64;
        let weights = &self.weights;
        let waiting = &self.waiting;
        let mut known = collections::BTreeMap::new();
        let can_run = |seq| {
            let Waiting { entry, place } = &waiting[&seq];
            let key = (sync::Arc::clone(&entry.item), place.late);
            *known.entry(key).or_insert_with(|| can_run(entry))
        };
        if self.config.discipline == policy::Discipline::LeastServed {
            return ring.least_served(now, |account| weight(weights, account), can_run);
        }
        ring.next(|account| average * weight(weights, account), can_run)
    }

    fn next_fifo(&self, can_run: &mut impl FnMut(&Entry) -> bool) -> Option<u64> {
        let mut known = collections::BTreeMap::new();
        let runs = |waiting: &Waiting| {
            let entry = &waiting.entry;
            let key = (sync::Arc::clone(&entry.item), entry.class);
            *known.entry(key).or_insert_with(|| can_run(entry))
        };
        let mut runs = runs;
        let (seq, _) = self.waiting.iter().find(|(_, waiting)| runs(waiting))?;
        Some(*seq)
    }

    const fn ring(&mut self, class: format::Class) -> &mut fair::Ring {
        match class {
            format::Class::Paid => &mut self.paid,
            format::Class::Courtesy => &mut self.courtesy,
        }
    }
}

/// Weight of an account whose declared rate is 0 or next to it.
const LEAST_WEIGHT: f64 = 0.01;

fn weight(weights: &collections::BTreeMap<ids::Account, f64>, account: &ids::Account) -> f64 {
    weights.get(account).copied().unwrap_or(1.0)
}
