//! When a VM may use its share.

use std::time;

fn member(vm: &str, incarnation: u64) -> quota::Member {
    quota::Member { vm: vm.into(), incarnation: ids::Incarnation::new(incarnation) }
}

fn limit(rate: u64, burst: u64) -> Vec<quota::Limit> {
    let account = "growers".into();
    vec![quota::Limit { account, rate, burst }]
}

/// The share of this VM in tokens, one minute later.
fn share(table: &mut quota::Table, now: &mut ids::Time) -> u64 {
    *now = *now + time::Duration::from_mins(1);
    table.tick(*now, &mut Vec::new());
    table.dump(*now)[0].share
}

#[test]
fn a_share_falls_immediately_and_rises_when_settled() {
    let mut now = ids::Time::from_millis(1);
    let [one, two] = [member("one", 1), member("two", 1)];
    let mut table = quota::Table::new(quota::Config::new(one.clone()));
    let both = [one.clone(), two];
    let version = ids::Version::new;
    table.adopt(now, version(1), &both, &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 0, "new VMs start empty");
    table.on_settled(now, version(1));
    assert_eq!(share(&mut table, &mut now), 50);
    table.adopt(now, version(2), &both, &limit(10, 60));
    assert_eq!(share(&mut table, &mut now), 30, "it did not fall at once");
    table.adopt(now, version(3), &[one], &limit(10, 60));
    assert_eq!(share(&mut table, &mut now), 30, "it rose before time");
    table.on_settled(now, version(2));
    assert_eq!(share(&mut table, &mut now), 30, "it rose before time");
    table.on_settled(now, version(3));
    assert_eq!(share(&mut table, &mut now), 60);
    table.adopt(now, version(2), &both, &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 60, "an older version was used");
}

#[test]
fn after_a_skipped_version_the_share_is_zero_until_settled() {
    let mut now = ids::Time::from_millis(1);
    let one = member("one", 1);
    let mut table = quota::Table::new(quota::Config::new(one.clone()));
    let version = ids::Version::new;
    table.adopt(now, version(1), std::slice::from_ref(&one), &limit(10, 100));
    table.on_settled(now, version(1));
    assert_eq!(share(&mut table, &mut now), 100);
    table.adopt(now, version(3), std::slice::from_ref(&one), &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 0, "version 2 is not known here");
    table.on_settled(now, version(3));
    assert_eq!(share(&mut table, &mut now), 100);
}

#[test]
fn a_version_may_be_settled_before_it_is_adopted() {
    let mut now = ids::Time::from_millis(1);
    let one = member("one", 1);
    let mut table = quota::Table::new(quota::Config::new(one.clone()));
    table.on_settled(now, ids::Version::new(7));
    now = now + time::Duration::from_mins(1);
    table.tick(now, &mut Vec::new());
    table.adopt(now, ids::Version::new(7), &[one], &limit(10, 100));
    assert_eq!(share(&mut table, &mut now), 100);
}

#[test]
fn a_new_account_starts_with_the_refill_since_it_could_be_used() {
    let mut now = ids::Time::from_millis(1);
    let one = member("one", 1);
    let mut table = quota::Table::new(quota::Config::new(one.clone()));
    let members = [one];
    let version = ids::Version::new;
    table.adopt(now, version(1), &members, &[]);
    table.on_settled(now, version(1));
    now = now + time::Duration::from_secs(2);
    table.tick(now, &mut Vec::new());
    now = now + time::Duration::from_secs(5);
    table.adopt(now, version(2), &members, &limit(10, 100));
    table.on_settled(now, version(2));
    now = now + time::Duration::from_secs(2);
    table.tick(now, &mut Vec::new());
    assert_eq!(table.dump(now)[0].balance, 70, "7 s at a rate of 10");
    table.adopt(now, version(3), &members, &[]);
    table.on_settled(now, version(3));
    assert_eq!(share(&mut table, &mut now), 0);
    table.adopt(now, version(4), &members, &limit(10, 100));
    table.on_settled(now, version(4));
    now = now + time::Duration::from_secs(2);
    table.tick(now, &mut Vec::new());
    assert_eq!(table.dump(now)[0].balance, 0, "it was there before");
}

#[test]
fn a_replacement_home_starts_empty() {
    let mut now = ids::Time::from_millis(1);
    let all: Vec<_> = (0..9).map(|vm| member(&format!("vm-{vm}"), 1)).collect();
    let mut tables: Vec<_> =
        all.iter().map(|me| quota::Table::new(quota::Config::new(me.clone()))).collect();
    let limits = limit(100, 1_000);
    let mut put = |version: u64, members: &[quota::Member], limits: &[quota::Limit]| {
        let version = ids::Version::new(version);
        for table in &mut tables {
            table.adopt(now, version, members, limits);
            table.on_settled(now, version);
        }
        now = now + time::Duration::from_mins(1);
        for table in &mut tables {
            table.tick(now, &mut Vec::new());
        }
        let dumps = tables.iter().map(|table| table.dump(now));
        let balances = dumps.map(|dump| dump.first().map_or(0, |entry| entry.balance));
        balances.collect::<Vec<_>>()
    };
    put(1, &all, &[]);
    let first = put(2, &all, &limits);
    assert_eq!(first.iter().sum::<u64>(), 1_000);
    // Only VMs that were not homes of the account remain members.
    let others: Vec<_> = all
        .iter()
        .zip(&first)
        .filter(|(_, balance)| **balance == 0)
        .map(|(vm, _)| vm.clone())
        .collect();
    let second = put(3, &others, &limits);
    assert_eq!(second.iter().sum::<u64>(), 0, "they start empty");
}
