//! Pool of keep-alive connections to targets, because each new connection costs
//! the target time.

use std::{
    collections, io,
    sync::{self, atomic},
    time,
};

use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net;

use crate::relay::{expiry, head, withhold};

/// Timeout for opening a connection: many times the round trip to another data
/// centre, yet short enough to try another one if a target is unreachable.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// `TCP_USER_TIMEOUT`: longest time for which sent data may remain unacknowledged, in ms.
pub const TCP_USER_TIMEOUT_MS: u32 = 3_000;
/// How long an idle connection stays open if the target announces no keep-alive
/// timeout; its timeout is then below one second.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_millis(500);
/// Fraction of an announced keep-alive timeout for which an idle connection
/// stays open; the rest covers network delay and a late timer.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Size of the read buffer of a connection, and so of the largest head of an answer,
/// in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// A request with a complete body.
type Request = http::Request<Full<bytes::Bytes>>;
/// Error of a request, which returns it if no byte of it was sent.
type SendError = hyper::client::conn::TrySendError<Request>;

/// The sending half of a connection to a target.
#[derive(Debug)]
pub struct Sender {
    inner: http1::SendRequest<Full<bytes::Bytes>>,
    head: head::Watch,
    /// When the request that it carries expires.
    pub expiry: expiry::Expiry,
}

impl Sender {
    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.inner.is_closed()
    }

    /// Waits until a request can be sent.
    ///
    /// # Errors
    ///
    /// The connection was closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.inner.ready().await
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The connection failed, or what came is not the head of an answer.
    pub async fn send_request(
        &mut self,
        request: Request,
    ) -> hyper::Result<http::Response<Incoming>> {
        let _awaited = self.head.expect();
        self.inner.send_request(request).await
    }

    /// Sends a request, as [`Sender::send_request`] does; the error returns it if no byte
    /// of it was sent.
    ///
    /// # Errors
    ///
    /// The connection failed, or what came is not the head of an answer.
    pub async fn try_send_request(
        &mut self,
        request: Request,
    ) -> Result<http::Response<Incoming>, SendError> {
        let _awaited = self.head.expect();
        self.inner.try_send_request(request).await
    }
}

/// An idle connection and the time at which the pool closes it.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    expires_at: time::Instant,
}

/// The connections to one target address.
#[derive(Debug, Default)]
struct Target {
    idle: Vec<Idle>,
    open_count: usize,
}

/// Bytes of incomplete answers that are buffered at most: a fraction of the memory of a
/// small VM.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// The connections to all targets, by address. Clones share the same pool.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    targets: sync::Arc<sync::Mutex<collections::HashMap<sync::Arc<str>, Target>>>,
    /// Bytes of incomplete answers that are buffered.
    buffered: sync::Arc<atomic::AtomicUsize>,
    /// Targets to which nothing may be sent.
    pub withheld: withhold::Set,
}

/// Memory for one answer; it is returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    buffered: sync::Arc<atomic::AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// A short reason if all answers together would take too much memory.
    pub fn add(&mut self, bytes: usize) -> Result<(), String> {
        self.bytes += bytes;
        let total = self.buffered.fetch_add(bytes, atomic::Ordering::Relaxed) + bytes;
        if total <= MAX_BUFFERED_BYTES {
            return Ok(());
        }
        Err(format!("incomplete answers take more than {MAX_BUFFERED_BYTES} bytes"))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffered.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// A connection that is checked out of the pool.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests over the connection.
    pub sender: Sender,
    /// Whether no request has been sent on it before.
    pub is_fresh: bool,
    slot: Slot,
}

/// Counts a checked-out connection as open until it is dropped.
#[derive(Debug)]
struct Slot {
    pool: Pool,
    address: sync::Arc<str>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(target) = self.pool.lock().get_mut(&self.address) {
            target.open_count = target.open_count.saturating_sub(1);
        }
    }
}

impl Pool {
    /// Begins to count the memory of an answer.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation { buffered: sync::Arc::clone(&self.buffered), bytes: 0 }
    }

    /// Checks out an idle connection to `address`, or opens a new one if
    /// `may_reuse` is false or none is idle. `max_connections` bounds the
    /// connections to `address`.
    ///
    /// # Errors
    ///
    /// A short reason if the limit is reached or connecting fails.
    pub async fn acquire(
        &self,
        address: &sync::Arc<str>,
        max_connections: usize,
        may_reuse: bool,
    ) -> Result<Connection, String> {
        let slot = Slot { pool: self.clone(), address: sync::Arc::clone(address) };
        if let Some(sender) = self.take_idle(address, max_connections, may_reuse)? {
            return Ok(Connection { sender, is_fresh: false, slot });
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address));
        let sender = connecting.await.map_err(|_elapsed| "connecting timed out".to_owned())??;
        metrics::counter!(crate::relay::metric::TARGET_CONNECTIONS).increment(1);
        Ok(Connection { sender, is_fresh: true, slot })
    }

    /// Counts a connection as open, and returns an idle one if there is one.
    fn take_idle(
        &self,
        address: &sync::Arc<str>,
        max_connections: usize,
        may_reuse: bool,
    ) -> Result<Option<Sender>, String> {
        let now = time::Instant::now();
        let mut targets = self.lock();
        let target = targets.entry(sync::Arc::clone(address)).or_default();
        // An idle connection is not part of the count, so it is counted again here.
        target.open_count += 1;
        target.idle.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
        if may_reuse && let Some(idle) = target.idle.pop() {
            return Ok(Some(idle.sender));
        }
        if target.open_count + target.idle.len() > max_connections {
            return Err(format!("all {max_connections} connections are in use"));
        }
        Ok(None)
    }

    /// Returns a connection whose answer was read completely to the pool.
    /// `keep_alive` is the timeout that the target announced, if any.
    pub fn release(&self, connection: Connection, keep_alive: Option<time::Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let keep_alive =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE, |timeout| timeout.mul_f64(KEEP_ALIVE_FRACTION));
        let expires_at = time::Instant::now() + keep_alive;
        if let Some(target) = self.lock().get_mut(&connection.slot.address) {
            target.idle.push(Idle { sender: connection.sender, expires_at });
        }
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: &str) {
        if let Some(target) = self.lock().get_mut(address) {
            target.idle.clear();
        }
    }

    /// Closes idle connections whose keep-alive time is over.
    pub fn close_expired(&self) {
        let now = time::Instant::now();
        let mut targets = self.lock();
        for target in targets.values_mut() {
            target.idle.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
        }
        targets.retain(|_, target| target.open_count > 0 || !target.idle.is_empty());
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<sync::Arc<str>, Target>> {
        self.targets.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Whether nothing listens on `address`, as far as one attempt to connect tells.
pub async fn refuses_connections(address: &str) -> bool {
    let connecting = net::TcpStream::connect(address);
    let result = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    matches!(result, Ok(Err(cause)) if cause.kind() == io::ErrorKind::ConnectionRefused)
}

/// Opens a connection to `address`, outside any pool.
///
/// # Errors
///
/// A short reason if connecting, a socket option or the HTTP handshake fails.
pub async fn connect(address: &str) -> Result<Sender, String> {
    let stream = net::TcpStream::connect(address).await.map_err(|cause| cause.to_string())?;
    let options = || -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS)?;
        Ok(())
    };
    options().map_err(|cause| cause.to_string())?;
    let head = head::Watch::default();
    let expiry = expiry::Expiry::default();
    let stream = expiry::Stream::new(stream, expiry.clone());
    let stream = TokioIo::new(head::Stream::new(stream, head.clone()));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let (inner, connection) = builder.handshake(stream).await.map_err(|cause| cause.to_string())?;
    tokio::spawn(async move {
        // A request in flight on the connection gets the error too.
        if let Err(cause) = connection.await {
            tracing::debug!(%cause, "connection to a target or the store ended with an error");
        }
    });
    Ok(Sender { inner, head, expiry })
}
