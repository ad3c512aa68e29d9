//! When a VM begins to use its share.

use std::time;

fn member(vm: &str, incarnation: u64) -> quota::Member {
    quota::Member { vm: vm.into(), incarnation: ids::Incarnation::new(incarnation) }
}

fn limit(rate: u64, burst: u64) -> Vec<quota::Limit> {
    let account = "growers".into();
    vec![quota::Limit { account, rate, burst }]
}

/// What the bucket holds after a minute.
fn share(table: &mut quota::Table, now: &mut ids::Time) -> u64 {
    *now = *now + time::Duration::from_mins(1);
    table.tick(*now, &mut Vec::new());
    table.dump(*now)[0].share
}

#[test]
fn a_share_falls_at_once_and_rises_when_settled() {
    let mut now = ids::Time::from_millis(1);
    let [one, two] = [member("one", 1), member("two", 1)];
    let mut table = quota::Table::new(quota::Config::new(one.clone()));
    let both = [one.clone(), two];
    let version = ids::Version::new;
    table.adopt(now, version(1), &both, &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 0, "new VMs start empty");
    table.settled(now, version(1));
    assert_eq!(share(&mut table, &mut now), 50);
    table.adopt(now, version(2), &both, &limit(10, 60));
    assert_eq!(share(&mut table, &mut now), 30, "it did not fall at once");
    table.adopt(now, version(3), &[one], &limit(10, 60));
    assert_eq!(share(&mut table, &mut now), 30, "it rose before time");
    table.settled(now, version(2));
    assert_eq!(share(&mut table, &mut now), 30, "it rose before time");
    table.settled(now, version(3));
    assert_eq!(share(&mut table, &mut now), 60);
    table.adopt(now, version(2), &both, &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 60, "an older version was used");
}

#[test]
fn after_a_gap_nothing_is_used_until_it_is_settled() {
    let mut now = ids::Time::from_millis(1);
    let one = member("one", 1);
    let mut table = quota::Table::new(quota::Config::new(one.clone()));
    let version = ids::Version::new;
    table.adopt(now, version(1), std::slice::from_ref(&one), &limit(10, 100));
    table.settled(now, version(1));
    assert_eq!(share(&mut table, &mut now), 100);
    table.adopt(now, version(3), std::slice::from_ref(&one), &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 0, "version 2 is not known here");
    table.settled(now, version(3));
    assert_eq!(share(&mut table, &mut now), 100);
}

#[test]
fn a_version_that_was_settled_before_it_was_adopted_counts() {
    let mut now = ids::Time::from_millis(1);
    let one = member("one", 1);
    let mut table = quota::Table::new(quota::Config::new(one.clone()));
    table.settled(now, ids::Version::new(7));
    now = now + time::Duration::from_mins(1);
    table.tick(now, &mut Vec::new());
    table.adopt(now, ids::Version::new(7), &[one], &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 100);
}
