//! Changes of the head, one at a time.

use rand::Rng as _;

use super::{Stage, View, settle};
use crate::{change, head, output, row};

/// Most changes of operators that wait.
const QUEUE_MAX: usize = 16;

/// A write that has had no answer for so many retry intervals is sent again.
const RESEND_INTERVALS: u32 = 5;

/// What a proposal is for.
#[derive(Clone, Debug)]
enum Aim {
    /// This VM becomes a member.
    Join,
    /// This VM stops being one.
    Leave,
    /// A VM that is gone stops being one.
    Remove(head::Instance),
    /// An operator's change.
    Change(ids::Op, change::Change),
}

/// A change that is being written.
#[derive(Debug)]
pub(super) struct Proposal {
    aim: Aim,
    nonce: u64,
    next: head::Head,
    /// The writes sent for `next`.
    sent: Vec<(ids::Op, ids::Time)>,
    /// Whether one of them may have taken effect unseen, or may still do so.
    uncertain: bool,
    retry_at: ids::Time,
    until: ids::Time,
}

impl View {
    /// Queues an operator's change.
    pub(super) fn enqueue(
        &mut self,
        op: ids::Op,
        change: change::Change,
        out: &mut Vec<output::Output>,
    ) {
        let reason = if self.head.is_none() {
            "this VM has not read the head yet"
        } else if self.stage != Stage::Active {
            "this VM is leaving"
        } else if self.queue.len() >= QUEUE_MAX {
            "too many changes wait"
        } else {
            self.queue.push_back((op, change));
            return;
        };
        refuse(op, reason.to_owned(), out);
    }

    /// Begins and goes on with proposals.
    pub(super) fn work(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.depart(now, out);
        if self.proposal.is_none() {
            self.start(now, out);
        }
        self.advance(now, out);
    }

    /// Whether leaving is complete or has been tried for long enough.
    fn depart(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(since) = self.stage.since() else {
            return;
        };
        for (op, _) in std::mem::take(&mut self.queue) {
            refuse(op, "this VM is leaving".into(), out);
        }
        let absent = self.proposal.is_none() && !self.is_member() && self.waiting.is_empty();
        let overdue = now.since(since) >= self.config.write_timeout * 2;
        if absent || overdue {
            self.stage = Stage::Left;
            out.push(output::Output::Left);
        }
    }

    fn start(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(aim) = self.aim(now) else { return };
        let base = self.head.clone().unwrap_or_default();
        let nonce = self.rng.random();
        let until = now + self.config.write_timeout;
        match self.successor(now, &base, &aim, nonce) {
            Ok(next) => {
                self.proposal = Some(Proposal {
                    aim,
                    nonce,
                    next,
                    sent: Vec::new(),
                    uncertain: false,
                    retry_at: now,
                    until,
                });
            }
            Err(reason) => fail(&aim, reason, out),
        }
    }

    /// What to propose next.
    fn aim(&mut self, now: ids::Time) -> Option<Aim> {
        if self.stage != Stage::Active {
            let leaving = self.stage.since().is_some() && self.is_member();
            return leaving.then_some(Aim::Leave);
        }
        if let Some((op, change)) = self.queue.pop_front() {
            return Some(Aim::Change(op, change));
        }
        if now < self.next_proposal {
            return None;
        }
        if self.may_join() {
            return Some(Aim::Join);
        }
        self.removable(now).map(Aim::Remove)
    }

    /// A VM joins once it has put the head in force, unless it was replaced.
    fn may_join(&self) -> bool {
        let Some(head) = &self.head else {
            return self.vacant;
        };
        let me = &self.config.me;
        let known = head.member(&me.vm).map(|member| member.incarnation);
        self.adopted.is_some() && known < Some(me.incarnation)
    }

    /// A member that is gone. Members wait in their order, so that mostly one
    /// of them proposes.
    fn removable(&self, now: ids::Time) -> Option<head::Instance> {
        let head = self.head.as_ref().filter(|_| self.is_member())?;
        let live = head.members.iter().filter(|member| !self.gone(now, &member.vm));
        let rank = live.take_while(|member| member.vm != self.config.me.vm).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = self.config.removal_delay + self.config.read_interval.saturating_mul(rank);
        let mut members = head.members.iter().filter(|member| self.gone(now, &member.vm));
        let due = members.find(|member| {
            let since = self.unlisted.get(&member.vm);
            since.is_some_and(|since| now.since(*since) >= wait)
        })?;
        Some(due.instance())
    }

    /// The head after the change.
    fn successor(
        &self,
        now: ids::Time,
        base: &head::Head,
        aim: &Aim,
        nonce: u64,
    ) -> Result<head::Head, String> {
        let max = self.config.max_witnesses;
        let me = &self.config.me;
        let mut next = base.clone();
        next.version = base.version.next();
        next.withdrawn = None;
        next.author = Some(me.vm.clone());
        next.nonces.push(nonce);
        let excess = next.nonces.len().saturating_sub(head::MAX_NONCES);
        next.nonces.drain(..excess);
        next.prior = self.prior(now, base, matches!(aim, Aim::Leave));
        match aim {
            Aim::Join => next = next.with_member(me.clone(), max),
            Aim::Leave => next = next.without_member(&me.instance(), max),
            Aim::Remove(instance) => next = next.without_member(instance, max),
            Aim::Change(_, change) if change.applies_to(base) => change.apply(&mut next),
            Aim::Change(..) => {
                return Err(format!("another change was made first, version {}", base.version));
            }
        }
        Ok(next)
    }

    /// Witnesses that have to learn of the next head: those of its predecessor,
    /// and those of earlier ones that are not known to have learnt of that. A
    /// leaving VM vouches no more and need not be told.
    fn prior(&self, now: ids::Time, base: &head::Head, leaving: bool) -> Vec<head::Quorum> {
        let open = |quorum: &&head::Quorum| !self.accounted(now, quorum, base.version);
        let mut prior = Vec::new();
        if self.settled < base.version {
            prior.extend(base.prior.iter().filter(open).cloned());
        }
        if !base.witnesses.is_empty() {
            let mut quorum = head::Quorum { needed: base.majority(), of: base.witness_instances() };
            let all = quorum.of.len();
            quorum.of.retain(|instance| !leaving || *instance != self.config.me.instance());
            quorum.needed = quorum.needed.saturating_sub(all - quorum.of.len());
            prior.push(quorum);
        }
        prior.dedup();
        prior
    }

    /// Sends the write, again if need be, and ends it when it is overdue.
    fn advance(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.recognise(now, out);
        let Some(mut proposal) = self.proposal.take() else {
            return;
        };
        if now >= proposal.until {
            expire(&proposal, out);
            return;
        }
        if now >= proposal.retry_at {
            let op = self.op();
            let request = row::write_request(&proposal.next);
            proposal.sent.push((op, now));
            proposal.retry_at = now + self.config.retry_interval * RESEND_INTERVALS;
            if let (Aim::Leave, Some(since)) = (&proposal.aim, self.stage.since()) {
                self.stage = Stage::Resigned(since);
            }
            out.push(output::Output::Table { op, request });
        }
        self.proposal = Some(proposal);
    }

    /// Compares a proposal with a head that has reached its version: either it
    /// is found there by its nonce, or it was never made and is made anew.
    fn recognise(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(head) = self.head.clone() else {
            return;
        };
        let reached = |proposal: &mut Proposal| head.version >= proposal.next.version;
        let Some(mut proposal) = self.proposal.take_if(reached) else {
            return;
        };
        if let Some(version) = head.version_of_nonce(proposal.nonce) {
            self.made(now, &proposal.aim, version, out);
            return;
        }
        let passed = head.version.get() - proposal.next.version.get();
        let remembered = passed < head.nonces.len() as u64;
        if !remembered && !proposal.sent.is_empty() {
            proposal.uncertain = true;
            expire(&proposal, out);
            return;
        }
        match self.successor(now, &head, &proposal.aim, proposal.nonce) {
            Ok(next) if self.wanted(&proposal.aim, &head) => {
                proposal.next = next;
                proposal.sent.clear();
                proposal.uncertain = false;
                proposal.retry_at = now + self.backoff(&proposal.aim);
                self.proposal = Some(proposal);
            }
            Ok(_) => {}
            Err(reason) => fail(&proposal.aim, reason, out),
        }
    }

    /// Whether a change is still to be made to this head.
    fn wanted(&self, aim: &Aim, head: &head::Head) -> bool {
        match aim {
            Aim::Join => self.may_join(),
            Aim::Leave => self.is_member(),
            Aim::Remove(instance) => head.contains(instance),
            Aim::Change(..) => true,
        }
    }

    /// Changes of operators go first; members that join at once take turns.
    fn backoff(&mut self, aim: &Aim) -> std::time::Duration {
        let share = match aim {
            Aim::Change(..) | Aim::Leave => 0.05,
            Aim::Join | Aim::Remove(_) => 1.0,
        };
        let share = share * self.rng.random::<f64>();
        self.config.retry_interval.mul_f64(share)
    }

    /// Takes the answer to a write.
    pub(super) fn take_write(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: &store::Result<store::table::Answer>,
        out: &mut Vec<output::Output>,
    ) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let Some(place) = proposal.sent.iter().position(|(sent, _)| *sent == op) else {
            return;
        };
        let sent = proposal.sent[place].1;
        let soon = now + self.config.retry_interval;
        match result {
            Ok(store::table::Answer::Written) => {
                let next = proposal.next.clone();
                let version = next.version;
                self.learn(now, next, out);
                self.observe(version, sent);
            }
            Ok(store::table::Answer::Conflict { rows }) => {
                proposal.retry_at = soon;
                match row::from_conflict(rows) {
                    Some(head) => {
                        let version = head.version;
                        self.learn(now, head, out);
                        self.observe(version, sent);
                    }
                    None => self.read(now, out),
                }
            }
            Err(fault) if fault.kind == store::fault::Kind::Refused => {
                proposal.sent.remove(place);
                proposal.retry_at = soon;
            }
            Ok(_) | Err(_) => {
                proposal.uncertain = true;
                proposal.retry_at = soon;
            }
        }
        self.work(now, out);
    }

    /// The change is written.
    fn made(
        &mut self,
        now: ids::Time,
        aim: &Aim,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        match aim {
            Aim::Change(op, _) => {
                let wait = self.fencing_time() * 2 + self.config.write_timeout;
                self.waiting.push(settle::Waiting { op: *op, version, until: now + wait });
            }
            Aim::Leave => self.depart(now, out),
            Aim::Join | Aim::Remove(_) => {}
        }
    }
}

/// Ends a proposal that was not written in time.
fn expire(proposal: &Proposal, out: &mut Vec<output::Output>) {
    let Aim::Change(op, _) = proposal.aim else {
        return;
    };
    // Writes that were refused have been struck from the list.
    if proposal.sent.is_empty() && !proposal.uncertain {
        refuse(op, "the table service cannot be reached".into(), out);
        return;
    }
    let reason = "the table service did not say whether the change was written".into();
    let outcome = change::Outcome::Unknown { reason };
    out.push(output::Output::Changed { op, outcome });
}

fn fail(aim: &Aim, reason: String, out: &mut Vec<output::Output>) {
    if let Aim::Change(op, _) = aim {
        refuse(*op, reason, out);
    }
}

fn refuse(op: ids::Op, reason: String, out: &mut Vec<output::Output>) {
    let outcome = change::Outcome::Refused { reason };
    out.push(output::Output::Changed { op, outcome });
}
