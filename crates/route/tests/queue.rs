//! The queue: classes, fair shares of accounts, deadlines and the bound on its length.

use std::{collections, time};

use bundle::format::Class;
use route::{policy, queue};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn entry(call: u64, account: &str, class: Class, tokens: u64, item: &str) -> queue::Entry {
    queue::Entry {
        call: ids::Call::new(call),
        account: account.into(),
        class,
        tokens,
        item: item.into(),
        arrived: ids::Time::default(),
        deadline: ids::Time::default() + 10 * SECOND,
        prefix: 0,
    }
}

/// The disciplines that divide capacity fairly between accounts.
const FAIR_DISCIPLINES: [policy::Discipline; 2] =
    [policy::Discipline::LeastServed, policy::Discipline::Fair];

fn with_discipline(discipline: policy::Discipline) -> queue::Queue {
    queue::Queue::new(queue::Config { discipline, ..queue::Config::default() })
}

fn with_config(config: queue::Config) -> queue::Queue {
    queue::Queue::new(config)
}

/// Tokens served to each account by the next `pops` calls of `pop`.
fn served(queue: &mut queue::Queue, pops: usize) -> collections::BTreeMap<String, u64> {
    let mut sums = collections::BTreeMap::new();
    for _ in 0..pops {
        let Some(entry) = queue.pop(ids::Time::default(), |_| true) else {
            break;
        };
        *sums.entry(entry.account.to_string()).or_default() += entry.tokens;
    }
    sums
}

#[test]
fn accounts_share_by_tokens_and_not_by_calls() {
    for discipline in FAIR_DISCIPLINES {
        let mut queue = with_discipline(discipline);
        let now = ids::Time::default();
        for call in 0..400 {
            let small = entry(call, "small", Class::Paid, 100, "draft");
            let large = entry(1_000 + call, "large", Class::Paid, 900, "draft");
            queue.push(now, large).unwrap();
            queue.push(now, small).unwrap();
        }
        let sums = served(&mut queue, 300);
        let ratio = sums["small"] as f64 / sums["large"] as f64;
        assert!((0.9..=1.1).contains(&ratio), "{sums:?}");
    }
}

#[test]
fn accounts_share_in_proportion_to_their_rates() {
    for discipline in FAIR_DISCIPLINES {
        let mut queue = with_discipline(discipline);
        let text = "
format: 1
deployment: demo
centres: [north]
accounts:
  - {name: small, class: paid, rate: 100, burst: 100}
  - {name: large, class: paid, rate: 400, burst: 100}
weights: {loads_per_second: 1, loads_at_once: 1}
";
        queue.apply_bundle(&bundle::read(text).unwrap());
        for call in 0..500 {
            let small = entry(call, "small", Class::Paid, 300, "draft");
            let large = entry(1_000 + call, "large", Class::Paid, 300, "draft");
            queue.push(ids::Time::default(), small).unwrap();
            queue.push(ids::Time::default(), large).unwrap();
        }
        let sums = served(&mut queue, 400);
        let ratio = sums["large"] as f64 / sums["small"] as f64;
        assert!((3.6..=4.4).contains(&ratio), "{sums:?}");
    }
}

/// Longest wait, in turns, of an account that sends three calls every sixteen
/// turns. The three other accounts always have calls waiting, so the account
/// stays within its share of a quarter.
fn longest_wait(discipline: policy::Discipline) -> u64 {
    let config = queue::Config { discipline, fresh_ms: 60_000, ..queue::Config::default() };
    let mut queue = queue::Queue::new(config);
    let mut longest = 0;
    for turn in 0..800_u64 {
        let now = ids::Time::from_millis(turn * 100);
        let arrivals = ["one", "two", "three"].into_iter();
        let bursts = std::iter::repeat_n("bursty", if turn % 16 == 0 { 3 } else { 0 });
        for (number, account) in arrivals.chain(bursts).enumerate() {
            let call = turn * 100 + number as u64;
            let call = entry(call, account, Class::Paid, 300, "draft");
            let call = queue::Entry { arrived: now, deadline: now + 10 * SECOND, ..call };
            queue.push(now, call).unwrap();
        }
        queue.expire(now);
        let served = queue.pop(now, |_| true).unwrap();
        if served.account.as_str() == "bursty" && turn > 100 {
            longest = longest.max(now.since(served.arrived).as_millis() / 100);
        }
    }
    u64::try_from(longest).unwrap()
}

#[test]
fn an_account_that_bursts_within_its_share_does_not_wait_long() {
    let least_served = longest_wait(policy::Discipline::LeastServed);
    let round_robin = longest_wait(policy::Discipline::Fair);
    assert!(least_served <= 8, "{least_served}");
    assert!(round_robin > 8, "round robin delays it: {round_robin}");
}

#[test]
fn an_account_with_many_calls_does_not_delay_another() {
    for discipline in FAIR_DISCIPLINES {
        let mut queue = with_discipline(discipline);
        for call in 0..1_000 {
            let flood = entry(call, "flood", Class::Paid, 300, "draft");
            queue.push(ids::Time::default(), flood).unwrap();
        }
        let calm = entry(5_000, "calm", Class::Paid, 300, "draft");
        queue.push(ids::Time::default(), calm).unwrap();
        let sums = served(&mut queue, 4);
        assert_eq!(sums.get("calm"), Some(&300), "{sums:?}");
    }
}

#[test]
fn courtesy_calls_get_their_floor_and_no_more() {
    let mut queue = with_config(queue::Config::default());
    for call in 0..900 {
        let paid = entry(call, "paid", Class::Paid, 200, "draft");
        let courtesy = entry(1_000 + call, "courtesy", Class::Courtesy, 200, "draft");
        queue.push(ids::Time::default(), paid).unwrap();
        queue.push(ids::Time::default(), courtesy).unwrap();
    }
    let sums = served(&mut queue, 800);
    let share = sums["courtesy"] as f64 / sums["paid"] as f64;
    assert!((0.04..=0.06).contains(&share), "{sums:?}");
}

#[test]
fn an_item_without_capacity_does_not_block_other_items() {
    let mut queue = with_config(queue::Config::default());
    for call in 0..50 {
        let blocked = entry(call, "mayors", Class::Paid, 200, "blocked");
        queue.push(ids::Time::default(), blocked).unwrap();
    }
    let free = entry(99, "mayors", Class::Paid, 200, "free");
    queue.push(ids::Time::default(), free).unwrap();
    let mut evaluated = 0;
    let popped = queue.pop(ids::Time::default(), |entry| {
        evaluated += 1;
        &*entry.item == "free"
    });
    assert_eq!(popped.unwrap().call, ids::Call::new(99));
    assert_eq!(evaluated, 2, "can_run is called once for each item");
}

#[test]
fn calls_that_can_still_meet_the_objective_are_served_first() {
    let mut queue = with_config(queue::Config::default());
    let start = ids::Time::default();
    queue.push(start, entry(1, "mayors", Class::Paid, 9, "draft")).unwrap();
    let later = start + 2 * SECOND;
    let fresh = queue::Entry { arrived: later, ..entry(2, "mayors", Class::Paid, 9, "draft") };
    queue.push(later, fresh).unwrap();
    assert_eq!(queue.pop(later, |_| true).unwrap().call, ids::Call::new(2));
    assert_eq!(queue.pop(later, |_| true).unwrap().call, ids::Call::new(1));
}

#[test]
fn a_full_queue_evicts_courtesy_calls_first() {
    let mut queue = with_config(queue::Config { calls: 2, ..queue::Config::default() });
    let now = ids::Time::default();
    queue.push(now, entry(1, "guests", Class::Courtesy, 9, "draft")).unwrap();
    queue.push(now, entry(2, "mayors", Class::Paid, 900, "draft")).unwrap();
    let evicted = queue.push(now, entry(3, "mayors", Class::Paid, 900, "draft"));
    assert_eq!(evicted.unwrap().unwrap().call, ids::Call::new(1));
    let refused = queue.push(now, entry(4, "guests", Class::Courtesy, 9, "draft"));
    assert_eq!(refused.unwrap_err().0.call, ids::Call::new(4));
}

#[test]
fn a_full_queue_accepts_a_call_of_an_account_below_its_share() {
    let mut queue = with_config(queue::Config { calls: 100, ..queue::Config::default() });
    let now = ids::Time::default();
    for call in 0..100 {
        queue.push(now, entry(call, "flood", Class::Paid, 10, "draft")).unwrap();
    }
    let more = queue.push(now, entry(200, "flood", Class::Paid, 10, "draft"));
    assert_eq!(more.unwrap_err().0.call, ids::Call::new(200));
    let evicted = queue.push(now, entry(300, "calm", Class::Paid, 10, "draft"));
    assert_eq!(evicted.unwrap().unwrap().call, ids::Call::new(99));
    assert_eq!(queue.len(), 100);
}

#[test]
fn expired_calls_are_removed() {
    let mut queue = with_config(queue::Config::default());
    let now = ids::Time::default();
    queue.push(now, entry(1, "mayors", Class::Paid, 9, "draft")).unwrap();
    assert_eq!(queue.next_deadline(), Some(now + 10 * SECOND));
    assert!(queue.expire(now + 9 * SECOND).is_empty());
    assert_eq!(queue.expire(now + 10 * SECOND).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn fifo_serves_in_order_of_arrival() {
    let config = queue::Config { discipline: policy::Discipline::Fifo, ..queue::Config::default() };
    let mut queue = with_config(config);
    let now = ids::Time::default();
    queue.push(now, entry(1, "guests", Class::Courtesy, 9, "draft")).unwrap();
    queue.push(now, entry(2, "mayors", Class::Paid, 9, "draft")).unwrap();
    assert_eq!(queue.pop(now, |_| true).unwrap().call, ids::Call::new(1));
}

#[derive(Clone, Debug)]
enum Step {
    Push { account: u8, courtesy: bool, item: u8, tokens: u16 },
    Pop { blocked: u8 },
    Remove { call: u64 },
    Wait { millis: u16 },
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Push {
                account: u8::arbitrary(g) % 4,
                courtesy: bool::arbitrary(g),
                item: u8::arbitrary(g) % 3,
                tokens: u16::arbitrary(g) % 2_000,
            },
            4 | 5 => Self::Pop { blocked: u8::arbitrary(g) % 4 },
            6 => Self::Remove { call: u64::arbitrary(g) % 64 },
            _ => Self::Wait { millis: u16::arbitrary(g) % 3_000 },
        }
    }
}

/// Every call leaves the queue exactly once, by eviction, pop, removal or
/// expiry, and a pop returns a call whenever one can run.
fn every_call_leaves_once(steps: Vec<Step>) -> bool {
    let mut queue = with_config(queue::Config { calls: 12, ..queue::Config::default() });
    let mut now = ids::Time::default();
    let mut queued = collections::BTreeSet::new();
    for (number, step) in steps.into_iter().enumerate() {
        let mut removed = Vec::new();
        match step {
            Step::Push { account, courtesy, item, tokens } => {
                let class = if courtesy { Class::Courtesy } else { Class::Paid };
                let call = number as u64;
                let fresh = queue::Entry {
                    arrived: now,
                    deadline: now + 5 * SECOND,
                    ..entry(call, &account.to_string(), class, tokens.into(), &item.to_string())
                };
                match queue.push(now, fresh) {
                    Ok(evicted) => {
                        queued.insert(ids::Call::new(call));
                        removed.extend(evicted);
                    }
                    Err(full) if full.0.call != ids::Call::new(call) => return false,
                    Err(_) => {}
                }
            }
            Step::Pop { blocked } => {
                let blocked = blocked.to_string();
                let runnable = queue.iter().any(|entry| *entry.item != *blocked);
                let popped = queue.pop(now, |entry| *entry.item != *blocked);
                if popped.is_some() != runnable {
                    return false;
                }
                removed.extend(popped);
            }
            Step::Remove { call } => removed.extend(queue.remove(ids::Call::new(call))),
            Step::Wait { millis } => {
                now = now + time::Duration::from_millis(millis.into());
                removed.extend(queue.expire(now));
            }
        }
        let known = removed.iter().all(|entry| queued.remove(&entry.call));
        if !known || queue.len() != queued.len() || queue.len() > 12 {
            return false;
        }
    }
    true
}

#[test]
fn every_call_leaves_exactly_once() {
    quickcheck::QuickCheck::new()
        .tests(500)
        .quickcheck(every_call_leaves_once as fn(Vec<Step>) -> bool);
}
