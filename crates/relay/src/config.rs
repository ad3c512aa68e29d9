//! The configuration in force: routes, services, client accounts and limits.

use std::{collections, sync, time};

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its version; a higher one is newer.
    pub version: ids::Version,
    /// Routes, longest prefix first.
    pub routes: Vec<sync::Arc<Route>>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::Service, Service>,
    /// Client accounts by name.
    pub accounts: collections::BTreeMap<ids::Account, Account>,
    /// Account of each key; the keys are secrets and are never logged.
    pub keys: collections::HashMap<sync::Arc<str>, ids::Account>,
    /// What callers may send, and how long they may take.
    pub limits: Limits,
}

/// Rule for calls with a given host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: sync::Arc<str>,
    /// The host, in lower case and without a port.
    pub host: sync::Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: sync::Arc<str>,
    /// Whether a call that may have run can be retried.
    pub repeat: Repeat,
    /// Maximum duration of a call.
    pub timeout: time::Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: time::Duration,
    /// Objective for the longest pause between events of a stream.
    pub gap: time::Duration,
    /// Rank of its calls; 0 goes first.
    pub priority: u32,
    /// Services and their weights.
    pub split: Vec<(ids::Service, u32)>,
    /// Maximum number of targets that one call is sent to.
    pub attempts: u32,
    /// Whether calls need no key.
    pub public: bool,
}

/// Whether a call that may have run can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Not retried: it runs at most once.
    Never,
    /// Idempotent: it may be run again.
    Idempotent,
    /// A stream that runs at most once.
    Stream,
    /// A stream that can be resumed after any of its events.
    Resumable,
}

/// Minimum time after which callers abandon a stalled stream.
const MIN_STALL: time::Duration = time::Duration::from_secs(2);
/// Number of objectives after which callers abandon a stalled stream.
const STALL_OBJECTIVES: u32 = 4;
/// Number of gap objectives after which callers abandon a stalled stream.
const STALL_GAPS: u32 = 8;

impl Route {
    /// How long callers wait for the first event of a stream, or for an answer.
    #[must_use]
    pub fn max_wait(&self) -> time::Duration {
        if !self.repeat.is_stream() {
            return self.timeout;
        }
        let stall = MIN_STALL.max(self.objective * STALL_OBJECTIVES).max(self.gap * STALL_GAPS);
        stall.min(self.timeout)
    }
}

impl Repeat {
    /// Whether a call that may have run may be sent again.
    #[must_use]
    pub const fn allows_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether its answers are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A group of targets that serve the same calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ids::Service,
    /// Connections that one of its targets accepts from all VMs together.
    pub connections: u32,
    /// Capacity of its runners; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Limit of its cold targets; `None` for no limit.
    pub cold: Option<Cold>,
}

/// What the cold targets of a service tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests per second that a cold target tolerates; above 0.
    pub per_second: f64,
    /// How long a target is cold after its start.
    pub start: time::Duration,
}

/// Capacity of the runners of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Calls that a runner works on at once.
    pub slots: u32,
    /// Tokens that a runner's KV memory holds.
    pub kv_tokens: u64,
    /// Memory of a runner for weights and adapters together, in MB.
    pub memory_mb: f64,
    /// Adapters that a runner holds at most.
    pub adapters: u32,
    /// Loads from the weight store a second, over all runners.
    pub loads_per_second: f64,
    /// Decoding steps from one event of a stream to the next.
    pub stride: u32,
    /// Models by name.
    pub models: collections::BTreeMap<ids::Model, Model>,
}

/// A model and its adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Size of each of its adapters, in MB.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub load: time::Duration,
    /// Time of a load from the runner's disk.
    pub disk: time::Duration,
    /// Time of a load from the runner's host memory.
    pub warm: time::Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: ids::Account,
    /// Its rank, before the route's; 0 goes first.
    pub priority: u32,
    /// What its quota counts.
    pub unit: Unit,
    /// Units a second; 0 for no limit.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    /// Calls.
    Calls,
    /// Tokens; a call that does not state its size counts as this many.
    Tokens(f64),
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request to arrive.
    pub head_time: time::Duration,
    /// Longest time for which a connection may be idle.
    pub idle_time: time::Duration,
}

impl Default for Limits {
    /// The limits before the first configuration is known, those of the
    /// platform's example.
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_time: time::Duration::from_secs(3),
            idle_time: time::Duration::from_secs(15),
        }
    }
}

impl Config {
    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        self.routes
            .iter()
            .find(|route| path.starts_with(&*route.prefix) && route.host.eq_ignore_ascii_case(host))
    }

    /// The account that holds `key`.
    #[must_use]
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        self.accounts.get(self.keys.get(key)?)
    }

    /// Whether calls on `route` need a key.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.accounts.is_empty()
    }

    /// Whether `route` has the lowest priority among the routes that share its
    /// services, and some other route has a higher one.
    #[must_use]
    pub fn is_lowest_priority(&self, route: &Route) -> bool {
        let shares_service =
            |other: &Route| other.split.iter().any(|(name, _)| splits_to(route, name));
        self.routes.iter().any(|other| other.priority < route.priority && shares_service(other))
            && !self
                .routes
                .iter()
                .any(|other| other.priority > route.priority && shares_service(other))
    }
}

fn splits_to(route: &Route, service: &ids::Service) -> bool {
    route.split.iter().any(|(name, _)| name == service)
}
