//! Set-up of the log, which goes to standard error, or through a bounded queue to
//! standard output.

use std::{io, time};

use tracing_appender::non_blocking;

use crate::{relay::metric, settings};

/// Starts logging to standard error with the level and format of the settings.
///
/// A second call has no effect.
pub fn start(log: &settings::Log) {
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter(log.level)).with_writer(io::stderr);
    let installed = match log.format {
        settings::Format::Human => builder.with_ansi(false).try_init(),
        settings::Format::Json => builder.json().flatten_event(true).try_init(),
    };
    if let Err(cause) = installed {
        tracing::debug!(%cause, "a logger is already installed; keeping it");
    }
}

/// Returns a filter with `level` for this crate and WARN for libraries, which log
/// every connection at INFO.
fn filter(level: settings::Level) -> tracing_subscriber::EnvFilter {
    let level = match level {
        settings::Level::Error => tracing::Level::ERROR,
        settings::Level::Warn => tracing::Level::WARN,
        settings::Level::Info => tracing::Level::INFO,
        settings::Level::Debug => tracing::Level::DEBUG,
    };
    tracing_subscriber::EnvFilter::new(format!("warn,daemon={level}"))
}

/// The bounded queue of log lines for standard output. The writer thread runs
/// until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Writer {
    dropped: non_blocking::ErrorCounter,
    _guard: std::sync::Arc<non_blocking::WorkerGuard>,
}

impl Writer {
    /// Publishes the number of dropped lines as a metric once per `interval`; does
    /// not return.
    pub async fn publish_dropped_lines(self, interval: time::Duration) {
        loop {
            tokio::time::sleep(interval).await;
            let dropped = u64::try_from(self.dropped.dropped_lines()).unwrap_or(u64::MAX);
            metrics::counter!(metric::DROPPED_LOG_LINES).absolute(dropped);
        }
    }
}

/// Starts logging JSON lines to standard output. At most `max_lines` lines are
/// queued; further ones are dropped and counted, so that logging never blocks on
/// a slow reader.
pub fn start_bounded(level: settings::Level, max_lines: usize) -> Writer {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(max_lines)
        .lossy(true)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt().with_env_filter(filter(level)).with_writer(writer);
    if let Err(cause) = builder.json().flatten_event(true).try_init() {
        tracing::debug!(%cause, "a logger is already installed; keeping it");
    }
    Writer { dropped, _guard: std::sync::Arc::new(guard) }
}
