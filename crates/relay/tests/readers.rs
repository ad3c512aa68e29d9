//! Random losses of the VMs that read the store for all: the others take over in time.

mod fleet;
mod world;

use std::collections;

use fleet::Fleet;
use rand::{Rng as _, SeedableRng as _, rngs, seq::IndexedRandom as _};
use relay::input::Table;
use world::{configuration, runner};

/// Seeds that are played.
const SEEDS: u64 = 200;
/// Sizes of the fleets; the larger ones have aggregators.
const SIZES: [usize; 6] = [3, 5, 5, 10, 17, 36];
/// Largest fleet of a small site, whose bounds are tighter.
const MAX_SMALL_VMS: usize = 10;
/// Tables of the store that are read for all VMs.
const TABLES: [Table; 3] = [Table::Config, Table::Targets, Table::Members];
/// Largest number of VMs that are harmed.
const MAX_HARMED: usize = 4;
/// Number of VMs, the first by name, that read the store or take over from those that do.
const FIRST_VMS: usize = 5;
/// Period within which harm begins, in ms.
const HARM_MS: u64 = 1_500;
/// Step of the fleet, in ms.
const STEP_MS: u64 = 20;

/// What happens to a VM.
#[derive(Clone, Copy, Debug)]
enum Harm {
    /// It loses the marked ones of [`TABLES`].
    Tables([bool; TABLES.len()]),
    /// It loses the store.
    Store,
    /// It is suspended for this time, in ms.
    Freeze(u64),
    /// It is killed, and started again after this time, in ms.
    Kill(u64),
}

impl Harm {
    fn draw(rng: &mut rngs::SmallRng) -> Self {
        match rng.random_range(0..10) {
            0..6 => loop {
                let lost = [rng.random(), rng.random(), rng.random()];
                if lost.contains(&true) {
                    return Self::Tables(lost);
                }
            },
            6 => Self::Store,
            7 | 8 => Self::Freeze(rng.random_range(100..3_000)),
            _ => Self::Kill(rng.random_range(100..1_000)),
        }
    }

    /// Applies what happens to a VM in a step, `since` ms after it began.
    fn apply(self, fleet: &mut Fleet, vm: usize, since: u64) {
        let is_step_at = |at: u64| (at..at + STEP_MS).contains(&since);
        match self {
            Self::Tables(lost) if is_step_at(0) => {
                let lost = TABLES.into_iter().zip(lost).filter(|(_, is_lost)| *is_lost);
                fleet.vms[vm].unread.extend(lost.map(|(table, _)| table));
            }
            Self::Store if is_step_at(0) => fleet.vms[vm].has_store = false,
            Self::Freeze(length_ms) => fleet.vms[vm].is_frozen = since < length_ms,
            Self::Kill(_) if is_step_at(0) => fleet.kill(vm),
            Self::Kill(down_ms) if is_step_at(down_ms) => fleet.start(vm),
            Self::Tables(_) | Self::Store | Self::Kill(_) => {}
        }
    }
}

/// Harms some VMs of a fleet, and accepts a configuration once the others have been in touch for
/// `contactMs`. Returns a description of each other VM that does not go by it in time.
fn late_vms(seed: u64) -> Vec<String> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let size = *SIZES.choose(&mut rng).expect("a size");
    let (contact_ms, apply_ms) =
        if size <= MAX_SMALL_VMS { (3_000, 2_000) } else { (4_000, 3_000) };
    let runners = (0..4).map(|index| runner(&format!("i-{index}"), &["alpha", "beta"]));
    let mut fleet = Fleet::new(size, 4, configuration(1), runners.collect());
    fleet.run(rng.random_range(4_000..6_000), |_| {});
    let readers = (0..size).filter(|vm| fleet.vms[*vm].follow().is_reader);
    let readers: Vec<_> = readers.collect();
    let mut harmed = collections::BTreeMap::new();
    for _ in 0..rng.random_range(1..=MAX_HARMED) {
        let vm = match rng.random_range(0..5) {
            0..3 => *readers.choose(&mut rng).expect("a reader"),
            3 => rng.random_range(0..size.min(FIRST_VMS)),
            _ => rng.random_range(0..size),
        };
        harmed.insert(vm, (rng.random_range(0..HARM_MS), Harm::draw(&mut rng)));
    }
    let started = fleet.now;
    let accepted_ms = HARM_MS + contact_ms + rng.random_range(0..400);
    let mut is_accepted = false;
    fleet.run(accepted_ms + apply_ms, |fleet| {
        let elapsed = fleet.now.since(started).as_millis();
        let elapsed = u64::try_from(elapsed).expect("a short time");
        for (vm, (at, harm)) in &harmed {
            if let Some(since) = elapsed.checked_sub(*at) {
                harm.apply(fleet, *vm, since);
            }
        }
        if elapsed >= accepted_ms && !std::mem::replace(&mut is_accepted, true) {
            fleet.configure(configuration(2));
        }
    });
    let others = fleet.vms.iter().enumerate().filter(|(vm, _)| !harmed.contains_key(vm));
    let late = others.filter_map(|(vm, row)| {
        let version = row.relay.as_ref().map(|relay| relay.version().get());
        (version != Some(2)).then(|| format!("VM {vm} of {size} goes by {version:?}: {harmed:?}"))
    });
    late.collect()
}

/// Guards against VMs that stay on an old configuration because they rely on readers that have
/// lost a table of the store, or all of it, or that are suspended or restarting.
#[test]
fn a_new_configuration_reaches_the_other_vms_whatever_happens_to_the_readers() {
    let late = (0..SEEDS).filter_map(|seed| {
        let late = late_vms(seed);
        (!late.is_empty()).then(|| format!("seed {seed}: {late:#?}"))
    });
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "{}", late.join("\n"));
}
