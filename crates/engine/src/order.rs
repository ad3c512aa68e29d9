//! Orders that change what a runner holds.
//!
//! Over HTTP an [`Order`] is the JSON body of `POST /orders`. Status 202 means
//! taken on, 409 that the fencing token is old. Whether an order was carried
//! out shows in the runner's [`crate::Report`].

use std::sync;

/// What a runner is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Finish its calls and free its memory.
    Unload,
}

/// An order to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The version of the runner's ledger row that reserves the memory.
    pub fence: ids::Fence,
    /// What to do.
    pub action: Action,
    /// `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// Version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Memory it takes, in MiB, KV cache floor included.
    pub memory_mib: u64,
}

impl Order {
    /// An order about version `version` of `item`.
    #[must_use]
    pub fn new(
        fence: ids::Fence,
        action: Action,
        item: &str,
        version: &str,
        memory_mib: u64,
    ) -> Self {
        Self { fence, action, item: item.into(), version: version.into(), memory_mib }
    }
}

/// How a runner took an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// Taken on.
    Taken,
    /// Refused: the runner knows a newer fencing token.
    Stale,
    /// Refused for another reason, without effect.
    Refused,
    /// Not known: it may be carried out, now or later.
    Unknown,
}
