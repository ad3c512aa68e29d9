//! Settings: one YAML file for each VM.
//!
//! Unknown fields and numbers out of range are rejected; the error names the file,
//! line, column and the allowed range.

use std::{fmt, fs, net, path, sync, time};

use crate::error;

/// Allowed length of the credentials of operators and of VMs, in bytes.
const CREDENTIAL_BYTES: std::ops::RangeInclusive<usize> = 16..=256;

/// The settings of a VM.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: Name,
    /// Name of the VM's data centre.
    pub centre: Name,
    /// Listener for callers.
    pub caller: Listener,
    /// Listener for operators.
    pub operator: AuthenticatedListener,
    /// Listener for other VMs.
    pub peer: PeerListener,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Names and keys of those who may sign a bundle.
    #[serde(default)]
    pub signers: Vec<bundle::signed::Signer>,
    /// Format and level of the log.
    #[serde(default)]
    pub log: Log,
    /// Limits on sizes, counts and time.
    #[serde(default)]
    pub limits: Limits,
    /// Graceful stop.
    #[serde(default)]
    pub stop: Stop,
    /// Order of waiting calls and choice of targets.
    #[serde(default)]
    pub policy: Policy,
}

/// A listener without a credential.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// IP address and port; port 0 selects a free port.
    pub address: net::SocketAddr,
}

/// A listener whose clients must present a credential.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuthenticatedListener {
    /// IP address and port; port 0 selects a free port.
    pub address: net::SocketAddr,
    /// The credential that clients must present, 16 to 256 bytes.
    pub credential: Credential,
}

/// The listener for other VMs.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerListener {
    /// IP address and port; port 0 selects a free port.
    pub address: net::SocketAddr,
    /// The credential shared by all VMs, 16 to 256 bytes.
    pub credential: Credential,
    /// IP address and port on which other VMs reach this one, if not `address`.
    #[serde(default)]
    pub advertised: Option<net::SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the table service.
    pub table: net::SocketAddr,
    /// Address of the object store.
    pub objects: net::SocketAddr,
    /// Address of the service that lists the VMs.
    pub vms: net::SocketAddr,
}

/// Settings of the log.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// Least severe level that is logged.
    pub level: Level,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Plain text for people.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Failures that need an operator.
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
    /// Largest request body, in bytes.
    pub body_bytes: Bounded<1_024, 67_108_864>,
    /// Timeout for receiving a request body, in ms.
    pub body_ms: Bounded<100, 600_000>,
    /// Maximum number of open calls.
    pub open_calls: Bounded<1, 1_000_000>,
    /// Maximum number of chunks queued for a slow caller before its call is ended.
    pub stream_chunks: Bounded<16, 1_048_576>,
    /// Longest time for which a caller may read nothing, in ms.
    pub write_stall_ms: Bounded<100, 600_000>,
    /// Time after which an idle connection of a caller is closed, in ms.
    pub keep_alive_ms: Bounded<1_000, 25_000>,
    /// Number of threads that serve callers' connections.
    pub threads: Bounded<1, 256>,
    /// Timeout for connecting to a target or platform service, in ms.
    pub connect_ms: Bounded<10, 60_000>,
    /// Timeout for the response head of a runner, and from then for its first chunk,
    /// in ms.
    pub runner_ms: Bounded<100, 3_600_000>,
    /// Longest time between two chunks of a runner, in ms.
    pub chunk_ms: Bounded<100, 3_600_000>,
    /// Timeout for the response head of a plain service, and again for its body, in
    /// ms.
    pub service_ms: Bounded<100, 3_600_000>,
    /// Largest response body of a plain service, in bytes.
    pub answer_bytes: Bounded<1_024, 67_108_864>,
    /// Timeout for the response head of a platform service, and again for its body,
    /// in ms.
    pub platform_ms: Bounded<10, 60_000>,
    /// Timeout of a report or an order, in ms.
    pub report_ms: Bounded<10, 60_000>,
    /// Timeout for replying to an operator, in ms.
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

/// Settings of a graceful stop.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time that the balancer is given to see that the VM is not ready, in ms.
    pub balancer_wait_ms: Bounded<0, 600_000>,
}

impl Default for Stop {
    fn default() -> Self {
        Self { balancer_wait_ms: Bounded(2_000) }
    }
}

/// Settings of the order of waiting calls and of the choice of targets.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How a target is chosen.
    pub target: route::policy::Policy,
    /// The order in which waiting calls are served.
    pub queue: route::policy::Discipline,
    /// Time between tokens above which a target gets fewer calls, in ms; 0 disables
    /// this.
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

/// A number from `MIN` to `MAX`, both inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "u64")]
pub struct Bounded<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Bounded<MIN, MAX> {
    /// Limits `number` to the range.
    #[must_use]
    pub const fn clamped(number: u64) -> Self {
        let number = if number < MIN { MIN } else { number };
        Self(if number > MAX { MAX } else { number })
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number as a `usize`.
    #[must_use]
    pub fn count(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// Returns the number of ms as a duration.
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

/// A duration from 0 to `MAX` units of `UNIT_MS` ms, given as a whole number or a fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "f64")]
pub struct Span<const UNIT_MS: u64, const MAX: u64>(time::Duration);

impl<const UNIT_MS: u64, const MAX: u64> Span<UNIT_MS, MAX> {
    /// Returns the duration.
    #[must_use]
    pub const fn get(self) -> time::Duration {
        self.0
    }
}

impl<const UNIT_MS: u64, const MAX: u64> TryFrom<f64> for Span<UNIT_MS, MAX> {
    type Error = String;

    fn try_from(number: f64) -> Result<Self, String> {
        // A range does not contain NaN.
        if (0.0..=MAX as f64).contains(&number) {
            return Ok(Self(time::Duration::from_secs_f64(number * UNIT_MS as f64 / 1_000.0)));
        }
        Err(format!("{number} is out of range, allowed is 0 to {MAX}"))
    }
}

/// A nonnegative number, whole or a fraction.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "f64")]
pub struct Amount(f64);

impl Amount {
    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Amount {
    type Error = String;

    fn try_from(number: f64) -> Result<Self, String> {
        if number.is_finite() && number >= 0.0 {
            return Ok(Self(number));
        }
        Err(format!("{number} is negative or not finite"))
    }
}

/// A number of 0 or more in quotes, which a template fills in: `None` if the text is empty
/// or still holds its placeholder.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "String")]
pub struct Filled(Option<f64>);

impl Filled {
    /// Returns the number, if one is stated.
    #[must_use]
    pub const fn get(self) -> Option<f64> {
        self.0
    }
}

impl TryFrom<String> for Filled {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let text = text.trim();
        if text.is_empty() || text.starts_with("{{") {
            return Ok(Self(None));
        }
        let number = text.parse::<f64>().map_err(|_cause| format!("{text:?} is not a number"))?;
        Amount::try_from(number).map(|amount| Self(Some(amount.get())))
    }
}

/// A size from `MIN` to `MAX` in quotes, which a template fills in: `None` if the text is empty,
/// still holds its placeholder, or is 0, which states no limit. A fraction is cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "String")]
pub struct Stated<const MIN: u64, const MAX: u64>(Option<u64>);

impl<const MIN: u64, const MAX: u64> Stated<MIN, MAX> {
    /// Returns the size, if one is stated.
    #[must_use]
    pub const fn get(self) -> Option<u64> {
        self.0
    }
}

impl<const MIN: u64, const MAX: u64> TryFrom<String> for Stated<MIN, MAX> {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let number = match Filled::try_from(text)?.get() {
            None | Some(0.0) => return Ok(Self(None)),
            Some(number) => number,
        };
        if !(MIN as f64..=MAX as f64).contains(&number) {
            return Err(format!("{number} is out of range, allowed is {MIN} to {MAX}, or 0"));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is in range, and a fraction is cut off"
        )]
        let number = number as u64;
        Ok(Self(Some(number)))
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

    /// Returns the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if (1..=Self::MAX_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) {
            return Ok(Self(text.into()));
        }
        Err(format!(
            "{text:?} is not a valid name, allowed are 1 to {} letters, digits, '-', '_' and '.'",
            Self::MAX_BYTES
        ))
    }
}

/// A credential; its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(try_from = "String")]
pub struct Credential(sync::Arc<str>);

impl Credential {
    /// Returns the credential in plain text.
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
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_visible && CREDENTIAL_BYTES.contains(&text.len()) {
            return Ok(Self(text.into()));
        }
        Err(format!(
            "a credential must have {} to {} visible ASCII characters, this one has {}",
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
/// [`error::Kind::Settings`] with file, line, column and field if the file cannot
/// be read, is not valid YAML for these settings or has a value out of range.
pub fn load(file: &path::Path) -> error::Result<Settings> {
    let failure = |reason: &dyn fmt::Display| {
        error::Error::new(error::Kind::Settings, "reading", &file.display(), &reason)
    };
    let text = fs::read_to_string(file).map_err(|cause| failure(&cause))?;
    parse(&text).map_err(|reason| failure(&reason))
}

/// Parses and validates settings; the error says what is wrong and where.
fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings =
        serde_saphyr::from_str(text).map_err(|cause| describe_error(text, &cause))?;
    let peer_address = settings.peer.advertised.unwrap_or(settings.peer.address);
    if peer_address.ip().is_unspecified() {
        let reason = "field address of peer: other VMs need the IP address of this VM here, \
                      not the unspecified one, or in the field advertised";
        return Err(reason.to_owned());
    }
    Ok(settings)
}

/// Describes an error with the name of the field. The surrounding lines are left
/// out because they may contain a credential.
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

/// Returns the last field name before a colon.
fn last_field(text: &str) -> Option<&str> {
    let (before, _value) = text.rsplit_once(": ")?;
    let name = before.rsplit([' ', '{', ',', '-']).next()?;
    (!name.is_empty()).then_some(name)
}
