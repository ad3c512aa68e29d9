//! The memory ledger: the models and adapters that each runner's memory is committed to.
//!
//! The table service has one row for each runner, with the key `ledger/RUNNER`
//! and a [`Ledger`] in JSON as its value. The version of the row is the fencing
//! token of the orders that it records.
//!
//! A resident is added before the order to load it is sent. It is removed only
//! when the runner's report does not list it and no order to load it can take
//! effect any more. So the committed memory is never less than the memory in
//! use, even if orders are lost or delayed or their senders fail.
//!
//! ```
//! use plan::ledger;
//!
//! let text = r#"{"residents":[{"item":"draft","version":"v1","state":"ready","memory_mib":18000}]}"#;
//! let ledger = ledger::Ledger::from_json(text).unwrap();
//! assert_eq!(ledger.committed_mib(), 18_000);
//! ```

use std::sync;

/// Result of parsing a row.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// not a row of the ledger: {0}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error(String);

impl std::error::Error for Error {}

/// Prefix of the keys of all rows.
pub const KEY_PREFIX: &str = "ledger/";

/// The sender of an order: one incarnation of a VM's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Sender {
    /// The name of the VM.
    pub vm: ids::Vm,
    /// The incarnation, which is new with every start of the process.
    pub incarnation: ids::Incarnation,
}

/// An order that may still take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Pending {
    /// The only VM incarnation that sends the order.
    pub sender: Sender,
    /// The fencing token: the version of the row that first recorded the order.
    pub fence: ids::Fence,
}

/// State of a resident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Memory is reserved; the order to load may not have been sent yet.
    Reserved,
    /// The runner reported that it is loading.
    Loading,
    /// The runner reported that it is ready to serve.
    Ready,
    /// It is to be unloaded; its memory is still committed.
    Unloading,
}

/// A version of a model or adapter that memory is committed to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Resident {
    /// The item: `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// The version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Whether it is reserved, loading, ready or unloading.
    pub state: State,
    /// Committed memory in MiB, including the minimum KV cache.
    pub memory_mib: u64,
    /// The order that may still take effect, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<Pending>,
}

impl Resident {
    /// Creates a resident in `state` without a pending order.
    #[must_use]
    pub fn new(item: &str, version: &str, state: State, memory_mib: u64) -> Self {
        Self { item: item.into(), version: version.into(), state, memory_mib, order: None }
    }

    /// Builds the order for the runner from the pending order and the state.
    ///
    /// Returns `None` if no order is pending.
    #[must_use]
    pub fn to_order(&self) -> Option<engine::Order> {
        let pending = self.order.as_ref()?;
        let action = match self.state {
            State::Unloading => engine::order::Action::Unload,
            _ => engine::order::Action::Load,
        };
        Some(engine::Order {
            fence: pending.fence,
            action,
            item: sync::Arc::clone(&self.item),
            version: sync::Arc::clone(&self.version),
            memory_mib: self.memory_mib,
        })
    }
}

/// The residents that the memory of one runner is committed to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Ledger {
    /// The residents, in the order in which they were added.
    pub residents: Vec<Resident>,
}

impl Ledger {
    /// Returns the key of the row of `target`.
    #[must_use]
    pub fn key(target: &ids::Target) -> sync::Arc<str> {
        format!("{KEY_PREFIX}{target}").into()
    }

    /// Parses the value of a row.
    ///
    /// # Errors
    ///
    /// [`Error`] if the text is not a ledger in JSON.
    pub fn from_json(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|cause| Error(cause.to_string()))
    }

    /// Serialises the ledger to the value of its row.
    #[must_use]
    pub fn to_json(&self) -> sync::Arc<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Returns the committed memory in MiB.
    #[must_use]
    pub fn committed_mib(&self) -> u64 {
        self.residents.iter().map(|each| each.memory_mib).sum()
    }

    /// Returns the resident with `version` of `item`.
    #[must_use]
    pub fn get(&self, item: &str, version: &str) -> Option<&Resident> {
        let mut residents = self.residents.iter();
        residents.find(|each| *each.item == *item && *each.version == *version)
    }

    /// Returns the resident with `version` of `item` for modification.
    pub fn get_mut(&mut self, item: &str, version: &str) -> Option<&mut Resident> {
        let mut residents = self.residents.iter_mut();
        residents.find(|each| *each.item == *item && *each.version == *version)
    }
}
