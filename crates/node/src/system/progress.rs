//! How far drains and rollouts have come, for the status.
//!
//! All of it is derived from the tables at the moment of the question, so any
//! VM can be asked, also one that has taken no part in the change.

use std::{collections, sync};

use crate::{Node, calls, operator};

/// Targets that get no new work, with the calls of this VM that are open there.
#[must_use]
pub fn drains(node: &Node) -> Vec<operator::Drain> {
    let Some(index) = &node.index else {
        return Vec::new();
    };
    let open = open_calls(node);
    let drain = |(target, row): (&ids::Target, &route::target::Row)| {
        let drained = index.amendments.drained.contains(target);
        // A drained runner stays open for what only it has a copy of.
        let serving = row.ready.iter().filter(|_| row.is_open()).cloned().collect();
        let open_calls = open.get(target).copied().unwrap_or_default();
        let is_closing = drained || !row.is_open();
        is_closing.then(|| operator::Drain { target: target.clone(), drained, serving, open_calls })
    };
    node.targets.iter().filter_map(drain).collect()
}

/// Calls of this VM that are open at each target.
fn open_calls(node: &Node) -> collections::BTreeMap<&ids::Target, usize> {
    let mut open = collections::BTreeMap::new();
    for row in node.calls.rows.values() {
        let calls::Stage::Sent { attempt } = row.stage else {
            continue;
        };
        if let Some(attempt) = node.calls.attempts.get(&attempt) {
            *open.entry(&attempt.target).or_default() += 1;
        }
    }
    open
}

/// Models and adapters that are not, or not only, ready as the bundle declares.
#[must_use]
pub fn rollouts(node: &Node, now: ids::Time) -> Vec<operator::Rollout> {
    let mut items = declared(node);
    for (target, report) in node.planner.reports(now) {
        for resident in &report.residents {
            let item = sync::Arc::clone(&resident.item);
            let rollout = items.entry(item).or_insert_with_key(undeclared);
            rollout.residents.push(operator::Copy {
                target: target.clone(),
                version: sync::Arc::clone(&resident.version),
                state: resident.state,
            });
        }
    }
    items.into_values().filter(|rollout| !is_settled(rollout)).collect()
}

/// What the bundle declares, by item.
fn declared(node: &Node) -> collections::BTreeMap<sync::Arc<str>, operator::Rollout> {
    let Some(index) = &node.index else {
        return collections::BTreeMap::new();
    };
    let models = index.bundle.models.iter().map(|model| operator::Rollout {
        item: model.name.as_str().into(),
        version: Some(sync::Arc::clone(&model.version)),
        copies: usize::try_from(model.copies).unwrap_or(usize::MAX),
        residents: Vec::new(),
    });
    let adapters = index.bundle.adapters.iter().map(|adapter| operator::Rollout {
        item: format!("{}:{}", adapter.model, adapter.name).into(),
        version: Some(sync::Arc::clone(&adapter.version)),
        copies: 1,
        residents: Vec::new(),
    });
    models.chain(adapters).map(|rollout| (sync::Arc::clone(&rollout.item), rollout)).collect()
}

/// An item that runners hold and the bundle does not declare.
fn undeclared(item: &sync::Arc<str>) -> operator::Rollout {
    let item = sync::Arc::clone(item);
    operator::Rollout { item, version: None, copies: 0, residents: Vec::new() }
}

/// Whether enough copies are ready as declared and there are no others.
fn is_settled(rollout: &operator::Rollout) -> bool {
    let ready = rollout.runners_in(engine::report::State::Ready).count();
    ready >= rollout.copies && ready == rollout.residents.len()
}
