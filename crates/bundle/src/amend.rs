//! Changes that operators make between bundles.
//!
//! All amendments are stored as one object, which the head refers to by its
//! digest. They persist across bundles: a withdrawn key stays withdrawn under
//! every later bundle.

use std::collections;

use crate::key;

/// A key issued to an account between bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Issue {
    /// The account that calls with this key are charged to.
    pub account: ids::Account,
    /// The key's public id and digest.
    pub key: key::Entry,
}

/// All changes that operators have made between bundles.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Amendments {
    /// Keys issued, in the order in which they were issued.
    pub issued: Vec<Issue>,
    /// Keys withdrawn; a withdrawal is permanent.
    pub withdrawn: collections::BTreeSet<ids::Key>,
    /// Targets that are drained now.
    pub drained: collections::BTreeSet<ids::Target>,
}

/// One change to the amendments.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Admit calls with a new key.
    Issue(Issue),
    /// Refuse all further calls with a key.
    Withdraw(ids::Key),
    /// Send no new work to a target.
    Drain(ids::Target),
    /// Send work to a drained target again.
    Return(ids::Target),
}

impl Amendments {
    /// Applies a change and returns whether it had any effect.
    ///
    /// Issuing a key whose id was issued before has none.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Issue(issue) => {
                let is_new = self.issued.iter().all(|known| known.key.id != issue.key.id);
                if is_new {
                    self.issued.push(issue.clone());
                }
                is_new
            }
            Change::Withdraw(key) => self.withdrawn.insert(key.clone()),
            Change::Drain(target) => self.drained.insert(target.clone()),
            Change::Return(target) => self.drained.remove(target),
        }
    }
}
