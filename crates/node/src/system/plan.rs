//! What the runners hold: the ledger, loads and unloads.

use std::{sync, time};

use store::table;

use crate::{Config, Node, Output, event};

/// Time between two runs of the planner.
const PLAN_EVERY: time::Duration = time::Duration::from_millis(100);

/// Time between two looks at what the runners offer.
const OFFERS_EVERY: time::Duration = time::Duration::from_millis(250);

/// A planner without runners.
pub fn planner(config: &Config) -> plan::Planner {
    plan::Planner::new(plan::Config::new(sender(&config.member())))
}

/// Takes runners, models and members from what is in force.
pub fn adopt(node: &mut Node, now: ids::Time, head: &member::Head) {
    let Some(index) = &node.index else {
        return;
    };
    let members: Vec<_> = head.members.iter().map(sender).collect();
    node.planner.apply_bundle(now, &index.bundle, &members, &index.amendments.drained);
    offer(node, now);
}

/// Takes in what a runner says that it holds, asked at `asked`.
pub fn report(
    node: &mut Node,
    now: ids::Time,
    target: &ids::Target,
    asked: ids::Time,
    report: &engine::Report,
) {
    node.planner.record_report(now, target, asked, report);
}

/// Takes in how a runner took an order.
pub fn order(node: &mut Node, now: ids::Time, op: ids::Op, reply: engine::order::Reply) {
    node.planner.record_reply(now, op, reply);
}

/// Notes that a target is leaving, or is not any more.
pub fn leave(node: &mut Node, target: &ids::Target, leaving: bool) {
    node.planner.set_leaving(target, leaving);
}

/// Counts a call's tokens as demand for its item.
pub fn demand(node: &mut Node, now: ids::Time, call: ids::Call) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if row.need.max_tokens > 0 {
        node.planner.record_demand(now, &row.need.item, row.need.token_limit());
    }
}

/// Takes in an answer of the table service.
pub fn answer(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: store::Result<table::Answer>,
    out: &mut Vec<Output>,
) {
    with(node, out, |planner, outputs| planner.handle_answer(now, op, result, outputs));
}

/// Lets time pass. A fenced VM plans nothing.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    if node.plan_at <= now && node.serves(now).is_ok() {
        node.plan_at = now + PLAN_EVERY;
        with(node, out, |planner, outputs| planner.tick(now, outputs));
    }
    if node.offers_at <= now {
        node.offers_at = now + OFFERS_EVERY;
        offer(node, now);
    }
}

/// Items of the bundle that no target is ready to serve.
#[must_use]
pub fn unreachable(node: &Node, now: ids::Time) -> Vec<sync::Arc<str>> {
    node.planner.unreachable_items(now)
}

/// The ledger as JSON.
#[must_use]
pub fn dump(node: &Node) -> serde_json::Value {
    let rows = node.planner.ledgers();
    rows.map(|(target, row)| (target.to_string(), serde_json::json!(row))).collect()
}

fn sender(member: &member::Member) -> plan::ledger::Sender {
    plan::ledger::Sender { vm: member.vm.clone(), incarnation: member.incarnation }
}

/// Tells the table of targets what each of them is fit to serve.
fn offer(node: &mut Node, now: ids::Time) {
    for (target, items) in node.planner.offers(now) {
        node.targets.set_ready_items(&target, &items);
    }
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
            plan::Output::Log { peer, text } => {
                out.push(Output::Log(event::Event::new("plan", &peer, text)));
            }
        }
    }
}
