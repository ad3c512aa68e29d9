//! State of the other data centres of a large fleet.
//!
//! In a large fleet, VMs exchange digests only within their data centre. One VM of each
//! data centre, its aggregator, sends a [`Summary`] of its own to the aggregators of the
//! others, and an [`Overview`] of the others to the VMs of its own. The number of
//! messages between data centres therefore does not depend on the number of VMs.

use std::{collections, sync, time};

use crate::{poison, quota, speed, target};

/// How long a report about a data centre is valid. A failed aggregator is replaced
/// within this time: a heard timeout, until its successor reports.
pub const LIFETIME: time::Duration = time::Duration::from_millis(2_500);
/// Silence of a data centre after which it counts as not reached: the time in which a failed
/// aggregator is replaced.
const REACHED_TIMEOUT: time::Duration = time::Duration::from_millis(1_600);
/// Silence of a reporter after which another VM's reports are accepted in place of its.
const REPORTER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// What an aggregator reports about itself and the VMs of its data centre.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The data centre.
    #[serde(rename = "c")]
    pub centre: ids::Centre,
    /// The aggregator.
    #[serde(rename = "o")]
    pub aggregator: ids::Vm,
    /// Incarnation of the aggregator.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// Increases with each report of this incarnation.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Version of the configuration in force at the aggregator.
    #[serde(rename = "v")]
    pub version: ids::Version,
    /// Store revision of the last change of the targets that the aggregator knows.
    #[serde(rename = "t")]
    pub targets: ids::Revision,
    /// Store revision of the membership that the aggregator knows.
    #[serde(rename = "e")]
    pub members: ids::Revision,
    /// VMs of the data centre that the aggregator does not hear.
    #[serde(rename = "x")]
    pub silent: Vec<ids::Vm>,
    /// Hash of the names of the data centres that the aggregator hears, and of its own.
    #[serde(rename = "z")]
    pub centres_hash: u64,
    /// VMs of the data centre that read the store, and the age of their last read, in ms.
    #[serde(rename = "r")]
    pub readers: Vec<(ids::Vm, u64)>,
    /// The planner and its fencing token, if it is in this data centre.
    #[serde(rename = "f")]
    pub leader: Option<(ids::Vm, ids::Fence)>,
    /// The store's era, and the lowest version that the store has stated in it, as far as the
    /// aggregator knows; `None` in the first era.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<ids::Revision>,
    /// Data centres that the aggregator hears, so that what it learns reaches them; `None` if
    /// it is of a version that does not tell.
    #[serde(rename = "rc", default, skip_serializing_if = "Option::is_none")]
    pub reached: Option<Vec<ids::Centre>>,
    /// Store revision of the drained data centres that the aggregator knows; `None` if it is
    /// of a version that does not know any.
    #[serde(rename = "ev", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<ids::Revision>,
}

/// Sums over several VMs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Sums {
    /// Usage of the accounts' quotas.
    #[serde(rename = "q")]
    pub usage: Vec<quota::Usage>,
    /// Load of the VMs' calls at each target.
    #[serde(rename = "l")]
    pub loads: Vec<(ids::Target, target::Load)>,
    /// For the planner: forecast demand per model, in busy runners.
    #[serde(rename = "m")]
    pub demand: Vec<(ids::Service, ids::Model, f64)>,
    /// For the planner: adapters used by open calls, by target.
    #[serde(rename = "a")]
    pub adapters: Vec<(ids::Target, sync::Arc<str>)>,
    /// What is new about prompt parts that crash engines.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub poison: Vec<poison::Entry>,
    /// Samples of the targets' speed since the last message that had some.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<speed::Entry>,
}

/// State of a data centre, for the aggregators of the others.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The aggregator and the VMs of the data centre.
    #[serde(rename = "h")]
    pub head: Head,
    /// Sums over the VMs of the data centre.
    #[serde(rename = "s")]
    pub sums: Sums,
}

/// State of all other data centres, for the VMs of the sender's.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Overview {
    /// The other data centres, each with the age of the report in ms.
    #[serde(rename = "h")]
    pub heads: Vec<(Head, u64)>,
    /// Sums over the VMs of the other data centres.
    #[serde(rename = "s")]
    pub sums: Sums,
}

/// The latest report about another data centre.
#[derive(Clone, Debug)]
pub struct Row {
    /// The report.
    pub head: Head,
    /// When it was up to date.
    pub at: ids::Time,
    /// Sums over the data centre's VMs; empty if the report came with an overview.
    pub sums: Sums,
}

/// The latest overview.
#[derive(Clone, Debug)]
struct Latest {
    from: ids::Vm,
    at: ids::Time,
    sums: Sums,
}

/// The other data centres.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: collections::BTreeMap<ids::Centre, Row>,
    overview: Option<Latest>,
}

impl Table {
    /// Accepts a summary of an aggregator that runs, unless it is out of date or a preferred
    /// aggregator reports about the same data centre. Returns whether it was accepted.
    pub fn accept_summary(&mut self, now: ids::Time, summary: &Summary) -> bool {
        let Summary { head, sums } = summary;
        if let Some(row) = self.rows.get(&head.centre) {
            let known = &row.head;
            let is_late = known.aggregator == head.aggregator
                && known.incarnation == head.incarnation
                && known.sequence >= head.sequence;
            if is_late || !replaces(now, &known.aggregator, row.at, &head.aggregator) {
                return false;
            }
        }
        self.overview = None;
        let row = Row { head: head.clone(), at: now, sums: sums.clone() };
        self.rows.insert(head.centre.clone(), row);
        true
    }

    /// Accepts the overview of a VM of this data centre, unless a preferred one sends
    /// overviews. Returns whether it was accepted.
    pub fn accept_overview(&mut self, now: ids::Time, from: &ids::Vm, overview: &Overview) -> bool {
        let latest = self.overview.as_ref();
        if latest.is_some_and(|latest| !replaces(now, &latest.from, latest.at, from)) {
            return false;
        }
        let Overview { heads, sums } = overview;
        for (head, age_ms) in heads {
            let at = ids::Time::from_millis(now.as_millis().saturating_sub(*age_ms));
            let is_newer = self.rows.get(&head.centre).is_none_or(|row| row.at <= at);
            if is_newer {
                let row = Row { head: head.clone(), at, sums: Sums::default() };
                self.rows.insert(head.centre.clone(), row);
            }
        }
        self.rows.values_mut().for_each(|row| row.sums = Sums::default());
        self.overview = Some(Latest { from: from.clone(), at: now, sums: sums.clone() });
        true
    }

    /// The data centres with a valid report.
    pub fn heard(&self, now: ids::Time) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(move |row| now.since(row.at) <= LIFETIME)
    }

    /// The report about a data centre, if its aggregator reported recently.
    #[must_use]
    pub fn prompt(&self, now: ids::Time, centre: &ids::Centre) -> Option<&Row> {
        self.rows.get(centre).filter(|row| now.since(row.at) <= REPORTER_TIMEOUT)
    }

    /// The data centres that an aggregator with this table reaches.
    #[must_use]
    pub fn reached(&self, now: ids::Time) -> Vec<ids::Centre> {
        let is_reached = |row: &&Row| now.since(row.at) <= REACHED_TIMEOUT;
        self.rows.values().filter(is_reached).map(|row| row.head.centre.clone()).collect()
    }

    /// Whether the aggregator of `from` reaches the data centre `to`. One that does not tell is
    /// taken to do so while it is heard.
    #[must_use]
    pub fn reaches(&self, now: ids::Time, from: &ids::Centre, to: &ids::Centre) -> bool {
        let row = self.rows.get(from).filter(|row| now.since(row.at) <= LIFETIME);
        row.is_some_and(|row| row.head.reached.as_ref().is_none_or(|reached| reached.contains(to)))
    }

    /// When a data centre was last reported about.
    #[must_use]
    pub fn last_heard(&self, centre: &ids::Centre) -> Option<ids::Time> {
        self.rows.get(centre).map(|row| row.at)
    }

    /// Removes data centres that have no VMs any more.
    pub fn retain(&mut self, is_known: impl Fn(&ids::Centre) -> bool) {
        self.rows.retain(|centre, _| is_known(centre));
    }

    /// Hash of the names of the data centres that are heard, and of `own_centre`.
    #[must_use]
    pub fn hash(&self, now: ids::Time, own_centre: &ids::Centre) -> u64 {
        let hash = |centre: &ids::Centre| route::hash::seed(centre.as_str());
        self.heard(now).fold(hash(own_centre), |sum, row| sum.wrapping_add(hash(&row.head.centre)))
    }

    /// Whether the data centres that are heard all hear the same data centres.
    #[must_use]
    pub fn agree(&self, now: ids::Time, own_centre: &ids::Centre) -> bool {
        let own = self.hash(now, own_centre);
        self.heard(now).all(|row| row.head.centres_hash == own)
    }

    /// Sums over the VMs of the other data centres, in several parts.
    pub fn sums(&self, now: ids::Time) -> impl Iterator<Item = &Sums> {
        let overview =
            self.overview.as_ref().filter(move |latest| now.since(latest.at) <= LIFETIME);
        self.heard(now).map(|row| &row.sums).chain(overview.map(|latest| &latest.sums))
    }
}

/// Whether a report of `from` replaces those of `current`, received last at `at`. Of
/// several aggregators, the one with the first name is preferred.
fn replaces(now: ids::Time, current: &ids::Vm, at: ids::Time, from: &ids::Vm) -> bool {
    from <= current || now.since(at) > REPORTER_TIMEOUT
}
