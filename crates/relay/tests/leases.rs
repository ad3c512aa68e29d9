//! The planner's lease while the store comes back from a copy: all placements, on a grid, of one
//! drill, one suspended VM and one lost or late write among two or three VMs.

use std::{collections, iter, sync, time};

use relay::{
    input::Written,
    lease::{self, Lease},
};

/// Least time between the orders of two holders, in ms.
const HANDOVER_MS: u64 = 1_000;
/// Interval at which the VMs act, in ms.
const STEP_MS: u64 = 100;
/// Grid on which faults begin, in ms.
const GRID_MS: usize = 700;
/// Length of a play, in ms.
const LENGTH_MS: u64 = 19_000;
/// Period in which faults begin, in ms.
const FAULTS_MS: u64 = 7_000;
/// Answers of the store take this long, in ms.
const ANSWER_MS: u64 = 5;

/// The store's row.
#[derive(Clone, Debug, Default)]
struct Row {
    era: u64,
    version: u64,
    current: Option<store::table::Row>,
}

impl Row {
    fn era(&self) -> ids::Era {
        ids::Era::new(self.era)
    }

    fn write(&mut self, write: &store::table::Write) -> Written {
        // Versions also grow with writes of other tables.
        self.version += 1;
        if write.expect != self.current.as_ref().map(|row| row.version) {
            return Written::Conflict { row: self.current.clone(), era: self.era() };
        }
        let version = ids::Version::new(self.version);
        let value = write.value.clone().expect("a value");
        let key = sync::Arc::clone(&write.key);
        self.current = Some(store::table::Row { key, version, value });
        Written::Done { revision: ids::Revision::new(self.era(), version), clock_ms: 0 }
    }
}

/// What happens to one write.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It is applied and not answered.
    Answer,
    /// It is applied this much later, in ms, and not answered.
    Late(u64),
}

/// What happens in a play; times in ms.
#[derive(Clone, Debug)]
struct Play {
    vms: usize,
    /// When the copy is made, and when the store comes back from it. It is away for
    /// [`AWAY_MS`] before that.
    drill: (u64, u64),
    /// A VM, and the time in which it is suspended.
    freeze: Option<(usize, std::ops::Range<u64>)>,
    /// The first write of a VM from a time on.
    loss: Option<(usize, u64, Loss)>,
    /// Whether the store states its era.
    states_era: bool,
}

/// How long the store is away before it comes back.
const AWAY_MS: u64 = 300;

/// An order that a VM may have sent.
#[derive(Clone, Copy, Debug)]
struct Order {
    at: u64,
    vm: usize,
    fence: ids::Fence,
}

/// The orders that VMs might send in a play, each VM at each of its steps if it may.
fn orders(play: &Play) -> Vec<Order> {
    let handover = time::Duration::from_millis(HANDOVER_MS);
    let lease = |vm: usize| {
        Lease::new(format!("vm-{vm}").as_str().into(), ids::Incarnation::new(1), handover)
    };
    let mut leases: Vec<_> = (0..play.vms).map(lease).collect();
    let mut row = Row { era: u64::from(play.states_era), ..Row::default() };
    let mut copy = row.clone();
    let mut loss = play.loss;
    let mut late: Option<(u64, store::table::Write)> = None;
    let mut orders = Vec::new();
    let mut op = 0;
    for at in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).expect("short")) {
        let now = ids::Time::from_millis(100_000 + at);
        let answered = now + time::Duration::from_millis(ANSWER_MS);
        let (copied, back) = play.drill;
        if at == copied {
            copy = row.clone();
        }
        if at == back {
            row = Row { era: row.era + u64::from(play.states_era), ..copy.clone() };
        }
        let is_away = (back - AWAY_MS..back).contains(&at);
        if let Some((_, write)) = late.take_if(|(due, _)| *due <= at && !is_away) {
            row.write(&write);
        }
        for (vm, lease) in leases.iter_mut().enumerate() {
            let is_frozen = |(frozen, range): &(usize, std::ops::Range<u64>)| {
                *frozen == vm && range.contains(&at)
            };
            if play.freeze.as_ref().is_some_and(is_frozen) {
                continue;
            }
            if let Some(fence) = lease.may_order(now) {
                orders.push(Order { at, vm, fence });
            }
            if !is_away && lease.fence(now).is_none() {
                lease.begin_era(now, row.era());
                lease.observe(now, row.current.as_ref(), row.era(), 0);
            }
            op += 1;
            let rank = u32::try_from(vm).expect("few");
            let write = lease.tick(now, false, rank, lease::Saved::default, || ids::Op::new(op));
            let Some((op, write)) = write.filter(|_| !is_away) else {
                continue;
            };
            match loss.take_if(|(lossy, from, _)| *lossy == vm && *from <= at) {
                None => {
                    let written = row.write(&write);
                    lease.begin_era(answered, row.era());
                    lease.written(answered, op, &Ok(written));
                }
                Some((_, _, Loss::Answer)) => drop(row.write(&write)),
                Some((_, _, Loss::Late(by))) => late = Some((at + by, write)),
            }
        }
    }
    orders
}

/// What is wrong with the orders, if anything.
fn fault(orders: &[Order]) -> Option<String> {
    let mut holders = collections::BTreeMap::new();
    let mut last: Option<Order> = None;
    for order in orders {
        if *holders.entry(order.fence).or_insert(order.vm) != order.vm {
            return Some(format!("{order:?} has the token of VM {}", holders[&order.fence]));
        }
        if let Some(last) = last {
            if order.fence < last.fence {
                return Some(format!("{order:?} has a lower token than {last:?}"));
            }
            if order.vm != last.vm && order.at - last.at < HANDOVER_MS {
                return Some(format!("{order:?} follows {last:?} too soon"));
            }
        }
        last = Some(*order);
    }
    None
}

fn grid(from: u64, until: u64) -> impl Iterator<Item = u64> + Clone {
    (from..until).step_by(GRID_MS)
}

fn plays(vms: usize, states_era: bool) -> impl Iterator<Item = Play> {
    let drills = grid(700, FAULTS_MS)
        .flat_map(|copied| [400, 1_000, 2_600, 4_000, 5_200].map(|age| (copied, copied + age)));
    let freezes = (0..vms.min(2)).flat_map(|vm| {
        grid(0, FAULTS_MS)
            .flat_map(move |from| [900, 2_500, 5_000].map(|length| Some((vm, from..from + length))))
    });
    let freezes: Vec<_> = freezes.chain(iter::once(None)).collect();
    let losses = (0..vms.min(2)).flat_map(|vm| {
        grid(0, FAULTS_MS).flat_map(move |from| {
            [Loss::Answer, Loss::Late(900), Loss::Late(3_300)].map(|loss| Some((vm, from, loss)))
        })
    });
    let losses: Vec<_> = losses.chain(iter::once(None)).collect();
    drills.flat_map(move |drill| {
        let losses = losses.clone();
        freezes.clone().into_iter().flat_map(move |freeze| {
            let losses = losses.clone();
            losses.into_iter().map(move |loss| Play {
                vms,
                drill,
                freeze: freeze.clone(),
                loss,
                states_era,
            })
        })
    })
}

/// Guards against two planners with one fencing token, a token below an earlier one, and planners
/// that take turns too soon, because the store has lost who took the lease.
#[test]
fn no_token_is_given_out_twice_whatever_the_store_loses() {
    for vms in [2, 3] {
        for play in plays(vms, true) {
            let orders = orders(&play);
            assert_eq!(fault(&orders), None, "{play:?}");
            let last = orders.last().map(|order| order.at);
            assert!(last >= Some(LENGTH_MS - 1_000), "nobody plans at the end: {play:?}");
        }
    }
}
