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

/// How urgently a copy is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// Nothing serves the item.
    Lost,
    /// Nothing serves the bundle's version.
    Outdated,
    /// The bundle asks for more copies.
    Least,
    /// More copies would serve better.
    Wanted,
    /// There are enough.
    None,
}

/// Decides the next steps in `scene`.
pub(crate) fn decide(scene: &mut Scene, allowance: &mut Allowance) {
    drop_undeclared(scene);
    let urgent = place(scene, allowance, Need::Least);
    drop_replaced(scene);
    if urgent {
        place(scene, allowance, Need::Wanted);
    }
}

fn need(scene: &Scene, item: &Item) -> Need {
    let coming = scene.coming(item);
    if coming == 0 && !scene.is_reachable(item) {
        return Need::Lost;
    }
    match coming {
        0 => Need::Outdated,
        some if some < item.least => Need::Least,
        some if some < item.wanted => Need::Wanted,
        _ => Need::None,
    }
}

/// Places what is needed at least as urgently as `limit`; whether all found a place.
fn place(scene: &mut Scene, allowance: &mut Allowance, limit: Need) -> bool {
    let mut all = true;
    for is_adapter in [false, true] {
        let mut needs: Vec<(Need, Item)> = scene
            .items
            .iter()
            .filter(|item| item.base.is_some() == is_adapter)
            .map(|item| (need(scene, item), item.clone()))
            .filter(|(need, _)| *need <= limit)
            .collect();
        needs.sort_by_key(|(need, item)| (*need, cmp::Reverse(item.memory_mib)));
        for (_, item) in needs {
            all &= place_copies(scene, allowance, limit, &item);
        }
    }
    all
}

/// Places copies of one item; whether no urgent one lacks a place.
fn place_copies(scene: &mut Scene, allowance: &mut Allowance, limit: Need, item: &Item) -> bool {
    loop {
        let need = need(scene, item);
        if need > limit {
            return true;
        }
        let left = if item.base.is_some() {
            &mut allowance.adapters
        } else {
            &mut allowance.models
        };
        if *left == 0 {
            return need >= Need::Wanted;
        }
        let Some(target) = best_site(scene, item) else {
            if need < Need::Wanted {
                make_room(scene, item);
            }
            return need >= Need::Wanted || !can_ever_fit(scene, item);
        };
        *left -= 1;
        scene.load(&target, item);
    }
}

/// Whether there is a runner at all that an urgent copy waits for.
fn can_ever_fit(scene: &Scene, item: &Item) -> bool {
    let mut sites = scene.sites.values();
    sites.any(|site| is_suitable(site, item) && site.memory_mib >= item.memory_mib)
}

fn is_suitable(site: &Site, item: &Item) -> bool {
    let beside = item
        .base
        .as_ref()
        .is_none_or(|base| site.ready(base).is_some());
    site.serves()
        && beside
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
        .filter(|(_, site)| site.settled && is_suitable(site, item))
        .filter(|(_, site)| site.free_mib() >= item.memory_mib)
        .min_by_key(|(_, site)| rank(site))
        .map(|(target, _)| target.clone())
}

fn centres_with(scene: &Scene, item: &Item) -> collections::BTreeSet<ids::Centre> {
    let with = scene
        .sites
        .values()
        .filter(|site| site.serves() && site.has(&item.name, &item.version));
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
fn make_room(scene: &mut Scene, item: &Item) {
    let fitting = |site: &Site| is_suitable(site, item) && site.memory_mib >= item.memory_mib;
    let mut sites = scene.sites.values().filter(|site| fitting(site));
    if sites.any(|site| site.free_mib() + site.leaving_mib() >= item.memory_mib) {
        return;
    }
    let plans = scene
        .sites
        .iter()
        .filter(|(_, site)| site.settled && fitting(site));
    let best = plans
        .filter_map(|(target, site)| Some((target.clone(), room_at(scene, target, site, item)?)))
        .min_by_key(|(_, going)| going.iter().map(|each| each.memory_mib).sum::<u64>());
    let Some((target, going)) = best else {
        return;
    };
    for each in going {
        scene.unload(&target, &each.item, &each.version, each.keepers);
    }
}

/// The surplus copies that would have to go from a runner to make room for `item`.
fn room_at(scene: &Scene, target: &ids::Target, site: &Site, item: &Item) -> Option<Vec<Surplus>> {
    let missing = item
        .memory_mib
        .saturating_sub(site.free_mib() + site.leaving_mib());
    let mut groups: Vec<Vec<Surplus>> = site
        .residents
        .iter()
        .filter(|each| each.state == State::Ready && each.item != item.name)
        .filter(|each| item.base.as_ref() != Some(&each.item))
        .filter_map(|each| surplus(scene, target, &each.item, &each.version))
        .collect();
    groups.sort_by_key(|group| group.iter().map(|each| each.memory_mib).sum::<u64>());
    let mut going: Vec<Surplus> = Vec::new();
    let mut freed = 0;
    for group in groups {
        if freed >= missing {
            break;
        }
        for each in group {
            let known = going
                .iter()
                .any(|one| one.item == each.item && one.version == each.version);
            if !known {
                freed += each.memory_mib;
                going.push(each);
            }
        }
    }
    (freed >= missing).then_some(going)
}

/// The copy of `name` at `target` with all that goes with it, if other
/// runners keep enough copies of each.
fn surplus(scene: &Scene, target: &ids::Target, name: &str, version: &str) -> Option<Vec<Surplus>> {
    let item = scene.item(name)?;
    let site = scene.sites.get(target)?;
    let mut going = vec![surplus_copy(scene, target, item, version)?];
    let same_model = |each: &&crate::ledger::Resident| *each.item == *name;
    let versions = site
        .residents
        .iter()
        .filter(same_model)
        .filter(|each| each.state == State::Ready);
    if item.base.is_none() && versions.count() == 1 {
        for adapter in scene.adapters(name) {
            for each in site
                .residents
                .iter()
                .filter(|each| each.item == adapter.name)
            {
                if each.state == State::Ready {
                    going.push(surplus_copy(scene, target, adapter, &each.version)?);
                }
            }
        }
    }
    Some(going)
}

fn surplus_copy(
    scene: &Scene,
    target: &ids::Target,
    item: &Item,
    version: &str,
) -> Option<Surplus> {
    let resident = scene
        .sites
        .get(target)?
        .residents
        .iter()
        .find(|each| each.item == item.name && *each.version == *version)?;
    let keepers = keepers(scene, target, item, version)?;
    Some(Surplus {
        item: sync::Arc::clone(&resident.item),
        version: sync::Arc::clone(&resident.version),
        memory_mib: resident.memory_mib,
        keepers,
    })
}

/// Runners whose copies make the copy of `version` at `target` dispensable.
///
/// One of them serves the bundle's version. Old versions count for the rest
/// only while an old version is replaced.
fn keepers(
    scene: &Scene,
    target: &ids::Target,
    item: &Item,
    version: &str,
) -> Option<Vec<ids::Target>> {
    let mut found = Vec::new();
    let current = scene.serving(item, &item.version);
    let others = |(other, site): &(&ids::Target, &Site)| *other != target && site.settled;
    found.extend(current.filter(others).map(|(other, _)| other.clone()));
    if found.is_empty() {
        return None;
    }
    if *version != *item.version {
        let old = scene.serving(item, version).filter(others);
        let more: Vec<_> = old.map(|(other, _)| other.clone()).collect();
        found.extend(
            more.into_iter()
                .filter(|other| !found.contains(other))
                .collect::<Vec<_>>(),
        );
    }
    found.truncate(item.least);
    (found.len() >= item.least).then_some(found)
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
        let resident = site
            .residents
            .iter()
            .find(|each| *each.item == *name && *each.version == *version)?;
        return Some(vec![Surplus {
            item: sync::Arc::clone(&resident.item),
            version: sync::Arc::clone(&resident.version),
            memory_mib: resident.memory_mib,
            keepers: Vec::new(),
        }]);
    }
    surplus(scene, target, name, version)
}

fn name_of(resident: &crate::ledger::Resident) -> (sync::Arc<str>, sync::Arc<str>) {
    (
        sync::Arc::clone(&resident.item),
        sync::Arc::clone(&resident.version),
    )
}
