//! Calls that arrive while the VM starts, before it knows what it needs to
//! decide on them: configuration, targets, and the other VMs.
//!
//! Callers queue at the socket of a VM that is being started. Refused, they come
//! back later than the VM would have served them.

use std::time;

use crate::{Output, envelope, event, relay::Relay, relay::Stage, system::admission};

/// Time after the start in which calls are held. The store is read in 10 to 60 ms
/// on the days that were played; callers wait a second for a node that does not
/// read them.
const HOLD_PERIOD: time::Duration = time::Duration::from_millis(500);
/// Time after the start in which the other VMs are waited for; those that run are
/// heard in 150 ms.
const PEER_WAIT: time::Duration = time::Duration::from_millis(200);
/// Time after the start in which what the other VMs send is not known well enough:
/// the calls that were held everywhere go out at once, and three digests of a large
/// fleet tell of them.
const LOAD_UNKNOWN_PERIOD: time::Duration = time::Duration::from_millis(1_200);

/// A call that was not looked at yet.
#[derive(Debug)]
pub(crate) struct Held {
    envelope: envelope::Envelope,
    arrived: ids::Time,
}

/// Decides on a call that arrives, now or when the VM has come up.
pub(crate) fn arrive(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    envelope: envelope::Envelope,
    arrived: ids::Time,
    out: &mut Vec<Output>,
) {
    if !is_starting(relay, now) {
        admission::arrive(relay, now, call, &envelope, arrived, out);
        return;
    }
    let (heard, all) = relay.peers.count(now);
    let inputs = format!("version {} peers {heard}/{all}", relay.version());
    let line =
        event::Event::new("call", &envelope.path, "held").with_id(&envelope.id).with_inputs(inputs);
    out.push(Output::Log(line));
    relay.held_calls.insert(call, Held { envelope, arrived });
}

/// Decides on the calls that were held, once the VM has come up or its time is over.
pub(crate) fn release(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if relay.held_calls.is_empty() || is_starting(relay, now) {
        return;
    }
    for (call, held) in std::mem::take(&mut relay.held_calls) {
        admission::arrive(relay, now, call, &held.envelope, held.arrived, out);
    }
}

/// The caller of a call has gone; whether the call was held.
pub(crate) fn caller_left(
    relay: &mut Relay,
    now: ids::Time,
    call: ids::Call,
    out: &mut Vec<Output>,
) -> bool {
    let Some(held) = relay.held_calls.remove(&call) else {
        return false;
    };
    let inputs = format!("waited {:?}", now.since(held.arrived));
    let line =
        event::Event::new("call", &held.envelope.path, "caller left").with_id(&held.envelope.id);
    out.push(Output::Log(line.with_inputs(inputs)));
    out.push(Output::Measure(event::Measure::Ended { outcome: "caller left" }));
    true
}

/// Part of the places at a plain service's instance that this VM may count on.
pub(crate) fn place_share(relay: &Relay, now: ids::Time) -> f64 {
    let age = relay.started.map_or(time::Duration::ZERO, |started| now.since(started));
    let (_, all) = relay.peers.count(now);
    if age < LOAD_UNKNOWN_PERIOD { 1.0 / all as f64 } else { 1.0 }
}

fn is_starting(relay: &Relay, now: ids::Time) -> bool {
    let age = relay.started.map_or(time::Duration::ZERO, |started| now.since(started));
    if age >= HOLD_PERIOD || relay.stage != Stage::Running {
        return false;
    }
    let (heard, all) = relay.peers.count(now);
    let has_met = relay.peers.is_known() && (heard == all || age >= PEER_WAIT);
    relay.config.is_none() || !relay.has_targets || !has_met
}
