//! Scenarios: the size of a deployment, its demand and what changes during a run.

use std::ops;

use crate::load;

/// Length of a run unless [`Scenario::with_length`] sets another.
const DEFAULT_LENGTH_S: u64 = 40;
/// Number of models of every scenario.
pub const MODELS: usize = 8;

/// Speeds of the engines of a site with uneven ones, relative to the data sheet.
const SPEEDS: [f64; 3] = [0.7, 1.7, 0.7];
/// Length of the intervals for which such an engine is slow.
const NOISE_INTERVAL_MS: u64 = 600;
/// Share of these intervals in which it is slow.
const NOISE_PERCENT: u64 = 15;
/// How many times slower it is then.
const NOISE_FACTOR: f64 = 2.5;

/// A change that holds for some seconds of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Multiplies the arrival rate of calls.
    Burst(f64),
    /// Multiplies the share of calls of the account with this number.
    AccountShare(usize, f64),
    /// Moves the ranking of models by demand this many places down the list.
    Shift(usize),
    /// Multiplies the speed of the engines with these numbers; at 0 they make no progress.
    Speed(ops::Range<usize>, f64),
}

/// Size, demand and changes of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name in the table and in file names of plots.
    pub name: &'static str,
    /// Number of VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Arrival rate over all VMs, in calls per second.
    pub rate: f64,
    /// Kinds of calls.
    pub kinds: [load::Kind; 3],
    /// Number of data centres.
    pub centres: usize,
    /// Decoding steps from one event of a stream to the next.
    pub stride: u32,
    /// Whether the engines differ in speed.
    pub is_uneven: bool,
    /// Length of the run.
    pub length_s: u64,
    /// Changes with the seconds of the run in which they hold.
    pub changes: Vec<(ops::Range<u64>, Change)>,
}

impl Scenario {
    fn new(name: &'static str, rate: f64, changes: Vec<(ops::Range<u64>, Change)>) -> Self {
        Self {
            name,
            vms: 5,
            engines: 12,
            rate,
            kinds: load::KINDS,
            centres: 1,
            stride: 1,
            is_uneven: false,
            length_s: DEFAULT_LENGTH_S,
            changes,
        }
    }

    /// Sets the length of the run.
    #[must_use]
    pub fn with_length(mut self, seconds: u64) -> Self {
        self.length_s = seconds;
        self
    }

    /// The changes that hold in the given second of the run.
    pub fn active_changes(&self, second: u64) -> impl Iterator<Item = &Change> {
        self.changes.iter().filter(move |(when, _)| when.contains(&second)).map(|(_, what)| what)
    }

    /// Speed of an engine in the given second; 1 is full speed. The lowest of several
    /// changes applies.
    #[must_use]
    pub fn speed(&self, second: u64, engine: usize) -> f64 {
        let speeds = self.active_changes(second).filter_map(|change| match change {
            Change::Speed(engines, speed) if engines.contains(&engine) => Some(*speed),
            _ => None,
        });
        speeds.fold(1.0, f64::min)
    }

    /// Speed of an engine at `at_ms` because of its hardware and of noise.
    #[must_use]
    pub fn uneven_speed(&self, at_ms: u64, engine: usize) -> f64 {
        if !self.is_uneven {
            return 1.0;
        }
        let seed = route::hash::seed(&engine.to_string());
        let draw = route::hash::score(seed, &(at_ms / NOISE_INTERVAL_MS).to_string());
        let is_slow = draw % 100 < NOISE_PERCENT;
        self.hardware_speed(engine) / if is_slow { NOISE_FACTOR } else { 1.0 }
    }

    /// Speed of an engine because of its hardware.
    #[must_use]
    pub fn hardware_speed(&self, engine: usize) -> f64 {
        if self.is_uneven { SPEEDS[engine % SPEEDS.len()] } else { 1.0 }
    }
}

/// Steady demand at two thirds of the engines' capacity.
#[must_use]
pub fn calm() -> Scenario {
    Scenario::new("calm", 70.0, Vec::new())
}

/// A large site whose engines differ in speed and are slow now and then.
#[must_use]
pub fn uneven() -> Scenario {
    Scenario {
        vms: 86,
        engines: 60,
        kinds: load::LARGE_KINDS,
        centres: 4,
        stride: 2,
        is_uneven: true,
        ..Scenario::new("uneven", 265.0, Vec::new())
    }
}

/// The same on a small site.
#[must_use]
pub fn uneven_small() -> Scenario {
    Scenario { name: "uneven small", vms: 5, engines: 12, rate: 53.0, centres: 1, ..uneven() }
}

/// All scenarios, in the order of the table.
#[must_use]
pub fn all() -> Vec<Scenario> {
    vec![
        calm(),
        Scenario::new("burst", 70.0, vec![(12..18, Change::Burst(2.5))]),
        Scenario::new("shift", 70.0, vec![(10..40, Change::Shift(2))]),
        Scenario::new("hot account", 60.0, vec![(10..25, Change::AccountShare(4, 7.0))]),
        Scenario::new(
            "slow and dead",
            60.0,
            vec![(10..20, Change::Speed(0..3, 0.25)), (22..28, Change::Speed(3..5, 0.0))],
        ),
        Scenario::new("overload", 150.0, Vec::new()),
        uneven_small(),
        uneven(),
    ]
}
