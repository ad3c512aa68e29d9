//! Performance objectives of the queue and the choice of target together, in a
//! simulation of runners that batch.

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
fn at_70_percent_load_95_percent_meet_the_objectives_and_none_is_refused() {
    let outcome = fleet::Fleet::new(setup(0.7)).run();
    assert!(attained(&outcome) >= 0.95, "{}", attained(&outcome));
    assert!(outcome.accounts.iter().all(|tally| tally.refused == 0), "{:?}", outcome.accounts);
}

#[test]
fn at_full_load_goodput_per_accelerator_exceeds_round_robin() {
    let expected = fleet::Fleet::new(setup(1.0)).run();
    let mut round_robin = setup(1.0);
    round_robin.target.policy = policy::Policy::RoundRobin;
    round_robin.target.gap_ms = 0;
    let round_robin = fleet::Fleet::new(round_robin).run();
    let ratio = expected.per_accelerator / round_robin.per_accelerator;
    assert!(ratio >= 1.3, "{ratio}");
}

#[test]
fn an_account_at_five_times_its_rate_does_not_slow_the_others() {
    let fair = fleet::Fleet::new(fleet::Setup { flood: 5.0, ..setup(0.8) }).run();
    let mut fifo = fleet::Setup { flood: 5.0, ..setup(0.8) };
    fifo.queue.discipline = policy::Discipline::Fifo;
    let fifo = fleet::Fleet::new(fifo).run();
    let worst = |outcome: &fleet::Outcome| {
        outcome.accounts[..4].iter().map(fleet::Tally::share).fold(1.0, f64::min)
    };
    assert!(worst(&fair) > worst(&fifo), "{} {}", worst(&fair), worst(&fifo));
    assert!(
        worst(&fair) > fair.accounts[4].share(),
        "the account over its rate bears the refusals and delays"
    );
}
