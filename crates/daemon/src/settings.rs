//! Settings: one YAML file for each VM.
//!
//! Every unknown field and every number out of its range is refused with file,
//! line, column and the allowed range.

use std::{fmt, fs, net, path, sync, time};

use crate::error;

/// Longest and shortest credential of the operator and peer faces, in bytes.
const CREDENTIAL_BYTES: std::ops::RangeInclusive<usize> = 16..=256;

/// The settings of a VM.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: Name,
    /// Its data centre.
    pub centre: Name,
    /// Where callers come.
    pub caller: Listener,
    /// Where operators come.
    pub operator: AuthenticatedListener,
    /// Where other VMs come.
    pub peer: PeerListener,
    /// The platform's parts.
    pub platform: Platform,
    /// Who may sign a bundle.
    #[serde(default)]
    pub signers: Vec<bundle::signed::Signer>,
    /// What is logged, and how.
    #[serde(default)]
    pub log: Log,
    /// Limits on sizes, counts and time.
    #[serde(default)]
    pub limits: Limits,
    /// How the VM stops.
    #[serde(default)]
    pub stop: Stop,
    /// How calls are ordered and targets chosen.
    #[serde(default)]
    pub policy: Policy,
}

/// A face that needs no credential of its own.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// IP number and port; port 0 takes a free one.
    pub address: net::SocketAddr,
}

/// A face with a credential.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuthenticatedListener {
    /// IP number and port; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// The credential, 16 to 256 bytes.
    pub credential: Credential,
}

/// The face towards other VMs.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerListener {
    /// IP number and port; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// The credential of all VMs, 16 to 256 bytes.
    pub credential: Credential,
    /// IP number and port under which other VMs reach this one, if they are
    /// not those of `address`.
    #[serde(default)]
    pub advertised: Option<net::SocketAddr>,
}

/// Addresses of the platform's parts.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    pub table: net::SocketAddr,
    /// The object store.
    pub objects: net::SocketAddr,
    /// The list of VMs.
    pub vms: net::SocketAddr,
}

/// What is logged, and how.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of a line.
    pub format: Format,
    /// Lowest level that is logged.
    pub level: Level,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Text for people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Failures that need a person.
    Error,
    /// Failures that the system handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

/// Limits on sizes, counts and time.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a call, in bytes.
    pub body_bytes: Bounded<1_024, 67_108_864>,
    /// Longest time for a body to arrive, in ms.
    pub body_ms: Bounded<100, 600_000>,
    /// Most calls open at once.
    pub open_calls: Bounded<1, 1_000_000>,
    /// Most chunks that wait for a slow caller before its call is ended.
    pub stream_chunks: Bounded<16, 1_048_576>,
    /// Longest time for which a caller may take nothing, in ms.
    pub write_stall_ms: Bounded<100, 600_000>,
    /// Longest time for which an idle connection of a caller is kept, in ms.
    pub keep_alive_ms: Bounded<1_000, 25_000>,
    /// Threads that serve callers' connections.
    pub threads: Bounded<1, 256>,
    /// Longest time to connect to a target or a platform part, in ms.
    pub connect_ms: Bounded<10, 60_000>,
    /// Longest time until a runner begins its answer, and until its first chunk, in ms.
    pub runner_ms: Bounded<100, 3_600_000>,
    /// Longest time between two chunks of a runner, in ms.
    pub chunk_ms: Bounded<100, 3_600_000>,
    /// Longest time until a plain service has answered, in ms.
    pub service_ms: Bounded<100, 3_600_000>,
    /// Largest answer of a plain service, in bytes.
    pub answer_bytes: Bounded<1_024, 67_108_864>,
    /// Longest time until a platform part has answered, in ms.
    pub platform_ms: Bounded<10, 60_000>,
    /// Longest time for a report or an order, in ms.
    pub report_ms: Bounded<10, 60_000>,
    /// Longest time until an operator is answered, in ms.
    pub operator_ms: Bounded<100, 600_000>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: Bounded(4_194_304),
            body_ms: Bounded(30_000),
            open_calls: Bounded(20_000),
            stream_chunks: Bounded(8_192),
            write_stall_ms: Bounded(30_000),
            keep_alive_ms: Bounded(15_000),
            threads: Bounded(4),
            connect_ms: Bounded(1_000),
            runner_ms: Bounded(30_000),
            chunk_ms: Bounded(5_000),
            service_ms: Bounded(30_000),
            answer_bytes: Bounded(4_194_304),
            platform_ms: Bounded(3_000),
            report_ms: Bounded(1_000),
            operator_ms: Bounded(60_000),
        }
    }
}

/// How the VM stops.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time for the balancer to see that the VM is not ready, in ms.
    pub balancer_wait_ms: Bounded<0, 600_000>,
}

impl Default for Stop {
    fn default() -> Self {
        Self { balancer_wait_ms: Bounded(2_000) }
    }
}

/// How calls are ordered and targets chosen.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How a target is chosen.
    pub target: route::policy::Policy,
    /// The order in which waiting calls are served.
    pub queue: route::policy::Discipline,
    /// Time between tokens above which a target gets fewer calls, in ms; 0 for any.
    pub gap_ms: Bounded<0, 10_000>,
}

impl Default for Policy {
    fn default() -> Self {
        let targets = route::target::Config::default();
        Self {
            target: targets.policy,
            queue: route::policy::Discipline::default(),
            gap_ms: Bounded(targets.gap_ms),
        }
    }
}

/// A number from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "u64")]
pub struct Bounded<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Bounded<MIN, MAX> {
    /// The number in the range that is nearest to `number`.
    #[must_use]
    pub const fn clamped(number: u64) -> Self {
        let number = if number < MIN { MIN } else { number };
        Self(if number > MAX { MAX } else { number })
    }

    /// The number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The number as a count of things in memory.
    #[must_use]
    pub fn count(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// The number as a time in ms.
    #[must_use]
    pub const fn millis(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl<const MIN: u64, const MAX: u64> TryFrom<u64> for Bounded<MIN, MAX> {
    type Error = String;

    fn try_from(number: u64) -> Result<Self, String> {
        if (MIN..=MAX).contains(&number) {
            return Ok(Self(number));
        }
        Err(format!("{number} is out of range, allowed is {MIN} to {MAX}"))
    }
}

/// A name: 1 to 64 letters, digits, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "String")]
pub struct Name(sync::Arc<str>);

impl Name {
    /// Longest name, in bytes.
    const MAX_BYTES: usize = 64;

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if (1..=Self::MAX_BYTES).contains(&text.len()) && text.bytes().all(plain) {
            return Ok(Self(text.into()));
        }
        Err(format!(
            "{text:?} is no name, allowed are 1 to {} letters, digits, '-', '_' and '.'",
            Self::MAX_BYTES
        ))
    }
}

/// A credential, which never shows in logs and dumps.
#[derive(Clone, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "String")]
pub struct Credential(sync::Arc<str>);

impl Credential {
    /// The credential as text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

impl TryFrom<String> for Credential {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if visible && CREDENTIAL_BYTES.contains(&text.len()) {
            return Ok(Self(text.into()));
        }
        Err(format!(
            "a credential has {} to {} visible ASCII characters, this one has {}",
            CREDENTIAL_BYTES.start(),
            CREDENTIAL_BYTES.end(),
            text.len()
        ))
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
    read(&text).map_err(|reason| fault(&reason))
}

/// Reads settings from a text, or says what is wrong and where.
fn read(text: &str) -> Result<Settings, String> {
    let settings: Settings =
        serde_saphyr::from_str(text).map_err(|cause| describe_error(text, &cause))?;
    let reached = settings.peer.advertised.unwrap_or(settings.peer.address);
    if reached.ip().is_unspecified() {
        let reason = "field address of peer: other VMs need the IP number of this VM here, \
                      not the unspecified one, or in the field advertised";
        return Err(reason.to_owned());
    }
    Ok(settings)
}

/// What is wrong, with the field's name. The lines around it are left out, for
/// they may have a credential.
pub(crate) fn describe_error(text: &str, cause: &serde_saphyr::Error) -> String {
    let reason = cause.without_snippet();
    let field = cause.location().and_then(|place| {
        let line = usize::try_from(place.line()).ok()?;
        let column = usize::try_from(place.column()).ok()?;
        let line = text.lines().nth(line.checked_sub(1)?)?;
        let before: String = line.chars().take(column.checked_sub(1)?).collect();
        last_field(&before).map(str::to_owned)
    });
    match field {
        Some(field) => format!("field {field}: {reason}"),
        None => reason.to_string(),
    }
}

/// The last name before a colon.
fn last_field(text: &str) -> Option<&str> {
    let (before, _value) = text.rsplit_once(": ")?;
    let name = before.rsplit([' ', '{', ',', '-']).next()?;
    (!name.is_empty()).then_some(name)
}
