//! The bucket of one account, as one VM keeps it.

use std::{collections, time};

use crate::{
    decay,
    quota::{self, allocation, crowded},
};

/// Maximum debt, as a multiple of the burst; any excess is forgiven.
const MAX_DEBT_BURSTS: f64 = 1.0;
/// Half-life of the demand, in ms: about two digest intervals of a large fleet, so
/// that a sudden demand shows in the second digest.
pub(super) const ASKED_HALF_LIFE_MS: f64 = 500.0;
/// Maximum age of a reported demand: several digest intervals of a large fleet.
pub(super) const ASKED_MAX_AGE: time::Duration = time::Duration::from_millis(1_500);
/// Level at which portions grow at the account's rate, as a fraction of the burst: it
/// absorbs the unevenness of the VMs' portions.
const BASE_LEVEL: f64 = 0.1;
/// Additional growth of portions per burst of surplus above that level, as a multiple
/// of the rate: unused units are redistributed within a second.
const CATCH_UP_FACTOR: f64 = 1.0;
/// Maximum wait for a portion, in s: by then, new digests have updated the demand.
const MAX_PORTION_WAIT_S: f64 = 1.0;

/// Saved level of a bucket, until it is applied.
#[derive(Clone, Copy, Debug)]
pub(super) struct SavedLevel {
    /// Level at `at`, assuming that the demand was granted until then.
    pub(super) level: f64,
    pub(super) at: ids::Time,
    /// Whether this VM's share was applied before it had heard all other VMs.
    pub(super) is_share_used: bool,
}

/// Latest usage reported about a source.
#[derive(Clone, Debug)]
pub(super) struct Reported {
    pub(super) reporter: quota::Reporter,
    pub(super) granted: f64,
    pub(super) asked: f64,
    /// Demand by class, while the account asks for more than its rate.
    pub(super) classes: Vec<(allocation::Class, f64)>,
    pub(super) at: ids::Time,
}

/// Units granted at other VMs since this VM's start, as far as they were reported to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Observed {
    /// At the VMs that report their own usage.
    pub(super) in_centre: f64,
    /// At the VMs of other data centres.
    pub(super) elsewhere: f64,
}

/// Whether a source is a VM that reports its own usage.
pub(super) const fn is_vm(source: &quota::Source) -> bool {
    matches!(source, quota::Source::Vm(_))
}

/// The bucket of one account, as one VM keeps it.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    pub(super) rate: f64,
    pub(super) burst: f64,
    pub(super) level: f64,
    pub(super) granted: f64,
    pub(super) refilled_at: ids::Time,
    /// Fraction of the rate and of the burst at the last refill.
    pub(super) share: f64,
    /// Units that the buckets of all VMs together start with; 0 once this VM's share has
    /// been added to the level.
    pub(super) start_units: f64,
    /// Saved level from before the start.
    pub(super) saved: Option<SavedLevel>,
    /// Latest report about each source.
    pub(super) reported: collections::BTreeMap<quota::Source, Reported>,
    pub(super) observed: Observed,
    /// Demand at this VM, in units.
    pub(super) asked: decay::Sum,
    /// Units that this VM may grant while the level does not cover the demand at all VMs.
    pub(super) portion: f64,
    /// When the portion last grew.
    pub(super) portion_grown_at: ids::Time,
    /// State for the allocation by urgency.
    pub(super) crowd: crowded::Crowd,
}

impl Bucket {
    /// Refills the level up to `now`.
    pub(super) fn refill(&mut self, now: ids::Time, view: quota::View) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        // VMs that are no longer heard may spend their share of the accumulated level.
        let share = view.share();
        if share < self.share && self.level > 0.0 {
            self.level *= share / self.share;
        }
        self.share = share;
        if let Some(all) = view.all() {
            self.level += std::mem::take(&mut self.start_units) / all as f64;
        }
        self.level += passed * self.rate * share;
        // The saved level already includes its own refill until now.
        self.restore_saved(now, view);
        self.level = self.level.min(self.burst * share);
    }

    /// Grows the portion up to `now`; the level must have been refilled.
    pub(super) fn grow_portion(&mut self, now: ids::Time, view: quota::View) {
        let passed = now.since(self.portion_grown_at).as_secs_f64();
        self.portion_grown_at = self.portion_grown_at.max(now);
        let max_portion = self.max_portion(now, view);
        self.portion = (self.portion + passed * self.portion_rate(now, view)).min(max_portion);
    }

    /// Largest portion that is saved up.
    pub(super) fn max_portion(&self, now: ids::Time, view: quota::View) -> f64 {
        let mut share = self.demand_share(now, view);
        if let (true, quota::View::Together { heard, .. }) = (self.is_crowded(), view) {
            // The demand that one VM sees varies; what was reserved is kept nevertheless.
            share = share.max(1.0 / heard.max(1) as f64);
            return self.burst * view.share() * share * crowded::CROWDED_PORTION
                + self.crowd.largest;
        }
        self.burst * view.share() * share
    }

    /// Applies the saved level from before the start. Usage since then is known only
    /// when all VMs are heard; until then, each VM may use its share.
    fn restore_saved(&mut self, now: ids::Time, view: quota::View) {
        let Some(saved) = &mut self.saved else {
            return;
        };
        let passed = now.since(saved.at);
        if passed > quota::SAVED_FOR {
            self.saved = None;
            return;
        }
        let level = (saved.level + passed.as_secs_f64() * self.rate).min(self.burst);
        match view {
            quota::View::Together { heard, all } if heard == all => {
                let elsewhere: f64 = self.reported.values().map(|heard| heard.granted).sum();
                // Without the saved level, the bucket would be empty. VMs that have not
                // restarted have granted more since their start, so that the saved level
                // does not apply; they report their level instead.
                self.level = if level < 0.0 {
                    self.level.min(level)
                } else {
                    self.level.max(level - self.granted - elsewhere)
                };
                self.saved = None;
            }
            _ if !saved.is_share_used => {
                let Some(all) = view.all() else {
                    return;
                };
                saved.is_share_used = true;
                self.level = self.level.max(level / all as f64);
            }
            _ => {}
        }
    }

    /// Grants units of this VM.
    pub(super) fn grant(&mut self, units: f64) {
        self.spend(units);
        self.portion -= units;
        self.granted += units;
    }

    /// Deducts units granted by this or another VM.
    pub(super) fn spend(&mut self, units: f64) {
        self.level = (self.level - units).max(-self.burst * MAX_DEBT_BURSTS);
    }

    /// Recent demand at the other VMs, in units per second.
    pub(super) fn asked_elsewhere(&self, now: ids::Time) -> f64 {
        self.asked_by(now, |_| true)
    }

    /// Recent demand at some sources, in units per second.
    pub(super) fn asked_by(
        &self,
        now: ids::Time,
        is_counted: impl Fn(&quota::Source) -> bool,
    ) -> f64 {
        let is_recent = |heard: &Reported| now.since(heard.at) <= ASKED_MAX_AGE;
        let recent =
            self.reported.iter().filter(|(source, heard)| is_counted(source) && is_recent(heard));
        recent.map(|(_, heard)| heard.asked).sum()
    }

    /// Records a report. Returns the units granted since the previous one; `None` on
    /// first contact, when it is not known since when they were granted.
    pub(super) fn record_report(
        &mut self,
        now: ids::Time,
        source: &quota::Source,
        reporter: &quota::Reporter,
        usage: &quota::Usage,
    ) -> Option<f64> {
        let quota::Usage { granted, asked, .. } = *usage;
        let classes = usage.classes.clone();
        let heard = Reported { reporter: reporter.clone(), granted, asked, classes, at: now };
        if !is_vm(source) {
            self.reported.retain(|other, _| !source.covers(other));
        }
        let before = self.reported.insert(source.clone(), heard);
        let units = match before {
            Some(known) if known.reporter == *reporter => granted - known.granted,
            // Everything counted by a restarted VM is new.
            Some(known) if known.reporter.vm == reporter.vm => granted,
            _ => return None,
        };
        if is_vm(source) {
            self.observed.in_centre += units;
        } else {
            self.observed.elsewhere += units;
        }
        Some(units)
    }

    /// This VM's fraction of the demand at all VMs.
    fn demand_share(&self, now: ids::Time, view: quota::View) -> f64 {
        // Demand that is not going to be granted needs no portion.
        if let Some(fraction) = self.plan().and_then(allocation::Plan::own_fraction) {
            return fraction;
        }
        let own = self.asked.per_second(now);
        let all = own + self.asked_elsewhere(now);
        match view {
            quota::View::Together { heard, .. } if all <= 0.0 => 1.0 / heard.max(1) as f64,
            _ if all <= 0.0 => 1.0,
            _ => own / all,
        }
    }

    /// Growth of the portion, in units per second.
    pub(super) fn portion_rate(&self, now: ids::Time, view: quota::View) -> f64 {
        let surplus = (self.level / self.burst - BASE_LEVEL) * CATCH_UP_FACTOR;
        self.rate * view.share() * self.demand_share(now, view) * (1.0 + surplus).max(0.0)
    }

    /// Time in s until `units` can be granted; `None` if they can be granted now. Usage
    /// at other VMs is known with a delay of `lag`, and may exceed the level by up to
    /// `margin` units. The units in `reserve` are kept for other calls.
    pub(super) fn wait(
        &self,
        now: ids::Time,
        view: quota::View,
        lag: time::Duration,
        margin: f64,
        units: f64,
        reserve: allocation::Reserve,
    ) -> Option<f64> {
        let rate = (self.rate * view.share()).max(f64::MIN_POSITIVE);
        let required = (units + reserve.fleet).min(self.burst * view.share());
        if self.level < required {
            return Some((required - self.level) / rate);
        }
        if !matches!(view, quota::View::Together { .. }) {
            return None;
        }
        let unheard = self.asked_elsewhere(now) * lag.as_secs_f64();
        if self.level + margin - unheard >= required.max(units) || self.portion > reserve.own {
            return None;
        }
        let wait =
            (reserve.own - self.portion) / self.portion_rate(now, view).max(f64::MIN_POSITIVE);
        Some(wait.min(MAX_PORTION_WAIT_S))
    }
}
