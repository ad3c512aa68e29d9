//! Requests to the store, and the era that its answers state.

use std::{sync, time};

use http_body_util::{BodyExt as _, Full, Limited};
use relay::{Input, input};
use tokio::sync::{Mutex, watch};

use crate::relay::{inbox, metric, pool};

/// Timeout for an answer of the store, in addition to the time of a long poll.
pub const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Largest accepted answer of the store, in bytes; a page has at most 1 MB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Result of a request; an error is a short reason.
pub type Result<T, E = String> = std::result::Result<T, E>;

/// The store's era as far as this process knows: the highest that an answer or another VM has
/// stated. Clones share it.
#[derive(Clone, Debug)]
pub struct Era {
    current: sync::Arc<watch::Sender<ids::Era>>,
    inbox: inbox::Inbox,
}

impl Era {
    /// Creates the first era.
    #[must_use]
    pub fn new(inbox: &inbox::Inbox) -> Self {
        Self { current: sync::Arc::new(watch::Sender::default()), inbox: inbox.clone() }
    }

    /// Begins an era that another VM has stated, unless a later one is known.
    pub fn learn(&self, era: ids::Era) {
        let _is_later = self.raise(era);
    }

    /// Begins an era, unless it or a later one is known. Returns whether it did.
    fn raise(&self, era: ids::Era) -> bool {
        self.current.send_if_modified(|current| {
            let is_later = *current < era;
            *current = era.max(*current);
            is_later
        })
    }

    /// Returns the era.
    #[must_use]
    pub fn get(&self) -> ids::Era {
        *self.current.borrow()
    }

    /// Waits until `era` has ended.
    pub async fn ended(&self, era: ids::Era) {
        let mut current = self.current.subscribe();
        // The sender lives as long as this.
        drop(current.wait_for(|current| *current > era).await);
    }

    /// Returns the era of an answer with these headers.
    fn of_answer(&self, headers: &http::HeaderMap) -> Result<ids::Era> {
        let stated = platform::rows::decode_era(headers).unwrap_or_else(|fault| {
            tracing::warn!(step = "store", %fault, "ignoring the era of an answer");
            None
        });
        let current = self.get();
        let era = stated.unwrap_or(current);
        if self.raise(era) {
            self.inbox.send(Input::Era(era));
        } else if era < current {
            return Err(format!("late answer of era {era}, which has ended; now it is {current}"));
        }
        Ok(era)
    }
}

/// An answer of the store.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Era in which it was given.
    pub era: ids::Era,
    /// The whole body.
    pub body: bytes::Bytes,
}

/// One keep-alive connection to the store, opened on demand.
#[derive(Debug)]
pub struct Connection {
    address: sync::Arc<str>,
    sender: Option<pool::Sender>,
    /// Table that the requests concern, for metrics.
    table: &'static str,
    /// The store's era.
    pub era: Era,
}

impl Connection {
    /// Creates a connection, without connecting yet.
    #[must_use]
    pub fn new(address: &sync::Arc<str>, table: &'static str, era: &Era) -> Self {
        Self { address: sync::Arc::clone(address), sender: None, table, era: era.clone() }
    }

    /// Sends a request and returns the answer. After a failure, the next request
    /// opens a new connection.
    ///
    /// # Errors
    ///
    /// There is no whole answer in time, or it is one of an earlier era.
    pub async fn request(
        &mut self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        timeout: time::Duration,
    ) -> Result<Answer> {
        let Some(mut sender) = self.sender().await? else {
            return Err("the store closed the connection".to_owned());
        };
        let kind = if method == http::Method::GET { "read" } else { "write" };
        metric::record_store_request(self.table, kind);
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, &*self.address)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|cause| cause.to_string())?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|cause| cause.to_string())?;
            let status = response.status().as_u16();
            let era = self.era.of_answer(response.headers())?;
            let whole = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = whole.map_err(|cause| cause.to_string())?.to_bytes();
            Ok(Answer { status, era, body })
        };
        let answer: Result<_> = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_elapsed| Err(format!("no answer within {timeout:?}")));
        let answer = answer?;
        self.sender = Some(sender);
        Ok(answer)
    }

    /// Takes the open connection, or opens a new one.
    async fn sender(&mut self) -> Result<Option<pool::Sender>> {
        if let Some(mut sender) = self.sender.take()
            && !sender.is_closed()
            && sender.ready().await.is_ok()
        {
            return Ok(Some(sender));
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, pool::connect(&self.address)).await;
        let mut sender = connecting.map_err(|_elapsed| "connecting timed out".to_owned())??;
        Ok(sender.ready().await.is_ok().then_some(sender))
    }
}

/// Writes to the store, one change at a time over one connection.
#[derive(Clone, Debug)]
pub struct Writer {
    connection: sync::Arc<Mutex<Connection>>,
}

impl Writer {
    /// Creates a writer to the store at `address`, without connecting yet.
    #[must_use]
    pub fn new(address: &sync::Arc<str>, era: &Era) -> Self {
        let connection = Connection::new(address, "transaction", era);
        Self { connection: sync::Arc::new(Mutex::new(connection)) }
    }

    /// Writes one row.
    ///
    /// # Errors
    ///
    /// [`store::Fault`] if the store refused the write, or if its result is unknown.
    pub async fn write(&self, write: &store::table::Write) -> store::Result<input::Written> {
        let body = platform::rows::transaction_body(write);
        let mut connection = self.connection.lock().await;
        let answer = connection
            .request(http::Method::POST, platform::rows::TRANSACTION_PATH, body, ANSWER_TIMEOUT)
            .await;
        drop(connection);
        let Answer { status, era, body } = answer.map_err(|reason| {
            store::Fault::new("write", &write.key, store::Kind::Unknown, &reason)
        })?;
        platform::rows::decode_written(&write.key, era, status, &body)
    }
}
