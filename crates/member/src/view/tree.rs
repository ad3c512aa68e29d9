//! The distribution tree that large fleets use to query and propagate heads.
//!
//! The witnesses are its roots. The other members follow breadth-first in the
//! order of their names, up to the fan-out below each VM.

use crate::head;

/// The members in breadth-first order, witnesses first.
fn breadth_first(head: &head::Head) -> Vec<&ids::Vm> {
    let names = head.members.iter().map(|member| &member.vm);
    let others = names.filter(|vm| !head.witnesses.contains(vm));
    head.witnesses.iter().chain(others).collect()
}

/// The member that `vm` queries; `None` for witnesses and non-members.
pub(super) fn parent(head: &head::Head, vm: &ids::Vm, fanout: usize) -> Option<ids::Vm> {
    let order = breadth_first(head);
    let index = order.iter().position(|known| *known == vm)?;
    let rank = index.checked_sub(head.witnesses.len())?;
    let parent = order.get(rank / fanout)?;
    Some((*parent).clone())
}

/// The members that query `vm`.
pub(super) fn children(head: &head::Head, vm: &ids::Vm, fanout: usize) -> Vec<ids::Vm> {
    let order = breadth_first(head);
    let Some(index) = order.iter().position(|known| *known == vm) else {
        return Vec::new();
    };
    let first = head.witnesses.len() + index * fanout;
    let children = order.iter().skip(first).take(fanout);
    children.map(|vm| (*vm).clone()).collect()
}
