//! Claims and stored answers of calls that run at most once.

use std::time;

use store::table;

use crate::{Config, Node, Output, call, calls, count, system};

/// `Retry-After` sent when a call with the same key is running or the claim cannot be written.
const CLAIM_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Claims a call that runs at most once; any other call is queued at once.
pub fn begin(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    let Some(claim) = row.claim.clone() else {
        return system::dispatch::enqueue(node, now, call, out);
    };
    row.stage = calls::Stage::Claim;
    let account = row.account.clone().unwrap_or_else(|| "".into());
    let claim =
        journal::Call { call, account, route: claim.route, key: claim.key, digest: claim.digest };
    run_journal(node, now, out, |journal, outputs| journal.begin(now, claim, outputs));
}

/// Delivers the answer of a call; that of a claimed call is stored first.
pub fn store_answer(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    answer: journal::Answer,
    out: &mut Vec<Output>,
) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    let is_claimed = row.claim.is_some();
    let ending = answer_ending(answer.clone(), false);
    if !is_claimed {
        return system::finish::finish(node, now, call, ending, out);
    }
    row.stage = calls::Stage::Store;
    row.ending = Some(ending);
    run_journal(node, now, out, |journal, outputs| {
        journal.store_answer(now, call, answer, outputs);
    });
}

/// Records that a call may have run and that its answer is lost.
pub fn mark_lost(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    run_journal(node, now, out, |journal, outputs| journal.mark_lost(now, call, outputs));
}

/// Releases the claim of a call that has not run, so that its key can be used again.
pub fn release(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if row.claim.is_none() || row.may_have_run() {
        return;
    }
    run_journal(node, now, out, |journal, outputs| journal.release(now, call, outputs));
}

/// Runs a function on the journal and carries out its outputs.
fn run_journal(
    node: &mut Node,
    now: ids::Time,
    out: &mut Vec<Output>,
    run: impl FnOnce(&mut journal::Journal, &mut Vec<journal::Output>),
) {
    let mut outputs = Vec::new();
    run(&mut node.journal, &mut outputs);
    for output in outputs {
        match output {
            journal::Output::Table { op, request } => out.push(Output::Table { op, request }),
            journal::Output::Send { call } => handle_claimed(node, now, call, out),
            journal::Output::Replay { call, answer } => {
                node.counters.increment(count::REPLAYED);
                let ending = answer_ending(answer, true);
                system::finish::finish(node, now, call, ending, out);
            }
            journal::Output::Refuse { call, reason } => refuse(node, now, call, reason, out),
            journal::Output::Stored { call, .. } => handle_stored(node, now, call, out),
            journal::Output::Released { .. } => {}
        }
    }
}

/// Queues a call whose claim is written; releases the claim if the call has ended.
fn handle_claimed(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    if node.calls.rows.contains_key(&call) {
        return system::dispatch::enqueue(node, now, call, out);
    }
    run_journal(node, now, out, |journal, outputs| journal.release(now, call, outputs));
}

fn handle_stored(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    if let Some(ending) = row.ending.take() {
        system::finish::finish(node, now, call, ending, out);
    }
}

fn refuse(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    reason: journal::Reason,
    out: &mut Vec<Output>,
) {
    let ending = match reason {
        journal::Reason::Conflict => call::Ending::refused(
            call::Code::IdempotencyConflict,
            "the idempotency key belongs to another request",
        ),
        journal::Reason::InProgress => unknown_outcome(
            call::Code::InProgress,
            "a call with this idempotency key is running; ask again",
        )
        .with_retry_after(CLAIM_RETRY_AFTER),
        journal::Reason::Unknown => unknown_outcome(
            call::Code::TargetFailed,
            "a call with this idempotency key may have run; its answer is lost",
        ),
        journal::Reason::Unavailable => call::Ending::refused(
            call::Code::StoreUnavailable,
            "the call could not be recorded and was not sent",
        )
        .with_retry_after(CLAIM_RETRY_AFTER),
    };
    system::finish::finish(node, now, call, ending, out);
}

fn unknown_outcome(code: call::Code, message: &str) -> call::Ending {
    call::Ending::Failed {
        outcome: call::Outcome::Unknown,
        code,
        message: message.to_owned(),
        retry_after: None,
    }
}

fn answer_ending(answer: journal::Answer, replayed: bool) -> call::Ending {
    let journal::Answer { status, media, body } = answer;
    call::Ending::Answer { status, media, body, replayed }
}

/// Creates a journal without claims.
pub fn new_journal(config: &Config) -> journal::Journal {
    let journal = journal::Config::new(config.vm.clone(), config.incarnation, config.seed);
    journal::Journal::new(journal)
}

/// Updates the members, whose claims may still be running.
pub fn adopt(node: &mut Node, head: &member::Head) {
    let members: Vec<_> =
        head.members.iter().map(|member| (member.vm.clone(), member.incarnation)).collect();
    node.journal.set_members(&members);
}

/// Handles an answer of the table service.
pub fn handle_table_answer(
    node: &mut Node,
    now: ids::Time,
    op: ids::Op,
    result: store::Result<table::Answer>,
    out: &mut Vec<Output>,
) {
    run_journal(node, now, out, |journal, outputs| {
        journal.handle_table_answer(now, op, result, outputs);
    });
}

/// Runs the periodic work of the journal.
pub fn tick(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    run_journal(node, now, out, |journal, outputs| journal.tick(now, outputs));
}

/// Writes pending claims and answers at once if no transaction is in flight.
///
/// During a transaction they are batched for the next one. An idle VM adds no
/// delay to the round trip to the store, and a busy VM writes in batches.
pub fn flush(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    let summary = node.journal.summary();
    if summary.claiming + summary.settling > 0 && summary.transactions == 0 {
        tick(node, now, out);
    }
}

/// Whether no claim is open and nothing is left to be written.
pub fn is_idle(node: &Node) -> bool {
    let summary = node.journal.summary();
    summary.claiming + summary.running + summary.settling + summary.transactions == 0
}
