//! When which call is sent: a Poisson process with bursts, fixed by a seed.

use std::{fmt, sync, time};

use rand::{Rng as _, SeedableRng as _, distr::Distribution as _, rngs};

use crate::{
    Error, Result,
    load::mix::{self, Mix},
};

/// A call to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the beginning of the run.
    pub at: time::Duration,
    /// Number of the call, from 0.
    pub number: u64,
    /// Index of the account in the mix.
    pub account: usize,
    /// A random number for the choice of an address.
    pub choice: u32,
    /// What is asked for.
    pub call: Call,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A draft by a model.
    Draft {
        /// `MODEL` or `MODEL:ADAPTER`.
        model: sync::Arc<str>,
        /// The prompt.
        prompt: String,
        /// Tokens to generate.
        max_tokens: u32,
    },
    /// A call of the plain service with this index in the mix.
    Service(usize),
}

/// Bytes that make a token of a prompt, on average, as the VMs count them.
const TOKEN_BYTES: u64 = 4;

impl Call {
    /// Tokens that the call counts for against its account's rate.
    #[must_use]
    pub fn cost(&self, mix: &Mix) -> u64 {
        match self {
            Self::Draft { prompt, max_tokens, .. } => {
                prompt.len() as u64 / TOKEN_BYTES + 1 + u64::from(*max_tokens)
            }
            Self::Service(index) => mix.services[*index].cost,
        }
    }
}

/// Iterator over the calls of a run in order of time.
#[derive(Debug)]
pub struct Schedule {
    mix: Mix,
    span: time::Duration,
    rng: rngs::SmallRng,
    now: time::Duration,
    number: u64,
    gaps: rand_distr::Exp<f64>,
    accounts: rand_distr::weighted::WeightedIndex<f64>,
    kinds: rand_distr::weighted::WeightedIndex<f64>,
    models: Vec<Popularity>,
    prompt_words: Lengths,
    max_tokens: Lengths,
}

/// Popularity of the models from a moment on.
#[derive(Debug)]
struct Popularity {
    from: time::Duration,
    models: rand_distr::weighted::WeightedIndex<f64>,
}

#[derive(Debug)]
struct Lengths {
    most: u32,
    distribution: rand_distr::LogNormal<f64>,
}

impl Schedule {
    /// The calls of `mix` over `span`, with `scale` times its calls a second.
    ///
    /// # Errors
    ///
    /// A share, length or factor is out of range.
    pub fn new(mix: &Mix, seed: u64, scale: f64, span: time::Duration) -> Result<Self> {
        let factor = mix.bursts.map_or(1.0, |bursts| bursts.factor.max(1.0));
        let most_per_second = mix.calls_per_second * scale * factor;
        let accounts = mix.accounts.iter().map(|account| account.share);
        let services = mix.services.iter().map(|service| service.share);
        let kinds = std::iter::once(mix.drafts.share).chain(services);
        Ok(Self {
            span,
            rng: rngs::SmallRng::seed_from_u64(seed),
            now: time::Duration::ZERO,
            number: 0,
            gaps: rand_distr::Exp::new(most_per_second)
                .map_err(|error| wrong("calls_per_second", error))?,
            accounts: weights("accounts", accounts)?,
            kinds: weights("share", kinds)?,
            models: popularity(&mix.drafts)?,
            prompt_words: Lengths::new("prompt_words", mix.drafts.prompt_words)?,
            max_tokens: Lengths::new("max_tokens", mix.drafts.max_tokens)?,
            mix: mix.clone(),
        })
    }

    /// The moment of the next call: one of the busiest process, thinned out between bursts.
    fn next_moment(&mut self) -> time::Duration {
        loop {
            let gap = self.gaps.sample(&mut self.rng);
            self.now += time::Duration::from_secs_f64(gap);
            if self.rng.random::<f64>() < self.intensity() {
                return self.now;
            }
        }
    }

    /// Calls a second at the present moment, as a part of the most there are.
    fn intensity(&self) -> f64 {
        let Some(bursts) = self.mix.bursts else {
            return 1.0;
        };
        let most = bursts.factor.max(1.0);
        let phase = self.now.as_secs_f64() % bursts.every_seconds;
        let factor = if phase < bursts.length_seconds { bursts.factor } else { 1.0 };
        factor / most
    }

    fn draft(&mut self) -> Call {
        let now = self.now;
        let popularity = self.models.iter().rev().find(|popularity| popularity.from <= now);
        let index = popularity.map_or(0, |found| found.models.sample(&mut self.rng));
        let model: sync::Arc<str> = self.mix.drafts.models[index].as_str().into();
        let words = self.prompt_words.sample(&mut self.rng);
        let max_tokens = self.max_tokens.sample(&mut self.rng);
        let prompt = self.prompt(&model, words);
        Call::Draft { model, prompt, max_tokens }
    }

    /// A prompt of a common beginning, if there are any, and words of its own.
    fn prompt(&mut self, model: &str, words: u32) -> String {
        let mut prompt = String::new();
        let beginnings = self.mix.drafts.beginnings;
        if beginnings > 0 {
            let beginning = self.rng.random_range(0..beginnings);
            for word in 0..self.mix.drafts.beginning_words {
                push(&mut prompt, format_args!("{model}/{beginning}/{word}"));
            }
        }
        for _ in 0..words {
            let word: u32 = self.rng.random();
            push(&mut prompt, format_args!("{word:x}"));
        }
        prompt
    }
}

fn push(prompt: &mut String, word: fmt::Arguments<'_>) {
    if !prompt.is_empty() {
        prompt.push(' ');
    }
    prompt.push_str(&word.to_string());
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let at = self.next_moment();
        if at >= self.span {
            return None;
        }
        let account = self.accounts.sample(&mut self.rng);
        let kind = self.kinds.sample(&mut self.rng);
        let choice = self.rng.random();
        let call = match kind.checked_sub(1) {
            None => self.draft(),
            Some(service) => Call::Service(service),
        };
        let number = self.number;
        self.number += 1;
        Some(Arrival { at, number, account, choice, call })
    }
}

impl Lengths {
    fn new(field: &'static str, length: mix::Length) -> Result<Self> {
        if length.median <= 0.0 || length.most == 0 {
            return Err(wrong(field, "median and most must be above 0"));
        }
        let distribution = rand_distr::LogNormal::new(length.median.ln(), length.spread)
            .map_err(|error| wrong(field, error))?;
        Ok(Self { most: length.most, distribution })
    }

    fn sample(&self, rng: &mut rngs::SmallRng) -> u32 {
        let length = self.distribution.sample(rng).round();
        let length = length.clamp(1.0, f64::from(self.most));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the range of the target"
        )]
        let length = length as u32;
        length
    }
}

fn popularity(drafts: &mix::Drafts) -> Result<Vec<Popularity>> {
    let rank = |index: usize| (index as f64 + 1.0).powf(-drafts.skew);
    let mut shares: Vec<f64> = (0..drafts.models.len()).map(rank).collect();
    let mut shifts: Vec<&mix::Shift> = drafts.shifts.iter().collect();
    shifts.sort_by(|a, b| a.at_seconds.total_cmp(&b.at_seconds));
    let mut steps = vec![Popularity {
        from: time::Duration::ZERO,
        models: weights("drafts.models", shares.iter().copied())?,
    }];
    for shift in shifts {
        let Some(index) = drafts.models.iter().position(|model| *model == shift.model) else {
            continue;
        };
        shares[index] *= shift.factor;
        let from = time::Duration::try_from_secs_f64(shift.at_seconds)
            .map_err(|error| wrong("drafts.shifts", error))?;
        let models = weights("drafts.shifts", shares.iter().copied())?;
        steps.push(Popularity { from, models });
    }
    Ok(steps)
}

fn weights(
    field: &'static str,
    shares: impl Iterator<Item = f64>,
) -> Result<rand_distr::weighted::WeightedIndex<f64>> {
    rand_distr::weighted::WeightedIndex::new(shares).map_err(|error| wrong(field, error))
}

fn wrong(field: &'static str, reason: impl fmt::Display) -> Error {
    Error::new("read mix", field, reason)
}
