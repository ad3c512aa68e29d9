//! Rates and bursts of client accounts over all VMs together.
//!
//! Each VM keeps a bucket for the whole account and takes out of it what it
//! grants itself and what the other VMs tell that they have granted. What is
//! told late makes the bucket's level negative and is paid back, so an excess
//! lasts no longer than the way of a message. For VMs that are silent, an
//! equal share of the rate and of the burst is set aside. VMs that do not all
//! hear the same others cannot tell who counts on which share, so each of them
//! keeps to its own.
//!
//! Where an account asks for more than the level would bear until the next
//! digests arrive, each VM grants out of its portion of the rate, in proportion to
//! what is asked of it: otherwise all VMs of a large fleet would spend the same
//! level at once.

mod bucket;

use std::{collections, time};

use crate::{config, decay};

/// Least burst, in units: one call must be able to get through.
const MIN_BURST: f64 = 1.0;
/// Part of the slack with which the buckets of all VMs together begin. The rest is
/// for what VMs grant before they hear of one another's grants, and for a second
/// start within the same window.
const START_FRACTION: f64 = 0.25;
/// Part of what the platform tolerates that VMs may grant beyond the level before
/// they hear of one another. The rest is for starts, cuts and late digests.
const UNHEARD_FRACTION: f64 = 0.5;
/// Time from a digest to its effect in the others, beyond the time between two
/// digests: the way, two ticks, and a wait for the processor.
const DIGEST_DELAY: time::Duration = time::Duration::from_millis(100);
/// Age up to which what the store keeps of a bucket is used: a restart of all VMs
/// takes one to two seconds, and the planner writes every 0.7 s.
const SAVED_FOR: time::Duration = time::Duration::from_secs(5);
/// Accounts that are kept in the store at most, those that ask for most: with the
/// longest names, they fill two thirds of a row.
const SAVED_ACCOUNTS: usize = 200;
/// What a VM has granted since it started, and what it takes the level to be.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// The account.
    #[serde(rename = "a")]
    pub account: ids::Account,
    /// Units granted since the start of the VM's process.
    #[serde(rename = "g")]
    pub granted: f64,
    /// Level of the bucket.
    #[serde(rename = "l")]
    pub level: f64,
    /// Units asked for of late, a second, granted or not.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub asked: f64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
const fn is_zero(number: &f64) -> bool {
    *number <= 0.0
}

/// What the planner writes of the buckets to the store, so that VMs that all start
/// anew do not begin with empty ones.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Saved {
    /// The store's clock when this held, in ms.
    pub at_ms: u64,
    /// Level of each account's bucket, and units asked of all VMs a second.
    pub accounts: collections::BTreeMap<ids::Account, (f64, f64)>,
}

/// What a VM knows of the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// Not yet which VMs there are.
    Unknown,
    /// Those that it hears do not hear the same VMs, so that no two of them may
    /// count on the same share: each keeps to its own.
    Alone {
        /// All VMs, this one too.
        all: usize,
    },
    /// Those that it hears all hear the same VMs and share one bucket.
    Together {
        /// VMs that are heard, this one too.
        heard: usize,
        /// All VMs, this one too.
        all: usize,
    },
}

impl View {
    /// All VMs, if they are known.
    const fn all(self) -> Option<usize> {
        match self {
            Self::Unknown | Self::Alone { all: 0 } | Self::Together { all: 0, .. } => None,
            Self::Alone { all } | Self::Together { all, .. } => Some(all),
        }
    }

    /// Share of the rate and of the burst that the bucket may use.
    fn share(self) -> f64 {
        match self {
            Self::Unknown => 0.0,
            Self::Alone { all } => 1.0 / all.max(1) as f64,
            Self::Together { heard, all } => heard as f64 / all.max(1) as f64,
        }
    }
}

/// Outcome of asking for units: how long to wait if there are too few.
pub type Result<T, E = Short> = std::result::Result<T, E>;

/// {level:.0} units are left of {burst:.0}, at {rate:.0} a second; in {wait:?} there may be enough
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(displaydoc::Display)]
pub struct Short {
    /// Time until there may be enough.
    pub wait: time::Duration,
    /// Units that are left; below 0 after others have told late what they granted.
    pub level: f64,
    /// Units a second.
    pub rate: f64,
    /// Units that can be saved up.
    pub burst: f64,
}

impl std::error::Error for Short {}

/// What the platform lets an account have beyond its rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Time over which the platform counts.
    pub window: time::Duration,
    /// Part of what rate and burst allow in such a time.
    pub overage: f64,
    /// Units beyond that.
    pub slack: f64,
}

impl Tolerance {
    /// Units beyond `rate` and `burst` in any window.
    #[must_use]
    pub fn units(&self, rate: f64, burst: f64) -> f64 {
        self.overage * (rate * self.window.as_secs_f64() + burst) + self.slack
    }
}

/// The buckets of all accounts with a limit.
#[derive(Clone, Debug, Default)]
pub struct Table {
    tolerance: Tolerance,
    /// When the other VMs were told last, and the time between the last two digests.
    last_digest: Option<(ids::Time, time::Duration)>,
    buckets: collections::BTreeMap<ids::Account, bucket::Bucket>,
    /// What the store keeps from before the start, and when and at which age it was read.
    saved: Option<(ids::Time, time::Duration, Saved)>,
}

impl Table {
    /// No buckets yet.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Takes in the limits of a configuration. New buckets begin nearly empty,
    /// for what other VMs have granted of late is not known yet.
    pub fn adopt(&mut self, now: ids::Time, config: &config::Config) {
        let limited = |account: &&config::Account| account.rate > 0.0;
        let start_units = self.tolerance.slack * START_FRACTION;
        let mut before = std::mem::take(&mut self.buckets);
        for account in config.accounts.values().filter(limited) {
            let bucket = before.remove(&account.name).unwrap_or_else(|| bucket::Bucket {
                rate: 0.0,
                burst: 0.0,
                level: 0.0,
                granted: 0.0,
                refilled_at: now,
                share: 0.0,
                start_units,
                saved: None,
                reported: collections::BTreeMap::new(),
                asked: decay::Sum::new(bucket::ASKED_HALF_LIFE_MS),
                portion: 0.0,
                portion_grown_at: now,
            });
            let burst = account.burst.max(MIN_BURST);
            let level = bucket.level.min(burst);
            let bucket = bucket::Bucket { rate: account.rate, burst, level, ..bucket };
            self.buckets.insert(account.name.clone(), bucket);
        }
        self.distribute_saved();
    }

    /// What is to be kept in the store, whose clock shows `at_ms`; none if this VM
    /// does not share one bucket with most others, as after a start.
    #[must_use]
    pub fn save(&mut self, now: ids::Time, view: View, at_ms: u64) -> Option<Saved> {
        if !matches!(view, View::Together { heard, all } if heard * 2 > all) {
            return None;
        }
        let share = view.share();
        let accounts = self.buckets.iter_mut().map(|(account, bucket)| {
            bucket.refill(now, view);
            let asked = bucket.asked.per_second(now) + bucket.asked_elsewhere(now);
            (account.clone(), ((bucket.level / share).round(), asked.round()))
        });
        let mut accounts: Vec<_> = accounts.collect();
        accounts.sort_by(|(_, (_, one)), (_, (_, other))| other.total_cmp(one));
        accounts.truncate(SAVED_ACCOUNTS);
        Some(Saved { at_ms, accounts: accounts.into_iter().collect() })
    }

    /// Takes in what the store has kept since before this VM's start, if it is read
    /// for the first time and not too old; the store's clock shows `clock_ms`. Returns
    /// its age if it was taken in.
    pub fn restore(
        &mut self,
        now: ids::Time,
        saved: &Saved,
        clock_ms: u64,
    ) -> Option<time::Duration> {
        let age = time::Duration::from_millis(clock_ms.saturating_sub(saved.at_ms));
        if self.saved.is_some() || age > SAVED_FOR || saved.at_ms == 0 {
            return None;
        }
        self.saved = Some((now, age, saved.clone()));
        self.distribute_saved();
        Some(age)
    }

    /// Gives the buckets what the store keeps of them.
    fn distribute_saved(&mut self) {
        let Some((at, age, saved)) = &mut self.saved else {
            return;
        };
        for (account, (level, asked)) in std::mem::take(&mut saved.accounts) {
            if let Some(bucket) = self.buckets.get_mut(&account) {
                // When the VMs ended is not known: what was asked for is taken as
                // granted up to now.
                let since = (bucket.rate - asked) * age.as_secs_f64();
                // What was granted too much stays so.
                let level = (level + since).clamp(level.min(0.0), bucket.burst);
                bucket.saved = Some(bucket::SavedLevel { level, at: *at, is_share_used: false });
            }
        }
    }

    /// Asks for `units` of `account`; an account without a limit has enough.
    ///
    /// # Errors
    ///
    /// [`Short`] if there are too few.
    pub fn take(
        &mut self,
        now: ids::Time,
        view: View,
        account: &ids::Account,
        units: f64,
    ) -> Result<()> {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        let lag =
            self.last_digest.map_or(time::Duration::ZERO, |(_, interval)| interval + DIGEST_DELAY);
        let margin = UNHEARD_FRACTION * self.tolerance.units(bucket.rate, bucket.burst);
        bucket.asked.add(now, units);
        bucket.refill(now, view);
        bucket.grow_portion(now, view);
        let bucket::Bucket { level, rate, burst, .. } = *bucket;
        let short = |wait| Short { wait, level, rate, burst };
        if view.share() <= 0.0 {
            return Err(short(UNKNOWN_PEERS_WAIT));
        }
        // A call larger than the burst is let in when the bucket is full.
        let needed = units.min(bucket.burst * view.share());
        if let Some(wait) = bucket.wait(now, view, lag, margin, needed) {
            return Err(short(time::Duration::from_secs_f64(wait.min(MAX_WAIT_S))));
        }
        bucket.spend(units);
        bucket.portion -= units;
        bucket.granted += units;
        Ok(())
    }

    /// Gives back the units of a call that has not run.
    pub fn refund(&mut self, account: &ids::Account, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level = (bucket.level + units).min(bucket.burst);
            bucket.portion += units;
            bucket.granted -= units;
        }
    }

    /// What the other VMs are to be told now.
    #[must_use]
    pub fn usage(&mut self, now: ids::Time) -> Vec<Usage> {
        let interval = self.last_digest.map_or(time::Duration::ZERO, |(at, _)| now.since(at));
        self.last_digest = Some((now, interval));
        self.buckets
            .iter()
            .map(|(account, bucket)| Usage {
                account: account.clone(),
                granted: bucket.granted,
                level: bucket.level,
                asked: bucket.asked.per_second(now).round(),
            })
            .collect()
    }

    /// Takes in what another VM has told.
    pub fn apply_usage(
        &mut self,
        now: ids::Time,
        view: View,
        from: &ids::Vm,
        incarnation: ids::Incarnation,
        usages: &[Usage],
    ) {
        for usage in usages {
            let Some(bucket) = self.buckets.get_mut(&usage.account) else {
                continue;
            };
            bucket.refill(now, view);
            let Usage { granted, asked, .. } = *usage;
            let heard = bucket::Reported { incarnation, granted, asked, at: now };
            let before = bucket.reported.insert(from.clone(), heard);
            if !matches!(view, View::Together { .. }) {
                continue;
            }
            match before {
                Some(known) if known.incarnation == incarnation => {
                    bucket.spend(granted - known.granted);
                }
                // All that a restarted VM has granted is new.
                Some(_) => bucket.spend(granted),
                // A VM that is met for the first time knows more than an empty bucket.
                None if bucket.granted == 0.0 => {
                    bucket.level = bucket.level.max(usage.level.min(bucket.burst));
                }
                None => {}
            }
        }
    }
}

/// Wait that is told while the other VMs are not known: they are read at the start.
const UNKNOWN_PEERS_WAIT: time::Duration = time::Duration::from_millis(200);
/// Longest wait that is told, in s.
const MAX_WAIT_S: f64 = 60.0;
