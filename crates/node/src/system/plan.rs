//! What the runners hold: the ledger, loads and unloads.

use std::sync;

use platform::table;

use crate::{Config, Node, Output, event};

/// A planner without runners.
pub fn planner(config: &Config) -> plan::Planner {
    plan::Planner::new(plan::Config::new(config.vm.clone(), config.incarnation))
}

/// Takes runners, models and members from what is in force.
pub fn adopt(node: &mut Node, now: ids::Time, head: &member::Head) {
    let Some(force) = &node.force else {
        return;
    };
    let members: Vec<_> = head.members.iter().map(|member| member.vm.clone()).collect();
    node.planner.adopt(now, &force.bundle, &members, &force.amendments.drained);
}

/// Takes in what a runner says that it holds.
pub fn report(node: &mut Node, now: ids::Time, target: &ids::Target, report: &engine::Report) {
    node.planner.report(now, target, report);
    offer(node, target);
}

/// Takes in how a runner took an order.
pub fn order(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    reply: &engine::order::Reply,
    out: &mut Vec<Output>,
) {
    with(node, out, |planner, outputs| planner.order(now, op, reply, outputs));
}

/// Takes in an answer of the table service.
pub fn answer(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: platform::Result<table::Answer>,
    out: &mut Vec<Output>,
) {
    with(node, out, |planner, outputs| planner.table(now, op, result, outputs));
}

/// Lets time pass. A fenced VM plans nothing.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    if node.serves(now).is_err() {
        return;
    }
    with(node, out, |planner, outputs| planner.tick(now, outputs));
}

/// Items of the bundle that no target here is ready to serve.
#[must_use]
pub fn unreachable(node: &Node) -> Vec<sync::Arc<str>> {
    let Some(force) = &node.force else {
        return Vec::new();
    };
    let is_missing =
        |item: &&sync::Arc<str>| !node.targets.iter().any(|(_, row)| row.ready.contains(*item));
    force.items().filter(is_missing).cloned().collect()
}

fn offer(node: &mut Node, target: &ids::Target) {
    let items = node.planner.offers(target);
    node.targets.offer(target, &items);
}

fn with(
    node: &mut Node,
    out: &mut Vec<Output>,
    run: impl FnOnce(&mut plan::Planner, &mut Vec<plan::Output>),
) {
    let mut outputs = Vec::new();
    run(&mut node.planner, &mut outputs);
    for output in outputs {
        match output {
            plan::Output::Table { op, request } => out.push(Output::Table { op, request }),
            plan::Output::Order { op, target, order } => {
                let Some(row) = node.targets.get(&target) else {
                    continue;
                };
                let address = sync::Arc::clone(&row.address);
                out.push(Output::Order { op, target, address, order });
            }
            plan::Output::Log(text) => {
                out.push(Output::Log(event::Event::new("plan", &node.config.vm, text)));
            }
        }
    }
}
