//! What has been in force.
//!
//! An entry names the objects of one version of the head. What a version
//! changed is what differs from the entry before; [`changes`] says it.

use crate::amend;

/// One version of the head.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The version.
    pub version: ids::Version,
    /// The signed document that was in force.
    pub bundle: Option<ids::Digest>,
    /// The amendments that were in force.
    pub amendments: Option<ids::Digest>,
}

/// The changes that lead from `old` to `new` amendments.
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
