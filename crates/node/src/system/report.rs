//! Reports of runners and the platform's list of machines.

use std::time;

use platform::vm;

use crate::{Node, Output, system};

/// Time between two looks at the platform's list of machines.
const VMS_EVERY: time::Duration = time::Duration::from_secs(2);

/// When what was last asked for.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    reports_at: ids::Time,
    vms_at: ids::Time,
    vms_op: Option<ids::Op>,
}

/// Asks for reports and for the list when their time has come.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    if node.schedule.reports_at <= now {
        node.schedule.reports_at = now + node.config.report_every;
        ask(node, out);
    }
    if node.schedule.vms_at <= now {
        node.schedule.vms_at = now + VMS_EVERY;
        let op = node.next_op();
        node.schedule.vms_op = Some(op);
        out.push(Output::Vms { op });
    }
}

/// Takes in what a runner said of itself, or that it said nothing.
pub fn report(
    node: &mut Node,
    now: ids::Time,
    target: &ids::Target,
    report: Option<&engine::Report>,
) {
    system::dispatch::report(node, now, target, report);
    if let Some(report) = report {
        system::plan::report(node, now, target, report);
    }
}

/// Takes in the platform's list: leaving machines get no new work.
pub fn vms(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: platform::Result<Vec<vm::Entry>>,
    out: &mut Vec<Output>,
) {
    if node.schedule.vms_op != Some(op) {
        return;
    }
    node.schedule.vms_op = None;
    let Ok(entries) = result else {
        return;
    };
    system::dispatch::listed(node, &entries);
    system::member::vms(node, now, &entries, out);
}

fn ask(node: &Node, out: &mut Vec<Output>) {
    let Some(force) = &node.force else {
        return;
    };
    for runner in &force.bundle.runners {
        let target = runner.name.clone();
        let address = std::sync::Arc::clone(&runner.address);
        out.push(Output::Report { target, address });
    }
}
