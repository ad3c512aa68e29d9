//! How the calls at a target ended of late.

use std::time;

/// Weight of the newest call in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Failures in a row after which a target gets no calls for a while.
const EJECTION_FAILURES: u32 = 3;
/// Length of a first ejection; it doubles with every further one.
const BASE_EJECTION: time::Duration = time::Duration::from_secs(1);
/// Doublings of the length of an ejection, at most.
const MAX_DOUBLINGS: u32 = 2;
/// Silence of a target with open calls after which it counts as unresponsive.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Weight of the newest call in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Range of the slowness that one call can show.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.5..=8.0;

/// How a call at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer.
    Answered,
    /// With a failure that the target itself tells.
    Failed,
    /// With a refusal: it did not run.
    Refused,
    /// Without a whole answer, or without a connection.
    Broken,
}

/// How the calls at a target ended of late.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Health {
    /// Share of the calls that failed, from 0 to 1.
    pub failed: f64,
    /// Time to the first byte against what was expected; 1 is as expected.
    pub slowness: f64,
    in_a_row: u32,
    ejections: u32,
    until: ids::Time,
    heard: ids::Time,
    waiting_since: Option<ids::Time>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failed: 0.0,
            slowness: 1.0,
            in_a_row: 0,
            ejections: 0,
            until: ids::Time::default(),
            heard: ids::Time::default(),
            waiting_since: None,
        }
    }
}

impl Health {
    /// A call was sent.
    pub const fn record_sent(&mut self, now: ids::Time) {
        if self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Something came from the target.
    pub const fn record_response(&mut self, now: ids::Time) {
        self.heard = now;
        self.waiting_since = None;
    }

    /// Takes in how long the first byte took, and how long it was expected to take.
    pub fn record_latency(&mut self, took: time::Duration, expected_ms: f64) {
        let ratio = took.as_secs_f64() * 1_000.0 / expected_ms.max(1.0);
        let ratio = ratio.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    /// Takes in how a call ended; whether the target is ejected for it.
    pub fn record_ending(&mut self, now: ids::Time, ending: Ending) -> bool {
        let failed = match ending {
            Ending::Answered => 0.0,
            Ending::Failed | Ending::Broken => 1.0,
            Ending::Refused => return false,
        };
        self.failed += FAILURE_WEIGHT * (failed - self.failed);
        if ending != Ending::Broken {
            self.in_a_row = 0;
            if now >= self.until {
                self.ejections = 0;
            }
            return false;
        }
        self.in_a_row += 1;
        if self.in_a_row < EJECTION_FAILURES || now < self.until {
            return false;
        }
        self.until = now + BASE_EJECTION * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        true
    }

    /// Whether the target should get new calls.
    #[must_use]
    pub fn is_healthy(&self, now: ids::Time) -> bool {
        let is_unresponsive =
            self.waiting_since.is_some_and(|since| now.since(since) > RESPONSE_TIMEOUT);
        now >= self.until && !is_unresponsive
    }
}
