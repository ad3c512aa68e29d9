//! Changes that operators make between bundles.
//!
//! They are kept as one object, named by its digest in the head, and outlast
//! the bundle that was in force when they were made: a withdrawn key stays
//! withdrawn under every later bundle.

use std::collections;

use crate::key;

/// A key issued to an account between bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Issue {
    /// The account whose calls it admits.
    pub account: ids::Account,
    /// The key.
    pub key: key::Entry,
}

/// Changes that operators made between bundles.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Amendments {
    /// Keys issued.
    pub issued: Vec<Issue>,
    /// Keys withdrawn, for ever.
    pub withdrawn: collections::BTreeSet<ids::Key>,
    /// Targets drained.
    pub drained: collections::BTreeSet<ids::Target>,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Admit a key.
    Issue(Issue),
    /// Refuse a key from now on.
    Withdraw(ids::Key),
    /// Give a target no new work.
    Drain(ids::Target),
    /// Give a drained target work again.
    Return(ids::Target),
}

impl Amendments {
    /// Makes a change; whether it changed anything.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Issue(issue) => {
                let fresh = self.issued.iter().all(|known| known.key.id != issue.key.id);
                if fresh {
                    self.issued.push(issue.clone());
                }
                fresh
            }
            Change::Withdraw(key) => self.withdrawn.insert(key.clone()),
            Change::Drain(target) => self.drained.insert(target.clone()),
            Change::Return(target) => self.drained.remove(target),
        }
    }
}
