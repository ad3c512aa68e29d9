//! The tables of the store while it comes back from a copy: all orders of a drill, changes of the
//! tables and one fault of a VM, in a fleet of three.

mod fleet;
mod world;

use std::collections;

use fleet::Fleet;
use world::{configuration, desk};

/// Number of VMs; two of them read the store.
const VMS: usize = 3;
/// Time after which the fleet has met, in ms.
const START_MS: u64 = 2_000;
/// Pauses between two events, in ms: shorter than a message between VMs, and longer than the
/// interval between two reads.
const PAUSES_MS: [u64; 2] = [20, 460];
/// How long the store is away before it comes back, in ms.
const AWAY_MS: u64 = 60;
/// Time after the return in which what was lost is written again, in ms.
const WRITTEN_AGAIN_MS: u64 = 600;
/// Time after which a VM in touch goes by what was acknowledged, in ms.
const APPLY_MS: u64 = 2_000;
/// Interval at which targets write their entries, in ms.
const HEARTBEAT_MS: u64 = 1_200;
/// A target that stays.
const STAYS: &str = "d-0";
/// The target that leaves and is back.
const MOVES: &str = "d-1";
/// Calls to find out which targets a VM uses; more than one target takes.
const CALLS: usize = 6;

/// What happens in a play, in an order of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    /// The copy is made.
    Copy,
    /// The store goes away and comes back from the copy.
    Return,
    /// [`MOVES`] leaves.
    Leave,
    /// [`MOVES`] serves again.
    Join,
    /// The operator writes a configuration.
    Configure,
    /// The fault begins.
    Fault,
    /// The fault ends.
    Mend,
}

/// What goes wrong beside the drill.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A VM loses the store.
    Store(usize),
    /// A VM is suspended.
    Freeze(usize),
    /// A VM is killed, and started when the fault ends.
    Kill(usize),
    /// The first VM does not hear the second.
    Link(usize, usize),
}

impl Fault {
    fn begin(self, fleet: &mut Fleet) {
        match self {
            Self::Store(vm) => fleet.vms[vm].has_store = false,
            Self::Freeze(vm) => fleet.vms[vm].is_frozen = true,
            Self::Kill(vm) => fleet.kill(vm),
            Self::Link(vm, other) => {
                let other = fleet.vms[other].name.clone();
                fleet.vms[vm].deaf_to.insert(other);
            }
        }
    }

    fn end(self, fleet: &mut Fleet) {
        match self {
            Self::Store(vm) => fleet.vms[vm].has_store = true,
            Self::Freeze(vm) => fleet.vms[vm].is_frozen = false,
            Self::Kill(vm) => fleet.start(vm),
            Self::Link(vm, _) => fleet.vms[vm].deaf_to.clear(),
        }
    }
}

/// A row that was written, as its writer would write it again.
#[derive(Clone, Copy, Debug)]
enum Write {
    Leave,
    Join,
    Configure,
}

/// A fleet and what its operator and its targets know.
struct Play {
    fleet: Fleet,
    elapsed_ms: u64,
    serves: bool,
    version: u64,
    /// What was written since the copy.
    since: Option<Vec<Write>>,
    copy: Option<fleet::Store>,
    /// Highest version of the configuration by which each process has gone.
    highest: collections::BTreeMap<(ids::Vm, ids::Incarnation), u64>,
    faults: Vec<String>,
}

impl Play {
    fn new() -> Self {
        let targets = vec![desk(STAYS), desk(MOVES)];
        let mut fleet = Fleet::new(VMS, 1, configuration(1), targets);
        fleet.store.era = 1;
        let mut play = Self {
            fleet,
            elapsed_ms: 0,
            serves: true,
            version: 1,
            since: None,
            copy: None,
            highest: collections::BTreeMap::new(),
            faults: Vec::new(),
        };
        play.run(START_MS);
        play
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.elapsed_ms += 20;
            if self.elapsed_ms.is_multiple_of(HEARTBEAT_MS) && !self.fleet.store.is_away {
                self.fleet.change(desk(STAYS));
                if self.serves {
                    self.fleet.change(desk(MOVES));
                }
            }
            self.fleet.run(20, |_| {});
            for vm in self.fleet.running() {
                let version = vm.relay.as_ref().expect("it runs").version().get();
                let highest = self.highest.entry(vm.member()).or_default();
                if version < *highest {
                    let name = vm.name.as_str();
                    self.faults.push(format!("{name} goes from {highest} back to {version}"));
                }
                *highest = version.max(*highest);
            }
        }
    }

    fn write(&mut self, write: Write) {
        match write {
            Write::Leave => self.fleet.remove(MOVES),
            Write::Join => self.fleet.change(desk(MOVES)),
            Write::Configure => self.fleet.configure(configuration(self.version)),
        }
    }

    fn apply(&mut self, event: Event, fault: Fault) {
        let write = match event {
            Event::Copy => {
                self.copy = Some(self.fleet.copy_store());
                self.since = Some(Vec::new());
                return;
            }
            Event::Return => return self.come_back(),
            Event::Fault => return fault.begin(&mut self.fleet),
            Event::Mend => return fault.end(&mut self.fleet),
            Event::Leave => {
                self.serves = false;
                Write::Leave
            }
            Event::Join => {
                self.serves = true;
                Write::Join
            }
            Event::Configure => {
                self.version += 1;
                Write::Configure
            }
        };
        self.write(write);
        if let Some(since) = &mut self.since {
            since.push(write);
        }
    }

    fn come_back(&mut self) {
        let before = self.users();
        self.fleet.take_store_away();
        self.run(AWAY_MS);
        self.fleet.bring_store_back(self.copy.take().expect("the copy is made before"));
        self.run(WRITTEN_AGAIN_MS);
        // The copy changes nothing for a VM that had learned of the last change.
        let after = self.users();
        let informed = before.iter().filter(|(_, is_used)| **is_used == self.serves);
        for (vm, is_used) in informed {
            if after[vm] != *is_used {
                self.faults.push(format!("{MOVES} in use at VM {vm}: {is_used}, then not so"));
            }
        }
        for write in self.since.take().into_iter().flatten() {
            self.write(write);
        }
    }

    /// Whether each VM that runs uses [`MOVES`].
    fn users(&mut self) -> collections::BTreeMap<usize, bool> {
        let runs = |vm: &usize| {
            let vm = &self.fleet.vms[*vm];
            vm.relay.is_some() && !vm.is_frozen
        };
        let running: Vec<_> = (0..VMS).filter(runs).collect();
        let users = running.into_iter().map(|vm| {
            let is_used = self.targets_of(vm).iter().any(|target| target == MOVES);
            (vm, is_used)
        });
        users.collect()
    }

    /// Names of the targets that a VM uses.
    fn targets_of(&mut self, vm: usize) -> Vec<String> {
        self.fleet.sent.clear();
        for _ in 0..CALLS {
            self.fleet.arrive(vm, world::envelope("lookup", Some("key-2")));
        }
        self.run(60);
        self.fleet.sent.keys().map(|target| target.as_str().to_owned()).collect()
    }

    /// Compares each VM with what the store holds.
    fn check(&mut self) {
        self.run(APPLY_MS);
        let mut expected = vec![STAYS.to_owned()];
        expected.extend(self.serves.then(|| MOVES.to_owned()));
        for vm in 0..VMS {
            let relay = self.fleet.vms[vm].relay.as_ref().expect("it runs");
            let version = relay.version().get();
            if version != self.version {
                self.faults.push(format!("VM {vm} goes by {version}, not {}", self.version));
            }
            let targets = self.targets_of(vm);
            if targets != expected {
                self.faults.push(format!("VM {vm} uses {targets:?}, not {expected:?}"));
            }
        }
    }
}

/// All orders of the events in which each one that needs another follows it.
fn orders() -> Vec<Vec<Event>> {
    const FIRST: [(Event, Event); 3] =
        [(Event::Copy, Event::Return), (Event::Fault, Event::Mend), (Event::Leave, Event::Join)];
    let events = [
        Event::Copy,
        Event::Return,
        Event::Leave,
        Event::Join,
        Event::Configure,
        Event::Fault,
        Event::Mend,
    ];
    let mut orders = vec![Vec::new()];
    for _ in 0..events.len() {
        let longer = |order: &Vec<Event>| {
            let may_follow = |event: &&Event| {
                !order.contains(event)
                    && FIRST.iter().all(|(first, then)| then != *event || order.contains(first))
            };
            let next = events.iter().filter(may_follow);
            next.map(|event| [order.as_slice(), &[*event]].concat()).collect::<Vec<_>>()
        };
        orders = orders.iter().flat_map(longer).collect();
    }
    orders
}

/// Plays all orders with each of the faults and checks them.
fn check(faults: impl IntoIterator<Item = Fault>) {
    let mut failed = Vec::new();
    let orders = orders();
    for fault in faults {
        for (order, pause_ms) in orders.iter().flat_map(|order| PAUSES_MS.map(|ms| (order, ms))) {
            let mut play = Play::new();
            for event in order {
                play.apply(*event, fault);
                play.run(pause_ms);
            }
            play.check();
            if !play.faults.is_empty() {
                let faults = &play.faults;
                failed.push(format!("{fault:?}, {order:?}, {pause_ms} ms apart: {faults:?}"));
            }
        }
    }
    assert!(failed.is_empty(), "{} plays failed:\n{}", failed.len(), failed.join("\n"));
}

/// Guards against tables that stay as the copy had them, or go back, while a VM has lost the store.
#[test]
fn all_vms_end_on_what_the_store_holds_though_one_has_lost_it() {
    check((0..VMS).map(Fault::Store));
}

/// Guards against answers of an earlier era that a VM takes for the present when it runs again.
#[test]
fn all_vms_end_on_what_the_store_holds_though_one_is_suspended() {
    check((0..VMS).map(Fault::Freeze));
}

/// Guards against a VM that starts and passes on what the copy lists.
#[test]
fn all_vms_end_on_what_the_store_holds_though_one_restarts() {
    check((0..VMS).map(Fault::Kill));
}

/// Guards against a VM that does not learn of the era, as one that reads the store does not reach it.
#[test]
fn all_vms_end_on_what_the_store_holds_though_a_link_is_cut() {
    let links = (0..VMS).flat_map(|vm| (0..VMS).map(move |other| (vm, other)));
    check(links.filter(|(vm, other)| vm != other).map(|(vm, other)| Fault::Link(vm, other)));
}
