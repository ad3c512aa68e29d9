//! Limits of transactions and memory, and unreadable rows.

use std::sync;

use journal::{config, row};
use store::table;

const NOW: ids::Time = ids::Time::from_millis(1_000);

/// Seed of the random row texts.
const SEED: u64 = 0x726f_7773;

fn config() -> journal::Config {
    journal::Config::new("vm-1".into(), ids::Incarnation::new(1), 7)
}

fn begin(journal: &mut journal::Journal, id: u64, out: &mut Vec<journal::Output>) {
    let call = journal::Call {
        call: ids::Call::new(id),
        account: "mayors".into(),
        route: "desk/bookings".into(),
        key: format!("order-{id}").into(),
        digest: ids::Digest::of(b"request"),
    };
    journal.begin(NOW, call, out);
}

fn transaction_sizes(out: &[journal::Output]) -> Vec<(ids::Op, usize)> {
    let size = |output: &journal::Output| match output {
        journal::Output::Table { op, request: table::Request::Write { writes } } => {
            Some((*op, writes.len()))
        }
        _ => None,
    };
    out.iter().filter_map(size).collect()
}

#[test]
fn a_full_transaction_does_not_wait_for_a_tick() {
    let mut journal = journal::Journal::new(config());
    let mut out = Vec::new();
    for id in 0..config::MAX_TRANSACTION_WRITES as u64 {
        assert_eq!(transaction_sizes(&out), []);
        begin(&mut journal, id, &mut out);
    }
    assert_eq!(transaction_sizes(&out)[0].1, config::MAX_TRANSACTION_WRITES);
}

#[test]
fn large_answers_are_written_in_separate_transactions() {
    let mut journal = journal::Journal::new(config());
    let mut out = Vec::new();
    for id in 0..2 {
        begin(&mut journal, id, &mut out);
    }
    journal.tick(NOW, &mut out);
    let op = transaction_sizes(&out)[0].0;
    journal.handle_table_answer(NOW, op, Ok(table::Answer::Written), &mut out);
    out.clear();
    for id in 0..2 {
        let answer = journal::Answer {
            status: 200,
            media: "text/plain".into(),
            body: vec![b'x'; config::MAX_TRANSACTION_BYTES].into(),
        };
        journal.store_answer(NOW, ids::Call::new(id), answer, &mut out);
    }
    journal.tick(NOW, &mut out);
    let sizes: Vec<_> = transaction_sizes(&out).iter().map(|(_, size)| *size).collect();
    assert_eq!(sizes, [1, 1]);
}

#[test]
fn claims_in_memory_are_bounded() {
    let mut journal = journal::Journal::new(config().with_max_claims(2));
    let mut out = Vec::new();
    for id in 0..3 {
        begin(&mut journal, id, &mut out);
    }
    let call = ids::Call::new(2);
    let reason = journal::Reason::Unavailable;
    assert_eq!(out, [journal::Output::Refuse { call, reason }]);
}

#[test]
fn a_claim_over_an_unreadable_row_has_an_unknown_outcome() {
    println!("seed {SEED:#x}");
    let property = |noise: String, cut: usize| {
        let whole = row::Row {
            account: "mayors".into(),
            route: "desk/bookings".into(),
            digest: ids::Digest::of(b"request"),
            vm: "vm-2".into(),
            incarnation: ids::Incarnation::new(1),
            nonce: "n".into(),
            state: row::State::Claimed,
        };
        let mut text = whole.to_json().to_string();
        text.truncate(cut % text.len());
        for value in [noise, text] {
            assert_eq!(row::Row::parse(&value), None);
            assert_eq!(refusal(&value), journal::Reason::Unknown);
        }
    };
    let generator = quickcheck::Gen::from_size_and_seed(100, SEED);
    quickcheck::QuickCheck::new().rng(generator).quickcheck(property as fn(String, usize));
}

/// Returns the reason for refusing a claim whose row already has this text.
fn refusal(value: &str) -> journal::Reason {
    let mut journal = journal::Journal::new(config());
    let mut out = Vec::new();
    begin(&mut journal, 1, &mut out);
    journal.tick(NOW, &mut out);
    let Some(journal::Output::Table { op, request: table::Request::Write { writes } }) = out.pop()
    else {
        panic!("expected a write of the claim")
    };
    let row = table::Row {
        key: sync::Arc::clone(&writes[0].key),
        version: ids::Version::new(1),
        value: value.into(),
    };
    let rows = vec![table::Conflict { key: sync::Arc::clone(&writes[0].key), row: Some(row) }];
    journal.handle_table_answer(NOW, op, Ok(table::Answer::Conflict { rows }), &mut out);
    match out.pop() {
        Some(journal::Output::Refuse { reason, .. }) => reason,
        other => panic!("{other:?}"),
    }
}
