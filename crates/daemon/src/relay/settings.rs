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
    /// Settings of the log.
    #[serde(default)]
    pub log: Log,
}

/// Limits that the platform sets.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Handover time: least time between the last order of one planner and the first of
    /// the next, in ms.
    pub turn_ms: Bounded<0, 600_000>,
    /// Grace period from SIGTERM to SIGKILL, in s.
    pub grace_s: Bounded<1, 3_600>,
    /// Retry budget of all VMs together, as a share of the calls.
    pub retry_share: f64,
    /// Retries of all VMs together that are allowed in addition to the share.
    pub retry_slack: f64,
    /// Window over which the platform counts an account's units, in s.
    pub quota_window_s: Bounded<1, 3_600>,
    /// Units that an account may use in the window beyond its rate and burst, as a
    /// fraction of them.
    pub quota_overage: f64,
    /// Units that an account may use in the window in addition to that.
    pub quota_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        let core = relay::Settings::new("", "", 0);
        Self {
            turn_ms: bounded(core.handover.as_millis()),
            grace_s: bounded(core.grace.as_secs().into()),
            retry_share: core.retry_share,
            retry_slack: core.retry_slack,
            quota_window_s: bounded(core.quota.window.as_secs().into()),
            quota_overage: core.quota.overage,
            quota_slack: core.quota.slack,
        }
    }
}

/// Converts a default of the core, which lies within the bounds of the setting.
fn bounded<const MIN: u64, const MAX: u64>(number: u128) -> Bounded<MIN, MAX> {
    let number = u64::try_from(number).unwrap_or(MAX);
    Bounded::clamped(number)
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

/// Default of [`Lines`]: one second of the heaviest load, about 2 MB.
const DEFAULT_LINES: u64 = 8_192;

impl Settings {
    /// Returns the settings of the decision core. `peer` is the address at which
    /// other VMs reach this one.
    #[must_use]
    pub fn core_settings(&self, incarnation: u64, peer: net::SocketAddr) -> relay::Settings {
        let bounds = &self.bounds;
        relay::Settings::new(self.vm.as_str(), self.centre.as_str(), incarnation)
            .with_peer(&peer.to_string())
            .with_handover(bounds.turn_ms.millis())
            .with_grace(time::Duration::from_secs(bounds.grace_s.get()))
            .with_retries(bounds.retry_share, bounds.retry_slack)
            .with_quota(relay::quota::Tolerance {
                window: time::Duration::from_secs(bounds.quota_window_s.get()),
                overage: bounds.quota_overage,
                slack: bounds.quota_slack,
            })
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
    let settings: Settings = serde_saphyr::from_str(&text)
        .map_err(|cause| fault(&settings::describe_error(&text, &cause)))?;
    let bounds = &settings.bounds;
    for (field, number) in [
        ("retry_share", bounds.retry_share),
        ("retry_slack", bounds.retry_slack),
        ("quota_overage", bounds.quota_overage),
        ("quota_slack", bounds.quota_slack),
    ] {
        if !number.is_finite() || number < 0.0 {
            return Err(fault(&format!(
                "field {field} of bounds: {number} is negative or not finite"
            )));
        }
    }
    Ok(settings)
}
