//! Two VMs over one table in memory, a counting service and callers who ask
//! again, with a fault or none at every step as the schedule says.

mod memory;

use std::{collections, fmt, time};

use store::table;

/// Virtual time between ticks.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Length of an outage, longer than a call waits for its claim.
const OUTAGE: time::Duration = time::Duration::from_secs(4);
/// Ticks without anything to do after which a session is over.
const QUIET_TICKS: u32 = 80;
/// Calls by the caller of one key, the first one included.
const CALLS: u64 = 5;

/// Decides which fault, if any, a step meets: 0 is none.
pub trait Schedule: fmt::Debug {
    fn choose(&mut self, options: usize) -> usize;
}

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Answered(u64),
    Refused(journal::Reason),
    /// The target had it, and the answer was lost.
    Lost,
    /// The target proved that it refused.
    Unsent,
    /// The VM died.
    Cut,
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
    calm: bool,
    now: ids::Time,
    table: memory::Table,
    late: Vec<(usize, Vec<table::Write>)>,
    outage_until: ids::Time,
    vms: Vec<(journal::Journal, ids::Incarnation)>,
    pending: collections::VecDeque<Pending>,
    lagging: bool,
    next_call: u64,
    at: collections::BTreeMap<ids::Call, usize>,
    pub runs: Vec<ids::Call>,
    pub told: collections::BTreeMap<ids::Call, Told>,
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
    /// `lagging`: the VMs learn of a crash only at the end.
    pub fn new(schedule: S, lagging: bool) -> Self {
        let first = ids::Incarnation::new(1);
        let mut world = Self {
            schedule,
            calm: false,
            now: ids::Time::from_millis(1_000),
            table: memory::Table::default(),
            late: Vec::new(),
            outage_until: ids::Time::default(),
            vms: (0..2).map(|vm| (journal(vm, first), first)).collect(),
            pending: collections::VecDeque::new(),
            lagging,
            next_call: 0,
            at: collections::BTreeMap::new(),
            runs: Vec::new(),
            told: collections::BTreeMap::new(),
            crashes: 0,
            lost: 0,
        };
        world.tell_members();
        world
    }

    /// Runs a session: one call at each of `first`, then more by turns until
    /// the caller has an answer;
    /// once all is quiet, a last call that meets no fault.
    pub fn run(mut self, first: &[usize]) -> (Self, Told) {
        for vm in first {
            self.begin(*vm);
        }
        self.until_quiet();
        self.calm = true;
        self.tell_members();
        let last = self.begin(1);
        self.until_quiet();
        let told = self.told.get(&last).cloned().expect("every call ends");
        (self, told)
    }

    pub fn into_schedule(self) -> S {
        self.schedule
    }

    fn until_quiet(&mut self) {
        let mut quiet = 0;
        while quiet < QUIET_TICKS {
            while let Some(pending) = self.pending.pop_front() {
                quiet = 0;
                self.handle(pending);
                self.land(false);
            }
            quiet += 1;
            self.now = self.now + TICK;
            if self.now > self.outage_until {
                self.land(quiet == QUIET_TICKS);
            }
            for vm in 0..self.vms.len() {
                self.with(vm, journal::Journal::tick);
            }
        }
    }

    fn begin(&mut self, vm: usize) -> ids::Call {
        self.next_call += 1;
        let id = ids::Call::new(self.next_call);
        self.at.insert(id, vm);
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
                    self.tell(call, Told::Answered(run));
                    continue;
                }
                journal::Output::Refuse { call, reason } => {
                    self.tell(call, Told::Refused(reason));
                    continue;
                }
                journal::Output::Stored { .. } | journal::Output::Released { .. } => continue,
            };
            self.pending.push_back(Pending { vm, incarnation, event });
        }
    }

    /// Tells a caller how its call ended; without an answer it asks again.
    fn tell(&mut self, call: ids::Call, told: Told) {
        let again = !matches!(told, Told::Answered(_)) && self.next_call < CALLS;
        let before = self.told.insert(call, told);
        assert_eq!(before, None, "call {call} ended twice");
        if again {
            let other = 1 - self.at[&call];
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
        if self.calm {
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
            // Takes effect late: after one, two or three more steps.
            late @ 4..=5 => {
                self.late.push((late - 3, writes));
                self.answer(vm, op, unknown);
            }
            // Takes effect after an outage, or in it.
            6 => {
                self.outage_until = self.now + OUTAGE;
                self.late.push((1, writes));
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
                self.tell(call, Told::Answered(call.get()));
            }
            1 => {
                self.lost += 1;
                self.with(vm, |journal, now, out| journal.mark_lost(now, call, out));
                self.tell(call, Told::Lost);
            }
            2 => {
                self.with(vm, |journal, now, out| journal.release(now, call, out));
                self.tell(call, Told::Unsent);
            }
            _ => self.crash(vm),
        }
    }

    fn crash(&mut self, vm: usize) {
        self.crashes += 1;
        let incarnation = self.vms[vm].1.next();
        self.vms[vm] = (journal(vm, incarnation), incarnation);
        if !self.lagging {
            self.tell_members();
        }
        let open = |(call, at): (&ids::Call, &usize)| {
            (*at == vm && !self.told.contains_key(call)).then_some(*call)
        };
        let cut: Vec<_> = self.at.iter().filter_map(open).collect();
        for call in cut {
            self.tell(call, Told::Cut);
        }
    }

    fn tell_members(&mut self) {
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

    /// Lets late writes take effect whose time has come.
    fn land(&mut self, all: bool) {
        let mut landing = Vec::new();
        self.late.retain_mut(|(steps, writes)| {
            *steps = steps.saturating_sub(1);
            let due = all || *steps == 0;
            if due {
                landing.push(writes.clone());
            }
            !due
        });
        for writes in landing {
            self.table.write(&writes);
        }
    }
}

/// Checks what must hold of every session, whatever its faults.
pub fn judge<S: Schedule>(world: &World<S>, last: &Told) {
    let trace = format!("{:?} {:?}", world.schedule, world.told);
    assert!(world.runs.len() <= 1, "ran twice: {:?}; {trace}", world.runs);
    for (call, told) in &world.told {
        let ran = world.runs.contains(call);
        match told {
            Told::Refused(_) | Told::Unsent => assert!(!ran, "{call} ran: {told:?}; {trace}"),
            Told::Answered(run) => {
                assert_eq!(world.runs, [ids::Call::new(*run)], "{trace}");
            }
            Told::Lost => assert!(ran, "{trace}"),
            Told::Cut => {}
        }
    }
    // Only a crash or a lost answer may leave a key without an answer.
    if world.crashes + world.lost == 0 {
        assert!(matches!(last, Told::Answered(_)), "{last:?}; {trace}");
    }
    // No claim is in progress for ever.
    let stuck =
        [journal::Reason::InProgress, journal::Reason::Unavailable, journal::Reason::Conflict];
    let stuck = stuck.map(Told::Refused);
    assert!(!stuck.contains(last), "{last:?}; {trace}");
}
