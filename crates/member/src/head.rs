//! The head row of the table service.
//!
//! Every change of configuration, keys or membership is a change of this one
//! row from version v to v+1 by compare-and-set. The row's version in the
//! table service is the version of the configuration.

use std::sync;

/// Key of the head row.
pub const KEY: &str = "head";

/// A VM that serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Its incarnation: a restarted VM is another member.
    pub incarnation: ids::Incarnation,
    /// Its data centre.
    pub centre: ids::Centre,
    /// Address of its peer face: IP number and port.
    pub peer: sync::Arc<str>,
}

/// What is in force, and who serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// Version, equal to the version of the row.
    pub version: ids::Version,
    /// The bundle's object; none before the first was accepted.
    pub bundle: Option<ids::Digest>,
    /// The amendments' object; none before the first was made.
    pub amendments: Option<ids::Digest>,
    /// The VMs that serve, in the order of their names.
    pub members: Vec<Member>,
    /// Names of the members that keep notices of pending changes.
    pub witnesses: Vec<ids::Vm>,
}
