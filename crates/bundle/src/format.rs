//! The fields of a bundle.

use std::sync;

use crate::{error, key};

/// The declared configuration of a deployment.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of the format; 1 is the only one.
    pub format: u32,
    /// Name of the deployment.
    pub deployment: sync::Arc<str>,
    /// Data centres.
    pub centres: Vec<ids::Centre>,
    /// Models that are kept loaded.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Adapters that are kept loaded with their models.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// Targets that run a model engine.
    #[serde(default)]
    pub runners: Vec<Runner>,
    /// Plain services, which run no model.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Load limits of the weight store.
    pub weights: Weights,
    /// Limits on calls.
    #[serde(default)]
    pub limits: Limits,
}

/// A model that is kept loaded.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers request it by.
    pub name: ids::Model,
    /// Version to serve.
    pub version: sync::Arc<str>,
    /// Memory that the weights take, in MiB.
    pub memory_mib: u64,
    /// Least KV cache memory to keep available beside the weights, in MiB.
    pub kv_floor_mib: u64,
    /// Least number of ready copies, each on a different runner.
    #[serde(default = "default_copies")]
    pub copies: u32,
}

/// An adapter that is kept loaded with its model.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name, unique per model; callers request `MODEL:ADAPTER`.
    pub name: ids::Adapter,
    /// Model that it extends.
    pub model: ids::Model,
    /// Version to serve.
    pub version: sync::Arc<str>,
    /// Memory that it takes on every copy of the model, in MiB.
    pub memory_mib: u64,
}

/// A target that runs a model engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Name, unique among all targets.
    pub name: ids::Target,
    /// Data centre where it runs.
    pub centre: ids::Centre,
    /// Address that it listens on: IP address and port.
    pub address: sync::Arc<str>,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Memory for weights and KV cache, in MiB.
    pub memory_mib: u64,
    /// Throughput relative to the other runners.
    #[serde(default = "default_power")]
    pub power: f64,
    /// Whether it refuses orders that carry an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name; callers use the path `/svc/NAME`.
    pub name: ids::Service,
    /// Its instances.
    pub targets: Vec<Instance>,
    /// Its routes; the first whose path is a prefix of the call's path applies.
    pub routes: Vec<Route>,
}

/// An instance of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name, unique among all targets.
    pub name: ids::Target,
    /// Data centre where it runs.
    pub centre: ids::Centre,
    /// Address that it listens on: IP address and port.
    pub address: sync::Arc<str>,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, with its leading slash.
    pub path: sync::Arc<str>,
    /// Whether a call may be retried; otherwise it is executed at most once.
    pub repeatable: bool,
    /// Whether calls are accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Tokens that a call takes from its account's rate.
    #[serde(default = "default_cost")]
    pub cost: u64,
}

/// Priority class of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served before courtesy work.
    Paid,
    /// Served when no paid work is waiting, with a small guaranteed share.
    Courtesy,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name, unique among the accounts.
    pub name: ids::Account,
    /// Priority class of its calls.
    pub class: Class,
    /// Sustained rate in tokens per second, over all VMs together.
    pub rate: u64,
    /// Tokens that may be used in one burst, over all VMs together.
    pub burst: u64,
    /// Client keys; more may be issued as amendments.
    #[serde(default)]
    pub keys: Vec<key::Entry>,
}

/// Load limits of the weight store.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Model loads that may start per second.
    pub loads_per_second: f64,
    /// Concurrent model loads that the store serves at full speed.
    pub loads_at_once: u32,
    /// Concurrent adapter loads that the store serves at full speed.
    #[serde(default = "default_adapters_at_once")]
    pub adapters_at_once: u32,
}

/// What happens to streams in flight when their key is withdrawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Withdrawal {
    /// They run to completion; new calls are refused.
    #[default]
    Finish,
    /// They are ended with an error.
    Cut,
}

/// Limits on calls.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest time that a call waits in the queue, in ms.
    pub queue_ms: u64,
    /// Most calls queued on one VM.
    pub queue_calls: usize,
    /// Tokens that a call may generate if it sets no limit itself.
    pub max_tokens: u64,
    /// Most calls that one VM has in flight at a runner, per accelerator.
    pub calls_per_accelerator: u32,
    /// What happens to streams in flight when their key is withdrawn.
    pub withdrawal: Withdrawal,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_ms: 10_000,
            queue_calls: 2_000,
            max_tokens: 512,
            calls_per_accelerator: 16,
            withdrawal: Withdrawal::Finish,
        }
    }
}

const fn default_copies() -> u32 {
    1
}

const fn default_power() -> f64 {
    1.0
}

const fn default_cost() -> u64 {
    1
}

const fn default_adapters_at_once() -> u32 {
    90
}

/// Parses a bundle from YAML.
///
/// Names, references and ranges are not checked; see [`crate::check`].
///
/// # Errors
///
/// [`error::Kind::Format`] with line and column if the text is not a bundle.
pub fn read(text: &str) -> error::Result<Bundle> {
    serde_saphyr::from_str(text)
        .map_err(|cause| error::Error::new(error::Kind::Format, cause.to_string()))
}
