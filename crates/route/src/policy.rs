//! Selection policies for targets and queued calls.
//!
//! The policy is set by configuration. The baselines exist to be compared with
//! the defaults in measurements.

/// How a target is chosen among those that are ready and have capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The target with the lowest expected completion time.
    #[default]
    Expected,
    /// A target drawn uniformly at random (baseline).
    Random,
    /// Each target in turn (baseline).
    RoundRobin,
    /// The target whose latest report shows the smallest backlog (baseline).
    LeastReported,
}

/// The order in which waiting calls are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discipline {
    /// By class, then the account with the least recent usage per unit of weight.
    #[default]
    LeastServed,
    /// By class, then accounts by weighted deficit round robin.
    Fair,
    /// In order of arrival (baseline).
    Fifo,
}
