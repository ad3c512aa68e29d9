//! Requests of operators.

use std::sync;

use bundle::amend;
use store::{object, table};

use crate::{Node, Output, operator, system};

/// A change whose object is being stored.
#[derive(Clone, Debug)]
pub struct Pending {
    op: ids::Op,
    change: member::Change,
}

/// Maximum number of history entries in a reply.
const MAX_HISTORY_ENTRIES: usize = 1_000;

/// Maximum number of operator requests that wait for a row or an object.
const MAX_PENDING_READS: usize = 64;

/// Handles a request of an operator.
pub fn handle_request(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    request: operator::Request,
    out: &mut Vec<Output>,
) {
    match request {
        operator::Request::Accept { document, replaces } => {
            accept(node, op, document, replaces, out);
        }
        operator::Request::Amend(change) => amend(node, op, &change, out),
        operator::Request::Document => send_document(node, op, out),
        operator::Request::Amendments => send_amendments(node, op, out),
        operator::Request::History => {
            let read_op = begin_read(node, op);
            let request = member::row::history_request(MAX_HISTORY_ENTRIES);
            out.push(Output::Table { op: read_op, request });
        }
        operator::Request::Object(digest) => {
            let read_op = begin_read(node, op);
            out.push(Output::Object { op: read_op, request: object::Request::Get { digest } });
        }
        operator::Request::Status => {
            let reply = operator::Reply::Status(Box::new(node.status(now)));
            out.push(Output::Operator { op, reply });
        }
        operator::Request::State => {
            let reply = operator::Reply::State(node.dump(now));
            out.push(Output::Operator { op, reply });
        }
    }
}

/// Handles an answer of the object store to a read or to the write of a change's object.
pub fn handle_object_answer(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: store::Result<object::Answer>,
    out: &mut Vec<Output>,
) {
    if let Some(operator_op) = node.pending_reads.remove(&op) {
        out.push(Output::Operator { op: operator_op, reply: object_reply(result) });
        return;
    }
    let Some(pending) = node.pending_changes.remove(&op) else {
        return;
    };
    match result {
        Ok(object::Answer::Stored) => {
            system::member::submit_change(node, now, pending.op, pending.change, out);
        }
        Ok(object::Answer::Object(_)) => refuse(pending.op, "store object: unexpected answer", out),
        Err(fault) => refuse(pending.op, fault.to_string(), out),
    }
}

/// Returns a new operation that reads something for the operator request `op`.
fn begin_read(node: &mut Node, op: ids::Op) -> ids::Op {
    if node.pending_reads.len() >= MAX_PENDING_READS {
        // The answer to the oldest read was lost or its operator has disconnected.
        node.pending_reads.pop_first();
    }
    let read_op = node.next_op();
    node.pending_reads.insert(read_op, op);
    read_op
}

/// Handles the table service's answer to a read of the history.
pub fn handle_table_answer(
    node: &mut Node,
    op: ids::Op,
    result: store::Result<table::Answer>,
    out: &mut Vec<Output>,
) {
    let Some(operator_op) = node.pending_reads.remove(&op) else {
        return;
    };
    let reply = match result {
        Ok(table::Answer::Rows(rows)) => {
            operator::Reply::History(member::row::history_entries(&rows))
        }
        Ok(_) => unknown_reply("read history: unexpected answer"),
        Err(fault) => unknown_reply(fault.to_string()),
    };
    out.push(Output::Operator { op: operator_op, reply });
}

fn object_reply(result: store::Result<object::Answer>) -> operator::Reply {
    match result {
        Ok(object::Answer::Object(Some(text))) => operator::Reply::Document(text),
        Ok(object::Answer::Object(None)) => {
            operator::Reply::Refused { reason: "there is no such object".to_owned() }
        }
        Ok(object::Answer::Stored) => unknown_reply("read object: unexpected answer"),
        Err(fault) => unknown_reply(fault.to_string()),
    }
}

fn unknown_reply(reason: impl Into<String>) -> operator::Reply {
    operator::Reply::Unknown { reason: reason.into() }
}

fn accept(
    node: &mut Node,
    op: ids::Op,
    document: sync::Arc<str>,
    replaces: Option<ids::Version>,
    out: &mut Vec<Output>,
) {
    if let Err(reason) = validate(node, &document) {
        return refuse(op, reason, out);
    }
    let known = node.version();
    if replaces.is_some_and(|replaces| replaces != known) {
        return refuse(op, format!("version {known} is in force, not the one replaced"), out);
    }
    let bundle = ids::Digest::of(document.as_bytes());
    let replaces = node.head.bundle;
    store_object(node, op, document, member::Change::Bundle { bundle, replaces }, out);
}

/// Checks signature and content, so that the head never names an invalid bundle.
fn validate(node: &Node, document: &str) -> Result<(), String> {
    let signers = &node.config.signers;
    bundle::signed::open(document, signers).map_err(|cause| cause.to_string())?;
    let signed = bundle::signed::Document::parse(document).map_err(|cause| cause.to_string())?;
    let faults = bundle::check::run(&signed.bundle).faults;
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    Err(lines.join("\n"))
}

fn amend(node: &mut Node, op: ids::Op, change: &amend::Change, out: &mut Vec<Output>) {
    let Some(index) = node.index.clone() else {
        return refuse(op, "no bundle is in force yet", out);
    };
    if let Err(reason) = check_change(&index, change) {
        return refuse(op, reason, out);
    }
    let mut amendments = (*index.amendments).clone();
    let is_new = amendments.apply(change);
    if !is_new {
        let version = node.version();
        let reply = operator::Reply::InForce { version, fenced: Vec::new() };
        out.push(Output::Operator { op, reply });
        return;
    }
    let text = match serde_json::to_string(&amendments) {
        Ok(text) => text,
        Err(cause) => return refuse(op, cause.to_string(), out),
    };
    let withdrawn = match change {
        amend::Change::Withdraw(key) => Some(key.clone()),
        _ => None,
    };
    let amendments = ids::Digest::of(text.as_bytes());
    let replaces = node.head.amendments;
    let change = member::Change::Amend { amendments, replaces, withdrawn };
    store_object(node, op, text.into(), change, out);
}

fn check_change(index: &crate::index::Index, change: &amend::Change) -> Result<(), String> {
    match change {
        amend::Change::Issue(issue) if index.account(&issue.account).is_none() => {
            Err(format!("no account {} is in force", issue.account))
        }
        amend::Change::Withdraw(key) if !index.knows_key(key) => {
            Err(format!("no key {key} was issued"))
        }
        amend::Change::Drain(target) if !index.has_target(target) => {
            Err(format!("no target {target} is in force"))
        }
        _ => Ok(()),
    }
}

fn send_document(node: &mut Node, op: ids::Op, out: &mut Vec<Output>) {
    let reply = match &node.document {
        Some(text) => operator::Reply::Document(sync::Arc::clone(text)),
        None => operator::Reply::Refused { reason: "no bundle is in force yet".to_owned() },
    };
    out.push(Output::Operator { op, reply });
}

fn send_amendments(node: &Node, op: ids::Op, out: &mut Vec<Output>) {
    let reply = match &node.index {
        Some(index) => operator::Reply::Amendments((*index.amendments).clone()),
        None => operator::Reply::Refused { reason: "no bundle is in force yet".to_owned() },
    };
    out.push(Output::Operator { op, reply });
}

/// Stores the object of a change, which the head names only after that.
fn store_object(
    node: &mut Node,
    op: ids::Op,
    text: sync::Arc<str>,
    change: member::Change,
    out: &mut Vec<Output>,
) {
    system::fetch::cache_text(node, sync::Arc::clone(&text));
    let store = node.next_op();
    node.pending_changes.insert(store, Pending { op, change });
    out.push(Output::Object { op: store, request: object::Request::Put { text } });
}

fn refuse(op: ids::Op, reason: impl Into<String>, out: &mut Vec<Output>) {
    let reply = operator::Reply::Refused { reason: reason.into() };
    out.push(Output::Operator { op, reply });
}
