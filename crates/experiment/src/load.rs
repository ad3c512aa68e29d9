//! The calls of a run, generated from a seed.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use rand_distr::Distribution as _;
use relay::envelope;

use crate::scenario::{self, Change, Scenario};

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Name, also that of its route.
    pub name: &'static str,
    /// Share of all calls.
    share_percent: u32,
    /// Objective for the time to the first event.
    pub objective_ms: u64,
    /// Timeout of a call.
    pub timeout_ms: u64,
    /// Median length of the prompt.
    median_prompt_tokens: f64,
    /// Median length of the answer.
    median_output_tokens: f64,
    /// Length of the prompt prefix that calls of the kind and model share.
    shared_tokens: u64,
    /// Standard deviation of the logarithm of prompt and answer lengths.
    log_deviation: f64,
}

/// The kinds, with figures from the data sheets of the users' sites: paid drafts,
/// courtesy drafts and long translations.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "draft",
        share_percent: 70,
        objective_ms: 800,
        timeout_ms: 5_000,
        median_prompt_tokens: 1_500.0,
        median_output_tokens: 24.0,
        shared_tokens: SHARED_PREFIX_TOKENS,
        log_deviation: LENGTH_LOG_DEVIATION,
    },
    Kind {
        name: "courtesy",
        share_percent: 10,
        objective_ms: 6_000,
        timeout_ms: 15_000,
        median_prompt_tokens: 1_500.0,
        median_output_tokens: 24.0,
        shared_tokens: SHARED_PREFIX_TOKENS,
        log_deviation: LENGTH_LOG_DEVIATION,
    },
    Kind {
        name: "letter",
        share_percent: 20,
        objective_ms: 800,
        timeout_ms: 15_000,
        median_prompt_tokens: 900.0,
        median_output_tokens: 150.0,
        shared_tokens: SHARED_PREFIX_TOKENS,
        log_deviation: LENGTH_LOG_DEVIATION,
    },
];

/// The kinds of a large site with engines of uneven speed: short drafts with long prompts,
/// courtesy drafts, and long translations. An event comes with every second token.
pub const LARGE_KINDS: [Kind; 3] = [
    Kind {
        name: "draft",
        share_percent: 70,
        objective_ms: 800,
        timeout_ms: 5_000,
        median_prompt_tokens: 2_400.0,
        median_output_tokens: 22.0,
        shared_tokens: 600,
        log_deviation: 0.45,
    },
    Kind {
        name: "courtesy",
        share_percent: 10,
        objective_ms: 6_000,
        timeout_ms: 15_000,
        median_prompt_tokens: 2_400.0,
        median_output_tokens: 22.0,
        shared_tokens: 600,
        log_deviation: 0.45,
    },
    Kind {
        name: "letter",
        share_percent: 20,
        objective_ms: 600,
        timeout_ms: 15_000,
        median_prompt_tokens: 1_500.0,
        median_output_tokens: 172.0,
        shared_tokens: 400,
        log_deviation: 0.3,
    },
];

/// Share of the calls that each account sends.
const ACCOUNT_SHARES: [f64; 5] = [0.4, 0.25, 0.15, 0.1, 0.1];
/// Standard deviation of the logarithm of prompt and answer lengths.
const LENGTH_LOG_DEVIATION: f64 = 0.7;
/// Longest prompt and longest answer.
const MAX_TOKENS: (f64, f64) = (7_000.0, 480.0);
/// Length of the prompt prefix that calls of a kind and model share.
const SHARED_PREFIX_TOKENS: u64 = 340;
/// Number of different shared prefixes of each kind and model.
const PREFIXES_PER_KIND: u64 = 3;
/// Demand of each model relative to the previous one in the ranking.
const MODEL_DEMAND_RATIO: f64 = 0.5;

/// A generated call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Arrival time since the first call may arrive.
    pub arrival_ms: u64,
    /// Number of the VM at which it arrives.
    pub vm: usize,
    /// Index of its kind in [`KINDS`].
    pub kind: usize,
    /// Number of its account.
    pub account: usize,
    /// The request.
    pub envelope: envelope::Envelope,
}

/// Share of the calls that each account sends, by account number.
#[must_use]
pub const fn account_shares() -> [f64; 5] {
    ACCOUNT_SHARES
}

/// Name of the account with this number.
#[must_use]
pub fn account_name(number: usize) -> String {
    format!("account-{number}")
}

/// Name of the model with this number.
#[must_use]
pub fn model_name(number: usize) -> String {
    format!("model-{number}")
}

/// Generates all calls of a scenario in order of arrival.
#[must_use]
pub fn generate_calls(scenario: &Scenario, seed: u64) -> Vec<Call> {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut at = time::Duration::ZERO;
    loop {
        let second = at.as_secs();
        if second >= scenario.length_s {
            return calls;
        }
        let mut weights = ACCOUNT_SHARES;
        let (mut rate, mut shift) = (scenario.rate, 0);
        for change in scenario.active_changes(second) {
            match change {
                Change::Burst(times) => rate *= times,
                Change::AccountShare(number, times) => weights[*number] *= times,
                Change::Shift(places) => shift = *places,
                Change::Speed(..) => {}
            }
        }
        let total: f64 = weights.iter().sum();
        rate *= total;
        let interarrival = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        at += time::Duration::from_secs_f64(interarrival);
        let account = sample_index(&mut rng, &weights);
        let kind =
            sample_index(&mut rng, &scenario.kinds.map(|kind| f64::from(kind.share_percent)));
        let mut demand = [0.0; scenario::MODELS];
        for (place, weight) in demand.iter_mut().enumerate() {
            let rank = (place + scenario::MODELS - shift) % scenario::MODELS;
            *weight = MODEL_DEMAND_RATIO.powi(i32::try_from(rank).unwrap_or(i32::MAX));
        }
        let model = sample_index(&mut rng, &demand);
        let number = calls.len() as u64;
        let envelope = make_envelope(&mut rng, number, scenario.kinds[kind], kind, account, model);
        let vm = rng.random_range(0..scenario.vms);
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        calls.push(Call { arrival_ms: at_ms, vm, kind, account, envelope });
    }
}

fn sample_index(rng: &mut rand::rngs::SmallRng, weights: &[f64]) -> usize {
    let mut threshold = rng.random_range(0.0..weights.iter().sum());
    weights
        .iter()
        .position(|weight| {
            threshold -= weight;
            threshold < 0.0
        })
        .unwrap_or(0)
}

/// Rounds a non-negative number down.
fn floor(number: f64) -> u64 {
    time::Duration::from_secs_f64(number).as_secs()
}

fn make_envelope(
    rng: &mut rand::rngs::SmallRng,
    number: u64,
    spec: Kind,
    kind: usize,
    account: usize,
    model: usize,
) -> envelope::Envelope {
    let mut length = |median: f64, max: f64| {
        let normal: f64 = rand_distr::StandardNormal.sample(rng);
        floor((median * (spec.log_deviation * normal).exp()).clamp(2.0, max))
    };
    let prompt = length(spec.median_prompt_tokens, MAX_TOKENS.0).max(spec.shared_tokens + 16);
    let output = length(spec.median_output_tokens, MAX_TOKENS.1);
    let prefix = rng.random_range(0..PREFIXES_PER_KIND) + 10 * kind as u64;
    let work = envelope::Work {
        model: model_name(model).as_str().into(),
        adapter: None,
        prompt_tokens: prompt,
        output_tokens: output,
        output_estimate: Some(output),
        prompt: vec![
            envelope::Part { hash: prefix, tokens: spec.shared_tokens },
            envelope::Part { hash: 1_000 + number, tokens: prompt - spec.shared_tokens },
        ],
    };
    envelope::Envelope {
        id: number.to_string().into(),
        host: "experiment".into(),
        path: format!("/{}/", spec.name).into(),
        key: Some(account_name(account).as_str().into()),
        timeout: Some(time::Duration::from_millis(spec.timeout_ms)),
        work: Some(work),
    }
}
