//! Random schedules with many faults. A service that counts its runs detects a
//! call that is executed twice.

mod world;

/// Seed of the random schedules.
const SEED: u64 = 0x6a6f_7572_6e61_6c31;
/// Maximum number of steps of a session that may have a fault.
const STEPS: usize = 60;
/// Smallest byte that selects a fault.
const FIRST_FAULT: u8 = 150;

/// Schedule with one byte for each step, and no faults after the last byte.
#[derive(Clone, Debug)]
struct ByteSchedule {
    bytes: Vec<u8>,
    step: usize,
}

impl world::Schedule for ByteSchedule {
    fn choose(&mut self, options: usize) -> usize {
        let byte = self.bytes.get(self.step).copied().unwrap_or_default();
        self.step += 1;
        match byte.checked_sub(FIRST_FAULT) {
            None => 0,
            Some(fault) => 1 + usize::from(fault) % (options - 1),
        }
    }
}

#[test]
fn random_schedules_keep_the_invariants() {
    println!("seed {SEED:#x}");
    let property = |bytes: Vec<u8>, lagging: bool, both: bool| {
        let first: &[usize] = if both { &[0, 1] } else { &[0] };
        let schedule = ByteSchedule { bytes, step: 0 };
        let (world, last) = world::World::new(schedule, lagging).run(first);
        world::check_invariants(&world, &last);
        drop(world.into_schedule());
    };
    let generator = quickcheck::Gen::from_size_and_seed(STEPS, SEED);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>, bool, bool));
}
