//! Handling of single lease messages.

use std::time;

const NANOS: u64 = 1_000_000_000;

fn member(vm: &str, incarnation: u64) -> quota::Member {
    quota::Member { vm: vm.into(), incarnation: ids::Incarnation::new(incarnation) }
}

fn account() -> ids::Account {
    "growers".into()
}

/// The table of `me` with `two` as the other home and a full bucket of 50 tokens.
fn table(me: &quota::Member, now: &mut ids::Time) -> quota::Table {
    let mut table = quota::Table::new(quota::Config::new(me.clone()));
    let members = [me.clone(), member("two", 1)];
    let limits = [quota::Limit { account: account(), rate: 10, burst: 100 }];
    table.adopt(*now, ids::Version::new(1), &members, &limits);
    table.on_settled(*now, ids::Version::new(1));
    for _ in 0..2 {
        *now = *now + time::Duration::from_mins(1);
        table.tick(*now, &mut Vec::new());
    }
    table
}

/// Delivers a message from the VM `two` and returns the outputs.
fn send(
    table: &mut quota::Table,
    now: ids::Time,
    serving: bool,
    message: quota::Message,
) -> Vec<quota::Output> {
    let mut out = Vec::new();
    table.on_message(now, serving, &"two".into(), ids::Incarnation::new(1), message, &mut out);
    out
}

fn borrow(lease_id: u64, tokens: u64) -> quota::Message {
    quota::Message::Borrow { account: account(), lease_id, amount: tokens * NANOS }
}

fn report(lease_id: u64, left: u64, unused: u64, unreserved: u64) -> quota::Message {
    let [left, unused, unreserved] = [left, unused, unreserved].map(|tokens| tokens * NANOS);
    let state = quota::message::State { lease_id, left, unused, unreserved, ended: false };
    quota::Message::Report { account: account(), leases: vec![state] }
}

#[test]
fn a_vm_that_does_not_serve_lends_nothing() {
    let mut now = ids::Time::from_millis(1);
    let mut table = table(&member("one", 1), &mut now);
    assert_eq!(send(&mut table, now, false, borrow(1, 20)), []);
    assert_eq!(table.dump(now)[0].balance, 50);
    assert_eq!(send(&mut table, now, true, borrow(1, 20)).len(), 1);
    assert_eq!(table.dump(now)[0].balance, 30);
}

#[test]
fn a_duplicate_borrow_request_is_answered_once() {
    let mut now = ids::Time::from_millis(1);
    let mut table = table(&member("one", 1), &mut now);
    assert_eq!(send(&mut table, now, true, borrow(1, 20)).len(), 1);
    assert_eq!(send(&mut table, now, true, borrow(1, 20)).len(), 0);
    assert_eq!(table.dump(now)[0].balance, 30);
}

#[test]
fn duplicate_and_late_reports_refund_once() {
    let mut now = ids::Time::from_millis(1);
    let mut table = table(&member("one", 1), &mut now);
    send(&mut table, now, true, borrow(1, 50));
    send(&mut table, now, true, report(1, 10, 0, 0));
    assert_eq!(table.dump(now)[0].balance, 0);
    for _ in 0..3 {
        send(&mut table, now, true, report(1, 10, 15, 0));
        assert_eq!(table.dump(now)[0].balance, 15);
    }
    // A delayed older report has no effect.
    send(&mut table, now, true, report(1, 50, 0, 0));
    assert_eq!(table.dump(now)[0].balance, 15);
    for _ in 0..3 {
        send(&mut table, now, true, report(1, 0, 15, 10));
        assert_eq!(table.dump(now)[0].balance, 25);
    }
}

#[test]
fn a_report_never_refunds_more_than_was_lent() {
    let mut now = ids::Time::from_millis(1);
    let mut table = table(&member("one", 1), &mut now);
    send(&mut table, now, true, borrow(1, 20));
    send(&mut table, now, true, report(1, 0, 500, 500));
    assert_eq!(table.dump(now)[0].balance, 50);
    send(&mut table, now, true, report(2, 0, 500, 500));
    assert_eq!(table.dump(now)[0].balance, 50);
}

#[test]
fn a_loan_to_an_earlier_incarnation_is_ignored() {
    let mut now = ids::Time::from_millis(1);
    let mut numbers = Vec::new();
    let mut granted = Vec::new();
    for incarnation in [1, 2] {
        let mut table = table(&member("one", incarnation), &mut now);
        let mut out = Vec::new();
        table.reserve(now, ids::Call::new(1), &account(), 80, &mut out);
        let [quota::Output::Peer { message: quota::Message::Borrow { lease_id, .. }, .. }] =
            out[..]
        else {
            panic!("no question: {out:?}");
        };
        numbers.push(lease_id);
        let lend = |lease_id| quota::Message::Lend {
            account: account(),
            lease_id,
            amount: 40 * NANOS,
            left: 0,
        };
        granted.push(send(&mut table, now, true, lend(numbers[0])).len());
    }
    assert_eq!(granted, [1, 0]);
}

#[test]
fn a_share_rises_when_leases_under_older_versions_have_expired() {
    let mut now = ids::Time::from_millis(1);
    let me = member("one", 1);
    let mut table = table(&me, &mut now);
    let limits = [quota::Limit { account: account(), rate: 10, burst: 100 }];
    table.adopt(now, ids::Version::new(2), &[me], &limits);
    table.on_settled(now, ids::Version::new(2));
    for (wait, share) in [(0, 50), (1_000, 50), (99, 50), (1, 100)] {
        now = now + time::Duration::from_millis(wait);
        table.tick(now, &mut Vec::new());
        assert_eq!(table.dump(now)[0].share, share);
    }
}
