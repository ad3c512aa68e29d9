//! What targets announce in the heads of their answers: that they leave, or that they want
//! nothing for a time.
//!
//! For loads in which a target is taken out of service or is overloaded while many VMs send
//! to it: calls go elsewhere at once, and come back spread out when a pause is over.

use std::{collections, time};

/// Maximum length of a pause; longer ones are cut to it.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(30);
/// Minimum time between the end of a pause and the first request: times are rounded down to
/// whole milliseconds.
const MIN_OFFSET: time::Duration = time::Duration::from_millis(5);
/// Width of the range of return times for each VM of the fleet: on average 50 VMs return in
/// a second, which is below the rate of a single instance of a plain service.
const WIDTH_PER_VM: time::Duration = time::Duration::from_millis(20);
/// Range of that width: small fleets still return one after the other, and large ones within
/// the time that callers wait.
const WIDTH_RANGE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(100), time::Duration::from_secs(3));
/// Minimum time after its return for which a VM limits its rate.
const MIN_RAMP: time::Duration = time::Duration::from_millis(500);
/// Total length of consecutive pauses from which on the target's copies of models do not
/// count: as long as a load from the weight store.
const LONG_PAUSE: time::Duration = time::Duration::from_secs(8);
/// Maximum number of instances without a row that are remembered.
const MAX_FORMER: usize = 1_024;

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// The pause that it asks for.
    pub pause: Option<Pause>,
}

impl Notice {
    /// Whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A pause that a target asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// For this time.
    For(time::Duration),
    /// For a time that is negative or not a number.
    Unreadable,
}

/// How the VMs of a fleet spread their return after a pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Width of the range of the VMs' return times.
    width: time::Duration,
    /// Shift within the range, as a fraction of it.
    phase: f64,
}

impl Spread {
    /// Creates the spread of a fleet with this many VMs, of which this one is called `vm`.
    /// VMs that start together may have the same seed; their names differ.
    #[must_use]
    pub fn new(vms: usize, vm: &ids::Vm) -> Self {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let (min, max) = WIDTH_RANGE;
        let phase = (route::hash::seed(vm.as_str()) >> 32) as f64 / (1_u64 << 32) as f64;
        Self { width: WIDTH_PER_VM.saturating_mul(vms).clamp(min, max), phase }
    }

    /// Time after its return for which a VM limits its rate.
    #[must_use]
    pub fn ramp(&self) -> time::Duration {
        self.width.max(MIN_RAMP)
    }

    /// Minimum time between two requests of a VM in that time.
    fn interval(&self) -> time::Duration {
        self.width / 2
    }

    fn offset<R: rand::Rng + ?Sized>(&self, rng: &mut R) -> time::Duration {
        let place: f64 = rng.random_range(0.0..1.0);
        MIN_OFFSET + self.width.mul_f64((place + self.phase).fract())
    }
}

/// A pause in force, and the return after it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Current {
    /// Start of the first of the consecutive pauses.
    since: ids::Time,
    until: ids::Time,
    /// Time from the end of the pause to the first request.
    offset: time::Duration,
    spread: Spread,
    /// Requests since the return.
    released: u32,
}

impl Current {
    fn returns_at(&self) -> ids::Time {
        self.until + self.offset
    }

    /// Whether another request may be sent.
    fn admits(&self, now: ids::Time) -> bool {
        let returns_at = self.returns_at();
        if now < returns_at {
            return false;
        }
        let passed = now.since(returns_at);
        let due = passed.as_millis() / self.spread.interval().as_millis().max(1);
        passed >= self.spread.ramp() || u128::from(self.released) <= due
    }
}

/// Effect of a pause that a target has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has begun.
    Begun {
        /// Number of pauses since the target last answered a call.
        in_a_row: u32,
    },
    /// The pause in force ends later.
    Extended,
    /// The pause in force lasts as long, or the pause has no length.
    Unchanged,
    /// It was not readable, for the first time.
    Unreadable,
}

/// What an instance has announced to this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    is_leaving: bool,
    pause: Option<Current>,
    /// Pauses since the last answer to a call.
    in_a_row: u32,
    has_been_unreadable: bool,
}

impl State {
    /// Records that the instance leaves. Returns whether this is news.
    pub const fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the instance asks for a pause. Of two pauses, the later end counts.
    pub fn ask<R: rand::Rng + ?Sized>(
        &mut self,
        now: ids::Time,
        asked: Pause,
        spread: Spread,
        rng: &mut R,
    ) -> Outcome {
        let Pause::For(length) = asked else {
            let is_news = !std::mem::replace(&mut self.has_been_unreadable, true);
            return if is_news { Outcome::Unreadable } else { Outcome::Unchanged };
        };
        if length.is_zero() {
            return Outcome::Unchanged;
        }
        let until = now + length.min(MAX_PAUSE);
        if let Some(current) = self.pause.as_mut().filter(|current| now < current.returns_at()) {
            if until <= current.until {
                return Outcome::Unchanged;
            }
            current.until = until;
            return Outcome::Extended;
        }
        let since = self.pause.filter(|_| self.in_a_row > 0).map_or(now, |before| before.since);
        self.in_a_row = self.in_a_row.saturating_add(1);
        let offset = spread.offset(rng);
        self.pause = Some(Current { since, until, offset, spread, released: 0 });
        Outcome::Begun { in_a_row: self.in_a_row }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: ids::Time) {
        if let Some(current) = self.pause.as_mut().filter(|current| now >= current.returns_at()) {
            current.released = current.released.saturating_add(1);
        }
    }

    /// Records the answer to a call that was sent at `sent`.
    pub fn record_answered(&mut self, sent: ids::Time) {
        if self.pause.is_some_and(|current| sent >= current.until) {
            self.in_a_row = 0;
        }
    }

    /// Whether the instance has announced that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// When this VM sends to the instance again; `None` if it does now.
    #[must_use]
    pub fn returns_at(&self, now: ids::Time) -> Option<ids::Time> {
        self.pause.map(|current| current.returns_at()).filter(|at| now < *at)
    }

    /// Whether the instance is paused, and has been for so long, without an answer to a call,
    /// that its copies of models do not count.
    #[must_use]
    pub fn is_long(&self, now: ids::Time) -> bool {
        let is_long = |current: &Current| current.returns_at().since(current.since) >= LONG_PAUSE;
        self.returns_at(now).is_some() && self.pause.as_ref().is_some_and(is_long)
    }

    /// Whether a call may be sent to the instance now.
    #[must_use]
    pub fn admits(&self, now: ids::Time) -> bool {
        !self.is_leaving && self.pause.is_none_or(|current| current.admits(now))
    }

    /// Whether the instance has announced anything.
    #[must_use]
    pub const fn has_announced(&self) -> bool {
        self.is_leaving || self.pause.is_some()
    }
}

/// An instance: the name of a target, and the start time of its process.
type Instance = (ids::Target, u64);

/// What instances without a row have announced: their rows may come back, or are those of
/// another process by now.
#[derive(Clone, Debug, Default)]
pub struct Former {
    entries: collections::VecDeque<(Instance, State)>,
}

impl Former {
    /// Remembers what an instance has announced. The oldest entry is dropped when there are
    /// too many.
    pub fn keep(&mut self, target: &ids::Target, born: u64, state: State) {
        if state.has_announced() {
            *self.get_mut(target, born) = state;
        }
    }

    /// Removes and returns what an instance has announced.
    pub fn take(&mut self, target: &ids::Target, born: u64) -> State {
        let index = self.position(target, born);
        index
            .and_then(|index| self.entries.remove(index))
            .map_or_else(State::default, |(_, state)| state)
    }

    /// What an instance has announced, to be changed.
    pub fn get_mut(&mut self, target: &ids::Target, born: u64) -> &mut State {
        let index = self.position(target, born).unwrap_or_else(|| {
            if self.entries.len() >= MAX_FORMER {
                self.entries.pop_front();
            }
            self.entries.push_back(((target.clone(), born), State::default()));
            self.entries.len() - 1
        });
        &mut self.entries[index].1
    }

    fn position(&self, target: &ids::Target, born: u64) -> Option<usize> {
        let is_same = |((name, start), _): &(Instance, State)| name == target && *start == born;
        self.entries.iter().position(is_same)
    }

    /// Number of instances that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
