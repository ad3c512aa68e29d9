//! What a caller saw of one call.

use std::{fmt, time};

/// The first token is due within this time.
pub const FIRST_TOKEN: time::Duration = time::Duration::from_millis(1800);
/// Gaps between tokens are due within this time.
pub const BETWEEN_TOKENS: time::Duration = time::Duration::from_millis(57);
/// Part of the gaps that may be longer, in hundredths.
const LATE_PERCENT: usize = 5;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// With the whole answer, after retries or without.
    Answered,
    /// Not run, for the reason with this code.
    NotRun(String),
    /// With the word that it may have run, for the reason with this code.
    Unknown(String),
    /// No connection could be made.
    Unreached,
    /// The connection ended without a word.
    Cut,
    /// With an answer to something else, or with a part missing.
    Wrong,
    /// Not by the end of the run.
    Open,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered => f.write_str("answered"),
            Self::NotRun(code) => write!(f, "not-run: {code}"),
            Self::Unknown(code) => write!(f, "unknown: {code}"),
            Self::Unreached => f.write_str("unreached"),
            Self::Cut => f.write_str("cut"),
            Self::Wrong => f.write_str("wrong"),
            Self::Open => f.write_str("open"),
        }
    }
}

/// What a caller saw of one call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When the call was to be sent, from the beginning of the run.
    pub at: time::Duration,
    /// How much later it was sent, for want of the generator's own speed.
    pub late: time::Duration,
    /// Index of the account in the mix.
    pub account: usize,
    /// Index of the plain service in the mix; `None` for a draft.
    pub service: Option<usize>,
    /// Whether the call went to a runner and not to a VM.
    pub direct: bool,
    /// Whether the call was inside its account's rate and burst; none that was
    /// sent past VMs for comparison is.
    pub inside: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Time to the end of the answer.
    pub whole: time::Duration,
    /// Time to the first token, if one came.
    pub first: Option<time::Duration>,
    /// Times between tokens.
    pub gaps: Vec<time::Duration>,
    /// Attempts after the first.
    pub retries: u32,
}

impl Sample {
    /// Whether the call was answered whole and in time.
    #[must_use]
    pub fn attained(&self) -> bool {
        let in_time = match self.service {
            Some(_) => self.whole <= FIRST_TOKEN,
            None => self.first.is_some_and(|first| first <= FIRST_TOKEN) && self.is_steady(),
        };
        self.outcome == Outcome::Answered && in_time
    }

    fn is_steady(&self) -> bool {
        let late = self.gaps.iter().filter(|gap| **gap > BETWEEN_TOKENS).count();
        late * 100 <= self.gaps.len() * LATE_PERCENT
    }

    /// Whether the call was refused although it was inside its account's rate.
    #[must_use]
    pub const fn is_wrongful_refusal(&self) -> bool {
        self.inside && matches!(self.outcome, Outcome::NotRun(_))
    }
}
