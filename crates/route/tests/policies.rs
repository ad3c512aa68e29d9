//! Bounds from the stated targets, for the whole of queue and choice before runners that batch.

#[path = "../examples/policies/fleet.rs"]
mod fleet;

use std::time;

use route::{policy, queue, target};

fn setup(load: f64) -> fleet::Setup {
    fleet::Setup {
        seed: 3,
        queue: queue::Config::default(),
        target: target::Config::default(),
        load,
        vms: 5,
        runners: 8,
        slow_power: 0.5,
        slow_declared: true,
        models: 12,
        copies: 3,
        flood: 1.0,
        length: time::Duration::from_secs(70),
    }
}

fn attained(outcome: &fleet::Outcome) -> f64 {
    let calls: u64 = outcome.accounts.iter().map(|tally| tally.calls).sum();
    let attained: u64 = outcome.accounts.iter().map(|tally| tally.attained).sum();
    attained as f64 / calls as f64
}

#[test]
fn at_seven_tenths_of_capacity_95_in_100_are_in_time_and_none_is_refused() {
    let outcome = fleet::Fleet::new(setup(0.7)).run();
    assert!(attained(&outcome) >= 0.95, "{}", attained(&outcome));
    assert!(outcome.accounts.iter().all(|tally| tally.refused == 0), "{:?}", outcome.accounts);
}

#[test]
fn at_capacity_an_accelerator_attains_more_than_under_plain_round_robin() {
    let ours = fleet::Fleet::new(setup(1.0)).run();
    let mut plain = setup(1.0);
    plain.target.policy = policy::Policy::RoundRobin;
    plain.target.gap_ms = 0;
    let plain = fleet::Fleet::new(plain).run();
    let ratio = ours.per_accelerator / plain.per_accelerator;
    assert!(ratio >= 1.3, "{ratio}");
}

#[test]
fn an_account_at_five_times_its_rate_is_not_felt_by_the_others() {
    let fair = fleet::Fleet::new(fleet::Setup { flood: 5.0, ..setup(0.8) }).run();
    let mut fifo = fleet::Setup { flood: 5.0, ..setup(0.8) };
    fifo.queue.discipline = policy::Discipline::Fifo;
    let fifo = fleet::Fleet::new(fifo).run();
    let worst = |outcome: &fleet::Outcome| {
        outcome.accounts[..4].iter().map(fleet::Tally::share).fold(1.0, f64::min)
    };
    assert!(worst(&fair) > worst(&fifo), "{} {}", worst(&fair), worst(&fifo));
    assert!(worst(&fair) > fair.accounts[4].share(), "the flood bears it itself");
}
