//! The scheduling rules that are compared.

use relay::choice;
use route::policy;

/// How targets are chosen and waiting calls are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Name in tables and plots.
    pub name: &'static str,
    /// Choice of targets.
    pub choice: choice::Rule,
    /// Order in which waiting calls are served.
    pub discipline: policy::Discipline,
    /// Whether the speed of each engine is learned.
    pub learns_speed: bool,
}

const fn rule(name: &'static str, policy: policy::Policy, has_affinity: bool) -> Rule {
    let choice = choice::Rule { policy, has_affinity };
    Rule { name, choice, discipline: policy::Discipline::LeastServed, learns_speed: false }
}

/// The rule that the product uses.
pub const DEFAULT: Rule = rule("usual", policy::Policy::Expected, true);

/// The product's rule where the speed of engines is learned.
pub const LEARNED: Rule = Rule { name: "learned speed", learns_speed: true, ..DEFAULT };

/// The product's rule, then the baselines.
pub const ALL: [Rule; 7] = [
    DEFAULT,
    LEARNED,
    rule("no affinity", policy::Policy::Expected, false),
    Rule { discipline: policy::Discipline::Fifo, name: "first come", ..DEFAULT },
    rule("least loaded", policy::Policy::LeastReported, false),
    rule("round robin", policy::Policy::RoundRobin, false),
    rule("random", policy::Policy::Random, false),
];
