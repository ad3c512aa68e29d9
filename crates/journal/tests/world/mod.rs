//! Simulation of two VMs over one in-memory table, a service that counts its
//! runs and callers that retry. A schedule chooses a fault or none at each step.

mod memory;

use std::{collections, fmt, time};

use store::table;

/// Simulated time between ticks.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Length of a table outage; longer than the claim timeout.
const OUTAGE: time::Duration = time::Duration::from_secs(4);
/// Number of ticks without events after which a session ends.
const QUIET_TICKS: u32 = 80;
/// Maximum number of calls with the key, including the first one.
const CALLS: u64 = 5;

/// Chooses the fault of each step; 0 means no fault.
pub trait Schedule: fmt::Debug {
    fn choose(&mut self, options: usize) -> usize;
}

#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    Answered(u64),
    Refused(journal::Reason),
    /// The target ran the call, but the answer was lost.
    Lost,
    /// The target provably refused the call.
    Unsent,
    /// The VM crashed during the call.
    Disconnected,
}

enum Event {
    Table(ids::Op, Vec<table::Write>),
    Send(ids::Call),
}

struct Pending {
    vm: usize,
    incarnation: ids::Incarnation,
    event: Event,
}

pub struct World<S> {
    schedule: S,
    is_faultless: bool,
    now: ids::Time,
    table: memory::Table,
    delayed: Vec<(usize, Vec<table::Write>)>,
    outage_until: ids::Time,
    vms: Vec<(journal::Journal, ids::Incarnation)>,
    pending: collections::VecDeque<Pending>,
    lagging: bool,
    next_call: u64,
    vm_by_call: collections::BTreeMap<ids::Call, usize>,
    pub runs: Vec<ids::Call>,
    pub endings: collections::BTreeMap<ids::Call, Ending>,
    pub crashes: u32,
    pub lost: u32,
}

fn journal(vm: usize, incarnation: ids::Incarnation) -> journal::Journal {
    let config = journal::Config::new(format!("vm-{vm}").into(), incarnation, 7);
    journal::Journal::new(config)
}

fn fault(kind: store::Kind) -> store::Fault {
    store::Fault::new("write", "table", kind, "scheduled")
}

impl<S: Schedule> World<S> {
    /// If `lagging`, the VMs learn of crashes only at the end of the session.
    pub fn new(schedule: S, lagging: bool) -> Self {
        let first = ids::Incarnation::new(1);
        let mut world = Self {
            schedule,
            is_faultless: false,
            now: ids::Time::from_millis(1_000),
            table: memory::Table::default(),
            delayed: Vec::new(),
            outage_until: ids::Time::default(),
            vms: (0..2).map(|vm| (journal(vm, first), first)).collect(),
            pending: collections::VecDeque::new(),
            lagging,
            next_call: 0,
            vm_by_call: collections::BTreeMap::new(),
            runs: Vec::new(),
            endings: collections::BTreeMap::new(),
            crashes: 0,
            lost: 0,
        };
        world.update_members();
        world
    }

    /// Runs a session: one call at each VM of `first`, retried at alternating VMs
    /// until the caller has an answer, then a last call without faults.
    pub fn run(mut self, first: &[usize]) -> (Self, Ending) {
        for vm in first {
            self.begin(*vm);
        }
        self.run_until_quiet();
        self.is_faultless = true;
        self.update_members();
        let last = self.begin(1);
        self.run_until_quiet();
        let ending = self.endings.get(&last).cloned().expect("every call ends");
        (self, ending)
    }

    pub fn into_schedule(self) -> S {
        self.schedule
    }

    fn run_until_quiet(&mut self) {
        let mut quiet_ticks = 0;
        while quiet_ticks < QUIET_TICKS {
            while let Some(pending) = self.pending.pop_front() {
                quiet_ticks = 0;
                self.handle(pending);
                self.apply_delayed(false);
            }
            quiet_ticks += 1;
            self.now = self.now + TICK;
            if self.now > self.outage_until {
                self.apply_delayed(quiet_ticks == QUIET_TICKS);
            }
            for vm in 0..self.vms.len() {
                self.with(vm, journal::Journal::tick);
            }
        }
    }

    fn begin(&mut self, vm: usize) -> ids::Call {
        self.next_call += 1;
        let id = ids::Call::new(self.next_call);
        self.vm_by_call.insert(id, vm);
        let call = journal::Call {
            call: id,
            account: "mayors".into(),
            route: "desk/bookings".into(),
            key: "order-17".into(),
            digest: ids::Digest::of(b"request"),
        };
        self.with(vm, |journal, now, out| journal.begin(now, call, out));
        id
    }

    fn with(
        &mut self,
        vm: usize,
        act: impl FnOnce(&mut journal::Journal, ids::Time, &mut Vec<journal::Output>),
    ) {
        let mut out = Vec::new();
        let (journal, incarnation) = &mut self.vms[vm];
        act(journal, self.now, &mut out);
        let incarnation = *incarnation;
        for output in out {
            let event = match output {
                journal::Output::Table { op, request } => {
                    let table::Request::Write { writes } = request else { panic!("only writes") };
                    Event::Table(op, writes)
                }
                journal::Output::Send { call } => Event::Send(call),
                journal::Output::Replay { call, answer } => {
                    let run = std::str::from_utf8(&answer.body).unwrap().parse().unwrap();
                    self.end_call(call, Ending::Answered(run));
                    continue;
                }
                journal::Output::Refuse { call, reason } => {
                    self.end_call(call, Ending::Refused(reason));
                    continue;
                }
                journal::Output::Stored { .. } | journal::Output::Released { .. } => continue,
            };
            self.pending.push_back(Pending { vm, incarnation, event });
        }
    }

    /// Records the result of a call and retries it unless it was answered.
    fn end_call(&mut self, call: ids::Call, ending: Ending) {
        let retries = !matches!(ending, Ending::Answered(_)) && self.next_call < CALLS;
        let previous = self.endings.insert(call, ending);
        assert_eq!(previous, None, "call {call} ended twice");
        if retries {
            let other = 1 - self.vm_by_call[&call];
            self.begin(other);
        }
    }

    fn handle(&mut self, pending: Pending) {
        let Pending { vm, incarnation, event } = pending;
        if self.vms[vm].1 != incarnation {
            return;
        }
        match event {
            Event::Table(op, writes) => self.table(vm, op, writes),
            Event::Send(call) => self.send(vm, call),
        }
    }

    fn choose(&mut self, options: usize) -> usize {
        if self.is_faultless {
            return 0;
        }
        self.schedule.choose(options)
    }

    fn table(&mut self, vm: usize, op: ids::Op, writes: Vec<table::Write>) {
        if self.now <= self.outage_until {
            self.answer(vm, op, Err(fault(store::Kind::Refused)));
            return;
        }
        let unknown = Err(fault(store::Kind::Unknown));
        match self.choose(10) {
            0 => {
                let answer = self.table.write(&writes);
                self.answer(vm, op, Ok(answer));
            }
            1 => self.answer(vm, op, Err(fault(store::Kind::Refused))),
            2 => self.answer(vm, op, unknown),
            3 => {
                self.table.write(&writes);
                self.answer(vm, op, unknown);
            }
            // The response is lost; the write takes effect at the end of this step or the
            // next one.
            delay @ 4..=5 => {
                self.delayed.push((delay - 3, writes));
                self.answer(vm, op, unknown);
            }
            // An outage begins; the write still takes effect at the end of this step.
            6 => {
                self.outage_until = self.now + OUTAGE;
                self.delayed.push((1, writes));
                self.answer(vm, op, unknown);
            }
            7 => {
                self.table.write(&writes);
                self.outage_until = self.now + OUTAGE;
            }
            8 => self.crash(vm),
            _ => {
                self.table.write(&writes);
                self.crash(vm);
            }
        }
    }

    fn send(&mut self, vm: usize, call: ids::Call) {
        let choice = self.choose(5);
        if choice != 2 && choice != 3 {
            self.runs.push(call);
        }
        match choice {
            0 => {
                let body = call.to_string().into_bytes().into();
                let answer = journal::Answer { status: 200, media: "text/plain".into(), body };
                self.with(vm, |journal, now, out| {
                    journal.store_answer(now, call, answer, out);
                });
                self.end_call(call, Ending::Answered(call.get()));
            }
            1 => {
                self.lost += 1;
                self.with(vm, |journal, now, out| journal.mark_lost(now, call, out));
                self.end_call(call, Ending::Lost);
            }
            2 => {
                self.with(vm, |journal, now, out| journal.release(now, call, out));
                self.end_call(call, Ending::Unsent);
            }
            _ => self.crash(vm),
        }
    }

    fn crash(&mut self, vm: usize) {
        self.crashes += 1;
        let incarnation = self.vms[vm].1.next();
        self.vms[vm] = (journal(vm, incarnation), incarnation);
        if !self.lagging {
            self.update_members();
        }
        let open = |(call, at): (&ids::Call, &usize)| {
            (*at == vm && !self.endings.contains_key(call)).then_some(*call)
        };
        let disconnected: Vec<_> = self.vm_by_call.iter().filter_map(open).collect();
        for call in disconnected {
            self.end_call(call, Ending::Disconnected);
        }
    }

    fn update_members(&mut self) {
        let member = |(vm, (_, incarnation)): (usize, &(_, ids::Incarnation))| {
            (ids::Vm::from(format!("vm-{vm}")), *incarnation)
        };
        let members: Vec<_> = self.vms.iter().enumerate().map(member).collect();
        for (journal, _) in &mut self.vms {
            journal.set_members(&members);
        }
    }

    fn answer(&mut self, vm: usize, op: ids::Op, result: store::Result<table::Answer>) {
        self.with(vm, |journal, now, out| journal.handle_table_answer(now, op, result, out));
    }

    /// Applies the delayed writes that are due, or all of them.
    fn apply_delayed(&mut self, all: bool) {
        let mut due_writes = Vec::new();
        self.delayed.retain_mut(|(steps, writes)| {
            *steps = steps.saturating_sub(1);
            let due = all || *steps == 0;
            if due {
                due_writes.push(writes.clone());
            }
            !due
        });
        for writes in due_writes {
            self.table.write(&writes);
        }
    }
}

/// Checks the invariants of a session, whatever its faults.
pub fn check_invariants<S: Schedule>(world: &World<S>, last: &Ending) {
    let trace = format!("{:?} {:?}", world.schedule, world.endings);
    assert!(world.runs.len() <= 1, "ran twice: {:?}; {trace}", world.runs);
    for (call, ending) in &world.endings {
        let ran = world.runs.contains(call);
        match ending {
            Ending::Refused(_) | Ending::Unsent => assert!(!ran, "{call} ran: {ending:?}; {trace}"),
            Ending::Answered(run) => {
                assert_eq!(world.runs, [ids::Call::new(*run)], "{trace}");
            }
            Ending::Lost => assert!(ran, "{trace}"),
            Ending::Disconnected => {}
        }
    }
    // A key may remain without an answer only after a crash or a lost answer.
    if world.crashes + world.lost == 0 {
        assert!(matches!(last, Ending::Answered(_)), "{last:?}; {trace}");
    }
    // No claim stays in progress for ever.
    let stuck =
        [journal::Reason::InProgress, journal::Reason::Unavailable, journal::Reason::Conflict];
    let stuck = stuck.map(Ending::Refused);
    assert!(!stuck.contains(last), "{last:?}; {trace}");
}
