//! The transactional table service.
//!
//! The protocol is that of [`store::table`]. Reads and transactions above
//! the limits are refused with status 503; a transaction counts once, however
//! many rows it changes.

use std::{collections, sync, time};

use store::{memory, table};

use crate::{Result, count, face, process};

/// How long unused rate is kept for a burst, in seconds.
const BURST_SECONDS: f64 = 0.25;

/// Settings of a table service.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub addresses: process::Addresses,
    /// Transactions a second.
    #[arg(long, default_value_t = 400)]
    pub writes_per_second: u32,
    /// Reads and scans a second.
    #[arg(long, default_value_t = 2000)]
    pub reads_per_second: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            addresses: process::Addresses::default(),
            writes_per_second: 400,
            reads_per_second: 2000,
        }
    }
}

/// Starts a table service without rows.
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
    let role = sync::Arc::new(Table {
        rows: sync::Mutex::default(),
        reads: Limit::new(config.reads_per_second),
        writes: Limit::new(config.writes_per_second),
        counts: sync::Arc::clone(&counts),
    });
    process::Process::start(config.addresses, &role, &counts)
}

struct Table {
    rows: sync::Mutex<memory::Table>,
    reads: Limit,
    writes: Limit,
    counts: sync::Arc<count::Counts>,
}

impl process::Role for Table {
    const NAME: &'static str = "table";

    async fn serve(self: sync::Arc<Self>, request: face::Request) -> face::Reply {
        if (request.method.as_str(), request.path.as_str()) != ("POST", "/table") {
            return process::unknown_path();
        }
        match serde_json::from_slice(&request.body) {
            Ok(request) => self.answer(&request),
            Err(error) => process::bad_body(&error),
        }
    }

    fn control(&self, request: &face::Request) -> Option<face::Reply> {
        if (request.method.as_str(), request.path.as_str()) != ("GET", "/rows") {
            return None;
        }
        let rows: Vec<table::Row> = self.lock().rows().cloned().collect();
        Some(face::Reply::json(http::StatusCode::OK, &rows))
    }
}

impl Table {
    fn answer(&self, request: &table::Request) -> face::Reply {
        let (limit, counter) = match request {
            table::Request::Write { .. } => (&self.writes, "writes"),
            table::Request::Get { .. } | table::Request::Scan { .. } => (&self.reads, "reads"),
        };
        if !limit.take() {
            self.counts.add("refused");
            let status = http::StatusCode::SERVICE_UNAVAILABLE;
            return face::Reply::error(status, "refused", "above the rate of the table service");
        }
        self.counts.add(counter);
        if let Some(key) = doubled(request) {
            let message = format!("row {key} is changed twice in one transaction");
            return face::Reply::error(http::StatusCode::BAD_REQUEST, "bad-request", &message);
        }
        let answer = self.lock().answer(request);
        if matches!(answer, table::Answer::Conflict { .. }) {
            self.counts.add("conflicts");
        }
        face::Reply::json(http::StatusCode::OK, &answer)
    }

    fn lock(&self) -> sync::MutexGuard<'_, memory::Table> {
        self.rows.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The first row that a transaction changes twice, if there is one.
fn doubled(request: &table::Request) -> Option<&str> {
    let table::Request::Write { writes } = request else {
        return None;
    };
    let mut seen = collections::BTreeSet::new();
    writes.iter().map(|write| &*write.key).find(|key| !seen.insert(*key))
}

/// A rate with a short burst.
struct Limit {
    per_second: f64,
    state: sync::Mutex<(time::Instant, f64)>,
}

impl Limit {
    fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            state: sync::Mutex::new((time::Instant::now(), Self::burst(per_second))),
        }
    }

    fn burst(per_second: f64) -> f64 {
        (per_second * BURST_SECONDS).max(1.0)
    }

    fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let now = time::Instant::now();
        let refill = now.duration_since(state.0).as_secs_f64() * self.per_second;
        let level = (state.1 + refill).min(Self::burst(self.per_second));
        let taken = level >= 1.0;
        *state = (now, if taken { level - 1.0 } else { level });
        taken
    }
}
