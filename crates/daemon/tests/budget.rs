//! Tests of the memory of request bodies.

use daemon::relay::{
    budget::{Budget, Id, SMALL_BYTES, Verdict},
    buffer,
};
use quickcheck::quickcheck;

const MB: usize = 1_000_000;
/// Memory of a small machine, in bytes.
const MEMORY: usize = 260 * MB;
/// Largest body of a request, in bytes.
const LARGEST: usize = 4 * 1024 * 1024;

/// Opens a body that holds `bytes` bytes.
fn open(budget: &mut Budget, bytes: usize) -> (Id, Verdict) {
    let id = budget.open(LARGEST);
    (id, budget.grow(id, bytes))
}

/// Opens complete bodies of the largest size until one is refused.
fn fill_with_complete(budget: &mut Budget) {
    loop {
        let (id, verdict) = open(budget, LARGEST);
        if verdict == Verdict::Refused {
            budget.close(id);
            return;
        }
        budget.complete(id);
    }
}

#[test]
fn a_body_of_the_largest_size_fits_whatever_the_size_of_the_machine() {
    for memory in [16 * MB, 64 * MB, MEMORY, 32_000 * MB] {
        let mut budget = Budget::new(memory);
        assert_eq!(open(&mut budget, LARGEST).1, Verdict::Granted(Vec::new()), "{memory}");
    }
}

#[test]
fn a_body_that_the_memory_cannot_hold_is_refused() {
    let mut budget = Budget::new(MEMORY);
    let id = budget.open(MEMORY);
    assert_eq!(budget.grow(id, MEMORY), Verdict::Refused);
}

#[test]
fn a_small_body_ends_the_largest_incomplete_one() {
    let mut budget = Budget::new(MEMORY);
    let (small, _granted) = open(&mut budget, SMALL_BYTES);
    let (large, _granted) = open(&mut budget, 2 * LARGEST);
    while budget.held() + SMALL_BYTES <= budget.total() {
        open(&mut budget, SMALL_BYTES);
    }
    let (_id, verdict) = open(&mut budget, SMALL_BYTES);
    assert_eq!(verdict, Verdict::Granted(vec![large]));
    assert_ne!(small, large);
}

#[test]
fn large_complete_bodies_leave_memory_for_small_ones() {
    let mut budget = Budget::new(MEMORY);
    fill_with_complete(&mut budget);
    let (_id, verdict) = open(&mut budget, SMALL_BYTES);
    assert_eq!(verdict, Verdict::Granted(Vec::new()));
}

#[test]
fn of_stalled_bodies_the_one_without_progress_for_longest_is_ended() {
    let mut budget = Budget::new(MEMORY);
    let mut ids = Vec::new();
    while budget.held() + LARGEST <= budget.total() - budget.total() / 4 {
        ids.push(open(&mut budget, LARGEST).0);
    }
    budget.progress(ids[0]);
    let (_id, verdict) = open(&mut budget, LARGEST);
    assert_eq!(verdict, Verdict::Granted(vec![ids[1]]));
}

#[test]
fn a_body_is_refused_rather_than_a_smaller_one_ended() {
    let mut budget = Budget::new(MEMORY);
    while budget.held() + 2 * SMALL_BYTES <= budget.total() - budget.total() / 4 {
        open(&mut budget, 2 * SMALL_BYTES);
    }
    let held = budget.held();
    let (id, verdict) = open(&mut budget, LARGEST);
    assert_eq!((verdict, budget.held()), (Verdict::Refused, held));
    budget.close(id);
    assert_eq!(budget.held(), held);
}

#[test]
fn a_body_that_was_ended_or_closed_does_not_grow() {
    let mut budget = Budget::new(MEMORY);
    let (id, _granted) = open(&mut budget, SMALL_BYTES);
    budget.close(id);
    assert_eq!((budget.grow(id, 2 * SMALL_BYTES), budget.held()), (Verdict::Refused, 0));
}

quickcheck! {
    fn bodies_never_hold_more_than_the_budget(steps: Vec<(u8, u8, u32)>) -> bool {
        let mut budget = Budget::new(MEMORY / 4);
        let mut bodies: Vec<(Id, usize, bool)> = Vec::new();
        for (action, index, size) in steps {
            let index = usize::from(index) % bodies.len().max(1);
            match (action % 4, bodies.get(index).copied()) {
                (0, Some((id, ..))) => {
                    budget.complete(id);
                    bodies[index].2 = true;
                }
                (1, Some((id, ..))) => {
                    budget.close(id);
                    bodies.remove(index);
                }
                (2, Some((id, bytes, false))) => {
                    let wanted = bytes.max(size as usize % (LARGEST + 1));
                    match budget.grow(id, wanted) {
                        Verdict::Granted(ended) => {
                            bodies[index].1 = wanted;
                            for ended in ended {
                                let of = bodies.iter().position(|(other, ..)| *other == ended);
                                let (_id, bytes, is_complete) = bodies.remove(of.expect("open"));
                                assert!(ended != id && bytes >= wanted && !is_complete);
                            }
                        }
                        Verdict::Refused => {
                            budget.close(id);
                            bodies.remove(index);
                        }
                    }
                }
                _ => bodies.push((budget.open(LARGEST), 0, false)),
            }
            let held: usize = bodies.iter().map(|(_id, bytes, _is_complete)| bytes).sum();
            assert_eq!(budget.held(), held);
            assert!(held <= budget.total());
        }
        true
    }
}

#[test]
fn the_memory_of_a_body_counts_until_its_last_copy_is_dropped() {
    let pool = buffer::Pool::new(MEMORY);
    let mut buffer = pool.open(LARGEST);
    buffer.append(b"ab", LARGEST).expect("memory");
    buffer.append(b"cd", LARGEST).expect("memory");
    let body = buffer.complete().expect("memory");
    let copy = body.clone();
    drop(body);
    assert_eq!(copy, "abcd");
    assert!(pool.held() >= copy.len());
    drop(copy);
    assert_eq!(pool.held(), 0);
}

#[test]
fn a_buffer_takes_no_more_than_the_announced_length() {
    let pool = buffer::Pool::new(MEMORY);
    let mut buffer = pool.open(LARGEST);
    for _ in 0..100 {
        buffer.append(&[0; 1_000], 100_000).expect("memory");
    }
    assert_eq!(pool.held(), 100_000);
    drop(buffer);
    assert_eq!(pool.held(), 0);
}

#[tokio::test]
async fn a_stalled_body_that_is_ended_is_told_so() {
    let pool = buffer::Pool::new(MEMORY);
    let mut stalled = pool.open(LARGEST);
    stalled.append(&vec![0; LARGEST], LARGEST).expect("memory");
    let mut others = Vec::new();
    loop {
        let held = pool.held();
        let mut other = pool.open(LARGEST);
        other.append(&vec![0; LARGEST], LARGEST).expect("memory");
        others.push(other);
        if pool.held() == held {
            break;
        }
    }
    stalled.ended().await;
    assert_eq!(stalled.append(b"x", LARGEST), Err(buffer::Full));
    assert_eq!(stalled.complete(), Err(buffer::Full));
}
