//! Proposals: changes to the head, written one at a time.

use rand::Rng as _;

use super::{Stage, View, settle};
use crate::{change, head, output, row};

/// Maximum number of queued operator changes.
const MAX_QUEUED_CHANGES: usize = 16;

/// Retry intervals after which a write without an answer is sent again.
const RESEND_INTERVALS: u32 = 5;

/// What a proposal is for.
#[derive(Clone, Debug)]
enum Goal {
    /// Add this VM to the members.
    Join,
    /// Remove this VM from the members.
    Leave,
    /// Remove a VM that is presumed dead.
    Remove(head::Instance),
    /// Make an operator's change.
    Change(ids::Op, change::Change),
}

/// A change to the head that is being written.
#[derive(Debug)]
pub(super) struct Proposal {
    goal: Goal,
    nonce: u64,
    next: head::Head,
    /// The writes sent for `next`.
    writes: Vec<(ids::Op, ids::Time)>,
    /// Whether one of them may have taken effect without an answer, or may still
    /// do so.
    uncertain: bool,
    retry_at: ids::Time,
    deadline: ids::Time,
}

impl View {
    /// Queues an operator's change, or refuses it.
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
        } else if self.queue.len() >= MAX_QUEUED_CHANGES {
            "too many changes wait"
        } else {
            self.queue.push_back((op, change));
            return;
        };
        refuse_change(op, reason.to_owned(), out);
    }

    /// Starts the next proposal and advances the current one.
    pub(super) fn drive_proposal(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.finish_leaving(now, out);
        if self.proposal.is_none() {
            self.start_proposal(now, out);
        }
        self.write_proposal(now, out);
    }

    /// Refuses queued changes while leaving, and ends it once it is complete or
    /// has timed out.
    fn finish_leaving(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(since) = self.stage.leaving_since() else {
            return;
        };
        for (op, _) in std::mem::take(&mut self.queue) {
            refuse_change(op, "this VM is leaving".into(), out);
        }
        let absent = self.proposal.is_none() && !self.is_member() && self.pending.is_empty();
        let overdue = now.since(since) >= self.config.write_timeout * 2;
        if absent || overdue {
            self.stage = Stage::Left;
            out.push(output::Output::Left);
        }
    }

    fn start_proposal(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(goal) = self.next_goal(now) else { return };
        let base = self.head.clone().unwrap_or_default();
        let nonce = self.rng.random();
        let deadline = now + self.config.write_timeout;
        match self.successor(now, &base, &goal, nonce) {
            Ok(next) => {
                self.proposal = Some(Proposal {
                    goal,
                    nonce,
                    next,
                    writes: Vec::new(),
                    uncertain: false,
                    retry_at: now,
                    deadline,
                });
            }
            Err(reason) => fail_proposal(&goal, reason, out),
        }
    }

    /// The goal of the next proposal, if there is one.
    fn next_goal(&mut self, now: ids::Time) -> Option<Goal> {
        if self.stage != Stage::Active {
            let leaving = self.stage.leaving_since().is_some() && self.is_member();
            return leaving.then_some(Goal::Leave);
        }
        if let Some((op, change)) = self.queue.pop_front() {
            return Some(Goal::Change(op, change));
        }
        if now < self.next_proposal {
            return None;
        }
        if self.may_join() {
            return Some(Goal::Join);
        }
        self.member_to_remove(now).map(Goal::Remove)
    }

    /// Whether this VM may join: it has adopted the head, and no later incarnation
    /// of it is a member. If there is no head, it may create the first.
    fn may_join(&self) -> bool {
        let Some(head) = &self.head else {
            return self.head_absent;
        };
        let me = &self.config.me;
        let known = head.member(&me.vm).map(|member| member.incarnation);
        self.adopted.is_some() && known < Some(me.incarnation)
    }

    /// A member that is presumed dead and due for removal by this VM. Each live
    /// member waits in proportion to its position, so that usually only one of
    /// them proposes the removal.
    fn member_to_remove(&self, now: ids::Time) -> Option<head::Instance> {
        let head = self.head.as_ref().filter(|_| self.is_member())?;
        let live = head.members.iter().filter(|member| !self.is_presumed_dead(now, &member.vm));
        let rank = live.take_while(|member| member.vm != self.config.me.vm).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = self.config.removal_delay + self.config.read_interval.saturating_mul(rank);
        let mut members =
            head.members.iter().filter(|member| self.is_presumed_dead(now, &member.vm));
        let due = members.find(|member| {
            let since = self.unlisted.get(&member.vm);
            since.is_some_and(|since| now.since(*since) >= wait)
        })?;
        Some(due.instance())
    }

    /// The head that results from applying `goal` to `base`.
    fn successor(
        &self,
        now: ids::Time,
        base: &head::Head,
        goal: &Goal,
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
        next.prior = self.prior_quorums(now, base, matches!(goal, Goal::Leave));
        match goal {
            Goal::Join => next = next.with_member(me.clone(), max),
            Goal::Leave => next = next.without_member(&me.instance(), max),
            Goal::Remove(instance) => next = next.without_member(instance, max),
            Goal::Change(_, change) if change.applies_to(base) => change.apply(&mut next),
            Goal::Change(..) => {
                return Err(format!("another change was made first, version {}", base.version));
            }
        }
        Ok(next)
    }

    /// Quorums of witnesses that must learn of the next head: the one of its
    /// predecessor, and those of earlier heads that are not known to have learnt
    /// of the predecessor. A leaving VM no longer votes and is left out.
    fn prior_quorums(&self, now: ids::Time, base: &head::Head, leaving: bool) -> Vec<head::Quorum> {
        let uninformed = |quorum: &&head::Quorum| !self.quorum_knows(now, quorum, base.version);
        let mut prior = Vec::new();
        if self.settled < base.version {
            prior.extend(base.prior.iter().filter(uninformed).cloned());
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

    /// Sends the write, repeats it when due and expires it at its deadline.
    fn write_proposal(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.resolve_proposal(now, out);
        let Some(mut proposal) = self.proposal.take() else {
            return;
        };
        if now >= proposal.deadline {
            expire_proposal(&proposal, out);
            return;
        }
        if now >= proposal.retry_at {
            let op = self.next_op();
            let request = row::write_request(&proposal.next);
            proposal.writes.push((op, now));
            proposal.retry_at = now + self.config.retry_interval * RESEND_INTERVALS;
            if let (Goal::Leave, Some(since)) = (&proposal.goal, self.stage.leaving_since()) {
                self.stage = Stage::Resigned(since);
            }
            out.push(output::Output::Table { op, request });
        }
        self.proposal = Some(proposal);
    }

    /// Resolves a proposal once the known head has reached its version. If the
    /// head contains its nonce, the proposal was written; otherwise it lost the
    /// race and is proposed again on top of that head. If the nonce may already
    /// have been dropped from the head, the result is unknown.
    fn resolve_proposal(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let Some(head) = self.head.clone() else {
            return;
        };
        let reached = |proposal: &mut Proposal| head.version >= proposal.next.version;
        let Some(mut proposal) = self.proposal.take_if(reached) else {
            return;
        };
        if let Some(version) = head.version_of_nonce(proposal.nonce) {
            self.handle_made(now, &proposal.goal, version, out);
            return;
        }
        let versions_since = head.version.get() - proposal.next.version.get();
        let remembered = versions_since < head.nonces.len() as u64;
        if !remembered && !proposal.writes.is_empty() {
            proposal.uncertain = true;
            expire_proposal(&proposal, out);
            return;
        }
        match self.successor(now, &head, &proposal.goal, proposal.nonce) {
            Ok(next) if self.is_needed(&proposal.goal, &head) => {
                proposal.next = next;
                proposal.writes.clear();
                proposal.uncertain = false;
                proposal.retry_at = now + self.backoff(&proposal.goal);
                self.proposal = Some(proposal);
            }
            Ok(_) => {}
            Err(reason) => fail_proposal(&proposal.goal, reason, out),
        }
    }

    /// Whether the goal still applies to this head.
    fn is_needed(&self, goal: &Goal, head: &head::Head) -> bool {
        match goal {
            Goal::Join => self.may_join(),
            Goal::Leave => self.is_member(),
            Goal::Remove(instance) => head.contains(instance),
            Goal::Change(..) => true,
        }
    }

    /// Random delay before a retry. It is short for operator changes and
    /// departures, and longer for joins and removals, which may be simultaneous.
    fn backoff(&mut self, goal: &Goal) -> std::time::Duration {
        let fraction = match goal {
            Goal::Change(..) | Goal::Leave => 0.05,
            Goal::Join | Goal::Remove(_) => 1.0,
        };
        let fraction = fraction * self.rng.random::<f64>();
        self.config.retry_interval.mul_f64(fraction)
    }

    /// Handles the answer to a write.
    pub(super) fn handle_write(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: &store::Result<store::table::Answer>,
        out: &mut Vec<output::Output>,
    ) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let Some(index) = proposal.writes.iter().position(|(sent, _)| *sent == op) else {
            return;
        };
        let sent = proposal.writes[index].1;
        let retry_at = now + self.config.retry_interval;
        match result {
            Ok(store::table::Answer::Written) => {
                let next = proposal.next.clone();
                let version = next.version;
                self.learn(now, next, out);
                self.record_current(version, sent);
            }
            Ok(store::table::Answer::Conflict { rows }) => {
                proposal.retry_at = retry_at;
                match row::from_conflict(rows) {
                    Some(head) => {
                        let version = head.version;
                        self.learn(now, head, out);
                        self.record_current(version, sent);
                    }
                    None => self.read_head(now, out),
                }
            }
            Err(fault) if fault.kind == store::fault::Kind::Refused => {
                proposal.writes.remove(index);
                proposal.retry_at = retry_at;
            }
            Ok(_) | Err(_) => {
                proposal.uncertain = true;
                proposal.retry_at = retry_at;
            }
        }
        self.drive_proposal(now, out);
    }

    /// Handles a proposal that was found to be written as `version`.
    fn handle_made(
        &mut self,
        now: ids::Time,
        goal: &Goal,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        match goal {
            Goal::Change(op, _) => {
                let wait = self.fencing_time() * 2 + self.config.write_timeout;
                self.pending.push(settle::Pending { op: *op, version, deadline: now + wait });
            }
            Goal::Leave => self.finish_leaving(now, out),
            Goal::Join | Goal::Remove(_) => {}
        }
    }
}

/// Reports a proposal that was not resolved by its deadline.
fn expire_proposal(proposal: &Proposal, out: &mut Vec<output::Output>) {
    let Goal::Change(op, _) = proposal.goal else {
        return;
    };
    // Refused writes were removed from the list, so nothing was written.
    if proposal.writes.is_empty() && !proposal.uncertain {
        refuse_change(op, "the table service cannot be reached".into(), out);
        return;
    }
    let reason = "the table service did not say whether the change was written".into();
    let outcome = change::Outcome::Unknown { reason };
    out.push(output::Output::Changed { op, outcome });
}

fn fail_proposal(goal: &Goal, reason: String, out: &mut Vec<output::Output>) {
    if let Goal::Change(op, _) = goal {
        refuse_change(*op, reason, out);
    }
}

fn refuse_change(op: ids::Op, reason: String, out: &mut Vec<output::Output>) {
    let outcome = change::Outcome::Refused { reason };
    out.push(output::Output::Changed { op, outcome });
}
