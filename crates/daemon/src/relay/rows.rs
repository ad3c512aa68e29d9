//! Follows the tables of the store.

use std::{collections, sync, time};

use relay::{Input, input, membership, target};
use tokio::sync::watch;

use crate::relay::{connection, inbox};

/// How long the store is asked to hold a long poll for urgent changes. No answer
/// within this time plus [`connection::ANSWER_TIMEOUT`] means that the connection is dead.
const LONG_POLL_WAIT: time::Duration = time::Duration::from_secs(1);
/// How long the store is asked to hold a long poll for changes of the VMs' rows.
const MEMBERS_LONG_POLL_WAIT: time::Duration = time::Duration::from_secs(8);
/// Minimum interval between two polls of the targets, and between a change and the next poll.
/// A target that leaves, like a new configuration, must be known within two seconds.
const TARGETS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Minimum interval between two polls of the configuration.
const CONFIG_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Minimum interval between two polls of the VMs' rows or of the planner's lease.
const SYSTEM_POLL_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Initial and maximum backoff after a failure.
const BACKOFF: std::ops::RangeInclusive<time::Duration> =
    time::Duration::from_millis(100)..=time::Duration::from_millis(800);
/// The store counts as unavailable once polls have failed without a success for this long.
const STORE_DOWN_AFTER: time::Duration = time::Duration::from_millis(1_500);

type Result<T> = connection::Result<T>;

/// Follows one table of the store.
trait Follow: Send {
    /// Name of the table.
    const TABLE: &'static str;
    /// The table, if it is read for all VMs.
    const SHARED: Option<input::Table>;
    /// Minimum interval between two polls, and between a change and the next poll.
    const POLL_INTERVAL: time::Duration;
    /// How long the store is asked to hold a long poll.
    const LONG_POLL_WAIT: time::Duration = LONG_POLL_WAIT;

    /// Applies a page: the whole table if `is_full`, else the changed rows.
    fn apply(&mut self, page: platform::rows::Page, is_full: bool);
}

/// Tracks whether the store answers the polls of one table, and tells the core.
#[derive(Debug)]
struct Availability {
    inbox: inbox::Inbox,
    /// Name of the table.
    table: &'static str,
    shared: Option<input::Table>,
    failing_since: Option<time::Instant>,
    is_up: Option<bool>,
}

impl Availability {
    fn new<F: Follow>(inbox: &inbox::Inbox) -> Self {
        let (table, shared) = (F::TABLE, F::SHARED);
        Self { inbox: inbox.clone(), table, shared, failing_since: None, is_up: None }
    }

    fn record_success(&mut self) {
        if let Some(table) = self.shared {
            self.inbox.send(Input::Read(table));
        }
        if let Some(since) = self.failing_since.take()
            && self.is_up == Some(false)
        {
            let away_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            tracing::info!(step = "store", peer = self.table, outcome = "read again", away_ms);
        }
        self.update(true);
    }

    fn record_failure(&mut self, reason: &str) {
        let failing_since = *self.failing_since.get_or_insert_with(time::Instant::now);
        if failing_since.elapsed() >= STORE_DOWN_AFTER {
            if self.is_up != Some(false) {
                tracing::warn!(step = "store", peer = self.table, outcome = "not read", reason);
            }
            self.update(false);
        }
    }

    /// The targets stand for the store: entries that lapsed while it was away come back.
    fn update(&mut self, is_up: bool) {
        if self.is_up.replace(is_up) != Some(is_up) && self.shared == Some(input::Table::Targets) {
            self.inbox.send(Input::Store { is_up });
        }
    }
}

/// Spawns a task that follows a table while `enabled`.
fn spawn<F: Follow + 'static>(
    follower: F,
    connection: connection::Connection,
    inbox: &inbox::Inbox,
    enabled: watch::Receiver<bool>,
) {
    let availability = Availability::new::<F>(inbox);
    tokio::spawn(follow(follower, connection, availability, enabled));
}

async fn follow<F: Follow>(
    mut follower: F,
    mut connection: connection::Connection,
    mut availability: Availability,
    mut enabled: watch::Receiver<bool>,
) {
    let mut backoff = *BACKOFF.start();
    let mut known: Option<ids::Revision> = None;
    loop {
        if !*enabled.borrow() {
            // After a long pause the table is smaller than its changes, so it is read anew.
            known = None;
            if enabled.wait_for(|is_enabled| *is_enabled).await.is_err() {
                return;
            }
        }
        let started = time::Instant::now();
        let era = connection.era.clone();
        let current = era.get();
        // What was read in an earlier era is not what the store's changes start from.
        known = known.filter(|revision| revision.era() == current);
        let result = match known {
            None => read_table(&mut connection, F::TABLE).await.map(Some),
            Some(known) => tokio::select! {
                result = poll(&mut connection, F::TABLE, known, F::LONG_POLL_WAIT) => result,
                () = era.ended(current) => {
                    tracing::info!(
                        step = "store",
                        peer = F::TABLE,
                        "the store has come back from a copy; reading the whole table"
                    );
                    continue;
                }
            },
        };
        match result {
            // Read just before the era ended.
            Ok(Some(page)) if page.revision.era() < era.get() => {}
            Ok(page) => {
                availability.record_success();
                backoff = *BACKOFF.start();
                let has_changes = page.as_ref().is_some_and(|page| !page.rows.is_empty());
                let is_full = known.is_none();
                known = page.as_ref().map(|page| page.revision);
                if let Some(page) = page {
                    follower.apply(page, is_full);
                } else {
                    tracing::info!(
                        step = "store",
                        peer = F::TABLE,
                        "the store does not have the changes; reading the whole table"
                    );
                }
                let pause = pause(F::POLL_INTERVAL, started.elapsed(), has_changes || is_full);
                tokio::time::sleep(pause).await;
            }
            Err(reason) => {
                availability.record_failure(&reason);
                tracing::debug!(
                    step = "store",
                    peer = F::TABLE,
                    reason,
                    "cannot read the table; retrying after the backoff"
                );
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(*BACKOFF.end());
            }
        }
    }
}

/// Returns how long to wait after an answer until the next poll of a table, which took
/// `elapsed`. After changes it is the whole interval, however long they took to come: rows that
/// are rewritten again and again are then read together rather than one by one.
fn pause(interval: time::Duration, elapsed: time::Duration, has_changes: bool) -> time::Duration {
    if has_changes { interval } else { interval.saturating_sub(elapsed) }
}

/// Reads a whole table and joins its pages into one.
async fn read_table(
    connection: &mut connection::Connection,
    table: &str,
) -> Result<platform::rows::Page> {
    let mut whole: Option<platform::rows::Page> = None;
    loop {
        let last = whole.as_ref().and_then(|page| page.rows.last());
        let after = last.map(|row| sync::Arc::clone(&row.key));
        let path = platform::rows::read_path(table, after.as_deref());
        let connection::Answer { status, era, body } = connection
            .request(http::Method::GET, &path, Vec::new(), connection::ANSWER_TIMEOUT)
            .await?;
        if status != http::StatusCode::OK {
            return Err(format!("status {status}"));
        }
        let page = decode_page(table, era, &body)?;
        if whole.as_ref().is_some_and(|read| read.revision.era() != era) {
            return Err("the store has come back from a copy between two pages".to_owned());
        }
        let is_last = !page.has_more || page.rows.is_empty();
        // Keeps the revision of the first page, so that later changes are not missed.
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

/// Polls for changes of a table after `known`. Returns `None` if the store does not have them.
async fn poll(
    connection: &mut connection::Connection,
    table: &str,
    known: ids::Revision,
    wait: time::Duration,
) -> Result<Option<platform::rows::Page>> {
    let path = platform::rows::watch_path(table, known.version(), wait);
    let connection::Answer { status, era, body } = connection
        .request(http::Method::GET, &path, Vec::new(), wait + connection::ANSWER_TIMEOUT)
        .await?;
    if status == platform::rows::HISTORY_EXPIRED_STATUS {
        return Ok(None);
    }
    if status != http::StatusCode::OK {
        return Err(format!("status {status}"));
    }
    if era != known.era() {
        return Ok(None);
    }
    let page = decode_page(table, era, &body)?;
    Ok(Some(platform::rows::Page { revision: page.revision.max(known), ..page }))
}

/// Decodes a page and logs the rows that cannot be decoded.
fn decode_page(table: &str, era: ids::Era, body: &[u8]) -> Result<platform::rows::Page> {
    let page = platform::rows::decode_page(table, era, body).map_err(|fault| fault.to_string())?;
    for fault in &page.faults {
        tracing::warn!(
            step = "store",
            peer = table,
            %fault,
            "ignoring a row that cannot be decoded"
        );
    }
    Ok(page)
}

/// Follows the operator's configuration, and which data centres are drained.
struct Config {
    inbox: inbox::Inbox,
    evacuations: platform::evacuation::Rows,
}

impl Follow for Config {
    const TABLE: &'static str = platform::config::TABLE;
    const SHARED: Option<input::Table> = Some(input::Table::Config);
    const POLL_INTERVAL: time::Duration = CONFIG_POLL_INTERVAL;

    fn apply(&mut self, page: platform::rows::Page, is_full: bool) {
        // Before the configuration: a VM that starts serves calls as soon as it has one.
        self.apply_evacuations(&page, is_full);
        let newest = page.rows.into_iter().rfind(|row| &*row.key == platform::config::KEY);
        if let Some(text) = newest.and_then(|row| row.value) {
            decode_config(&self.inbox, text);
        }
    }
}

impl Config {
    fn apply_evacuations(&mut self, page: &platform::rows::Page, is_full: bool) {
        let change = self.evacuations.apply(&page.rows, is_full);
        for fault in change.faults {
            tracing::warn!(step = "evacuation", %fault, "a drain's row is not as expected");
        }
        for centre in change.missed {
            tracing::info!(
                step = "evacuation",
                peer = centre.as_str(),
                outcome = "written and removed between two reads",
            );
        }
        if let Some(centres) = change.centres {
            self.inbox.send(Input::Evacuations { revision: page.revision, centres });
        }
    }
}

/// Decodes a configuration and sends it to the core. Logs faults; a text that
/// cannot be read leaves the previous configuration in force.
pub fn decode_config(inbox: &inbox::Inbox, text: sync::Arc<str>) {
    match platform::config::decode(&text) {
        Ok(decoded) => {
            for fault in decoded.faults {
                tracing::warn!(
                    step = "config",
                    peer = "op/config",
                    %fault,
                    "ignoring an invalid part of the configuration"
                );
            }
            let config = sync::Arc::new(decoded.config);
            inbox.send(Input::Config { text, config });
        }
        Err(fault) => tracing::warn!(
            step = "config",
            peer = "op/config",
            %fault,
            "cannot decode the configuration; keeping the previous one"
        ),
    }
}

/// Follows the targets.
struct Targets {
    inbox: inbox::Inbox,
}

impl Follow for Targets {
    const TABLE: &'static str = platform::entry::TABLE;
    const SHARED: Option<input::Table> = Some(input::Table::Targets);
    const POLL_INTERVAL: time::Duration = TARGETS_POLL_INTERVAL;

    fn apply(&mut self, page: platform::rows::Page, is_full: bool) {
        let platform::rows::Page { rows, revision, .. } = page;
        if rows.is_empty() && !is_full {
            return;
        }
        let changes = rows.into_iter().map(|row| {
            let decode = |text: &sync::Arc<str>| match platform::entry::decode(&row.key, text) {
                Ok(entry) => Some(entry),
                Err(fault) => {
                    tracing::warn!(
                        step = "target",
                        peer = %row.key,
                        %fault,
                        "ignoring a target that cannot be decoded"
                    );
                    None
                }
            };
            let entry = row.value.as_ref().and_then(decode);
            target::Change { target: (*row.key).into(), revision: row.revision, entry }
        });
        let changes = changes.collect();
        self.inbox.send(Input::Targets(input::Targets { is_full, revision, changes }));
    }
}

/// Follows the rows of the VMs.
struct Members {
    inbox: inbox::Inbox,
    rows: collections::BTreeMap<sync::Arc<str>, store::table::Row>,
}

impl Follow for Members {
    const TABLE: &'static str = platform::rows::SYSTEM_TABLE;
    const SHARED: Option<input::Table> = Some(input::Table::Members);
    const POLL_INTERVAL: time::Duration = SYSTEM_POLL_INTERVAL;
    const LONG_POLL_WAIT: time::Duration = MEMBERS_LONG_POLL_WAIT;

    fn apply(&mut self, page: platform::rows::Page, is_full: bool) {
        if is_full {
            self.rows.clear();
        }
        let revision = page.revision;
        for row in page.rows {
            let key = sync::Arc::clone(&row.key);
            match row.into_table_row() {
                Some(row) => self.rows.insert(key, row),
                None => self.rows.remove(&key),
            };
        }
        let rows = self.rows.values().filter(|row| row.key.starts_with(relay::MEMBER_PREFIX));
        let rows = rows
            .filter_map(|row| match serde_json::from_str(&row.value) {
                Ok(member) => {
                    let revision = ids::Revision::new(revision.era(), row.version);
                    Some(membership::Row { member, revision })
                }
                Err(cause) => {
                    tracing::warn!(
                        step = "peer",
                        peer = %row.key,
                        %cause,
                        "ignoring a VM row that cannot be decoded"
                    );
                    None
                }
            })
            .collect();
        self.inbox.send(Input::Members { revision, rows });
    }
}

/// Follows the planner's lease.
struct Lease {
    inbox: inbox::Inbox,
}

impl Follow for Lease {
    const TABLE: &'static str = platform::rows::LEASE_TABLE;
    const SHARED: Option<input::Table> = None;
    const POLL_INTERVAL: time::Duration = SYSTEM_POLL_INTERVAL;

    fn apply(&mut self, page: platform::rows::Page, is_full: bool) {
        let (era, clock_ms) = (page.revision.era(), page.clock_ms);
        let row = page.rows.into_iter().rfind(|row| &*row.key == relay::lease::KEY);
        if row.is_some() || is_full {
            let row = row.and_then(platform::rows::Row::into_table_row);
            self.inbox.send(Input::Lease { row, era, clock_ms });
        }
    }
}

/// Selects which tables of the store are followed.
#[derive(Debug)]
pub struct Subscriptions {
    reader: watch::Sender<bool>,
    lease: watch::Sender<bool>,
    members: watch::Sender<bool>,
}

impl Subscriptions {
    /// Enables or disables following of the reader tables, the VMs' rows and the lease.
    pub fn set(&self, follow: relay::output::Follow) {
        self.reader.send_replace(follow.is_reader);
        self.members.send_replace(follow.watches_members);
        self.lease.send_replace(follow.watches_lease);
    }
}

/// Spawns a task for each table, which follows it while its subscription is enabled.
#[must_use]
pub fn start(
    address: &sync::Arc<str>,
    era: &connection::Era,
    inbox: &inbox::Inbox,
) -> Subscriptions {
    let (reader, reader_enabled) = watch::channel(true);
    let (watches_lease, lease_enabled) = watch::channel(true);
    let (watches_members, members_enabled) = watch::channel(true);
    let evacuations = platform::evacuation::Rows::default();
    let config = Config { inbox: inbox.clone(), evacuations };
    let rows = collections::BTreeMap::new();
    let targets = Targets { inbox: inbox.clone() };
    let lease = Lease { inbox: inbox.clone() };
    let members = Members { inbox: inbox.clone(), rows };
    let connection = |table| connection::Connection::new(address, table, era);
    spawn(config, connection(Config::TABLE), inbox, reader_enabled.clone());
    spawn(targets, connection(Targets::TABLE), inbox, reader_enabled);
    spawn(lease, connection(Lease::TABLE), inbox, lease_enabled);
    spawn(members, connection(Members::TABLE), inbox, members_enabled);
    Subscriptions { reader, lease: watches_lease, members: watches_members }
}
