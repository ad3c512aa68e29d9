//! Freshness: evidence from reads of the head and queries to peers.

use std::{cmp, time};

use rand::Rng as _;

use super::{Peer, Query, Read, View};
use crate::{head, message, output, row};

impl View {
    /// Checks for newer heads, at the table service or at peers, once per
    /// [`crate::Config::read_interval`].
    pub(super) fn refresh(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        if now < self.next_refresh {
            return;
        }
        self.next_refresh = now + self.config.read_interval;
        let limit = self.config.max_staleness * 2 / 3;
        let stale = self.staleness(now).is_none_or(|age| age > limit);
        if !self.is_member() || self.is_witness() || stale {
            self.read_head(now, out);
        }
        for vm in self.query_targets(now, stale) {
            self.query(now, vm, out);
        }
        let unlisted: Vec<_> = self.unlisted.keys().cloned().collect();
        for vm in unlisted {
            self.query(now, vm, out);
        }
    }

    /// The VMs to query. Witnesses query one another only while reads fail. Other
    /// members query their parent in the tree and, if their evidence is stale, a
    /// random witness.
    fn query_targets(&mut self, now: ids::Time, stale: bool) -> Vec<ids::Vm> {
        let Some(head) = &self.head else {
            return Vec::new();
        };
        let me = &self.config.me.vm;
        if !self.is_member() {
            return Vec::new();
        }
        if self.is_witness() {
            return self.witnesses_to_query(now, head);
        }
        let mut targets: Vec<_> =
            super::tree::parent(head, me, self.config.fanout).into_iter().collect();
        if stale && !head.witnesses.is_empty() {
            let chosen = self.rng.random_range(0..head.witnesses.len());
            targets.push(head.witnesses[chosen].clone());
        }
        targets
    }

    /// The witnesses to query: none while reads succeed; then the most recently
    /// responsive ones, one more than this VM needs for a majority; and all of
    /// them once half of the allowed staleness has passed.
    fn witnesses_to_query(&self, now: ids::Time, head: &head::Head) -> Vec<ids::Vm> {
        let age = self.staleness(now).unwrap_or(time::Duration::MAX);
        if age <= self.config.read_interval + self.config.read_interval / 2 {
            return Vec::new();
        }
        let me = &self.config.me.vm;
        let others = head.witnesses.iter().filter(|vm| *vm != me);
        let mut others: Vec<_> = others.cloned().collect();
        if age < self.config.max_staleness / 2 {
            let answered =
                |vm: &ids::Vm| self.peers.get(vm).and_then(|peer| peer.answered_query_at);
            others.sort_by_key(|vm| cmp::Reverse(answered(vm)));
            others.truncate(head.majority());
        }
        others
    }

    /// Starts a read of the head.
    pub(super) fn read_head(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let read = Read { sent: now, head: None };
        self.request_read(read, row::HEAD_KEY, out);
    }

    fn request_read(&mut self, read: Read, key: &str, out: &mut Vec<output::Output>) {
        let op = self.next_op();
        self.reads.insert(op, read);
        let request = row::get_request(key);
        out.push(output::Output::Table { op, request });
    }

    /// Handles the answer to a read.
    pub(super) fn handle_read(
        &mut self,
        now: ids::Time,
        read: Read,
        result: store::Result<store::table::Answer>,
        out: &mut Vec<output::Output>,
    ) {
        let is_up = result.is_ok();
        if is_up != self.table_up {
            self.table_up = is_up;
            let state = if is_up { "answers again" } else { "does not answer" };
            out.push(output::Output::Log(format!("table service {state}")));
        }
        let Ok(store::table::Answer::Row(row)) = result else {
            return;
        };
        match (read.head, row) {
            (None, None) => self.head_absent = self.head.is_none(),
            (None, Some(row)) => self.handle_head_row(read.sent, &row, out),
            (Some(head_row), Some(row)) => match row::join_roster(head_row, &row) {
                Some(head) => {
                    let version = head.version;
                    self.learn(now, head, out);
                    self.record_current(version, read.sent);
                }
                None => self.read_head(now, out),
            },
            (Some(_), None) => {}
        }
    }

    fn handle_head_row(
        &mut self,
        sent: ids::Time,
        row: &store::table::Row,
        out: &mut Vec<output::Output>,
    ) {
        if row.version <= self.known_version() {
            self.record_current(row.version, sent);
            return;
        }
        let Some(head_row) = row::decode_head(row) else {
            out.push(output::Output::Log(
                "the head row cannot be decoded; keeping the known head".into(),
            ));
            return;
        };
        let read = Read { sent, head: Some(head_row) };
        self.request_read(read, row::ROSTER_KEY, out);
    }

    /// Sends a query to another VM.
    pub(super) fn query(&mut self, now: ids::Time, to: ids::Vm, out: &mut Vec<output::Output>) {
        if to == self.config.me.vm {
            return;
        }
        self.last_query_id += 1;
        let query_id = self.last_query_id;
        let version = self.known_version();
        let message = message::Message::Query { query_id, version };
        let query = Query { to: to.clone(), sent: now };
        self.queries.insert(query_id, query);
        out.push(output::Output::Peer { to, message });
    }

    /// Records the sender of a message. Returns whether the message comes from
    /// the newest incarnation seen.
    pub(super) fn record_sender(
        &mut self,
        now: ids::Time,
        from: &ids::Vm,
        incarnation: ids::Incarnation,
    ) -> bool {
        let new_peer = || Peer {
            incarnation,
            version: ids::Version::default(),
            adopted: ids::Version::default(),
            last_seen: now,
            answered_query_at: None,
        };
        let peer = self.peers.entry(from.clone()).or_insert_with(new_peer);
        if peer.incarnation < incarnation {
            *peer = new_peer();
        }
        peer.last_seen = now;
        peer.incarnation == incarnation
    }

    /// Handles a message of the newest incarnation of a VM.
    pub(super) fn handle_message(
        &mut self,
        now: ids::Time,
        from: &ids::Vm,
        message: message::Message,
        out: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Query { query_id, version } => {
                self.send_reply(now, from, query_id, version, out);
            }
            message::Message::Reply { query_id, version, adopted, settled, age } => {
                self.set_settled(settled, out);
                self.handle_reply(from, (query_id, version, adopted), age);
                self.send_newer_head(from, version, out);
            }
            message::Message::Announce { head } => {
                if head.version > self.known_version() {
                    self.learn(now, *head, out);
                    self.query(now, from.clone(), out);
                }
            }
        }
    }

    /// Answers a query, unless this VM may not vote.
    fn send_reply(
        &mut self,
        now: ids::Time,
        to: &ids::Vm,
        query_id: u64,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        if self.resumed_at.is_some() || !self.stage.may_vote() {
            return;
        }
        self.count_votes(now);
        self.send_newer_head(to, version, out);
        let message = self.status_reply(now, query_id);
        let to = to.clone();
        out.push(output::Output::Peer { to, message });
    }

    /// Sends the newest head to a VM that knows an older one.
    fn send_newer_head(
        &mut self,
        to: &ids::Vm,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        let Some(head) = self.head.as_ref().filter(|head| head.version > version) else {
            return;
        };
        let head = Box::new(head.clone());
        let message = message::Message::Announce { head };
        let to = to.clone();
        out.push(output::Output::Peer { to, message });
    }

    /// A reply with this VM's versions and the age of its evidence.
    pub(super) fn status_reply(&self, now: ids::Time, query_id: u64) -> message::Message {
        let age = self.staleness(now).filter(|age| *age < self.config.max_staleness);
        message::Message::Reply {
            query_id,
            version: self.known_version(),
            adopted: self.adopted_version(),
            settled: self.settled,
            age: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    fn handle_reply(
        &mut self,
        from: &ids::Vm,
        (query_id, version, adopted): (u64, ids::Version, ids::Version),
        age: Option<u64>,
    ) {
        let asked = self.queries.remove(&query_id).filter(|query| query.to == *from);
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if version < peer.version || adopted < peer.adopted {
            return;
        }
        peer.version = version;
        peer.adopted = adopted;
        let Some(query) = asked else { return };
        peer.answered_query_at = peer.answered_query_at.max(Some(query.sent));
        if let Some(age) = age {
            let time = query.sent.as_millis().saturating_sub(age);
            self.record_current(version, ids::Time::from_millis(time));
        }
    }

    /// Counts the votes of witnesses and records the time at which a majority
    /// knew no newer head.
    pub(super) fn count_votes(&mut self, now: ids::Time) {
        let Some(head) = &self.head else { return };
        let witness_instances = head.witness_instances();
        let votes = witness_instances.iter().filter_map(|instance| self.vote(now, head, instance));
        let mut votes: Vec<_> = votes.collect();
        votes.sort_unstable();
        let Some(oldest) = votes.len().checked_sub(head.majority()) else {
            return;
        };
        let (version, time) = (head.version, votes[oldest]);
        self.record_current(version, time);
    }

    /// The time at which a witness knew no newer head, if it votes for `head`.
    fn vote(
        &self,
        now: ids::Time,
        head: &head::Head,
        instance: &head::Instance,
    ) -> Option<ids::Time> {
        if *instance == self.config.me.instance() {
            let may_vote = self.resumed_at.is_none() && self.stage.may_vote();
            return may_vote.then_some(now);
        }
        let peer = self.peers.get(&instance.vm)?;
        let agrees = peer.incarnation == instance.incarnation && peer.version == head.version;
        peer.answered_query_at.filter(|_| agrees)
    }

    /// Records that no head newer than `version` was confirmed at `time`. This
    /// also holds for every later version, so that a change does not interrupt
    /// serving on any VM.
    pub(super) fn record_current(&mut self, version: ids::Version, time: ids::Time) {
        if version > self.known_version() {
            return;
        }
        if self.resumed_at.is_some_and(|resumed_at| time >= resumed_at) {
            self.resumed_at = None;
        }
        self.head_current_at = self.head_current_at.max(Some(time));
        if version <= self.adopted_version() {
            self.adopted_current_at = self.adopted_current_at.max(Some(time));
        }
    }

    /// Time since the newest known head was last shown to be the newest.
    pub(super) fn staleness(&self, now: ids::Time) -> Option<time::Duration> {
        Some(now.since(self.head_current_at?))
    }

    /// Drops queries and reads whose answers would no longer be valid evidence.
    pub(super) fn drop_stale(&mut self, now: ids::Time) {
        let limit = self.config.max_staleness;
        self.queries.retain(|_, query| now.since(query.sent) < limit);
        self.reads.retain(|_, read| now.since(read.sent) < limit);
    }
}
