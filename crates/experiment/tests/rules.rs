//! Compares the product's scheduling rule with the baselines on the same calls.

use std::thread;

use experiment::{fleet, rule, scenario, tally::Tally};

/// Seeds over which results are averaged.
const SEEDS: [u64; 2] = [1, 2];

fn find_scenario(name: &str) -> scenario::Scenario {
    let mut scenarios = scenario::all().into_iter();
    scenarios.find(|scenario| scenario.name == name).expect("a scenario").with_length(30)
}

fn rule(name: &str) -> rule::Rule {
    *rule::ALL.iter().find(|rule| rule.name == name).expect("a rule")
}

/// Runs a scenario under a rule and returns a tally for each seed.
fn run(scenario: &scenario::Scenario, rule: rule::Rule) -> Vec<Tally> {
    thread::scope(|scope| {
        let runs = SEEDS.map(|seed| scope.spawn(move || fleet::run(scenario, &rule, seed)));
        runs.into_iter().map(|run| run.join().expect("a tally")).collect()
    })
}

fn mean(tallies: &[Tally], figure: fn(&Tally) -> f64) -> f64 {
    tallies.iter().map(figure).sum::<f64>() / tallies.len() as f64
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let scenario = scenario::calm().with_length(6);
    let tallies = [1, 1, 2].map(|seed| fleet::run(&scenario, &rule::DEFAULT, seed));
    let results = |tally: &Tally| (tally.windows.clone(), tally.first_event_ms.clone());
    assert!(results(&tallies[0]) == results(&tallies[1]));
    assert!(results(&tallies[0]) != results(&tallies[2]));
    assert!(tallies[0].attainment() > 0.99, "{}", tallies[0].attainment());
}

#[test]
fn slow_and_dead_engines_cost_less_than_with_round_robin_or_random_choice() {
    let scenario = find_scenario("slow and dead");
    let default = run(&scenario, rule::DEFAULT);
    for name in ["round robin", "random"] {
        let other = run(&scenario, rule(name));
        assert!(mean(&default, Tally::attainment) > mean(&other, Tally::attainment), "{name}");
        assert!(
            mean(&default, Tally::worst_two_windows) > mean(&other, Tally::worst_two_windows),
            "{name}"
        );
    }
}

#[test]
fn overload_attainment_is_higher_than_with_fifo_order() {
    let scenario = find_scenario("overload").with_length(16);
    let default = run(&scenario, rule::DEFAULT);
    let other = run(&scenario, rule("first come"));
    let (default, other) = (mean(&default, Tally::attainment), mean(&other, Tally::attainment));
    assert!(default > other, "{default} and {other}");
}

#[test]
fn account_with_seven_times_its_share_does_not_affect_the_others() {
    for tally in run(&find_scenario("hot account"), rule::DEFAULT) {
        let others = &tally.accounts[..4];
        assert!(Tally::worst_share(others) > 0.95, "{others:?}");
    }
}

#[test]
fn models_are_placed_anew_after_a_shift_of_demand() {
    for tally in run(&find_scenario("shift"), rule::DEFAULT) {
        assert!(tally.attainment() > 0.95, "{}", tally.attainment());
        let end = &tally.windows[10..];
        assert!(Tally::worst_share(end) > 0.95, "{end:?}");
    }
}

/// Guards against a choice of targets that does not profit from learned speeds where
/// engines differ.
#[test]
fn learned_speeds_serve_more_calls_in_time_at_uneven_engines() {
    let scenario = scenario::uneven_small().with_length(20);
    let usual = run(&scenario, rule::DEFAULT);
    let learned = run(&scenario, rule::LEARNED);
    let (before, after) = (mean(&usual, Tally::attainment), mean(&learned, Tally::attainment));
    assert!(after > before + 0.02, "{after} with learned speeds, {before} without");
    let paused = |tallies: &[Tally]| tallies.iter().map(|tally| tally.paused).sum::<u64>();
    assert!(paused(&learned) < paused(&usual), "{}, {}", paused(&learned), paused(&usual));
}
