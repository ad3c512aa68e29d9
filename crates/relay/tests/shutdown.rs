//! Tests of the times of a graceful shutdown.

use std::time;

use quickcheck::quickcheck;
use relay::shutdown;

quickcheck! {
    /// Guards against calls that are cut off long before the kill, or by it.
    fn calls_are_ended_in_the_last_sixth_of_any_grace_period(millis: u32) -> bool {
        let grace = time::Duration::from_millis(millis.into());
        let schedule = shutdown::Schedule::new(grace);
        schedule.ended_after >= grace * 5 / 6
            && schedule.ended_after + schedule.flush <= grace
            && schedule.drained_after <= schedule.ended_after
    }
}

/// Guards against calls that are accepted too late to be finished (LOST): callers may lose
/// calls only if they were sent in the first three seconds after the stop signal, and a busy
/// VM notices the signal late.
#[test]
fn calls_are_refused_in_time_although_the_signal_is_noticed_late() {
    const PROMISED: time::Duration = time::Duration::from_secs(3);
    const LATE: time::Duration = time::Duration::from_millis(200);
    let schedule = shutdown::Schedule::new(time::Duration::from_mins(1));
    assert!(schedule.drained_after + LATE <= PROMISED, "{schedule:?}");
}

#[test]
fn a_long_grace_period_leaves_time_for_the_balancer() {
    let schedule = shutdown::Schedule::new(time::Duration::from_secs(8));
    assert!(schedule.drained_after > time::Duration::from_secs(2), "{schedule:?}");
    assert_eq!(schedule.ended_after, time::Duration::from_millis(7_300));
}
