//! Reading of the store, and distribution of the contents to other VMs.
//!
//! Each request to the store has a cost, so only a few VMs (readers) watch its tables
//! and pass changes on to the others at once. A VM becomes a reader if it hears of too
//! few others, so a reader that has stopped, is cut off or is refused by the store is
//! replaced as soon as its digests show it.

use std::{collections, sync, time};

use crate::{Output, event, input, output, peer, relay::Relay, target};

/// Number of readers, so that the loss of one leaves no gap.
const READERS: usize = 2;
/// Age of its last read beyond which a VM does not count as a reader: the maximum wait
/// of a request to the store, plus the delay of the response and of the digest.
const MAX_READ_AGE: time::Duration = time::Duration::from_millis(1_600);
/// Interval between complete copies of the targets, or of a configuration, to one VM.
const COPY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time after which a VM's digests confirm changes sent to it: two digest intervals of
/// a large fleet, some 300 ms each, plus network latency.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(600);

/// Recently learned versions. They distinguish a VM that has missed changes from one
/// whose digest was sent before they arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    recent: collections::VecDeque<(ids::Time, ids::Version)>,
    /// The newest version that has been known for [`SETTLE_TIME`].
    settled: ids::Version,
}

impl Progress {
    /// Records that `version` is known now.
    fn note(&mut self, now: ids::Time, version: ids::Version) {
        // Without peers, nothing else calls `settled`: prune here, so that versions do not
        // accumulate.
        let settled = self.settled(now);
        if self.recent.back().map_or(settled, |(_, targets_version)| *targets_version) < version {
            self.recent.push_back((now, version));
        }
    }

    /// The newest version that all VMs should know by now.
    fn settled(&mut self, now: ids::Time) -> ids::Version {
        while let Some((_, version)) =
            self.recent.pop_front_if(|(since, _)| now.since(*since) >= SETTLE_TIME)
        {
            self.settled = version;
        }
        self.settled
    }
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let is_reader = |row: &&peer::Row| {
        let read_age = row.digest.read_age.map(time::Duration::from_millis);
        read_age.is_some_and(|read_age| read_age <= MAX_READ_AGE)
            && row.member.vm < relay.settings.vm
    };
    let readers = relay.peers.heard(now).filter(is_reader).count();
    let is_led = relay.peers.leader(now).is_some();
    let follow = output::Follow {
        is_reader: readers < READERS,
        watches_lease: !is_led && relay.lease.fence(now).is_none(),
    };
    if relay.follow != Some(follow) {
        relay.follow = Some(follow);
        let inputs = format!("other readers {readers} led {is_led}");
        let outcome = if follow.is_reader { "reading" } else { "told by others" };
        let line = event::Event::new("store", &relay.settings.vm, outcome).with_inputs(inputs);
        out.push(Output::Log(line));
        out.push(Output::Follow(follow));
    }
}

/// Age of this VM's last direct read of the store, in ms; `None` if it is not a reader.
pub(crate) fn read_age(relay: &Relay, now: ids::Time) -> Option<u64> {
    let reads = relay.follow.is_some_and(|follow| follow.is_reader);
    let read_age = now.since(relay.last_read.filter(|_| reads)?).as_millis();
    Some(u64::try_from(read_age).unwrap_or(u64::MAX))
}

/// Handles targets that this VM has read from the store.
pub(crate) fn read_targets(
    relay: &mut Relay,
    now: ids::Time,
    targets: input::Targets,
    out: &mut Vec<Output>,
) {
    relay.last_read = Some(now);
    // Even after a complete read, the new changes are those since the version known
    // before.
    let since = Some(relay.targets_version);
    let is_first = relay.targets_version == ids::Version::default();
    relay.targets_version = relay.targets_version.max(targets.version);
    let changes = apply_all(relay, now, targets, out);
    // The first read contains nothing new to others: it was announced before, or all
    // others read it, too.
    if changes.is_empty() || is_first {
        return;
    }
    broadcast(relay, &peer::Targets { since, version: relay.targets_version, changes }, out);
}

/// Sends changes of targets to all other VMs.
fn broadcast(relay: &Relay, targets: &peer::Targets, out: &mut Vec<Output>) {
    for row in relay.peers.iter() {
        let message = peer::Message::Targets(targets.clone());
        out.push(Output::Peer { to: row.member.vm.clone(), message });
    }
}

/// Handles targets that another VM has read.
pub(crate) fn receive_targets(
    relay: &mut Relay,
    now: ids::Time,
    news: peer::Targets,
    out: &mut Vec<Output>,
) {
    // Changes relative to an unknown version would leave a gap; a complete copy follows.
    if news.version < relay.targets_version
        || news.since.is_some_and(|since| since > relay.targets_version)
    {
        return;
    }
    relay.targets_version = news.version;
    let peer::Targets { since, version, changes } = news;
    apply_all(relay, now, input::Targets { is_full: since.is_none(), version, changes }, out);
}

/// Sends the configuration and all targets to VMs that lag behind.
pub(crate) fn send_copies(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let version = relay.version();
    let is_reader = read_age(relay, now)
        .is_some_and(|read_age| u128::from(read_age) <= MAX_READ_AGE.as_millis());
    relay.progress.config.note(now, version);
    let Relay { peers, gossip, targets, config_text, targets_version, progress, .. } = relay;
    let settled_config = progress.config.settled(now);
    let settled_targets = progress.targets.settled(now);
    for row in peers.heard(now) {
        let vm = &row.member.vm;
        let claim_slot = |times: &mut collections::BTreeMap<ids::Vm, ids::Time>| {
            let at = times.entry(vm.clone()).or_default();
            let is_due = *at <= now;
            if is_due {
                *at = now + COPY_INTERVAL;
            }
            is_due
        };
        // Readers send a new configuration at once; other VMs only if it has not arrived
        // in time.
        let newest = if is_reader { version } else { settled_config };
        if row.digest.version < newest && claim_slot(&mut gossip.configs) {
            let message = peer::Message::Config { version, text: sync::Arc::clone(config_text) };
            out.push(Output::Peer { to: vm.clone(), message });
        }
        let knows_none = row.digest.targets == ids::Version::default();
        let newest = if knows_none { *targets_version } else { settled_targets };
        if row.digest.targets < newest && is_reader && claim_slot(&mut gossip.targets) {
            let changes = targets.iter().map(target::Row::change).collect();
            let copy = peer::Targets { since: None, version: *targets_version, changes };
            let message = peer::Message::Targets(copy);
            out.push(Output::Peer { to: vm.clone(), message });
        }
    }
}

/// Removes targets whose entries have not come back after a store outage.
pub(crate) fn expire(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let changes = relay.targets.expire(now);
    for change in &changes {
        out.push(Output::Log(event::Event::new("target", &change.target, "gone")));
    }
    if !changes.is_empty() {
        let (since, version) = (Some(relay.targets_version), relay.targets_version);
        broadcast(relay, &peer::Targets { since, version, changes }, out);
    }
}

/// Applies changes of targets. Returns those to pass on to other VMs, which excludes
/// entries that are missing after a store outage and may come back.
fn apply_all(
    relay: &mut Relay,
    now: ids::Time,
    targets: input::Targets,
    out: &mut Vec<Output>,
) -> Vec<target::Change> {
    relay.has_targets = true;
    relay.progress.targets.note(now, relay.targets_version);
    let input::Targets { is_full, version, mut changes } = targets;
    if is_full {
        changes.extend(relay.targets.unlisted(version, &changes));
    }
    changes.retain(|change| apply(relay, now, change, out));
    changes
}

/// Applies the change of one target. Returns whether to pass it on to other VMs.
fn apply(
    relay: &mut Relay,
    now: ids::Time,
    change: &target::Change,
    out: &mut Vec<Output>,
) -> bool {
    let (outcome, previous) = match relay.targets.apply(now, change) {
        target::Outcome::Stale => return false,
        target::Outcome::Changed | target::Outcome::Unknown => return true,
        target::Outcome::New { before } => {
            let is_leaving = change.entry.as_ref().is_some_and(|entry| entry.is_leaving);
            (if is_leaving { "leaving" } else { "known" }, before)
        }
        target::Outcome::Leaving => ("leaving", None),
        target::Outcome::Missing => ("missing for now", None),
        target::Outcome::Gone { address } => ("gone", Some(address)),
    };
    let inputs = format!("store {} row {}", relay.targets_version, change.version);
    out.push(Output::Log(event::Event::new("target", &change.target, outcome).with_inputs(inputs)));
    let address = change.entry.as_ref().map(|entry| &entry.address);
    if let Some(previous) = previous.filter(|previous| Some(previous) != address) {
        out.push(Output::Disconnect { address: previous });
    }
    outcome != "missing for now"
}

/// Handles a change of the store's reachability.
pub(crate) fn set_store_state(
    relay: &mut Relay,
    now: ids::Time,
    is_up: bool,
    out: &mut Vec<Output>,
) {
    let outcome = match (is_up, relay.store_down_since) {
        (true, Some(_)) => "regained",
        (false, None) => "lost",
        _ => return,
    };
    let since = relay.store_down_since.map_or(0, |since| now.since(since).as_millis());
    let line =
        event::Event::new("store", &"store", outcome).with_inputs(format!("away for {since} ms"));
    out.push(Output::Log(line));
    if is_up {
        relay.store_down_since = None;
        relay.targets.store_recovered(now);
    } else {
        relay.store_down_since = Some(now);
    }
}
