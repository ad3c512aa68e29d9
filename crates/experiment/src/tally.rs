//! Counts of call outcomes and latencies of a run.

use crate::load;

/// Length of the windows into which calls are grouped by arrival.
pub const WINDOW_S: u64 = 2;
/// Longest gap between two events of a stream that counts as in time.
pub const MAX_GAP_MS: u64 = 400;
/// Precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Upper bound of the histograms; longer times are recorded as this one.
const MAX_RECORDED_MS: u64 = 120_000;

/// How a call ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// Complete answer within the kind's objectives.
    InTime,
    /// Complete answer before the timeout, but outside the objectives.
    Late,
    /// Refused this many ms after the call arrived.
    Refused(u64),
    /// No complete answer before the timeout.
    #[default]
    Failed,
}

/// Number of calls in a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All calls.
    pub calls: u64,
    /// Calls answered in time.
    pub in_time: u64,
}

impl Count {
    /// Share of calls answered in time; 0 if there are none.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Counts by window of arrival.
    pub windows: Vec<Count>,
    /// Counts by account number.
    pub accounts: [Count; 5],
    /// Counts by index in [`load::KINDS`].
    pub kinds: [Count; load::KINDS.len()],
    /// Number of calls answered late.
    pub late: u64,
    /// Number of calls refused after all retries.
    pub refused: u64,
    /// Number of calls without a complete answer.
    pub failed: u64,
    /// Times from arrival to the first event.
    pub first_event_ms: hdrhistogram::Histogram<u64>,
    /// Busy time of the busiest engine as a multiple of the mean.
    pub busiest_engine: f64,
    /// Mean relative error of the learned speeds.
    pub speed_error: f64,
    /// Number of complete answers with a pause over the objective.
    pub paused: u64,
    /// Times from arrival to the final refusal.
    pub refusal_ms: hdrhistogram::Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally for a run of `seconds`.
    ///
    /// # Panics
    ///
    /// Never, since the histograms' range and precision are valid.
    #[must_use]
    pub fn new(seconds: u64) -> Self {
        let histogram = || {
            let histogram =
                hdrhistogram::Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
            histogram.expect("a valid range and precision")
        };
        let windows = usize::try_from(seconds.div_ceil(WINDOW_S)).unwrap_or(0);
        Self {
            windows: vec![Count::default(); windows],
            accounts: [Count::default(); 5],
            kinds: [Count::default(); load::KINDS.len()],
            late: 0,
            refused: 0,
            failed: 0,
            first_event_ms: histogram(),
            busiest_engine: 0.0,
            speed_error: 0.0,
            paused: 0,
            refusal_ms: histogram(),
        }
    }

    /// Records the outcome of a call and the time to its first event, if there was one.
    pub fn record(&mut self, call: &load::Call, first_ms: Option<u64>, outcome: Outcome) {
        let window = usize::try_from(call.arrival_ms / 1_000 / WINDOW_S).unwrap_or(usize::MAX);
        let counts = [
            self.windows.get_mut(window),
            self.accounts.get_mut(call.account),
            self.kinds.get_mut(call.kind),
        ];
        for count in counts.into_iter().flatten() {
            count.calls += 1;
            count.in_time += u64::from(outcome == Outcome::InTime);
        }
        if let Some(ms) = first_ms {
            self.first_event_ms.saturating_record(ms);
        }
        match outcome {
            Outcome::InTime => {}
            Outcome::Late => self.late += 1,
            Outcome::Refused(after_ms) => {
                self.refused += 1;
                self.refusal_ms.saturating_record(after_ms);
            }
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Share of all calls answered in time.
    #[must_use]
    pub fn attainment(&self) -> f64 {
        let total = self.kinds.iter().fold(Count::default(), |sum, count| Count {
            calls: sum.calls + count.calls,
            in_time: sum.in_time + count.in_time,
        });
        total.in_time_share()
    }

    /// Mean share answered in time of the two windows with the lowest shares.
    #[must_use]
    pub fn worst_two_windows(&self) -> f64 {
        let mut shares: Vec<_> = self.windows.iter().map(Count::in_time_share).collect();
        shares.sort_by(f64::total_cmp);
        shares.iter().take(2).sum::<f64>() / 2.0
    }

    /// Lowest share answered in time of the non-empty counts; 1 if all are empty.
    #[must_use]
    pub fn worst_share(counts: &[Count]) -> f64 {
        let non_empty = counts.iter().filter(|count| count.calls > 0);
        non_empty.map(Count::in_time_share).fold(1.0, f64::min)
    }
}
