//! The history: one row per version, written in the same transaction as the head.

use member::row;
use store::{memory, table};

fn head(version: u64, bundle: &[u8]) -> member::Head {
    member::Head {
        version: ids::Version::new(version),
        bundle: Some(ids::Digest::of(bundle)),
        ..member::Head::default()
    }
}

fn versions(table: &mut memory::Table, limit: usize) -> Vec<u64> {
    let table::Answer::Rows(rows) = table.answer(&row::history_request(limit)) else {
        panic!("rows are asked for")
    };
    row::history_entries(&rows).iter().map(|entry| entry.version.get()).collect()
}

#[test]
fn every_version_writes_a_history_entry() {
    let mut table = memory::Table::default();
    for version in 1..=12 {
        let written = table.answer(&row::write_request(&head(version, b"bundle")));
        assert_eq!(written, table::Answer::Written);
    }
    assert_eq!(versions(&mut table, 100), (1..=12).collect::<Vec<_>>());
    // The newest are read first, also when the version has two digits.
    assert_eq!(versions(&mut table, 3), [10, 11, 12]);
}

#[test]
fn a_conflicting_write_leaves_no_history_entry() {
    let mut table = memory::Table::default();
    table.answer(&row::write_request(&head(1, b"first")));
    table.answer(&row::write_request(&head(2, b"winner")));
    let lost = table.answer(&row::write_request(&head(2, b"loser")));
    let table::Answer::Conflict { rows } = lost else { panic!("{lost:?}") };
    let present = row::from_conflict(&rows).unwrap();
    assert_eq!(present.bundle, Some(ids::Digest::of(b"winner")));

    let table::Answer::Rows(rows) = table.answer(&row::history_request(9)) else { panic!() };
    let bundles: Vec<_> =
        row::history_entries(&rows).into_iter().map(|entry| entry.bundle).collect();
    let expected = [&b"first"[..], b"winner"].map(ids::Digest::of).map(Some);
    assert_eq!(bundles, expected);
}
