//! The relay's state, and the step function that runs the systems over it.

use std::{collections, sync, time};

use rand::SeedableRng as _;

use crate::{
    Input, Output, Settings, call, centre, cold, config, demand, era, event, lease, membership,
    output, pace, peer, planner, poison, quota, shutdown, speed, system, target, throughput,
};

/// Interval between runs of the systems that scan whole tables.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// How long after the first configuration a VM waits to hear from all other VMs
/// before it reports ready without them.
const PEER_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Maximum number of queued calls. Beyond it, calls of the account with the most
/// queued calls are refused first.
pub(crate) const MAX_QUEUED_CALLS: usize = 2_000;
/// Wait after which a call can no longer meet its objective, in ms: the objective
/// of the tightest streams.
const OBJECTIVE_MS: u64 = 800;
/// Fraction of the retries allowed by the platform that is used.
const RETRY_FRACTION: f64 = 0.6;

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Running,
    /// New calls are still accepted, until the load balancer has noticed. The VM keeps its
    /// row, so that the others go on sharing quotas, retries and connections with it.
    Draining {
        since: ids::Time,
        schedule: shutdown::Schedule,
    },
    /// New calls are refused and open ones finished. The VM's row is removed; `removal` is
    /// the write that is not answered yet.
    Finishing {
        since: ids::Time,
        schedule: shutdown::Schedule,
        removal: Option<ids::Op>,
    },
    Stopped,
}

impl Stage {
    /// Whether new calls are accepted.
    pub(crate) fn accepts_calls(self, now: ids::Time) -> bool {
        match self {
            Self::Running => true,
            Self::Draining { since, schedule } => now.since(since) < schedule.drained_after,
            Self::Finishing { .. } | Self::Stopped => false,
        }
    }

    /// Whether the VM keeps its row.
    pub(crate) const fn has_row(self) -> bool {
        matches!(self, Self::Running | Self::Draining { .. })
    }
}

/// When recent versions became known on this VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) config: system::replication::Progress<ids::Version>,
    pub(crate) targets: system::replication::Progress<ids::Revision>,
    pub(crate) members: system::replication::Progress<ids::Revision>,
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
    /// Time of the first step.
    pub(crate) started: Option<ids::Time>,
    /// Calls held back until startup has finished.
    pub(crate) held_calls: collections::BTreeMap<ids::Call, system::startup::Held>,
    pub(crate) calls: call::Table,
    pub(crate) queue: route::queue::Queue,
    pub(crate) quota: quota::Table,
    /// Calls that wait for quota units.
    pub(crate) units: quota::allocation::Queue,
    pub(crate) retries: collections::BTreeMap<ids::Service, route::retry::Budget>,
    pub(crate) typical_ms: collections::BTreeMap<ids::Service, f64>,
    pub(crate) peers: peer::Table,
    /// The other data centres of a large fleet.
    pub(crate) centres: centre::Table,
    /// The aggregator of this data centre in a large fleet.
    pub(crate) aggregator: Option<ids::Vm>,
    /// The VMs to which connections are kept.
    pub(crate) links: Vec<member::Member>,
    /// When there last was a planner.
    pub(crate) led_at: Option<ids::Time>,
    pub(crate) eras: era::Table,
    /// VMs that are not listed since the store has come back from a copy.
    pub(crate) kept: membership::Kept,
    pub(crate) lease: lease::Lease,
    pub(crate) planner: Option<planner::Planner>,
    pub(crate) demand: demand::Demand,
    pub(crate) pace: pace::Pace,
    pub(crate) throughput: throughput::Throughput,
    pub(crate) speed: system::speed::State,
    pub(crate) cold: cold::Table,
    /// Targets last logged as cold, with their start and the source of the belief.
    pub(crate) cold_logged: collections::BTreeMap<ids::Target, (u64, cold::Source)>,
    /// Prompt parts that crash engines.
    pub(crate) poison: poison::Ledger,
    /// Calls that were broken off, while it is not known whether their target, with this
    /// start time, has crashed.
    pub(crate) suspects: collections::BTreeMap<(ids::Target, u64), system::quarantine::Suspects>,
    /// Drained data centres.
    pub(crate) evacuation: system::evacuation::State,
    pub(crate) stage: Stage,
    pub(crate) store_down_since: Option<ids::Time>,
    pub(crate) gossip: system::gossip::Schedule,
    /// Since when too few other VMs read the store for this one.
    pub(crate) readers_lacking_since: Option<ids::Time>,
    /// When this VM last read the store directly.
    pub(crate) reads: system::replication::Reads,
    /// Store revision of the last known change of the targets.
    pub(crate) targets_revision: ids::Revision,
    pub(crate) progress: Progress,
    pub(crate) follow: Option<output::Follow>,
    ready: Option<bool>,
    pub(crate) last_op: ids::Op,
    pub(crate) row_written_at: ids::Time,
    /// When this VM's row is due to be written again, if the store may have lost it.
    pub(crate) row_due: Option<ids::Time>,
    /// The last write of this VM's row.
    pub(crate) row_op: Option<ids::Op>,
    next_tick: ids::Time,
}

impl Relay {
    /// Creates a relay without configuration, targets or peers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let queue = route::queue::Config {
            calls: MAX_QUEUED_CALLS,
            fresh_ms: OBJECTIVE_MS,
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
            held_calls: collections::BTreeMap::new(),
            calls: call::Table::default(),
            queue: route::queue::Queue::new(queue),
            quota: quota_table(&settings),
            units: quota::allocation::Queue::default(),
            retries: collections::BTreeMap::new(),
            typical_ms: collections::BTreeMap::new(),
            peers: peer::Table::new(settings.centre.clone()),
            centres: centre::Table::default(),
            aggregator: None,
            links: Vec::new(),
            led_at: None,
            eras: era::Table::default(),
            kept: membership::Kept::default(),
            lease,
            planner: None,
            demand: demand::Demand::default(),
            pace: pace::Pace::default(),
            throughput: throughput::Throughput::default(),
            cold: cold::Table::default(),
            cold_logged: collections::BTreeMap::new(),
            speed: system::speed::State::default(),
            poison: poison::Ledger::default(),
            suspects: collections::BTreeMap::new(),
            evacuation: system::evacuation::State::default(),
            stage: Stage::Running,
            store_down_since: None,
            gossip: system::gossip::Schedule::default(),
            readers_lacking_since: None,
            reads: system::replication::Reads::default(),
            targets_revision: ids::Revision::default(),
            progress: Progress::default(),
            follow: None,
            ready: None,
            last_op: ids::Op::default(),
            row_written_at: ids::Time::default(),
            row_due: None,
            row_op: None,
            next_tick: ids::Time::default(),
            settings,
        }
    }

    /// Processes the events up to `now` and appends the resulting actions to `out`.
    pub fn step(
        &mut self,
        now: ids::Time,
        inputs: impl IntoIterator<Item = Input>,
        out: &mut Vec<Output>,
    ) {
        self.started.get_or_insert(now);
        for input in inputs {
            self.apply(now, input, out);
        }
        system::startup::release(self, now, out);
        system::allocation::serve(self, now, out);
        if self.next_tick <= now {
            self.next_tick = now + TICK_INTERVAL;
            system::quarantine::tick(self, now, out);
            system::pause::tick(self, now, out);
            system::cold::tick(self, now, out);
            system::evacuation::tick(self, now, out);
            system::speed::tick(self, now);
            system::planning::tick(self, now, out);
            system::gossip::tick(self, now, out);
            system::replication::tick(self, now, out);
            system::dispatch::expire(self, now, out);
            system::shutdown::tick(self, now, out);
        }
        system::dispatch::dispatch(self, now, out);
        self.update_readiness(now, out);
    }

    /// Version of the current configuration; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ids::Version {
        self.config.as_ref().map_or(ids::Version::new(0), |config| config.version)
    }

    /// Age of the oldest report about VMs that are heard: the loads and quotas of other
    /// VMs are known up to then.
    #[must_use]
    pub fn view_age(&self, now: ids::Time) -> time::Duration {
        let neighbours = self.peers.heard_neighbours(now).filter_map(|row| row.last_heard);
        let centres = self.centres.heard(now).map(|row| row.at);
        neighbours.chain(centres).map(|at| now.since(at)).max().unwrap_or_default()
    }

    /// The store's era, as far as this VM knows.
    #[must_use]
    pub const fn store_era(&self) -> ids::Era {
        self.eras.current()
    }

    /// Connectivity to the other VMs.
    #[must_use]
    pub fn view(&self, now: ids::Time) -> quota::View {
        system::overlay::view(self, now)
    }

    /// Number of prompt parts that are blocked because they crash engines.
    #[must_use]
    pub fn blocked_parts(&self) -> usize {
        self.poison.blocked_count()
    }

    /// Number of calls that wait for quota units.
    #[must_use]
    pub const fn calls_waiting_for_units(&self) -> usize {
        self.units.len()
    }

    /// Lowest fraction of their rate that accounts which ask for more were granted at all VMs
    /// since the last call; `None` if no account asks for more.
    pub fn granted_ratio(&mut self, now: ids::Time) -> Option<f64> {
        self.quota.granted_ratio(now)
    }

    /// Number of targets that leave by their entries in the store, and of those that leave by
    /// their answers.
    #[must_use]
    pub fn leaving_targets(&self) -> (usize, usize) {
        let by_store = self.targets.iter().filter(|row| row.entry.is_leaving).count();
        (by_store, self.targets.iter().filter(|row| row.pause.is_leaving()).count())
    }

    /// Number of targets that are cold, of services with a limit for those.
    #[must_use]
    pub fn cold_targets(&self) -> usize {
        self.cold_logged.len()
    }

    /// Number of data centres to whose targets nothing is sent.
    #[must_use]
    pub fn drained_centres(&self) -> usize {
        self.evacuation.table.centres().len()
    }

    /// Learned speeds of the targets; empty if they are not learned.
    pub fn speeds(&self) -> impl Iterator<Item = (&ids::Target, speed::Estimate)> {
        self.targets.iter().filter_map(|row| Some((&row.entry.target, row.speed?)))
    }

    /// Number of open calls.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    fn apply(&mut self, now: ids::Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Arrival { call, envelope, arrived } => {
                system::startup::arrive(self, now, call, envelope, arrived, out);
            }
            Input::Closed { call } => {
                if !system::startup::caller_left(self, now, call, out) {
                    system::attempt::caller_left(self, now, call, out);
                }
            }
            Input::Attempt { attempt, event } => {
                system::attempt::event(self, now, attempt, event, out);
            }
            Input::Config { text, config } => self.adopt(now, text, config, out),
            Input::Targets(targets) => system::replication::read_targets(self, now, targets, out),
            Input::Evacuations { revision, centres } => {
                system::evacuation::read(self, now, revision, &centres, out);
            }
            Input::Members { revision, rows } => {
                system::planning::read_members(self, now, revision, rows, out);
            }
            Input::Era(era) => system::era::raise(self, now, era, &"store", out),
            Input::Lease { row, era, clock_ms } => {
                system::quarantine::restore(self, now, row.as_ref());
                if let Some(saved) = lease::saved_quota(row.as_ref())
                    && let Some(age) = self.quota.restore(now, &saved, clock_ms)
                {
                    let inputs = format!("age {age:?}, level and demand {:?}", saved.accounts);
                    let line = event::Event::new("quota", &lease::KEY, "taken from the store");
                    out.push(Output::Log(line.with_inputs(inputs)));
                }
                if !self.lease.observe(now, row.as_ref(), era, clock_ms) {
                    let line = event::Event::new("lease", &lease::KEY, "not readable");
                    out.push(Output::Log(line));
                }
            }
            Input::Read(table) => self.reads.record(now, table),
            Input::Store { is_up } => system::replication::set_store_state(self, now, is_up, out),
            Input::Written { op, result } => system::planning::written(self, now, op, &result, out),
            Input::Ordered { op, reply } => system::planning::ordered(self, now, op, reply, out),
            Input::Reported { target, report } => {
                system::planning::reported(self, now, &target, report.as_ref(), out);
            }
            Input::Notice { target, born, notice } => {
                system::pause::noticed(self, now, &target, born, notice, out);
            }
            Input::Probed { target, born, probe } => {
                system::quarantine::probed(self, now, &target, born, probe, out);
            }
            Input::Peer { from, incarnation, message } => {
                system::gossip::receive(self, now, &from, incarnation, message, out);
            }
            Input::Stop(schedule) => system::shutdown::begin(self, now, schedule, out),
        }
    }

    /// Switches to a configuration, unless the current one is as new.
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
            share: self.settings.retry_share * RETRY_FRACTION,
            per_second: 0.0,
            saved: self.max_saved_retries(),
        };
        for service in config.services.keys() {
            let fresh = || route::retry::Budget::new(now, budget).with_balance(budget.saved);
            self.retries.entry(service.clone()).or_insert_with(fresh);
        }
        self.config = Some(config);
        self.config_text = text;
        system::admission::recheck(self, now, out);
        system::replication::announce_config(self, now, out);
    }

    /// Capacity of each service's retry budget: this VM's share of the total.
    fn max_saved_retries(&self) -> f64 {
        let members = self.peers.iter().count() + 1;
        (self.settings.retry_slack * RETRY_FRACTION / members as f64).max(1.0)
    }

    /// Recomputes this VM's share of the retry budgets after a membership change.
    pub(crate) fn update_retry_shares(&mut self) {
        let saved = self.max_saved_retries();
        self.retries.values_mut().for_each(|budget| budget.set_cap(saved));
    }

    /// Whether the VM has caught up with its peers and can serve calls.
    fn is_ready(&self, now: ids::Time) -> bool {
        let (heard, all) = self.peers.count(now);
        let has_met_peers = heard == all || now.since(self.config_since) >= PEER_WAIT;
        self.stage == Stage::Running && self.config.is_some() && self.has_targets && has_met_peers
    }

    fn update_readiness(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        // Readiness is not withdrawn when peers fall silent: that would take capacity
        // away from callers without need.
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

    /// Maximum number of connections from this VM to one target of `service`.
    pub(crate) fn connections(&self, service: &config::Service) -> usize {
        let members = self.peers.iter().count() + 1;
        let all = usize::try_from(service.connections).unwrap_or(usize::MAX);
        (all / (members + 1)).max(1)
    }

    /// Relative pace of the model that a call uses.
    pub(crate) fn pace_of(&self, row: &call::Row) -> f64 {
        pace_of(self.config.as_deref(), &self.pace, row)
    }

    pub(crate) fn typical_ms(&self, service: &ids::Service) -> f64 {
        self.typical_ms.get(service).copied().unwrap_or(INITIAL_ANSWER_MS)
    }
}

/// Creates the accounts' buckets.
fn quota_table(settings: &Settings) -> quota::Table {
    let table = quota::Table::new(settings.quota);
    if settings.by_urgency {
        let hash = route::hash::seed(settings.vm.as_str());
        table.with_urgency((hash >> 11) as f64 / (1_u64 << 53) as f64)
    } else {
        table
    }
}

/// Relative pace of the model that a call uses; 1 if unknown.
pub(crate) fn pace_of(config: Option<&config::Config>, pace: &pace::Pace, row: &call::Row) -> f64 {
    let found = || {
        let engine = config?.services.get(&row.service)?.engine.as_ref()?;
        Some(pace.of_weights(engine.models.get(&row.envelope.work.as_ref()?.model)?.weights_mb))
    };
    found().unwrap_or(1.0)
}

/// Initial estimate of a plain service's answer time, in ms. Data sheets give
/// 15 to 60 ms of work.
const INITIAL_ANSWER_MS: f64 = 40.0;

/// Returns a log line about a call.
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

/// Returns the refusal of a call that has not run.
pub(crate) const fn refusal(
    call: ids::Call,
    status: u16,
    reason: &'static str,
    retry_after: Option<time::Duration>,
) -> Output {
    output::Output::Refuse { call, status, reason, retry_after }
}
