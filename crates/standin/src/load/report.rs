//! What callers saw of a run.

use std::{collections, fmt, time};

use crate::load::{Config, mix, sample};

/// Longest time that the histograms hold, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;
/// Significant figures of the histograms.
const FIGURES: u8 = 3;

/// What callers saw of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Report {
    /// The mix's deployment.
    pub deployment: String,
    /// Seed of the run.
    pub seed: u64,
    /// How long calls were sent, in seconds.
    pub seconds: f64,
    /// First part of that time that is left out here, in seconds.
    pub warmup_seconds: f64,
    /// Factor on the mix's calls a second.
    pub scale: f64,
    /// Number of VMs called.
    pub vms: usize,
    /// Number of runners called directly.
    pub runners: usize,
    /// Accelerators behind them, as declared.
    pub accelerators: u32,
    /// Part of an account's rate within which a refusal is wrongful.
    pub margin: f64,
    /// Drafts of all accounts together.
    pub drafts: Share,
    /// Drafts over time, by the moment of sending.
    pub bins: Vec<Bin>,
    /// Drafts of each account.
    pub accounts: Vec<Account>,
    /// The account whose drafts inside its rate fared worst.
    pub worst: Option<String>,
    /// Time to the first token.
    pub first_token: Times,
    /// Time between tokens.
    pub between_tokens: Times,
    /// Time to the whole answer of plain services, by name.
    pub services: collections::BTreeMap<String, Times>,
    /// The same for drafts sent directly, if there were both.
    pub overhead: Option<Overhead>,
    /// Number of calls by kind and outcome.
    pub outcomes: collections::BTreeMap<String, collections::BTreeMap<String, u64>>,
    /// Calls of all kinds refused although they were inside their account's rate.
    pub wrongful_refusals: u64,
    /// Calls of all kinds answered whole after a retry.
    pub answered_after_retry: u64,
    /// How late the generator itself was.
    pub generator_late: Times,
}

/// How many drafts were answered whole and in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Share {
    /// Drafts sent.
    pub sent: u64,
    /// Of these, inside their account's rate.
    pub inside: u64,
    /// Drafts sent and answered whole and in time.
    pub attained: u64,
    /// Of these, inside their account's rate.
    pub attained_inside: u64,
    /// Part of the drafts inside the rate that was answered whole and in time.
    pub attainment: f64,
    /// Drafts a second answered whole and in time, for each accelerator.
    pub per_accelerator: f64,
}

/// A step of time.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Bin {
    /// Where it begins, in seconds.
    pub from_seconds: f64,
    /// Drafts sent in it.
    pub drafts: Share,
    /// Calls of all kinds sent in it and refused wrongfully.
    pub wrongful_refusals: u64,
}

/// An account.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its drafts.
    pub drafts: Share,
    /// Its calls of all kinds refused wrongfully.
    pub wrongful_refusals: u64,
    /// Time to the first token of its drafts.
    pub first_token: Times,
}

/// What a VM in the path adds, from drafts that went through VMs and others
/// that did not in the same run.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Overhead {
    /// Time to the first token of direct drafts.
    pub direct_first_token: Times,
    /// Time between tokens of direct drafts.
    pub direct_between_tokens: Times,
    /// What VMs add to the time to the first token.
    pub added_first_token: Added,
    /// What VMs add to the time between tokens.
    pub added_between_tokens: Added,
}

/// A difference of two distributions of times, and their ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Added {
    /// Difference of the medians, in ms.
    pub p50_ms: f64,
    /// Difference of the 99th percentiles, in ms.
    pub p99_ms: f64,
    /// Ratio of the medians.
    pub p50_ratio: f64,
    /// Ratio of the 99th percentiles.
    pub p99_ratio: f64,
}

impl Added {
    fn new(with: &Times, without: &Times) -> Self {
        Self {
            p50_ms: with.p50_ms - without.p50_ms,
            p99_ms: with.p99_ms - without.p99_ms,
            p50_ratio: with.p50_ms / without.p50_ms,
            p99_ratio: with.p99_ms / without.p99_ms,
        }
    }
}

impl Overhead {
    fn new(first: &Times, between: &Times, direct: &[sample::Sample]) -> Self {
        let direct_first_token = first_token(direct);
        let direct_between_tokens = between_tokens(direct);
        Self {
            direct_first_token,
            direct_between_tokens,
            added_first_token: Added::new(first, &direct_first_token),
            added_between_tokens: Added::new(between, &direct_between_tokens),
        }
    }
}

fn first_token(samples: &[sample::Sample]) -> Times {
    Times::of(samples.iter().filter_map(|sample| sample.first))
}

fn between_tokens(samples: &[sample::Sample]) -> Times {
    Times::of(samples.iter().flat_map(|sample| sample.gaps.iter().copied()))
}

/// A distribution of times, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Times {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl Times {
    fn of(times: impl Iterator<Item = time::Duration>) -> Self {
        let histogram = hdrhistogram::Histogram::<u64>::new_with_max(LONGEST_US, FIGURES);
        let Ok(mut histogram) = histogram else {
            return Self::default();
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { count: histogram.len(), p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
    }
}

impl Share {
    fn of<'a>(samples: impl Iterator<Item = &'a sample::Sample>, accelerator_seconds: f64) -> Self {
        let mut share = Self::default();
        for sample in samples.filter(|sample| sample.service.is_none()) {
            let attained = sample.attained();
            share.sent += 1;
            share.inside += u64::from(sample.inside);
            share.attained += u64::from(attained);
            share.attained_inside += u64::from(attained && sample.inside);
        }
        share.attainment = share.attained_inside as f64 / share.inside.max(1) as f64;
        share.per_accelerator = share.attained as f64 / accelerator_seconds;
        share
    }
}

impl Report {
    /// Sums up `samples`, which are in order of time.
    ///
    /// Where there were VMs, all but the overhead is about the calls through
    /// them.
    #[must_use]
    pub fn new(config: &Config, mix: &mix::Mix, samples: Vec<sample::Sample>) -> Self {
        let (direct, through): (Vec<_>, Vec<_>) =
            samples.into_iter().partition(|sample| sample.direct && !config.vms.is_empty());
        let mut report = Self::of(config, mix, &through);
        if !direct.is_empty() {
            let (first, between) = (&report.first_token, &report.between_tokens);
            report.overhead = Some(Overhead::new(first, between, &direct));
        }
        report
    }

    fn of(config: &Config, mix: &mix::Mix, samples: &[sample::Sample]) -> Self {
        let accelerators = f64::from(config.accelerators);
        let accounts = accounts(config, mix, samples);
        let worst = accounts
            .iter()
            .filter(|account| account.drafts.inside > 0)
            .min_by(|a, b| a.drafts.attainment.total_cmp(&b.drafts.attainment));
        Self {
            deployment: mix.deployment.clone(),
            seed: config.seed,
            seconds: config.seconds,
            warmup_seconds: config.warmup_seconds,
            scale: config.scale,
            vms: config.vms.len(),
            runners: config.runners.len(),
            accelerators: config.accelerators,
            margin: config.margin,
            drafts: Share::of(samples.iter(), accelerators * config.counted_seconds()),
            bins: bins(config, samples),
            worst: worst.map(|account| account.name.clone()),
            accounts,
            first_token: first_token(samples),
            between_tokens: between_tokens(samples),
            overhead: None,
            services: services(mix, samples),
            outcomes: outcomes(mix, samples),
            wrongful_refusals: wrongful(samples.iter()),
            answered_after_retry: samples.iter().filter(|sample| is_rescued(sample)).count() as u64,
            generator_late: Times::of(samples.iter().map(|sample| sample.late)),
        }
    }
}

fn is_rescued(sample: &sample::Sample) -> bool {
    sample.retries > 0 && sample.outcome == sample::Outcome::Answered
}

fn wrongful<'a>(samples: impl Iterator<Item = &'a sample::Sample>) -> u64 {
    samples.filter(|sample| sample.is_wrongful_refusal()).count() as u64
}

fn accounts(config: &Config, mix: &mix::Mix, samples: &[sample::Sample]) -> Vec<Account> {
    let accelerator_seconds = f64::from(config.accelerators) * config.counted_seconds();
    let account = |(index, account): (usize, &mix::Account)| {
        let own = || samples.iter().filter(move |sample| sample.account == index);
        Account {
            name: account.name.clone(),
            drafts: Share::of(own(), accelerator_seconds),
            wrongful_refusals: wrongful(own()),
            first_token: Times::of(own().filter_map(|sample| sample.first)),
        }
    };
    mix.accounts.iter().enumerate().map(account).collect()
}

fn bins(config: &Config, samples: &[sample::Sample]) -> Vec<Bin> {
    let accelerators = f64::from(config.accelerators);
    let mut bins = Vec::new();
    let mut rest = samples;
    let mut from = config.warmup_seconds;
    while from < config.seconds {
        let width = config.bin_seconds.min(config.seconds - from);
        let to = from + width;
        let count = rest.partition_point(|sample| sample.at.as_secs_f64() < to);
        let (present, later) = rest.split_at(count);
        bins.push(Bin {
            from_seconds: from,
            drafts: Share::of(present.iter(), accelerators * width),
            wrongful_refusals: wrongful(present.iter()),
        });
        rest = later;
        from = to;
    }
    bins
}

fn services(mix: &mix::Mix, samples: &[sample::Sample]) -> collections::BTreeMap<String, Times> {
    let times = |(index, service): (usize, &mix::Service)| {
        let answered = samples.iter().filter(|sample| {
            sample.service == Some(index) && sample.outcome == sample::Outcome::Answered
        });
        (service.name.clone(), Times::of(answered.map(|sample| sample.whole)))
    };
    mix.services.iter().enumerate().map(times).collect()
}

fn outcomes(
    mix: &mix::Mix,
    samples: &[sample::Sample],
) -> collections::BTreeMap<String, collections::BTreeMap<String, u64>> {
    let mut outcomes = collections::BTreeMap::new();
    for sample in samples {
        let kind = sample.service.map_or("draft", |index| &mix.services[index].name);
        let of_kind: &mut collections::BTreeMap<_, _> =
            outcomes.entry(kind.to_owned()).or_default();
        *of_kind.entry(sample.outcome.to_string()).or_default() += 1;
    }
    outcomes
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: seed {}, {} s less {} s at scale {}, {} VMs, {} runners called, {} accelerators",
            self.deployment,
            self.seed,
            self.seconds,
            self.warmup_seconds,
            self.scale,
            self.vms,
            self.runners,
            self.accelerators
        )?;
        writeln!(
            f,
            "\n{:<24} {:>7} {:>7} {:>8} {:>10} {:>8} {:>8}",
            "drafts", "sent", "inside", "attained", "attainment", "per acc.", "wrongful"
        )?;
        row(f, "all", &self.drafts, self.wrongful_refusals)?;
        for account in &self.accounts {
            row(f, &account.name, &account.drafts, account.wrongful_refusals)?;
        }
        for bin in &self.bins {
            let name = format!("from {} s", bin.from_seconds);
            row(f, &name, &bin.drafts, bin.wrongful_refusals)?;
        }
        writeln!(f, "worst-served account: {}", self.worst.as_deref().unwrap_or("none"))?;
        writeln!(f, "\n{:<24} {:>7} {:>9} {:>9} {:>9}", "ms", "count", "p50", "p95", "p99")?;
        times(f, "first token", &self.first_token)?;
        times(f, "between tokens", &self.between_tokens)?;
        for (name, service) in &self.services {
            times(f, name, service)?;
        }
        times(f, "generator late", &self.generator_late)?;
        if let Some(overhead) = &self.overhead {
            times(f, "direct: first token", &overhead.direct_first_token)?;
            times(f, "direct: between tokens", &overhead.direct_between_tokens)?;
            added(f, "first token", &overhead.added_first_token)?;
            added(f, "between tokens", &overhead.added_between_tokens)?;
        }
        writeln!(f, "\noutcomes ({} answered after a retry)", self.answered_after_retry)?;
        for (kind, outcomes) in &self.outcomes {
            for (outcome, count) in outcomes {
                writeln!(f, "{:<32} {count:>7}", format!("{kind}, {outcome}"))?;
            }
        }
        Ok(())
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, share: &Share, wrongful: u64) -> fmt::Result {
    writeln!(
        f,
        "{name:<24} {:>7} {:>7} {:>8} {:>10.4} {:>8.3} {wrongful:>8}",
        share.sent, share.inside, share.attained, share.attainment, share.per_accelerator
    )
}

fn times(f: &mut fmt::Formatter<'_>, name: &str, times: &Times) -> fmt::Result {
    writeln!(
        f,
        "{name:<24} {:>7} {:>9.2} {:>9.2} {:>9.2}",
        times.count, times.p50_ms, times.p95_ms, times.p99_ms
    )
}

fn added(f: &mut fmt::Formatter<'_>, name: &str, added: &Added) -> fmt::Result {
    writeln!(
        f,
        "VMs add to {name}: {:.2} ms at p50 (x{:.3}), {:.2} ms at p99 (x{:.3})",
        added.p50_ms, added.p50_ratio, added.p99_ms, added.p99_ratio
    )
}
