//! The bundle's format, field by field.

use std::sync;

use crate::{error, key};

/// Everything that operators declare.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of this format: 1.
    pub format: u32,
    /// Name of the deployment.
    pub deployment: sync::Arc<str>,
    /// Data centres.
    pub centres: Vec<ids::Centre>,
    /// Models that stay resident.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Adapters that stay resident beside their models.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// Targets with a model engine.
    #[serde(default)]
    pub runners: Vec<Runner>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// What the weight store allows.
    pub weights: Weights,
    /// Limits on calls.
    #[serde(default)]
    pub limits: Limits,
}

/// A model that stays resident.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: ids::Model,
    /// Version to serve.
    pub version: sync::Arc<str>,
    /// Memory of the weights, in MiB.
    pub memory_mib: u64,
    /// KV cache that must stay available beside the weights, in MiB.
    pub kv_floor_mib: u64,
    /// Ready copies to keep at least.
    #[serde(default = "one")]
    pub copies: u32,
}

/// An adapter that stays resident beside its model.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name that callers use after the model's name and a colon.
    pub name: ids::Adapter,
    /// Model that it belongs to.
    pub model: ids::Model,
    /// Version to serve.
    pub version: sync::Arc<str>,
    /// Memory it takes, in MiB.
    pub memory_mib: u64,
}

/// A target with a model engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Name of the target.
    pub name: ids::Target,
    /// Data centre where it runs.
    pub centre: ids::Centre,
    /// Where it listens: IP number and port.
    pub address: sync::Arc<str>,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Memory for weights and KV cache, in MiB.
    pub memory_mib: u64,
    /// Power relative to the other runners.
    #[serde(default = "unit")]
    pub power: f64,
    /// Whether it refuses an order with an old fencing token.
    #[serde(default)]
    pub fencing: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers use after `/svc/`.
    pub name: ids::Service,
    /// Its instances.
    pub targets: Vec<Instance>,
    /// Its routes; the first whose path fits decides.
    pub routes: Vec<Route>,
}

/// An instance of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the target.
    pub name: ids::Target,
    /// Data centre where it runs.
    pub centre: ids::Centre,
    /// Where it listens: IP number and port.
    pub address: sync::Arc<str>,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Beginning of the path, with its leading slash.
    pub path: sync::Arc<str>,
    /// Whether a call may be repeated; otherwise it runs at most once.
    pub repeatable: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Tokens that a call counts for against its account's rate.
    #[serde(default = "cost")]
    pub cost: u64,
}

/// Which work comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served first.
    Paid,
    /// Served when no paid work waits, and a little always.
    Courtesy,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub name: ids::Account,
    /// Class of its work.
    pub class: Class,
    /// Tokens a second, over all VMs together.
    pub rate: u64,
    /// Tokens that may be used at once, over all VMs together.
    pub burst: u64,
    /// Its keys.
    #[serde(default)]
    pub keys: Vec<key::Entry>,
}

/// What the weight store allows.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Loads of models that may begin in a second.
    pub loads_per_second: f64,
    /// Loads of models at once at full speed.
    pub loads_at_once: u32,
    /// Loads of adapters in flight at full speed.
    #[serde(default = "adapters")]
    pub adapters_at_once: u32,
}

/// What becomes of drafts that are being streamed when their key is withdrawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Withdrawal {
    /// They are completed; nothing new begins.
    #[default]
    Finish,
    /// They end with an error.
    Cut,
}

/// Limits on calls.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest wait in the queue, in ms.
    pub queue_ms: u64,
    /// Most calls that wait on a VM.
    pub queue_calls: usize,
    /// Tokens that a call may generate if it does not say.
    pub max_tokens: u64,
    /// Calls that a VM has open at one runner at most, for each accelerator.
    pub calls_per_accelerator: u32,
    /// What becomes of open drafts when their key is withdrawn.
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

const fn one() -> u32 {
    1
}

const fn unit() -> f64 {
    1.0
}

const fn cost() -> u64 {
    1
}

const fn adapters() -> u32 {
    90
}

/// Reads a bundle from YAML.
///
/// # Errors
///
/// [`error::Kind::Format`] with line and column if it is not such a document.
pub fn read(text: &str) -> error::Result<Bundle> {
    serde_saphyr::from_str(text)
        .map_err(|cause| error::Error::new(error::Kind::Format, cause.to_string()))
}
