//! Status reports of runners.
//!
//! Over HTTP, `GET /report` returns a [`Report`]. Its figures may be out of date
//! by [`Report::age_ms`].

use std::sync;

/// State of a model or adapter on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Being loaded; its memory is already in use.
    Loading,
    /// Serves calls.
    Ready,
    /// Being unloaded; its memory is still in use.
    Unloading,
}

/// A model or an adapter on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Resident {
    /// Model or adapter (`MODEL` or `MODEL:ADAPTER`).
    pub item: sync::Arc<str>,
    /// Version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Loading state.
    pub state: State,
    /// Memory that it occupies, in MiB.
    pub memory_mib: u64,
}

/// Status report of a runner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Age of the figures at the time of sending, in ms.
    pub age_ms: u64,
    /// Highest fencing token seen; 0 on runners that do not check them.
    pub fence: ids::Fence,
    /// Whether the runner is about to stop and accepts no new calls.
    pub leaving: bool,
    /// Number of calls being served.
    pub running: u64,
    /// Number of calls waiting on the runner.
    pub waiting: u64,
    /// Maximum number of tokens still to be generated for running and waiting calls.
    pub backlog_tokens: u64,
    /// KV cache in use, in thousandths of its size.
    pub kv_permille: u64,
    /// Models and adapters that occupy memory on the runner.
    pub residents: Vec<Resident>,
}
