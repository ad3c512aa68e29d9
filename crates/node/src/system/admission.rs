//! Admission of arriving calls: authentication, validation, resumption.

use std::{sync, time};

use bundle::format;

use crate::{Node, Output, call, calls, count, index, system};

/// `Retry-After` sent to callers when another VM can take the call.
const OTHER_VM_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Admits or refuses a newly arrived call.
pub fn handle_arrival(
    node: &mut Node,
    now: ids::Time,
    arrival: call::Arrival,
    out: &mut Vec<Output>,
) {
    node.counters.increment(count::ARRIVED);
    let caller = arrival.call;
    let account = account_name(node, &arrival);
    match admit(node, now, arrival) {
        Ok(Admission::Models(names)) => {
            let ending = call::Ending::Models { names };
            system::finish::refuse(node, caller, account, ending, out);
        }
        Ok(Admission::Resumed(call, from)) => resume(node, call, caller, from, out),
        Ok(Admission::New(row)) => {
            let call = row.call;
            node.calls.insert(*row);
            system::quota::reserve(node, now, call, out);
        }
        Err(refusal) => system::finish::refuse(node, caller, account, refusal_ending(refusal), out),
    }
}

/// Handles the disconnection of a caller.
///
/// A stream continues for a while so that the caller can resume it. A waiting
/// call is dropped because nobody would use its answer, and its claim is
/// released so that the caller can retry. A call that runs at most once and was
/// sent continues to its end, so that its answer is stored.
pub fn handle_disconnect(
    node: &mut Node,
    now: ids::Time,
    caller: ids::Call,
    out: &mut Vec<Output>,
) {
    let Some(call) = node.calls.find_by_caller(caller) else {
        return;
    };
    node.calls.detach(now, call);
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    match row.stage {
        calls::Stage::Quota | calls::Stage::Queue | calls::Stage::Backoff
            if !row.may_have_run() =>
        {
            system::attempt::abandon(node, now, call, out);
        }
        _ => {}
    }
}

enum Admission {
    New(Box<calls::Row>),
    Resumed(ids::Call, u64),
    Models(Vec<sync::Arc<str>>),
}

/// Why a call is refused.
struct Refusal {
    code: call::Code,
    message: String,
}

type Result<T, E = Refusal> = std::result::Result<T, E>;

fn refusal(code: call::Code, message: impl Into<String>) -> Refusal {
    Refusal { code, message: message.into() }
}

/// Returns the result that the caller gets for a refusal.
///
/// A fenced or stopping VM advises the caller to retry soon, because the
/// balancer will route the retry to another VM.
fn refusal_ending(refusal: Refusal) -> call::Ending {
    let Refusal { code, message } = refusal;
    let ending = call::Ending::refused(code, message);
    match code {
        call::Code::Fenced | call::Code::Stopping => ending.with_retry_after(OTHER_VM_RETRY_AFTER),
        _ => ending,
    }
}

fn account_name(node: &Node, arrival: &call::Arrival) -> Option<ids::Account> {
    let key = arrival.key.as_ref()?;
    node.authenticate(key).map(|account| account.name.clone())
}

fn admit(node: &mut Node, now: ids::Time, arrival: call::Arrival) -> Result<Admission> {
    if let Err(reason) = node.check_serving(now) {
        node.counters.increment(count::FENCED);
        return Err(refusal(call::Code::Fenced, reason));
    }
    if node.refuses_new_calls(now) {
        let message = "this VM is stopping; another one takes the call";
        return Err(refusal(call::Code::Stopping, message));
    }
    let Some(index) = node.index.clone() else {
        return Err(refusal(call::Code::Fenced, "no bundle is in force yet"));
    };
    let account = match authorise(node, &index, &arrival) {
        Ok(account) => account,
        Err(refusal) => {
            node.counters.increment(count::REFUSED_KEYS);
            return Err(refusal);
        }
    };
    if arrival.work == call::Work::Models {
        return Ok(Admission::Models(index.items().cloned().collect()));
    }
    if let Some(found) = find_stream(node, &arrival, account.as_ref()) {
        return Ok(found);
    }
    let row = new_row(node, now, &index, arrival, account)?;
    Ok(Admission::New(Box::new(row)))
}

/// Returns the account of the call; none on open routes.
fn authorise(
    node: &Node,
    index: &index::Index,
    arrival: &call::Arrival,
) -> Result<Option<format::Account>> {
    if is_open(index, &arrival.work) {
        return Ok(None);
    }
    let Some(key) = &arrival.key else {
        let message = "send the header Authorization: Bearer KEY";
        return Err(refusal(call::Code::MissingKey, message));
    };
    let Some(account) = node.authenticate(key) else {
        return Err(refusal(call::Code::InvalidKey, "the key is unknown or was withdrawn"));
    };
    Ok(Some(account.clone()))
}

fn is_open(index: &index::Index, work: &call::Work) -> bool {
    let call::Work::Service { service, path, .. } = work else {
        return false;
    };
    index.route(service, path).is_some_and(|found| found.route.open)
}

/// Finds the stream to resume, if this VM holds it for the same account.
fn find_stream(
    node: &Node,
    arrival: &call::Arrival,
    account: Option<&format::Account>,
) -> Option<Admission> {
    let resume = arrival.resume.as_ref()?;
    let account = account.map(|account| &account.name);
    let (stream, _) = calls::parse_stream_name(&resume.stream);
    let call = node.calls.find_by_stream(account, stream)?;
    let row = node.calls.rows.get(&call)?;
    let is_held = (row.first..=row.next_chunk()).contains(&resume.from);
    is_held.then_some(Admission::Resumed(call, resume.from))
}

/// Resumes a stream that this VM holds on a new connection of its caller.
fn resume(node: &mut Node, call: ids::Call, caller: ids::Call, from: u64, out: &mut Vec<Output>) {
    node.counters.increment(count::RESUMED);
    if let Some(previous) = node.calls.attach(call, caller) {
        let message = "the stream was resumed on another connection";
        let ending = call::Ending::Failed {
            outcome: call::Outcome::Unknown,
            code: call::Code::UnknownStream,
            message: message.to_owned(),
            retry_after: None,
        };
        out.push(Output::Finish { call: previous, ending });
    }
    let Some(row) = node.calls.rows.get(&call) else {
        return;
    };
    out.push(Output::Accepted { call: caller, stream: node.calls.stream_name(row) });
    for (seq, text) in (row.first..).zip(&row.chunks).skip_while(|(seq, _)| *seq < from) {
        out.push(Output::Chunk { call: caller, seq, text: sync::Arc::clone(text) });
    }
    let Some(ending) = row.ending.clone() else {
        return;
    };
    node.calls.remove(call);
    out.push(Output::Finish { call: caller, ending });
}

fn new_row(
    node: &Node,
    now: ids::Time,
    index: &index::Index,
    arrival: call::Arrival,
    account: Option<format::Account>,
) -> Result<calls::Row> {
    let need = resolve_need(index, &arrival.work)?;
    let claim = resolve_claim(index, &arrival, &need)?;
    let limit = time::Duration::from_millis(index.bundle.limits.queue_ms);
    let patience = arrival.patience.map_or(limit, |patience| patience.min(limit));
    let (stream, holder, first, prior_text) = match arrival.resume {
        Some(resume) => {
            let (stream, holder) = calls::parse_stream_name(&resume.stream);
            (stream.into(), holder, resume.from, resume.text)
        }
        None => (node.new_stream_name(arrival.call), None, 0, "".into()),
    };
    let account_name = account.as_ref().map(|account| &account.name);
    let target_stream = calls::target_stream_name(account_name, &stream);
    Ok(calls::Row {
        call: arrival.call,
        caller: Some(arrival.call),
        away_since: None,
        stream,
        holder,
        target_stream,
        class: account.as_ref().map_or(format::Class::Courtesy, |account| account.class),
        account: account.map(|account| account.name),
        key: arrival.key,
        claim,
        need,
        stage: calls::Stage::Quota,
        arrived: now,
        deadline: now + patience,
        resume_at: now,
        reserved: 0,
        attempts: 0,
        failed: Vec::new(),
        failed_at: now,
        sent: false,
        broken: false,
        first,
        prior_text,
        chunks: Vec::new(),
        accepted: false,
        ending: None,
    })
}

fn resolve_need(index: &index::Index, work: &call::Work) -> Result<calls::Need> {
    match work {
        call::Work::Chat { model, adapter, prompt_tokens, max_tokens, prefix } => {
            let item = resolve_item(index, model, adapter.as_ref())?;
            let max_tokens = max_tokens.unwrap_or(index.bundle.limits.max_tokens);
            Ok(calls::Need {
                item,
                repeatable: true,
                max_tokens,
                prompt_tokens: *prompt_tokens,
                prefix: *prefix,
            })
        }
        call::Work::Service { service, path, .. } => resolve_service_need(index, service, path),
        call::Work::Models => Err(refusal(call::Code::UnknownModel, "not a model")),
    }
}

fn resolve_item(
    index: &index::Index,
    model: &ids::Model,
    adapter: Option<&ids::Adapter>,
) -> Result<sync::Arc<str>> {
    if !index.has_item(model.as_str()) {
        let message = format!("no model {model:?} is in force; GET /v1/models lists them");
        return Err(refusal(call::Code::UnknownModel, message));
    }
    let Some(adapter) = adapter else {
        return Ok(route::item::model(model, None));
    };
    let item = route::item::model(model, Some(adapter));
    if !index.has_item(&item) {
        let message = format!("model {model:?} has no adapter {adapter:?} in force");
        return Err(refusal(call::Code::UnknownAdapter, message));
    }
    Ok(item)
}

fn resolve_service_need(
    index: &index::Index,
    service: &ids::Service,
    path: &str,
) -> Result<calls::Need> {
    if index.service(service).is_none() {
        let message = format!("no service {service:?} is in force");
        return Err(refusal(call::Code::UnknownService, message));
    }
    let Some(found) = index.route(service, path) else {
        let message = format!("service {service:?} has no route for {path:?}");
        return Err(refusal(call::Code::UnknownRoute, message));
    };
    Ok(calls::Need {
        item: route::item::service(service),
        repeatable: found.route.repeatable,
        max_tokens: 0,
        prompt_tokens: found.route.cost,
        prefix: 0,
    })
}

/// Returns the claim of a call that runs at most once; none for repeatable calls.
fn resolve_claim(
    index: &index::Index,
    arrival: &call::Arrival,
    need: &calls::Need,
) -> Result<Option<calls::Claim>> {
    let call::Work::Service { service, path, .. } = &arrival.work else {
        return Ok(None);
    };
    if need.repeatable {
        return Ok(None);
    }
    let Some(key) = &arrival.idempotency else {
        let message = "this route runs a call at most once: send the header Idempotency-Key";
        return Err(refusal(call::Code::MissingIdempotencyKey, message));
    };
    let Some(found) = index.route(service, path) else {
        return Ok(None);
    };
    Ok(Some(calls::Claim {
        route: format!("{service}{}", found.route.path).into(),
        key: sync::Arc::clone(key),
        digest: arrival.digest,
    }))
}
