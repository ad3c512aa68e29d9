//! Names, units and histogram buckets of the metrics of a relay VM.

use metrics::Unit;
use metrics_exporter_prometheus as prometheus;
use relay::event;

use crate::{error, metric};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 13] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.5, 3.0, 6.0, 10.0, 15.0];

/// Histogram of the time from arrival until a call is sent to a target, in seconds.
pub const QUEUE_SECONDS: &str = "primroseplank_relay_queue_seconds";
/// Histogram of the time from arrival to the first byte or event of the answer, in seconds.
pub const FIRST_BYTE_SECONDS: &str = "primroseplank_relay_first_byte_seconds";
/// Counter of ended calls, labelled by outcome.
pub const ENDED_CALLS: &str = "primroseplank_relay_calls_total";
/// Counter of orders sent to runners.
pub const RUNNER_ORDERS: &str = "primroseplank_relay_orders_total";
/// Counter of connections opened to targets.
pub const TARGET_CONNECTIONS: &str = "primroseplank_relay_target_connections_total";
/// Counter of log lines dropped because the standard output was too slow.
pub const DROPPED_LOG_LINES: &str = "primroseplank_log_lines_dropped_total";
/// Counter of messages sent to other VMs, labelled by kind.
pub const PEER_MESSAGES: &str = "primroseplank_relay_peer_messages_total";
/// Counter of bytes of messages sent to other VMs, labelled by kind.
pub const PEER_BYTES: &str = "primroseplank_relay_peer_bytes_total";
/// Counter of requests to the store, labelled by table and kind.
pub const STORE_REQUESTS: &str = "primroseplank_relay_store_requests_total";
/// Gauge of the age of the oldest report about reachable VMs, in seconds.
pub const VIEW_AGE: &str = "primroseplank_relay_view_age_seconds";
/// Gauge of the store's era, as far as this VM knows.
pub const STORE_ERA: &str = "primroseplank_relay_store_era";
/// Gauge of prompt parts that are blocked because they crash engines.
pub const BLOCKED_PARTS: &str = "primroseplank_relay_blocked_prompt_parts";
/// Gauge of targets that leave, labelled by where that is known from.
pub const LEAVING_TARGETS: &str = "primroseplank_relay_leaving_targets";
/// Histogram of the lengths of the pauses that targets have begun, in seconds.
pub const PAUSE_SECONDS: &str = "primroseplank_relay_pause_seconds";
/// Gauge of targets that are cold, of services with a limit for those.
pub const COLD_TARGETS: &str = "primroseplank_relay_cold_targets";
/// Counter of calls to cold targets, labelled by outcome: `granted` if they were sent to one,
/// `withheld` if they were refused because all their targets are cold.
pub const COLD_CALLS: &str = "primroseplank_relay_cold_calls_total";
/// Gauge of data centres to whose targets nothing is sent.
pub const DRAINED_CENTRES: &str = "primroseplank_relay_drained_centres";
/// Counter of calls that were not sent because their target was drained at that moment.
pub const WITHHELD_CALLS: &str = "primroseplank_relay_withheld_calls_total";
/// Gauge of the learned time per prompt token relative to the nominal one, by target.
pub const PREFILL_RATIO: &str = "primroseplank_relay_target_prefill_ratio";
/// Gauge of the learned time of a decoding step relative to the nominal one, by target.
pub const STEP_RATIO: &str = "primroseplank_relay_target_step_ratio";
/// Counter of calls kept away from a target because of the pauses of its streams.
pub const PAUSES_AVOIDED: &str = "primroseplank_relay_pauses_avoided_total";
/// Gauge of open calls.
pub const OPEN_CALLS: &str = "primroseplank_relay_open_calls";
/// Gauge of the bytes that request bodies hold.
pub const BODY_BYTES: &str = "primroseplank_relay_body_bytes";
/// Counter of request bodies that were refused because all together need too much memory.
pub const REFUSED_BODIES: &str = "primroseplank_relay_refused_bodies_total";
/// Gauge of the open connections to this VM, labelled by listener.
pub const CONNECTIONS: &str = "primroseplank_relay_connections";
/// Counter of connections that were closed because there were too many, labelled by listener.
pub const CLOSED_CONNECTIONS: &str = "primroseplank_relay_closed_connections_total";
/// Counter of calls charged to accounts with a limit, labelled by priority and outcome.
pub const CHARGED_CALLS: &str = "primroseplank_relay_quota_calls_total";
/// Counter of quota units asked for, labelled by priority and outcome.
pub const CHARGED_UNITS: &str = "primroseplank_relay_quota_units_total";
/// Gauge of calls that wait for quota units.
pub const WAITING_FOR_UNITS: &str = "primroseplank_relay_quota_waiting_calls";
/// Gauge of the fraction of its rate that all VMs grant the account that gets least of it,
/// among those that ask for more than their rate; 1 if there is none.
pub const GRANTED_RATIO: &str = "primroseplank_relay_quota_granted_ratio";
/// Gauge of the version of the configuration in force.
pub const CONFIG_VERSION: &str = "primroseplank_relay_config_version";

/// Installs the process-wide metrics recorder and describes every metric.
///
/// # Errors
///
/// [`error::Kind::System`] if a recorder is already installed.
pub fn start() -> error::Result<prometheus::PrometheusHandle> {
    let handle = metric::install(&BUCKETS_SECONDS)?;
    metrics::describe_histogram!(QUEUE_SECONDS, Unit::Seconds, "Wait of a call until it was sent.");
    metrics::describe_histogram!(
        FIRST_BYTE_SECONDS,
        Unit::Seconds,
        "Time from arrival to the first byte."
    );
    metrics::describe_counter!(ENDED_CALLS, Unit::Count, "Calls that ended, by outcome.");
    metrics::describe_counter!(RUNNER_ORDERS, Unit::Count, "Orders given to runners.");
    metrics::describe_counter!(TARGET_CONNECTIONS, Unit::Count, "New connections to targets.");
    metrics::describe_counter!(DROPPED_LOG_LINES, Unit::Count, "Log lines dropped.");
    metrics::describe_counter!(PEER_MESSAGES, Unit::Count, "Messages to other VMs, by kind.");
    metrics::describe_counter!(PEER_BYTES, Unit::Bytes, "Bytes sent to other VMs, by kind.");
    metrics::describe_counter!(STORE_REQUESTS, Unit::Count, "Requests to the store.");
    metrics::describe_gauge!(
        STORE_ERA,
        Unit::Count,
        "Times that the store has come back from a copy; 0 if it does not state that."
    );
    metrics::describe_gauge!(
        VIEW_AGE,
        Unit::Seconds,
        "Age of the oldest report about reachable VMs."
    );
    metrics::describe_gauge!(BLOCKED_PARTS, Unit::Count, "Prompt parts that are blocked.");
    metrics::describe_gauge!(LEAVING_TARGETS, Unit::Count, "Targets that leave, by source.");
    metrics::describe_histogram!(PAUSE_SECONDS, Unit::Seconds, "Pauses of targets.");
    metrics::describe_gauge!(COLD_TARGETS, Unit::Count, "Targets that are cold.");
    metrics::describe_counter!(COLD_CALLS, Unit::Count, "Calls to cold targets, by outcome.");
    metrics::describe_gauge!(DRAINED_CENTRES, Unit::Count, "Data centres that are drained.");
    metrics::describe_counter!(WITHHELD_CALLS, Unit::Count, "Calls not sent because of a drain.");
    metrics::describe_gauge!(
        PREFILL_RATIO,
        Unit::Count,
        "Learned time per prompt token relative to the nominal one."
    );
    metrics::describe_gauge!(
        STEP_RATIO,
        Unit::Count,
        "Learned time of a decoding step relative to the nominal one."
    );
    metrics::describe_counter!(
        PAUSES_AVOIDED,
        Unit::Count,
        "Calls kept away from a target because of the pauses of its streams."
    );
    metrics::describe_gauge!(OPEN_CALLS, Unit::Count, "Calls that are open.");
    metrics::describe_gauge!(BODY_BYTES, Unit::Bytes, "Bytes that request bodies hold.");
    metrics::describe_counter!(REFUSED_BODIES, Unit::Count, "Request bodies without memory.");
    metrics::describe_gauge!(CONNECTIONS, Unit::Count, "Connections, by listener.");
    metrics::describe_counter!(CLOSED_CONNECTIONS, Unit::Count, "Connections over the limit.");
    metrics::describe_counter!(CHARGED_CALLS, Unit::Count, "Calls charged to quotas.");
    metrics::describe_counter!(CHARGED_UNITS, Unit::Count, "Quota units asked for.");
    metrics::describe_gauge!(WAITING_FOR_UNITS, Unit::Count, "Calls that wait for units.");
    metrics::describe_gauge!(GRANTED_RATIO, Unit::Count, "Units granted of what the rate allows.");
    metrics::describe_gauge!(CONFIG_VERSION, Unit::Count, "Version of the configuration in force.");
    Ok(handle)
}

/// Records a message of `bytes` bytes sent to `receivers` VMs.
pub fn record_sent(kind: &'static str, receivers: usize, bytes: usize) {
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    metrics::counter!(PEER_MESSAGES, "kind" => kind).increment(count(receivers));
    let total = receivers.saturating_mul(bytes);
    metrics::counter!(PEER_BYTES, "kind" => kind).increment(count(total));
}

/// Records a request to the store.
pub fn record_store_request(table: &'static str, kind: &'static str) {
    metrics::counter!(STORE_REQUESTS, "table" => table, "kind" => kind).increment(1);
}

/// Rounds units of a quota for a counter.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn whole(units: f64) -> u64 {
    units.round() as u64
}

/// Records a measurement emitted by the decision core.
pub fn record(measure: &event::Measure) {
    match measure {
        event::Measure::Queue(wait) => metrics::histogram!(QUEUE_SECONDS).record(*wait),
        event::Measure::First(wait) => metrics::histogram!(FIRST_BYTE_SECONDS).record(*wait),
        event::Measure::Ended { outcome } => {
            metrics::counter!(ENDED_CALLS, "outcome" => *outcome).increment(1);
        }
        event::Measure::Charged { priority, units, outcome } => {
            let labels = [("priority", priority.to_string()), ("outcome", (*outcome).to_owned())];
            metrics::counter!(CHARGED_CALLS, &labels).increment(1);
            metrics::counter!(CHARGED_UNITS, &labels).increment(whole(*units));
        }
        event::Measure::Paused(length) => {
            metrics::histogram!(PAUSE_SECONDS).record(*length);
        }
        event::Measure::ColdGranted => {
            metrics::counter!(COLD_CALLS, "outcome" => "granted").increment(1);
        }
        event::Measure::ColdWithheld => {
            metrics::counter!(COLD_CALLS, "outcome" => "withheld").increment(1);
        }
        event::Measure::PauseAvoided => metrics::counter!(PAUSES_AVOIDED).increment(1),
        event::Measure::Ordered => metrics::counter!(RUNNER_ORDERS).increment(1),
        event::Measure::Withheld => metrics::counter!(WITHHELD_CALLS).increment(1),
    }
}
