//! Reading of the store, and distribution of the contents to other VMs.
//!
//! Each request to the store has a cost, so only a few VMs (readers) watch its tables
//! and pass changes on to the others at once. A VM becomes a reader if it knows of too
//! few others that read the store and reach it, so a reader that has stopped, is cut off
//! or is refused by the store is replaced as soon as its digests show it.
//!
//! To hear a reader is not enough: a VM that others do not hear is sent no changes. So
//! digests name the VMs that their sender does not hear, and the heads of data centres
//! those that their aggregator does.
//!
//! In a large fleet, aggregators pass changes on to the other data centres and to the
//! VMs of their own, and also to those that lag behind.

use std::{collections, sync, time};

use crate::{
    Output, centre, event, input, output, peer,
    relay::Relay,
    system::{cold, overlay},
    target,
};

/// Number of readers, so that the loss of one leaves no gap.
const READERS: usize = 2;
/// Age of its last read beyond which a VM does not count as a reader: the maximum wait
/// of a request to the store, plus the delay of the response and of the digest.
const MAX_READ_AGE: time::Duration = time::Duration::from_millis(1_600);
/// The same for the rows of the VMs, whose requests wait longer.
const MAX_MEMBERS_READ_AGE: time::Duration = time::Duration::from_millis(9_600);
/// Interval between complete copies of the targets, or of a configuration, to one VM.
const COPY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Minimum time after which a VM's digests confirm changes sent to it.
const MIN_SETTLE_TIME: time::Duration = time::Duration::from_millis(600);
/// Time after which a VM's digests confirm changes sent to it, in digest intervals: they
/// pass through two aggregators, and the confirmation too.
const SETTLE_INTERVALS: u32 = 4;
/// Delay per pair of VMs of a data centre until further ones read the store, unless those
/// before them do by then: to connect, to read and to tell.
const READER_DELAY: time::Duration = time::Duration::from_millis(400);
/// Number of VMs that read the store at once when they start in a large fleet.
const FIRST_READERS: usize = READERS;
/// Time after its start in which a VM that has no row yet does not know the size of the
/// fleet: all VMs may be starting for the first time.
const UNKNOWN_SIZE_PERIOD: time::Duration = time::Duration::from_millis(400);
/// Delay per rank until a further starting VM reads the store, unless it hears readers.
const START_DELAY_PER_RANK: time::Duration = time::Duration::from_millis(50);
/// Maximum of that delay.
const MAX_START_DELAY: time::Duration = time::Duration::from_secs(1);
/// Number of VMs that watch the lease as soon as the planner is silent.
const FIRST_CANDIDATES: usize = 3;
/// Time after which as many VMs again watch the lease, while there is no planner.
const CANDIDATES_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// When this VM last read each table directly. Each has a connection of its own, so one can
/// fail while the others go on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reads {
    config: Option<ids::Time>,
    targets: Option<ids::Time>,
    members: Option<ids::Time>,
}

impl Reads {
    /// Records a read of `table`.
    pub(crate) const fn record(&mut self, now: ids::Time, table: input::Table) {
        let read = match table {
            input::Table::Config => &mut self.config,
            input::Table::Targets => &mut self.targets,
            input::Table::Members => &mut self.members,
        };
        *read = Some(now);
    }

    /// Age of the state that others get from these reads: that of the table read least
    /// recently. `None` if a table is not read.
    fn age(&self, now: ids::Time) -> Option<time::Duration> {
        let members = now.since(self.members?);
        let urgent = now.since(self.config?.min(self.targets?));
        (members <= MAX_MEMBERS_READ_AGE).then_some(urgent)
    }
}

/// Recently learned versions. They distinguish a VM that has missed changes from one
/// whose digest was sent before they arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress<V> {
    recent: collections::VecDeque<(ids::Time, V)>,
    /// The newest version that has been known for a settle time.
    settled: V,
}

/// Time after which the digests of all VMs confirm a change.
pub(crate) fn settle_time(relay: &Relay) -> time::Duration {
    MIN_SETTLE_TIME.max(relay.peers.digest_interval() * SETTLE_INTERVALS)
}

impl<V: Copy + Ord> Progress<V> {
    /// Records that `version` is known now.
    pub(crate) fn note(&mut self, now: ids::Time, settle_time: time::Duration, version: V) {
        // Without peers, nothing else calls `settled`: prune here, so that versions do not
        // accumulate.
        let settled = self.settled(now, settle_time);
        if self.recent.back().map_or(settled, |(_, newest)| *newest) < version {
            self.recent.push_back((now, version));
        }
    }

    /// The newest version that all VMs should know by now.
    pub(crate) fn settled(&mut self, now: ids::Time, settle_time: time::Duration) -> V {
        while let Some((_, version)) =
            self.recent.pop_front_if(|(since, _)| now.since(*since) >= settle_time)
        {
            self.settled = version;
        }
        self.settled
    }
}

pub(crate) fn tick(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let reads = |row: &&peer::Row| {
        let read_age = row.digest.read_age.map(time::Duration::from_millis);
        read_age.is_some_and(|read_age| read_age <= MAX_READ_AGE)
            && row.digest.era() == relay.eras.current()
            && row.member.vm < relay.settings.vm
    };
    let reading = relay.peers.heard(now).filter(reads).count();
    let reaches = |row: &&peer::Row| overlay::reaches_this(relay, now, row);
    let readers = relay.peers.heard(now).filter(reads).filter(reaches).count();
    if readers < READERS {
        relay.readers_lacking_since.get_or_insert(now);
    } else {
        relay.readers_lacking_since = None;
    }
    let is_led = relay.peers.leader(now).is_some() || relay.lease.fence(now).is_some();
    if is_led {
        relay.led_at = Some(now);
    }
    let is_reader = readers < READERS && may_read(relay, now);
    let follow = output::Follow {
        is_reader,
        watches_members: is_reader || readers == 0,
        watches_lease: !is_led && may_lead(relay, now),
    };
    if relay.follow != Some(follow) {
        relay.follow = Some(follow);
        let inputs = format!("other readers {readers} of {reading} heard, led {is_led}");
        let outcome = if follow.is_reader { "reading" } else { "told by others" };
        let line = event::Event::new("store", &relay.settings.vm, outcome).with_inputs(inputs);
        out.push(Output::Log(line));
        out.push(Output::Follow(follow));
    }
}

/// Whether this VM may read the store itself if it hears of too few readers. VMs of a
/// large fleet that all start at once leave that to the first ones.
fn may_read(relay: &Relay, now: ids::Time) -> bool {
    if !knows_size(relay, now) {
        return false;
    }
    if relay.peers.is_mesh() {
        return true;
    }
    let precedes = |row: &&peer::Row| row.member.vm < relay.settings.vm;
    let pairs = relay.peers.heard_neighbours(now).filter(precedes).count() / READERS;
    let delay = READER_DELAY.saturating_mul(u32::try_from(pairs).unwrap_or(u32::MAX));
    if relay.readers_lacking_since.is_none_or(|since| now.since(since) < delay) {
        return false;
    }
    let rank = relay.peers.iter().filter(precedes).count();
    let steps = u32::try_from(rank).unwrap_or(u32::MAX);
    let delay = START_DELAY_PER_RANK.saturating_mul(steps).min(MAX_START_DELAY);
    rank < FIRST_READERS || age(relay, now) >= delay
}

/// Time since this VM's start.
fn age(relay: &Relay, now: ids::Time) -> time::Duration {
    relay.started.map_or(time::Duration::ZERO, |started| now.since(started))
}

/// Whether the membership is known well enough to tell a small fleet from a large one.
fn knows_size(relay: &Relay, now: ids::Time) -> bool {
    let is_own = |member: &member::Member| member.vm == relay.settings.vm;
    let members = relay.peers.members();
    members.is_some_and(|known| known.members.iter().any(is_own))
        || age(relay, now) >= UNKNOWN_SIZE_PERIOD
}

/// Whether this VM may take the lease if there is no planner: the first VMs by name,
/// and more the longer there is none.
pub(crate) fn may_lead(relay: &Relay, now: ids::Time) -> bool {
    if relay.lease.is_resuming(now) {
        return true;
    }
    if !knows_size(relay, now) {
        return false;
    }
    // The row also tells the quota levels from before a restart of all VMs.
    if relay.peers.is_mesh() || !relay.lease.is_seen() {
        return true;
    }
    let is_candidate = |row: &&peer::Row| {
        row.member.vm < relay.settings.vm
            && (row.is_heard(now) || now.since(row.known_since) < CANDIDATES_INTERVAL)
    };
    let rank = relay.peers.iter().filter(is_candidate).count();
    let since = relay.led_at.or(relay.started).unwrap_or(now);
    let rounds = now.since(since).as_millis() / CANDIDATES_INTERVAL.as_millis();
    let rounds = usize::try_from(rounds).unwrap_or(usize::MAX);
    rank < FIRST_CANDIDATES.saturating_mul(rounds.saturating_add(1))
}

/// Age of this VM's last direct reads of the store, in ms; `None` if it is not a reader.
pub(crate) fn read_age(relay: &Relay, now: ids::Time) -> Option<u64> {
    relay.follow.filter(|follow| follow.is_reader)?;
    let read_age = relay.reads.age(now)?.as_millis();
    Some(u64::try_from(read_age).unwrap_or(u64::MAX))
}

/// Handles targets that this VM has read from the store.
pub(crate) fn read_targets(
    relay: &mut Relay,
    now: ids::Time,
    targets: input::Targets,
    out: &mut Vec<Output>,
) {
    relay.reads.record(now, input::Table::Targets);
    relay.eras.record(targets.revision);
    // Even after a complete read, the new changes are those since the version known
    // before.
    let since = Some(relay.targets_revision);
    let is_first = relay.targets_revision == ids::Revision::default();
    let begins_era = begins_era(relay, &targets);
    let revision = relay.targets_revision.max(targets.revision);
    let listed = targets.changes.len();
    let changes = apply_all(relay, now, targets, out);
    // Runners also rewrite entries without a change that matters here.
    if changes.is_empty() && !begins_era {
        return;
    }
    relay.targets_revision = revision;
    note_targets(relay, now);
    if begins_era {
        let missing = relay.targets.iter().filter(|row| row.is_missing()).count();
        let inputs = format!("store {revision} listed {listed} missing {missing}");
        let line = event::Event::new("store", &"targets", "read after a copy").with_inputs(inputs);
        out.push(Output::Log(line));
        // What the others know of the era before need not be what this VM knew, so changes
        // since then would leave a gap. They are sent copies.
        relay.gossip.send_now(now);
        return;
    }
    // The first read contains nothing new to others: it was announced before, or all
    // others read it, too.
    if is_first {
        return;
    }
    let news = peer::Targets { since, revision: relay.targets_revision, changes };
    overlay::broadcast(relay, now, peer::Message::Targets(news), out);
}

/// Whether these are all targets, as the first of an era in which this VM has known some of an
/// earlier one.
fn begins_era(relay: &Relay, targets: &input::Targets) -> bool {
    relay.has_targets && targets.is_full && targets.revision.era() > relay.targets_revision.era()
}

/// Handles targets that another VM has read.
pub(crate) fn receive_targets(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    news: peer::Targets,
    out: &mut Vec<Output>,
) {
    // The sender does not know yet that the store has come back from a copy.
    if news.revision.era() < relay.eras.current() {
        return;
    }
    // Changes relative to an unknown version would leave a gap; a complete copy follows.
    let is_usable = match news.since {
        // At version 0, what had left before the era began.
        Some(since) => {
            since <= relay.targets_revision || since.version() == ids::Version::default()
        }
        None => news.revision >= relay.targets_revision,
    };
    if !is_usable {
        return;
    }
    let is_newer = news.revision > relay.targets_revision;
    let peer::Targets { since, revision, changes } = news.clone();
    let targets = input::Targets { is_full: since.is_none(), revision, changes };
    let applied = apply_all(relay, now, targets, out);
    relay.targets_revision = relay.targets_revision.max(revision);
    note_targets(relay, now);
    if since.is_none() {
        return;
    }
    // The sender has not lost the store, or its grace period is over.
    news.changes.iter().for_each(|change| relay.targets.confirm_absence(now, change));
    // Removals after the grace period come without a newer version.
    if is_newer || !applied.is_empty() {
        overlay::forward(relay, now, from, peer::Message::Targets(news), out);
    }
}

/// Tells a VM that has just been heard which targets had left before the store came back from a
/// copy: if it has just started, it knows only what the store lists.
pub(crate) fn tell_removals(relay: &Relay, to: &ids::Vm, out: &mut Vec<Output>) {
    let changes = relay.targets.removals_before(relay.eras.current());
    if changes.is_empty() {
        return;
    }
    let revision = ids::Revision::new(relay.eras.current(), ids::Version::default());
    let news = peer::Targets { since: Some(revision), revision, changes };
    out.push(Output::Peer { to: vec![to.clone()], message: peer::Message::Targets(news) });
}

/// Records that the current version of the targets is known now.
fn note_targets(relay: &mut Relay, now: ids::Time) {
    let settle_time = settle_time(relay);
    relay.progress.targets.note(now, settle_time, relay.targets_revision);
}

/// Versions that a VM has reported.
struct Known {
    vm: ids::Vm,
    config: ids::Version,
    targets: ids::Revision,
    members: ids::Revision,
}

/// Versions known to the VMs that are reached directly: the neighbours, and the
/// aggregators of the other data centres if this VM is one.
fn known_versions(relay: &Relay, now: ids::Time) -> Vec<Known> {
    let neighbour = |row: &peer::Row| Known {
        vm: row.member.vm.clone(),
        config: row.digest.version,
        targets: row.digest.targets,
        members: row.digest.members,
    };
    let aggregator = |row: &centre::Row| Known {
        vm: row.head.aggregator.clone(),
        config: row.head.version,
        targets: row.head.targets,
        members: row.head.members,
    };
    let mut known: Vec<_> = relay.peers.heard_neighbours(now).map(neighbour).collect();
    if overlay::is_aggregator(relay, now) {
        known.extend(relay.centres.heard(now).map(aggregator));
    }
    known
}

/// Sends the configuration, all targets and the membership to VMs that lag behind.
pub(crate) fn send_copies(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let version = relay.version();
    let is_reader = read_age(relay, now)
        .is_some_and(|read_age| u128::from(read_age) <= MAX_READ_AGE.as_millis());
    let is_source = is_reader || overlay::is_aggregator(relay, now);
    let settle_time = settle_time(relay);
    let known = known_versions(relay, now);
    let members_revision = relay.peers.revision();
    relay.progress.config.note(now, settle_time, version);
    relay.progress.members.note(now, settle_time, members_revision);
    let settled_config = relay.progress.config.settled(now, settle_time);
    let settled_targets = relay.progress.targets.settled(now, settle_time);
    let settled_members = relay.progress.members.settled(now, settle_time);
    for Known { vm, config, targets, members } in known {
        let claim_slot = |times: &mut collections::BTreeMap<ids::Vm, ids::Time>| {
            let at = times.entry(vm.clone()).or_default();
            let is_due = *at <= now;
            if is_due {
                *at = now + COPY_INTERVAL;
            }
            is_due
        };
        let to = || vec![vm.clone()];
        // Readers send a new configuration at once; other VMs only if it has not arrived
        // in time.
        let newest = if is_reader { version } else { settled_config };
        if config < newest && claim_slot(&mut relay.gossip.configs) {
            let text = sync::Arc::clone(&relay.config_text);
            out.push(Output::Peer { to: to(), message: peer::Message::Config { version, text } });
        }
        let knows_none = targets == ids::Revision::default();
        let is_of_earlier_era = targets.era() < relay.targets_revision.era();
        let is_urgent = knows_none || is_of_earlier_era;
        let newest = if is_urgent { relay.targets_revision } else { settled_targets };
        if targets < newest && is_source && claim_slot(&mut relay.gossip.targets) {
            let changes = relay.targets.iter().map(|row| row.change(now)).collect();
            let copy = peer::Targets { since: None, revision: relay.targets_revision, changes };
            out.push(Output::Peer { to: to(), message: peer::Message::Targets(copy) });
        }
        let is_of_earlier_era = members.era() < members_revision.era();
        let newest = if is_of_earlier_era { members_revision } else { settled_members };
        if members < newest
            && is_source
            && let Some(copy) = relay.peers.members()
            && claim_slot(&mut relay.gossip.members)
        {
            out.push(Output::Peer { to: to(), message: peer::Message::Members(copy.clone()) });
        }
    }
}

/// Passes a new configuration on at once: from a reader to the aggregator of its data
/// centre, and from an aggregator to all VMs that it reaches.
pub(crate) fn announce_config(relay: &Relay, now: ids::Time, out: &mut Vec<Output>) {
    let Some(aggregator) = overlay::aggregator(relay, now) else {
        return;
    };
    let version = relay.version();
    let is_aggregator = aggregator == relay.settings.vm;
    let is_reader = relay.follow.is_some_and(|follow| follow.is_reader);
    let lags = |known: &Known| known.config < version;
    let is_receiver = |vm: &ids::Vm| is_aggregator || (is_reader && *vm == aggregator);
    let to = known_versions(relay, now).into_iter().filter(lags).map(|known| known.vm);
    let to: Vec<_> = to.filter(is_receiver).collect();
    if !to.is_empty() {
        let text = sync::Arc::clone(&relay.config_text);
        out.push(Output::Peer { to, message: peer::Message::Config { version, text } });
    }
}

/// Removes targets whose entries have not come back after a store outage.
pub(crate) fn expire(relay: &mut Relay, now: ids::Time, out: &mut Vec<Output>) {
    let changes = relay.targets.expire(now);
    for change in &changes {
        out.push(Output::Log(event::Event::new("target", &change.target, "gone")));
    }
    if !changes.is_empty() {
        let (since, revision) = (Some(relay.targets_revision), relay.targets_revision);
        let news = peer::Targets { since, revision, changes };
        overlay::broadcast(relay, now, peer::Message::Targets(news), out);
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
    // The first read lists targets that may have run for long.
    let is_first = !std::mem::replace(&mut relay.has_targets, true);
    if begins_era(relay, &targets) {
        // What is missing may be written again.
        relay.targets.store_recovered(now);
    }
    let input::Targets { is_full, revision, mut changes } = targets;
    if is_full {
        changes.extend(relay.targets.unlisted(revision, &changes));
    }
    changes.retain(|change| apply(relay, now, is_first, change, out));
    changes
}

/// Applies the change of one target. Returns whether to pass it on to other VMs.
fn apply(
    relay: &mut Relay,
    now: ids::Time,
    is_first: bool,
    change: &target::Change,
    out: &mut Vec<Output>,
) -> bool {
    let (outcome, previous) = match relay.targets.apply(now, &relay.eras, change) {
        target::Outcome::Stale | target::Outcome::Unchanged => return false,
        target::Outcome::Changed | target::Outcome::Unknown => return true,
        target::Outcome::New { before } => {
            if !is_first {
                cold::appeared(relay, now, change);
            }
            let is_leaving = change.entry.as_ref().is_some_and(|entry| entry.is_leaving);
            (if is_leaving { "leaving" } else { "known" }, before)
        }
        target::Outcome::Leaving => ("leaving", None),
        target::Outcome::Missing => ("missing for now", None),
        target::Outcome::Gone { address } => ("gone", Some(address)),
    };
    let inputs = format!("store {} row {}", relay.targets_revision, change.revision);
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
