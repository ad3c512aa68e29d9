//! A plain service: the booking and lookup desk.
//!
//! A `GET` of any path is a lookup, which is idempotent; a `POST` to any path
//! makes a new record, such as a booking or an order, each time it runs.
//! `GET /calls` on the control address lists every call begun, and the counters
//! are named by method and first segment of the path, as in `POST /bookings`.

use std::sync;

use crate::{Result, count, face, ledger, process};

/// Settings of a plain service.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub addresses: process::Addresses,
    /// Name of the instance, told in each answer.
    #[arg(long, default_value = "desk-1")]
    pub name: String,
}

impl Default for Config {
    fn default() -> Self {
        Self { addresses: process::Addresses::default(), name: "desk-1".to_owned() }
    }
}

/// Starts a plain service without bookings.
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
    let role = sync::Arc::new(Desk {
        name: config.name.clone(),
        calls: ledger::Calls::default(),
        counts: sync::Arc::clone(&counts),
    });
    process::Process::start(config.addresses, &role, &counts)
}

struct Desk {
    name: String,
    calls: ledger::Calls,
    counts: sync::Arc<count::Counts>,
}

impl process::Role for Desk {
    const NAME: &'static str = "service";

    async fn serve(self: sync::Arc<Self>, request: face::Request) -> face::Reply {
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => return face::Reply::empty(http::StatusCode::OK),
            ("GET", _) => self.lookup(&request),
            ("POST", _) => self.record(&request),
            _ => return process::unknown_path().with_header(engine::header::NOT_RUN, "1"),
        };
        let attempt = request.header(engine::header::CALL).unwrap_or_default();
        reply.with_header(engine::header::CALL, attempt)
    }

    fn control(&self, request: &face::Request) -> Option<face::Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/calls") => Some(self.calls.reply()),
            _ => None,
        }
    }
}

impl Desk {
    fn lookup(&self, request: &face::Request) -> face::Reply {
        self.calls.begin(request);
        self.counts.add(&counter(request));
        let found = serde_json::json!({
            "lookup": request.path,
            "query": request.query,
            "found": true,
            "served_by": self.name,
        });
        face::Reply::json(http::StatusCode::OK, &found)
    }

    fn record(&self, request: &face::Request) -> face::Reply {
        let number = self.calls.begin(request);
        self.counts.add(&counter(request));
        let record = serde_json::json!({
            "kind": first_segment(&request.path),
            "number": format!("{}-{number:06}", self.name),
            "idempotency_key": request.header("idempotency-key"),
            "body_digest": ids::Digest::of(&request.body),
            "served_by": self.name,
        });
        face::Reply::json(http::StatusCode::CREATED, &record)
    }
}

/// Name of the counter for requests of this method under this path.
fn counter(request: &face::Request) -> String {
    format!("{} /{}", request.method, first_segment(&request.path))
}

fn first_segment(path: &str) -> &str {
    path.split('/').nth(1).unwrap_or_default()
}
