//! What a planner knows of one runner: its row, its orders, its last report.

use std::{collections, sync, time};

use engine::{order, report};

use crate::{
    config::Config,
    ledger::{Ledger, Pending, Resident, Sender, State},
};

/// Name and version of a resident.
pub(crate) type Name = (sync::Arc<str>, sync::Arc<str>);

/// An order that this planner has sent.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    fence: ids::Fence,
    at: ids::Time,
    reply: Option<(order::Reply, ids::Time)>,
}

/// What this planner knows of a resident besides the row.
#[derive(Clone, Debug)]
struct Local {
    resident: Resident,
    /// When the resident was first seen in its present state.
    since: ids::Time,
    sent: Option<Sent>,
    /// Whether the pending order has replaced one that may yet arrive.
    replaces: bool,
    /// When the sender of its pending order was first seen to have left.
    left: Option<ids::Time>,
}

impl Local {
    /// What is known of a resident that has just changed, or is new.
    fn new(now: ids::Time, resident: &Resident, old: Option<Self>) -> Self {
        let fence = resident.order.as_ref().map(|pending| pending.fence);
        let pending = |old: &Self| old.resident.order.is_some() && fence.is_some();
        let replaces = old.as_ref().is_some_and(|old| pending(old) && !has_no_effect(old));
        Self {
            resident: resident.clone(),
            since: now,
            sent: old.and_then(|old| old.sent).filter(|sent| Some(sent.fence) == fence),
            replaces,
            left: None,
        }
    }
}

/// A report as it was received.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) report: engine::Report,
    /// A moment before which its figures were not taken.
    pub(crate) taken: ids::Time,
    pub(crate) received: ids::Time,
}

/// What a planner knows of one runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// The row's version as last read or written; none if there is no row.
    pub(crate) version: Option<ids::Version>,
    /// Whether the row was read and nothing is in doubt about it.
    pub(crate) known: bool,
    /// When the request that last confirmed the row was made.
    pub(crate) confirmed: ids::Time,
    /// The operation on the row that awaits its answer.
    pub(crate) busy: Option<ids::Op>,
    pub(crate) ledger: Ledger,
    pub(crate) seen: Option<Seen>,
    /// Whether a write to this version of the row may still take effect.
    pub(crate) in_doubt: bool,
    /// What the row may have become by a write whose outcome is not known.
    pub(crate) intended: Option<Ledger>,
    /// When the row's version was first known.
    learned: ids::Time,
    locals: collections::BTreeMap<Name, Local>,
    /// Items that the runner refused, and until when it is not asked again.
    held: collections::BTreeMap<sync::Arc<str>, ids::Time>,
}

/// What a runner shows of a resident.
enum Shown<'a> {
    /// No report is recent enough.
    Nothing,
    /// It is not there.
    Absent,
    /// It is there.
    Present(&'a report::Resident),
}

/// Facts that evidence is weighed with.
pub(crate) struct Scale<'a> {
    pub(crate) now: ids::Time,
    pub(crate) config: &'a Config,
    pub(crate) members: &'a [Sender],
    /// Whether the runner checks fencing tokens.
    pub(crate) fencing: bool,
}

impl Scale<'_> {
    fn delay(&self) -> time::Duration {
        time::Duration::from_millis(self.config.order_delay_ms)
    }
}

pub(crate) fn name(resident: &Resident) -> Name {
    (sync::Arc::clone(&resident.item), sync::Arc::clone(&resident.version))
}

impl View {
    /// Takes in the row as it is in the table.
    pub(crate) fn learn(
        &mut self,
        now: ids::Time,
        asked: ids::Time,
        version: Option<ids::Version>,
        ledger: Ledger,
    ) {
        self.confirmed = self.confirmed.max(asked);
        if self.known && self.version == version {
            return;
        }
        self.in_doubt &= self.version == version;
        if !self.in_doubt {
            self.intended = None;
        }
        self.known = true;
        self.version = version;
        self.learned = now;
        let mut known = std::mem::take(&mut self.locals);
        for resident in &ledger.residents {
            let key = name(resident);
            let local = match known.remove(&key) {
                Some(local) if local.resident == *resident => local,
                old => Local::new(now, resident, old),
            };
            self.locals.insert(key, local);
        }
        self.ledger = ledger;
    }

    /// The row as it is, or as it will be if the write under way takes effect.
    pub(crate) fn expected(&self) -> &Ledger {
        self.intended.as_ref().unwrap_or(&self.ledger)
    }

    /// Whether decisions may be made about the row now.
    pub(crate) const fn is_settled(&self) -> bool {
        self.known && self.busy.is_none()
    }

    /// Whether the row has a pending order of `me`.
    pub(crate) fn has_order_of(&self, me: &Sender) -> bool {
        let mut pending = self.ledger.residents.iter().filter_map(|each| each.order.as_ref());
        pending.any(|pending| pending.sender == *me)
    }

    /// Notes the reply to an order.
    pub(crate) fn reply(
        &mut self,
        now: ids::Time,
        name: &Name,
        fence: ids::Fence,
        reply: order::Reply,
        hold: time::Duration,
    ) {
        if reply == order::Reply::Refused {
            self.held.insert(sync::Arc::clone(&name.0), now + hold);
        }
        let Some(local) = self.locals.get_mut(name) else {
            return;
        };
        if let Some(sent) = &mut local.sent
            && sent.fence == fence
        {
            sent.reply = Some((reply, now));
        }
    }

    /// The items that the runner refused a short while ago.
    pub(crate) fn held(&self, now: ids::Time) -> collections::BTreeSet<sync::Arc<str>> {
        let held = self.held.iter().filter(|(_, until)| now < **until);
        held.map(|(item, _)| sync::Arc::clone(item)).collect()
    }

    /// Notes that the row is to be read again before anything is done about it.
    pub(crate) const fn doubt(&mut self) {
        self.known = false;
    }

    /// Whether a report was taken after the row was seen to be missing.
    pub(crate) fn is_founded_by_report(&self) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.taken > self.learned)
    }

    /// Whether `version` of `item` is to go, or may be by a write under way.
    pub(crate) fn is_going(&self, item: &str, version: &str) -> bool {
        let mut ledgers = std::iter::once(&self.ledger).chain(&self.intended);
        ledgers.any(|ledger| {
            let row = ledger.get(item, version);
            row.is_some_and(|resident| resident.state == State::Unloading)
        })
    }

    /// Whether this planner has an order to send.
    pub(crate) fn has_due(&self, scale: &Scale<'_>) -> bool {
        self.ledger.residents.iter().any(|resident| {
            let mine = |pending: &Pending| pending.sender == scale.config.me;
            let local = self.locals.get(&name(resident));
            resident.order.as_ref().is_some_and(mine)
                && local.is_some_and(|local| is_due(scale, resident, local))
        })
    }

    /// The orders of this planner that are to be sent now, marked as sent.
    pub(crate) fn due(&mut self, scale: &Scale<'_>) -> Vec<engine::Order> {
        let mut due = Vec::new();
        for resident in &self.ledger.residents {
            let Some(pending) = &resident.order else {
                continue;
            };
            let Some(local) = self.locals.get_mut(&name(resident)) else {
                continue;
            };
            if pending.sender != scale.config.me || !is_due(scale, resident, local) {
                continue;
            }
            local.sent = Some(Sent { fence: pending.fence, at: scale.now, reply: None });
            due.extend(resident.to_order());
        }
        due
    }

    /// Notes which senders have left, and when that was first seen.
    pub(crate) fn note_left(&mut self, scale: &Scale<'_>) {
        for local in self.locals.values_mut() {
            let Some(pending) = &local.resident.order else {
                continue;
            };
            let gone = !scale.members.contains(&pending.sender);
            local.left = gone.then(|| local.left.unwrap_or(scale.now));
        }
    }

    /// The row as it should be after what the runner has shown.
    pub(crate) fn judged(&self, scale: &Scale<'_>) -> Ledger {
        let mut residents = Vec::new();
        for resident in &self.ledger.residents {
            match self.locals.get(&name(resident)) {
                Some(local) => residents.extend(self.judge(scale, resident, local)),
                None => residents.push(resident.clone()),
            }
        }
        let mut ledger = Ledger { residents };
        self.add_strays(&mut ledger);
        ledger
    }

    /// What the runner shows of a resident in figures taken after `moment`.
    fn shown(&self, resident: &Resident, moment: ids::Time) -> Shown<'_> {
        let Some(seen) = self.seen.as_ref().filter(|seen| seen.taken > moment) else {
            return Shown::Nothing;
        };
        let mut residents = seen.report.residents.iter();
        residents
            .find(|each| each.item == resident.item && each.version == resident.version)
            .map_or(Shown::Absent, Shown::Present)
    }

    /// The resident as it should be; none if it is to be struck off.
    fn judge(&self, scale: &Scale<'_>, resident: &Resident, local: &Local) -> Option<Resident> {
        if resident.state != State::Unloading && has_no_effect(local) {
            return None;
        }
        let mut resident = resident.clone();
        match self.shown(&resident, local.since) {
            Shown::Nothing => return Some(resident),
            Shown::Absent => {}
            Shown::Present(shown) => {
                resident.memory_mib = resident.memory_mib.max(shown.memory_mib);
                self.judge_present(scale, &mut resident, local, shown.state);
                return Some(resident);
            }
        }
        if self.is_gone(scale, &resident, local) {
            return None;
        }
        let orphan = scale.fencing && is_orphan(scale, &resident, local);
        if orphan || is_doubtful(scale, &resident, local) {
            resident.order = Some(self.order_of(scale));
        }
        Some(resident)
    }

    fn judge_present(
        &self,
        scale: &Scale<'_>,
        resident: &mut Resident,
        local: &Local,
        shown: report::State,
    ) {
        match resident.state {
            State::Reserved | State::Loading if shown == report::State::Ready => {
                resident.state = State::Ready;
                resident.order = None;
            }
            State::Unloading
                if resident.order.is_none()
                    || has_no_effect(local)
                    || is_orphan(scale, resident, local) =>
            {
                resident.order = Some(self.order_of(scale));
            }
            _ => {}
        }
    }

    /// Whether a resident that the runner does not show can't come (back) either.
    fn is_gone(&self, scale: &Scale<'_>, resident: &Resident, local: &Local) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        let Some(pending) = &resident.order else {
            return true;
        };
        if scale.fencing && resident.state == State::Unloading {
            return seen.report.fence >= pending.fence;
        }
        let Some(dead) = dead_from(scale, local) else {
            return false;
        };
        seen.taken > dead
    }

    /// A pending order of this planner, recorded by the next version of the row.
    pub(crate) fn order_of(&self, scale: &Scale<'_>) -> Pending {
        let next = self.version.unwrap_or_default().next();
        Pending { sender: scale.config.me.clone(), fence: ids::Fence::new(next.get()) }
    }

    /// Adds what the runner shows and the row does not have.
    fn add_strays(&self, ledger: &mut Ledger) {
        let Some(seen) = &self.seen else {
            return;
        };
        if seen.taken <= self.learned {
            return;
        }
        for shown in &seen.report.residents {
            if self.ledger.get(&shown.item, &shown.version).is_some() {
                continue;
            }
            let state = match shown.state {
                report::State::Loading => State::Loading,
                report::State::Ready => State::Ready,
                report::State::Unloading => State::Unloading,
            };
            let stray = Resident::new(&shown.item, &shown.version, state, shown.memory_mib);
            ledger.residents.push(stray);
        }
    }
}

/// Whether an order is to be sent, or sent again.
///
/// An order to load is sent once. An order to unload is sent again if that
/// can't unload a later copy: the runner checks fencing tokens, or the earlier
/// order can't take effect any more.
fn is_due(scale: &Scale<'_>, resident: &Resident, local: &Local) -> bool {
    let Some(sent) = &local.sent else {
        return true;
    };
    if resident.state != State::Unloading {
        return false;
    }
    let wait = if scale.fencing {
        time::Duration::from_millis(scale.config.retry_ms)
    } else {
        scale.delay()
    };
    scale.now.since(sent.at) >= wait
}

/// Whether no order of a resident has had an effect, or can have one.
fn has_no_effect(local: &Local) -> bool {
    let reply = local.sent.as_ref().and_then(|sent| sent.reply.as_ref());
    match reply {
        Some((order::Reply::Stale, _)) => true,
        // It does not prove that the runner knows the newer fencing token.
        Some((order::Reply::Refused, _)) => !local.replaces,
        _ => false,
    }
}

/// The moment from which a pending order can't take effect any more.
fn dead_from(scale: &Scale<'_>, local: &Local) -> Option<ids::Time> {
    let Some(sent) = &local.sent else {
        return local.left.map(|left| left + scale.delay());
    };
    let by_time = sent.at + scale.delay();
    match &sent.reply {
        Some((order::Reply::Taken | order::Reply::Stale, at)) => Some(*at),
        Some((order::Reply::Refused, at)) if !local.replaces => Some(*at),
        _ => Some(by_time),
    }
}

/// Whether the sender of a pending order has left and the order can't take effect any more.
fn is_orphan(scale: &Scale<'_>, resident: &Resident, local: &Local) -> bool {
    let foreign = |pending: &Pending| pending.sender != scale.config.me;
    resident.order.as_ref().is_some_and(foreign)
        && local.left.is_some_and(|left| scale.now > left + scale.delay())
}

/// Whether an order to load should be replaced by one with a newer fencing token.
///
/// The runner refuses the replaced one from then on, and loading what is there
/// already has no effect, so nothing is loaded twice.
fn is_doubtful(scale: &Scale<'_>, resident: &Resident, local: &Local) -> bool {
    if !scale.fencing || resident.state == State::Unloading || resident.order.is_none() {
        return false;
    }
    let Some(sent) = &local.sent else {
        return local.left.is_some() && scale.now.since(local.since) > scale.delay();
    };
    let unknown = match &sent.reply {
        Some((reply, _)) => *reply == order::Reply::Unknown,
        None => true,
    };
    let wait = time::Duration::from_millis(scale.config.retry_ms);
    unknown && scale.now.since(sent.at) > wait
}
