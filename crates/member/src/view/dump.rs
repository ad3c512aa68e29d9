//! Snapshot of a view's state for operators.

use std::collections;

use super::View;
use crate::{head, output};

/// The state of a view, for operators.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Dump {
    /// The newest known head.
    pub head: Option<head::Head>,
    /// Version of the head in force on this VM; zero if none.
    pub in_force: ids::Version,
    /// The newest version known to be settled.
    pub settled: ids::Version,
    /// Why this VM does not serve; `None` if it serves.
    pub reason: Option<output::Reason>,
    /// Milliseconds since `head` was last shown to be the newest; `None` if it
    /// never was.
    pub age_ms: Option<u64>,
    /// Whether the table service answered the last read of the head.
    pub table_answers: bool,
    /// The other VMs from which messages have arrived.
    pub peers: collections::BTreeMap<ids::Vm, Peer>,
    /// Members missing from the platform's list, with the time in ms.
    pub unlisted_ms: collections::BTreeMap<ids::Vm, u64>,
    /// Number of changes that are queued, being written or not yet settled.
    pub changes: usize,
}

/// State of another VM, from its messages.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Peer {
    /// The newest incarnation seen.
    pub incarnation: ids::Incarnation,
    /// Version of the newest head that it knows.
    pub version: ids::Version,
    /// Version in force on that VM.
    pub in_force: ids::Version,
    /// Milliseconds since its last message.
    pub silent_ms: u64,
}

impl View {
    /// Takes a snapshot of the state.
    #[must_use]
    pub fn dump(&self, now: ids::Time) -> Dump {
        let millis = |since: ids::Time| now.as_millis().saturating_sub(since.as_millis());
        let peers = self.peers.iter().map(|(vm, peer)| {
            let peer = Peer {
                incarnation: peer.incarnation,
                version: peer.version,
                in_force: peer.adopted,
                silent_ms: millis(peer.last_seen),
            };
            (vm.clone(), peer)
        });
        let unlisted = self.unlisted.iter();
        Dump {
            head: self.head.clone(),
            in_force: self.adopted_version(),
            settled: self.settled,
            reason: self.serves(now).err(),
            age_ms: self.head_current_at.map(millis),
            table_answers: self.table_up,
            peers: peers.collect(),
            unlisted_ms: unlisted.map(|(vm, since)| (vm.clone(), millis(*since))).collect(),
            changes: self.queue.len() + self.pending.len() + usize::from(self.proposal.is_some()),
        }
    }
}
