//! Placement: which copies are loaded and unloaded next.
//!
//! The order of priority is: models that no runner serves, models whose version
//! in the bundle is not served, copies that the bundle requires, the same for
//! adapters, unloading of replaced versions, and then copies that demand
//! requires and second copies in other data centres.

use std::{cmp, collections, sync};

use crate::fleet::{Fleet, Host, Item};
use crate::ledger::State;

/// Number of loads that may begin now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    pub(crate) models: usize,
    pub(crate) adapters: usize,
}

impl Allowance {
    const fn remaining(self, kind: Kind) -> usize {
        match kind {
            Kind::Model => self.models,
            Kind::Adapter => self.adapters,
        }
    }

    const fn spend(&mut self, kind: Kind) {
        match kind {
            Kind::Model => self.models -= 1,
            Kind::Adapter => self.adapters -= 1,
        }
    }
}

/// How urgently a copy is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// No runner serves the item.
    Unreachable,
    /// No runner serves the bundle's version.
    Outdated,
    /// The bundle requires more copies.
    BelowMinimum,
    /// Demand requires more copies.
    BelowDemand,
    /// More copies are desirable if memory allows.
    BelowDesired,
    /// There are enough copies.
    Satisfied,
}

/// Kind of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Model,
    Adapter,
}

impl Kind {
    const fn of(item: &Item) -> Self {
        if item.base.is_some() { Self::Adapter } else { Self::Model }
    }
}

/// Decides the next steps and applies them to `fleet`.
pub(crate) fn decide(fleet: &mut Fleet, allowance: &mut Allowance) {
    unload_undeclared(fleet);
    let mut all_placed = place(fleet, allowance, Kind::Model, Need::BelowMinimum);
    all_placed &= place(fleet, allowance, Kind::Adapter, Need::BelowMinimum);
    unload_replaced(fleet);
    if all_placed {
        place(fleet, allowance, Kind::Model, Need::BelowDesired);
    }
    place(fleet, allowance, Kind::Adapter, Need::BelowDesired);
}

fn need(fleet: &Fleet, item: &Item) -> Need {
    let copies = fleet.current_copies(item);
    if copies == 0 && !fleet.is_reachable(item) {
        return Need::Unreachable;
    }
    match copies {
        0 => Need::Outdated,
        count if count < item.min_copies => Need::BelowMinimum,
        count if count < item.needed_copies() => Need::BelowDemand,
        count if count < item.desired_copies() => Need::BelowDesired,
        _ => Need::Satisfied,
    }
}

/// Places copies that are needed at least as urgently as `limit`.
///
/// Returns false if a copy that the bundle requires still has to be placed.
/// Copies that no runner can ever hold do not count.
fn place(fleet: &mut Fleet, allowance: &mut Allowance, kind: Kind, limit: Need) -> bool {
    let mut needs: Vec<(Need, Item)> = fleet
        .items
        .iter()
        .filter(|item| Kind::of(item) == kind)
        .map(|item| (need(fleet, item), item.clone()))
        .filter(|(need, _)| *need <= limit)
        .collect();
    needs.sort_by_key(|(need, item)| (*need, cmp::Reverse(item.memory_mib)));
    let mut all_placed = true;
    for (_, item) in needs {
        all_placed &= place_item(fleet, allowance, limit, &item);
    }
    all_placed
}

/// Places copies of one item; the result is that of [`place`].
fn place_item(fleet: &mut Fleet, allowance: &mut Allowance, limit: Need, item: &Item) -> bool {
    loop {
        let need = need(fleet, item);
        if need > limit {
            return true;
        }
        let kind = Kind::of(item);
        if allowance.remaining(kind) == 0 {
            return need >= Need::BelowDemand;
        }
        let Some(target) = best_host(fleet, item) else {
            if need < Need::BelowDesired || kind == Kind::Model {
                make_room(fleet, item, need);
            }
            return need >= Need::BelowDemand || !can_ever_fit(fleet, item);
        };
        allowance.spend(kind);
        fleet.load(&target, item);
    }
}

/// Whether any suitable runner has enough memory in total for `item`.
fn can_ever_fit(fleet: &Fleet, item: &Item) -> bool {
    let mut hosts = fleet.hosts.values();
    hosts.any(|host| is_suitable(fleet, host, item) && host.memory_mib >= item.memory_mib)
}

fn is_suitable(fleet: &Fleet, host: &Host, item: &Item) -> bool {
    host.serves()
        && fleet.can_host(host, item)
        && !host.has(&item.name, &item.version)
        && !host.refused.contains(&item.name)
}

/// The best runner with enough free memory for `item`: preferably in a data
/// centre without a copy, then without another version of the item, then with
/// the largest share of free memory.
fn best_host(fleet: &Fleet, item: &Item) -> Option<ids::Target> {
    let centres = centres_with(fleet, item);
    let rank = |host: &Host| {
        let has_copy_in_centre = centres.contains(&host.centre);
        let has_other_version = host.ready(&item.name).is_some() && item.base.is_none();
        let free_permille = host.free_mib() * 1_000 / host.memory_mib.max(1);
        (has_copy_in_centre, has_other_version, cmp::Reverse(free_permille))
    };
    fleet
        .hosts
        .iter()
        .filter(|(_, host)| host.writable && is_suitable(fleet, host, item))
        .filter(|(_, host)| host.free_mib() >= item.memory_mib)
        .min_by_key(|(_, host)| rank(host))
        .map(|(target, _)| target.clone())
}

fn centres_with(fleet: &Fleet, item: &Item) -> collections::BTreeSet<ids::Centre> {
    let with =
        fleet.hosts.values().filter(|host| host.serves() && host.has(&item.name, &item.version));
    with.map(|host| host.centre.clone()).collect()
}

/// A copy that can be unloaded, and the runners that must then keep theirs.
#[derive(Clone)]
struct Surplus {
    item: sync::Arc<str>,
    version: sync::Arc<str>,
    memory_mib: u64,
    keepers: Vec<ids::Target>,
}

/// Unloads surplus copies on the runner where the least memory must be unloaded
/// to make room for `item`, unless a runner is already making enough room.
fn make_room(fleet: &mut Fleet, item: &Item, need: Need) {
    let can_fit =
        |host: &Host| is_suitable(fleet, host, item) && host.memory_mib >= item.memory_mib;
    let mut hosts = fleet.hosts.values().filter(|host| can_fit(host));
    if hosts.any(|host| host.free_mib() + host.unloading_mib() >= item.memory_mib) {
        return;
    }
    let options = fleet.hosts.iter().filter(|(_, host)| host.writable && can_fit(host));
    let best = options
        .filter_map(|(target, host)| {
            Some((target.clone(), evictions_at(fleet, target, host, item, need)?))
        })
        .min_by_key(|(_, unloads)| unloads.iter().map(|each| each.memory_mib).sum::<u64>());
    let Some((target, unloads)) = best else {
        return;
    };
    for each in unloads {
        fleet.unload(&target, &each.item, &each.version, each.keepers);
    }
}

/// The surplus copies to unload from a runner to make room for `item`; `None`
/// if they do not suffice.
fn evictions_at(
    fleet: &Fleet,
    target: &ids::Target,
    host: &Host,
    item: &Item,
    need: Need,
) -> Option<Vec<Surplus>> {
    let missing = item.memory_mib.saturating_sub(host.free_mib() + host.unloading_mib());
    let mut groups: Vec<Vec<Surplus>> = host
        .residents
        .iter()
        .filter(|each| each.state == State::Ready)
        .filter(|each| item.base.as_ref() != Some(&each.item))
        .filter_map(|each| {
            surplus(fleet, target, (&each.item, &each.version), Rule::MakeRoom(need))
        })
        .collect();
    let memory = |group: &Vec<Surplus>| group.iter().map(|each| each.memory_mib).sum::<u64>();
    groups.sort_by_key(memory);
    if let Some(enough) = groups.iter().position(|group| memory(group) >= missing) {
        return Some(groups.swap_remove(enough));
    }
    let mut unloads: Vec<Surplus> = Vec::new();
    for each in groups.into_iter().rev().flatten() {
        let is_same = |one: &Surplus| one.item == each.item && one.version == each.version;
        if memory(&unloads) < missing && !unloads.iter().any(is_same) {
            unloads.push(each);
        }
    }
    (memory(&unloads) >= missing).then_some(unloads)
}

/// The rule by which copies are dispensable.
#[derive(Clone, Copy)]
enum Rule {
    /// Old versions whose replacement is being served.
    Replaced,
    /// Copies that may be unloaded for an item that is needed this urgently.
    MakeRoom(Need),
}

impl Rule {
    /// Number of copies of `item` that other runners must keep.
    fn min_kept(self, item: &Item) -> usize {
        match self {
            Self::Replaced
            | Self::MakeRoom(Need::Unreachable | Need::Outdated | Need::BelowMinimum) => {
                item.min_copies
            }
            Self::MakeRoom(_) if item.base.is_some() => item.min_copies,
            Self::MakeRoom(Need::BelowDemand) => item.needed_copies(),
            Self::MakeRoom(Need::BelowDesired | Need::Satisfied) => item.desired_copies(),
        }
    }
}

/// The copy of `name` on `target` and the adapters that are unloaded with it,
/// if other runners keep enough copies of each.
fn surplus(
    fleet: &Fleet,
    target: &ids::Target,
    (name, version): (&str, &str),
    rule: Rule,
) -> Option<Vec<Surplus>> {
    let item = fleet.item(name)?;
    let host = fleet.hosts.get(target)?;
    let mut unloads = vec![surplus_copy(fleet, target, (item, version), rule)?];
    let same_model = |each: &&crate::ledger::Resident| *each.item == *name;
    let versions =
        host.residents.iter().filter(same_model).filter(|each| each.state == State::Ready);
    if item.base.is_none() && versions.count() == 1 {
        for adapter in fleet.adapters(name) {
            for each in host.residents.iter().filter(|each| each.item == adapter.name) {
                if each.state == State::Ready {
                    unloads.push(surplus_copy(fleet, target, (adapter, &each.version), rule)?);
                }
            }
        }
    }
    Some(unloads)
}

fn surplus_copy(
    fleet: &Fleet,
    target: &ids::Target,
    (item, version): (&Item, &str),
    rule: Rule,
) -> Option<Surplus> {
    let resident = fleet
        .hosts
        .get(target)?
        .residents
        .iter()
        .find(|each| each.item == item.name && *each.version == *version)?;
    let keepers = keepers(fleet, target, (item, version), rule)?;
    Some(Surplus {
        item: sync::Arc::clone(&resident.item),
        version: sync::Arc::clone(&resident.version),
        memory_mib: resident.memory_mib,
        keepers,
    })
}

/// Runners whose copies make the copy of `version` on `target` dispensable.
///
/// For an old copy, other copies of the old version count as well as those of
/// the bundle's version. A replaced copy is dispensable only if another runner
/// serves the bundle's version.
fn keepers(
    fleet: &Fleet,
    target: &ids::Target,
    (item, version): (&Item, &str),
    rule: Rule,
) -> Option<Vec<ids::Target>> {
    let others = |(other, host): &(&ids::Target, &Host)| *other != target && host.writable;
    let current = fleet.serving(item, &item.version).filter(others);
    let mut found: Vec<_> = current.map(|(other, _)| other.clone()).collect();
    if found.is_empty() && matches!(rule, Rule::Replaced) {
        return None;
    }
    if *version != *item.version {
        let old = fleet.serving(item, version).filter(others);
        let more: Vec<_> = old.map(|(other, _)| other.clone()).collect();
        let more: Vec<_> = more.into_iter().filter(|other| !found.contains(other)).collect();
        found.extend(more);
    }
    let min_kept = rule.min_kept(item);
    (found.len() >= min_kept).then(|| {
        found.truncate(min_kept);
        found
    })
}

/// Unloads residents that the bundle does not declare.
fn unload_undeclared(fleet: &mut Fleet) {
    let mut unloads = Vec::new();
    for (target, host) in &fleet.hosts {
        if !(host.alive && host.writable) {
            continue;
        }
        for each in &host.residents {
            if each.state == State::Ready && fleet.item(&each.item).is_none() {
                unloads.push((target.clone(), key_of(each)));
            }
        }
    }
    for (target, (item, version)) in unloads {
        fleet.unload(&target, &item, &version, Vec::new());
    }
}

/// Unloads copies of old versions whose replacements are being served.
fn unload_replaced(fleet: &mut Fleet) {
    let mut old = Vec::new();
    for (target, host) in &fleet.hosts {
        if !(host.alive && host.writable) {
            continue;
        }
        for each in &host.residents {
            let declared = fleet.item(&each.item);
            let replaced = declared.is_some_and(|item| item.version != each.version);
            if each.state == State::Ready && replaced {
                old.push((target.clone(), key_of(each)));
            }
        }
    }
    for (target, (item, version)) in old {
        let Some(unloads) = replaced_surplus(fleet, &target, &item, &version) else {
            continue;
        };
        for each in unloads {
            fleet.unload(&target, &each.item, &each.version, each.keepers);
        }
    }
}

/// An old copy and the adapters that are unloaded with it, if its replacement
/// is being served.
fn replaced_surplus(
    fleet: &Fleet,
    target: &ids::Target,
    name: &str,
    version: &str,
) -> Option<Vec<Surplus>> {
    let host = fleet.hosts.get(target)?;
    let item = fleet.item(name)?;
    if !host.has_ready(name, version) {
        return None;
    }
    if host.has_ready(name, &item.version) && host.serves() {
        let resident =
            host.residents.iter().find(|each| *each.item == *name && *each.version == *version)?;
        return Some(vec![Surplus {
            item: sync::Arc::clone(&resident.item),
            version: sync::Arc::clone(&resident.version),
            memory_mib: resident.memory_mib,
            keepers: Vec::new(),
        }]);
    }
    surplus(fleet, target, (name, version), Rule::Replaced)
}

fn key_of(resident: &crate::ledger::Resident) -> (sync::Arc<str>, sync::Arc<str>) {
    (sync::Arc::clone(&resident.item), sync::Arc::clone(&resident.version))
}
