//! Distributed rate limits of client accounts, enforced across all VMs.
//!
//! Each VM keeps a token bucket for the whole account and deducts the units that it
//! grants itself and those that other VMs report. Units reported late can make the
//! level negative; this debt is repaid from later refills, so an excess lasts no
//! longer than the delay of a message. An equal share of the rate and of the burst
//! is reserved for each silent VM. VMs that do not all hear the same peers cannot
//! know which shares the others use, so each of them uses only its own.
//!
//! If an account asks for more than the level would allow until the next digests
//! arrive, each VM grants units from its portion of the rate, in proportion to the
//! demand that it sees. Otherwise all VMs of a large fleet would spend the same
//! level at once.

pub mod allocation;
mod bucket;
mod crowded;

use std::{collections, time};

use crate::{config, decay};

pub use crowded::Shortage;

/// Minimum burst, in units, so that a single call can be granted.
const MIN_BURST: f64 = 1.0;
/// Fraction of the slack that the buckets of all VMs together start with. The rest
/// covers units granted before VMs hear of each other's usage, and a second restart
/// within the same window.
const START_FRACTION: f64 = 0.25;
/// Fraction of the tolerance that VMs may grant beyond the level before they hear of
/// each other's usage. The rest covers restarts, partitions and late digests.
const UNHEARD_FRACTION: f64 = 0.5;
/// Delay until a digest takes effect at the other VMs, in addition to the digest
/// interval: network latency, two ticks, and scheduling.
const DIGEST_DELAY: time::Duration = time::Duration::from_millis(100);
/// Maximum age of saved buckets: a restart of all VMs takes one to two seconds, and
/// the planner writes every 0.7 s.
const SAVED_FOR: time::Duration = time::Duration::from_secs(5);
/// Maximum number of saved accounts, those with the highest demand: with names of
/// maximum length, they fill two thirds of a row.
const SAVED_ACCOUNTS: usize = 200;
/// A VM's usage of an account's quota, as reported to the other VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// The account.
    #[serde(rename = "a")]
    pub account: ids::Account,
    /// Cumulative units granted since the start of the VM's process.
    #[serde(rename = "g")]
    pub granted: f64,
    /// Level of the VM's bucket.
    #[serde(rename = "l")]
    pub level: f64,
    /// Recent demand in units per second, granted or not.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub asked: f64,
    /// Recent demand by class, while the account asks for more than its rate and units are
    /// granted by urgency.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<(allocation::Class, f64)>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
const fn is_zero(number: &f64) -> bool {
    *number <= 0.0
}

/// Snapshot of the buckets that the planner writes to the store, so that buckets are
/// not empty after a simultaneous restart of all VMs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Saved {
    /// Time of the snapshot on the store's clock, in ms.
    pub at_ms: u64,
    /// Level of each account's bucket, and demand at all VMs in units per second.
    pub accounts: collections::BTreeMap<ids::Account, (f64, f64)>,
}

/// Whose usage a report covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Another VM, which reports its own usage.
    Vm(ids::Vm),
    /// The VMs of another data centre, whose aggregator reports their usage.
    Centre(ids::Centre),
    /// The VMs of all other data centres, whose usage the aggregator of this one reports.
    Elsewhere,
}

impl Source {
    /// Whether a report of this source replaces those of `other`, as it covers the same VMs.
    const fn covers(&self, other: &Self) -> bool {
        matches!(
            (self, other),
            (Self::Elsewhere, Self::Centre(_)) | (Self::Centre(_), Self::Elsewhere)
        )
    }
}

/// The process that counts the usage in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reporter {
    /// The VM.
    pub vm: ids::Vm,
    /// Its incarnation; each one counts from zero.
    pub incarnation: ids::Incarnation,
}

/// Connectivity of a VM to the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The membership is not known yet.
    Unknown,
    /// The VMs that it hears do not all hear the same VMs, so each of them may use only
    /// its own share.
    Alone {
        /// Number of all VMs, including this one.
        all: usize,
    },
    /// The VMs that it hears all hear the same VMs, and share one bucket.
    Together {
        /// Number of VMs that are heard, including this one.
        heard: usize,
        /// Number of all VMs, including this one.
        all: usize,
    },
}

impl View {
    /// Number of all VMs, if known.
    const fn all(self) -> Option<usize> {
        match self {
            Self::Unknown | Self::Alone { all: 0 } | Self::Together { all: 0, .. } => None,
            Self::Alone { all } | Self::Together { all, .. } => Some(all),
        }
    }

    /// Fraction of the rate and of the burst that the bucket may use.
    fn share(self) -> f64 {
        match self {
            Self::Unknown => 0.0,
            Self::Alone { all } => 1.0 / all.max(1) as f64,
            Self::Together { heard, all } => heard as f64 / all.max(1) as f64,
        }
    }
}

/// Result of a request for units.
pub type Result<T, E = Short> = std::result::Result<T, E>;

/// {level:.0} units are left of {burst:.0}, at {rate:.0} a second; in {wait:?} there may be enough
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(displaydoc::Display)]
pub struct Short {
    /// Time until there may be enough.
    pub wait: time::Duration,
    /// Remaining units; negative after late reports of usage by other VMs.
    pub level: f64,
    /// Units per second.
    pub rate: f64,
    /// Capacity of the bucket, in units.
    pub burst: f64,
}

impl std::error::Error for Short {}

/// Usage that the platform tolerates beyond an account's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Length of the windows in which the platform measures usage.
    pub window: time::Duration,
    /// Tolerated excess, as a fraction of the usage allowed in a window.
    pub overage: f64,
    /// Tolerated excess in units, in addition.
    pub slack: f64,
}

impl Tolerance {
    /// Tolerated units beyond `rate` and `burst` in any window.
    #[must_use]
    pub fn units(&self, rate: f64, burst: f64) -> f64 {
        self.overage * (rate * self.window.as_secs_f64() + burst) + self.slack
    }
}

/// The buckets of all accounts with a limit.
#[derive(Clone, Debug, Default)]
pub struct Table {
    tolerance: Tolerance,
    /// Time of the last digest, and the interval before it.
    last_digest: Option<(ids::Time, time::Duration)>,
    /// Number of digest intervals after which all VMs know a usage.
    hops: u32,
    buckets: collections::BTreeMap<ids::Account, bucket::Bucket>,
    /// Snapshot from before the start, with the time of the read and its age then.
    saved: Option<(ids::Time, time::Duration, Saved)>,
    /// Whether units are granted by urgency; if so, the fraction of a call's units with which
    /// the minimum of a class starts in debt. It differs between VMs.
    by_urgency: Option<f64>,
}

impl Table {
    /// Creates a table without buckets.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self { tolerance, hops: 1, ..Self::default() }
    }

    /// Grants units by urgency while an account asks for more than its rate. `phase`, from 0
    /// to 1, should differ between VMs.
    #[must_use]
    pub const fn with_urgency(mut self, phase: f64) -> Self {
        self.by_urgency = Some(phase);
        self
    }

    /// Sets the number of digest intervals after which all VMs know a usage: one if all
    /// exchange digests.
    pub const fn set_hops(&mut self, hops: u32) {
        self.hops = hops;
    }

    /// Applies the limits of a configuration. New buckets start nearly empty, as the
    /// recent usage at other VMs is not known yet.
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
                observed: bucket::Observed::default(),
                asked: decay::Sum::new(bucket::ASKED_HALF_LIFE_MS),
                portion: 0.0,
                portion_grown_at: now,
                crowd: crowded::Crowd::default(),
            });
            let burst = account.burst.max(MIN_BURST);
            let level = bucket.level.min(burst);
            let bucket = bucket::Bucket { rate: account.rate, burst, level, ..bucket };
            self.buckets.insert(account.name.clone(), bucket);
        }
        self.distribute_saved();
    }

    /// Returns a snapshot for the store at the time `at_ms` of its clock; `None` if this
    /// VM does not share one bucket with most others, such as after a start.
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

    /// Restores a snapshot from before this VM's start, if it is the first one and not
    /// too old at the time `clock_ms` of the store's clock. Returns its age if used.
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

    /// Passes the saved levels on to the buckets that exist.
    fn distribute_saved(&mut self) {
        let Some((at, age, saved)) = &mut self.saved else {
            return;
        };
        for (account, (level, asked)) in std::mem::take(&mut saved.accounts) {
            if let Some(bucket) = self.buckets.get_mut(&account) {
                // It is unknown when the VMs stopped: assume that the demand was granted
                // until now.
                let since = (bucket.rate - asked) * age.as_secs_f64();
                // The estimate keeps an existing debt, but does not create or deepen one.
                let level = (level + since).clamp(level.min(0.0), bucket.burst);
                bucket.saved = Some(bucket::SavedLevel { level, at: *at, is_share_used: false });
            }
        }
    }

    /// Takes `units` from the quota of `account`; accounts without a limit always succeed.
    ///
    /// # Errors
    ///
    /// [`Short`] if too few units are available.
    pub fn take(
        &mut self,
        now: ids::Time,
        view: View,
        account: &ids::Account,
        units: f64,
    ) -> Result<()> {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.asked.add(now, units);
        }
        self.take_in_turn(now, view, account, units)
    }

    /// Records a call that asks for units, for [`Self::take_by_urgency`].
    pub fn ask(
        &mut self,
        now: ids::Time,
        view: View,
        account: &ids::Account,
        request: allocation::Request,
    ) {
        let lag = self.lag();
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.asked.add(now, request.units);
            bucket.crowd.demand.add(now, request);
            bucket.refill(now, view);
            bucket.update_plan(now, view, lag);
        }
    }

    /// Whether the account asks for more than its rate, so that units are granted by urgency.
    #[must_use]
    pub fn is_crowded(&self, account: &ids::Account) -> bool {
        self.buckets.get(account).is_some_and(bucket::Bucket::is_crowded)
    }

    /// Takes units for a call that has asked for them; `ahead` units are waited for by calls
    /// that go before it.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if units are short, or kept for more urgent calls.
    pub fn take_by_urgency(
        &mut self,
        now: ids::Time,
        view: View,
        account: &ids::Account,
        request: allocation::Request,
        ahead: f64,
    ) -> Result<(), Shortage> {
        let debt = self.by_urgency.unwrap_or_default();
        let lag = self.lag();
        let plain = |short| Shortage {
            short,
            rule: "level",
            portion: 0.0,
            reserved: 0.0,
            asked: 0.0,
            granted: 0.0,
            available: short.rate,
        };
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.refill(now, view);
            bucket.update_plan(now, view, lag);
            if bucket.is_crowded() {
                bucket.grow_portion(now, view);
                let margin = UNHEARD_FRACTION * self.tolerance.units(bucket.rate, bucket.burst);
                let debts = (ahead, debt);
                if let Some(shortage) = bucket.shortage(now, view, (lag, margin), request, debts) {
                    return Err(shortage);
                }
                bucket.spend_minimum(request);
                bucket.grant(request.units);
                return Ok(());
            }
        }
        self.take_in_turn(now, view, account, request.units).map_err(plain)
    }

    /// When a call that got no units should return; `honoured` is the longest time that its
    /// caller waits.
    #[must_use]
    pub fn promise(
        &mut self,
        now: ids::Time,
        account: &ids::Account,
        request: allocation::Request,
        shortage: &Shortage,
        honoured: time::Duration,
    ) -> time::Duration {
        let bucket = self.buckets.get_mut(account).filter(|bucket| bucket.is_crowded());
        let promise =
            |bucket: &mut bucket::Bucket| bucket.promise(now, request, shortage, honoured);
        bucket.map_or(shortage.short.wait, promise)
    }

    /// Lowest fraction of their rate that crowded accounts were granted at all VMs since the
    /// last call; `None` if no account is crowded.
    pub fn granted_ratio(&mut self, now: ids::Time) -> Option<f64> {
        let ratios = self.buckets.values_mut().filter_map(|bucket| bucket.granted_ratio(now));
        ratios.min_by(f64::total_cmp)
    }

    /// Time until all VMs know a usage.
    fn lag(&self) -> time::Duration {
        let sent = |(_, interval)| interval * self.hops + DIGEST_DELAY;
        self.last_digest.map_or(time::Duration::ZERO, sent)
    }

    /// Takes units in order of arrival.
    fn take_in_turn(
        &mut self,
        now: ids::Time,
        view: View,
        account: &ids::Account,
        units: f64,
    ) -> Result<()> {
        let lag = self.lag();
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        let margin = UNHEARD_FRACTION * self.tolerance.units(bucket.rate, bucket.burst);
        bucket.refill(now, view);
        bucket.grow_portion(now, view);
        let bucket::Bucket { level, rate, burst, .. } = *bucket;
        let short = |wait| Short { wait, level, rate, burst };
        if view.share() <= 0.0 {
            return Err(short(UNKNOWN_PEERS_WAIT));
        }
        // A call larger than the burst is granted when the bucket is full.
        let needed = units.min(bucket.burst * view.share());
        let reserve = allocation::Reserve::default();
        if let Some(wait) = bucket.wait(now, view, lag, margin, needed, reserve) {
            return Err(short(time::Duration::from_secs_f64(wait.min(MAX_WAIT_S))));
        }
        bucket.grant(units);
        Ok(())
    }

    /// Returns the units of a call that has not run.
    pub fn refund(&mut self, account: &ids::Account, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level = (bucket.level + units).min(bucket.burst);
            bucket.portion += units;
            bucket.granted -= units;
        }
    }

    /// Returns the usage of all accounts for the next digest.
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
                classes: bucket.own_classes(now),
            })
            .collect()
    }

    /// Returns the usage of all VMs of this data centre, as far as it was reported to
    /// this VM since its start.
    #[must_use]
    pub fn centre_usage(&self, now: ids::Time) -> Vec<Usage> {
        self.sums(|bucket| {
            let asked = bucket.asked.per_second(now) + bucket.asked_by(now, bucket::is_vm);
            let classes = bucket.sum_classes(now, true, bucket::is_vm);
            (bucket.granted + bucket.observed.in_centre, asked, classes)
        })
    }

    /// Returns the usage of all VMs of the other data centres, as far as it was reported
    /// to this VM since its start.
    #[must_use]
    pub fn elsewhere_usage(&self, now: ids::Time) -> Vec<Usage> {
        self.sums(|bucket| {
            let asked = bucket.asked_by(now, |source| !bucket::is_vm(source));
            let classes = bucket.sum_classes(now, false, |source| !bucket::is_vm(source));
            (bucket.observed.elsewhere, asked, classes)
        })
    }

    /// Units granted and asked for, of the accounts for which there were any.
    fn sums(
        &self,
        units: impl Fn(&bucket::Bucket) -> (f64, f64, Vec<(allocation::Class, f64)>),
    ) -> Vec<Usage> {
        let usage = |(account, bucket): (&ids::Account, &bucket::Bucket)| {
            let (granted, asked, classes) = units(bucket);
            let asked = asked.round();
            let level = bucket.level.round();
            (granted > 0.0 || asked > 0.0).then(|| Usage {
                account: account.clone(),
                granted,
                level,
                asked,
                classes,
            })
        };
        self.buckets.iter().filter_map(usage).collect()
    }

    /// Applies a report about the usage of `source` that `reporter` has counted.
    pub fn apply_usage(
        &mut self,
        now: ids::Time,
        view: View,
        source: &Source,
        reporter: &Reporter,
        usages: &[Usage],
    ) {
        let lag = self.lag();
        for usage in usages {
            let Some(bucket) = self.buckets.get_mut(&usage.account) else {
                continue;
            };
            bucket.refill(now, view);
            if bucket.is_crowded() {
                bucket.update_plan(now, view, lag);
            }
            let Some(granted) = bucket.record_report(now, source, reporter, usage) else {
                // On first contact, the peer's level is better than that of an unused bucket.
                if matches!(view, View::Together { .. }) && bucket.granted == 0.0 {
                    bucket.level = bucket.level.max(usage.level.min(bucket.burst));
                }
                continue;
            };
            if matches!(view, View::Together { .. }) {
                bucket.spend(granted);
            }
        }
    }
}

/// Retry delay while the membership is not known; it is read at the start.
const UNKNOWN_PEERS_WAIT: time::Duration = time::Duration::from_millis(200);
/// Maximum retry delay, in s.
const MAX_WAIT_S: f64 = 60.0;
