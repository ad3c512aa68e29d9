//! The store: tables that are followed, and writes.

use std::{collections, sync, time};

use http_body_util::{BodyExt as _, Full, Limited};
use relay::{Input, input, target};
use tokio::sync::{Mutex, watch};

use crate::relay::{inbox, pool};

/// How long the store is asked to wait for changes that matter at once: an
/// answer that is later than this by [`ANSWER`] means that the connection has
/// gone silent.
const WAIT: time::Duration = time::Duration::from_secs(1);
/// How long the store is asked to wait for changes of the VMs' rows.
const OWN_WAIT: time::Duration = time::Duration::from_secs(8);
/// Longest wait for the store's answer, beyond what it was asked to wait.
const ANSWER: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a connection to the store.
const CONNECT: time::Duration = time::Duration::from_millis(500);
/// Least time between two questions for changes of a table, by how soon they
/// matter: a leaving target must be known within two seconds, a configuration too.
const TARGETS_EVERY: time::Duration = time::Duration::from_millis(400);
/// Likewise, for the configuration.
const CONFIG_EVERY: time::Duration = time::Duration::from_millis(200);
/// Likewise, for the VMs' rows and the planner's lease.
const OWN_EVERY: time::Duration = time::Duration::from_millis(300);
/// Wait after a failure, at first and at most.
const BACKOFF: std::ops::RangeInclusive<time::Duration> =
    time::Duration::from_millis(100)..=time::Duration::from_millis(800);
/// Failures of all questions for this long mean that the store is away.
const AWAY: time::Duration = time::Duration::from_millis(1_500);
/// Largest answer of the store, in bytes: a page has at most 1 MB.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

type Result<T, E = String> = std::result::Result<T, E>;

/// One kept connection to the store.
#[derive(Debug)]
struct Connection {
    address: sync::Arc<str>,
    sender: Option<pool::Sender>,
}

impl Connection {
    fn new(address: &sync::Arc<str>) -> Self {
        Self { address: sync::Arc::clone(address), sender: None }
    }

    /// Sends a request and returns status and body. After a failure, the next
    /// request gets a new connection.
    async fn ask(
        &mut self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        longest: time::Duration,
    ) -> Result<(u16, bytes::Bytes)> {
        let Some(mut sender) = self.sender().await? else {
            return Err("the connection was closed".to_owned());
        };
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, &*self.address)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|cause| cause.to_string())?;
        let asking = async {
            let response = sender.send_request(request).await.map_err(|cause| cause.to_string())?;
            let status = response.status().as_u16();
            let whole = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
            let body = whole.map_err(|cause| cause.to_string())?.to_bytes();
            Ok((status, body))
        };
        let answer: Result<_> = tokio::time::timeout(longest, asking)
            .await
            .unwrap_or_else(|_elapsed| Err(format!("no answer within {longest:?}")));
        let answer = answer?;
        self.sender = Some(sender);
        Ok(answer)
    }

    /// The kept connection, or a new one.
    async fn sender(&mut self) -> Result<Option<pool::Sender>> {
        if let Some(mut sender) = self.sender.take()
            && !sender.is_closed()
            && sender.ready().await.is_ok()
        {
            return Ok(Some(sender));
        }
        let connecting = tokio::time::timeout(CONNECT, pool::connect(&self.address)).await;
        let mut sender = connecting.map_err(|_elapsed| "connecting took too long".to_owned())??;
        Ok(sender.ready().await.is_ok().then_some(sender))
    }
}

/// Writes to the store.
#[derive(Clone, Debug)]
pub struct Writer {
    connection: sync::Arc<Mutex<Connection>>,
}

impl Writer {
    /// A writer to the store at `address`.
    #[must_use]
    pub fn new(address: &sync::Arc<str>) -> Self {
        Self { connection: sync::Arc::new(Mutex::new(Connection::new(address))) }
    }

    /// Makes one change.
    ///
    /// # Errors
    ///
    /// [`store::Fault`] if it was refused, or if what became of it is not known.
    pub async fn write(&self, write: &store::table::Write) -> store::Result<input::Written> {
        let body = platform::rows::transaction_body(write);
        let mut connection = self.connection.lock().await;
        let asked = connection
            .ask(http::Method::POST, platform::rows::TRANSACTION_PATH, body, ANSWER)
            .await;
        drop(connection);
        let (status, body) = asked.map_err(|reason| {
            store::Fault::new("write", &write.key, store::Kind::Unknown, &reason)
        })?;
        platform::rows::decode_written(&write.key, status, &body)
    }
}

/// What follows a table.
trait Follow: Send {
    /// The table.
    const TABLE: &'static str;
    /// Least time between two questions.
    const EVERY: time::Duration;
    /// How long the store is asked to wait for changes.
    const WAIT: time::Duration = WAIT;

    /// Takes in rows: all of them, or those that have changed.
    fn take(&mut self, page: platform::rows::Page, is_full: bool);
}

/// Whether the store answers, as far as one table shows.
#[derive(Debug)]
struct Presence {
    inbox: Option<inbox::Inbox>,
    failing: Option<time::Instant>,
    is_up: Option<bool>,
}

impl Presence {
    fn answered(&mut self) {
        self.failing = None;
        self.set(true);
    }

    fn failed(&mut self) {
        let since = *self.failing.get_or_insert_with(time::Instant::now);
        if since.elapsed() >= AWAY {
            self.set(false);
        }
    }

    fn set(&mut self, is_up: bool) {
        if self.is_up != Some(is_up) {
            self.is_up = Some(is_up);
            if let Some(inbox) = &self.inbox {
                inbox.send(Input::Store { is_up });
            }
        }
    }
}

async fn follow<F: Follow>(
    mut follower: F,
    address: sync::Arc<str>,
    mut presence: Presence,
    mut gate: watch::Receiver<bool>,
) {
    let mut connection = Connection::new(&address);
    let mut backoff = *BACKOFF.start();
    let mut known: Option<ids::Version> = None;
    loop {
        if !*gate.borrow() {
            // The table is shorter than its changes of a long time.
            known = None;
            if gate.wait_for(|is_open| *is_open).await.is_err() {
                return;
            }
        }
        let asked = time::Instant::now();
        let step = match known {
            None => read(&mut connection, F::TABLE).await.map(|page| {
                let version = page.version;
                follower.take(page, true);
                Some(version)
            }),
            Some(version) => {
                let page = changes(&mut connection, F::TABLE, version, F::WAIT).await;
                page.map(|page| {
                    let mut page = page?;
                    page.version = page.version.max(version);
                    let version = page.version;
                    follower.take(page, false);
                    Some(version)
                })
            }
        };
        match step {
            Ok(version) => {
                presence.answered();
                backoff = *BACKOFF.start();
                if version.is_none() {
                    tracing::info!(step = "store", peer = F::TABLE, "history gone, reading anew");
                }
                known = version;
                tokio::time::sleep(F::EVERY.saturating_sub(asked.elapsed())).await;
            }
            Err(reason) => {
                presence.failed();
                tracing::debug!(step = "store", peer = F::TABLE, reason, "not read");
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(*BACKOFF.end());
            }
        }
    }
}

/// Reads a whole table, as one page.
async fn read(connection: &mut Connection, table: &str) -> Result<platform::rows::Page> {
    let mut whole: Option<platform::rows::Page> = None;
    loop {
        let last = whole.as_ref().and_then(|page| page.rows.last());
        let after = last.map(|row| sync::Arc::clone(&row.key));
        let path = platform::rows::read_path(table, after.as_deref());
        let (status, body) = connection.ask(http::Method::GET, &path, Vec::new(), ANSWER).await?;
        if status != http::StatusCode::OK {
            return Err(format!("status {status}"));
        }
        let page = decode_page(table, &body)?;
        let is_last = !page.has_more || page.rows.is_empty();
        // Changes are followed from the first page on.
        let read = match whole.take() {
            Some(mut read) => {
                read.rows.extend(page.rows);
                read
            }
            None => page,
        };
        if is_last {
            return Ok(read);
        }
        whole = Some(read);
    }
}

/// Waits for changes of a table; none if its history is gone.
async fn changes(
    connection: &mut Connection,
    table: &str,
    version: ids::Version,
    wait: time::Duration,
) -> Result<Option<platform::rows::Page>> {
    let path = platform::rows::watch_path(table, version, wait);
    let (status, body) =
        connection.ask(http::Method::GET, &path, Vec::new(), wait + ANSWER).await?;
    if status == platform::rows::HISTORY_EXPIRED_STATUS {
        return Ok(None);
    }
    if status != http::StatusCode::OK {
        return Err(format!("status {status}"));
    }
    decode_page(table, &body).map(Some)
}

/// Decodes an answer; rows that are left out are told.
fn decode_page(table: &str, body: &[u8]) -> Result<platform::rows::Page> {
    let page = platform::rows::decode_page(table, body).map_err(|fault| fault.to_string())?;
    for fault in &page.faults {
        tracing::warn!(step = "store", peer = table, %fault, "row left out");
    }
    Ok(page)
}

/// Follows the operator's configuration.
struct Config {
    inbox: inbox::Inbox,
}

impl Follow for Config {
    const TABLE: &'static str = platform::config::TABLE;
    const EVERY: time::Duration = CONFIG_EVERY;

    fn take(&mut self, page: platform::rows::Page, _is_full: bool) {
        let newest = page.rows.into_iter().rfind(|row| &*row.key == platform::config::KEY);
        if let Some(text) = newest.and_then(|row| row.value) {
            decode(&self.inbox, text);
        }
    }
}

/// Decodes a configuration and gives it to the core.
pub fn decode(inbox: &inbox::Inbox, text: sync::Arc<str>) {
    match platform::config::decode(&text) {
        Ok(decoded) => {
            for fault in decoded.faults {
                tracing::warn!(step = "config", peer = "op/config", %fault, "left out");
            }
            let config = sync::Arc::new(decoded.config);
            inbox.send(Input::Config { text, config });
        }
        Err(fault) => tracing::warn!(step = "config", peer = "op/config", %fault, "not read"),
    }
}

/// Follows the targets.
struct Targets {
    inbox: inbox::Inbox,
}

impl Follow for Targets {
    const TABLE: &'static str = platform::entry::TABLE;
    const EVERY: time::Duration = TARGETS_EVERY;

    fn take(&mut self, page: platform::rows::Page, is_full: bool) {
        let platform::rows::Page { rows, version, .. } = page;
        if rows.is_empty() && !is_full {
            self.inbox.send(Input::Unchanged);
            return;
        }
        let changes = rows.into_iter().map(|row| {
            let decode = |text: &sync::Arc<str>| match platform::entry::decode(&row.key, text) {
                Ok(entry) => Some(entry),
                Err(fault) => {
                    tracing::warn!(step = "target", peer = %row.key, %fault, "not used");
                    None
                }
            };
            let entry = row.value.as_ref().and_then(decode);
            target::Change { target: (*row.key).into(), version: row.version, entry }
        });
        let changes = changes.collect();
        self.inbox.send(Input::Targets(input::Targets { is_full, version, changes }));
    }
}

/// Follows the rows of the VMs.
struct Members {
    inbox: inbox::Inbox,
    rows: collections::BTreeMap<sync::Arc<str>, store::table::Row>,
}

impl Follow for Members {
    const TABLE: &'static str = platform::rows::SYSTEM_TABLE;
    const EVERY: time::Duration = OWN_EVERY;
    const WAIT: time::Duration = OWN_WAIT;

    fn take(&mut self, page: platform::rows::Page, is_full: bool) {
        if is_full {
            self.rows.clear();
        }
        for row in page.rows {
            let key = sync::Arc::clone(&row.key);
            match row.into_table_row() {
                Some(row) => self.rows.insert(key, row),
                None => self.rows.remove(&key),
            };
        }
        let members = self.rows.values().filter(|row| row.key.starts_with(relay::MEMBER_PREFIX));
        let members = members
            .filter_map(|row| match serde_json::from_str(&row.value) {
                Ok(member) => Some(member),
                Err(cause) => {
                    tracing::warn!(step = "peer", peer = %row.key, %cause, "not used");
                    None
                }
            })
            .collect();
        self.inbox.send(Input::Members(members));
    }
}

/// Follows the planner's lease.
struct Lease {
    inbox: inbox::Inbox,
}

impl Follow for Lease {
    const TABLE: &'static str = platform::rows::LEASE_TABLE;
    const EVERY: time::Duration = OWN_EVERY;

    fn take(&mut self, page: platform::rows::Page, is_full: bool) {
        let clock_ms = page.clock_ms;
        let row = page.rows.into_iter().rfind(|row| &*row.key == relay::lease::KEY);
        if row.is_some() || is_full {
            let row = row.and_then(platform::rows::Row::into_table_row);
            self.inbox.send(Input::Lease { row, clock_ms });
        }
    }
}

/// Opens and closes the ways from the store's tables.
#[derive(Debug)]
pub struct Gates {
    reader: watch::Sender<bool>,
    lease: watch::Sender<bool>,
    /// The VMs' rows are always followed.
    _members: watch::Sender<bool>,
}

impl Gates {
    /// Follows these tables, and no others.
    pub fn set(&self, follow: relay::output::Follow) {
        self.reader.send_replace(follow.is_reader);
        self.lease.send_replace(follow.watches_lease);
    }
}

/// Follows the tables for as long as the process runs, as far as the gates are open.
#[must_use]
pub fn start(address: &sync::Arc<str>, inbox: &inbox::Inbox) -> Gates {
    let quiet = || Presence { inbox: None, failing: None, is_up: None };
    let telling = Presence { inbox: Some(inbox.clone()), ..quiet() };
    let (reader, reads) = watch::channel(true);
    let (lease, watches) = watch::channel(true);
    let (members, always) = watch::channel(true);
    let address = || sync::Arc::clone(address);
    tokio::spawn(follow(Config { inbox: inbox.clone() }, address(), quiet(), reads.clone()));
    tokio::spawn(follow(Targets { inbox: inbox.clone() }, address(), telling, reads));
    tokio::spawn(follow(Lease { inbox: inbox.clone() }, address(), quiet(), watches));
    let rows = collections::BTreeMap::new();
    tokio::spawn(follow(Members { inbox: inbox.clone(), rows }, address(), quiet(), always));
    Gates { reader, lease, _members: members }
}
