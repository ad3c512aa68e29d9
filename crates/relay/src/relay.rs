//! The relay: its tables, and the step that runs the systems over them.

use std::{collections, sync, time};

use rand::SeedableRng as _;

use crate::{
    Input, Output, Settings, call, config, demand, event, lease, outlook, output, pace, peer,
    planner, quota, system, target,
};

/// Time between two runs of the systems that look over whole tables.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Wait for other VMs after the first configuration, before the VM says that it
/// is ready without having heard all of them.
const PEER_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Calls that wait at most; more are refused, the account with most first.
const QUEUE_CALLS: usize = 2_000;
/// Wait after which a call cannot meet its objective any more, in ms: that of
/// the tightest streams.
const FRESH_MS: u64 = 800;
/// Part of the retries that the platform tolerates that is used.
const RETRY_PART: f64 = 0.6;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Running,
    Draining { since: ids::Time },
    Stopped,
}

/// Since when versions have been known here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) config: system::read::Progress,
    pub(crate) targets: system::read::Progress,
}

/// The decision core of a VM that relays calls.
#[derive(Debug)]
pub struct Relay {
    pub(crate) settings: Settings,
    pub(crate) rng: rand::rngs::SmallRng,
    pub(crate) config: Option<sync::Arc<config::Config>>,
    pub(crate) config_text: sync::Arc<str>,
    pub(crate) config_since: ids::Time,
    pub(crate) targets: target::Table,
    pub(crate) has_targets: bool,
    /// When this VM took its first step.
    pub(crate) started: Option<ids::Time>,
    /// Calls that it holds until it has come up.
    pub(crate) held: collections::BTreeMap<ids::Call, system::start::Held>,
    pub(crate) calls: call::Table,
    pub(crate) queue: route::queue::Queue,
    pub(crate) quota: quota::Table,
    pub(crate) retries: collections::BTreeMap<ids::Service, route::retry::Budget>,
    pub(crate) usual_ms: collections::BTreeMap<ids::Service, f64>,
    pub(crate) peers: peer::Table,
    pub(crate) lease: lease::Lease,
    pub(crate) planner: Option<planner::Planner>,
    pub(crate) demand: demand::Demand,
    pub(crate) pace: pace::Pace,
    pub(crate) outlook: outlook::Outlook,
    pub(crate) stage: Stage,
    pub(crate) store_down: Option<ids::Time>,
    pub(crate) tells: system::gossip::Schedule,
    /// When this VM last read the store itself.
    pub(crate) read_at: Option<ids::Time>,
    /// Version of the store at the last change of the targets that is known.
    pub(crate) known: ids::Version,
    /// Since when what is known has been known.
    pub(crate) progress: Progress,
    pub(crate) follow: Option<output::Follow>,
    ready: Option<bool>,
    pub(crate) last_op: ids::Op,
    pub(crate) written_at: ids::Time,
    tick_at: ids::Time,
}

impl Relay {
    /// A relay that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let queue = route::queue::Config {
            calls: QUEUE_CALLS,
            fresh_ms: FRESH_MS,
            discipline: settings.discipline,
            ..route::queue::Config::default()
        };
        let lease = lease::Lease::new(settings.vm.clone(), settings.incarnation, settings.handover);
        Self {
            rng: rand::rngs::SmallRng::seed_from_u64(settings.seed),
            config: None,
            config_text: "".into(),
            config_since: ids::Time::default(),
            targets: target::Table::default(),
            has_targets: false,
            started: None,
            held: collections::BTreeMap::new(),
            calls: call::Table::default(),
            queue: route::queue::Queue::new(queue),
            quota: quota::Table::new(settings.quota),
            retries: collections::BTreeMap::new(),
            usual_ms: collections::BTreeMap::new(),
            peers: peer::Table::default(),
            lease,
            planner: None,
            demand: demand::Demand::default(),
            pace: pace::Pace::default(),
            outlook: outlook::Outlook::default(),
            stage: Stage::Running,
            store_down: None,
            tells: system::gossip::Schedule::default(),
            read_at: None,
            known: ids::Version::default(),
            progress: Progress::default(),
            follow: None,
            ready: None,
            last_op: ids::Op::default(),
            written_at: ids::Time::default(),
            tick_at: ids::Time::default(),
            settings,
        }
    }

    /// Takes in what has happened up to `now` and says what to do.
    pub fn step(
        &mut self,
        now: ids::Time,
        inputs: impl IntoIterator<Item = Input>,
        out: &mut Vec<Output>,
    ) {
        self.started.get_or_insert(now);
        for input in inputs {
            self.input(now, input, out);
        }
        system::start::release(self, now, out);
        if self.tick_at <= now {
            self.tick_at = now + TICK;
            system::plan::tick(self, now, out);
            system::gossip::tick(self, now, out);
            system::read::tick(self, now, out);
            system::dispatch::expire(self, now, out);
            system::stop::tick(self, now, out);
        }
        system::dispatch::dispatch(self, now, out);
        self.announce(now, out);
    }

    /// Version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ids::Version {
        self.config.as_ref().map_or(ids::Version::new(0), |config| config.version)
    }

    /// Number of calls that are open.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    fn input(&mut self, now: ids::Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Arrival { call, envelope, arrived } => {
                system::start::arrive(self, now, call, envelope, arrived, out);
            }
            Input::Closed { call } => {
                if !system::start::gone(self, now, call, out) {
                    system::attempt::gone(self, now, call, out);
                }
            }
            Input::Attempt { attempt, event } => {
                system::attempt::event(self, now, attempt, event, out);
            }
            Input::Config { text, config } => self.adopt(now, text, config, out),
            Input::Targets(targets) => system::read::targets(self, now, targets, out),
            Input::Members(members) => system::plan::members(self, now, members, out),
            Input::Lease { row, clock_ms } => {
                if let Some(saved) = lease::saved(row.as_ref())
                    && let Some(age) = self.quota.restore(now, &saved, clock_ms)
                {
                    let inputs = format!("age {age:?}, level and demand {:?}", saved.accounts);
                    let line = event::Event::new("quota", &lease::KEY, "taken from the store");
                    out.push(Output::Log(line.with_inputs(inputs)));
                }
                if !self.lease.see(now, row.as_ref(), clock_ms) {
                    let line = event::Event::new("lease", &lease::KEY, "not readable");
                    out.push(Output::Log(line));
                }
            }
            Input::Unchanged => self.read_at = Some(now),
            Input::Store { is_up } => system::read::store(self, now, is_up, out),
            Input::Written { op, result } => system::plan::written(self, now, op, &result, out),
            Input::Ordered { op, reply } => system::plan::ordered(self, now, op, reply, out),
            Input::Reported { target, report } => {
                system::plan::reported(self, now, &target, report.as_ref(), out);
            }
            Input::Peer { from, incarnation, message } => {
                system::gossip::hear(self, now, &from, incarnation, message, out);
            }
            Input::Stop => system::stop::begin(self, now, out),
        }
    }

    /// Puts a configuration in force, unless a newer one is.
    fn adopt(
        &mut self,
        now: ids::Time,
        text: sync::Arc<str>,
        config: sync::Arc<config::Config>,
        out: &mut Vec<Output>,
    ) {
        if config.version <= self.version() {
            return;
        }
        let inputs = format!("before {} after {}", self.version(), config.version);
        let line = event::Event::new("config", &"op/config", "in force").with_inputs(inputs);
        out.push(Output::Log(line));
        if self.config.is_none() {
            self.config_since = now;
        }
        self.quota.adopt(now, &config);
        let budget = route::retry::Config {
            share: self.settings.retry_share * RETRY_PART,
            per_second: 0.0,
            saved: self.saved_retries(),
        };
        for service in config.services.keys() {
            let fresh = || route::retry::Budget::new(now, budget).with_balance(budget.saved);
            self.retries.entry(service.clone()).or_insert_with(fresh);
        }
        self.config = Some(config);
        self.config_text = text;
        system::arrive::recheck(self, now, out);
    }

    /// Retries that this VM may save up for each service: its part of those of all VMs.
    fn saved_retries(&self) -> f64 {
        let members = self.peers.iter().count() + 1;
        (self.settings.retry_slack * RETRY_PART / members as f64).max(1.0)
    }

    /// Takes its part of the retries anew: VMs have come or gone.
    pub(crate) fn share_retries(&mut self) {
        let saved = self.saved_retries();
        self.retries.values_mut().for_each(|budget| budget.set_cap(saved));
    }

    /// Whether the VM has come up to the others and may be asked.
    fn is_ready(&self, now: ids::Time) -> bool {
        let (heard, all) = self.peers.count(now);
        let met = heard == all || now.since(self.config_since) >= PEER_WAIT;
        self.stage == Stage::Running && self.config.is_some() && self.has_targets && met
    }

    fn announce(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        // Once ready, a VM stays so until it stops: silent peers are no reason
        // to leave callers without it.
        let ready =
            (self.ready == Some(true) && self.stage == Stage::Running) || self.is_ready(now);
        if self.ready == Some(ready) {
            return;
        }
        self.ready = Some(ready);
        let (heard, all) = self.peers.count(now);
        let inputs = format!(
            "version {} targets {} peers {}/{}",
            self.version(),
            self.targets.len(),
            heard,
            all
        );
        let outcome = if ready { "ready" } else { "not ready" };
        let line = event::Event::new("ready", &self.settings.vm, outcome).with_inputs(inputs);
        out.push(Output::Log(line));
        out.push(Output::Ready(ready));
    }

    pub(crate) const fn next_op(&mut self) -> ids::Op {
        self.last_op = self.last_op.next();
        self.last_op
    }

    /// The connections to one target that this VM may have.
    pub(crate) fn connections(&self, service: &config::Service) -> usize {
        let members = self.peers.iter().count() + 1;
        let all = usize::try_from(service.connections).unwrap_or(usize::MAX);
        (all / (members + 1)).max(1)
    }

    /// Pace of the model that a call asks for.
    pub(crate) fn pace_of(&self, row: &call::Row) -> f64 {
        pace_of(self.config.as_deref(), &self.pace, row)
    }

    pub(crate) fn usual_ms(&self, service: &ids::Service) -> f64 {
        self.usual_ms.get(service).copied().unwrap_or(USUAL_MS)
    }
}

/// Pace of the model that a call asks for; 1 if it is not known.
pub(crate) fn pace_of(config: Option<&config::Config>, pace: &pace::Pace, row: &call::Row) -> f64 {
    let found = || {
        let engine = config?.services.get(&row.service)?.engine.as_ref()?;
        Some(pace.of(engine.models.get(&row.envelope.work.as_ref()?.model)?.weights_mb))
    };
    found().unwrap_or(1.0)
}

/// Time of a plain service's answer before any was seen, in ms: the sheets tell
/// 15 to 60 ms of work.
const USUAL_MS: f64 = 40.0;

/// Log line about a call.
pub(crate) fn line(
    row: &call::Row,
    peer: &impl ToString,
    outcome: &'static str,
    inputs: String,
) -> Output {
    Output::Log(
        event::Event::new("call", peer, outcome).with_id(&row.envelope.id).with_inputs(inputs),
    )
}

/// Refusal of a call that has not run.
pub(crate) const fn refusal(
    call: ids::Call,
    status: u16,
    reason: &'static str,
    retry_after: Option<time::Duration>,
) -> Output {
    output::Output::Refuse { call, status, reason, retry_after }
}
