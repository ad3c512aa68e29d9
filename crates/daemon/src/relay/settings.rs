//! Settings of a relay VM, read from one YAML file for each VM.

use std::{fmt, fs, net, path, time};

use crate::{
    error,
    settings::{self, Bounded},
};

/// The settings of a relay VM.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: settings::Name,
    /// Data centre of the VM.
    pub centre: settings::Name,
    /// Address that accepts calls.
    pub caller: settings::Listener,
    /// Address of the readiness endpoint for the balancer.
    pub balancer: settings::Listener,
    /// Address that accepts connections of other VMs.
    pub peer: settings::PeerListener,
    /// Address of the metrics endpoint; `None` disables it.
    #[serde(default)]
    pub metrics: Option<settings::Listener>,
    /// Address of the platform's store.
    pub store: settings::Listener,
    /// Limits that the platform sets.
    #[serde(default)]
    pub bounds: Bounds,
    /// Size of the machine.
    #[serde(default)]
    pub limits: Limits,
    /// Comma-separated names of the platform's contracts that are in force.
    #[serde(default)]
    pub contracts: String,
    /// Settings of admission.
    #[serde(default)]
    pub admission: Admission,
    /// Settings of the choice of targets.
    #[serde(default)]
    pub routing: Routing,
    /// Settings of the log.
    #[serde(default)]
    pub log: Log,
}

/// Limits that the platform sets. One that is missing or has no value keeps its default.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Handover time: least time between the last order of one planner and the first of
    /// the next, in ms.
    pub turn_ms: Option<settings::Span<1, 600_000>>,
    /// Grace period from SIGTERM to SIGKILL, in s.
    pub grace_s: Option<settings::Span<1_000, 3_600>>,
    /// Retry budget of all VMs together, as a share of the calls.
    pub retry_share: Option<settings::Amount>,
    /// Retries of all VMs together that are allowed in addition to the share.
    pub retry_slack: Option<settings::Amount>,
    /// Window over which the platform counts an account's units, in s.
    pub quota_window_s: Option<settings::Span<1_000, 3_600>>,
    /// Units that an account may use in the window beyond its rate and burst, as a
    /// fraction of them.
    pub quota_overage: Option<settings::Amount>,
    /// Units that an account may use in the window in addition to that.
    pub quota_slack: Option<settings::Amount>,
    /// Requests per second that a cold target tolerates, as a multiple of its stated rate.
    pub cold_overage: settings::Filled,
    /// Requests that a cold target tolerates in any second in addition to that.
    pub cold_slack: settings::Filled,
}

/// Size of the machine. What is missing or has no value is read from the system.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory of the process, in MB.
    pub memory_mb: settings::Stated<64, 1_000_000_000>,
    /// Descriptors that the process may open.
    pub descriptors: settings::Stated<256, 1_000_000_000>,
}

/// Settings of admission.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Whether an account that exceeds its rate spends its units by urgency rather than in
    /// order of arrival; by default, where the platform's contracts ask for it.
    pub by_urgency: Option<bool>,
}

/// Settings of the choice of targets.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether the speed of each engine is learned; by default not, as it costs more than it
    /// gains where engines are alike.
    pub learned_speed: Option<bool>,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: settings::Level,
    /// Maximum number of lines buffered for the standard output; further lines are
    /// dropped and counted.
    pub lines: Lines,
}

/// Maximum number of buffered log lines.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(transparent)]
pub struct Lines(pub Bounded<16, 1_000_000>);

impl Default for Lines {
    fn default() -> Self {
        Self(Bounded::clamped(DEFAULT_LINES))
    }
}

/// Default grace period: the value that the platform has used so far.
const DEFAULT_GRACE: time::Duration = time::Duration::from_secs(8);
/// Default of [`Lines`]: one second of the heaviest load, about 2 MB.
const DEFAULT_LINES: u64 = 8_192;

impl Settings {
    /// Returns the times of a graceful shutdown.
    #[must_use]
    pub fn shutdown(&self) -> relay::shutdown::Schedule {
        let grace = self.bounds.grace_s.map_or(DEFAULT_GRACE, settings::Span::get);
        relay::shutdown::Schedule::new(grace)
    }

    /// Returns the settings of the decision core. `peer` is the address at which
    /// other VMs reach this one.
    #[must_use]
    pub fn core_settings(&self, incarnation: u64, peer: net::SocketAddr) -> relay::Settings {
        let bounds = &self.bounds;
        let default = relay::Settings::new(self.vm.as_str(), self.centre.as_str(), incarnation);
        let amount =
            |bound: Option<settings::Amount>, default| bound.map_or(default, settings::Amount::get);
        let window = bounds.quota_window_s.map_or(default.quota.window, settings::Span::get);
        let tolerance = relay::quota::Tolerance {
            window,
            overage: amount(bounds.quota_overage, default.quota.overage),
            slack: amount(bounds.quota_slack, default.quota.slack),
        };
        let cold = relay::cold::Tolerance {
            overage: bounds.cold_overage.get().unwrap_or(default.cold.overage),
            slack: bounds.cold_slack.get().unwrap_or(default.cold.slack),
        };
        let handover = bounds.turn_ms.map_or(default.handover, settings::Span::get);
        let retry_share = amount(bounds.retry_share, default.retry_share);
        let retry_slack = amount(bounds.retry_slack, default.retry_slack);
        let has_pressure = platform::contract::has_pressure(&self.contracts);
        default
            .with_urgency(self.admission.by_urgency.unwrap_or(has_pressure))
            .with_learned_speed(self.routing.learned_speed.unwrap_or_default())
            .with_peer(&peer.to_string())
            .with_handover(handover)
            .with_retries(retry_share, retry_slack)
            .with_quota(tolerance)
            .with_cold(cold)
    }
}

/// Reads the settings in `file`.
///
/// # Errors
///
/// [`error::Kind::Settings`] with file, line, column and field if the file
/// cannot be read, does not match the schema or has a value out of range.
pub fn load(file: &path::Path) -> error::Result<Settings> {
    let fault = |reason: &dyn fmt::Display| {
        error::Error::new(error::Kind::Settings, "reading", &file.display(), &reason)
    };
    let text = fs::read_to_string(file).map_err(|cause| fault(&cause))?;
    serde_saphyr::from_str(&text).map_err(|cause| fault(&settings::describe_error(&text, &cause)))
}
