//! Freshness: reads of the head, questions to peers, and what they show.

use std::{cmp, time};

use rand::Rng as _;

use super::{Ask, Peer, Read, View};
use crate::{head, message, output, row};

impl View {
    /// Looks for newer heads, at the table service or at peers.
    pub(super) fn refresh(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        if now < self.next_refresh {
            return;
        }
        self.next_refresh = now + self.config.read_interval;
        let limit = self.config.max_staleness * 2 / 3;
        let old = self.age(now).is_none_or(|age| age > limit);
        if !self.is_member() || self.is_witness() || old {
            self.read(now, out);
        }
        for vm in self.sources(now, old) {
            self.ask(now, vm, out);
        }
        let unlisted: Vec<_> = self.unlisted.keys().cloned().collect();
        for vm in unlisted {
            self.ask(now, vm, out);
        }
    }

    /// Whom to ask. Witnesses ask one another only while reads fail; the others
    /// pull from their parent, and from a random witness if that is silent.
    fn sources(&mut self, now: ids::Time, old: bool) -> Vec<ids::Vm> {
        let Some(head) = &self.head else {
            return Vec::new();
        };
        let me = &self.config.me.vm;
        if !self.is_member() {
            return Vec::new();
        }
        if self.is_witness() {
            return self.witnesses_to_ask(now, head);
        }
        let mut sources: Vec<_> =
            super::tree::parent(head, me, self.config.fanout).into_iter().collect();
        if old && !head.witnesses.is_empty() {
            let chosen = self.rng.random_range(0..head.witnesses.len());
            sources.push(head.witnesses[chosen].clone());
        }
        sources
    }

    /// The witnesses to ask: none while reads succeed, then as many as make a
    /// majority with one to spare, those first that answered last, and all of
    /// them when time gets short.
    fn witnesses_to_ask(&self, now: ids::Time, head: &head::Head) -> Vec<ids::Vm> {
        let age = self.age(now).unwrap_or(time::Duration::MAX);
        if age <= self.config.read_interval + self.config.read_interval / 2 {
            return Vec::new();
        }
        let me = &self.config.me.vm;
        let others = head.witnesses.iter().filter(|vm| *vm != me);
        let mut others: Vec<_> = others.cloned().collect();
        if age < self.config.max_staleness / 2 {
            let answered = |vm: &ids::Vm| self.peers.get(vm).and_then(|peer| peer.asked);
            others.sort_by_key(|vm| cmp::Reverse(answered(vm)));
            others.truncate(head.majority());
        }
        others
    }

    /// Reads the head.
    pub(super) fn read(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let read = Read { sent: now, head: None };
        self.request_read(read, row::HEAD_KEY, out);
    }

    fn request_read(&mut self, read: Read, key: &str, out: &mut Vec<output::Output>) {
        let op = self.op();
        self.reads.insert(op, read);
        let request = row::get_request(key);
        out.push(output::Output::Table { op, request });
    }

    /// Takes the answer of a read.
    pub(super) fn take_read(
        &mut self,
        now: ids::Time,
        read: Read,
        result: store::Result<store::table::Answer>,
        out: &mut Vec<output::Output>,
    ) {
        let up = result.is_ok();
        if up != self.store_up {
            self.store_up = up;
            let state = if up { "answers again" } else { "does not answer" };
            out.push(output::Output::Log(format!("table service {state}")));
        }
        let Ok(store::table::Answer::Row(row)) = result else {
            return;
        };
        match (read.head, row) {
            (None, None) => self.vacant = self.head.is_none(),
            (None, Some(row)) => self.take_small(read.sent, &row, out),
            (Some(small), Some(row)) => match row::join_roster(small, &row) {
                Some(head) => {
                    let version = head.version;
                    self.learn(now, head, out);
                    self.observe(version, read.sent);
                }
                None => self.read(now, out),
            },
            (Some(_), None) => {}
        }
    }

    fn take_small(
        &mut self,
        sent: ids::Time,
        row: &store::table::Row,
        out: &mut Vec<output::Output>,
    ) {
        if row.version <= self.version() {
            self.observe(row.version, sent);
            return;
        }
        let Some(small) = row::decode_head(row) else {
            out.push(output::Output::Log("the head row cannot be read".into()));
            return;
        };
        let read = Read { sent, head: Some(small) };
        self.request_read(read, row::ROSTER_KEY, out);
    }

    /// Asks another VM.
    pub(super) fn ask(&mut self, now: ids::Time, to: ids::Vm, out: &mut Vec<output::Output>) {
        if to == self.config.me.vm {
            return;
        }
        self.last_ask += 1;
        let query_id = self.last_ask;
        let version = self.version();
        let message = message::Message::Query { query_id, version };
        let ask = Ask { to: to.clone(), sent: now };
        self.asks.insert(query_id, ask);
        out.push(output::Output::Peer { to, message });
    }

    /// Notes a message's sender; whether it is its newest incarnation.
    pub(super) fn hear(
        &mut self,
        now: ids::Time,
        from: &ids::Vm,
        incarnation: ids::Incarnation,
    ) -> bool {
        let fresh = || Peer {
            incarnation,
            version: ids::Version::default(),
            adopted: ids::Version::default(),
            heard: now,
            asked: None,
        };
        let peer = self.peers.entry(from.clone()).or_insert_with(fresh);
        if peer.incarnation < incarnation {
            *peer = fresh();
        }
        peer.heard = now;
        peer.incarnation == incarnation
    }

    /// Takes a message of another VM.
    pub(super) fn take_message(
        &mut self,
        now: ids::Time,
        from: &ids::Vm,
        message: message::Message,
        out: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Query { query_id, version } => {
                self.reply(now, from, query_id, version, out);
            }
            message::Message::Reply { query_id, version, adopted, settled, age } => {
                self.settled_elsewhere(settled, out);
                self.take_reply(from, (query_id, version, adopted), age);
                self.teach(from, version, out);
            }
            message::Message::Announce { head } => {
                if head.version > self.version() {
                    self.learn(now, *head, out);
                    self.ask(now, from.clone(), out);
                }
            }
        }
    }

    /// Answers a question, unless this VM must not vouch for anything.
    fn reply(
        &mut self,
        now: ids::Time,
        to: &ids::Vm,
        query_id: u64,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        if self.woken.is_some() || !self.stage.vouches() {
            return;
        }
        self.vouch(now);
        self.teach(to, version, out);
        let message = self.status(now, query_id);
        let to = to.clone();
        out.push(output::Output::Peer { to, message });
    }

    /// Sends the newest head to a VM that knows an older one.
    fn teach(&mut self, to: &ids::Vm, version: ids::Version, out: &mut Vec<output::Output>) {
        let Some(head) = self.head.as_ref().filter(|head| head.version > version) else {
            return;
        };
        let head = Box::new(head.clone());
        let message = message::Message::Announce { head };
        let to = to.clone();
        out.push(output::Output::Peer { to, message });
    }

    /// What this VM says of itself.
    pub(super) fn status(&self, now: ids::Time, query_id: u64) -> message::Message {
        let age = self.age(now).filter(|age| *age < self.config.max_staleness);
        message::Message::Reply {
            query_id,
            version: self.version(),
            adopted: self.adopted_version(),
            settled: self.settled,
            age: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    fn take_reply(
        &mut self,
        from: &ids::Vm,
        (query_id, version, adopted): (u64, ids::Version, ids::Version),
        age: Option<u64>,
    ) {
        let asked = self.asks.remove(&query_id).filter(|ask| ask.to == *from);
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if version < peer.version || adopted < peer.adopted {
            return;
        }
        peer.version = version;
        peer.adopted = adopted;
        let Some(ask) = asked else { return };
        peer.asked = peer.asked.max(Some(ask.sent));
        if let Some(age) = age {
            let time = ask.sent.as_millis().saturating_sub(age);
            self.observe(version, ids::Time::from_millis(time));
        }
    }

    /// Counts the witnesses that know no newer head.
    pub(super) fn vouch(&mut self, now: ids::Time) {
        let Some(head) = &self.head else { return };
        let witness_instances = head.witness_instances();
        let votes = witness_instances.iter().filter_map(|instance| self.vote(now, head, instance));
        let mut votes: Vec<_> = votes.collect();
        votes.sort_unstable();
        let Some(oldest) = votes.len().checked_sub(head.majority()) else {
            return;
        };
        let (version, time) = (head.version, votes[oldest]);
        self.observe(version, time);
    }

    /// The moment at which a witness knew no newer head.
    fn vote(
        &self,
        now: ids::Time,
        head: &head::Head,
        instance: &head::Instance,
    ) -> Option<ids::Time> {
        if *instance == self.config.me.instance() {
            let able = self.woken.is_none() && self.stage.vouches();
            return able.then_some(now);
        }
        let peer = self.peers.get(&instance.vm)?;
        let same = peer.incarnation == instance.incarnation && peer.version == head.version;
        peer.asked.filter(|_| same)
    }

    /// Notes that no head newer than `version` was confirmed at `time`. That
    /// holds for every later version too, so a change interrupts no VM.
    pub(super) fn observe(&mut self, version: ids::Version, time: ids::Time) {
        if version > self.version() {
            return;
        }
        if self.woken.is_some_and(|woken| time >= woken) {
            self.woken = None;
        }
        self.evidence = self.evidence.max(Some(time));
        if version <= self.adopted_version() {
            self.shown = self.shown.max(Some(time));
        }
    }

    /// The time since the newest head known was shown to be the newest.
    pub(super) fn age(&self, now: ids::Time) -> Option<time::Duration> {
        Some(now.since(self.evidence?))
    }

    /// Drops questions and reads that are too old to show anything.
    pub(super) fn forget(&mut self, now: ids::Time) {
        let limit = self.config.max_staleness;
        self.asks.retain(|_, ask| now.since(ask.sent) < limit);
        self.reads.retain(|_, read| now.since(read.sent) < limit);
    }
}
