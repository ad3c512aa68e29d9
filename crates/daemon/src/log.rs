//! Set-up of the log, which goes to the standard error stream.

use std::io;

use crate::settings;

/// Sends log lines to the standard error stream as the settings say.
///
/// A second call has no effect.
pub fn start(log: &settings::Log) {
    let level = match log.level {
        settings::Level::Error => tracing::Level::ERROR,
        settings::Level::Warn => tracing::Level::WARN,
        settings::Level::Info => tracing::Level::INFO,
        settings::Level::Debug => tracing::Level::DEBUG,
    };
    // Libraries log each connection at INFO; only changes of state are wanted.
    let filter = tracing_subscriber::EnvFilter::new(format!("warn,daemon={level}"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    let started = match log.format {
        settings::Format::Human => builder.with_ansi(false).try_init(),
        settings::Format::Json => builder.json().flatten_event(true).try_init(),
    };
    if let Err(cause) = started {
        tracing::debug!(%cause, "the log was already set up");
    }
}
