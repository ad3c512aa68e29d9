//! What one VM knows of the head.

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

/// Numbers of operations of this area begin here.
const OP_TAG: u64 = 1 << 56;

/// What is known of another VM.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: ids::Incarnation,
    version: ids::Version,
    adopted: ids::Version,
    last_seen: ids::Time,
    /// When it was asked the question that it last answered.
    answered_query_at: Option<ids::Time>,
}

/// A question that awaits its reply.
#[derive(Debug)]
struct Query {
    to: ids::Vm,
    sent: ids::Time,
}

/// A read of the head that awaits its answer.
#[derive(Debug)]
struct Read {
    sent: ids::Time,
    /// The small row, while the members are read.
    head: Option<head::Head>,
}

/// What one VM knows of the head, and whether it may serve.
#[derive(Debug)]
pub struct View {
    config: crate::Config,
    rng: rand::rngs::SmallRng,
    last_op: u64,
    last_query_id: u64,
    /// When the last input came.
    last_input: Option<ids::Time>,
    /// Set when no input came for so long that this VM was perhaps taken for
    /// gone; until it has looked, it vouches for nothing.
    resumed_at: Option<ids::Time>,
    head: Option<head::Head>,
    head_learned_at: ids::Time,
    previous: Option<head::Head>,
    adopted: Option<head::Head>,
    /// No head newer than the newest known was confirmed at this moment.
    head_current_at: Option<ids::Time>,
    /// No head newer than the one in force here was confirmed at this moment.
    adopted_current_at: Option<ids::Time>,
    /// Keys withdrawn by heads that are not in force here yet.
    withdrawn: collections::BTreeMap<ids::Version, ids::Key>,
    peers: collections::BTreeMap<ids::Vm, Peer>,
    queries: collections::BTreeMap<u64, Query>,
    reads: collections::BTreeMap<ids::Op, Read>,
    table_up: bool,
    /// Whether a read found no head at all.
    head_absent: bool,
    next_refresh: ids::Time,
    next_poll: ids::Time,
    settled: ids::Version,
    confirmed: collections::BTreeMap<ids::Version, ids::Time>,
    proposal: Option<propose::Proposal>,
    next_proposal: ids::Time,
    queue: collections::VecDeque<(ids::Op, change::Change)>,
    pending: Vec<settle::Pending>,
    /// Members that the platform does not list, and since when.
    unlisted: collections::BTreeMap<ids::Vm, ids::Time>,
    stage: Stage,
    serving: bool,
}

/// How far this VM's departure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It stays.
    Active,
    /// It is to leave, since this moment.
    Leaving(ids::Time),
    /// Its removal was sent: it vouches no more.
    Resigned(ids::Time),
    /// It has left.
    Left,
}

impl Stage {
    /// Since when the VM is to leave.
    const fn leaving_since(self) -> Option<ids::Time> {
        match self {
            Self::Leaving(since) | Self::Resigned(since) => Some(since),
            Self::Active | Self::Left => None,
        }
    }

    /// Whether the VM may vouch for the head.
    const fn may_vote(self) -> bool {
        matches!(self, Self::Active | Self::Leaving(_))
    }
}

impl View {
    /// A view that knows nothing yet.
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
    /// To be asked again just before each act, for the process may have been
    /// stopped since the last time.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
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

    /// Whether a head that is not in force here yet is known to have withdrawn
    /// this key.
    #[must_use]
    pub fn is_withdrawn(&self, key: &ids::Key) -> bool {
        self.withdrawn.values().any(|withdrawn| withdrawn == key)
    }

    /// The newest head that is known.
    #[must_use]
    pub const fn head(&self) -> Option<&head::Head> {
        self.head.as_ref()
    }

    /// The head in force here.
    #[must_use]
    pub const fn in_force(&self) -> Option<&head::Head> {
        self.adopted.as_ref()
    }

    /// The newest head that no serving VM is behind, as far as is known here.
    #[must_use]
    pub const fn settled(&self) -> ids::Version {
        self.settled
    }

    /// Takes an answer of the table service.
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

    /// Takes a message of another VM.
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

    /// Takes the platform's list of machines.
    ///
    /// A list without this VM is too old to say anything about others.
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

    /// Begins a change whose objects have been stored; ends with
    /// [`output::Output::Changed`].
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

    /// The objects of this head are in force here.
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

    /// Leaves the head; ends with [`output::Output::Left`].
    pub fn leave(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        self.detect_pause(now, out);
        if self.stage == Stage::Active {
            self.stage = Stage::Leaving(now);
        }
        self.drive_proposal(now, out);
        self.reevaluate(now, out);
    }

    /// Does what is due. To be called several times in each
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

    /// Notices when the process was stopped for long.
    fn detect_pause(&mut self, now: ids::Time, out: &mut Vec<output::Output>) {
        let paused =
            self.last_input.is_some_and(|last| now.since(last) >= self.config.max_staleness);
        if paused {
            self.resumed_at = Some(now);
            out.push(output::Output::Log("was paused; looks again".into()));
        }
        self.last_input = Some(now);
    }

    /// Draws the consequences of what has become known.
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

    /// The newest version known; zero if none.
    fn known_version(&self) -> ids::Version {
        self.head.as_ref().map(|head| head.version).unwrap_or_default()
    }

    /// The version in force here; zero if none.
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

    /// How long fencing of whoever does not know a confirmed head takes.
    fn fencing_time(&self) -> time::Duration {
        self.config.max_staleness + self.config.clock_margin
    }
}
