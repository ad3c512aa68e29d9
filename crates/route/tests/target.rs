//! The choice of a target: load, speed, prefix affinity and ejection.

use std::{collections, time};

use rand::SeedableRng as _;
use route::target;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn bundle(runners: usize) -> bundle::Bundle {
    use std::fmt::Write as _;

    let mut text = String::from(
        "
format: 1
deployment: demo
centres: [north]
accounts: [{name: mayors, class: paid, rate: 100, burst: 1000}]
weights: {loads_per_second: 1, loads_at_once: 1}
services:
  - name: desk
    targets: [{name: desk-1, centre: north, address: '127.0.0.1:8000'}]
    routes: []
runners:
",
    );
    for number in 1..=runners {
        writeln!(
            text,
            "  - {{name: r{number}, centre: north, address: '127.0.0.1:900{number}', \
             accelerators: 1, memory_mib: 1}}"
        )
        .unwrap();
    }
    bundle::read(&text).unwrap()
}

fn table(runners: usize, config: target::Config) -> target::Table {
    let mut table = target::Table::new(config);
    table.apply_bundle(&bundle(runners), &collections::BTreeSet::new());
    for number in 1..=runners {
        table.set_ready_items(&name(number), [&"draft".into()]);
    }
    table
}

fn name(number: usize) -> ids::Target {
    format!("r{number}").into()
}

fn request(prefix: u64) -> target::Request<'static> {
    target::Request { item: "draft", tokens: 400, prompt_tokens: 0, prefix, excluded: &[] }
}

fn rng() -> rand::rngs::SmallRng {
    rand::rngs::SmallRng::seed_from_u64(7)
}

fn at(millis: u64) -> ids::Time {
    ids::Time::from_millis(millis)
}

fn load(backlog_tokens: u64, age_ms: u64) -> engine::Report {
    engine::Report { age_ms, running: 1, backlog_tokens, ..engine::Report::default() }
}

/// Begins `calls` calls on the targets that the table chooses; returns the number per runner.
fn begin_calls(table: &mut target::Table, now: ids::Time, calls: u64) -> Vec<usize> {
    let mut counts = vec![0; table.iter().count()];
    let mut rng = rng();
    for call in 0..calls {
        let chosen = table.choose(now, &request(0), &mut rng).unwrap();
        table.begin_attempt(now, ids::Attempt::new(call), &chosen, &request(0));
        let number: usize = chosen.as_str()[1..].parse().unwrap();
        counts[number - 1] += 1;
    }
    counts
}

#[test]
fn own_calls_count_immediately() {
    let mut table = table(4, target::Config::default());
    assert_eq!(begin_calls(&mut table, at(0), 8)[..4], [2, 2, 2, 2]);
}

#[test]
fn calls_are_divided_in_proportion_to_power() {
    let mut half_power = bundle(2);
    half_power.runners[1].power = 0.5;
    let mut table = table(2, target::Config::default());
    table.apply_bundle(&half_power, &collections::BTreeSet::new());
    assert_eq!(begin_calls(&mut table, at(0), 12)[..2], [8, 4]);
}

#[test]
fn load_of_other_vms_counts_and_own_load_is_not_counted_twice() {
    let mut table = table(2, target::Config::default());
    table.begin_attempt(at(0), ids::Attempt::new(1), &name(1), &request(0));
    table.record_report(at(1_000), &name(1), &load(400, 100));
    table.record_report(at(1_000), &name(2), &load(500, 100));
    let chosen = table.choose(at(1_000), &request(0), &mut rng());
    assert_eq!(chosen, Some(name(1)), "the 400 tokens at r1 are this VM's own");
    table.begin_attempt(at(1_000), ids::Attempt::new(2), &name(1), &request(0));
    let chosen = table.choose(at(1_000), &request(0), &mut rng());
    assert_eq!(chosen, Some(name(2)), "calls begun since the report count");
}

#[test]
fn an_old_report_is_ignored() {
    let mut table = table(2, target::Config::default());
    table.record_report(at(0), &name(1), &load(0, 0));
    table.record_report(at(6_000), &name(2), &load(1_000, 0));
    table.begin_attempt(at(6_000), ids::Attempt::new(1), &name(1), &request(0));
    let chosen = table.choose(at(6_000), &request(0), &mut rng());
    assert_eq!(chosen, Some(name(2)), "r1 is assumed to be as busy as r2 and has this VM's call");
}

#[test]
fn a_runner_slower_than_declared_gets_fewer_calls() {
    let mut table = table(2, target::Config::default());
    for call in 0..60 {
        let start = at(call * 10_000);
        let attempt = ids::Attempt::new(call);
        let target = name(if call % 2 == 0 { 1 } else { 2 });
        let gap = if call % 2 == 0 { 20 } else { 60 };
        table.begin_attempt(start, attempt, &target, &request(0));
        for token in 1..=20 {
            table.record_progress(start + time::Duration::from_millis(token * gap), attempt, 1);
        }
        table.end_attempt(start + 2 * SECOND, attempt, target::Outcome::Ok);
    }
    let counts = begin_calls(&mut table, at(1_000_000), 12);
    assert!(counts[0] >= 2 * counts[1], "{counts:?}");
}

#[test]
fn calls_with_the_same_prefix_share_a_target_unless_it_is_busy() {
    let mut table = table(4, target::Config::default());
    let mut rng = rng();
    let first = table.choose(at(0), &request(77), &mut rng).unwrap();
    assert_eq!(table.choose(at(0), &request(77), &mut rng), Some(first.clone()));
    for call in 0..3 {
        table.begin_attempt(at(0), ids::Attempt::new(call), &first, &request(77));
    }
    assert_ne!(table.choose(at(0), &request(77), &mut rng), Some(first));
}

#[test]
fn a_target_gets_no_more_calls_than_its_limit() {
    let mut table = table(1, target::Config::default());
    begin_calls(&mut table, at(0), 16);
    assert!(!table.has_room(at(0), "draft", &[]));
    assert_eq!(table.choose(at(0), &request(0), &mut rng()), None);
    table.end_attempt(at(1), ids::Attempt::new(3), target::Outcome::Ok);
    assert!(table.has_room(at(1), "draft", &[]));
}

/// Runs `calls` calls at r1 that generate tokens `gap` ms apart for 20 s.
fn generate(table: &mut target::Table, calls: u64, gap: u64) {
    for call in 0..calls {
        table.begin_attempt(at(0), ids::Attempt::new(call), &name(1), &request(0));
    }
    for token in 0..20_000 / gap {
        for call in 0..calls {
            table.record_progress(at(token * gap), ids::Attempt::new(call), 1);
        }
    }
}

#[test]
fn the_limit_shrinks_when_tokens_come_too_slowly() {
    let mut table = table(1, target::Config::default());
    generate(&mut table, 12, 80);
    assert!(!table.has_room(at(20_000), "draft", &[]));
    for call in 0..11 {
        table.end_attempt(at(20_000), ids::Attempt::new(call), target::Outcome::Ok);
    }
    assert!(table.get(&name(1)).unwrap().limit < 4.0);
}

#[test]
fn the_limit_grows_when_tokens_come_fast_enough() {
    let config = target::Config { first_batch_per_accelerator: 4, ..target::Config::default() };
    let mut table = table(1, config);
    generate(&mut table, 4, 30);
    assert!(table.has_room(at(20_000), "draft", &[]));
    assert!(table.get(&name(1)).unwrap().limit < 8.0, "a limit that is not reached does not grow");
}

#[test]
fn late_calls_leave_room_for_fresh_calls() {
    let mut table = table(1, target::Config::default());
    begin_calls(&mut table, at(0), 9);
    assert!(table.has_spare_room(at(0), "draft", &[]));
    begin_calls(&mut table, at(0), 1);
    assert!(!table.has_spare_room(at(0), "draft", &[]));
    assert!(table.has_room(at(0), "draft", &[]));
}

#[test]
fn leaving_drained_and_excluded_targets_get_no_calls() {
    let mut table = table(4, target::Config::default());
    table.apply_bundle(&bundle(4), &collections::BTreeSet::from([name(1)]));
    table.set_leaving(&name(2), true);
    let report = engine::Report { leaving: true, ..engine::Report::default() };
    table.record_report(at(0), &name(3), &report);
    assert_eq!(table.choose(at(0), &request(0), &mut rng()), Some(name(4)));
    assert!(!table.has_room(at(0), "draft", &[name(4)]));
    table.set_leaving(&name(2), false);
    assert!(table.has_room(at(0), "draft", &[name(4)]));
}

/// Fails `count` consecutive calls at r1; returns whether the last one ejected it.
fn fail(table: &mut target::Table, now: ids::Time, count: u64) -> bool {
    let mut ejected = false;
    for _ in 0..count {
        table.begin_attempt(now, ids::Attempt::new(9_999), &name(1), &request(0));
        ejected = table.end_attempt(now, ids::Attempt::new(9_999), target::Outcome::Failed);
    }
    ejected
}

#[test]
fn a_failing_target_is_ejected_and_returns_gradually() {
    let mut table = table(2, target::Config::default());
    assert!(!fail(&mut table, at(0), 2));
    assert!(fail(&mut table, at(0), 1), "the third consecutive failure ejects");
    assert_eq!(begin_calls(&mut table, at(500), 4)[..2], [0, 4]);
    for call in 0..4 {
        table.end_attempt(at(600), ids::Attempt::new(call), target::Outcome::Ok);
    }
    let back = begin_calls(&mut table, at(2_000), 12);
    assert!(back[0] >= 1 && back[0] <= 4, "{back:?}");
    for call in 0..12 {
        table.end_attempt(at(2_100), ids::Attempt::new(call), target::Outcome::Ok);
    }
    assert_eq!(begin_calls(&mut table, at(60_000), 12)[..2], [6, 6]);
}

#[test]
fn ejections_get_longer_while_the_target_keeps_failing() {
    let mut table = table(2, target::Config::default());
    assert!(fail(&mut table, at(0), 3));
    assert!(fail(&mut table, at(1_100), 1), "one failure is enough while it is returning");
    assert_eq!(
        begin_calls(&mut table, at(3_000), 4)[0],
        0,
        "the second ejection lasts two seconds"
    );
}

#[test]
fn an_ejected_only_copy_is_probed_by_one_call() {
    let mut table = table(1, target::Config::default());
    assert!(fail(&mut table, at(0), 3));
    let probe = table.choose(at(10), &request(0), &mut rng());
    assert_eq!(probe, Some(name(1)));
    table.begin_attempt(at(10), ids::Attempt::new(1), &name(1), &request(0));
    assert_eq!(table.choose(at(10), &request(0), &mut rng()), None);
}

#[test]
fn a_refusal_does_not_count_as_a_failure() {
    let mut table = table(1, target::Config::default());
    for call in 0..10 {
        table.begin_attempt(at(0), ids::Attempt::new(call), &name(1), &request(0));
        assert!(!table.end_attempt(at(0), ids::Attempt::new(call), target::Outcome::Refused));
    }
    assert_eq!(table.get(&name(1)).unwrap().own, target::Load::default());
}

#[test]
fn instances_of_services_are_ready_immediately() {
    let mut table = table(1, target::Config::default());
    let item = route::item::service(&"desk".into());
    let request = target::Request { item: &item, ..request(0) };
    assert_eq!(table.choose(at(0), &request, &mut rng()), Some("desk-1".into()));
}
