//! Admission of calls: routing, authentication, quota and queueing.

use std::{sync, time};

use bundle::format;
use rand::Rng as _;

use crate::{
    Output, call, choice, config, envelope, event,
    relay::{Relay, line, refusal},
    system::{allocation, cold, dispatch, evacuation, pause, quarantine},
};

/// Retry delay sent to callers while this VM shuts down or has no configuration:
/// by then, another VM, or this one after its startup, can serve them.
const RETRY_ELSEWHERE: time::Duration = time::Duration::from_millis(200);
/// Number of ranks per account priority.
const RANKS_PER_PRIORITY: u32 = 3;
/// Lowest rank that targets support.
const MAX_RANK: u32 = 9;
/// Time reserved for the transfer of the answer.
const ANSWER_TRANSIT: time::Duration = time::Duration::from_millis(30);

pub(crate) fn arrive(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    envelope: &envelope::Envelope,
    arrived: ids::Time,
    out: &mut Vec<Output>,
) {
    match admit(relay, now, envelope, arrived, out) {
        Ok((row, None)) => enqueue_new(relay, now, call, row, out),
        Ok((row, Some(wait))) => allocation::wait(relay, now, call, row, wait, out),
        Err(rejection) => {
            let line = event::Event::new("call", &envelope.path, rejection.reason)
                .with_id(&envelope.id)
                .with_inputs(format!("version {} {}", relay.version(), rejection.inputs));
            out.push(Output::Log(line));
            out.push(Output::Measure(event::Measure::Ended { outcome: rejection.reason }));
            out.push(refusal(call, rejection.status, rejection.reason, rejection.retry_after));
        }
    }
}

/// Reason for not admitting a call.
#[derive(Debug)]
pub(crate) struct Rejection {
    status: u16,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<time::Duration>,
    pub(crate) inputs: String,
}

impl Rejection {
    pub(crate) const fn new(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, inputs: String::new() }
    }

    pub(crate) const fn with_wait(mut self, wait: time::Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    pub(crate) fn with_inputs(mut self, inputs: String) -> Self {
        self.inputs = inputs;
        self
    }
}

pub(crate) type Result<T, E = Rejection> = std::result::Result<T, E>;

/// Checks a call. Returns its row, and `Some` if it is to wait for quota units.
fn admit(
    relay: &mut Relay,
    now: ids::Time,
    envelope: &envelope::Envelope,
    arrived: ids::Time,
    out: &mut Vec<Output>,
) -> Result<(call::Row, Option<allocation::Wait>)> {
    // Open connections may deliver calls until the process exits.
    if !relay.stage.accepts_calls(now) {
        return Err(Rejection::new(503, "stopping").with_wait(RETRY_ELSEWHERE));
    }
    let Some(config) = relay.config.clone() else {
        return Err(Rejection::new(503, "no configuration").with_wait(RETRY_ELSEWHERE));
    };
    let Some(route) = config.route(&envelope.host, &envelope.path) else {
        return Err(Rejection::new(404, "no route"));
    };
    let account = if config.needs_key(route) {
        let account = envelope.key.as_ref().and_then(|key| config.account_of(key));
        let Some(account) = account else {
            return Err(Rejection::new(401, "unknown key"));
        };
        Some(account)
    } else {
        None
    };
    let Some(service) = pick_service(relay, &route.split) else {
        return Err(Rejection::new(503, "no service").with_wait(RETRY_ELSEWHERE));
    };
    let timeout = envelope.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let (mut units, mut wait) = (0.0, None);
    if let Some(account) = account {
        units = quota_units(account, envelope);
        let deadline = arrived + timeout;
        let charge = allocation::Charge { account, route, units, deadline };
        wait = allocation::charge(relay, now, charge, out)?;
        if wait.is_some() {
            units = 0.0;
        }
    }
    let item = match &envelope.work {
        Some(work) => work.item(),
        None => route::item::service(&service),
    };
    let row = call::Row {
        rank: rank(account, route),
        is_courtesy: config.is_lowest_priority(route),
        account: account.map(|account| account.name.clone()),
        envelope: envelope.clone(),
        route: sync::Arc::clone(route),
        service,
        units,
        item,
        arrived,
        deadline: arrived + timeout,
        stage: call::Stage::Waiting,
        tried: Vec::new(),
        unreached: Vec::new(),
        may_have_run: false,
        has_begun: false,
        resume_after: None,
        adapter_requested_at: None,
    };
    Ok((row, wait))
}

/// Selects a service of the route at random, by weight.
fn pick_service(relay: &mut Relay, split: &[(ids::Service, u32)]) -> Option<ids::Service> {
    let total: u32 = split.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return split.first().map(|(service, _)| service.clone());
    }
    let mut drawn = relay.rng.random_range(0..total);
    for (service, weight) in split {
        if drawn < *weight {
            return Some(service.clone());
        }
        drawn -= weight;
    }
    None
}

/// Units that a call uses of its account's quota.
fn quota_units(account: &config::Account, envelope: &envelope::Envelope) -> f64 {
    match account.unit {
        config::Unit::Calls => 1.0,
        config::Unit::Tokens(usual) => envelope
            .work
            .as_ref()
            .map_or(usual, |work| (work.prompt_tokens + work.output_tokens) as f64),
    }
}

/// Scheduling rank at targets: by the account's priority, then by the route's.
fn rank(account: Option<&config::Account>, route: &config::Route) -> u8 {
    let first = account.map_or(0, |account| account.priority);
    let rank = first
        .saturating_mul(RANKS_PER_PRIORITY)
        .saturating_add(route.priority.min(RANKS_PER_PRIORITY - 1));
    u8::try_from(rank.min(MAX_RANK)).unwrap_or(u8::MAX)
}

/// Queues a new call, unless it certainly cannot be served in time.
pub(crate) fn enqueue_new(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    row: call::Row,
    out: &mut Vec<Output>,
) {
    if let Some(budget) = relay.retries.get_mut(&row.service) {
        budget.deposit();
    }
    if let Some(block) = quarantine::block(relay, &row) {
        quarantine::refuse(relay, now, call, &row, block, out);
        return;
    }
    if let Some(work) = &row.envelope.work {
        let busy_ms = choice::busy_ms(work) * relay.pace_of(&row);
        relay.demand.add(now, &row.service, &work.model, busy_ms);
    }
    if let Some(mut rejection) = rejection_reason(relay, now, &row) {
        if let Some(wait) = cold::retry_after(relay, now, &row) {
            rejection.retry_after = Some(wait);
        }
        if rejection.reason == cold::REASON {
            out.push(Output::Measure(event::Measure::ColdWithheld));
        }
        refuse(relay, call, &row, rejection.reason, rejection.retry_after, &rejection.inputs, out);
        return;
    }
    enqueue(relay, now, call, row, out);
}

/// Queues an admitted call, for its first attempt or a retry.
pub(crate) fn enqueue(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    row: call::Row,
    out: &mut Vec<Output>,
) {
    if !row.tried.is_empty()
        && let Some(rejection) = evacuation::refusal(relay, now, &row)
    {
        evacuation::end(relay, now, call, &row, &rejection, out);
        return;
    }
    let class = if row.is_courtesy { format::Class::Courtesy } else { format::Class::Paid };
    let entry = route::queue::Entry {
        call,
        account: row.account.clone().unwrap_or_else(|| "".into()),
        class,
        tokens: row.envelope.work.as_ref().map_or(1, envelope::Work::kv_tokens),
        item: sync::Arc::clone(&row.item),
        arrived: row.arrived,
        deadline: latest_start(&row),
        prefix: 0,
    };
    relay.calls.insert(call, row);
    let refused = match relay.queue.push(now, entry) {
        Ok(None) => return,
        Ok(Some(evicted)) => evicted.call,
        Err(full) => full.0.call,
    };
    let waiting = relay.queue.len();
    if let Some(row) = relay.calls.remove(refused) {
        refuse(
            relay,
            refused,
            &row,
            "queue full",
            Some(RETRY_ELSEWHERE),
            &format!("waiting {waiting}"),
            out,
        );
    }
}

/// Latest time at which the call can be sent and still be answered in time.
pub(crate) fn latest_start(row: &call::Row) -> ids::Time {
    let needed = |estimate_ms: fn(&envelope::Work) -> f64| {
        let estimate_ms = row.envelope.work.as_ref().map_or(0.0, estimate_ms);
        time::Duration::from_secs_f64(estimate_ms / 1_000.0) + ANSWER_TRANSIT
    };
    let whole = row.deadline.since(row.arrived).saturating_sub(needed(choice::min_answer_ms));
    let first = row.route.max_wait().saturating_sub(needed(choice::min_first_byte_ms));
    row.arrived + whole.min(first)
}

/// Returns the reason if the call certainly cannot be served in time.
pub(crate) fn rejection_reason(
    relay: &Relay,
    now: ids::Time,
    row: &call::Row,
) -> Option<Rejection> {
    if let Some(pause::Hopeless { wait, inputs }) = pause::hopeless(relay, now, row) {
        return Some(Rejection::new(503, pause::REASON).with_wait(wait).with_inputs(inputs));
    }
    let config = relay.config.as_ref()?;
    if let Some(rejection) = evacuation::refusal_without_targets(relay, row) {
        return Some(rejection);
    }
    let service = config.services.get(&row.service)?;
    if let Some(inputs) = cold::shortage(relay, now, service, row, latest_start(row)) {
        return Some(Rejection::new(503, cold::REASON).with_inputs(inputs));
    }
    let (Some(work), Some(engine)) = (&row.envelope.work, &service.engine) else {
        return None;
    };
    if !engine.models.contains_key(&work.model) {
        return Some(Rejection::new(503, "unknown model"));
    }
    if work.prompt_tokens > engine.kv_tokens {
        return Some(Rejection::new(503, "larger than the memory"));
    }
    let is_loaded =
        relay.targets.open(&row.service).any(|target| target.holds(now, &work.model, None));
    if is_loaded {
        let ahead = dispatch::calls_in_time(relay, now, &row.item);
        let wait = relay.throughput.expected_wait(now, &row.item, ahead);
        return (wait > row.route.objective).then(|| {
            let inputs = format!("ahead {ahead} wait {wait:?}");
            let wait = wait.saturating_sub(row.route.objective).max(RETRY_ELSEWHERE);
            Rejection::new(503, "overloaded").with_wait(wait).with_inputs(inputs)
        });
    }
    load_rejection(relay, now, row)
}

/// Returns the reason if the model of a call, which no usable target holds, certainly cannot
/// be loaded in time.
pub(crate) fn load_rejection(relay: &Relay, now: ids::Time, row: &call::Row) -> Option<Rejection> {
    let work = row.envelope.work.as_ref()?;
    let engine = relay.config.as_ref()?.services.get(&row.service)?.engine.as_ref()?;
    let model = engine.models.get(&work.model)?;
    let expected_at = relay.planner.as_ref().and_then(|planner| planner.expected_at(&work.model));
    let fastest_load = relay
        .targets
        .open(&row.service)
        .map(|target| {
            if target.entry.warm.contains(&work.model) {
                model.warm
            } else if target.entry.on_disk.contains(&work.model) {
                model.disk
            } else {
                model.load
            }
        })
        .min()
        .unwrap_or(model.load);
    let wait = expected_at.map_or(fastest_load, |at| at.since(now));
    let left = latest_start(row).since(now);
    (wait > left).then(|| {
        Rejection::new(503, "model not loaded")
            .with_wait(wait)
            .with_inputs(format!("model {} load {wait:?} left {left:?}", work.model))
    })
}

/// Refuses a call that has not run, and refunds its quota units.
pub(crate) fn refuse(
    relay: &mut Relay,
    call: ids::Call,
    row: &call::Row,
    reason: &'static str,
    retry_after: Option<time::Duration>,
    inputs: &str,
    out: &mut Vec<Output>,
) {
    if let Some(account) = &row.account {
        relay.quota.refund(account, row.units);
    }
    let inputs = format!(
        "version {} route {} item {} tried {} {inputs}",
        relay.version(),
        row.route.name,
        row.item,
        row.tried.len()
    );
    out.push(line(row, &row.service, reason, inputs));
    out.push(Output::Measure(event::Measure::Ended { outcome: reason }));
    out.push(refusal(call, 503, reason, retry_after));
}

/// Ends queued calls that the current configuration no longer allows.
pub(crate) fn recheck(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let Some(config) = relay.config.clone() else {
        return;
    };
    let mut ended = Vec::new();
    for (call, row) in relay.calls.iter().filter(|(_, row)| row.stage == call::Stage::Waiting) {
        let status = match config.route(&row.envelope.host, &row.envelope.path) {
            None => Some((404, "no route")),
            Some(route) if config.needs_key(route) => {
                let known = row.envelope.key.as_ref().and_then(|key| config.account_of(key));
                known.is_none().then_some((401, "unknown key"))
            }
            Some(_) => None,
        };
        if let Some((status, reason)) = status {
            ended.push((call, status, reason));
        } else if config
            .route(&row.envelope.host, &row.envelope.path)
            .is_some_and(|route| !route.split.iter().any(|(service, _)| *service == row.service))
        {
            ended.push((call, 503, "route moved"));
        }
    }
    for (call, status, reason) in ended {
        relay.queue.remove(call);
        let Some(row) = relay.calls.remove(call) else {
            continue;
        };
        if let Some(account) = &row.account {
            relay.quota.refund(account, row.units);
        }
        out.push(line(&row, &row.service, reason, format!("version {} at {now}", config.version)));
        // A refusal states that the call has not run, so it is not used for a call that
        // was sent before and may have run.
        if row.may_have_run {
            out.push(Output::Fail { call, status: 502, reason });
        } else {
            let wait = (status == 503).then_some(RETRY_ELSEWHERE);
            out.push(refusal(call, status, reason, wait));
        }
    }
}
