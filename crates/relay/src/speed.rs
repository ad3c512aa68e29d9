//! Learned speed of each target, for services whose engines differ in speed.
//!
//! The load that it is for: many VMs, each of which calls a given engine only once in some
//! 18 s, so what a VM sees alone is too little. VMs therefore exchange sums of samples. A
//! sample is the ratio of a measured to the nominal time: of the time between two events
//! ([`Meter`]), or of the time to first event at an engine without backlog. Ratios are kept
//! as logarithms, so that a sum of them is a geometric mean and one outlier counts little.
//!
//! A window holds the sums of the last seconds in short buckets; its median resists an
//! engine that is slow for one bucket, and follows a lasting change within some seconds.

use std::{cmp, collections, time};

use crate::target;

/// Range of valid ratios.
const RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.05..=20.0;
/// Units per doubling in which logarithms are summed and sent.
const UNITS_PER_DOUBLING: f64 = 100.0;
/// Largest magnitude of the logarithm of a valid ratio, in units.
const MAX_UNITS: i64 = 433;
/// Maximum number of samples in one received sum: more than a data centre's VMs make
/// of one target in the interval of reports.
const MAX_SAMPLES: u32 = 10_000;
/// Length of a bucket: that of the noise to be resisted.
const BUCKET: time::Duration = time::Duration::from_millis(600);
/// Age at which buckets are dropped.
const WINDOW: time::Duration = time::Duration::from_secs(6);
/// Half-life of a bucket's weight, in ms.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Maximum weight of a bucket, in samples, so that one burst of samples does not decide.
const MAX_BUCKET_WEIGHT: f64 = 6.0;
/// Weight of what is expected without new samples in the estimate of a target, in samples.
const EXPECTED_WEIGHT: f64 = 2.0;
/// Half-life in ms with which a target without new samples returns to the median: slow
/// targets get few calls, and would be tried again and again if it were short.
const MEMORY_HALF_LIFE_MS: f64 = 30_000.0;
/// Weight of the step time's ratio in the estimate of the prefill rate, in samples: it is
/// free of waiting, and both depend on the same hardware.
const STEP_WEIGHT: f64 = 4.0;
/// Quantile of the prefill samples that counts: waiting that was not known inflates the rest.
const PREFILL_QUANTILE: f64 = 0.3;
/// Weight from which a target counts for its service's median, in samples.
const MIN_WEIGHT: f64 = 3.0;
/// Maximum number of targets whose unsent samples are kept.
const MAX_UNSENT: usize = 512;
/// Maximum number of targets in the samples of one digest.
pub const MAX_DIGEST_ENTRIES: usize = 16;
/// Maximum number of targets in the samples of one summary or overview.
pub const MAX_SUMMARY_ENTRIES: usize = 96;

/// Ratio of a target's times to the nominal ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Ratio of the time per prompt token.
    pub prefill: f64,
    /// Ratio of the time of a decoding step.
    pub step: f64,
    /// Median of the prefill ratios of the service's targets.
    pub median: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { prefill: 1.0, step: 1.0, median: 1.0 }
    }
}

/// What a sample measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The time of a decoding step.
    Step,
    /// The time per prompt token.
    Prefill,
}

/// Sums of the samples of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Samples {
    /// Number of samples of the step time.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub steps: u32,
    /// Sum of the logarithms of their ratios, in hundredths of a doubling.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero_sum")]
    pub step_sum: i64,
    /// Number of samples of the prefill rate.
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub prefills: u32,
    /// Sum of the logarithms of their ratios, in hundredths of a doubling.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero_sum")]
    pub prefill_sum: i64,
}

/// Samples of a target in a message.
pub type Entry = (ids::Target, Samples);

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
const fn is_zero_sum(sum: &i64) -> bool {
    *sum == 0
}

impl Samples {
    /// A sample of `ratio`; `None` if it is out of range or not a number.
    #[must_use]
    pub fn new(kind: Kind, ratio: f64) -> Option<Self> {
        if !RATIO_RANGE.contains(&ratio) {
            return None;
        }
        let sum = to_units(ratio);
        Some(match kind {
            Kind::Step => Self { steps: 1, step_sum: sum, ..Self::default() },
            Kind::Prefill => Self { prefills: 1, prefill_sum: sum, ..Self::default() },
        })
    }

    /// Whether the sums can be those of valid samples.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_valid = |count: u32, sum: i64| {
            count <= MAX_SAMPLES && sum.saturating_abs() <= i64::from(count) * MAX_UNITS
        };
        is_valid(self.steps, self.step_sum) && is_valid(self.prefills, self.prefill_sum)
    }

    const fn add(&mut self, other: Self) {
        self.steps = self.steps.saturating_add(other.steps);
        self.step_sum = self.step_sum.saturating_add(other.step_sum);
        self.prefills = self.prefills.saturating_add(other.prefills);
        self.prefill_sum = self.prefill_sum.saturating_add(other.prefill_sum);
    }

    const fn count(&self) -> u32 {
        self.steps.saturating_add(self.prefills)
    }
}

/// Logarithm of a ratio in units.
#[expect(clippy::cast_possible_truncation, reason = "the ratio is within the valid range")]
fn to_units(ratio: f64) -> i64 {
    (ratio.log2() * UNITS_PER_DOUBLING).round() as i64
}

/// Samples that have not been sent yet.
#[derive(Clone, Debug, Default)]
pub struct Unsent {
    samples: collections::BTreeMap<ids::Target, Samples>,
}

impl Unsent {
    /// Adds samples, unless too many targets are waiting to be sent.
    pub fn add(&mut self, target: &ids::Target, samples: Samples) {
        if let Some(known) = self.samples.get_mut(target) {
            known.add(samples);
        } else if self.samples.len() < MAX_UNSENT {
            self.samples.insert(target.clone(), samples);
        }
    }

    /// Takes the samples of at most `limit` targets, those with the most samples first.
    pub fn take(&mut self, limit: usize) -> Vec<Entry> {
        let mut entries: Vec<_> = std::mem::take(&mut self.samples).into_iter().collect();
        entries.sort_by_key(|(_, samples)| cmp::Reverse(samples.count()));
        self.samples.extend(entries.drain(limit.min(entries.len())..));
        entries
    }

    /// Drops all samples.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    began: ids::Time,
    count: u32,
    sum: i64,
}

/// Sums of the last seconds, oldest first.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: collections::VecDeque<Bucket>,
}

impl Window {
    fn add(&mut self, now: ids::Time, count: u32, sum: i64) {
        if count == 0 {
            return;
        }
        match self.buckets.back_mut().filter(|bucket| now.since(bucket.began) < BUCKET) {
            Some(bucket) => {
                bucket.count = bucket.count.saturating_add(count);
                bucket.sum = bucket.sum.saturating_add(sum);
            }
            None => self.buckets.push_back(Bucket { began: now, count, sum }),
        }
    }

    fn expire(&mut self, now: ids::Time) {
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.began) > WINDOW) {
            self.buckets.pop_front();
        }
    }

    /// Means of the buckets, as logarithms to base 2, with their weights.
    fn points(&self, now: ids::Time) -> Vec<(f64, f64)> {
        let point = |bucket: &Bucket| {
            let age_ms = now.since(bucket.began).as_secs_f64() * 1_000.0;
            let weight = f64::from(bucket.count).min(MAX_BUCKET_WEIGHT);
            let mean = bucket.sum as f64 / f64::from(bucket.count) / UNITS_PER_DOUBLING;
            (mean, weight * (-age_ms / HALF_LIFE_MS).exp2())
        };
        self.buckets.iter().map(point).collect()
    }
}

/// The weighted quantile of `points` of value and weight; `None` if there are none.
fn quantile(mut points: Vec<(f64, f64)>, share: f64) -> Option<f64> {
    points.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let total: f64 = points.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    for (value, weight) in &points {
        below += weight;
        if below >= total * share {
            return Some(*value);
        }
    }
    points.last().map(|(value, _)| *value)
}

/// A ratio that was measured last, as a logarithm.
#[derive(Clone, Copy, Debug)]
struct Remembered {
    at: ids::Time,
    value: f64,
}

#[derive(Clone, Debug, Default)]
struct Row {
    born: u64,
    /// Step time when there were enough samples last.
    remembered: Option<Remembered>,
    steps: Window,
    prefills: Window,
}

impl Row {
    /// What the step time is without new samples: the last measured one, which
    /// approaches the service's `median`.
    fn expected_step(&self, now: ids::Time, median: f64) -> f64 {
        self.remembered.map_or(median, |remembered| {
            let age_ms = now.since(remembered.at).as_secs_f64() * 1_000.0;
            median + (remembered.value - median) * (-age_ms / MEMORY_HALF_LIFE_MS).exp2()
        })
    }
}

/// What is known of the speed of all targets.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<ids::Target, Row>,
}

impl Table {
    /// Adds samples of a target.
    pub fn add(&mut self, now: ids::Time, target: &ids::Target, samples: Samples) {
        let Some(row) = self.rows.get_mut(target) else {
            return;
        };
        row.steps.add(now, samples.steps, samples.step_sum);
        row.prefills.add(now, samples.prefills, samples.prefill_sum);
    }

    /// Updates the estimates of all targets of model services. The samples of a former
    /// instance are dropped.
    pub fn refresh(
        &mut self,
        now: ids::Time,
        targets: &mut target::Table,
        is_engine: impl Fn(&ids::Service) -> bool,
    ) {
        self.rows.retain(|target, row| {
            targets.get(target).is_some_and(|known| known.entry.born == row.born)
        });
        let mut medians = collections::BTreeMap::<ids::Service, Vec<(f64, f64)>>::new();
        for known in targets.iter().filter(|known| is_engine(&known.entry.service)) {
            let new_row = || Row { born: known.entry.born, ..Row::default() };
            let row = self.rows.entry(known.entry.target.clone()).or_insert_with(new_row);
            row.steps.expire(now);
            row.prefills.expire(now);
            let points = row.steps.points(now);
            let weight: f64 = points.iter().map(|(_, weight)| weight).sum();
            if weight >= MIN_WEIGHT
                && let Some(median) = quantile(points, 0.5)
            {
                row.remembered = Some(Remembered { at: now, value: median });
            }
            if let Some(remembered) = row.remembered {
                let values = medians.entry(known.entry.service.clone()).or_default();
                values.push((remembered.value, 1.0));
            }
        }
        let medians: collections::BTreeMap<_, _> = medians
            .into_iter()
            .filter_map(|(service, points)| Some((service, quantile(points, 0.5)?)))
            .collect();
        for known in targets.iter_mut() {
            let Some(row) = self.rows.get(&known.entry.target) else {
                continue;
            };
            let median = medians.get(&known.entry.service).copied().unwrap_or_default();
            let expected = row.expected_step(now, median);
            let mut points = row.steps.points(now);
            points.push((expected, EXPECTED_WEIGHT));
            let step = quantile(points, 0.5).unwrap_or(expected);
            let mut points = row.prefills.points(now);
            points.push((step, STEP_WEIGHT));
            let prefill = quantile(points, PREFILL_QUANTILE).unwrap_or(step);
            let (prefill, step, median) = (prefill.exp2(), step.exp2(), median.exp2());
            known.speed = Some(Estimate { prefill, step, median });
        }
    }
}

/// How fast the events of a stream follow one another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rhythm {
    /// Number of events that were measured.
    pub events: u32,
    /// Median time between two events.
    pub gap: time::Duration,
}

/// Time within which events count as one group: they were received together.
const GROUP_TIME: time::Duration = time::Duration::from_millis(3);
/// Maximum number of groups in a measurement.
const MAX_GROUPS: usize = 128;

/// Measures the time between the events of a stream.
///
/// Events that are received together form a group, which is measured as a whole: a VM with
/// a tenth of a core may read several at once. The median leaves out the pauses in which the
/// engine reads prompts between decoding steps.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// When the present group began, and its number of events.
    group: Option<(time::Duration, u32)>,
    /// Time per event and number of events of the groups before.
    groups: Vec<(time::Duration, u32)>,
}

impl Meter {
    /// Records `events` events received at `at`, the time since an origin of the caller.
    pub fn record(&mut self, at: time::Duration, events: u32) {
        if events == 0 {
            return;
        }
        match &mut self.group {
            Some((began, count)) if at.saturating_sub(*began) < GROUP_TIME => *count += events,
            Some((began, count)) => {
                if self.groups.len() < MAX_GROUPS {
                    self.groups.push((at.saturating_sub(*began) / *count, *count));
                }
                self.group = Some((at, events));
            }
            None => self.group = Some((at, events)),
        }
    }

    /// Returns the measurement since the last one; without events if there were too few.
    pub fn take(&mut self) -> Rhythm {
        let mut groups = std::mem::take(&mut self.groups);
        let events: u32 = groups.iter().map(|(_, count)| *count).sum();
        groups.sort_unstable();
        let mut below = 0;
        for (gap, count) in groups {
            below += count;
            if below * 2 >= events {
                return Rhythm { events, gap };
            }
        }
        Rhythm::default()
    }
}
