//! A play of one account that sends many times its usual traffic, in virtual time: callers
//! that honour a Retry-After for up to a third of their time and return once.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections, fmt, sync, time};

use relay::{Input, config, envelope, output};

use crate::{
    fleet::{Answer, Fleet},
    world::{configuration, desk, draft, envelope, route, runner},
};

/// Usual traffic of the account, as a fraction of its rate.
pub const USUAL: f64 = 0.55;
/// Length of the overload, in ms.
const OVERLOAD_MS: u64 = 7_000;
/// Length of the usual traffic before and after it, in ms.
const USUAL_MS: u64 = 8_000;
/// Length of the platform's windows.
const WINDOW: time::Duration = time::Duration::from_secs(8);
/// Number of accounts.
const ACCOUNTS: u64 = 16;
/// Time in which a target serves a call.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(150);

/// A kind of calls of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Urgent,
    Stream,
    Booking,
    Lowest,
}

impl Kind {
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Booking, Self::Stream, Self::Lowest];

    /// Fraction of the calls, units, objective in ms, priority and route.
    const fn data(self) -> (f64, u64, u64, u32, &'static str) {
        match self {
            Self::Urgent => (0.12, 1_500, 500, 0, "urgent"),
            Self::Stream => (0.45, 2_400, 800, 1, "stream"),
            Self::Booking => (0.33, 200, 300, 2, "booking"),
            Self::Lowest => (0.10, 2_400, 4_000, 3, "digest"),
        }
    }

    pub const fn units(self) -> u64 {
        self.data().1
    }

    pub const fn objective(self) -> time::Duration {
        time::Duration::from_millis(self.data().2)
    }

    fn route(self) -> config::Route {
        let (_, _, objective, priority, name) = self.data();
        let (repeat, service) = match self {
            Self::Booking => (config::Repeat::Never, "desk"),
            _ => (config::Repeat::Stream, "writers"),
        };
        config::Route {
            objective: time::Duration::from_millis(objective),
            timeout: time::Duration::from_secs(15),
            priority,
            ..route(name, repeat, service)
        }
    }

    fn envelope(self, key: &str, timeout: time::Duration) -> envelope::Envelope {
        let (_, units, _, _, name) = self.data();
        let mut envelope = match self {
            Self::Booking => envelope(name, None),
            _ => draft(name, "alpha", units - 20),
        };
        envelope.key = Some(key.into());
        envelope.timeout = Some(timeout);
        envelope
    }
}

/// What became of the calls of a kind that arrived during the overload.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    pub calls: u64,
    /// Admitted when they first came, within their objective.
    pub in_time: u64,
    /// Admitted when they first came, later.
    pub late: u64,
    /// Refused when they first came.
    pub refused: u64,
    /// Admitted when they returned.
    pub returned: u64,
    /// Refused again when they returned.
    pub refused_again: u64,
}

impl Fate {
    /// Fraction of the calls that were served.
    pub fn served(&self) -> f64 {
        (self.in_time + self.late + self.returned) as f64 / self.calls.max(1) as f64
    }

    /// Fraction of the calls that were served when they first came, in time.
    pub fn served_at_once(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub size: usize,
    pub rate: f64,
    pub burst: f64,
    /// Traffic during the overload, as a multiple of the usual one.
    pub times: f64,
    pub by_urgency: bool,
    pub seed: u64,
}

/// A caller that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Caller {
    kind: Kind,
    is_counted: bool,
    has_returned: bool,
    came: ids::Time,
    deadline: ids::Time,
}

pub struct Play {
    setup: Setup,
    fleet: Fleet,
    draws: u64,
    callers: collections::BTreeMap<ids::Call, Caller>,
    returns: Vec<(ids::Time, Caller)>,
    /// Calls that a target serves: when it ends, the VM and the call.
    served: Vec<(ids::Time, usize, output::Begin)>,
    pub fates: collections::BTreeMap<Kind, Fate>,
    /// Units granted, and when.
    pub granted: Vec<(ids::Time, f64)>,
    /// Return times told to calls of the account: when, and how long.
    pub told: Vec<(ids::Time, time::Duration)>,
    pub granted_ratio: f64,
    pub refused_after: u64,
}

impl Play {
    pub fn new(setup: Setup) -> Self {
        let runners = (0..160).map(|index| relay::target::Entry {
            slots: 64,
            ..runner(&format!("i-{index:08}"), &["alpha", "beta"])
        });
        let desks = (0..40)
            .map(|index| relay::target::Entry { slots: 64, ..desk(&format!("d-{index:08}")) });
        let mut config = configuration(1);
        config.routes = Kind::ALL.map(|kind| sync::Arc::new(kind.route())).to_vec();
        for service in config.services.values_mut() {
            if let Some(engine) = &mut service.engine {
                engine.kv_tokens = 300_000;
            }
        }
        let mayors = config.accounts[&ids::Account::from("mayors")].clone();
        for number in 0..ACCOUNTS {
            let name = ids::Account::from(format!("a-{number}").as_str());
            let (rate, burst) = (setup.rate, setup.burst);
            let unit = config::Unit::Tokens(Kind::Booking.units() as f64);
            let account = config::Account { name, unit, rate, burst, ..mayors.clone() };
            let key = format!("key-a-{number}").as_str().into();
            config.keys.insert(key, account.name.clone());
            config.accounts.insert(account.name.clone(), account);
        }
        let targets = runners.chain(desks).collect();
        let mut fleet =
            Fleet::with_urgency(setup.size, 3.min(setup.size), config, targets, setup.by_urgency);
        fleet.keeps_calls = true;
        fleet.run(4_000, |_| {});
        Self {
            setup,
            fleet,
            draws: 0,
            callers: collections::BTreeMap::new(),
            returns: Vec::new(),
            served: Vec::new(),
            fates: collections::BTreeMap::new(),
            granted: Vec::new(),
            told: Vec::new(),
            granted_ratio: 0.0,
            refused_after: 0,
        }
    }

    pub fn run(mut self) -> Self {
        self.pass(USUAL_MS, 1.0, false);
        let from = self.fleet.now;
        self.pass(OVERLOAD_MS, self.setup.times, true);
        let until = self.fleet.now;
        // The first seconds spend the burst, and make up for what VMs had not heard of.
        let start = from + time::Duration::from_secs(2);
        let during = self.granted.iter().filter(|(at, _)| *at > start && *at <= until);
        let granted: f64 = during.map(|(_, units)| units).sum();
        self.granted_ratio = granted / (self.setup.rate * until.since(start).as_secs_f64());
        self.pass(USUAL_MS, 1.0, false);
        self.pass(6_000, 0.0, false);
        self
    }

    /// Kills a VM, or starts it anew.
    pub fn set_running(&mut self, index: usize, is_running: bool) {
        if is_running {
            self.fleet.start(index);
        } else {
            self.fleet.kill(index);
        }
    }

    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let seed = route::hash::seed(&format!("play-{}", self.setup.seed));
        let hash = route::hash::score(seed, &self.draws.to_string());
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Number of arrivals in a step with `mean` arrivals on average.
    fn arrivals(&mut self, mean: f64) -> u64 {
        let (limit, mut product, mut count) = ((-mean).exp(), self.draw(), 0);
        while product > limit {
            product *= self.draw();
            count += 1;
        }
        count
    }

    /// Lets the account send `times` its usual traffic; the other accounts are idle.
    pub fn pass(&mut self, millis: u64, times: f64, is_counted: bool) {
        let mean_units: f64 =
            Kind::ALL.iter().map(|kind| kind.data().0 * kind.data().1 as f64).sum();
        let usual = USUAL * self.setup.rate / mean_units * 0.02;
        for _ in 0..millis / 20 {
            let next = self.fleet.now + time::Duration::from_millis(20);
            let returning = std::mem::take(&mut self.returns);
            let (due, later) = returning.into_iter().partition(|(at, _)| *at <= next);
            self.returns = later;
            let due: Vec<(ids::Time, Caller)> = due;
            for (_, caller) in due {
                self.send(caller, next);
            }
            for _ in 0..self.arrivals(usual * times) {
                let kind = self.draw_kind();
                let seconds = 3.0 + 12.0 * self.draw();
                let deadline = next + time::Duration::from_secs_f64(seconds);
                let has_returned = false;
                let caller = Caller { kind, is_counted, has_returned, came: next, deadline };
                if is_counted {
                    self.fates.entry(kind).or_default().calls += 1;
                }
                self.send(caller, next);
            }
            self.fleet.run(20, |_| {});
            self.collect();
        }
    }

    fn draw_kind(&mut self) -> Kind {
        let mut drawn = self.draw();
        for kind in Kind::ALL {
            if drawn < kind.data().0 {
                return kind;
            }
            drawn -= kind.data().0;
        }
        Kind::Booking
    }

    fn send(&mut self, caller: Caller, now: ids::Time) {
        let count = self.fleet.vms.len();
        let drawn = self.draw();
        let index = (0..count).rev().find(|index| *index as f64 <= drawn * count as f64);
        let left = caller.deadline.since(now);
        let call =
            self.fleet.arrive(index.unwrap_or_default(), caller.kind.envelope("key-a-0", left));
        self.callers.insert(call, caller);
    }

    /// Handles what the fleet has done in the last step.
    fn collect(&mut self) {
        let now = self.fleet.now;
        for (index, begin) in std::mem::take(&mut self.fleet.begun) {
            if let Some(caller) = self.callers.remove(&begin.call) {
                self.granted.push((now, caller.kind.units() as f64));
                let fate = self.fates.entry(caller.kind).or_default();
                let is_in_time = now.since(caller.came) <= caller.kind.objective();
                if caller.is_counted {
                    *match (caller.has_returned, is_in_time) {
                        (true, _) => &mut fate.returned,
                        (false, true) => &mut fate.in_time,
                        (false, false) => &mut fate.late,
                    } += 1;
                }
            }
            self.served.push((now + SERVICE_TIME, index, begin));
        }
        let served = std::mem::take(&mut self.served);
        let (done, running) = served.into_iter().partition(|(at, _, _)| *at <= now);
        self.served = running;
        let done: Vec<(ids::Time, usize, output::Begin)> = done;
        for (_, index, begin) in done {
            let ended = relay::input::Event::Ended(relay::input::Summary::default());
            self.fleet.input(index, Input::Attempt { attempt: begin.attempt, event: ended });
        }
        for Answer { call, status, retry_after } in std::mem::take(&mut self.fleet.answers) {
            let Some(mut caller) = self.callers.remove(&call) else {
                continue;
            };
            assert!(status == 429 || status == 503, "{status}");
            if let Some(wait) = retry_after {
                self.told.push((now, wait));
            }
            let left = caller.deadline.since(now);
            if caller.is_counted {
                let fate = self.fates.entry(caller.kind).or_default();
                *if caller.has_returned { &mut fate.refused_again } else { &mut fate.refused } += 1;
            } else {
                self.refused_after += 1;
            }
            if let (false, Some(wait)) = (caller.has_returned, retry_after) {
                caller.has_returned = true;
                self.returns.push((now + wait.min(left / 3), caller));
            }
        }
    }

    /// Most units granted in any window of the platform.
    pub fn max_in_window(&self) -> f64 {
        let (mut first, mut sum, mut max) = (0, 0.0_f64, 0.0_f64);
        for (at, units) in &self.granted {
            sum += units;
            while at.since(self.granted[first].0) >= WINDOW {
                sum -= self.granted[first].1;
                first += 1;
            }
            max = max.max(sum);
        }
        max
    }

    /// Units that the platform allows in a window.
    pub fn bound(&self) -> f64 {
        (self.setup.rate * WINDOW.as_secs_f64() + self.setup.burst) * 1.1 + 17_000.0
    }
}

impl fmt::Display for Play {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, fate) in &self.fates {
            writeln!(
                f,
                "  {kind:?}: {} calls, in time {:.3}, late {:.3}, returned {:.3}, refused {:.3}, \
                 refused again {:.3}, served {:.3}",
                fate.calls,
                fate.served_at_once(),
                fate.late as f64 / fate.calls as f64,
                fate.returned as f64 / fate.calls as f64,
                fate.refused as f64 / fate.calls as f64,
                fate.refused_again as f64 / fate.calls as f64,
                fate.served()
            )?;
        }
        writeln!(
            f,
            "  granted {:.3} of the rate; window {:.3} of the bound; refused outside {}",
            self.granted_ratio,
            self.max_in_window() / self.bound(),
            self.refused_after
        )
    }
}
