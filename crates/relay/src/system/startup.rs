//! Calls that arrive during startup, before the configuration, the targets and the
//! other VMs are known.
//!
//! Callers queue at the socket of a starting VM. Such calls are held rather than
//! refused, as refused callers would retry later than the VM can serve them.

use std::time;

use crate::{Output, envelope, event, relay::Relay, relay::Stage, system::admission};

/// Time after the start in which calls are held. Reading the store takes 10 to 60 ms in
/// replayed traffic; callers wait a second for a node that does not read them.
const HOLD_PERIOD: time::Duration = time::Duration::from_millis(500);
/// Maximum wait for the other VMs after the start; running VMs are heard within 150 ms.
const PEER_WAIT: time::Duration = time::Duration::from_millis(200);
/// Time after the start in which the load of the other VMs is not known well enough:
/// all VMs release their held calls at once, and it takes three digest intervals of a
/// large fleet until these are reported.
const LOAD_UNKNOWN_PERIOD: time::Duration = time::Duration::from_millis(1_200);

/// A call that is held back.
#[derive(Debug)]
pub(crate) struct Held {
    envelope: envelope::Envelope,
    arrived: ids::Time,
}

/// Handles a new call, immediately or after startup.
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

/// Releases the held calls once startup has finished or timed out.
pub(crate) fn release(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    if relay.held_calls.is_empty() || is_starting(relay, now) {
        return;
    }
    for (call, held) in std::mem::take(&mut relay.held_calls) {
        admission::arrive(relay, now, call, &held.envelope, held.arrived, out);
    }
}

/// Drops a held call whose caller has disconnected. Returns whether it was held.
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

/// Fraction of a plain service instance's capacity that this VM may use.
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
