//! The bucket of an account that asks for more than its rate.

use std::{collections, time};

use crate::quota::{
    self,
    allocation::{self, Class, Request},
    bucket,
};

/// Demand from which an account is crowded, as a multiple of its rate: short peaks of an
/// account within its rate stay below it.
const CROWDED_DEMAND: f64 = 1.25;
/// Level below which an account is crowded, as a fraction of the burst.
const CROWDED_LEVEL: f64 = 0.5;
/// Level from which it is not crowded any more, as a fraction of the burst.
const EASED_LEVEL: f64 = 0.9;
/// Fraction of the burst that is reserved for more urgent calls at most. Portions grow more
/// slowly while the level is below a tenth of the burst, so it must be less.
const MAX_RESERVE: f64 = 0.08;
/// Time for which the demand is looked ahead, in addition to the delay of digests: that in
/// which most of a sudden demand shows.
const FALL_TIME: time::Duration = time::Duration::from_millis(300);
/// Largest portion while an account is crowded, as a fraction of the usual one: portions
/// that VMs have saved up are granted in addition to the level.
pub(super) const CROWDED_PORTION: f64 = 0.5;
/// Fraction of the tolerance that calls may use in advance if their classes get all that they
/// ask for. These classes together ask for less than the rate, so that the debt is repaid.
const OVERDRAFT: f64 = 0.35;
/// Fraction of the largest portion that a call waits for at most.
const MAX_REQUIRED: f64 = 0.9;
/// Interval at which the plan is made anew.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// State of an account's bucket for the allocation by urgency.
#[derive(Clone, Debug, Default)]
pub(super) struct Crowd {
    /// Demand at this VM by class.
    pub(super) demand: allocation::Demand,
    /// Plan in force while the account is crowded, and when it was made.
    plan: Option<(ids::Time, allocation::Plan)>,
    minimum: allocation::Minimum,
    /// Units of the largest call, as a part of the burst: a portion must be able to cover it.
    pub(super) largest: f64,
    ledger: allocation::Ledger,
    /// Units granted at all VMs and the time when they were counted last.
    counted: Option<(ids::Time, f64)>,
}

/// Why a request of a crowded account was not granted.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortage {
    /// State of the bucket; `wait` is the time until the request can be granted.
    pub short: quota::Short,
    /// The rule that decided: `level`, `reserved for more urgent`, `portion` or `others ahead`.
    pub rule: &'static str,
    /// Units that this VM may grant until its portion has grown.
    pub portion: f64,
    /// Units kept for more urgent calls at this VM.
    pub reserved: f64,
    /// Units per second that its class asks for, at all VMs.
    pub asked: f64,
    /// Units per second that its class is granted, at all VMs.
    pub granted: f64,
    /// Units per second that this VM can grant to the class.
    pub(super) available: f64,
}

impl bucket::Bucket {
    /// Whether units are granted by urgency.
    pub(super) const fn is_crowded(&self) -> bool {
        self.crowd.plan.is_some()
    }

    /// The plan while the account is crowded.
    pub(super) fn plan(&self) -> Option<&allocation::Plan> {
        self.crowd.plan.as_ref().map(|(_, plan)| plan)
    }

    /// Makes the plan anew if it is due; the level must have been refilled.
    pub(super) fn update_plan(&mut self, now: ids::Time, view: quota::View, lag: time::Duration) {
        let is_fresh = |(at, _): &(ids::Time, allocation::Plan)| now.since(*at) < PLAN_INTERVAL;
        if self.crowd.plan.as_ref().is_some_and(is_fresh) {
            return;
        }
        let vms = match view {
            quota::View::Together { heard, .. } => heard,
            quota::View::Alone { .. } | quota::View::Unknown => 1,
        };
        let is_together = matches!(view, quota::View::Together { .. });
        let elsewhere = if is_together { self.asked_elsewhere(now) } else { 0.0 };
        let asked = self.asked.per_second(now) + elsewhere;
        let (rate, burst) = (self.rate * view.share(), self.burst * view.share());
        let is_crowded = if self.is_crowded() {
            asked > rate && self.level < EASED_LEVEL * burst
        } else {
            // The level falls further before all VMs know of the demand.
            let falls = (asked - rate) * (lag + FALL_TIME).as_secs_f64();
            asked > CROWDED_DEMAND * rate && self.level - falls < CROWDED_LEVEL * burst
        };
        // Without the membership, nothing is granted, whatever the level.
        if !is_crowded || view.share() <= 0.0 {
            self.crowd.plan = None;
            return;
        }
        self.crowd.largest = self.crowd.demand.largest().min(rate);
        let mut own = collections::BTreeMap::new();
        allocation::add_rates(&mut own, &self.crowd.demand.rates(now));
        let mut all = own.clone();
        if is_together {
            allocation::add_rates(&mut all, &self.sum_classes(now, false, |_| true));
        }
        // VMs that do not report classes count as if they had the same mix.
        let known: f64 = all.values().sum();
        if known > 0.0 {
            let scale = (asked / known).max(1.0);
            for units in all.values_mut() {
                *units *= scale;
            }
        }
        self.crowd.plan = Some((now, allocation::Plan::new(rate, vms, &own, &all)));
    }

    /// Time until a request can be granted while `ahead` units are waited for that go before
    /// it, and what decided it; `None` if it can be granted now.
    pub(super) fn shortage(
        &mut self,
        now: ids::Time,
        view: quota::View,
        (lag, margin): (time::Duration, f64),
        request: Request,
        (ahead, debt): (f64, f64),
    ) -> Option<Shortage> {
        let plan = self.plan()?;
        let Request { class, units } = request;
        let needed = units.min(self.burst * view.share());
        let own_minimum = plan.own_minimum(class);
        let vms = plan.vms();
        let (_, own_urgent) = plan.more_urgent(class);
        let share = plan.share(class).copied();
        let mut reserve = plan.reserve(class);
        reserve.fleet = reserve.fleet.min(MAX_RESERVE * self.burst * view.share());
        if self.crowd.minimum.is_due(now, class, own_minimum, debt * units) {
            reserve = allocation::Reserve::default();
        }
        // The demand of classes that are granted all is uneven, and they may have to make up for
        // what was granted before the demand was known.
        if matches!(view, quota::View::Together { .. })
            && share.is_some_and(|share| share.granted >= share.asked)
        {
            let overdraft = OVERDRAFT / quota::UNHEARD_FRACTION * margin;
            reserve = allocation::Reserve { fleet: -overdraft, own: -overdraft / vms };
        }
        // The call's own units must not use what is reserved, or the next ones would wait.
        if share.is_some_and(|share| share.granted < share.asked) {
            let most = MAX_REQUIRED * self.max_portion(now, view);
            reserve.own = (reserve.own + units).min(most);
        }
        let blocked = self.wait(now, view, lag, margin, needed, reserve);
        if blocked.is_none() && ahead <= 0.0 {
            return None;
        }
        let available = (self.inflow(now, view) - own_urgent).max(own_minimum).max(1.0);
        let queued = ahead.max(ahead + reserve.own - self.portion) / available;
        let wait = (queued.max(0.0) + blocked.unwrap_or_default()).min(quota::MAX_WAIT_S);
        let Self { level, rate, burst, portion, .. } = *self;
        let none = allocation::Reserve::default();
        let rule = if blocked.is_none() {
            "others ahead"
        } else if level < needed {
            "level"
        } else if self.wait(now, view, lag, margin, needed, none).is_none() {
            "reserved for more urgent"
        } else {
            "portion"
        };
        let wait = time::Duration::from_secs_f64(wait);
        Some(Shortage {
            short: quota::Short { wait, level, rate, burst },
            rule,
            portion,
            reserved: reserve.own,
            asked: share.map_or(0.0, |share| share.asked),
            granted: share.map_or(0.0, |share| share.granted),
            available,
        })
    }

    /// Units per second that this VM may grant.
    fn inflow(&self, now: ids::Time, view: quota::View) -> f64 {
        match view {
            quota::View::Together { .. } => self.portion_rate(now, view),
            quota::View::Alone { .. } | quota::View::Unknown => self.rate * view.share(),
        }
    }

    /// Records that a request was granted.
    pub(super) fn spend_minimum(&mut self, request: Request) {
        self.crowd.minimum.spend(request);
    }

    /// When a call that got no units should return.
    pub(super) fn promise(
        &mut self,
        now: ids::Time,
        request: Request,
        shortage: &Shortage,
        honoured: time::Duration,
    ) -> time::Duration {
        let wait = shortage.short.wait;
        self.crowd.ledger.promise(now, request, shortage.available, wait, honoured)
    }

    /// Demand by class at this VM, if the account is crowded.
    pub(super) fn own_classes(&self, now: ids::Time) -> Vec<(Class, f64)> {
        if self.is_crowded() { self.crowd.demand.rates(now) } else { Vec::new() }
    }

    /// Demand by class that some sources have reported lately, with this VM's if `with_own`.
    pub(super) fn sum_classes(
        &self,
        now: ids::Time,
        with_own: bool,
        is_counted: impl Fn(&quota::Source) -> bool,
    ) -> Vec<(Class, f64)> {
        let mut sums = collections::BTreeMap::new();
        if with_own {
            allocation::add_rates(&mut sums, &self.own_classes(now));
        }
        let recent = self.reported.iter().filter(|(source, heard)| {
            is_counted(source) && now.since(heard.at) <= bucket::ASKED_MAX_AGE
        });
        for (_, heard) in recent {
            allocation::add_rates(&mut sums, &heard.classes);
        }
        let mut sums: Vec<_> = sums.into_iter().collect();
        sums.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        sums.truncate(allocation::MAX_CLASSES);
        sums
    }

    /// Fraction of the rate that all VMs have granted since the last count, while the account
    /// is crowded.
    pub(super) fn granted_ratio(&mut self, now: ids::Time) -> Option<f64> {
        let granted = self.granted + self.observed.in_centre + self.observed.elsewhere;
        if !self.is_crowded() {
            self.crowd.counted = None;
            return None;
        }
        let (at, before) = self.crowd.counted.replace((now, granted))?;
        let allowed = now.since(at).as_secs_f64() * self.rate;
        (allowed > 0.0).then(|| (granted - before).max(0.0) / allowed)
    }
}
