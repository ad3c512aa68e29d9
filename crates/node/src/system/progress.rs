//! Progress of drains and rollouts, for the status.
//!
//! It is computed from the tables on request, so any VM can report it, even one
//! that took no part in the change.

use std::{collections, sync};

use crate::{Node, calls, operator};

/// Returns the targets that receive no new calls, with this VM's open calls there.
#[must_use]
pub fn drains(node: &Node) -> Vec<operator::Drain> {
    let Some(index) = &node.index else {
        return Vec::new();
    };
    let open = open_calls(node);
    let drain = |(target, row): (&ids::Target, &route::target::Row)| {
        let drained = index.amendments.drained.contains(target);
        // A drained runner still serves the items of which it has the only copy.
        let serving = row.ready.iter().filter(|_| row.is_open()).cloned().collect();
        let open_calls = open.get(target).copied().unwrap_or_default();
        let is_closing = drained || !row.is_open();
        is_closing.then(|| operator::Drain { target: target.clone(), drained, serving, open_calls })
    };
    node.targets.iter().filter_map(drain).collect()
}

/// Counts the open calls of this VM at each target.
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

/// Returns models and adapters whose copies differ from what the bundle declares.
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

/// Returns the models and adapters that the bundle declares, by item.
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

/// Creates the entry of an item that runners hold and the bundle does not declare.
fn undeclared(item: &sync::Arc<str>) -> operator::Rollout {
    let item = sync::Arc::clone(item);
    operator::Rollout { item, version: None, copies: 0, residents: Vec::new() }
}

/// Whether enough copies are ready in the declared version and there are no others.
fn is_settled(rollout: &operator::Rollout) -> bool {
    let ready = rollout.runners_in(engine::report::State::Ready).count();
    ready >= rollout.copies && ready == rollout.residents.len()
}
