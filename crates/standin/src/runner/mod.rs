//! The model engine.
//!
//! - `POST /v1/chat/completions` in the `OpenAI` shape, whole or streamed,
//!   with the headers of [`engine::header`]. The text is that of
//!   [`crate::text`], `max_tokens` chunks long. A stream goes on while nobody
//!   listens and can be resumed until a minute after its end.
//! - `DELETE /v1/streams/STREAM` cancels a stream.
//! - `POST /orders` takes an [`engine::Order`], `GET /report` answers an
//!   [`engine::Report`] that lags behind.
//! - `GET /events?after=N` answers late [`crate::cache::Event`]s with gaps.
//! - On the control address: `GET /calls`, `GET /memory` ([`Memory`]) and
//!   `PUT /leaving` ([`Leaving`]).
//!
//! Timing is that of [`crate::batch`]. Memory is added up from the orders that
//! were taken: the engine never refuses an order for want of memory, but
//! remembers that it was overcommitted.

mod chat;
mod config;
mod memory;
mod order;
mod sse;
mod state;
mod stream;

use std::{sync, time};

pub use config::{Config, Resident};
pub use memory::Memory;

use crate::{Result, client, count, face, ledger, process};

/// How often the engine samples its report.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Longest wait of the engine's loop without a step to end.
const IDLE_WAIT: time::Duration = time::Duration::from_millis(250);

/// Body of `PUT /leaving` on the control address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Leaving {
    /// Whether the engine wants no new calls.
    pub leaving: bool,
}

/// Starts a model engine that holds what the settings say.
///
/// # Errors
///
/// An address cannot be bound.
///
/// # Panics
///
/// It is called outside a tokio runtime.
pub fn start(config: &Config) -> Result<process::Process> {
    let counts = sync::Arc::new(count::Counts::new());
    let runner = sync::Arc::new(Runner {
        config: config.clone(),
        state: sync::Mutex::new(state::State::new(config)),
        work: tokio::sync::Notify::new(),
        calls: ledger::Calls::default(),
        counts: sync::Arc::clone(&counts),
        client: client::Client::new(),
    });
    tokio::spawn(generate(sync::Arc::downgrade(&runner)));
    tokio::spawn(sample(sync::Arc::downgrade(&runner)));
    process::Process::start(config.addresses, &runner, &counts)
}

struct Runner {
    config: Config,
    state: sync::Mutex<state::State>,
    /// Wakes the engine's loop for new work.
    work: tokio::sync::Notify,
    calls: ledger::Calls,
    counts: sync::Arc<count::Counts>,
    client: client::Client,
}

impl process::Role for Runner {
    const NAME: &'static str = "runner";

    async fn serve(self: sync::Arc<Self>, request: face::Request) -> face::Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => chat::serve(&self, &request).await,
            ("DELETE", path) => match path.strip_prefix("/v1/streams/") {
                Some(stream) => self.cancel(stream),
                None => process::unknown_path(),
            },
            ("POST", "/orders") => order::serve(&self, &request),
            ("GET", "/report") => self.report(),
            ("GET", "/events") => self.events(&request),
            ("GET", "/healthz") => face::Reply::empty(http::StatusCode::OK),
            _ => process::unknown_path().with_header(engine::header::NOT_RUN, "1"),
        }
    }

    fn control(&self, request: &face::Request) -> Option<face::Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/calls") => Some(self.calls.reply()),
            ("GET", "/memory") => {
                let memory = self.lock().memory.gauge();
                Some(face::Reply::json(http::StatusCode::OK, &memory))
            }
            ("PUT", "/leaving") => Some(self.set_leaving(request)),
            _ => None,
        }
    }

    fn leave(&self) {
        self.lock().leaving = true;
    }
}

impl Runner {
    fn cancel(&self, stream: &str) -> face::Reply {
        let cancelled = self.lock().cancel(stream);
        if !cancelled {
            return face::Reply::error(http::StatusCode::NOT_FOUND, "not-found", "no such stream");
        }
        self.counts.add("cancelled");
        face::Reply::empty(http::StatusCode::NO_CONTENT)
    }

    fn report(&self) -> face::Reply {
        let lag = time::Duration::from_millis(self.config.report_lag_ms);
        let report = self.lock().lagging_report(lag);
        face::Reply::json(http::StatusCode::OK, &report)
    }

    fn events(&self, request: &face::Request) -> face::Reply {
        let after = request.parameter("after").unwrap_or("0").parse();
        let Ok(after) = after else {
            let message = "the parameter `after` must be a number";
            return face::Reply::error(http::StatusCode::BAD_REQUEST, "bad-request", message);
        };
        let lag = time::Duration::from_millis(self.config.event_lag_ms);
        let events = self.lock().published(after, lag);
        face::Reply::json(http::StatusCode::OK, &events)
    }

    fn set_leaving(&self, request: &face::Request) -> face::Reply {
        match serde_json::from_slice::<Leaving>(&request.body) {
            Ok(body) => {
                self.lock().leaving = body.leaving;
                face::Reply::empty(http::StatusCode::NO_CONTENT)
            }
            Err(error) => process::bad_body(&error),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Ends the engine's steps on time, for as long as the engine is there.
async fn generate(runner: sync::Weak<Runner>) {
    while let Some(runner) = runner.upgrade() {
        let wait = runner.lock().advance().unwrap_or(IDLE_WAIT);
        tokio::select! {
            () = tokio::time::sleep(wait.min(IDLE_WAIT)) => (),
            () = runner.work.notified() => (),
        }
    }
}

/// Samples the engine's report, for as long as the engine is there.
async fn sample(runner: sync::Weak<Runner>) {
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(runner) = runner.upgrade() else {
            return;
        };
        let lag = time::Duration::from_millis(runner.config.report_lag_ms);
        runner.lock().sample(lag);
    }
}
