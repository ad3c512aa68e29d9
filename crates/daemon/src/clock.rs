//! The monotonic clock of the decision core.

/// Returns the time since boot. The clock keeps running while the process is
/// stopped and while the machine is suspended.
#[must_use]
pub fn now() -> ids::Time {
    let since_boot = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(since_boot.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(since_boot.tv_nsec).unwrap_or(0);
    ids::Time::from_millis(seconds * 1_000 + nanos / 1_000_000)
}
