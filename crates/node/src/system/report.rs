//! Polling of runner reports and of the platform's list of machines.

use std::{collections, sync, time};

use store::vm;

use crate::{Node, Output, system};

/// Interval between requests for the platform's list of machines.
const VMS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Time after which an unanswered report request is repeated.
///
/// It is longer than the shell's own timeout, so that an answer is never
/// attributed to a later request.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Times of the next polls, and requests in flight.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    next_report_at: collections::BTreeMap<ids::Target, ids::Time>,
    in_flight: collections::BTreeMap<ids::Target, ids::Time>,
    next_vms_at: ids::Time,
    vms_op: Option<ids::Op>,
}

/// Schedules report requests for the runners of the bundle in force.
///
/// The first requests to new runners are spread over one interval, so that a
/// fleet of VMs that restarts together does not send them all at once.
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

/// Requests reports and the list of machines when they are due.
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

/// Returns the runners that are due and have no request in flight.
fn due_runners(node: &Node, now: ids::Time) -> Vec<ids::Target> {
    let Schedule { next_report_at, in_flight, .. } = &node.schedule;
    let is_in_flight = |target: &ids::Target| {
        let at: Option<&ids::Time> = in_flight.get(target);
        at.is_some_and(|at| now.since(*at) < ANSWER_TIMEOUT)
    };
    let due = next_report_at.iter().filter(|(target, at)| **at <= now && !is_in_flight(target));
    due.map(|(target, _)| target.clone()).collect()
}

/// Returns the interval between report requests to one runner.
///
/// It gives about `reports_per_second` over all runners, bounded by
/// `report_at_least` because a runner without reports for long counts as lost.
/// The planning leader uses `report_every`, because a load counts as complete
/// only when a report shows it.
fn report_interval(node: &Node) -> time::Duration {
    let config = &node.config;
    if node.planner.is_leader() {
        return config.report_every;
    }
    let seconds = node.schedule.next_report_at.len() as f64 / config.reports_per_second;
    let period = time::Duration::from_secs_f64(seconds);
    period.clamp(config.report_every, config.report_at_least)
}

/// Handles a runner's report, or the failure to get one.
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

/// Handles the platform's list of machines; leaving machines receive no new calls.
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
