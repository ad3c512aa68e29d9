//! The calls of a run, drawn from a seed.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use rand_distr::Distribution as _;
use relay::envelope;

use crate::scene::{self, Change, Scene};

/// Kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Its name, which is that of its route.
    pub name: &'static str,
    /// Share of the calls, in hundredths.
    share: u32,
    /// Objective for the first event, in ms.
    pub objective_ms: u64,
    /// Longest time until the end, in ms.
    pub patience_ms: u64,
    /// Median of the prompt's tokens.
    prompt: f64,
    /// Median of the answer's tokens.
    output: f64,
}

/// The kinds, after the sheets of the users' sites: paid drafts, courtesy
/// drafts, long translations.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "draft",
        share: 70,
        objective_ms: 800,
        patience_ms: 5_000,
        prompt: 1_500.0,
        output: 24.0,
    },
    Kind {
        name: "courtesy",
        share: 10,
        objective_ms: 6_000,
        patience_ms: 15_000,
        prompt: 1_500.0,
        output: 24.0,
    },
    Kind {
        name: "letter",
        share: 20,
        objective_ms: 800,
        patience_ms: 15_000,
        prompt: 900.0,
        output: 150.0,
    },
];

/// Shares of the accounts in the calls.
const ACCOUNTS: [f64; 5] = [0.4, 0.25, 0.15, 0.1, 0.1];
/// Spread of prompts and answers: the deviation of their logarithm.
const SPREAD: f64 = 0.7;
/// Longest prompt and answer, in tokens.
const LONGEST: (f64, f64) = (7_000.0, 480.0);
/// Tokens of the beginning that calls of a kind and model share.
const SHARED: u64 = 340;
/// Shared beginnings of each kind and model.
const BEGINNINGS: u64 = 3;
/// Part of the demand that the next model in the list has of the one before.
const NEXT_MODEL: f64 = 0.5;

/// A call as it is drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Drawn {
    /// When it arrives, in ms.
    pub at: u64,
    /// The VM that it comes to.
    pub vm: usize,
    /// Its kind, by its place in [`KINDS`].
    pub kind: usize,
    /// Its account, by its number.
    pub account: usize,
    /// What is asked for.
    pub ask: envelope::Envelope,
}

/// Shares of the accounts in the calls.
#[must_use]
pub const fn shares() -> [f64; 5] {
    ACCOUNTS
}

/// Name of an account.
#[must_use]
pub fn account(number: usize) -> String {
    format!("account-{number}")
}

/// Name of a model.
#[must_use]
pub fn model(number: usize) -> String {
    format!("model-{number}")
}

/// Draws all calls of a scene, in the order of their arrival.
#[must_use]
pub fn draw(scene: &Scene, seed: u64) -> Vec<Drawn> {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut at = time::Duration::ZERO;
    loop {
        let second = at.as_secs();
        if second >= scene.length_s {
            return calls;
        }
        let mut weights = ACCOUNTS;
        let (mut rate, mut shift) = (scene.rate, 0);
        for change in scene.now(second) {
            match change {
                Change::Burst(times) => rate *= times,
                Change::Hot(number, times) => weights[*number] *= times,
                Change::Shift(places) => shift = *places,
                Change::Speed(..) => {}
            }
        }
        let all: f64 = weights.iter().sum();
        rate *= all;
        let pause = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        at += time::Duration::from_secs_f64(pause);
        let account = pick(&mut rng, &weights);
        let kind = pick(&mut rng, &KINDS.map(|kind| f64::from(kind.share)));
        let mut demand = [0.0; scene::MODELS];
        for (place, weight) in demand.iter_mut().enumerate() {
            let rank = (place + scene::MODELS - shift) % scene::MODELS;
            *weight = NEXT_MODEL.powi(i32::try_from(rank).unwrap_or(i32::MAX));
        }
        let model = pick(&mut rng, &demand);
        let number = calls.len() as u64;
        let ask = ask(&mut rng, number, kind, account, model);
        let vm = rng.random_range(0..scene.vms);
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        calls.push(Drawn { at: at_ms, vm, kind, account, ask });
    }
}

fn pick(rng: &mut rand::rngs::SmallRng, weights: &[f64]) -> usize {
    let mut drawn = rng.random_range(0.0..weights.iter().sum());
    weights
        .iter()
        .position(|weight| {
            drawn -= weight;
            drawn < 0.0
        })
        .unwrap_or(0)
}

/// The whole part of a number of 0 or more.
fn whole(number: f64) -> u64 {
    time::Duration::from_secs_f64(number).as_secs()
}

fn ask(
    rng: &mut rand::rngs::SmallRng,
    number: u64,
    kind: usize,
    account_number: usize,
    model_number: usize,
) -> envelope::Envelope {
    let sheet = KINDS[kind];
    let mut length = |median: f64, longest: f64| {
        let normal: f64 = rand_distr::StandardNormal.sample(rng);
        whole((median * (SPREAD * normal).exp()).clamp(2.0, longest))
    };
    let prompt = length(sheet.prompt, LONGEST.0).max(SHARED + 16);
    let output = length(sheet.output, LONGEST.1);
    let beginning = rng.random_range(0..BEGINNINGS) + 10 * kind as u64;
    let work = envelope::Work {
        model: model(model_number).as_str().into(),
        adapter: None,
        prompt_tokens: prompt,
        output_tokens: output,
        output_estimate: Some(output),
        prompt: vec![
            envelope::Part { hash: beginning, tokens: SHARED },
            envelope::Part { hash: 1_000 + number, tokens: prompt - SHARED },
        ],
    };
    envelope::Envelope {
        id: number.to_string().into(),
        host: "experiment".into(),
        path: format!("/{}/", sheet.name).into(),
        key: Some(account(account_number).as_str().into()),
        timeout: Some(time::Duration::from_millis(sheet.patience_ms)),
        work: Some(work),
    }
}
