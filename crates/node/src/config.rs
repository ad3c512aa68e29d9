//! Configuration of the decision core.

use std::{sync, time};

/// Configuration of the decision core, fixed for the life of the process.
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
    /// Data centre of the VM.
    pub centre: ids::Centre,
    /// Incarnation of the VM, new for each start of its process.
    pub incarnation: ids::Incarnation,
    /// Address on which other VMs connect: IP number and port.
    pub peer: sync::Arc<str>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time after a stop request in which new calls are still served.
    ///
    /// It gives the balancer time to notice that the VM is not ready.
    pub balancer_wait: time::Duration,
    /// How long a stream continues after its caller disconnected, so that it can be resumed.
    pub detach_for: time::Duration,
    /// Shortest interval between report requests to one runner.
    pub report_every: time::Duration,
    /// Target rate of report requests to all runners together, per second.
    pub reports_per_second: f64,
    /// Longest interval between report requests to one runner.
    pub report_at_least: time::Duration,
    /// Maximum number of attempts for one call, the first one included.
    pub attempts: u32,
    /// Signers whose bundles are accepted.
    #[serde(default)]
    pub signers: Vec<bundle::signed::Signer>,
    /// Settings of the queue.
    #[serde(default)]
    pub queue: route::queue::Config,
    /// Settings of target selection.
    #[serde(default)]
    pub targets: route::target::Config,
    /// Settings of the retry budget.
    #[serde(default)]
    pub retries: route::retry::Config,
    /// Backoff between the attempts of one call.
    #[serde(default)]
    pub backoff: route::retry::Backoff,
}

impl Config {
    /// Creates the default configuration of the VM `vm` in the data centre `centre`.
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

    /// Sets the address on which other VMs connect.
    #[must_use]
    pub fn with_peer(mut self, address: &str) -> Self {
        self.peer = address.into();
        self
    }

    /// Sets the signers whose bundles are accepted.
    #[must_use]
    pub fn with_signers(mut self, signers: Vec<bundle::signed::Signer>) -> Self {
        self.signers = signers;
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the time after a stop request in which new calls are still served.
    #[must_use]
    pub const fn with_balancer_wait(mut self, wait: time::Duration) -> Self {
        self.balancer_wait = wait;
        self
    }

    /// Sets the policies of target selection and queueing.
    ///
    /// A target whose time between tokens exceeds `gap_ms` gets fewer calls.
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

    /// Returns the entry of this VM in the head's list of members.
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
