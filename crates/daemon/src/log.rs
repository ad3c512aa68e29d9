//! Set-up of the log, which goes to the standard error stream, or bounded to the
//! standard output.

use std::{io, time};

use tracing_appender::non_blocking;

use crate::{relay::metric, settings};

/// Sends log lines to the standard error stream as the settings say.
///
/// A second call has no effect.
pub fn start(log: &settings::Log) {
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter(log.level)).with_writer(io::stderr);
    let started = match log.format {
        settings::Format::Human => builder.with_ansi(false).try_init(),
        settings::Format::Json => builder.json().flatten_event(true).try_init(),
    };
    if let Err(cause) = started {
        tracing::debug!(%cause, "the log was already set up");
    }
}

/// Libraries log each connection at INFO; only changes of state are wanted.
fn filter(level: settings::Level) -> tracing_subscriber::EnvFilter {
    let level = match level {
        settings::Level::Error => tracing::Level::ERROR,
        settings::Level::Warn => tracing::Level::WARN,
        settings::Level::Info => tracing::Level::INFO,
        settings::Level::Debug => tracing::Level::DEBUG,
    };
    tracing_subscriber::EnvFilter::new(format!("warn,daemon={level}"))
}

/// The lines that wait for the standard output.
#[derive(Clone, Debug)]
pub struct Writer {
    dropped: non_blocking::ErrorCounter,
    _guard: std::sync::Arc<non_blocking::WorkerGuard>,
}

impl Writer {
    /// Publishes how many lines were dropped, for as long as the process runs.
    pub async fn publish_dropped_lines(self, every: time::Duration) {
        loop {
            tokio::time::sleep(every).await;
            let dropped = u64::try_from(self.dropped.dropped_lines()).unwrap_or(u64::MAX);
            metrics::counter!(metric::LINES).absolute(dropped);
        }
    }
}

/// Sends log lines as JSON to the standard output. At most `most` lines wait;
/// further ones are dropped and counted, so that nobody waits for the output.
pub fn start_bounded(level: settings::Level, most: usize) -> Writer {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(most)
        .lossy(true)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt().with_env_filter(filter(level)).with_writer(writer);
    if let Err(cause) = builder.json().flatten_event(true).try_init() {
        tracing::debug!(%cause, "the log was already set up");
    }
    Writer { dropped, _guard: std::sync::Arc::new(guard) }
}
