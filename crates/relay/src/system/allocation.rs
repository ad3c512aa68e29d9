//! Charging of calls to their accounts' quotas, and calls that wait for units.

use std::time;

use crate::{
    Output, call, config, event,
    quota::{self, allocation},
    relay::{self, Relay, line, refusal},
    system::{admission, overlay},
};

/// Reason of refusals of calls that get no units.
const OVER_QUOTA: &str = "over quota";

/// A call that is to wait for its units.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    request: allocation::Request,
    until: ids::Time,
}

/// What is known of a call when it is charged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge<'a> {
    pub(crate) account: &'a config::Account,
    pub(crate) route: &'a config::Route,
    pub(crate) units: f64,
    pub(crate) deadline: ids::Time,
}

/// Takes the units of a new call. Returns `Some` if it is to wait for them.
pub(crate) fn charge(
    relay: &mut Relay,
    now: ids::Time,
    charge: Charge<'_>,
    out: &mut Vec<Output>,
) -> admission::Result<Option<Wait>> {
    let Charge { account, route, units, deadline } = charge;
    let name = &account.name;
    let view = overlay::view(relay, now);
    let reject = |wait, inputs: String| {
        let inputs = format!("account {name} units {units} peers {view:?}: {inputs}");
        admission::Rejection::new(429, OVER_QUOTA).with_wait(wait).with_inputs(inputs)
    };
    if !relay.settings.by_urgency {
        let taken = relay.quota.take(now, view, name, units);
        return taken.map(|()| None).map_err(|short| reject(short.wait, short.to_string()));
    }
    let request = allocation::Request::new(route.priority, units);
    relay.quota.ask(now, view, name, request);
    let ahead = relay.units.ahead(name, request.class);
    let taken = relay.quota.take_by_urgency(now, view, name, request, ahead);
    let is_limited = account.rate > 0.0;
    let Err(shortage) = taken else {
        measure(is_limited, route, units, "granted", out);
        return Ok(None);
    };
    let patience = allocation::max_wait(route.objective);
    let until = (now + patience).min(deadline);
    let has_space = relay.units.len() < allocation::MAX_WAITING
        && relay.units.len() + relay.queue.len() < relay::MAX_QUEUED_CALLS;
    let is_crowded = relay.quota.is_crowded(name);
    if is_crowded && has_space && shortage.short.wait <= until.since(now) {
        return Ok(Some(Wait { request, until }));
    }
    measure(is_limited, route, units, "refused", out);
    if !is_crowded {
        return Err(reject(shortage.short.wait, shortage.short.to_string()));
    }
    let honoured = allocation::honoured(deadline.since(now));
    let back = relay.quota.promise(now, name, request, &shortage, honoured);
    let waited = format!("waiting {}", relay.units.len());
    Err(reject(back, explain(request, &shortage, ahead, &waited, honoured)))
}

/// Inputs from which an operator sees why a call got no units.
fn explain(
    request: allocation::Request,
    shortage: &quota::Shortage,
    ahead: f64,
    waited: &str,
    honoured: time::Duration,
) -> String {
    let quota::Shortage { short, reserved, asked, granted, portion, rule, .. } = shortage;
    format!(
        "{short}; rule {rule}: priority {} size {} gets {granted:.0} of {asked:.0} a second, \
         portion {portion:.0} reserved {reserved:.0} ahead {ahead:.0} {waited} \
         honoured {honoured:?}",
        request.class.priority(),
        request.class.band(),
    )
}

/// Has an admitted call wait for its units.
pub(crate) fn wait(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    row: call::Row,
    wait: Wait,
    out: &mut Vec<Output>,
) {
    let Some(account) = row.account.clone() else {
        return;
    };
    let Wait { request, until } = wait;
    let inputs = format!(
        "version {} route {} account {account} units {} priority {} size {} for {:?} waiting {}",
        relay.version(),
        row.route.name,
        request.units,
        request.class.priority(),
        request.class.band(),
        until.since(now),
        relay.units.len()
    );
    out.push(line(&row, &row.service, "waits for units", inputs));
    relay.calls.insert(call, row);
    relay.units.push(allocation::Entry { call, account, request, until });
}

/// Queues waiting calls for which there are units, and refuses those that have waited too long.
pub(crate) fn serve(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if relay.units.is_empty() {
        return;
    }
    let view = overlay::view(relay, now);
    // Calls whose caller has left, or that were ended for another reason, have no row.
    let Relay { units, calls, .. } = relay;
    units.retain(|entry| calls.get(entry.call).is_some());
    let mut blocked = Vec::new();
    for entry in relay.units.take() {
        let allocation::Entry { account, request, .. } = &entry;
        let key = (account.clone(), request.class);
        let is_due = entry.until <= now;
        if !is_due && blocked.contains(&key) {
            relay.units.push(entry);
            continue;
        }
        match relay.quota.take_by_urgency(now, view, account, *request, 0.0) {
            Ok(()) => {
                let Some(mut row) = relay.calls.remove(entry.call) else {
                    continue;
                };
                row.units = request.units;
                measure(true, &row.route, row.units, "granted", out);
                admission::enqueue_new(relay, now, entry.call, row, out);
            }
            Err(shortage) if is_due => refuse(relay, now, &entry, &shortage, out),
            Err(_) => {
                blocked.push(key);
                relay.units.push(entry);
            }
        }
    }
}

/// Refuses a call that has waited for units in vain.
fn refuse(
    relay: &mut Relay,
    now: ids::Time,
    entry: &allocation::Entry,
    shortage: &quota::Shortage,
    out: &mut Vec<Output>,
) {
    let Some(row) = relay.calls.remove(entry.call) else {
        return;
    };
    let allocation::Entry { account, request, .. } = entry;
    let honoured = allocation::honoured(row.remaining(now));
    let back = relay.quota.promise(now, account, *request, shortage, honoured);
    let waited = format!("waited {:?}", now.since(row.arrived));
    let inputs = explain(*request, shortage, 0.0, &waited, honoured);
    let inputs =
        format!("version {} account {account} units {}: {inputs}", relay.version(), request.units);
    out.push(line(&row, &row.service, OVER_QUOTA, inputs));
    measure(true, &row.route, request.units, "refused", out);
    out.push(Output::Measure(event::Measure::Ended { outcome: OVER_QUOTA }));
    out.push(refusal(entry.call, 429, OVER_QUOTA, Some(back)));
}

/// Counts a call of a limited account.
fn measure(
    is_limited: bool,
    route: &config::Route,
    units: f64,
    outcome: &'static str,
    out: &mut Vec<Output>,
) {
    if is_limited {
        let priority = route.priority;
        out.push(Output::Measure(event::Measure::Charged { priority, units, outcome }));
    }
}
