//! Which VMs there are, by their rows in the store.
//!
//! When the store has come back from a copy, rows that were written since are missing until their
//! VMs write them again, those that were removed since are back, and a VM that has restarted
//! since is listed as the process before. None of this changes what was known: a row
//! counts once it was written in the new era, and a VM that is not listed is kept until it is
//! listed again, or silent for long.

use std::collections;

use crate::{era, peer};

/// A VM and the revision of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The VM.
    pub member: member::Member,
    /// Store revision of its row.
    pub revision: ids::Revision,
}

/// VMs that are known from an earlier era and are not listed in the current one.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    vms: collections::BTreeSet<ids::Vm>,
}

impl Kept {
    /// Returns the VMs to go by after all `rows` have been read at `revision`, in the order of
    /// their names. `before` are those so far; `is_silent` tells whether a VM has been silent for
    /// so long that its row is to be removed.
    pub fn resolve(
        &mut self,
        eras: &era::Table,
        before: Option<&peer::Members>,
        revision: ids::Revision,
        rows: Vec<Row>,
        is_silent: impl Fn(&ids::Vm) -> bool,
    ) -> Vec<member::Member> {
        let is_first = before.is_none();
        let begins_era = before.is_some_and(|before| before.revision.era() < revision.era());
        let known = before.iter().flat_map(|before| &before.members);
        let mut known: collections::BTreeMap<_, _> =
            known.map(|member| (&member.vm, member)).collect();
        let mut all = collections::BTreeMap::new();
        for row in rows {
            let vm = row.member.vm.clone();
            let known = known.remove(&vm).cloned();
            // Else it stands in the copy and is older than what is known.
            let is_news = is_first || eras.place(row.revision).era() == revision.era();
            if let Some(member) = if is_news { Some(row.member) } else { known } {
                self.vms.remove(&vm);
                all.insert(vm, member);
            }
        }
        let is_kept = |vm: &ids::Vm| (begins_era || self.vms.contains(vm)) && !is_silent(vm);
        let kept = known.into_values().filter(|member| is_kept(&member.vm));
        let kept: Vec<_> = kept.cloned().collect();
        self.vms = kept.iter().map(|member| member.vm.clone()).collect();
        all.extend(kept.into_iter().map(|member| (member.vm.clone(), member)));
        all.into_values().collect()
    }

    /// Records the VMs that another VM has told, `before` being those so far. Which of them the
    /// store lists is not known.
    pub fn adopt(&mut self, before: Option<&peer::Members>, news: &peer::Members) {
        let told = || news.members.iter().map(|member| &member.vm);
        if before.is_some_and(|before| before.revision.era() < news.revision.era()) {
            self.vms = told().cloned().collect();
        } else {
            let told: collections::BTreeSet<_> = told().collect();
            self.vms.retain(|vm| told.contains(vm));
        }
    }
}
