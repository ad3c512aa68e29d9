//! Learning, propagating and adopting heads.

use super::View;
use crate::{head, message, output};

/// In fleets of up to this size, the author sends a new head to every member.
const MAX_DIRECT_MEMBERS: usize = 16;

impl View {
    /// Records a head that is newer than the known one; others are ignored.
    pub(super) fn learn(
        &mut self,
        now: ids::Time,
        head: head::Head,
        out: &mut Vec<output::Output>,
    ) {
        if head.version <= self.known_version() {
            return;
        }
        if let Some(key) = &head.withdrawn {
            self.withdrawn.insert(head.version, key.clone());
        }
        self.head_absent = false;
        self.head_learned_at = now;
        self.next_poll = now;
        self.previous = self.head.replace(head.clone());
        self.propagate(&head, out);
        let me = &self.config.me.vm;
        let others = head.members.iter().filter(|member| member.vm != *me);
        out.push(output::Output::Members(others.cloned().collect()));
        out.push(output::Output::Adopt(Box::new(head)));
    }

    /// Forwards a new head. Its author sends it to all VMs of a small fleet or to
    /// the witnesses of a large one; in a large fleet, every VM also sends it to
    /// its children in the tree.
    fn propagate(&self, head: &head::Head, out: &mut Vec<output::Output>) {
        let me = &self.config.me.vm;
        let author = head.author.as_ref() == Some(me);
        let mut to = Vec::new();
        if author && head.members.len() <= MAX_DIRECT_MEMBERS {
            let previous = self.previous.iter().flat_map(|head| &head.members);
            to.extend(previous.chain(&head.members).map(|member| member.vm.clone()));
        } else if author {
            to.extend(head.witnesses.iter().cloned());
        }
        if head.members.len() > MAX_DIRECT_MEMBERS {
            to.extend(super::tree::children(head, me, self.config.fanout));
        }
        to.sort();
        to.dedup();
        for vm in to.into_iter().filter(|vm| vm != me) {
            let head = Box::new(head.clone());
            let message = message::Message::Announce { head };
            out.push(output::Output::Peer { to: vm, message });
        }
    }

    /// Puts a head in force and reports it to the collector. Ignored unless the
    /// version is newer than the one in force.
    pub(super) fn adopt(&mut self, version: ids::Version, out: &mut Vec<output::Output>) {
        let known = [self.head.as_ref(), self.previous.as_ref()];
        let mut known = known.into_iter().flatten();
        let Some(head) = known.find(|head| head.version == version) else {
            return;
        };
        if version <= self.adopted_version() {
            return;
        }
        let head = head.clone();
        if version == self.known_version() {
            self.adopted_current_at = self.adopted_current_at.max(self.head_current_at);
        }
        self.withdrawn.retain(|withdrawn, _| *withdrawn > version);
        let collector = head.collector().cloned();
        self.adopted = Some(head);
        let now = self.last_input.unwrap_or_default();
        if let Some(to) = collector.filter(|vm| *vm != self.config.me.vm) {
            let message = self.status_reply(now, 0);
            out.push(output::Output::Peer { to, message });
        }
    }
}
