//! Tests of the number of connections of callers.

use daemon::relay::{
    machine::Machine,
    seat::{Id, Table, Verdict},
};
use quickcheck::quickcheck;

/// Opens a connection for which there is room.
fn open(table: &mut Table) -> Id {
    match table.open() {
        Verdict::Free(id) => id,
        verdict => panic!("{verdict:?}"),
    }
}

#[test]
fn the_connection_without_a_call_for_longest_is_closed() {
    let mut table = Table::new(3);
    let [first, second, third] = [(); 3].map(|()| open(&mut table));
    assert!(table.begin(first));
    assert!(table.begin(second));
    table.end(first);
    let Verdict::Replaces { new, closed } = table.open() else { panic!("it is full") };
    assert_eq!(closed, third);
    assert!(matches!(table.open(), Verdict::Replaces { closed, .. } if closed == first));
    assert!(matches!(table.open(), Verdict::Replaces { closed, .. } if closed == new));
}

#[test]
fn a_connection_with_a_call_is_never_closed() {
    let mut table = Table::new(2);
    for _ in 0..2 {
        let id = open(&mut table);
        assert!(table.begin(id));
    }
    assert_eq!(table.open(), Verdict::Full);
    assert_eq!(table.len(), 2);
}

#[test]
fn a_closed_connection_begins_no_call() {
    let mut table = Table::new(1);
    let id = open(&mut table);
    assert!(matches!(table.open(), Verdict::Replaces { closed, .. } if closed == id));
    assert!(!table.begin(id));
    table.end(id);
    table.close(id);
    assert_eq!(table.len(), 1);
}

#[test]
fn connections_stay_within_descriptors_and_memory() {
    let connections = |memory: usize, descriptors| {
        Machine { memory: memory * 1_000_000, descriptors }.connections()
    };
    assert_eq!(connections(32_000, 4_100), 1_950);
    assert_eq!(connections(32_000, 400), 100);
    assert!(connections(260, 4_100) >= 1_000, "{}", connections(260, 4_100));
    assert!(connections(260, usize::MAX) * 80 * 1_024 < 260_000_000 / 2);
    assert!(connections(64, 256) > 0);
}

quickcheck! {
    fn there_are_never_more_connections_than_seats(steps: Vec<(u8, u8)>) -> bool {
        let mut table = Table::new(5);
        let mut with_call = Vec::<Id>::new();
        let mut without_call = Vec::<Id>::new();
        for (action, index) in steps {
            let index = usize::from(index);
            match action % 4 {
                0 | 1 => match table.open() {
                    Verdict::Free(id) => without_call.push(id),
                    Verdict::Replaces { new, closed } => {
                        assert_eq!(without_call.remove(0), closed);
                        without_call.push(new);
                    }
                    Verdict::Full => assert_eq!((with_call.len(), without_call.len()), (5, 0)),
                },
                2 if !without_call.is_empty() => {
                    let id = without_call.remove(index % without_call.len());
                    assert!(table.begin(id));
                    with_call.push(id);
                }
                3 if !with_call.is_empty() => {
                    let id = with_call.remove(index % with_call.len());
                    if index % 2 == 0 {
                        table.end(id);
                        without_call.push(id);
                    } else {
                        table.close(id);
                    }
                }
                _ => {}
            }
            assert_eq!(table.len(), with_call.len() + without_call.len());
        }
        table.len() <= 5
    }
}
