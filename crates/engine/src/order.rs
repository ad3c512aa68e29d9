//! Orders to load and unload models and adapters on a runner.
//!
//! Over HTTP an [`Order`] is the JSON body of `POST /orders`. Status 202 means
//! accepted, 409 that the fencing token is old. The runner's [`crate::Report`]
//! shows whether an order was carried out.

use std::sync;

/// Action that a runner shall take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Finish the calls of a model or adapter, then free its memory.
    Unload,
}

/// An order to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Fencing token: the version of the runner's ledger row that reserves the memory.
    pub fence: ids::Fence,
    /// Whether to load or unload.
    pub action: Action,
    /// Model or adapter (`MODEL` or `MODEL:ADAPTER`).
    pub item: sync::Arc<str>,
    /// Version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Memory that it occupies, in MiB, including the minimum KV cache.
    pub memory_mib: u64,
}

impl Order {
    /// Creates an order for version `version` of `item`.
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

/// Reply of a runner to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The runner accepted the order.
    Taken,
    /// Refused because the runner has seen a newer fencing token.
    Stale,
    /// Refused for another reason, without effect.
    Refused,
    /// No reply: the order may be carried out, now or later.
    Unknown,
}
