//! Every crash point and fault of claim, send, answer and store, one by one
//! and in pairs. The service's own count is the judge.

mod world;

/// Follows a list of choices, then meets no fault; notes what it was asked.
#[derive(Clone, Debug, Default)]
struct Script {
    choices: Vec<usize>,
    options: Vec<usize>,
    faults_left: usize,
}

impl Script {
    /// The next list of choices with as many faults at most; none after the last.
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

/// Runs all sessions with at most `faults` faults; returns their number.
fn enumerate(faults: usize, first: &[usize], lagging: bool) -> usize {
    let mut script = Script { faults_left: faults, ..Script::default() };
    for sessions in 1.. {
        let (world, last) = world::World::new(script, lagging).run(first);
        world::judge(&world, &last);
        script = match world.into_schedule().next(faults) {
            Some(next) => next,
            None => return sessions,
        };
    }
    unreachable!()
}

#[test]
fn every_single_fault() {
    for lagging in [false, true] {
        for first in [&[0][..], &[0, 1], &[0, 0]] {
            let sessions = enumerate(1, first, lagging);
            assert!(sessions > 20, "{sessions}");
        }
    }
}

#[test]
fn every_pair_of_faults() {
    for first in [&[0][..], &[0, 1], &[0, 0]] {
        let sessions = enumerate(2, first, false);
        println!("{sessions} sessions from {first:?}");
        assert!(sessions > 400, "{sessions}");
    }
}

#[test]
fn every_triple_of_faults_of_one_caller() {
    let sessions = enumerate(3, &[0], false);
    println!("{sessions} sessions");
    assert!(sessions > 10_000, "{sessions}");
}
