//! The planner's view of one runner: its ledger row, its orders and its last report.

use std::{collections, sync, time};

use engine::{order, report};

use crate::{
    config::Config,
    ledger::{Ledger, Pending, Resident, Sender, State},
};

/// Item and version of a resident.
pub(crate) type Key = (sync::Arc<str>, sync::Arc<str>);

/// An order that this planner has sent.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    fence: ids::Fence,
    at: ids::Time,
    /// The reply and when it arrived.
    reply: Option<(order::Reply, ids::Time)>,
}

/// What this planner has observed of a resident, in addition to its row.
#[derive(Clone, Debug)]
struct Observation {
    resident: Resident,
    /// When the resident was first read in its present state.
    since: ids::Time,
    sent: Option<Sent>,
    /// Whether the pending order has replaced one that may still arrive.
    replaces: bool,
    /// When the sender of the pending order was first missing from the members.
    departed: Option<ids::Time>,
}

impl Observation {
    /// Creates the observation of a resident that has changed or is new.
    fn new(now: ids::Time, resident: &Resident, old: Option<Self>) -> Self {
        let fence = resident.order.as_ref().map(|pending| pending.fence);
        let both_pending = |old: &Self| old.resident.order.is_some() && fence.is_some();
        let replaces = old.as_ref().is_some_and(|old| both_pending(old) && !has_no_effect(old));
        Self {
            resident: resident.clone(),
            since: now,
            sent: old.and_then(|old| old.sent).filter(|sent| Some(sent.fence) == fence),
            replaces,
            departed: None,
        }
    }
}

/// A report and when it was measured and received.
#[derive(Clone, Debug)]
pub(crate) struct Reported {
    pub(crate) report: engine::Report,
    /// Earliest time at which the report's figures may have been measured.
    pub(crate) taken: ids::Time,
    pub(crate) received: ids::Time,
}

/// The planner's view of one runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// The version of the row as last read or written; `None` if there is no row.
    pub(crate) version: Option<ids::Version>,
    /// Whether the row has been read and need not be read again.
    pub(crate) known: bool,
    /// When the request that last confirmed the row was sent.
    pub(crate) confirmed: ids::Time,
    /// The operation on the row whose answer is outstanding.
    pub(crate) in_flight: Option<ids::Op>,
    pub(crate) ledger: Ledger,
    pub(crate) reported: Option<Reported>,
    /// Whether a write to this version of the row may still take effect after an unknown outcome.
    pub(crate) in_doubt: bool,
    /// The row after a write that is in flight or whose outcome is unknown.
    pub(crate) intended: Option<Ledger>,
    /// When this version of the row was first read.
    version_read: ids::Time,
    observations: collections::BTreeMap<Key, Observation>,
    /// Items that the runner has refused, and until when it is not asked to load them again.
    refused_until: collections::BTreeMap<sync::Arc<str>, ids::Time>,
}

/// What a runner's report says about a resident.
enum Evidence<'a> {
    /// There is no report that is recent enough.
    Missing,
    /// The report does not list the resident.
    Absent,
    /// The report lists the resident.
    Present(&'a report::Resident),
}

/// What reconciliation needs besides the view of a runner.
pub(crate) struct Context<'a> {
    pub(crate) now: ids::Time,
    pub(crate) config: &'a Config,
    pub(crate) members: &'a [Sender],
    /// Whether the runner checks fencing tokens.
    pub(crate) fencing: bool,
}

impl Context<'_> {
    fn order_delay(&self) -> time::Duration {
        time::Duration::from_millis(self.config.order_delay_ms)
    }
}

pub(crate) fn key_of(resident: &Resident) -> Key {
    (sync::Arc::clone(&resident.item), sync::Arc::clone(&resident.version))
}

impl View {
    /// Updates the view from the row in the table, as requested at `sent`.
    pub(crate) fn update(
        &mut self,
        now: ids::Time,
        sent: ids::Time,
        version: Option<ids::Version>,
        ledger: Ledger,
    ) {
        self.confirmed = self.confirmed.max(sent);
        if self.known && self.version == version {
            return;
        }
        self.in_doubt &= self.version == version;
        if !self.in_doubt {
            self.intended = None;
        }
        self.known = true;
        self.version = version;
        self.version_read = now;
        let mut previous = std::mem::take(&mut self.observations);
        for resident in &ledger.residents {
            let key = key_of(resident);
            let observation = match previous.remove(&key) {
                Some(observation) if observation.resident == *resident => observation,
                old => Observation::new(now, resident, old),
            };
            self.observations.insert(key, observation);
        }
        self.ledger = ledger;
    }

    /// The row, or the row after the write in flight.
    pub(crate) fn expected(&self) -> &Ledger {
        self.intended.as_ref().unwrap_or(&self.ledger)
    }

    /// Whether the row may be changed now.
    pub(crate) const fn is_writable(&self) -> bool {
        self.known && self.in_flight.is_none()
    }

    /// Whether the row has a pending order from `me`.
    pub(crate) fn has_order_of(&self, me: &Sender) -> bool {
        let mut pending = self.ledger.residents.iter().filter_map(|each| each.order.as_ref());
        pending.any(|pending| pending.sender == *me)
    }

    /// Records the reply to an order.
    ///
    /// After a refusal the runner is not asked to load the item for `hold_off`.
    pub(crate) fn record_reply(
        &mut self,
        now: ids::Time,
        key: &Key,
        fence: ids::Fence,
        reply: order::Reply,
        hold_off: time::Duration,
    ) {
        if reply == order::Reply::Refused {
            self.refused_until.insert(sync::Arc::clone(&key.0), now + hold_off);
        }
        let Some(observation) = self.observations.get_mut(key) else {
            return;
        };
        if let Some(sent) = &mut observation.sent
            && sent.fence == fence
        {
            sent.reply = Some((reply, now));
        }
    }

    /// The items that the runner has refused recently.
    pub(crate) fn recently_refused(&self, now: ids::Time) -> collections::BTreeSet<sync::Arc<str>> {
        let refused = self.refused_until.iter().filter(|(_, until)| now < **until);
        refused.map(|(item, _)| sync::Arc::clone(item)).collect()
    }

    /// Marks the row as unknown, so that it is read again before it is used.
    pub(crate) const fn mark_unknown(&mut self) {
        self.known = false;
    }

    /// Whether the last report was measured after this version of the row was first read.
    pub(crate) fn has_report_since_read(&self) -> bool {
        self.reported.as_ref().is_some_and(|reported| reported.taken > self.version_read)
    }

    /// Whether `version` of `item` is to be unloaded, or may be after the write in flight.
    pub(crate) fn is_unloading(&self, item: &str, version: &str) -> bool {
        let mut ledgers = std::iter::once(&self.ledger).chain(&self.intended);
        ledgers.any(|ledger| {
            let row = ledger.get(item, version);
            row.is_some_and(|resident| resident.state == State::Unloading)
        })
    }

    /// Whether this planner has an order to send for the row.
    pub(crate) fn has_due_orders(&self, context: &Context<'_>) -> bool {
        self.ledger.residents.iter().any(|resident| {
            let is_own = |pending: &Pending| pending.sender == context.config.me;
            let observation = self.observations.get(&key_of(resident));
            resident.order.as_ref().is_some_and(is_own)
                && observation.is_some_and(|observation| is_due(context, resident, observation))
        })
    }

    /// Returns the orders that this planner must send now, and marks them as sent.
    pub(crate) fn take_due_orders(&mut self, context: &Context<'_>) -> Vec<engine::Order> {
        let mut due = Vec::new();
        for resident in &self.ledger.residents {
            let Some(pending) = &resident.order else {
                continue;
            };
            let Some(observation) = self.observations.get_mut(&key_of(resident)) else {
                continue;
            };
            if pending.sender != context.config.me || !is_due(context, resident, observation) {
                continue;
            }
            observation.sent = Some(Sent { fence: pending.fence, at: context.now, reply: None });
            due.extend(resident.to_order());
        }
        due
    }

    /// Updates when the senders of pending orders were first missing from the members.
    pub(crate) fn update_departures(&mut self, context: &Context<'_>) {
        for observation in self.observations.values_mut() {
            let Some(pending) = &observation.resident.order else {
                continue;
            };
            let is_departed = !context.members.contains(&pending.sender);
            observation.departed = is_departed.then(|| observation.departed.unwrap_or(context.now));
        }
    }

    /// The row after reconciliation with the runner's last report.
    pub(crate) fn reconciled(&self, context: &Context<'_>) -> Ledger {
        let mut residents = Vec::new();
        for resident in &self.ledger.residents {
            match self.observations.get(&key_of(resident)) {
                Some(observation) => {
                    residents.extend(self.reconcile(context, resident, observation));
                }
                None => residents.push(resident.clone()),
            }
        }
        let mut ledger = Ledger { residents };
        self.add_unrecorded(&mut ledger);
        ledger
    }

    /// What the last report says about a resident, if it was measured after `since`.
    fn evidence(&self, resident: &Resident, since: ids::Time) -> Evidence<'_> {
        let Some(reported) = self.reported.as_ref().filter(|reported| reported.taken > since)
        else {
            return Evidence::Missing;
        };
        let mut residents = reported.report.residents.iter();
        residents
            .find(|each| each.item == resident.item && each.version == resident.version)
            .map_or(Evidence::Absent, Evidence::Present)
    }

    /// Reconciles a resident with the last report; `None` if it is to be removed.
    fn reconcile(
        &self,
        context: &Context<'_>,
        resident: &Resident,
        observation: &Observation,
    ) -> Option<Resident> {
        if resident.state != State::Unloading && has_no_effect(observation) {
            return None;
        }
        let mut resident = resident.clone();
        match self.evidence(&resident, observation.since) {
            Evidence::Missing => return Some(resident),
            Evidence::Absent => {}
            Evidence::Present(listed) => {
                resident.memory_mib = resident.memory_mib.max(listed.memory_mib);
                self.reconcile_present(context, &mut resident, observation, listed.state);
                return Some(resident);
            }
        }
        if self.is_unloaded(context, &resident, observation) {
            return None;
        }
        let is_orphan = context.fencing && is_orphaned(context, &resident, observation);
        if is_orphan || needs_replacement(context, &resident, observation) {
            resident.order = Some(self.new_pending(context));
        }
        Some(resident)
    }

    /// Reconciles a resident that the last report lists in the state `listed`.
    fn reconcile_present(
        &self,
        context: &Context<'_>,
        resident: &mut Resident,
        observation: &Observation,
        listed: report::State,
    ) {
        match resident.state {
            State::Reserved | State::Loading if listed == report::State::Ready => {
                resident.state = State::Ready;
                resident.order = None;
            }
            State::Unloading
                if resident.order.is_none()
                    || has_no_effect(observation)
                    || is_orphaned(context, resident, observation) =>
            {
                resident.order = Some(self.new_pending(context));
            }
            _ => {}
        }
    }

    /// Whether a resident that the last report does not list can't be loaded
    /// (again) by an order that may still take effect.
    fn is_unloaded(
        &self,
        context: &Context<'_>,
        resident: &Resident,
        observation: &Observation,
    ) -> bool {
        let Some(reported) = &self.reported else {
            return false;
        };
        let Some(pending) = &resident.order else {
            return true;
        };
        if context.fencing && resident.state == State::Unloading {
            return reported.report.fence >= pending.fence;
        }
        let Some(expiry) = order_expiry(context, observation) else {
            return false;
        };
        reported.taken > expiry
    }

    /// A new pending order of this planner, fenced by the next version of the row.
    pub(crate) fn new_pending(&self, context: &Context<'_>) -> Pending {
        let next = self.version.unwrap_or_default().next();
        Pending { sender: context.config.me.clone(), fence: ids::Fence::new(next.get()) }
    }

    /// Adds the residents that the last report lists and the row does not have.
    fn add_unrecorded(&self, ledger: &mut Ledger) {
        let Some(reported) = &self.reported else {
            return;
        };
        if reported.taken <= self.version_read {
            return;
        }
        for listed in &reported.report.residents {
            if self.ledger.get(&listed.item, &listed.version).is_some() {
                continue;
            }
            let state = match listed.state {
                report::State::Loading => State::Loading,
                report::State::Ready => State::Ready,
                report::State::Unloading => State::Unloading,
            };
            let resident = Resident::new(&listed.item, &listed.version, state, listed.memory_mib);
            ledger.residents.push(resident);
        }
    }
}

/// Whether an order must be sent or resent.
///
/// An order to load is sent only once. An order to unload is resent when a
/// duplicate can't unload a later copy: if the runner checks fencing tokens, or
/// once the earlier order can't take effect any more.
fn is_due(context: &Context<'_>, resident: &Resident, observation: &Observation) -> bool {
    let Some(sent) = &observation.sent else {
        return true;
    };
    if resident.state != State::Unloading {
        return false;
    }
    let wait = if context.fencing {
        time::Duration::from_millis(context.config.retry_ms)
    } else {
        context.order_delay()
    };
    context.now.since(sent.at) >= wait
}

/// Whether no order for a resident has taken effect or can still do so.
fn has_no_effect(observation: &Observation) -> bool {
    let reply = observation.sent.as_ref().and_then(|sent| sent.reply.as_ref());
    match reply {
        Some((order::Reply::Stale, _)) => true,
        // A refusal does not prove that the runner has recorded the newer
        // fencing token, so a replaced order may still take effect.
        Some((order::Reply::Refused, _)) => !observation.replaces,
        _ => false,
    }
}

/// The time from which a pending order can't take effect any more, if that is known.
fn order_expiry(context: &Context<'_>, observation: &Observation) -> Option<ids::Time> {
    let Some(sent) = &observation.sent else {
        return observation.departed.map(|departed| departed + context.order_delay());
    };
    let expiry = sent.at + context.order_delay();
    match &sent.reply {
        Some((order::Reply::Taken | order::Reply::Stale, at)) => Some(*at),
        Some((order::Reply::Refused, at)) if !observation.replaces => Some(*at),
        _ => Some(expiry),
    }
}

/// Whether the sender of a pending order has left and the order can't take effect any more.
fn is_orphaned(context: &Context<'_>, resident: &Resident, observation: &Observation) -> bool {
    let is_foreign = |pending: &Pending| pending.sender != context.config.me;
    resident.order.as_ref().is_some_and(is_foreign)
        && observation
            .departed
            .is_some_and(|departed| context.now > departed + context.order_delay())
}

/// Whether an order to load must be replaced by one with a newer fencing token.
///
/// This is safe: once the runner has the new order, it refuses the replaced one,
/// and loading an item that is already resident has no effect.
fn needs_replacement(
    context: &Context<'_>,
    resident: &Resident,
    observation: &Observation,
) -> bool {
    if !context.fencing || resident.state == State::Unloading || resident.order.is_none() {
        return false;
    }
    let Some(sent) = &observation.sent else {
        return observation.departed.is_some()
            && context.now.since(observation.since) > context.order_delay();
    };
    let is_unknown = match &sent.reply {
        Some((reply, _)) => *reply == order::Reply::Unknown,
        None => true,
    };
    let wait = time::Duration::from_millis(context.config.retry_ms);
    is_unknown && context.now.since(sent.at) > wait
}
