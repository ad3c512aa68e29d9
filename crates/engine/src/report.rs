//! What a runner says of itself.
//!
//! Over HTTP: `GET /report` answers a [`Report`]. It lags behind.

use std::sync;

/// State of a model or adapter on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// On its way in; its memory is taken.
    Loading,
    /// Serves calls.
    Ready,
    /// On its way out; its memory is still taken.
    Unloading,
}

/// A model or an adapter on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Resident {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// Version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Where it stands.
    pub state: State,
    /// Memory it takes, in MiB.
    pub memory_mib: u64,
}

/// What a runner says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Age of the figures when they were sent, in ms.
    pub age_ms: u64,
    /// Highest fencing token seen; 0 on runners that do not check them.
    pub fence: ids::Fence,
    /// Whether the runner is about to stop and wants no new calls.
    pub leaving: bool,
    /// Calls being served.
    pub running: u64,
    /// Calls waiting.
    pub waiting: u64,
    /// Tokens still to be generated for calls running and waiting, at most.
    pub backlog_tokens: u64,
    /// KV cache in use, in thousandths of what there is.
    pub kv_permille: u64,
    /// What the runner holds.
    pub residents: Vec<Resident>,
}
