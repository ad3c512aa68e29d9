//! One VM's local state about the head.

use std::{collections, time};

use rand::SeedableRng as _;

use crate::{change, head, message, output};

mod dump;
mod freshness;
mod learn;
mod propose;
mod settle;
mod tree;

pub use dump::Dump;

/// Marks operation ids that are issued by a view, in the top byte.
const OP_TAG: u64 = 1 << 56;

/// State of another VM, from its messages.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: ids::Incarnation,
    version: ids::Version,
    adopted: ids::Version,
    last_seen: ids::Time,
    /// When the last query that it answered was sent.
    answered_query_at: Option<ids::Time>,
}

/// A query to another VM that awaits its reply.
#[derive(Debug)]
struct Query {
    to: ids::Vm,
    sent: ids::Time,
}

/// A read of the head that awaits its answer from the table service.
#[derive(Debug)]
struct Read {
    sent: ids::Time,
    /// The decoded head row, while the roster is being read.
    head: Option<head::Head>,
}

/// One VM's local state about the head, which decides whether it may serve.
#[derive(Debug)]
pub struct View {
    config: crate::Config,
    rng: rand::rngs::SmallRng,
    last_op: u64,
    last_query_id: u64,
    /// When a method was last called.
    last_input: Option<ids::Time>,
    /// Set when there was no input for so long that other VMs may have presumed
    /// this one dead. Until evidence newer than this arrives, it does not vote.
    resumed_at: Option<ids::Time>,
    head: Option<head::Head>,
    head_learned_at: ids::Time,
    previous: Option<head::Head>,
    adopted: Option<head::Head>,
    /// Latest time at which no head newer than `head` was confirmed.
    head_current_at: Option<ids::Time>,
    /// Latest time at which no head newer than `adopted` was confirmed.
    adopted_current_at: Option<ids::Time>,
    /// Keys withdrawn by heads that this VM knows but has not adopted.
    withdrawn: collections::BTreeMap<ids::Version, ids::Key>,
    peers: collections::BTreeMap<ids::Vm, Peer>,
    queries: collections::BTreeMap<u64, Query>,
    reads: collections::BTreeMap<ids::Op, Read>,
    table_up: bool,
    /// Whether a read found no head in the table.
    head_absent: bool,
    next_refresh: ids::Time,
    next_poll: ids::Time,
    settled: ids::Version,
    confirmed: collections::BTreeMap<ids::Version, ids::Time>,
    proposal: Option<propose::Proposal>,
    next_proposal: ids::Time,
    queue: collections::VecDeque<(ids::Op, change::Change)>,
    pending: Vec<settle::Pending>,
    /// Members missing from the platform's list, with the time since when.
    unlisted: collections::BTreeMap<ids::Vm, ids::Time>,
    stage: Stage,
    serving: bool,
}

/// Progress of this VM's departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Not leaving.
    Active,
    /// Leaving was requested at this time.
    Leaving(ids::Time),
    /// Leaving was requested at this time and the removal has been sent; the VM
    /// no longer votes.
    Resigned(ids::Time),
    /// Left, or timed out while leaving.
    Left,
}

impl Stage {
    /// When leaving was requested, unless it is complete.
    const fn leaving_since(self) -> Option<ids::Time> {
        match self {
            Self::Leaving(since) | Self::Resigned(since) => Some(since),
            Self::Active | Self::Left => None,
        }
    }

    /// Whether the VM may vote for the head as a witness.
    const fn may_vote(self) -> bool {
        matches!(self, Self::Active | Self::Leaving(_))
    }
}

impl View {
    /// Creates a view that knows no head.
    #[must_use]
    pub fn new(config: crate::Config) -> Self {
        let me = &config.me;
        let text = format!("{} {} {}", me.vm, me.incarnation, config.seed);
        let rng = rand::rngs::SmallRng::from_seed(*ids::Digest::of(text.as_bytes()).as_bytes());
        let zero = ids::Time::default();
        Self {
            config,
            rng,
            last_op: 0,
            last_query_id: 0,
            last_input: None,
            resumed_at: None,
            head: None,
            head_learned_at: zero,
            previous: None,
            adopted: None,
            head_current_at: None,
            adopted_current_at: None,
            withdrawn: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
            queries: collections::BTreeMap::new(),
            reads: collections::BTreeMap::new(),
            table_up: true,
            head_absent: false,
            next_refresh: zero,
            next_poll: zero,
            settled: ids::Version::default(),
            confirmed: collections::BTreeMap::new(),
            proposal: None,
            next_proposal: zero,
            queue: collections::VecDeque::new(),
            pending: Vec::new(),
            unlisted: collections::BTreeMap::new(),
            stage: Stage::Active,
            serving: false,
        }
    }

    /// Whether this VM may serve at this moment.
    ///
    /// Check again immediately before each action: the process may have been
    /// paused since the last check.
    ///
    /// # Errors
    ///
    /// The reason why this VM may not serve.
    pub fn serves(&self, now: ids::Time) -> Result<(), output::Reason> {
        if self.stage != Stage::Active {
            return Err(output::Reason::Leaving);
        }
        let Some(adopted) = &self.adopted else {
            return Err(output::Reason::Starting);
        };
        if !adopted.contains(&self.config.me.instance()) {
            return Err(output::Reason::NotMember);
        }
        let fresh = |adopted_current_at| now.since(adopted_current_at) < self.config.max_staleness;
        if self.adopted_current_at.is_some_and(fresh) {
            return Ok(());
        }
        if self.known_version() > adopted.version {
            return Err(output::Reason::Behind);
        }
        Err(output::Reason::Stale)
    }

    /// Whether a known head that this VM has not adopted yet withdraws this key.
    #[must_use]
    pub fn is_withdrawn(&self, key: &ids::Key) -> bool {
        self.withdrawn.values().any(|withdrawn| withdrawn == key)
    }

    /// The newest known head.
    #[must_use]
    pub const fn head(&self) -> Option<&head::Head> {
        self.head.as_ref()
    }

    /// The head in force on this VM.
    #[must_use]
    pub const fn in_force(&self) -> Option<&head::Head> {
        self.adopted.as_ref()
    }

    /// The newest version known to be settled: no VM serves under an older one.
    #[must_use]
    pub const fn settled(&self) -> ids::Version {
        self.settled
    }

    /// Handles an answer of the table service.
    pub fn on_table_answer(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: store::Result<store::table::Answer>,
        out: &mut Vec<output::Output>,
    ) {
        self.detect_pause(now, out);
        if let Some(read) = self.reads.remove(&op) {
            self.handle_read(now, read, result, out);
        } else {
            self.handle_write(now, op, &result, out);
        }
        self.reevaluate(now, out);
    }

    /// Handles a message from another VM.
    pub fn on_message(
        &mut self,
        now: ids::Time,
        from: &ids::Vm,
        incarnation: ids::Incarnation,
        message: message::Message,
        out: &mut Vec<output::Output>,
    ) {
        self.detect_pause(now, out);
        if self.record_sender(now, from, incarnation) {
            self.handle_message(now, from, message, out);
        }
        self.reevaluate(now, out);
    }

    /// Handles the platform's list of machines.
    ///
    /// A list without this VM is outdated and is ignored.
    pub fn on_vm_list(
        &mut self,
        now: ids::Time,
        list: &[store::vm::Entry],
        out: &mut Vec<output::Output>,
    ) {
        self.detect_pause(now, out);
        let listed = |vm: &ids::Vm| list.iter().any(|entry| entry.name == vm.as_str());
        let Some(head) = self.head.as_ref().filter(|_| listed(&self.config.me.vm)) else {
            return;
        };
        let members = head.members.iter().map(|member| &member.vm);
        let prior = head.prior.iter().flat_map(|quorum| &quorum.of);
        let known = members.chain(prior.map(|instance| &instance.vm));
        let missing = known.filter(|vm| !listed(vm));
        let since = |vm: &ids::Vm| self.unlisted.get(vm).copied().unwrap_or(now);
        self.unlisted = missing.map(|vm| (vm.clone(), since(vm))).collect();
        self.reevaluate(now, out);
    }

    /// Requests a change whose objects have been stored. The result is returned
    /// as [`output::Output::Changed`].
    pub fn request_change(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        change: change::Change,
        out: &mut Vec<output::Output>,
    ) {
        self.detect_pause(now, out);
        self.enqueue(op, change, out);
        self.drive_proposal(now, out);
        self.reevaluate(now, out);
    }

    /// Records that the objects of the head with this version are in force here.
    pub fn on_adopted(
        &mut self,
        now: ids::Time,
        version: ids::Version,
        out: &mut Vec<output::Output>,
    ) {
        self.detect_pause(now, out);
        self.adopt(version, out);
        self.reevaluate(now, out);
    }

    /// Begins to leave the head; completion is returned as
    /// [`output::Output::Left`].
    pub fn leave(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.detect_pause(now, out);
        if self.stage == Stage::Active {
            self.stage = Stage::Leaving(now);
        }
        self.drive_proposal(now, out);
        self.reevaluate(now, out);
    }

    /// Performs actions that are due. Call it several times in each
    /// [`crate::Config::retry_interval`].
    pub fn tick(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.detect_pause(now, out);
        if self.stage == Stage::Left {
            return;
        }
        self.drop_stale(now);
        self.count_votes(now);
        self.refresh(now, out);
        self.poll_lagging(now, out);
        self.drive_proposal(now, out);
        self.reevaluate(now, out);
    }

    /// Detects that the process was paused for so long that its state is stale.
    fn detect_pause(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let paused =
            self.last_input.is_some_and(|last| now.since(last) >= self.config.max_staleness);
        if paused {
            self.resumed_at = Some(now);
            out.push(output::Output::Log(
                "process was paused; not voting until the head is confirmed again".into(),
            ));
        }
        self.last_input = Some(now);
    }

    /// Updates everything that derives from votes and versions: settled
    /// versions, answers to operators and whether this VM serves.
    fn reevaluate(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.count_votes(now);
        self.settle(now, out);
        self.answer_operators(now, out);
        let reason = self.serves(now).err();
        if self.serving == reason.is_none() {
            return;
        }
        self.serving = reason.is_none();
        out.push(output::Output::Serving { serving: self.serving, reason });
    }

    /// Version of the newest known head; zero if none.
    fn known_version(&self) -> ids::Version {
        self.head.as_ref().map(|head| head.version).unwrap_or_default()
    }

    /// Version in force on this VM; zero if none.
    fn adopted_version(&self) -> ids::Version {
        let adopted = self.adopted.as_ref();
        adopted.map(|head| head.version).unwrap_or_default()
    }

    fn is_member(&self) -> bool {
        let instance = self.config.me.instance();
        self.head.as_ref().is_some_and(|head| head.contains(&instance))
    }

    fn is_witness(&self) -> bool {
        let witnesses = self.head.as_ref().map(|head| &head.witnesses);
        self.is_member() && witnesses.is_some_and(|vms| vms.contains(&self.config.me.vm))
    }

    fn next_op(&mut self) -> ids::Op {
        self.last_op += 1;
        ids::Op::new(OP_TAG | self.last_op)
    }

    /// Time after which every VM that does not know a confirmed head is fenced.
    fn fencing_time(&self) -> time::Duration {
        self.config.max_staleness + self.config.clock_margin
    }
}
