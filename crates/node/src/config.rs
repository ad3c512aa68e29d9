//! What a VM's decision core is told at its start.

use std::{sync, time};

/// What a VM's decision core is told at its start.
///
/// ```
/// let config = node::Config::new("vm-1", "north", 7).with_peer("127.0.0.1:4000");
/// assert_eq!(config.vm.as_str(), "vm-1");
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Name of the VM.
    pub vm: ids::Vm,
    /// Its data centre.
    pub centre: ids::Centre,
    /// This start of its process.
    pub incarnation: ids::Incarnation,
    /// Address of its peer face: IP number and port.
    pub peer: sync::Arc<str>,
    /// Seed of its random numbers.
    pub seed: u64,
    /// How long new calls are still served after a stop was asked for.
    pub balancer_wait: time::Duration,
    /// How long a stream goes on without its caller, so that it can be resumed.
    pub detach_for: time::Duration,
    /// Time between two reports asked of a runner, at least.
    pub report_every: time::Duration,
    /// Reports asked of all runners together, in reports a second.
    pub reports_per_second: f64,
    /// Time between two reports asked of a runner, at most.
    pub report_at_least: time::Duration,
    /// Most attempts for one call.
    pub attempts: u32,
    /// Who may sign bundles.
    #[serde(default)]
    pub signers: Vec<bundle::signed::Signer>,
    /// Knobs of the queue.
    #[serde(default)]
    pub queue: route::queue::Config,
    /// Knobs of the choice of target.
    #[serde(default)]
    pub targets: route::target::Config,
    /// Knobs of the budget for retries.
    #[serde(default)]
    pub retries: route::retry::Config,
    /// Waits between the attempts of one call.
    #[serde(default)]
    pub backoff: route::retry::Backoff,
}

impl Config {
    /// Settings of the VM `vm` in the data centre `centre`.
    #[must_use]
    pub fn new(vm: &str, centre: &str, incarnation: u64) -> Self {
        Self {
            vm: vm.into(),
            centre: centre.into(),
            incarnation: ids::Incarnation::new(incarnation),
            peer: "".into(),
            seed: incarnation,
            balancer_wait: time::Duration::from_secs(2),
            detach_for: time::Duration::from_secs(5),
            report_every: time::Duration::from_millis(500),
            reports_per_second: 16.0,
            report_at_least: time::Duration::from_secs(2),
            attempts: 4,
            signers: Vec::new(),
            queue: route::queue::Config::default(),
            targets: route::target::Config::default(),
            retries: route::retry::Config::default(),
            backoff: route::retry::Backoff::default(),
        }
    }

    /// Sets the address of the peer face.
    #[must_use]
    pub fn with_peer(mut self, address: &str) -> Self {
        self.peer = address.into();
        self
    }

    /// Sets who may sign bundles.
    #[must_use]
    pub fn with_signers(mut self, signers: Vec<bundle::signed::Signer>) -> Self {
        self.signers = signers;
        self
    }

    /// Sets the seed of the random numbers.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets how long new calls are still served after a stop was asked for.
    #[must_use]
    pub const fn with_balancer_wait(mut self, wait: time::Duration) -> Self {
        self.balancer_wait = wait;
        self
    }

    /// Sets how a target is chosen, in which order waiting calls are served, and the
    /// time between tokens, in ms, above which a target gets fewer calls.
    #[must_use]
    pub const fn with_policy(
        mut self,
        target: route::policy::Policy,
        queue: route::policy::Discipline,
        gap_ms: u64,
    ) -> Self {
        self.targets.gap_ms = gap_ms;
        self.targets.policy = target;
        self.queue.discipline = queue;
        self
    }

    /// This VM as a member of the head.
    #[must_use]
    pub fn member(&self) -> member::Member {
        member::Member {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            centre: self.centre.clone(),
            peer: sync::Arc::clone(&self.peer),
        }
    }
}
