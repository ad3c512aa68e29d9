//! Exhaustive fault injection: crashes and faults at every step of claiming,
//! sending, answering and storing, alone and combined. A service that counts its
//! runs detects a call that is executed twice.

mod world;

/// Schedule that follows a list of choices, then chooses no fault. Records the
/// number of options at each step.
#[derive(Clone, Debug, Default)]
struct Script {
    choices: Vec<usize>,
    options: Vec<usize>,
    faults_left: usize,
}

impl Script {
    /// Returns the next schedule with at most `faults` faults; `None` after the last.
    fn next(mut self, faults: usize) -> Option<Self> {
        loop {
            let last = self.choices.pop()? + 1;
            if last < self.options[self.choices.len()] {
                self.choices.push(last);
                let used = self.choices.iter().filter(|choice| **choice > 0).count();
                if used <= faults {
                    return Some(Self {
                        choices: self.choices,
                        options: Vec::new(),
                        faults_left: faults,
                    });
                }
                self.choices.pop();
            }
        }
    }
}

impl world::Schedule for Script {
    fn choose(&mut self, options: usize) -> usize {
        let step = self.options.len();
        self.options.push(options);
        if step == self.choices.len() {
            self.choices.push(0);
        }
        let choice = self.choices[step];
        assert!(choice == 0 || self.faults_left > 0);
        self.faults_left -= usize::from(choice > 0);
        choice
    }
}

/// Runs all sessions with at most `faults` faults and returns their number.
fn enumerate(faults: usize, first: &[usize], lagging: bool) -> usize {
    let mut script = Script { faults_left: faults, ..Script::default() };
    for sessions in 1.. {
        let (world, last) = world::World::new(script, lagging).run(first);
        world::check_invariants(&world, &last);
        script = match world.into_schedule().next(faults) {
            Some(next) => next,
            None => return sessions,
        };
    }
    unreachable!()
}

#[test]
fn every_single_fault_keeps_the_invariants() {
    for lagging in [false, true] {
        for first in [&[0][..], &[0, 1], &[0, 0]] {
            let sessions = enumerate(1, first, lagging);
            assert!(sessions > 20, "{sessions}");
        }
    }
}

#[test]
fn every_pair_of_faults_keeps_the_invariants() {
    for first in [&[0][..], &[0, 1], &[0, 0]] {
        let sessions = enumerate(2, first, false);
        println!("{sessions} sessions from {first:?}");
        assert!(sessions > 400, "{sessions}");
    }
}

#[test]
fn every_triple_of_faults_of_one_caller_keeps_the_invariants() {
    let sessions = enumerate(3, &[0], false);
    println!("{sessions} sessions");
    assert!(sessions > 10_000, "{sessions}");
}
