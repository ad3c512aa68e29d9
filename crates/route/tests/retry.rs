//! Retry budgets and backoff.

use std::{collections, time};

use rand::SeedableRng as _;
use route::retry;

#[test]
fn retries_stay_a_share_of_the_calls() {
    let start = ids::Time::default();
    let mut budget = retry::Budget::new(start, retry::Config::default());
    let mut retries = 0;
    for call in 0..10_000_u64 {
        budget.deposit();
        let now = start + time::Duration::from_millis(call);
        while budget.withdraw(now) {
            retries += 1;
        }
    }
    assert!((1_000..=1_010).contains(&retries), "{retries}");
}

#[test]
fn a_vm_with_few_calls_may_still_retry() {
    let start = ids::Time::default();
    let mut budget = retry::Budget::new(start, retry::Config::default());
    budget.deposit();
    assert!(budget.withdraw(start + time::Duration::from_secs(1)));
}

#[test]
fn delays_are_spread_below_a_bound_that_doubles() {
    let backoff = retry::Backoff::default();
    let mut rng = rand::rngs::SmallRng::seed_from_u64(3);
    for (retry, bound) in [(0, 20), (1, 40), (4, 320), (10, 1_000), (63, 1_000), (200, 1_000)] {
        let delays: collections::BTreeSet<u128> =
            (0..2_000).map(|_| backoff.delay(retry, &mut rng).as_millis()).collect();
        assert!(*delays.first().unwrap() <= bound / 10, "{retry}");
        assert!(*delays.last().unwrap() >= bound * 9 / 10, "{retry}");
        assert!(*delays.last().unwrap() <= bound, "{retry}");
    }
}
