//! History of the configuration in force.
//!
//! An entry refers to the objects of one version of the head. A version's
//! changes are its differences from the entry before; see [`changes`].

use crate::amend;

/// One version of the head.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Version of the head.
    pub version: ids::Version,
    /// Digest of the signed document in force; `None` before the first one.
    pub bundle: Option<ids::Digest>,
    /// Digest of the amendments in force; `None` before the first change.
    pub amendments: Option<ids::Digest>,
}

/// Returns the changes that turn the amendments `old` into `new`.
#[must_use]
pub fn changes(old: &amend::Amendments, new: &amend::Amendments) -> Vec<amend::Change> {
    let is_new = |issue: &&amend::Issue| !old.issued.contains(issue);
    let issued = new.issued.iter().filter(is_new).cloned().map(amend::Change::Issue);
    let withdrawn = new.withdrawn.difference(&old.withdrawn).cloned();
    let drained = new.drained.difference(&old.drained).cloned();
    let returned = old.drained.difference(&new.drained).cloned();
    issued
        .chain(withdrawn.map(amend::Change::Withdraw))
        .chain(drained.map(amend::Change::Drain))
        .chain(returned.map(amend::Change::Return))
        .collect()
}
