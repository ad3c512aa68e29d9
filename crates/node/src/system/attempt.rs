//! Events of attempts: chunks, complete answers and failures.

use std::sync;

use crate::{Node, Output, call, calls, count, event, system};

/// Handles an event of an attempt.
///
/// An event of an attempt that is no longer open is dropped, so that late and
/// duplicate answers do not reach a caller.
pub fn handle_event(
    node: &mut Node,
    now: ids::Time,
    attempt: ids::Attempt,
    event: engine::Event,
    out: &mut Vec<Output>,
) {
    let Some(call) = node.calls.attempts.get(&attempt).map(|attempt| attempt.call) else {
        node.counters.increment(count::STRAY_EVENTS);
        return;
    };
    match event {
        engine::Event::Accepted => handle_accepted(node, call, out),
        engine::Event::Chunk { seq, text } => {
            handle_chunk(node, now, call, attempt, seq, text, out);
        }
        engine::Event::Done { chunks, reason, prompt_tokens } => {
            handle_done(node, now, call, attempt, Done { chunks, reason, prompt_tokens }, out);
        }
        engine::Event::Answer { status, media, body } => {
            end_attempt(node, now, attempt, system::dispatch::End::Ok);
            let answer = journal::Answer { status, media, body };
            system::claim::store_answer(node, now, call, answer, out);
        }
        engine::Event::Refused { reason } => {
            end_attempt(node, now, attempt, system::dispatch::End::Refused);
            handle_not_run(node, now, call, &reason, out);
        }
        engine::Event::Unsent { reason } => {
            end_attempt(node, now, attempt, system::dispatch::End::Failed);
            handle_not_run(node, now, call, &reason, out);
        }
        engine::Event::Broken { reason } => {
            end_attempt(node, now, attempt, system::dispatch::End::Failed);
            handle_failure(node, now, call, &reason, out);
        }
    }
}

/// Aborts a call whose caller has disconnected.
///
/// A call that runs at most once and may have run is left alone.
pub fn abandon(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if row.claim.is_some() && row.may_have_run() {
        return;
    }
    node.counters.increment(count::ABANDONED);
    abort(node, now, call, out);
    node.queue.remove(call);
    system::claim::release(node, now, call, out);
    let message = "the caller has gone";
    system::finish::fail(node, now, call, call::Code::Deadline, message, out);
}

struct Done {
    chunks: u64,
    reason: sync::Arc<str>,
    prompt_tokens: u64,
}

fn handle_accepted(node: &mut Node, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    if row.accepted || row.need.max_tokens == 0 {
        return;
    }
    row.accepted = true;
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if let Some(caller) = row.caller {
        out.push(Output::Accepted { call: caller, stream: node.calls.stream_name(row) });
    }
}

fn handle_chunk(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    attempt: ids::Attempt,
    seq: u64,
    text: sync::Arc<str>,
    out: &mut Vec<Output>,
) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    let next = row.next_chunk();
    if seq < next {
        node.counters.increment(count::DUPLICATE_CHUNKS);
        return;
    }
    if seq > next || seq >= row.need.max_tokens {
        return handle_gap(node, now, call, attempt, out);
    }
    if seq == 0
        && let Some(account) = &row.account
    {
        let wait = now.since(row.arrived);
        let account = account.clone();
        out.push(Output::Measure(event::Measure::FirstToken { account, wait }));
    }
    row.chunks.push(sync::Arc::clone(&text));
    if let Some(caller) = row.caller {
        out.push(Output::Chunk { call: caller, seq, text });
    }
    system::dispatch::record_progress(node, now, attempt, 1);
}

/// Aborts an attempt with a missing chunk; a retry resumes after the last chunk received.
fn handle_gap(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    attempt: ids::Attempt,
    out: &mut Vec<Output>,
) {
    node.counters.increment(count::STREAM_GAPS);
    end_attempt(node, now, attempt, system::dispatch::End::Failed);
    out.push(Output::Abort { attempt });
    handle_failure(node, now, call, "a chunk of the stream is missing", out);
}

fn handle_done(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    attempt: ids::Attempt,
    done: Done,
    out: &mut Vec<Output>,
) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if done.chunks != row.next_chunk() {
        return handle_gap(node, now, call, attempt, out);
    }
    end_attempt(node, now, attempt, system::dispatch::End::Ok);
    let Done { chunks, reason, prompt_tokens } = done;
    let ending = call::Ending::Done { chunks, reason, prompt_tokens };
    system::finish::finish(node, now, call, ending, out);
}

/// Handles the end of an attempt that did not run; any call may be retried.
fn handle_not_run(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    reason: &str,
    out: &mut Vec<Output>,
) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    row.sent = false;
    retry_or_fail(node, now, call, reason, out);
}

/// Handles the failure of an attempt that may have run; only a repeatable call is retried.
fn handle_failure(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    reason: &str,
    out: &mut Vec<Output>,
) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    row.sent = false;
    row.broken = true;
    if row.need.repeatable {
        return retry_or_fail(node, now, call, reason, out);
    }
    system::claim::mark_lost(node, now, call, out);
    let message = format!("the target's answer was lost: {reason}");
    system::finish::fail(node, now, call, call::Code::TargetFailed, message, out);
}

fn retry_or_fail(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    reason: &str,
    out: &mut Vec<Output>,
) {
    if let Some(wait) = system::dispatch::next_backoff(node, now, call) {
        let Some(row) = node.calls.rows.get_mut(&call) else {
            return;
        };
        row.stage = calls::Stage::Backoff;
        row.resume_at = now + wait;
        return;
    }
    system::claim::release(node, now, call, out);
    let message = format!("no target could take the call: {reason}");
    let is_lost_stream = node.calls.rows.get(&call).is_some_and(is_lost_stream);
    let code = if is_lost_stream { call::Code::UnknownStream } else { call::Code::TargetFailed };
    system::finish::fail(node, now, call, code, message, out);
}

/// Whether a call was to resume a stream that no target holds, without the text so far.
fn is_lost_stream(row: &calls::Row) -> bool {
    row.next_chunk() > 0 && row.text_so_far().is_empty() && !row.may_have_run()
}

/// Closes an attempt and records the result for its target.
fn end_attempt(node: &mut Node, now: ids::Time, attempt: ids::Attempt, end: system::dispatch::End) {
    let Some(row) = node.calls.attempts.remove(&attempt) else {
        return;
    };
    system::dispatch::record_end(node, now, attempt, end);
    if let Some(call) = node.calls.rows.get_mut(&row.call) {
        call.stage = calls::Stage::Backoff;
        if !matches!(end, system::dispatch::End::Ok) {
            call.failed.push(row.target);
            call.failed_at = now;
        }
    }
}

/// Aborts the open attempt of a call, if there is one.
pub fn abort(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if let calls::Stage::Sent { attempt } = row.stage {
        end_attempt(node, now, attempt, system::dispatch::End::Ok);
        out.push(Output::Abort { attempt });
    }
}

/// Returns calls to the queue when their backoff is over.
pub fn requeue_due(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    let is_due = |row: &&calls::Row| row.stage == calls::Stage::Backoff && row.resume_at <= now;
    let due: Vec<_> = node.calls.rows.values().filter(is_due).map(|row| row.call).collect();
    for call in due {
        system::dispatch::enqueue(node, now, call, out);
    }
}
