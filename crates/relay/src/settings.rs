//! Settings of the decision core.

use std::{sync, time};

use route::policy;

use crate::{choice, cold, quota};

/// Settings of the decision core of a VM, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: ids::Vm,
    /// Its data centre.
    pub centre: ids::Centre,
    /// Identifies this start of the VM's process; later ones are higher.
    pub incarnation: ids::Incarnation,
    /// Address on which it accepts peer connections: IP address and port.
    pub peer: sync::Arc<str>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Minimum time between the last order of one planner and the first of the next.
    pub handover: time::Duration,
    /// Retries allowed to all VMs together, as a fraction of the calls.
    pub retry_share: f64,
    /// Burst of retries allowed to all VMs together beyond that.
    pub retry_slack: f64,
    /// Usage that the platform tolerates beyond an account's rate and burst.
    pub quota: quota::Tolerance,
    /// Requests that a cold target tolerates beyond its service's rate.
    pub cold: cold::Tolerance,
    /// Rule for selecting targets.
    pub rule: choice::Rule,
    /// Order in which queued calls are served.
    pub discipline: policy::Discipline,
    /// Whether an account that exceeds its rate spends its units by urgency.
    pub by_urgency: bool,
    /// Whether the speed of each engine is learned.
    pub learns_speed: bool,
}

/// Default handover time between planners: the value that the platform has used so far.
const TURN: time::Duration = time::Duration::from_secs(3);
/// Default retries as a fraction of the calls, likewise.
const RETRY_SHARE: f64 = 0.2;
/// Default burst of retries, likewise.
const RETRY_SLACK: f64 = 50.0;

/// Default tolerance beyond rate and burst, likewise.
const QUOTA: quota::Tolerance =
    quota::Tolerance { window: time::Duration::from_secs(8), overage: 0.1, slack: 17_000.0 };

/// Default tolerance of cold targets, likewise.
const COLD: cold::Tolerance = cold::Tolerance { overage: 1.5, slack: 5.0 };

impl Settings {
    /// Creates default settings of the VM `vm` in the data centre `centre`.
    #[must_use]
    pub fn new(vm: &str, centre: &str, incarnation: u64) -> Self {
        Self {
            vm: vm.into(),
            centre: centre.into(),
            incarnation: ids::Incarnation::new(incarnation),
            peer: "".into(),
            seed: incarnation,
            handover: TURN,
            retry_share: RETRY_SHARE,
            retry_slack: RETRY_SLACK,
            quota: QUOTA,
            cold: COLD,
            rule: choice::Rule::default(),
            discipline: policy::Discipline::default(),
            by_urgency: false,
            learns_speed: false,
        }
    }

    /// Sets the address for peer connections.
    #[must_use]
    pub fn with_peer(mut self, address: &str) -> Self {
        self.peer = address.into();
        self
    }

    /// Sets the minimum time between the orders of two planners.
    #[must_use]
    pub const fn with_handover(mut self, handover: time::Duration) -> Self {
        self.handover = handover;
        self
    }

    /// Sets the rules for selecting targets and ordering queued calls, for experiments.
    #[must_use]
    pub const fn with_rules(mut self, rule: choice::Rule, discipline: policy::Discipline) -> Self {
        (self.rule, self.discipline) = (rule, discipline);
        self
    }

    /// Sets the usage tolerated beyond an account's rate and burst.
    #[must_use]
    pub const fn with_quota(mut self, tolerance: quota::Tolerance) -> Self {
        self.quota = tolerance;
        self
    }

    /// Sets the requests that a cold target tolerates beyond its service's rate.
    #[must_use]
    pub const fn with_cold(mut self, tolerance: cold::Tolerance) -> Self {
        self.cold = tolerance;
        self
    }

    /// Sets the fraction and the burst of retries allowed to all VMs together.
    #[must_use]
    pub const fn with_retries(mut self, share: f64, slack: f64) -> Self {
        self.retry_share = share;
        self.retry_slack = slack;
        self
    }

    /// Sets whether an account that exceeds its rate spends its units by urgency.
    #[must_use]
    pub const fn with_urgency(mut self, by_urgency: bool) -> Self {
        self.by_urgency = by_urgency;
        self
    }

    /// Sets whether the speed of each engine is learned.
    #[must_use]
    pub const fn with_learned_speed(mut self, learns_speed: bool) -> Self {
        self.learns_speed = learns_speed;
        self
    }

    /// The membership entry of this VM.
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
