//! What the decision core of a VM is told at its start.

use std::{sync, time};

use route::policy;

use crate::{choice, quota};

/// What the decision core of a VM is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
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
    /// Time between the last order of one planner and the first of the next.
    pub handover: time::Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: time::Duration,
    /// Retries that all VMs together may send, as a share of the calls.
    pub retry_share: f64,
    /// Retries that all VMs together may send beyond that, at once.
    pub retry_slack: f64,
    /// What the platform lets an account have beyond its rate and burst.
    pub quota: quota::Tolerance,
    /// How targets are chosen.
    pub rule: choice::Rule,
    /// The order in which waiting calls are served.
    pub discipline: policy::Discipline,
}

/// Time between the last order of one planner and the first of the next, unless
/// the platform tells another: the one that it has told so far.
const TURN: time::Duration = time::Duration::from_secs(3);
/// Time from the signal to stop until the kill, likewise.
const GRACE: time::Duration = time::Duration::from_secs(8);
/// Share of retries, likewise.
const RETRY_SHARE: f64 = 0.2;
/// Retries beyond the share, likewise.
const RETRY_SLACK: f64 = 50.0;

/// What accounts may have beyond rate and burst, likewise.
const QUOTA: quota::Tolerance =
    quota::Tolerance { window: time::Duration::from_secs(8), overage: 0.1, slack: 17_000.0 };

impl Settings {
    /// Settings of the VM `vm` in the data centre `centre`.
    #[must_use]
    pub fn new(vm: &str, centre: &str, incarnation: u64) -> Self {
        Self {
            vm: vm.into(),
            centre: centre.into(),
            incarnation: ids::Incarnation::new(incarnation),
            peer: "".into(),
            seed: incarnation,
            handover: TURN,
            grace: GRACE,
            retry_share: RETRY_SHARE,
            retry_slack: RETRY_SLACK,
            quota: QUOTA,
            rule: choice::Rule::default(),
            discipline: policy::Discipline::default(),
        }
    }

    /// Sets the address of the peer face.
    #[must_use]
    pub fn with_peer(mut self, address: &str) -> Self {
        self.peer = address.into();
        self
    }

    /// Sets the time between the orders of two planners.
    #[must_use]
    pub const fn with_handover(mut self, handover: time::Duration) -> Self {
        self.handover = handover;
        self
    }

    /// Sets the time from the signal to stop until the kill.
    #[must_use]
    pub const fn with_grace(mut self, grace: time::Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Sets how targets are chosen, and the order of waiting calls: for experiments.
    #[must_use]
    pub const fn with_rules(mut self, rule: choice::Rule, discipline: policy::Discipline) -> Self {
        (self.rule, self.discipline) = (rule, discipline);
        self
    }

    /// Sets what an account may have beyond its rate and burst.
    #[must_use]
    pub const fn with_quota(mut self, tolerance: quota::Tolerance) -> Self {
        self.quota = tolerance;
        self
    }

    /// Sets how many retries all VMs together may send.
    #[must_use]
    pub const fn with_retries(mut self, share: f64, slack: f64) -> Self {
        self.retry_share = share;
        self.retry_slack = slack;
        self
    }

    /// This VM as the others know it.
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
