//! Metrics of a VM that relays calls: their names, units and buckets.

use metrics::Unit;
use metrics_exporter_prometheus as prometheus;
use relay::event;

use crate::{error, metric};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_SECONDS: [f64; 13] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.5, 3.0, 6.0, 10.0, 15.0];

/// Wait of calls until they were sent to a target.
pub const QUEUE: &str = "primroseplank_relay_queue_seconds";
/// Time from arrival to the first byte or event of the answer.
pub const FIRST: &str = "primroseplank_relay_first_byte_seconds";
/// Calls that ended, by outcome.
pub const CALLS: &str = "primroseplank_relay_calls_total";
/// Orders given to runners.
pub const ORDERS: &str = "primroseplank_relay_orders_total";
/// New connections to targets.
pub const CONNECTIONS: &str = "primroseplank_relay_target_connections_total";
/// Log lines that were dropped because the standard output took them too slowly.
pub const DROPPED_LOG_LINES: &str = "primroseplank_log_lines_dropped_total";
/// Calls that are open.
pub const OPEN: &str = "primroseplank_relay_open_calls";
/// Version of the configuration in force.
pub const VERSION: &str = "primroseplank_relay_config_version";

/// Makes the recorder the process's own and describes every metric.
///
/// # Errors
///
/// [`error::Kind::System`] if the process has a recorder already.
pub fn start() -> error::Result<prometheus::PrometheusHandle> {
    let handle = metric::install(&BUCKETS_SECONDS)?;
    metrics::describe_histogram!(QUEUE, Unit::Seconds, "Wait of a call until it was sent.");
    metrics::describe_histogram!(FIRST, Unit::Seconds, "Time from arrival to the first byte.");
    metrics::describe_counter!(CALLS, Unit::Count, "Calls that ended, by outcome.");
    metrics::describe_counter!(ORDERS, Unit::Count, "Orders given to runners.");
    metrics::describe_counter!(CONNECTIONS, Unit::Count, "New connections to targets.");
    metrics::describe_counter!(DROPPED_LOG_LINES, Unit::Count, "Log lines dropped.");
    metrics::describe_gauge!(OPEN, Unit::Count, "Calls that are open.");
    metrics::describe_gauge!(VERSION, Unit::Count, "Version of the configuration in force.");
    Ok(handle)
}

/// Records a measured value of the decision core.
pub fn record(measure: &event::Measure) {
    match measure {
        event::Measure::Queue(wait) => metrics::histogram!(QUEUE).record(*wait),
        event::Measure::First(wait) => metrics::histogram!(FIRST).record(*wait),
        event::Measure::Ended { outcome } => {
            metrics::counter!(CALLS, "outcome" => *outcome).increment(1);
        }
        event::Measure::Ordered => metrics::counter!(ORDERS).increment(1),
    }
}
