//! The transactional table service.
//!
//! The protocol is that of [`platform::table`]. Reads and transactions above
//! the limits are refused with status 503; a transaction counts once, however
//! many rows it changes.

use std::{collections, sync, time};

use platform::table;

use crate::{Result, count, face, process};

/// How long unused rate is kept for a burst, in seconds.
const BURST_SECONDS: f64 = 0.25;

/// Settings of a table service.
#[derive(Clone, Debug, clap::Args)]
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

type Rows = collections::BTreeMap<sync::Arc<str>, table::Row>;

struct Table {
    rows: sync::Mutex<Rows>,
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
        let rows: Vec<table::Row> = self.lock().values().cloned().collect();
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
        let mut rows = self.lock();
        match apply(&mut rows, request) {
            Ok(answer) => {
                if matches!(answer, table::Answer::Conflict { .. }) {
                    self.counts.add("conflicts");
                }
                face::Reply::json(http::StatusCode::OK, &answer)
            }
            Err(Doubled(key)) => {
                let message = format!("row {key} is changed twice in one transaction");
                face::Reply::error(http::StatusCode::BAD_REQUEST, "bad-request", &message)
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A transaction changes one row twice.
struct Doubled(sync::Arc<str>);

fn apply(rows: &mut Rows, request: &table::Request) -> Result<table::Answer, Doubled> {
    match request {
        table::Request::Get { key } => Ok(table::Answer::Row(rows.get(key).cloned())),
        table::Request::Scan { prefix, after, limit } => {
            Ok(scan(rows, prefix, after.as_ref(), *limit))
        }
        table::Request::Write { writes } => write(rows, writes),
    }
}

fn scan(
    rows: &Rows,
    prefix: &sync::Arc<str>,
    after: Option<&sync::Arc<str>>,
    limit: usize,
) -> table::Answer {
    let from = after.map_or(prefix, |after| after.max(prefix));
    let found = rows
        .range(sync::Arc::clone(from)..)
        .filter(|(key, _)| after.is_none_or(|after| *key > after))
        .take_while(|(key, _)| key.starts_with(&**prefix))
        .take(limit)
        .map(|(_, row)| row.clone())
        .collect();
    table::Answer::Rows(found)
}

fn write(rows: &mut Rows, writes: &[table::Write]) -> Result<table::Answer, Doubled> {
    let mut seen = collections::BTreeSet::new();
    for write in writes {
        if !seen.insert(&write.key) {
            return Err(Doubled(sync::Arc::clone(&write.key)));
        }
    }
    let conflicts: Vec<table::Conflict> = writes
        .iter()
        .filter(|write| rows.get(&write.key).map(|row| row.version) != write.expect)
        .map(|write| table::Conflict {
            key: sync::Arc::clone(&write.key),
            row: rows.get(&write.key).cloned(),
        })
        .collect();
    if !conflicts.is_empty() {
        return Ok(table::Answer::Conflict { rows: conflicts });
    }
    for write in writes {
        change(rows, write);
    }
    Ok(table::Answer::Written)
}

fn change(rows: &mut Rows, write: &table::Write) {
    let Some(value) = &write.value else {
        rows.remove(&write.key);
        return;
    };
    let row = table::Row {
        key: sync::Arc::clone(&write.key),
        version: write.expect.unwrap_or_default().next(),
        value: sync::Arc::clone(value),
    };
    rows.insert(sync::Arc::clone(&write.key), row);
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
