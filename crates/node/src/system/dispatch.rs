//! Queueing, target selection, sending and retries.

use std::{sync, time};

use rand::Rng as _;
use route::{queue, retry, target};

use crate::{Begin, Config, MAX_EFFECT_DELAY, Node, Output, call, calls, count, system};

/// Longest `Retry-After` sent to callers when the queue is full.
const MAX_OVERLOAD_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Delay before a call is retried at a target that has failed it.
///
/// It leaves time for reports to show another ready copy. Without the delay a
/// call would use up all its attempts on a dead target before that.
const SAME_TARGET_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Result of an attempt, as recorded for its target.
pub use route::target::Outcome as End;

/// Creates an empty queue.
pub fn new_queue(config: &Config) -> queue::Queue {
    queue::Queue::new(config.queue)
}

/// Creates a table without targets.
pub fn new_targets(config: &Config) -> target::Table {
    target::Table::new(config.targets)
}

/// Creates the retry budget.
pub fn new_retry_budget(config: &Config) -> retry::Budget {
    retry::Budget::new(ids::Time::default(), config.retries)
}

/// Applies targets, weights and limits of the bundle in force.
pub fn adopt(node: &mut Node) {
    let Some(index) = &node.index else {
        return;
    };
    node.queue.apply_bundle(&index.bundle);
    // The planner decides what a drained runner still serves: it keeps the last
    // ready copy of a model open until another one is ready.
    let is_runner =
        |target: &&ids::Target| index.bundle.runners.iter().any(|runner| runner.name == **target);
    let drained = index.amendments.drained.iter().filter(|target| !is_runner(target));
    node.targets.apply_bundle(&index.bundle, &drained.cloned().collect());
}

/// Puts a call in the queue, for its first attempt or a retry.
pub fn enqueue(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    row.stage = calls::Stage::Queue;
    let entry = queue::Entry {
        call,
        account: row.account.clone().unwrap_or_else(|| "".into()),
        class: row.class,
        tokens: row.need.token_limit(),
        item: sync::Arc::clone(&row.need.item),
        arrived: row.arrived,
        deadline: row.deadline,
        prefix: row.need.prefix,
    };
    match node.queue.push(now, entry) {
        Ok(None) => {}
        Ok(Some(displaced)) => refuse_overloaded(node, now, displaced.call, out),
        Err(queue::Full(entry)) => refuse_overloaded(node, now, entry.call, out),
    }
}

/// Sends queued calls while targets have room.
pub fn dispatch(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    while let Some(call) = pop_next(node, now) {
        match check_sendable(node, now, call) {
            Ok(()) => send(node, now, call, out),
            Err((code, message)) => {
                system::claim::release(node, now, call, out);
                system::finish::fail(node, now, call, code, message, out);
            }
        }
    }
}

/// Refuses queued calls whose deadline has passed.
pub fn expire(node: &mut Node, now: ids::Time, out: &mut Vec<Output>) {
    for entry in node.queue.expire(now) {
        node.counters.increment(count::EXPIRED);
        let item = &entry.item;
        let is_offered = node.targets.iter().any(|(_, row)| row.ready.contains(item));
        let (code, message) = if is_offered {
            (call::Code::Deadline, "no target had room for the call in time")
        } else {
            (call::Code::NoTarget, "no target was ready for the call in time")
        };
        system::claim::release(node, now, entry.call, out);
        system::finish::fail(node, now, entry.call, code, message, out);
    }
}

/// Records that a stream has made progress.
pub fn record_progress(node: &mut Node, now: ids::Time, attempt: ids::Attempt, tokens: u64) {
    node.targets.record_progress(now, attempt, tokens);
}

/// Records the result of an attempt for its target.
pub fn record_end(node: &mut Node, now: ids::Time, attempt: ids::Attempt, end: End) {
    node.targets.end_attempt(now, attempt, end);
}

/// Returns the backoff before another attempt, if the limits allow one.
///
/// It takes one retry from the budget.
pub fn next_backoff(node: &mut Node, now: ids::Time, call: ids::Call) -> Option<time::Duration> {
    let row = node.calls.rows.get(&call)?;
    let is_spent = row.attempts >= node.config.attempts;
    if is_spent || !node.retries.withdraw(now) {
        return None;
    }
    node.counters.increment(count::RETRIES);
    let retry = row.attempts.saturating_sub(1);
    Some(node.config.backoff.delay(retry, &mut node.rng))
}

/// Records a runner's report; a failed request changes nothing.
pub fn record_report(
    node: &mut Node,
    now: ids::Time,
    target: &ids::Target,
    report: Option<&engine::Report>,
) {
    if let Some(report) = report {
        node.targets.record_report(now, target, report);
    }
}

/// Records whether a target is leaving.
pub fn set_leaving(node: &mut Node, target: &ids::Target, leaving: bool) {
    node.targets.set_leaving(target, leaving);
}

/// Pops the next call for which a target has room.
fn pop_next(node: &mut Node, now: ids::Time) -> Option<ids::Call> {
    let Node { queue, targets, config, .. } = node;
    let entry = queue.pop(now, |entry| {
        if config.queue.is_late(now, entry) {
            return targets.has_spare_room(now, &entry.item, &[]);
        }
        targets.has_room(now, &entry.item, &[])
    })?;
    Some(entry.call)
}

/// Repeats the checks of admission just before a call is sent.
///
/// Since then the process may have been paused or the key withdrawn.
fn check_sendable(
    node: &Node,
    now: ids::Time,
    call: ids::Call,
) -> Result<(), (call::Code, String)> {
    node.check_serving(now + MAX_EFFECT_DELAY).map_err(|reason| (call::Code::Fenced, reason))?;
    let Some(row) = node.calls.rows.get(&call) else {
        return Ok(());
    };
    if row.account.is_none() {
        return Ok(());
    }
    let is_admitted = row.key.as_ref().and_then(|key| node.authenticate(key)).is_some();
    if is_admitted {
        return Ok(());
    }
    Err((call::Code::InvalidKey, "the key was withdrawn".to_owned()))
}

fn send(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    let need = row.need.clone();
    let failed = row.failed.clone();
    let again_at = row.failed_at + SAME_TARGET_RETRY_DELAY;
    if let Some(target) = stream_holder(node, row) {
        return begin_attempt(node, now, call, target, out);
    }
    let Node { targets, rng, .. } = node;
    if let Some(target) = targets.choose(now, &target_request(&need, &failed), rng) {
        return begin_attempt(node, now, call, target, out);
    }
    if !failed.is_empty() && now < again_at {
        return back_off_until(node, call, again_at);
    }
    match node.targets.choose(now, &target_request(&need, &[]), &mut node.rng) {
        Some(target) => begin_attempt(node, now, call, target, out),
        None => enqueue(node, now, call, out),
    }
}

/// Returns the target that holds the stream to resume, if it has not failed the call.
fn stream_holder(node: &Node, row: &calls::Row) -> Option<ids::Target> {
    let target = row.holder.as_ref().filter(|target| !row.failed.contains(target))?;
    let is_ready = |known: &target::Row| known.ready.contains(&row.need.item);
    node.targets.get(target).is_some_and(is_ready).then(|| target.clone())
}

/// Puts a call in backoff until `until`.
fn back_off_until(node: &mut Node, call: ids::Call, until: ids::Time) {
    if let Some(row) = node.calls.rows.get_mut(&call) {
        row.stage = calls::Stage::Backoff;
        row.resume_at = until;
    }
}

fn target_request<'a>(need: &'a calls::Need, excluded: &'a [ids::Target]) -> target::Request<'a> {
    target::Request {
        item: &need.item,
        tokens: need.max_tokens,
        prompt_tokens: need.prompt_tokens,
        prefix: need.prefix,
        excluded,
    }
}

fn begin_attempt(
    node: &mut Node,
    now: ids::Time,
    call: ids::Call,
    target: ids::Target,
    out: &mut Vec<Output>,
) {
    let Some(address) = node.targets.get(&target).map(|row| sync::Arc::clone(&row.address)) else {
        return;
    };
    let attempt = calls::Attempt { call, target: target.clone(), begun: now };
    let attempt = node.calls.insert_attempt(attempt);
    let Some(row) = node.calls.rows.get_mut(&call) else {
        return;
    };
    row.stage = calls::Stage::Sent { attempt };
    row.attempts += 1;
    row.sent = true;
    let is_first = row.attempts == 1;
    node.targets.begin_attempt(now, attempt, &target, &target_request(&row.need, &[]));
    node.counters.increment(count::ATTEMPTS);
    if is_first {
        node.retries.deposit();
    }
    out.push(Output::Begin(Begin {
        attempt,
        call: row.call,
        stream: sync::Arc::clone(&row.target_stream),
        target,
        address,
        priority: u8::from(row.class != bundle::format::Class::Paid),
        max_tokens: row.need.max_tokens,
        resume_from: row.next_chunk(),
        text: row.text_so_far(),
    }));
}

fn refuse_overloaded(node: &mut Node, now: ids::Time, call: ids::Call, out: &mut Vec<Output>) {
    node.counters.increment(count::QUEUE_FULL);
    system::claim::release(node, now, call, out);
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    if row.may_have_run() {
        let message = "the queue is full";
        return system::finish::fail(node, now, call, call::Code::Overloaded, message, out);
    }
    // The random factor spreads the retries of callers that were refused together.
    let wait = MAX_OVERLOAD_RETRY_AFTER.mul_f64(node.rng.random_range(0.5..1.0));
    let ending = call::Ending::refused(call::Code::Overloaded, "the queue is full");
    system::finish::finish(node, now, call, ending.with_retry_after(wait), out);
}

/// Returns the targets as JSON.
pub fn dump(node: &Node) -> serde_json::Value {
    let rows = node.targets.iter();
    rows.map(|(target, row)| (target.to_string(), serde_json::json!(row))).collect()
}
