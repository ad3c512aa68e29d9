//! Membership: runs the view of the head and carries out its outputs.

use store::{table, vm};

use crate::{Config, Node, Output, event, operator, peer, system};

/// Creates a view that has not read the head yet.
pub fn new_view(config: &Config) -> member::View {
    member::View::new(member::Config::new(config.member(), config.seed))
}

/// Runs the periodic work of the view.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    run_view(node, now, out, |view, outputs| view.tick(now, outputs));
}

/// Handles an answer of the table service.
pub fn handle_table_answer(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: store::Result<table::Answer>,
    out: &mut Vec<Output>,
) {
    run_view(node, now, out, |view, outputs| view.on_table_answer(now, op, result, outputs));
}

/// Handles a message from another VM.
pub fn handle_message(
    node: &mut Node,
    now: ids::Time,
    from: &ids::Vm,
    incarnation: ids::Incarnation,
    message: peer::Message,
    out: &mut Vec<Output>,
) {
    match message {
        peer::Message::Member(message) => {
            run_view(node, now, out, |view, outputs| {
                view.on_message(now, from, incarnation, message, outputs);
            });
        }
        peer::Message::Fetch { digest } => system::fetch::send_object(node, from, digest, out),
        peer::Message::Object { text } => system::fetch::handle_peer_object(node, now, &text, out),
        peer::Message::Quota(message) => {
            system::quota::handle_message(node, now, from, incarnation, message, out);
        }
    }
}

/// Handles the platform's list of machines.
pub fn handle_vms(node: &mut Node, now: ids::Time, entries: &[vm::Entry], out: &mut Vec<Output>) {
    run_view(node, now, out, |view, outputs| view.on_vm_list(now, entries, outputs));
}

/// Submits a change of the head whose objects are stored.
pub fn submit_change(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    change: member::Change,
    out: &mut Vec<Output>,
) {
    run_view(node, now, out, |view, outputs| view.request_change(now, op, change, outputs));
}

/// Reports to the view that a version is in force on this VM.
pub fn report_adopted(
    node: &mut Node,
    now: ids::Time,
    version: ids::Version,
    out: &mut Vec<Output>,
) {
    run_view(node, now, out, |view, outputs| view.on_adopted(now, version, outputs));
}

/// Removes this VM from the head.
pub fn leave_head(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    run_view(node, now, out, |view, outputs| view.leave(now, outputs));
}

/// Runs a function on the view and carries out its outputs.
fn run_view(
    node: &mut Node,
    now: ids::Time,
    out: &mut Vec<Output>,
    run: impl FnOnce(&mut member::View, &mut Vec<member::Output>),
) {
    let mut outputs = Vec::new();
    run(&mut node.view, &mut outputs);
    for output in outputs {
        apply_output(node, now, output, out);
    }
}

fn apply_output(node: &mut Node, now: ids::Time, output: member::Output, out: &mut Vec<Output>) {
    match output {
        member::Output::Table { op, request } => out.push(Output::Table { op, request }),
        member::Output::Peer { to, message } => {
            let message = peer::Message::Member(message);
            out.push(Output::Peer { to, message });
        }
        member::Output::Adopt(head) => system::fetch::adopt(node, now, *head, out),
        member::Output::Members(members) => out.push(Output::Members(members)),
        member::Output::Settled(version) => system::quota::handle_settled(node, now, version),
        member::Output::Changed { op, outcome } => {
            out.push(Output::Operator { op, reply: operator_reply(outcome) });
        }
        member::Output::Serving { serving, reason } => {
            let reason = reason.map(|reason| reason.to_string()).unwrap_or_default();
            let text = if serving { "serving".to_owned() } else { format!("fenced: {reason}") };
            out.push(Output::Log(event::Event::new("head", &node.config.vm, text)));
        }
        member::Output::Left => system::stop::handle_left(node, out),
        member::Output::Log(text) => {
            out.push(Output::Log(event::Event::new("head", &node.config.vm, text)));
        }
    }
}

fn operator_reply(outcome: member::Outcome) -> operator::Reply {
    match outcome {
        member::Outcome::InForce { version, fenced } => {
            operator::Reply::InForce { version, fenced }
        }
        member::Outcome::Refused { reason } => operator::Reply::Refused { reason },
        member::Outcome::Unknown { reason } => operator::Reply::Unknown { reason },
    }
}
