//! HTTP server for callers: accepts and serves their connections.

use std::{
    fmt, pin,
    sync::{self, atomic},
    time,
};

use hyper::{server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, sync::watch};

use crate::relay::{access, buffer, calls, handler, inbox, pool};

/// Value of the `connection` header that announces that the connection will be closed.
pub const CONNECTION_CLOSE: http::HeaderValue = http::HeaderValue::from_static("close");
/// Smallest buffer that hyper accepts for the head of a request, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Added to the platform's limit of idle time, so that a caller that reuses its
/// connection just within the limit finds it open.
const IDLE_SLACK: time::Duration = time::Duration::from_millis(500);

/// Error that closes the connection of a caller without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed without an answer")
    }
}

impl std::error::Error for Abort {}

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No stop has been requested.
    #[default]
    Running,
    /// Answers announce that their connections will be closed.
    Closing,
    /// Idle connections are closed.
    Closed,
}

/// State shared by all handlers.
#[derive(Debug)]
pub struct State {
    /// The open calls.
    pub calls: calls::Table,
    /// Sends inputs to the core.
    pub inbox: inbox::Inbox,
    /// Connections to targets.
    pub pool: pool::Pool,
    /// Admits connections of callers.
    pub gate: access::Gate,
    /// Bodies of requests.
    pub buffers: buffer::Pool,
    /// Limits of the configuration in force.
    pub limits: watch::Receiver<relay::config::Limits>,
    /// Stage of a planned stop.
    pub stop: watch::Receiver<Stage>,
    /// The connections whose answers a planned stop waits for.
    pub connections: Connections,
}

/// Number of open connections of callers. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Connections(watch::Sender<usize>);

impl Connections {
    /// Counts a connection until the returned guard is dropped.
    #[must_use]
    fn open(&self) -> Open {
        self.0.send_modify(|count| *count += 1);
        Open(self.clone())
    }

    /// Waits until all connections are closed, so that their answers are written.
    pub async fn closed(&self) {
        // The sender lives as long as `self`.
        drop(self.0.subscribe().wait_for(|count| *count == 0).await);
    }
}

/// An open connection of a caller.
#[derive(Debug)]
struct Open(Connections);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}

impl State {
    /// Returns a copy of the limits in force.
    #[must_use]
    pub fn limits(&self) -> relay::config::Limits {
        *self.limits.borrow()
    }
}

/// Accepts connections for as long as the process runs.
pub async fn run(listener: net::TcpListener, state: sync::Arc<State>) {
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without a pass the connection is closed.
        let Some(pass) = state.gate.enter() else {
            continue;
        };
        let state = sync::Arc::clone(&state);
        tokio::spawn(async move {
            let closed = pass.clone();
            tokio::select! {
                () = serve(stream, pass, state) => {}
                () = closed.closed() => {}
            }
        });
        // Lets a connection that is to be closed end before the next one is accepted.
        tokio::task::yield_now().await;
    }
}

async fn serve(stream: net::TcpStream, pass: access::Pass, state: sync::Arc<State>) {
    let limits = state.limits();
    let mut stop = state.stop.clone();
    let lacks_chunks = sync::Arc::<atomic::AtomicBool>::default();
    let stream = access::Stream::new(stream, pass.clone());
    let service_state = (sync::Arc::clone(&state), sync::Arc::clone(&lacks_chunks));
    let service = service::service_fn(move |request: http::Request<_>| {
        let (state, lacks_chunks) = &service_state;
        let is_old = request.version() < http::Version::HTTP_11;
        lacks_chunks.store(is_old, atomic::Ordering::Relaxed);
        answer(sync::Arc::clone(state), pass.clone(), request)
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(rt::TokioTimer::new())
        // hyper's timeout covers the idle time and the request head together.
        .header_read_timeout(limits.idle_time + IDLE_SLACK)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = builder.serve_connection(rt::TokioIo::new(stream), service);
    // A connection that comes after the others were closed gets a refusal rather than no answer.
    // The stop does not wait for it: its caller may never send a request.
    let is_late = *stop.borrow() == Stage::Closed;
    let _open = (!is_late).then(|| state.connections.open());
    // Drops the guard that `wait_for` returns: it must not be held while the connection closes.
    let closed = async { stop.wait_for(|stage| *stage == Stage::Closed).await.is_ok() };
    let result = tokio::select! {
        result = &mut connection => result,
        _ = closed, if !is_late => {
            pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let Err(cause) = result else {
        return;
    };
    tracing::debug!(%cause, "connection of a caller closed with an error");
    if lacks_chunks.load(atomic::Ordering::Relaxed) {
        // The end of the connection ends such an answer, so only a reset marks it as broken.
        let stream = connection.into_parts().io.into_inner().inner;
        if let Err(cause) = stream.set_zero_linger() {
            tracing::debug!(%cause, "the connection of a caller is closed without a reset");
        }
    }
}

async fn answer(
    state: sync::Arc<State>,
    pass: access::Pass,
    request: http::Request<hyper::body::Incoming>,
) -> Result<http::Response<access::Body>, Abort> {
    let stop = state.stop.clone();
    let mut answer = handler::handle(state, &pass, request).await?;
    if *stop.borrow() > Stage::Running {
        answer.headers_mut().insert(http::header::CONNECTION, CONNECTION_CLOSE);
    }
    Ok(answer.map(|body| access::Body::new(body, pass)))
}
