//! Random schedules of many faults, judged by the service's own count.

mod world;

/// Seed of the schedules.
const SEED: u64 = 0x6a6f_7572_6e61_6c31;
/// Steps of a session that may meet a fault.
const STEPS: usize = 60;
/// Bytes below this one mean no fault.
const FIRST_FAULT: u8 = 150;

/// One byte for each step; no fault after the last.
#[derive(Clone, Debug)]
struct Bytes {
    bytes: Vec<u8>,
    step: usize,
}

impl world::Schedule for Bytes {
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
fn random_schedules() {
    println!("seed {SEED:#x}");
    let property = |bytes: Vec<u8>, lagging: bool, both: bool| {
        let first: &[usize] = if both { &[0, 1] } else { &[0] };
        let schedule = Bytes { bytes, step: 0 };
        let (world, last) = world::World::new(schedule, lagging).run(first);
        world::judge(&world, &last);
        drop(world.into_schedule());
    };
    let generator = quickcheck::Gen::from_size_and_seed(STEPS, SEED);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>, bool, bool));
}
