//! Rules that delay, refuse or lose answers.
//!
//! `PUT /faults` on a control address replaces the list of rules by a JSON
//! list of [`Rule`]; the first rule that fits a request is applied to it.

use std::{sync, time};

use crate::face;

/// What happens to requests under a path.
#[expect(clippy::struct_excessive_bools, reason = "each is an independent switch of the JSON form")]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// What the path begins with.
    pub path: String,
    /// Text that the body must contain, or empty.
    pub contains: String,
    /// Wait before the request takes effect, in ms.
    pub delay_ms: u64,
    /// Wait after the request took effect, in ms.
    pub delay_answer_ms: u64,
    /// Answer 503 without effect.
    pub refuse: bool,
    /// Answer 503 without effect and without the header that proves it.
    pub refuse_unproven: bool,
    /// Close the connection without effect.
    pub lose_request: bool,
    /// Take effect, then close the connection.
    pub lose_answer: bool,
    /// Cut a streamed answer after so many chunks.
    pub break_after: Option<u64>,
    /// Send each chunk of a streamed answer twice.
    pub double: bool,
    /// Exchange the answer with that of the next request that a crossing rule fits.
    pub cross: bool,
    /// Apply so many times, then end; without it the rule lasts.
    pub count: Option<u64>,
}

impl Rule {
    /// A rule without effect for paths that begin with `path`.
    #[must_use]
    pub fn new(path: &str) -> Self {
        Self { path: path.to_owned(), ..Self::default() }
    }

    /// The wait before the request takes effect.
    #[must_use]
    pub const fn delay(&self) -> time::Duration {
        time::Duration::from_millis(self.delay_ms)
    }

    /// The wait after the request took effect.
    #[must_use]
    pub const fn delay_answer(&self) -> time::Duration {
        time::Duration::from_millis(self.delay_answer_ms)
    }

    fn fits(&self, request: &face::Request) -> bool {
        self.count != Some(0)
            && request.path.starts_with(&self.path)
            && (self.contains.is_empty()
                || String::from_utf8_lossy(&request.body).contains(&self.contains))
    }
}

/// The rules in force.
#[derive(Debug, Default)]
pub struct Rules(sync::Mutex<Vec<Rule>>);

impl Rules {
    /// Puts `rules` in place of those in force.
    pub fn replace(&self, rules: Vec<Rule>) {
        *self.lock() = rules;
    }

    /// Takes the rule for `request`, using up one of its times.
    pub fn take(&self, request: &face::Request) -> Option<Rule> {
        let mut rules = self.lock();
        let rule = rules.iter_mut().find(|rule| rule.fits(request))?;
        if let Some(count) = &mut rule.count {
            *count -= 1;
        }
        Some(rule.clone())
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Rule>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
