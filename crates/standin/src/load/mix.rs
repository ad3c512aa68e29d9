//! Who asks for what: the mix of calls, a YAML file.
//!
//! ```
//! let mix = standin::load::mix::Mix::parse("
//! deployment: example
//! calls_per_second: 4
//! accounts: [{name: mayors, share: 1, rate: 2000, burst: 8000}]
//! drafts:
//!   share: 1
//!   models: [itinerary]
//!   prompt_words: {median: 60, spread: 0.5, most: 400}
//!   max_tokens: {median: 40, spread: 0.4, most: 200}
//! ").unwrap();
//! assert_eq!(mix.accounts[0].name, "mayors");
//! ```

use std::{collections, fs, path};

use crate::{Error, Result};

/// The mix of calls.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Name of the deployment.
    pub deployment: String,
    /// Calls a second outside bursts, on average.
    pub calls_per_second: f64,
    /// Times of more calls.
    #[serde(default)]
    pub bursts: Option<Bursts>,
    /// Who calls.
    pub accounts: Vec<Account>,
    /// Calls of models.
    pub drafts: Drafts,
    /// Calls of plain services.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Times at which more calls come, at fixed intervals.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bursts {
    /// From the beginning of a burst to that of the next, in seconds.
    pub every_seconds: f64,
    /// Length of a burst, in seconds.
    pub length_seconds: f64,
    /// Factor on the calls a second.
    pub factor: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name in the bundle.
    pub name: String,
    /// Its part of all calls, relative to the other accounts.
    pub share: f64,
    /// Its rate in the bundle, in tokens a second.
    pub rate: u64,
    /// Its burst in the bundle, in tokens.
    pub burst: u64,
}

/// Calls of models.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drafts {
    /// Part of all calls, relative to the services.
    pub share: f64,
    /// What is called, `MODEL` or `MODEL:ADAPTER`, the most popular first.
    pub models: Vec<String>,
    /// Exponent of the fall in popularity from one model to the next.
    #[serde(default)]
    pub skew: f64,
    /// Words of a prompt.
    pub prompt_words: Length,
    /// Tokens to generate.
    pub max_tokens: Length,
    /// Number of common beginnings of prompts for each model.
    #[serde(default)]
    pub beginnings: u32,
    /// Words of a common beginning.
    #[serde(default)]
    pub beginning_words: u32,
    /// Changes of the models' popularity during the run.
    #[serde(default)]
    pub shifts: Vec<Shift>,
}

/// A log-normal length.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    /// Half of all lengths are shorter.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    /// Longer ones are cut to this.
    pub most: u32,
}

/// A change of a model's popularity.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// When it takes place, in seconds from the beginning.
    pub at_seconds: f64,
    /// The model or adapter, as named under `models`.
    pub model: String,
    /// Factor on its part of the drafts from then on.
    pub factor: f64,
}

/// Calls of one route of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the calls in the report.
    pub name: String,
    /// Part of all calls, relative to the drafts and other services.
    pub share: f64,
    /// HTTP method.
    pub method: String,
    /// Path at a VM, such as `/svc/desk/booking`.
    pub path: String,
    /// Whether each call has an idempotency key of its own.
    #[serde(default)]
    pub once: bool,
    /// Tokens that a call counts for.
    #[serde(default = "one")]
    pub cost: u64,
}

const fn one() -> u64 {
    1
}

impl Mix {
    /// Reads a mix from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is not such a document.
    pub fn read(file: &path::Path) -> Result<Self> {
        let text = text(file)?;
        Self::parse(&text).map_err(|error| Error::new("read mix", file.display(), error))
    }

    /// Reads a mix from YAML.
    ///
    /// # Errors
    ///
    /// The text is not such a document, or a value is out of range.
    pub fn parse(text: &str) -> Result<Self> {
        let mix: Self =
            serde_saphyr::from_str(text).map_err(|error| Error::new("read mix", "text", error))?;
        mix.check()?;
        Ok(mix)
    }

    fn check(&self) -> Result<()> {
        let wrong = |field, reason| Err(Error::new("read mix", field, reason));
        if !(self.calls_per_second.is_finite() && self.calls_per_second > 0.0) {
            return wrong("calls_per_second", "must be above 0");
        }
        if self.accounts.is_empty() {
            return wrong("accounts", "there must be one at least");
        }
        if self.drafts.models.is_empty() {
            return wrong("drafts.models", "there must be one at least");
        }
        let known = |shift: &Shift| self.drafts.models.contains(&shift.model);
        if !self.drafts.shifts.iter().all(known) {
            return wrong("drafts.shifts", "each model must stand under drafts.models");
        }
        Ok(())
    }
}

/// Reads the key of each account of `mix`, in its order.
///
/// The file maps names of accounts to keys.
///
/// # Errors
///
/// The file cannot be read, is not such a document, or lacks an account.
pub fn keys(file: &path::Path, mix: &Mix) -> Result<Vec<String>> {
    let keys: collections::BTreeMap<String, String> = serde_saphyr::from_str(&text(file)?)
        .map_err(|error| Error::new("read keys", file.display(), error))?;
    let key = |account: &Account| {
        let key = keys.get(&account.name).cloned();
        key.ok_or_else(|| {
            let reason = format!("no key for account {}", account.name);
            Error::new("read keys", file.display(), reason)
        })
    };
    mix.accounts.iter().map(key).collect()
}

fn text(file: &path::Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| Error::new("read file", file.display(), error))
}
