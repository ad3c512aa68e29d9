//! Bounded subsets of the runners for each VM.
//!
//! With hundreds of VMs and hundreds of runners, connecting every VM to every
//! runner takes too many connections and reports. Instead, each VM uses the
//! copies of an item that rank highest for it by rendezvous hashing. The rank
//! does not depend on the item, so the subsets of different items overlap on a
//! VM and it uses few runners in total. Adding or removing a runner changes few
//! subsets.

use crate::hash;

/// Chooses up to `size` candidates, those that rank highest for the VM `me`.
///
/// The result is not empty if there are candidates and `size` is not 0, so
/// every VM can reach every item that has a copy.
///
/// ```
/// let copies: Vec<ids::Target> = (0..20).map(|n| format!("runner-{n}").into()).collect();
/// let mine = route::subset::choose(&"vm-1".into(), &copies, 4);
/// assert_eq!(mine.len(), 4);
/// assert_eq!(mine, route::subset::choose(&"vm-1".into(), &copies, 4));
/// ```
pub fn choose<'a>(
    me: &ids::Vm,
    candidates: impl IntoIterator<Item = &'a ids::Target>,
    size: usize,
) -> Vec<ids::Target> {
    let seed = hash::seed(me.as_str());
    let mut ranked: Vec<_> =
        candidates.into_iter().map(|target| (hash::score(seed, target.as_str()), target)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.truncate(size);
    ranked.into_iter().map(|(_, target)| target.clone()).collect()
}
