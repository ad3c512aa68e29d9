//! Progress and results of attempts, and retries.

use std::time;

use crate::{
    Output, call, event, health,
    input::{self, Event},
    relay::{Relay, line},
    system::{admission, cold, dispatch, evacuation, pause, quarantine, speed},
};

/// Weight of the latest answer in the moving average of a service's answer time.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Retry delay sent to callers after a refusal by a target without a delay of its own.
const REFUSED_WAIT: time::Duration = time::Duration::from_millis(100);
/// Status of a target that is not the intended one, or lacks the model.
const STATUS_MISDIRECTED: u16 = 421;

/// Closes a call whose caller has disconnected or has its complete answer.
pub(crate) fn caller_left(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    out: &mut Vec<Output>,
) {
    relay.queue.remove(call);
    let Some(row) = relay.calls.remove(call) else {
        return;
    };
    if let call::Stage::Sent(attempt) = row.stage {
        release_load(relay, now, attempt);
        let target = row.tried.last().map(ToString::to_string).unwrap_or_default();
        let inputs = format!("after {:?} begun {}", now.since(row.arrived), row.has_begun);
        out.push(line(&row, &target, "caller left", inputs));
        out.push(Output::Measure(event::Measure::Ended { outcome: "caller left" }));
    } else if row.stage == call::Stage::Waiting {
        if let Some(account) = row.account.as_ref().filter(|_| !row.may_have_run) {
            relay.quota.refund(account, row.units);
        }
        let inputs = format!("waited {:?}", now.since(row.arrived));
        out.push(line(&row, &row.service, "caller left", inputs));
    }
}

/// Removes an attempt, and its load from its target.
pub(crate) fn release_load(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
) -> Option<call::Attempt> {
    let ended = relay.calls.end(attempt)?;
    if let Some(target) = relay.targets.get_mut(&ended.target)
        && target.entry.born == ended.born
    {
        target.own.subtract(ended.load);
        if target.own.calls == 0 {
            target.health.record_response(now);
        }
    }
    Some(ended)
}

/// Marks a call as answered; the shell drops its attempt and then closes it.
pub(crate) fn end(relay: &mut Relay, call: ids::Call) {
    if let Some(row) = relay.calls.get_mut(call) {
        row.stage = call::Stage::Ended;
        row.deadline = ids::Time::from_millis(u64::MAX);
    }
}

/// Handles an event of an attempt.
pub(crate) fn event(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    event: Event,
    out: &mut Vec<Output>,
) {
    match event {
        Event::Cold { left } => cold::stated(relay, now, attempt, left),
        Event::Began | Event::First | Event::Progress(_) => {
            progress(relay, now, attempt, &event, out);
        }
        Event::Ended(summary) => ended(relay, now, attempt, summary, out),
        Event::Unsent { reason } => {
            let Some((ended, row)) = finish(relay, now, attempt, health::Ending::Broken, out)
            else {
                return;
            };
            let mut row = row;
            row.tried.retain(|target| *target != ended.target);
            row.unreached.push(ended.target.clone());
            out.push(line(&row, &ended.target, "not reached", reason.to_string()));
            retry(relay, now, ended.call, row, None, out);
        }
        Event::Notice(notice) => pause::attempt_noticed(relay, now, attempt, notice, out),
        Event::Withheld => evacuation::withheld(relay, now, attempt, out),
        Event::Refused { status, retry_after } => {
            refused(relay, now, attempt, status, retry_after, out);
        }
        Event::Failure { status } => failure(relay, now, attempt, status, out),
        Event::Broken { reason, last_event } => {
            broken(relay, now, attempt, &reason, last_event, out);
        }
    }
}

fn progress(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    event: &Event,
    out: &mut Vec<Output>,
) {
    let Some(row) = relay.calls.attempt(attempt) else {
        return;
    };
    let is_first = row.first_byte_at.is_none() && !matches!(event, Event::Progress(_));
    let (call, target) = (row.call, row.target.clone());
    let took = now.since(row.sent);
    let expected_ms = row.expected_ms;
    let (prompt_tokens, had_no_backlog) = (row.load.prefill, row.had_no_backlog);
    let was_cold = row.was_cold;
    // The head of a stream may arrive before the prefill; only the first event counts.
    let is_first_token = is_first && matches!(event, Event::First);
    if is_first_token {
        row.first_byte_at = Some(now);
        row.load.prefill = 0;
    }
    // The slowness of a cold target is not a sign of ill health.
    let is_cold = was_cold || cold::is_cold(relay, now, &target);
    if let Some(target) = relay.targets.get_mut(&target) {
        target.health.record_response(now);
        if is_first_token {
            target.own.prefill = target.own.prefill.saturating_sub(prompt_tokens);
            if !is_cold {
                target.health.record_latency(took, expected_ms);
            }
        }
    }
    if is_first_token && had_no_backlog && !is_cold && prompt_tokens >= MIN_SAMPLE_TOKENS {
        speed::record_first(relay, now, attempt, took, expected_ms, out);
        let speed = relay.targets.get(&target).and_then(|row| row.speed);
        // The pace contains what the service's engines have in common.
        let median = speed.map_or(1.0, |speed| speed.median);
        record_pace(relay, call, took, expected_ms / median);
    }
    if let Event::Progress(rhythm) = event
        && !is_cold
    {
        speed::record_rhythm(relay, now, attempt, *rhythm, out);
    }
    quarantine::progress(relay, now, attempt);
    if let Some(row) = relay.calls.get_mut(call) {
        row.has_begun = true;
        if is_first_token {
            out.push(Output::Measure(event::Measure::First(now.since(row.arrived))));
        }
    }
}

/// Minimum number of uncached prompt tokens for a sample of the model's pace.
const MIN_SAMPLE_TOKENS: u64 = 50;

/// Records a sample of a model's pace.
fn record_pace(relay: &mut Relay, call: ids::Call, took: time::Duration, expected_ms: f64) {
    let Relay { calls, config, pace, .. } = relay;
    let weights_mb = || {
        let row = calls.get(call)?;
        let engine = config.as_ref()?.services.get(&row.service)?.engine.as_ref()?;
        Some(engine.models.get(&row.envelope.work.as_ref()?.model)?.weights_mb)
    };
    if let Some(weights_mb) = weights_mb() {
        pace.record(weights_mb, took, expected_ms);
    }
}

fn ended(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    summary: input::Summary,
    out: &mut Vec<Output>,
) {
    speed::ended(relay, now, attempt, &summary, out);
    let Some((ended, row)) = finish(relay, now, attempt, health::Ending::Answered, out) else {
        return;
    };
    quarantine::answered(relay, now, &row);
    let took = now.since(ended.sent);
    let is_cold = ended.was_cold || cold::is_cold(relay, now, &ended.target);
    if row.envelope.work.is_none() && is_cold {
        out.push(Output::Measure(event::Measure::First(now.since(row.arrived))));
    } else if row.envelope.work.is_none() {
        let ms = took.as_secs_f64() * 1_000.0;
        let typical = relay.typical_ms(&row.service);
        relay.typical_ms.insert(row.service.clone(), typical + SAMPLE_WEIGHT * (ms - typical));
        if let Some(target) = relay.targets.get_mut(&ended.target) {
            target.health.record_latency(took, ended.expected_ms);
        }
        out.push(Output::Measure(event::Measure::First(now.since(row.arrived))));
    }
    let input::Summary { framing, last_event, .. } = summary;
    let inputs = format!(
        "took {took:?} since arrival {:?} framing {framing:?} event {last_event:?}",
        now.since(row.arrived)
    );
    out.push(line(&row, &ended.target, "answered", inputs));
    out.push(Output::Measure(event::Measure::Ended { outcome: "answered" }));
}

/// Ends an attempt and removes its call from the table.
fn finish(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    ending: health::Ending,
    out: &mut Vec<Output>,
) -> Option<(call::Attempt, call::Row)> {
    let ended = release_load(relay, now, attempt)?;
    let ending = if ended.asked_pause { health::Ending::Refused } else { ending };
    if let Some(target) = relay.targets.get_mut(&ended.target) {
        if ending != health::Ending::Broken {
            target.health.record_response(now);
        }
        if ending == health::Ending::Answered && target.entry.born == ended.born {
            target.pause.record_answered(ended.sent);
        }
        if target.health.record_ending(now, ending) {
            let line = event::Event::new("target", &ended.target, "ejected")
                .with_inputs(format!("failed {:.2}", target.health.failed));
            out.push(Output::Log(line));
        }
    }
    let row = relay.calls.remove(ended.call)?;
    if row.stage != call::Stage::Sent(attempt) {
        // The call was already answered; the shell reports its end late.
        return None;
    }
    Some((ended, row))
}

fn refused(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    status: u16,
    retry_after: Option<time::Duration>,
    out: &mut Vec<Output>,
) {
    let Some((ended, row)) = finish(relay, now, attempt, health::Ending::Refused, out) else {
        return;
    };
    out.push(line(&row, &ended.target, "refused by target", format!("status {status}")));
    if status == STATUS_MISDIRECTED {
        relay.targets.correct(now, &ended.target, &row.item, false);
    }
    retry(relay, now, ended.call, row, Some(retry_after.unwrap_or(REFUSED_WAIT)), out);
}

/// Handles an error response of the target.
fn failure(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    status: u16,
    out: &mut Vec<Output>,
) {
    let Some((ended, mut row)) = finish(relay, now, attempt, health::Ending::Failed, out) else {
        return;
    };
    out.push(line(&row, &ended.target, "failed at target", format!("status {status}")));
    row.may_have_run = true;
    if row.route.repeat.allows_rerun() && may_retry(relay, now, &row) {
        admission::enqueue(relay, now, ended.call, row, out);
        return;
    }
    out.push(Output::Measure(event::Measure::Ended { outcome: "failed at target" }));
    out.push(Output::Deliver { call: ended.call });
}

fn broken(
    relay: &mut Relay,
    now: ids::Time,
    attempt: ids::Attempt,
    reason: &str,
    last_event: Option<u64>,
    out: &mut Vec<Output>,
) {
    let Some((ended, mut row)) = finish(relay, now, attempt, health::Ending::Broken, out) else {
        return;
    };
    let inputs = format!("{reason}; sent {:?} ago, event {last_event:?}", now.since(ended.sent));
    out.push(line(&row, &ended.target, "broken off by target", inputs));
    if !ended.asked_pause {
        quarantine::broken_off(relay, now, &ended, &row, out);
    }
    row.may_have_run = true;
    row.resume_after = last_event.or(row.resume_after);
    if row.route.repeat.allows_rerun() && may_retry(relay, now, &row) {
        admission::enqueue(relay, now, ended.call, row, out);
        return;
    }
    out.push(Output::Measure(event::Measure::Ended { outcome: "broken off" }));
    out.push(Output::Fail { call: ended.call, status: 502, reason: "broken off by target" });
}

/// Whether a call may be sent to another target; deducts the retry from the budget.
fn may_retry(relay: &mut Relay, now: ids::Time, row: &call::Row) -> bool {
    if quarantine::block(relay, row).is_some() {
        return false;
    }
    let attempts = usize::try_from(row.route.attempts).unwrap_or(usize::MAX);
    row.tried.len() < attempts
        && row.remaining(now) > MIN_REMAINING
        && relay.retries.get_mut(&row.service).is_some_and(|budget| budget.withdraw(now))
}

/// Minimum time to the deadline for a retry.
const MIN_REMAINING: time::Duration = time::Duration::from_millis(50);

/// Sends a call that has not run to another target, or refuses it.
fn retry(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    row: call::Row,
    retry_after: Option<time::Duration>,
    out: &mut Vec<Output>,
) {
    if !row.may_have_run
        && !row.has_begun
        && let Some(pause::Hopeless { wait, inputs }) = pause::hopeless(relay, now, &row)
    {
        admission::refuse(relay, call, &row, pause::REASON, Some(wait), &inputs, out);
        return;
    }
    // A call that reached no target does not count as a retry.
    let is_unsent = row.tried.is_empty() && row.remaining(now) > MIN_REMAINING;
    if is_unsent || may_retry(relay, now, &row) {
        admission::enqueue(relay, now, call, row, out);
        return;
    }
    if row.may_have_run || row.has_begun {
        relay.calls.insert(call, row);
        dispatch::give_up(relay, now, call, "no target left", out);
    } else {
        let retry_after = cold::retry_after(relay, now, &row).or(retry_after);
        admission::refuse(relay, call, &row, "refused by target", retry_after, "", out);
    }
}
