//! Tests of the allocation of quota units by urgency, alone and in fleets.

mod fleet;
mod play;
mod world;

use play::{Play, Setup};

#[test]
fn figures() {
    for size in [1, 5, 26] {
        for (rate, burst) in [(54_000.0, 54_000.0), (286_000.0, 286_000.0)] {
            for times in [3.5, 7.0] {
                for by_urgency in [false, true] {
                    let setup = Setup { size, rate, burst, times, by_urgency, seed: 1 };
                    let play = Play::new(setup).run();
                    println!("{setup:?}\n{play}");
                }
            }
        }
    }
}
