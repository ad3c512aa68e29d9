//! What a VM does when the store has come back from a copy: everything that it knows of the
//! store stays in force until the new era shows something newer.

use std::time;

use crate::{Output, event, peer, relay::Relay, system::replication};

/// Delay per rank until a VM writes its row again, so that the rows of a large fleet stay below
/// the rate of the store.
const ROW_DELAY_PER_RANK: time::Duration = time::Duration::from_millis(5);

/// Begins an era that an answer of the store, or another VM, has stated.
pub(crate) fn raise(
    relay: &mut Relay,
    now: ids::Time,
    era: ids::Era,
    source: &impl ToString,
    out: &mut Vec<Output>,
) {
    let before = relay.eras.current();
    if !relay.eras.raise(era) {
        return;
    }
    let known_before = relay.has_targets || relay.config.is_some() || relay.peers.is_known();
    let outcome = if known_before { "back from a copy" } else { "era known" };
    let inputs = format!("era {era} before {before}");
    out.push(Output::Log(event::Event::new("store", source, outcome).with_inputs(inputs)));
    out.push(Output::Era(era));
    // What was read before may be gone, so it is no read of the present.
    relay.reads = replication::Reads::default();
    relay.lease.begin_era(now, era);
    if known_before {
        relay.targets.store_recovered(now);
    }
    let precedes = |row: &&peer::Row| row.member.vm < relay.settings.vm;
    let rank = u32::try_from(relay.peers.iter().filter(precedes).count()).unwrap_or(u32::MAX);
    relay.row_due = known_before.then(|| now + ROW_DELAY_PER_RANK.saturating_mul(rank));
}

/// Takes what another VM states about the era.
pub(crate) fn learn(
    relay: &mut Relay,
    now: ids::Time,
    from: &ids::Vm,
    stated: Option<ids::Revision>,
    out: &mut Vec<Output>,
) {
    if let Some(stated) = stated {
        raise(relay, now, stated.era(), from, out);
        relay.eras.record(stated);
    }
}
