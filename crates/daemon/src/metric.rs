//! Metrics: names, units and the Prometheus exporter.

use std::time;

use metrics_exporter_prometheus as prometheus;
use node::event;

use crate::error;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 2.5, 5.0, 10.0, 30.0];

/// Histogram of the time that calls wait in the queue.
pub const QUEUE_WAIT: &str = "primroseplank_queue_seconds";
/// Histogram of the time from a call's arrival to its first chunk.
pub const FIRST_TOKEN: &str = "primroseplank_first_token_seconds";
/// Counter of ended calls, by account, outcome and error code.
pub const CALLS: &str = "primroseplank_calls_total";
/// Counter of charged tokens, by account.
pub const TOKENS: &str = "primroseplank_account_tokens_total";
/// Gauge of the calls that are open.
pub const OPEN_CALLS: &str = "primroseplank_open_calls";
/// Gauge that is 1 while the VM is ready for calls, else 0.
pub const READY: &str = "primroseplank_ready";
/// Counter of calls ended because their caller read too slowly.
pub const SLOW_CALLERS: &str = "primroseplank_slow_callers_total";
/// Counter of dropped messages to other VMs, by VM.
pub const DROPPED_MESSAGES: &str = "primroseplank_peer_messages_dropped_total";
/// Counter of connections to other VMs that were lost or could not be made, by VM.
pub const LOST_CONNECTIONS: &str = "primroseplank_peer_connections_lost_total";
/// Counter of calls and orders that were not sent because the process had been
/// paused between the decision and the send.
pub const PAUSED_SENDS: &str = "primroseplank_paused_sends_total";

/// The metrics of this crate; those of the decision core are in [`node::count::ALL`].
pub const ALL: &[&str] = &[
    QUEUE_WAIT,
    FIRST_TOKEN,
    CALLS,
    TOKENS,
    OPEN_CALLS,
    READY,
    SLOW_CALLERS,
    DROPPED_MESSAGES,
    LOST_CONNECTIONS,
    PAUSED_SENDS,
];

/// Installs the global recorder and describes every metric.
///
/// # Errors
///
/// [`error::Kind::System`] if the process already has a recorder.
pub fn start() -> error::Result<prometheus::PrometheusHandle> {
    let handle = install(&BUCKETS_SECONDS)?;
    describe();
    Ok(handle)
}

/// Installs a global recorder whose histograms have the given buckets.
///
/// # Errors
///
/// [`error::Kind::System`] if the process already has a recorder.
pub(crate) fn install(buckets: &[f64]) -> error::Result<prometheus::PrometheusHandle> {
    let failure =
        |cause: &dyn std::fmt::Display| error::Error::system("set-up", &"metrics", &cause);
    let builder = prometheus::PrometheusBuilder::new()
        .set_buckets(buckets)
        .map_err(|cause| failure(&cause))?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|cause| failure(&cause))?;
    Ok(handle)
}

fn describe() {
    use metrics::Unit;
    for counter in node::count::ALL {
        metrics::describe_counter!(counter.name, Unit::Count, counter.help);
    }
    metrics::describe_histogram!(QUEUE_WAIT, Unit::Seconds, "Wait of a call in the queue.");
    metrics::describe_histogram!(
        FIRST_TOKEN,
        Unit::Seconds,
        "Time from a call's arrival to its first chunk."
    );
    metrics::describe_counter!(
        CALLS,
        Unit::Count,
        "Calls that ended, by account, outcome and error code."
    );
    metrics::describe_counter!(TOKENS, Unit::Count, "Tokens charged, by account.");
    metrics::describe_gauge!(OPEN_CALLS, Unit::Count, "Calls open now.");
    metrics::describe_gauge!(READY, Unit::Count, "1 if the VM is ready for calls, else 0.");
    metrics::describe_counter!(
        SLOW_CALLERS,
        Unit::Count,
        "Calls ended because their caller read too slowly."
    );
    metrics::describe_counter!(
        DROPPED_MESSAGES,
        Unit::Count,
        "Messages to another VM dropped from a full queue or grown too old."
    );
    metrics::describe_counter!(
        LOST_CONNECTIONS,
        Unit::Count,
        "Connections to another VM that were lost or could not be made."
    );
    metrics::describe_counter!(
        PAUSED_SENDS,
        Unit::Count,
        "Calls and orders not sent because the process had been paused."
    );
}

/// Records a measurement of the decision core.
pub fn record(measure: &event::Measure) {
    match measure {
        event::Measure::Queue { account, wait } => record_wait(QUEUE_WAIT, account, *wait),
        event::Measure::FirstToken { account, wait } => record_wait(FIRST_TOKEN, account, *wait),
        event::Measure::Ended { account, outcome, code, tokens } => {
            let account = account.as_ref().map_or("", ids::Account::as_str).to_owned();
            let code = code.map(|code| code.to_string()).unwrap_or_default();
            metrics::counter!(
                CALLS,
                "account" => account.clone(),
                "outcome" => outcome.to_string(),
                "code" => code,
            )
            .increment(1);
            metrics::counter!(TOKENS, "account" => account).increment(*tokens);
        }
    }
}

fn record_wait(name: &'static str, account: &ids::Account, wait: time::Duration) {
    metrics::histogram!(name, "account" => account.as_str().to_owned()).record(wait);
}

/// Sets a counter to the total that the decision core reports.
pub fn set_counter(name: &'static str, value: u64) {
    metrics::counter!(name).absolute(value);
}
