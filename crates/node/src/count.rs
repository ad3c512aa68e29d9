//! Counters of the decision core, exported by the daemon as metrics.

use std::collections;

/// A counter with the name and help text of its metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Counter {
    /// Name of the metric.
    pub name: &'static str,
    /// Help text of the metric, which ends with the unit.
    pub help: &'static str,
}

macro_rules! counters {
    ($($ident:ident = $name:literal, $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $ident: Counter = Counter { name: $name, help: $help };
        )*

        /// All counters, in the order in which they are exported.
        pub const ALL: &[Counter] = &[$($ident),*];
    };
}

counters! {
    ARRIVED = "primroseplank_calls_arrived_total", "Calls that arrived, in calls.";
    ANSWERED = "primroseplank_calls_answered_total", "Calls that were answered whole, in calls.";
    NOT_RUN = "primroseplank_calls_not_run_total", "Calls refused without having run, in calls.";
    UNKNOWN = "primroseplank_calls_unknown_total", "Calls that ended with an unknown outcome, in calls.";
    ABANDONED = "primroseplank_calls_abandoned_total", "Calls whose caller left and did not come back, in calls.";
    REFUSED_KEYS = "primroseplank_keys_refused_total", "Calls refused for their key, in calls.";
    OVER_RATE = "primroseplank_calls_over_rate_total", "Calls refused for their account's rate, in calls.";
    EXPIRED = "primroseplank_calls_late_total", "Calls refused because no target was free in time, in calls.";
    QUEUE_FULL = "primroseplank_queue_full_total", "Calls refused or displaced because the queue was full, in calls.";
    FENCED = "primroseplank_calls_fenced_total", "Calls refused because the VM was fenced, in calls.";
    ATTEMPTS = "primroseplank_attempts_total", "Attempts sent to targets, in attempts.";
    RETRIES = "primroseplank_retries_total", "Attempts after the first one of a call, in attempts.";
    STRAY_EVENTS = "primroseplank_stray_events_total", "Events of no open attempt, dropped, in events.";
    DUPLICATE_CHUNKS = "primroseplank_doubled_chunks_total", "Chunks that came again, dropped, in chunks.";
    STREAM_GAPS = "primroseplank_stream_gaps_total", "Streams with a missing or crossed chunk, in attempts.";
    REPLAYED = "primroseplank_calls_replayed_total", "Calls answered from a stored answer, in calls.";
    RESUMED = "primroseplank_streams_resumed_total", "Streams that callers came back for, in calls.";
    TOKENS = "primroseplank_tokens_total", "Tokens charged to accounts, in tokens.";
    HEAD_CHANGES = "primroseplank_changes_in_force_total", "Changes of the head put in force here, in changes.";
    INVALID_OBJECTS = "primroseplank_objects_invalid_total", "Objects of the head that could not be read, in objects.";
}

/// Values of the counters.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Table(collections::BTreeMap<&'static str, u64>);

impl Table {
    /// Increments a counter by one.
    pub fn increment(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&mut self, counter: Counter, amount: u64) {
        *self.0.entry(counter.name).or_default() += amount;
    }

    /// Returns the value of a counter; 0 if it was never incremented.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.0.get(counter.name).copied().unwrap_or_default()
    }

    /// Returns names and values of all counters, including those at 0.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        ALL.iter().map(|counter| (counter.name, self.get(*counter)))
    }
}
