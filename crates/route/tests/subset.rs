//! Subsets in a large fleet of 330 VMs, 600 runners and 350 models, the size
//! expected in two years.

use std::collections;

use rand::{Rng as _, SeedableRng as _};
use route::subset;

const VMS: usize = 330;
const RUNNERS: usize = 600;
const MODELS: usize = 350;
const SIZE: usize = 4;

/// The runners with a copy of each model, 2 to 24 per model.
fn copies() -> Vec<Vec<ids::Target>> {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(11);
    (0..MODELS)
        .map(|_| {
            let count = rng.random_range(2..=24);
            let runners = rand::seq::index::sample(&mut rng, RUNNERS, count);
            runners.iter().map(|number| format!("runner-{number}").into()).collect()
        })
        .collect()
}

#[test]
fn every_item_is_covered_and_every_copy_is_used() {
    for targets in copies() {
        let mut used = collections::BTreeMap::<ids::Target, usize>::new();
        for vm in 0..VMS {
            let chosen = subset::choose(&format!("vm-{vm}").into(), &targets, SIZE);
            assert_eq!(chosen.len(), targets.len().min(SIZE));
            for target in chosen {
                *used.entry(target).or_default() += 1;
            }
        }
        assert_eq!(used.len(), targets.len());
        let mean = (VMS * targets.len().min(SIZE)) as f64 / targets.len() as f64;
        let most = *used.values().max().unwrap() as f64;
        assert!(most <= 1.7 * mean, "{most} of {mean}");
    }
}

#[test]
fn removing_a_runner_changes_only_its_own_place() {
    let targets: Vec<ids::Target> = (0..20).map(|n| format!("runner-{n}").into()).collect();
    let before = subset::choose(&"vm-1".into(), &targets, SIZE);
    let left: Vec<_> = targets.iter().filter(|target| **target != before[0]).collect();
    let after = subset::choose(&"vm-1".into(), left, SIZE);
    assert_eq!(after[..SIZE - 1], before[1..]);
}
