//! Placement on runners: runs the planner and carries out its outputs.

use std::{sync, time};

use store::table;

use crate::{Config, Node, Output, event};

/// Interval between runs of the planner.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval between updates of the items that targets offer.
const OFFERS_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Creates a planner without runners.
pub fn new_planner(config: &Config) -> plan::Planner {
    plan::Planner::new(plan::Config::new(sender(&config.member())))
}

/// Applies runners, models and members of the bundle and head in force.
pub fn adopt(node: &mut Node, now: ids::Time, head: &member::Head) {
    let Some(index) = &node.index else {
        return;
    };
    let members: Vec<_> = head.members.iter().map(sender).collect();
    node.planner.apply_bundle(now, &index.bundle, &members, &index.amendments.drained);
    refresh_offers(node, now);
}

/// Records a runner's report, which was requested at `asked`.
pub fn record_report(
    node: &mut Node,
    now: ids::Time,
    target: &ids::Target,
    asked: ids::Time,
    report: &engine::Report,
) {
    node.planner.record_report(now, target, asked, report);
}

/// Handles a runner's reply to an order.
pub fn handle_order_reply(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    reply: engine::order::Reply,
) {
    node.planner.record_reply(now, op, reply);
}

/// Records whether a target is leaving.
pub fn set_leaving(node: &mut Node, target: &ids::Target, leaving: bool) {
    node.planner.set_leaving(target, leaving);
}

/// Records the token limit of a call as demand for its item.
pub fn record_demand(node: &mut Node, now: ids::Time, call: ids::Call) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if row.need.max_tokens > 0 {
        node.planner.record_demand(now, &row.need.item, row.need.token_limit());
    }
}

/// Handles an answer of the table service.
pub fn handle_table_answer(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: store::Result<table::Answer>,
    out: &mut Vec<Output>,
) {
    run_planner(node, out, |planner, outputs| planner.handle_answer(now, op, result, outputs));
}

/// Runs the planner and updates offers when they are due; a fenced VM does not plan.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    if node.next_plan_at <= now && node.check_serving(now).is_ok() {
        node.next_plan_at = now + PLAN_INTERVAL;
        run_planner(node, out, |planner, outputs| planner.tick(now, outputs));
    }
    if node.next_offers_at <= now {
        node.next_offers_at = now + OFFERS_INTERVAL;
        refresh_offers(node, now);
    }
}

/// Returns the items of the bundle that no target is ready to serve.
#[must_use]
pub fn unreachable(node: &Node, now: ids::Time) -> Vec<sync::Arc<str>> {
    node.planner.unreachable_items(now)
}

/// Returns the ledger as JSON.
#[must_use]
pub fn dump(node: &Node) -> serde_json::Value {
    let rows = node.planner.ledgers();
    rows.map(|(target, row)| (target.to_string(), serde_json::json!(row))).collect()
}

fn sender(member: &member::Member) -> plan::ledger::Sender {
    plan::ledger::Sender { vm: member.vm.clone(), incarnation: member.incarnation }
}

/// Updates the table of targets with the items that each of them can serve.
fn refresh_offers(node: &mut Node, now: ids::Time) {
    for (target, items) in node.planner.offers(now) {
        node.targets.set_ready_items(&target, &items);
    }
}

fn run_planner(
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
