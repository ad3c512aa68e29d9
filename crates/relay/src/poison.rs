//! Prompt parts that crash engines.
//!
//! A part of a prompt may crash each engine that begins to write an answer on it. The
//! crash also breaks off the sound calls of that engine, so a single one does not tell
//! which call caused it. All VMs together count the crashes by the parts of the calls
//! that were broken off as they began. A part is blocked once engines have crashed at
//! several moments and no call with it has been written since: sound calls are, elsewhere.
//! Engines that fail at the same moment may have another cause. A part that has more crashes
//! than that, at however few moments, is blocked once other calls that they broke off have
//! been written elsewhere for some time, and calls with it have not.
//!
//! Where a large share of a caller's calls has the part, their common parts may have no sound
//! call since either. A part that was sound before the crashes is a suspect only for those that
//! no new part explains.
//!
//! The ledger of a VM merges those of the others. Merging in any order, and more than
//! once, has the same result, so lost and repeated messages do no harm.

use std::{collections, time};

use crate::envelope;

/// Moments with crashes, without a sound call since, after which a part is blocked.
pub const MIN_MOMENTS: usize = 3;
/// Crashes within this time count as one moment.
pub const MOMENT: time::Duration = time::Duration::from_millis(200);
/// Time from the last of these moments until the part is blocked, within which sound calls
/// become known to all VMs.
pub const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);
/// The same time for a part that was sound before, within which new parts that explain the
/// crashes become known.
pub const KNOWN_SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Crashes without a sound call since, at however few moments, after which a part is blocked.
/// One less than the five after which the platform wants calls to stop, as one crash may go
/// unnoticed.
pub const MIN_CRASHES: usize = 4;
/// Time for which other calls that a crash broke off have to be served elsewhere before it
/// counts against a part without sound calls. After a failure of all engines at once, popular
/// parts are served again within this time.
pub const SERVED_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time after its last crash for which a part is blocked. Calls with it are then sent
/// again, as a new release of the engine may no longer crash.
pub const BLOCK_TIME: time::Duration = time::Duration::from_mins(10);
/// Time after its last crash for which a part with enough crashes is remembered, so that
/// one more blocks it again.
const PROVEN_TIME: time::Duration = time::Duration::from_hours(1);
/// Time after its last crash for which any other part is remembered.
const SUSPECT_TIME: time::Duration = time::Duration::from_mins(2);
/// Largest number of parts remembered, of crashes per part, and of crashes with sound calls.
const MAX_PARTS: usize = 4_096;
const MAX_CRASHES: usize = 32;
const MAX_WITNESSED: usize = 4_096;
/// Number of sound parts remembered at least, if there are as many; twice that at most.
const MIN_SOUND_PARTS: usize = 2_048;
/// Largest number of blocked parts that are saved: rows of the store are limited.
const MAX_SAVED: usize = 16;

/// Identifies a crash of an engine: a hash of its name and start time.
pub type Crash = u64;

/// What a VM knows of a part, for the other VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Hash of the part's name.
    #[serde(rename = "p")]
    pub part: u64,
    /// Crashes that broke off a call with it, each with its age in ms.
    #[serde(rename = "c")]
    pub crashes: Vec<(Crash, u64)>,
    /// Those of them after which a call with it was sound.
    #[serde(rename = "s")]
    pub sound: Vec<Crash>,
    /// Those of them after which other calls were served for [`SERVED_TIME`], but none with it.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub served: Vec<Crash>,
    /// Whether a call with it was sound before these crashes or since.
    #[serde(rename = "k", default, skip_serializing_if = "std::ops::Not::not")]
    pub was_sound: bool,
}

/// A part that was blocked or released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Hash of the part's name.
    pub part: u64,
    /// Whether it is blocked now.
    pub is_blocked: bool,
    /// Number of crashes without a sound call since.
    pub crashes: usize,
}

/// A block of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Hash of the part's name.
    pub part: u64,
    /// When the block ends if there is no further crash.
    pub until: ids::Time,
}

/// What is known of one part.
#[derive(Clone, Debug)]
struct Row {
    /// Crashes and their times.
    crashes: collections::BTreeMap<Crash, ids::Time>,
    sound: collections::BTreeSet<Crash>,
    served: collections::BTreeSet<Crash>,
    was_sound: bool,
    changed_at: ids::Time,
}

impl Row {
    fn new(now: ids::Time) -> Self {
        Self {
            crashes: collections::BTreeMap::new(),
            sound: collections::BTreeSet::new(),
            served: collections::BTreeSet::new(),
            was_sound: false,
            changed_at: now,
        }
    }

    /// Crashes after which no call with the part was sound, with their times.
    fn open_crashes(&self) -> impl Iterator<Item = (Crash, ids::Time)> {
        let crashes = self.crashes.iter().map(|(crash, at)| (*crash, *at));
        crashes.filter(|(crash, _)| !self.sound.contains(crash))
    }

    /// Moments of the open crashes; none if there are too few crashes for a block.
    fn moments(&self) -> Vec<ids::Time> {
        if self.crashes.len() < MIN_MOMENTS + self.sound.len() {
            return Vec::new();
        }
        let mut times: Vec<_> = self.open_crashes().map(|(_, at)| at).collect();
        times.sort_unstable();
        let mut moments = Vec::<ids::Time>::new();
        for at in times {
            if moments.last().is_none_or(|last| at.since(*last) >= MOMENT) {
                moments.push(at);
            }
        }
        moments
    }

    /// Whether enough open crashes were followed by calls with other parts only.
    fn is_alone(&self) -> bool {
        self.served.difference(&self.sound).count() >= MIN_CRASHES
    }

    /// Whether there are enough open crashes for a block.
    fn is_proven(&self) -> bool {
        self.moments().len() >= MIN_MOMENTS || self.is_alone()
    }

    /// Time of the last crash.
    fn crashed_at(&self) -> ids::Time {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    /// Records a crash. Returns whether it is a new one.
    fn add_crash(&mut self, crash: Crash, crashed_at: ids::Time) -> bool {
        if let Some(at) = self.crashes.get_mut(&crash) {
            *at = crashed_at.min(*at);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            // Crashes that were followed by a sound call are of no further use.
            let Some(sound) = self.sound.pop_first() else {
                return false;
            };
            self.crashes.remove(&sound);
            self.served.remove(&sound);
        }
        self.crashes.insert(crash, crashed_at);
        true
    }

    /// Whether nothing has happened for so long that the part is forgotten.
    fn is_outdated(&self, now: ids::Time) -> bool {
        if self.is_proven() {
            return now.since(self.crashed_at()) >= PROVEN_TIME;
        }
        now.since(self.crashed_at().max(self.changed_at)) >= SUSPECT_TIME
    }

    /// The open crashes, if the part is to be blocked on their account: there are enough,
    /// sound calls had the time to show, and the last one is recent.
    fn evidence(&self, now: ids::Time) -> Option<collections::BTreeSet<Crash>> {
        let moments = self.moments();
        let decisive = moments.get(MIN_MOMENTS - 1);
        let settle_time = if self.was_sound { KNOWN_SETTLE_TIME } else { SETTLE_TIME };
        let is_settled = decisive.is_some_and(|at| now.since(*at) >= settle_time);
        let is_recent = now.since(self.crashed_at()) < BLOCK_TIME;
        ((is_settled || self.is_alone()) && is_recent)
            .then(|| self.open_crashes().map(|(crash, _)| crash).collect())
    }

    fn entry(&self, now: ids::Time, part: u64) -> Entry {
        let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let crashes = self.crashes.iter().map(|(crash, at)| (*crash, age_ms(*at)));
        Entry {
            part,
            crashes: crashes.collect(),
            sound: self.sound.iter().copied().collect(),
            served: self.served.iter().copied().collect(),
            was_sound: self.was_sound,
        }
    }
}

/// Parts that were sound lately, in two generations: the older one is dropped when the younger
/// one is full.
#[derive(Clone, Debug, Default)]
struct Memory {
    younger: collections::BTreeSet<u64>,
    older: collections::BTreeSet<u64>,
}

impl Memory {
    fn insert(&mut self, part: u64) {
        self.younger.insert(part);
        if self.younger.len() >= MIN_SOUND_PARTS {
            self.older = std::mem::take(&mut self.younger);
        }
    }

    fn contains(&self, part: u64) -> bool {
        self.younger.contains(&part) || self.older.contains(&part)
    }
}

/// Open crashes of a part that may have caused them.
type Suspect = (u64, collections::BTreeSet<Crash>);

/// The suspects that were not only hit: not all their crashes are also those of one that has
/// more.
fn causes<'a>(suspects: &[&'a Suspect]) -> Vec<&'a Suspect> {
    let is_hit_only = |(_, evidence): &Suspect| {
        let mut others = suspects.iter();
        others.any(|(_, other)| other.len() > evidence.len() && evidence.is_subset(other))
    };
    suspects.iter().copied().filter(|suspect| !is_hit_only(suspect)).collect()
}

/// Parts of calls that were broken off by crashes.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: collections::BTreeMap<u64, Row>,
    blocked: collections::BTreeSet<u64>,
    /// Crashes after which a call with a part of one that they broke off was sound, with the
    /// times at which this was known here.
    witnessed: collections::BTreeMap<Crash, ids::Time>,
    /// Parts that were sound lately, whether engines crashed on calls with them or not.
    sound: Memory,
}

/// Parts of a prompt that may crash an engine. The last one belongs to the call itself.
pub fn shared_parts(prompt: &[envelope::Part]) -> impl Iterator<Item = u64> {
    let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.hash)
}

impl Ledger {
    /// Records that a crash broke off calls with these parts.
    pub fn record_crash(
        &mut self,
        now: ids::Time,
        crash: Crash,
        parts: impl IntoIterator<Item = u64>,
    ) {
        for part in parts {
            let row = self.rows.entry(part).or_insert_with(|| Row::new(now));
            row.was_sound |= self.sound.contains(part);
            if row.add_crash(crash, now) {
                row.changed_at = now;
            }
        }
        self.limit();
    }

    /// Records that a call with these parts is or was written without a crash.
    pub fn record_sound(&mut self, now: ids::Time, parts: impl IntoIterator<Item = u64>) {
        for part in parts {
            self.sound.insert(part);
            let Some(row) = self.rows.get_mut(&part) else {
                continue;
            };
            if row.open_crashes().next().is_some() {
                for crash in row.crashes.keys() {
                    row.sound.insert(*crash);
                    self.witnessed.entry(*crash).or_insert(now);
                }
                row.was_sound = true;
                row.changed_at = now;
            }
        }
    }

    /// Merges what another VM knows.
    pub fn merge(&mut self, now: ids::Time, entries: &[Entry]) {
        for entry in entries {
            let row = self.rows.entry(entry.part).or_insert_with(|| Row::new(now));
            let was_sound = entry.was_sound || self.sound.contains(entry.part);
            let mut is_news = was_sound && !row.was_sound;
            row.was_sound |= was_sound;
            for (crash, age_ms) in &entry.crashes {
                let at = ids::Time::from_millis(now.as_millis().saturating_sub(*age_ms));
                is_news |= row.add_crash(*crash, at);
            }
            for crash in entry.sound.iter().filter(|crash| row.crashes.contains_key(crash)) {
                is_news |= row.sound.insert(*crash);
                self.witnessed.entry(*crash).or_insert(now);
            }
            for crash in entry.served.iter().filter(|crash| row.crashes.contains_key(crash)) {
                is_news |= row.served.insert(*crash);
            }
            if is_news {
                row.changed_at = now;
            }
        }
        self.limit();
    }

    /// What changed within `max_age`, and all blocked parts.
    #[must_use]
    pub fn news(&self, now: ids::Time, max_age: time::Duration) -> Vec<Entry> {
        let is_news = |(part, row): &(&u64, &Row)| {
            self.blocked.contains(part) || now.since(row.changed_at) <= max_age
        };
        self.rows.iter().filter(is_news).map(|(part, row)| row.entry(now, *part)).collect()
    }

    /// The blocked parts with the latest crashes, to be saved.
    #[must_use]
    pub fn save(&self, now: ids::Time) -> Vec<Entry> {
        let blocked = self.blocked.iter().filter_map(|part| Some((*part, self.rows.get(part)?)));
        let mut blocked: Vec<_> = blocked.collect();
        blocked.sort_by_key(|(_, row)| std::cmp::Reverse(row.crashed_at()));
        blocked.into_iter().take(MAX_SAVED).map(|(part, row)| row.entry(now, part)).collect()
    }

    /// Number of blocked parts.
    #[must_use]
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// The block of the first of these parts that is blocked.
    #[must_use]
    pub fn block(&self, parts: impl IntoIterator<Item = u64>) -> Option<Block> {
        if self.blocked.is_empty() {
            return None;
        }
        let part = parts.into_iter().find(|part| self.blocked.contains(part))?;
        Some(Block { part, until: self.rows.get(&part)?.crashed_at() + BLOCK_TIME })
    }

    /// Decides anew which parts are blocked, and returns what has changed.
    pub fn update(&mut self, now: ids::Time) -> Vec<Change> {
        self.mark_served(now);
        self.rows.retain(|_, row| !row.is_outdated(now));
        let suspects = self.rows.iter().filter_map(|(part, row)| Some((*part, row.evidence(now)?)));
        let suspects: Vec<Suspect> = suspects.collect();
        let was_sound = |(part, _): &&Suspect| self.rows.get(part).is_some_and(|row| row.was_sound);
        let (known, mut new): (Vec<_>, Vec<_>) = suspects.iter().partition(was_sound);
        let explained: collections::BTreeSet<_> =
            causes(&new).into_iter().flat_map(|(_, evidence)| evidence).copied().collect();
        let is_unexplained = |(_, evidence): &&Suspect| {
            explained.is_empty() || evidence.difference(&explained).count() >= MIN_MOMENTS
        };
        new.extend(known.into_iter().filter(is_unexplained));
        let blocked: collections::BTreeSet<_> =
            causes(&new).into_iter().map(|(part, _)| *part).collect();
        let changed: Vec<_> = blocked.symmetric_difference(&self.blocked).copied().collect();
        self.blocked = blocked;
        let change = |part: u64| Change {
            part,
            is_blocked: self.blocked.contains(&part),
            crashes: self.rows.get(&part).map_or(0, |row| row.open_crashes().count()),
        };
        changed.into_iter().map(change).collect()
    }

    /// Marks the open crashes of suspect parts after which other calls were served for long
    /// enough.
    fn mark_served(&mut self, now: ids::Time) {
        self.witnessed.retain(|_, at| now.since(*at) < SUSPECT_TIME);
        let Self { rows, witnessed, .. } = self;
        let is_served =
            |crash: &Crash| witnessed.get(crash).is_some_and(|at| now.since(*at) >= SERVED_TIME);
        for row in rows.values_mut() {
            if row.crashes.len() < MIN_CRASHES + row.sound.len() {
                continue;
            }
            let open = row.open_crashes().map(|(crash, _)| crash);
            let served: Vec<_> = open.filter(is_served).collect();
            for crash in served {
                if row.served.insert(crash) {
                    row.changed_at = now;
                }
            }
        }
    }

    /// Forgets the parts that have not changed for the longest time if there are too many.
    fn limit(&mut self) {
        while self.witnessed.len() > MAX_WITNESSED {
            let Some((crash, _)) = self.witnessed.iter().min_by_key(|(_, at)| **at) else {
                break;
            };
            let crash = *crash;
            self.witnessed.remove(&crash);
        }
        while self.rows.len() > MAX_PARTS {
            let is_free = |part: &u64| !self.blocked.contains(part);
            let rows = self.rows.iter().filter(|(part, _)| is_free(part));
            let Some(part) = rows.min_by_key(|(_, row)| row.changed_at).map(|(part, _)| *part)
            else {
                return;
            };
            self.rows.remove(&part);
        }
    }
}
