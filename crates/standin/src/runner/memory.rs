//! Accelerator memory, added up from what is held.

use std::sync;

use engine::report;

/// Answer to `GET /memory` on the control address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Memory {
    /// Memory in all, in MiB.
    pub memory_mib: u64,
    /// Memory in use, in MiB.
    pub present_mib: u64,
    /// Most memory that was ever in use, in MiB.
    pub highest_mib: u64,
    /// Whether more was ever in use than there is.
    pub overcommitted: bool,
}

/// Name and version of a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) name: sync::Arc<str>,
    pub(super) version: sync::Arc<str>,
}

impl Item {
    pub(super) fn new(name: &str, version: &str) -> Self {
        Self { name: name.into(), version: version.into() }
    }
}

/// What takes memory.
#[derive(Debug)]
pub(super) struct Holdings {
    memory_mib: u64,
    highest_mib: u64,
    residents: Vec<report::Resident>,
    /// Items whose load is under way, unloaded meanwhile or not.
    arriving: Vec<Item>,
}

impl Holdings {
    pub(super) const fn new(memory_mib: u64) -> Self {
        Self { memory_mib, highest_mib: 0, residents: Vec::new(), arriving: Vec::new() }
    }

    pub(super) fn gauge(&self) -> Memory {
        Memory {
            memory_mib: self.memory_mib,
            present_mib: self.present_mib(),
            highest_mib: self.highest_mib,
            overcommitted: self.highest_mib > self.memory_mib,
        }
    }

    pub(super) fn residents(&self) -> &[report::Resident] {
        &self.residents
    }

    fn present_mib(&self) -> u64 {
        let sizes = self.residents.iter().map(|resident| resident.memory_mib);
        sizes.sum()
    }

    fn find(&mut self, item: &Item) -> Option<&mut report::Resident> {
        self.residents
            .iter_mut()
            .find(|resident| resident.item == item.name && resident.version == item.version)
    }

    /// Takes memory for a load; `false` if the item is there already.
    pub(super) fn begin_load(&mut self, item: &Item, memory_mib: u64) -> bool {
        if self.find(item).is_some() {
            return false;
        }
        self.residents.push(report::Resident {
            item: sync::Arc::clone(&item.name),
            version: sync::Arc::clone(&item.version),
            state: report::State::Loading,
            memory_mib,
        });
        self.arriving.push(item.clone());
        self.highest_mib = self.highest_mib.max(self.present_mib());
        true
    }

    /// The load has ended: the item serves calls, or goes if it was unloaded meanwhile.
    pub(super) fn finish_load(&mut self, item: &Item) {
        self.arriving.retain(|arriving| arriving != item);
        let Some(resident) = self.find(item) else {
            return;
        };
        if resident.state == report::State::Loading {
            resident.state = report::State::Ready;
        }
    }

    /// Whether a load need not be carried on.
    pub(super) fn is_unwanted(&self, item: &Item) -> bool {
        !self.residents.iter().any(|resident| {
            resident.item == item.name
                && resident.version == item.version
                && resident.state == report::State::Loading
        })
    }

    pub(super) fn begin_unload(&mut self, item: &Item) {
        if let Some(resident) = self.find(item) {
            resident.state = report::State::Unloading;
        }
    }

    /// Gives back the memory of unloading items that are not `used`.
    pub(super) fn release(&mut self, used: impl Fn(&Item) -> bool) {
        let arriving = &self.arriving;
        self.residents.retain(|resident| {
            let item = Item::new(&resident.item, &resident.version);
            resident.state != report::State::Unloading || arriving.contains(&item) || used(&item)
        });
    }

    /// What a call of `name` uses: the item, and its model if it is an adapter.
    pub(super) fn serving(&self, name: &str) -> Option<Vec<Item>> {
        let mut items = vec![self.ready(name)?];
        if let Some((model, _)) = name.split_once(':') {
            items.push(self.ready(model)?);
        }
        Some(items)
    }

    fn ready(&self, name: &str) -> Option<Item> {
        let ready = |resident: &&report::Resident| {
            &*resident.item == name && resident.state == report::State::Ready
        };
        // The last one that became ready is preferred while two versions are held.
        let resident = self.residents.iter().rev().find(ready)?;
        Some(Item::new(&resident.item, &resident.version))
    }
}
