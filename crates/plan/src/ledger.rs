//! The ledger: what the memory of each runner is committed to.
//!
//! The table service has one row for each runner, with the key `ledger/RUNNER`
//! and a [`Ledger`] in JSON as its text. The version of the row is the fencing
//! token of the orders that it records.
//!
//! A resident is entered before the order to load it is sent, and struck off
//! only when the runner shows that it is gone and no order to load it can take
//! effect any more. So what the row commits is never less than what the runner
//! uses, whatever becomes of orders and of those who send them.
//!
//! ```
//! use plan::ledger;
//!
//! let text = r#"{"residents":[{"item":"draft","version":"v1","state":"ready","memory_mib":18000}]}"#;
//! let ledger = ledger::Ledger::from_json(text).unwrap();
//! assert_eq!(ledger.committed_mib(), 18_000);
//! ```

use std::sync;

/// Outcome of reading a row.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// not a row of the ledger: {0}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Error(String);

impl std::error::Error for Error {}

/// What the keys of all rows begin with.
pub const KEY_PREFIX: &str = "ledger/";

/// A start of a VM's process, as the sender of orders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Sender {
    /// The VM.
    pub vm: ids::Vm,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
}

/// An order that may yet take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Pending {
    /// Who sends it; nobody else does.
    pub sender: Sender,
    /// Its fencing token: the version of the row that first recorded it.
    pub fence: ids::Fence,
}

/// Where a resident stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Memory is reserved; the order to load may not have been sent yet.
    Reserved,
    /// The runner was seen to load it.
    Loading,
    /// The runner was seen to serve it.
    Ready,
    /// It is to go; its memory is still committed.
    Unloading,
}

/// A version of a model or adapter to which memory is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Resident {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// Version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Where it stands.
    pub state: State,
    /// Memory, in MiB, KV cache floor included.
    pub memory_mib: u64,
    /// The order that may yet take effect, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<Pending>,
}

impl Resident {
    /// A resident in `state` without a pending order.
    #[must_use]
    pub fn new(item: &str, version: &str, state: State, memory_mib: u64) -> Self {
        Self { item: item.into(), version: version.into(), state, memory_mib, order: None }
    }

    /// The order that the resident's state calls for, if it calls for one.
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

/// What the memory of one runner is committed to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Ledger {
    /// The residents.
    pub residents: Vec<Resident>,
}

impl Ledger {
    /// The key of the row of `target`.
    #[must_use]
    pub fn key(target: &ids::Target) -> sync::Arc<str> {
        format!("{KEY_PREFIX}{target}").into()
    }

    /// Reads the text of a row.
    ///
    /// # Errors
    ///
    /// [`Error`] if the text is not a row of the ledger.
    pub fn from_json(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|cause| Error(cause.to_string()))
    }

    /// The text of the row.
    #[must_use]
    pub fn to_json(&self) -> sync::Arc<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Memory committed, in MiB.
    #[must_use]
    pub fn committed_mib(&self) -> u64 {
        self.residents.iter().map(|each| each.memory_mib).sum()
    }

    /// The resident that is `version` of `item`.
    #[must_use]
    pub fn get(&self, item: &str, version: &str) -> Option<&Resident> {
        let mut found = self.residents.iter();
        found.find(|each| *each.item == *item && *each.version == *version)
    }

    /// The resident that is `version` of `item`, to be changed.
    pub fn get_mut(&mut self, item: &str, version: &str) -> Option<&mut Resident> {
        let mut found = self.residents.iter_mut();
        found.find(|each| *each.item == *item && *each.version == *version)
    }
}
