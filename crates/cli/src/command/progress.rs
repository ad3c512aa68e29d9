//! Progress of drains and rollouts, combined from the statuses of the VMs.

use std::{collections, fmt, sync};

use engine::report;
use node::operator;

/// The drain of one target, over all VMs that answered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub(super) struct Drain {
    target: ids::Target,
    /// Whether all VMs that answered have the drain.
    known: bool,
    /// Items that some VM still serves there because no other target has them ready.
    serving: collections::BTreeSet<sync::Arc<str>>,
    /// Calls that are open at the target, by VM.
    open_calls: collections::BTreeMap<String, usize>,
    /// Members of the fleet that were not asked or did not answer.
    silent: Vec<String>,
}

impl Drain {
    /// Combines what `statuses` report of the drain of `target`.
    pub(super) fn new(target: &ids::Target, statuses: &[&operator::Status]) -> Self {
        let find = |status: &operator::Status| {
            status.drains.iter().find(|drain| drain.target == *target).cloned()
        };
        let drains: Vec<_> = statuses.iter().filter_map(|status| find(status)).collect();
        let names = statuses.iter().map(|status| status.vm.clone());
        let calls = statuses.iter().map(|status| find(status).map_or(0, |drain| drain.open_calls));
        Self {
            target: target.clone(),
            known: !statuses.is_empty() && drains.len() == statuses.len(),
            serving: drains.iter().flat_map(|drain| &drain.serving).cloned().collect(),
            open_calls: names.zip(calls).collect(),
            silent: silent_members(statuses),
        }
    }

    /// Returns whether all members have the drain and none has an open call there.
    pub(super) fn is_done(&self) -> bool {
        let no_new_calls = self.known && self.serving.is_empty() && self.silent.is_empty();
        no_new_calls && self.open_calls.values().all(|calls| *calls == 0)
    }
}

impl fmt::Display for Drain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls: usize = self.open_calls.values().sum();
        write!(f, "{}: ", self.target)?;
        match self.serving.len() {
            _ if !self.known => f.write_str("not drained on every VM, ")?,
            0 => f.write_str("no new work, ")?,
            items => write!(f, "still serves {items} items that no other has ready, ")?,
        }
        match calls {
            0 => write!(f, "no call open")?,
            _ => write!(f, "{calls} calls open ({})", format_counts(&self.open_calls))?,
        }
        if !self.silent.is_empty() {
            let names = self.silent.join(", ");
            write!(f, "; not known of {names}: give every VM as --vm")?;
        }
        Ok(())
    }
}

/// Lists the VMs that have open calls, with their numbers.
fn format_counts(open: &collections::BTreeMap<String, usize>) -> String {
    let nonzero = open.iter().filter(|(_, calls)| **calls > 0);
    nonzero.map(|(vm, calls)| format!("{vm} {calls}")).collect::<Vec<_>>().join(", ")
}

/// Members of the fleet that are not among `statuses`.
fn silent_members(statuses: &[&operator::Status]) -> Vec<String> {
    let Some(newest) = statuses.iter().max_by_key(|status| status.version) else {
        return Vec::new();
    };
    let members = newest.members.iter().map(ToString::to_string);
    members.filter(|member| !statuses.iter().any(|status| status.vm == *member)).collect()
}

/// Describes every drain and rollout in progress, one per line.
pub(super) fn describe(statuses: &[&operator::Status]) -> Vec<String> {
    let drains = statuses.iter().flat_map(|status| &status.drains);
    let targets: collections::BTreeSet<_> = drains.map(|drain| &drain.target).collect();
    let drains = targets.into_iter().map(|target| Drain::new(target, statuses).to_string());
    // All VMs receive the reports of the same runners, and the one with the newest version has
    // the latest declaration, so its rollouts suffice.
    let newest = statuses.iter().max_by_key(|status| status.version);
    let rollouts =
        newest.into_iter().flat_map(|status| status.rollouts.iter().map(describe_rollout));
    drains.chain(rollouts).collect()
}

/// Describes which version of an item is on which runner.
fn describe_rollout(rollout: &operator::Rollout) -> String {
    let mut parts = Vec::new();
    if let Some(version) = &rollout.version {
        let ready: Vec<_> = rollout.runners_in(report::State::Ready).collect();
        let loading: Vec<_> = rollout.runners_in(report::State::Loading).collect();
        let copies = rollout.copies;
        parts.push(format!(
            "{} of {copies} copies of {version} ready{}",
            ready.len(),
            on_targets(&ready)
        ));
        if !loading.is_empty() {
            parts.push(format!("loading{}", on_targets(&loading)));
        } else if ready.len() < copies {
            parts.push("waiting for memory or for the weight store".to_owned());
        }
    } else {
        parts.push("declared no more".to_owned());
    }
    let other_version = |copy: &&operator::Copy| Some(&copy.version) != rollout.version.as_ref();
    for copy in rollout.residents.iter().filter(other_version) {
        parts.push(format!("{} {} on {}", copy.version, state_name(copy.state), copy.target));
    }
    format!("{}: {}", rollout.item, parts.join(", "))
}

const fn state_name(state: report::State) -> &'static str {
    match state {
        report::State::Loading => "loading",
        report::State::Ready => "still ready",
        report::State::Unloading => "unloading",
    }
}

/// Lists the targets after " on "; empty if there are none.
fn on_targets(targets: &[&ids::Target]) -> String {
    if targets.is_empty() {
        return String::new();
    }
    let names: Vec<_> = targets.iter().map(|target| target.as_str()).collect();
    format!(" on {}", names.join(", "))
}
