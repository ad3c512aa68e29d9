//! Settings of a VM that relays calls: one YAML file for each VM.

use std::{fmt, fs, net, path, time};

use crate::{
    error,
    settings::{self, Bounded},
};

/// The settings of a VM that relays calls.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: settings::Name,
    /// Its data centre.
    pub centre: settings::Name,
    /// Where callers come.
    pub caller: settings::Listener,
    /// Where the balancer asks whether the VM is ready.
    pub balancer: settings::Listener,
    /// Where other VMs come.
    pub peer: settings::PeerListener,
    /// Where metrics are read; none without this face.
    #[serde(default)]
    pub metrics: Option<settings::Listener>,
    /// The platform's store.
    pub store: settings::Listener,
    /// What the platform allows.
    #[serde(default)]
    pub bounds: Bounds,
    /// What is logged.
    #[serde(default)]
    pub log: Log,
}

/// What the platform allows.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time between the last order of one planner and the first of the next, in ms.
    pub turn_ms: Bounded<0, 600_000>,
    /// Time from SIGTERM to SIGKILL, in s.
    pub grace_s: Bounded<1, 3_600>,
    /// Retries of all VMs together, as a share of the calls.
    pub retry_share: f64,
    /// Retries of all VMs together beyond the share.
    pub retry_slack: f64,
    /// Time over which the platform counts an account's units, in s.
    pub quota_window_s: Bounded<1, 3_600>,
    /// Units that an account may have beyond its rate and burst in that time, as a part of them.
    pub quota_overage: f64,
    /// Units that an account may have beyond that.
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

/// The default of a setting, which lies within its bounds.
fn bounded<const MIN: u64, const MAX: u64>(number: u128) -> Bounded<MIN, MAX> {
    let number = u64::try_from(number).unwrap_or(MAX);
    Bounded::clamped(number)
}

/// What is logged.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lowest level that is logged.
    pub level: settings::Level,
    /// Lines that wait for the standard output at most; more are dropped and counted.
    pub lines: Lines,
}

/// Lines that wait at most.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(transparent)]
pub struct Lines(pub Bounded<16, 1_000_000>);

impl Default for Lines {
    fn default() -> Self {
        Self(Bounded::clamped(LINES))
    }
}

/// Lines that wait by default: a second of the heaviest load, some 2 MB.
const LINES: u64 = 8_192;

impl Settings {
    /// What the decision core is told.
    #[must_use]
    pub fn core(&self, incarnation: u64, peer: net::SocketAddr) -> relay::Settings {
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
/// cannot be read, is no such document or has a value out of its range.
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
            return Err(fault(&format!("field {field} of bounds: {number} is below 0")));
        }
    }
    Ok(settings)
}
