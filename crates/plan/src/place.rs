//! Which copies are loaded and unloaded next.
//!
//! In this order: models that nothing serves, models of which the bundle's
//! version is missing, copies that the bundle asks for, then the same for
//! adapters, then old versions that have been replaced, then second copies in
//! other data centres and copies that demand asks for.

use std::{cmp, collections, sync};

use crate::ledger::State;
use crate::scene::{Item, Scene, Site};

/// Loads that may begin now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    pub(crate) models: usize,
    pub(crate) adapters: usize,
}

impl Allowance {
    const fn left(self, kind: Kind) -> usize {
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
    /// Nothing serves the item.
    Lost,
    /// Nothing serves the bundle's version.
    Outdated,
    /// The bundle asks for more copies.
    Least,
    /// Demand asks for more copies.
    Demanded,
    /// More copies would serve better.
    Wanted,
    /// There are enough.
    None,
}

/// What kind of item is placed.
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

/// Decides the next steps in `scene`.
pub(crate) fn decide(scene: &mut Scene, allowance: &mut Allowance) {
    drop_undeclared(scene);
    let mut settled = place(scene, allowance, Kind::Model, Need::Least);
    settled &= place(scene, allowance, Kind::Adapter, Need::Least);
    drop_replaced(scene);
    if settled {
        place(scene, allowance, Kind::Model, Need::Wanted);
    }
    place(scene, allowance, Kind::Adapter, Need::Wanted);
}

fn need(scene: &Scene, item: &Item) -> Need {
    let coming = scene.coming(item);
    if coming == 0 && !scene.is_reachable(item) {
        return Need::Lost;
    }
    match coming {
        0 => Need::Outdated,
        some if some < item.least => Need::Least,
        some if some < item.needed() => Need::Demanded,
        some if some < item.wanted() => Need::Wanted,
        _ => Need::None,
    }
}

/// Places what is needed at least as urgently as `limit`; whether nothing
/// urgent is left without a place.
fn place(scene: &mut Scene, allowance: &mut Allowance, kind: Kind, limit: Need) -> bool {
    let mut needs: Vec<(Need, Item)> = scene
        .items
        .iter()
        .filter(|item| Kind::of(item) == kind)
        .map(|item| (need(scene, item), item.clone()))
        .filter(|(need, _)| *need <= limit)
        .collect();
    needs.sort_by_key(|(need, item)| (*need, cmp::Reverse(item.memory_mib)));
    let mut settled = true;
    for (_, item) in needs {
        settled &= place_copies(scene, allowance, limit, &item);
    }
    settled
}

/// Places copies of one item; whether no urgent one lacks a place.
fn place_copies(scene: &mut Scene, allowance: &mut Allowance, limit: Need, item: &Item) -> bool {
    loop {
        let need = need(scene, item);
        if need > limit {
            return true;
        }
        let kind = Kind::of(item);
        if allowance.left(kind) == 0 {
            return need >= Need::Demanded;
        }
        let Some(target) = best_site(scene, item) else {
            if need < Need::Wanted || kind == Kind::Model {
                make_room(scene, item, need);
            }
            return need >= Need::Demanded || !can_ever_fit(scene, item);
        };
        allowance.spend(kind);
        scene.load(&target, item);
    }
}

/// Whether there is a runner at all that an urgent copy waits for.
fn can_ever_fit(scene: &Scene, item: &Item) -> bool {
    let mut sites = scene.sites.values();
    sites.any(|site| is_suitable(scene, site, item) && site.memory_mib >= item.memory_mib)
}

fn is_suitable(scene: &Scene, site: &Site, item: &Item) -> bool {
    site.serves()
        && scene.hosts(site, item)
        && !site.has(&item.name, &item.version)
        && !site.held.contains(&item.name)
}

/// The runner with room that suits `item` best: in a data centre without a
/// copy, without another version of it, with the largest share of memory free.
fn best_site(scene: &Scene, item: &Item) -> Option<ids::Target> {
    let centres = centres_with(scene, item);
    let rank = |site: &Site| {
        let here = centres.contains(&site.centre);
        let other_version = site.ready(&item.name).is_some() && item.base.is_none();
        let free = site.free_mib() * 1_000 / site.memory_mib.max(1);
        (here, other_version, cmp::Reverse(free))
    };
    scene
        .sites
        .iter()
        .filter(|(_, site)| site.settled && is_suitable(scene, site, item))
        .filter(|(_, site)| site.free_mib() >= item.memory_mib)
        .min_by_key(|(_, site)| rank(site))
        .map(|(target, _)| target.clone())
}

fn centres_with(scene: &Scene, item: &Item) -> collections::BTreeSet<ids::Centre> {
    let with =
        scene.sites.values().filter(|site| site.serves() && site.has(&item.name, &item.version));
    with.map(|site| site.centre.clone()).collect()
}

/// One copy that could go, and the runners that must keep theirs if it does.
#[derive(Clone)]
struct Surplus {
    item: sync::Arc<str>,
    version: sync::Arc<str>,
    memory_mib: u64,
    keepers: Vec<ids::Target>,
}

/// Unloads surplus copies at the runner where the least has to go to make
/// room for `item`, unless room is already being made somewhere.
fn make_room(scene: &mut Scene, item: &Item, need: Need) {
    let fitting =
        |site: &Site| is_suitable(scene, site, item) && site.memory_mib >= item.memory_mib;
    let mut sites = scene.sites.values().filter(|site| fitting(site));
    if sites.any(|site| site.free_mib() + site.leaving_mib() >= item.memory_mib) {
        return;
    }
    let plans = scene.sites.iter().filter(|(_, site)| site.settled && fitting(site));
    let best = plans
        .filter_map(|(target, site)| {
            Some((target.clone(), room_at(scene, target, site, item, need)?))
        })
        .min_by_key(|(_, going)| going.iter().map(|each| each.memory_mib).sum::<u64>());
    let Some((target, going)) = best else {
        return;
    };
    for each in going {
        scene.unload(&target, &each.item, &each.version, each.keepers);
    }
}

/// The surplus copies that would have to go from a runner to make room for `item`.
fn room_at(
    scene: &Scene,
    target: &ids::Target,
    site: &Site,
    item: &Item,
    need: Need,
) -> Option<Vec<Surplus>> {
    let missing = item.memory_mib.saturating_sub(site.free_mib() + site.leaving_mib());
    let mut groups: Vec<Vec<Surplus>> = site
        .residents
        .iter()
        .filter(|each| each.state == State::Ready)
        .filter(|each| item.base.as_ref() != Some(&each.item))
        .filter_map(|each| surplus(scene, target, (&each.item, &each.version), Rule::Room(need)))
        .collect();
    let memory = |group: &Vec<Surplus>| group.iter().map(|each| each.memory_mib).sum::<u64>();
    groups.sort_by_key(memory);
    if let Some(enough) = groups.iter().position(|group| memory(group) >= missing) {
        return Some(groups.swap_remove(enough));
    }
    let mut going: Vec<Surplus> = Vec::new();
    for each in groups.into_iter().rev().flatten() {
        let known = |one: &Surplus| one.item == each.item && one.version == each.version;
        if memory(&going) < missing && !going.iter().any(known) {
            going.push(each);
        }
    }
    (memory(&going) >= missing).then_some(going)
}

/// By which rule copies are dispensable.
#[derive(Clone, Copy)]
enum Rule {
    /// Old versions whose replacement serves.
    Replaced,
    /// Copies that may make room for something that is needed so urgently.
    Room(Need),
}

impl Rule {
    /// Copies of `item` that other runners must keep.
    fn keep(self, item: &Item) -> usize {
        match self {
            Self::Replaced | Self::Room(Need::Lost | Need::Outdated | Need::Least) => item.least,
            Self::Room(_) if item.base.is_some() => item.least,
            Self::Room(Need::Demanded) => item.needed(),
            Self::Room(Need::Wanted | Need::None) => item.wanted(),
        }
    }
}

/// The copy of `name` at `target` with all that goes with it, if other
/// runners keep enough copies of each.
fn surplus(
    scene: &Scene,
    target: &ids::Target,
    (name, version): (&str, &str),
    rule: Rule,
) -> Option<Vec<Surplus>> {
    let item = scene.item(name)?;
    let site = scene.sites.get(target)?;
    let mut going = vec![surplus_copy(scene, target, (item, version), rule)?];
    let same_model = |each: &&crate::ledger::Resident| *each.item == *name;
    let versions =
        site.residents.iter().filter(same_model).filter(|each| each.state == State::Ready);
    if item.base.is_none() && versions.count() == 1 {
        for adapter in scene.adapters(name) {
            for each in site.residents.iter().filter(|each| each.item == adapter.name) {
                if each.state == State::Ready {
                    going.push(surplus_copy(scene, target, (adapter, &each.version), rule)?);
                }
            }
        }
    }
    Some(going)
}

fn surplus_copy(
    scene: &Scene,
    target: &ids::Target,
    (item, version): (&Item, &str),
    rule: Rule,
) -> Option<Surplus> {
    let resident = scene
        .sites
        .get(target)?
        .residents
        .iter()
        .find(|each| each.item == item.name && *each.version == *version)?;
    let keepers = keepers(scene, target, (item, version), rule)?;
    Some(Surplus {
        item: sync::Arc::clone(&resident.item),
        version: sync::Arc::clone(&resident.version),
        memory_mib: resident.memory_mib,
        keepers,
    })
}

/// Runners whose copies make the copy of `version` at `target` dispensable.
///
/// An old version counts as much as the bundle's when an old copy goes, but a
/// replaced copy goes only when the bundle's version serves.
fn keepers(
    scene: &Scene,
    target: &ids::Target,
    (item, version): (&Item, &str),
    rule: Rule,
) -> Option<Vec<ids::Target>> {
    let others = |(other, site): &(&ids::Target, &Site)| *other != target && site.settled;
    let current = scene.serving(item, &item.version).filter(others);
    let mut found: Vec<_> = current.map(|(other, _)| other.clone()).collect();
    if found.is_empty() && matches!(rule, Rule::Replaced) {
        return None;
    }
    if *version != *item.version {
        let old = scene.serving(item, version).filter(others);
        let more: Vec<_> = old.map(|(other, _)| other.clone()).collect();
        let more: Vec<_> = more.into_iter().filter(|other| !found.contains(other)).collect();
        found.extend(more);
    }
    let keep = rule.keep(item);
    (found.len() >= keep).then(|| {
        found.truncate(keep);
        found
    })
}

/// Unloads what the bundle does not have, adapters with their models.
fn drop_undeclared(scene: &mut Scene) {
    let mut going = Vec::new();
    for (target, site) in &scene.sites {
        if !(site.alive && site.settled) {
            continue;
        }
        for each in &site.residents {
            if each.state == State::Ready && scene.item(&each.item).is_none() {
                going.push((target.clone(), name_of(each)));
            }
        }
    }
    for (target, (item, version)) in going {
        scene.unload(&target, &item, &version, Vec::new());
    }
}

/// Unloads copies of old versions whose replacements serve.
fn drop_replaced(scene: &mut Scene) {
    let mut old = Vec::new();
    for (target, site) in &scene.sites {
        if !(site.alive && site.settled) {
            continue;
        }
        for each in &site.residents {
            let declared = scene.item(&each.item);
            let replaced = declared.is_some_and(|item| item.version != each.version);
            if each.state == State::Ready && replaced {
                old.push((target.clone(), name_of(each)));
            }
        }
    }
    for (target, (item, version)) in old {
        let Some(going) = surplus_old(scene, &target, &item, &version) else {
            continue;
        };
        for each in going {
            scene.unload(&target, &each.item, &each.version, each.keepers);
        }
    }
}

/// An old copy with all that goes with it, if its replacement serves.
fn surplus_old(
    scene: &Scene,
    target: &ids::Target,
    name: &str,
    version: &str,
) -> Option<Vec<Surplus>> {
    let site = scene.sites.get(target)?;
    let item = scene.item(name)?;
    if !site.has_ready(name, version) {
        return None;
    }
    if site.has_ready(name, &item.version) && site.serves() {
        let resident =
            site.residents.iter().find(|each| *each.item == *name && *each.version == *version)?;
        return Some(vec![Surplus {
            item: sync::Arc::clone(&resident.item),
            version: sync::Arc::clone(&resident.version),
            memory_mib: resident.memory_mib,
            keepers: Vec::new(),
        }]);
    }
    surplus(scene, target, (name, version), Rule::Replaced)
}

fn name_of(resident: &crate::ledger::Resident) -> (sync::Arc<str>, sync::Arc<str>) {
    (sync::Arc::clone(&resident.item), sync::Arc::clone(&resident.version))
}
