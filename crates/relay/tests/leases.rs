//! The planner's lease while the store comes back from a copy: all placements, on a grid, of one
//! or two drills, one VM that is suspended or cut off, and one lost or late write among two or three VMs.

use std::{collections, iter, sync, time};

use relay::{
    input::Written,
    lease::{self, Lease},
};

/// Least time between the orders of two holders, in ms.
const HANDOVER_MS: u64 = 1_000;
/// Time after which an order does not arrive any more, in ms.
const ORDER_MS: u64 = 300;
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
    /// When the copies are made, and when the store comes back from them. It is away for
    /// [`AWAY_MS`] before that.
    drills: Vec<(u64, u64)>,
    /// A VM, and the time in which it is suspended.
    freeze: Option<(usize, std::ops::Range<u64>)>,
    /// A VM that does not reach the store, and when. The others tell it of an era the given time
    /// after it has begun.
    cut: Option<(usize, std::ops::Range<u64>, u64)>,
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
    let mut copies = vec![row.clone(); play.drills.len()];
    let mut loss = play.loss;
    let mut late: Option<(u64, store::table::Write)> = None;
    let mut orders = Vec::new();
    let mut op = 0;
    for at in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).expect("short")) {
        let now = ids::Time::from_millis(100_000 + at);
        let answered = now + time::Duration::from_millis(ANSWER_MS);
        for ((copied, back), copy) in play.drills.iter().zip(&mut copies) {
            if at == *copied {
                *copy = row.clone();
            }
            if at == *back {
                row = Row { era: row.era + u64::from(play.states_era), ..copy.clone() };
            }
        }
        let is_away = play.drills.iter().any(|(_, back)| (back - AWAY_MS..*back).contains(&at));
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
            let cut = play.cut.as_ref().filter(|(cut, range, _)| *cut == vm && range.contains(&at));
            if let Some((_, _, told_after)) = cut {
                let has_begun = |(_, back): &&(u64, u64)| back + told_after <= at;
                let told = play.drills.iter().filter(has_begun).count();
                let told = u64::try_from(told).expect("few");
                lease.begin_era(now, ids::Era::new(told + u64::from(play.states_era)));
            }
            let has_store = !is_away && cut.is_none();
            if has_store && lease.fence(now).is_none() {
                lease.begin_era(now, row.era());
                lease.observe(now, row.current.as_ref(), row.era(), 0);
            }
            op += 1;
            let rank = u32::try_from(vm).expect("few");
            let write = lease.tick(now, false, rank, lease::Saved::default, || ids::Op::new(op));
            let Some((op, write)) = write.filter(|_| has_store) else {
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
            if order.vm != last.vm && order.at < last.at + ORDER_MS + HANDOVER_MS {
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
                drills: vec![drill],
                freeze: freeze.clone(),
                cut: None,
                loss,
                states_era,
            })
        })
    })
}

/// Plays with a second drill soon after the first, and one VM that is suspended or cut off from the
/// store, or one write that is lost or late.
fn repeated_drills(vms: usize) -> impl Iterator<Item = Play> {
    let firsts = grid(700, 5_000)
        .flat_map(|copied| [400, 1_000, 2_600, 5_200].map(|age| (copied, copied + age)));
    let drills = firsts.flat_map(|(copied, back)| {
        let seconds = [400, 900, 1_400, 2_300, 5_600].map(|later| back + later);
        // The second copy is that of the first drill, or one made just after it.
        seconds.into_iter().flat_map(move |second| {
            [(copied, second), (back + 100, second)].map(|later| vec![(copied, back), later])
        })
    });
    let calm =
        Play { vms, drills: Vec::new(), freeze: None, cut: None, loss: None, states_era: true };
    let times =
        move || (0..vms.min(2)).flat_map(|vm| grid(0, FAULTS_MS).map(move |from| (vm, from)));
    let faulty = move |calm: &Play| {
        let mut plays = vec![calm.clone()];
        for (vm, from) in times() {
            for length in [900, 2_500, 5_000] {
                let range = from..from + length;
                plays.push(Play { freeze: Some((vm, range.clone())), ..calm.clone() });
                for told_after in [0, 1_200, 3_000] {
                    plays.push(Play { cut: Some((vm, range.clone(), told_after)), ..calm.clone() });
                }
            }
            for loss in [Loss::Answer, Loss::Late(900), Loss::Late(3_300)] {
                plays.push(Play { loss: Some((vm, from, loss)), ..calm.clone() });
            }
        }
        plays
    };
    drills.flat_map(move |drills| faulty(&Play { drills, ..calm.clone() }))
}

/// Guards against a VM that goes on with a lease of before, as it learns of the second of two eras
/// alone, or of an era after the others.
#[test]
fn no_token_is_given_out_twice_when_the_store_comes_back_twice() {
    for play in [2, 3].into_iter().flat_map(repeated_drills) {
        let orders = orders(&play);
        assert_eq!(fault(&orders), None, "{play:?}");
        let last = orders.last().map(|order| order.at);
        assert!(last >= Some(LENGTH_MS - 1_000), "nobody plans at the end: {play:?}");
    }
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
