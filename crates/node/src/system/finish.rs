//! Completion of calls.

use std::time;

use crate::{Node, Output, call, calls, count, event, system};

/// How long a complete stream is retained for a disconnected caller.
const FINISHED_STREAM_TTL: time::Duration = time::Duration::from_secs(30);

/// Ends a call: settles its tokens, records metrics and sends the result to the caller.
///
/// A complete stream whose caller is disconnected is retained for a resume.
pub fn finish(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    ending: call::Ending,
    out: &mut Vec<Output>,
) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    let is_kept = row.caller.is_none() && matches!(ending, call::Ending::Done { .. });
    system::quota::settle(node, now, call);
    measure_call(node, call, &ending, out);
    if is_kept {
        retain_stream(node, now, call, ending);
        return;
    }
    let Some(row) = node.calls.remove(call) else {
        return;
    };
    if let Some(caller) = row.caller {
        out.push(Output::Finish { call: caller, ending });
    }
}

/// Ends a call that was not inserted into the table.
pub fn refuse(
    node: &mut Node,
    caller: ids::Call,
    account: Option<ids::Account>,
    ending: call::Ending,
    out: &mut Vec<Output>,
) {
    measure(node, account, &ending, 0, out);
    out.push(Output::Finish { call: caller, ending });
}

/// Ends a call with an error.
///
/// A call of which no byte was sent has not run. The outcome of a call that was
/// sent is unknown, because it may have run even if its target seems dead.
pub fn fail(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    code: call::Code,
    message: impl Into<String>,
    out: &mut Vec<Output>,
) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    let outcome = if row.may_have_run() { call::Outcome::Unknown } else { call::Outcome::NotRun };
    let ending = call::Ending::Failed { outcome, code, message: message.into(), retry_after: None };
    finish(node, now, call, ending, out);
}

/// Drops retained streams and aborts detached calls when their time is over.
pub fn expire_detached(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    for call in node.calls.detached_longer_than(now, FINISHED_STREAM_TTL) {
        node.calls.remove(call);
    }
    for call in node.calls.detached_longer_than(now, node.config.detach_for) {
        let is_open = node.calls.rows.get(&call).is_some_and(|row| row.stage != calls::Stage::Kept);
        if is_open {
            system::attempt::abandon(node, now, call, out);
        }
    }
}

fn retain_stream(node: &mut Node, now: ids::Time, call: ids::Call, ending: call::Ending) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    if let calls::Stage::Sent { attempt } = row.stage {
        node.calls.attempts.remove(&attempt);
    }
    row.stage = calls::Stage::Kept;
    row.ending = Some(ending);
    row.away_since = Some(now);
}

fn measure_call(node: &mut Node, call: ids::Call, ending: &call::Ending, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    let account = row.account.clone();
    let tokens = row.used_tokens();
    measure(node, account, ending, tokens, out);
}

fn measure(
    node: &mut Node,
    account: Option<ids::Account>,
    ending: &call::Ending,
    tokens: u64,
    out: &mut Vec<Output>,
) {
    let outcome = ending.outcome();
    let code = match ending {
        call::Ending::Failed { code, .. } => Some(*code),
        _ => None,
    };
    node.counters.increment(match outcome {
        call::Outcome::Answered => count::ANSWERED,
        call::Outcome::NotRun => count::NOT_RUN,
        call::Outcome::Unknown => count::UNKNOWN,
    });
    node.counters.add(count::TOKENS, tokens);
    out.push(Output::Measure(event::Measure::Ended { account, outcome, code, tokens }));
}
