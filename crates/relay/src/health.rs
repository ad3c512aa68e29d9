//! Health of a target, derived from the results of recent calls.

use std::time;

/// Weight of the latest call in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of a first ejection; it doubles with each further one.
const BASE_EJECTION: time::Duration = time::Duration::from_secs(1);
/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 2;
/// Time without a response to open calls after which a target counts as unresponsive.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Weight of the latest call in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Range to which the slowness of a single call is clamped.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.5..=8.0;

/// How a call at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a complete answer.
    Answered,
    /// With an error response of the target.
    Failed,
    /// With a refusal: the call did not run.
    Refused,
    /// With a broken or failed connection.
    Broken,
}

/// Health of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Health {
    /// Moving average of the failure rate, from 0 to 1.
    pub failed: f64,
    /// Moving average of actual to expected time to the first byte.
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
    /// Records that a call was sent.
    pub const fn record_sent(&mut self, now: ids::Time) {
        if self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Records that the target responded.
    pub const fn record_response(&mut self, now: ids::Time) {
        self.heard = now;
        self.waiting_since = None;
    }

    /// Records the actual and expected time to the first byte.
    pub fn record_latency(&mut self, took: time::Duration, expected_ms: f64) {
        let ratio = took.as_secs_f64() * 1_000.0 / expected_ms.max(1.0);
        let ratio = ratio.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    /// Records how a call ended. Returns whether this ejects the target.
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

    /// Whether the target is responsive and not ejected.
    #[must_use]
    pub fn is_healthy(&self, now: ids::Time) -> bool {
        let is_unresponsive =
            self.waiting_since.is_some_and(|since| now.since(since) > RESPONSE_TIMEOUT);
        now >= self.until && !is_unresponsive
    }
}
