//! Bounded subsets of the runners for each VM.
//!
//! With hundreds of VMs before hundreds of runners, connections and reports
//! of all to all are too many. Each VM works with the copies of an item that
//! rank first for it by rendezvous hashing. The rank does not depend on the
//! item, so that the subsets of different items overlap on a VM and it works
//! with few runners in all; the choice moves little when runners come or go.

use crate::hash;

/// Chooses the at most `size` candidates that rank first for the VM `me`.
///
/// The result is not empty if there are candidates and `size` is not 0, so
/// every item with a copy stays covered on every VM.
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
