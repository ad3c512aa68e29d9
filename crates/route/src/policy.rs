//! Ways to choose, to be set by configuration and measured against one another.

/// How a target is chosen among those that are ready and have room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The target with the lowest expected time.
    #[default]
    Expected,
    /// Any target with equal chances (baseline).
    Random,
    /// One target after the other (baseline).
    RoundRobin,
    /// The target whose latest report shows the smallest backlog (baseline).
    LeastReported,
}

/// The order in which waiting calls are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discipline {
    /// Classes first, then the account that was served least of late for its weight.
    #[default]
    LeastServed,
    /// Classes first, then accounts by deficit round robin, in proportion to their weights.
    Fair,
    /// In order of arrival (baseline).
    Fifo,
}
