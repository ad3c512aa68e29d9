//! Reports of runners and the platform's list of machines.

use std::{collections, sync, time};

use store::vm;

use crate::{Node, Output, system};

/// Time between two looks at the platform's list of machines.
const VMS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Time after which a runner that has not answered is asked again.
///
/// It is longer than the shell's own limit, so that an answer is never taken
/// for that to a later question.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// When what is asked for next.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    next_report_at: collections::BTreeMap<ids::Target, ids::Time>,
    in_flight: collections::BTreeMap<ids::Target, ids::Time>,
    next_vms_at: ids::Time,
    vms_op: Option<ids::Op>,
}

/// Takes the runners to be asked from what is in force.
///
/// The first reports of new runners are spread over one period, so that the
/// VMs of a fleet that restarts do not ask all at once.
pub fn adopt(node: &mut Node, now: ids::Time) {
    let Some(index) = node.index.clone() else {
        return;
    };
    let known = std::mem::take(&mut node.schedule.next_report_at);
    let runners = &index.bundle.runners;
    let step = node.config.report_every / u32::try_from(runners.len().max(1)).unwrap_or(u32::MAX);
    let mut first = now;
    for runner in runners {
        first = first + step;
        let at = known.get(&runner.name).copied().unwrap_or(first);
        node.schedule.next_report_at.insert(runner.name.clone(), at);
    }
}

/// Asks for reports and for the list when their time has come.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    let due = due_runners(node, now);
    for target in due {
        let Some(row) = node.targets.get(&target) else {
            continue;
        };
        let address = sync::Arc::clone(&row.address);
        let at = now + report_interval(node);
        node.schedule.next_report_at.insert(target.clone(), at);
        node.schedule.in_flight.insert(target.clone(), now);
        out.push(Output::Report { target, address });
    }
    if node.schedule.next_vms_at <= now {
        node.schedule.next_vms_at = now + VMS_INTERVAL;
        let op = node.next_op();
        node.schedule.vms_op = Some(op);
        out.push(Output::Vms { op });
    }
}

/// Runners whose time has come and that owe no earlier answer.
fn due_runners(node: &Node, now: ids::Time) -> Vec<ids::Target> {
    let Schedule { next_report_at, in_flight, .. } = &node.schedule;
    let is_in_flight = |target: &ids::Target| {
        let at: Option<&ids::Time> = in_flight.get(target);
        at.is_some_and(|at| now.since(*at) < ANSWER_TIMEOUT)
    };
    let due = next_report_at.iter().filter(|(target, at)| **at <= now && !is_in_flight(target));
    due.map(|(target, _)| target.clone()).collect()
}

/// Time between two reports of a runner.
///
/// All runners together are asked for about `reports_per_second`, but none
/// less often than `report_at_least`, for a runner that is silent for long
/// counts as lost. The VM that plans asks more often, for a load is done only
/// when a report shows it.
fn report_interval(node: &Node) -> time::Duration {
    let config = &node.config;
    if node.planner.is_leader() {
        return config.report_every;
    }
    let seconds = node.schedule.next_report_at.len() as f64 / config.reports_per_second;
    let period = time::Duration::from_secs_f64(seconds);
    period.clamp(config.report_every, config.report_at_least)
}

/// Takes in what a runner said of itself, or that it said nothing.
pub fn handle_report(
    node: &mut Node,
    now: ids::Time,
    target: &ids::Target,
    report: Option<&engine::Report>,
) {
    let asked = node.schedule.in_flight.remove(target).unwrap_or(now);
    system::dispatch::record_report(node, now, target, report);
    if let Some(report) = report {
        system::plan::record_report(node, now, target, asked, report);
    }
}

/// Takes in the platform's list: leaving machines get no new work.
pub fn handle_vms(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: store::Result<Vec<vm::Entry>>,
    out: &mut Vec<Output>,
) {
    if node.schedule.vms_op != Some(op) {
        return;
    }
    node.schedule.vms_op = None;
    let Ok(entries) = result else {
        return;
    };
    for entry in &entries {
        let target = entry.name.as_str().into();
        let leaving = entry.state == vm::State::Leaving;
        system::dispatch::set_leaving(node, &target, leaving);
        system::plan::set_leaving(node, &target, leaving);
    }
    system::member::handle_vms(node, now, &entries, out);
}
