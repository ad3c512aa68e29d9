//! The dump of a view's state.

use std::collections;

use super::View;
use crate::{head, output};

/// The state of a view, for operators.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Dump {
    /// The newest head that is known.
    pub head: Option<head::Head>,
    /// Version of the head in force here.
    pub in_force: ids::Version,
    /// The newest head that no serving VM is behind, as far as is known here.
    pub settled: ids::Version,
    /// Why this VM does not serve.
    pub reason: Option<output::Reason>,
    /// Milliseconds since the newest head was shown to be the newest.
    pub age_ms: Option<u64>,
    /// Whether the table service answered the last read.
    pub table_answers: bool,
    /// The other VMs.
    pub peers: collections::BTreeMap<ids::Vm, Peer>,
    /// Members that the platform does not list, and for how many ms.
    pub unlisted_ms: collections::BTreeMap<ids::Vm, u64>,
    /// Changes of operators that are not answered yet.
    pub changes: usize,
}

/// What is known of another VM.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// The newest head that it knows.
    pub version: ids::Version,
    /// The head in force there.
    pub in_force: ids::Version,
    /// Milliseconds since it was heard.
    pub silent_ms: u64,
}

impl View {
    /// The dump of the state.
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
