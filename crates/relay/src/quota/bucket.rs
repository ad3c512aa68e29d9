//! The bucket of one account, as one VM keeps it.

use std::{collections, time};

use crate::{decay, quota};

/// Level below which an excess is not carried on, as a multiple of the burst.
const MAX_DEBT_BURSTS: f64 = 1.0;
/// Time in which the weight of what was asked for halves, in ms: about two digests
/// of a large fleet, so that a sudden demand is seen by the second one.
pub(super) const ASKED_HALF_LIFE_MS: f64 = 500.0;
/// Age beyond which it does not count any more what a VM has told of its demand:
/// several digests of a large fleet.
const ASKED_MAX_AGE: time::Duration = time::Duration::from_millis(1_500);
/// Level at which portions grow at the account's rate, as a part of the burst: it
/// covers the unevenness of the VMs' portions.
const BASE_LEVEL: f64 = 0.1;
/// How much faster portions grow for each burst that the level is above that, as
/// a multiple of the rate: what is left unused comes back within a second.
const CATCH_UP_FACTOR: f64 = 1.0;
/// Longest wait for a portion: by then, digests have told anew what is asked for.
const MAX_PORTION_WAIT_S: f64 = 1.0;

/// What the store keeps of a bucket, until it is taken in.
#[derive(Clone, Copy, Debug)]
pub(super) struct SavedLevel {
    /// Level at `at`, if what was asked for before was granted until then.
    pub(super) level: f64,
    pub(super) at: ids::Time,
    /// Whether this VM's part was taken in while it had not met the others.
    pub(super) is_share_used: bool,
}

/// What another VM has told last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reported {
    pub(super) incarnation: ids::Incarnation,
    pub(super) granted: f64,
    pub(super) asked: f64,
    pub(super) at: ids::Time,
}

/// The bucket of one account, as one VM keeps it.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    pub(super) rate: f64,
    pub(super) burst: f64,
    pub(super) level: f64,
    pub(super) granted: f64,
    pub(super) refilled_at: ids::Time,
    /// Share of the rate and of the burst that the bucket used last.
    pub(super) share: f64,
    /// Units with which the buckets of all VMs together begin, until the own
    /// part of them is taken in.
    pub(super) start_units: f64,
    /// What the store keeps from before the start.
    pub(super) saved: Option<SavedLevel>,
    /// What each VM's incarnation has told last.
    pub(super) reported: collections::BTreeMap<ids::Vm, Reported>,
    /// Units asked for here.
    pub(super) asked: decay::Sum,
    /// Units that this VM may grant while the level does not bear what all are asked for.
    pub(super) portion: f64,
    /// When the portion last grew.
    pub(super) portion_grown_at: ids::Time,
}

impl Bucket {
    /// Lets the level grow until now.
    pub(super) fn refill(&mut self, now: ids::Time, view: quota::View) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        // VMs that are not heard any more count on their part of what is saved up.
        let share = view.share();
        if share < self.share && self.level > 0.0 {
            self.level *= share / self.share;
        }
        self.share = share;
        if let Some(all) = view.all() {
            self.level += std::mem::take(&mut self.start_units) / all as f64;
        }
        self.level += passed * self.rate * share;
        // What the store keeps has grown until now by itself.
        self.restore_saved(now, view);
        self.level = self.level.min(self.burst * share);
    }

    /// Lets the portion grow; the level is that of now.
    pub(super) fn grow_portion(&mut self, now: ids::Time, view: quota::View) {
        let passed = now.since(self.portion_grown_at).as_secs_f64();
        self.portion_grown_at = self.portion_grown_at.max(now);
        let max_portion = self.burst * view.share() * self.demand_share(now, view);
        self.portion = (self.portion + passed * self.portion_rate(now, view)).min(max_portion);
    }

    /// Takes in what the store keeps from before the start. What VMs have granted
    /// since is known only when all of them are heard; until then, each may count
    /// on its part.
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
                // An empty bucket is what is known without the store. VMs that have not
                // started anew have granted more since their start, and tell the level.
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

    /// Takes out what was granted here or elsewhere.
    pub(super) fn spend(&mut self, units: f64) {
        self.level = (self.level - units).max(-self.burst * MAX_DEBT_BURSTS);
    }

    /// Units that the other VMs are asked for, a second.
    pub(super) fn asked_elsewhere(&self, now: ids::Time) -> f64 {
        let recent = self.reported.values().filter(|heard| now.since(heard.at) <= ASKED_MAX_AGE);
        recent.map(|heard| heard.asked).sum()
    }

    /// This VM's part of what all VMs are asked for.
    fn demand_share(&self, now: ids::Time, view: quota::View) -> f64 {
        let own = self.asked.per_second(now);
        let all = own + self.asked_elsewhere(now);
        match view {
            quota::View::Together { heard, .. } if all <= 0.0 => 1.0 / heard.max(1) as f64,
            _ if all <= 0.0 => 1.0,
            _ => own / all,
        }
    }

    /// Units a second that are added to the portion.
    fn portion_rate(&self, now: ids::Time, view: quota::View) -> f64 {
        let surplus = (self.level / self.burst - BASE_LEVEL) * CATCH_UP_FACTOR;
        self.rate * view.share() * self.demand_share(now, view) * (1.0 + surplus).max(0.0)
    }

    /// Time until `units` may be granted; none if they may be now. What the other
    /// VMs grant meanwhile is known `lag` later, and `margin` units of it may be too many.
    pub(super) fn wait(
        &self,
        now: ids::Time,
        view: quota::View,
        lag: time::Duration,
        margin: f64,
        units: f64,
    ) -> Option<f64> {
        let rate = (self.rate * view.share()).max(f64::MIN_POSITIVE);
        if self.level < units {
            return Some((units - self.level) / rate);
        }
        if !matches!(view, quota::View::Together { .. }) {
            return None;
        }
        let unheard = self.asked_elsewhere(now) * lag.as_secs_f64();
        if self.level + margin - unheard >= units || self.portion > 0.0 {
            return None;
        }
        let wait = -self.portion / self.portion_rate(now, view).max(f64::MIN_POSITIVE);
        Some(wait.min(MAX_PORTION_WAIT_S))
    }
}
