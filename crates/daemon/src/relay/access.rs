//! The connections to a listener, as many as there are [`seat`](crate::relay::seat)s.

use std::{
    collections, io, pin, sync,
    task::{self, Poll},
    time,
};

use hyper::body::{Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
    sync::Notify,
};

use crate::relay::{body, metric, seat};

/// Admits connections. Clones share the same seats.
#[derive(Clone, Debug)]
pub struct Gate(sync::Arc<sync::Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Name of the listener.
    listener: &'static str,
    table: seat::Table,
    closed: collections::HashMap<seat::Id, sync::Arc<Notify>>,
    /// Number of connections that were closed because there were too many.
    closed_count: u64,
}

impl Gate {
    /// Admits at most `capacity` connections to the listener of this name.
    #[must_use]
    pub fn new(listener: &'static str, capacity: usize) -> Self {
        let table = seat::Table::new(capacity);
        let closed = collections::HashMap::new();
        let state = State { listener, table, closed, closed_count: 0 };
        Self(sync::Arc::new(sync::Mutex::new(state)))
    }

    /// Admits a new connection, in place of another one if there are too many; `None` if it
    /// is to be closed.
    #[must_use]
    pub fn enter(&self) -> Option<Pass> {
        let mut state = self.lock();
        let (id, replaced) = match state.table.open() {
            seat::Verdict::Free(id) => (Some(id), false),
            seat::Verdict::Replaces { new, closed } => {
                if let Some(closed) = state.closed.remove(&closed) {
                    closed.notify_one();
                }
                (Some(new), true)
            }
            seat::Verdict::Full => (None, true),
        };
        if replaced {
            state.closed_count += 1;
            metrics::counter!(metric::CLOSED_CONNECTIONS, "listener" => state.listener)
                .increment(1);
        }
        let id = id?;
        let closed = sync::Arc::<Notify>::default();
        state.closed.insert(id, sync::Arc::clone(&closed));
        drop(state);
        let (gate, phase) = (self.clone(), sync::Mutex::default());
        Some(Pass(sync::Arc::new(Seat { id, gate, closed, phase })))
    }

    /// Publishes the number of connections and logs how many were closed, once in each
    /// interval, for as long as the process runs.
    pub async fn publish(self, interval: time::Duration) {
        let mut logged = 0;
        loop {
            tokio::time::sleep(interval).await;
            let (listener, open, capacity, closed) = {
                let state = self.lock();
                (state.listener, state.table.len(), state.table.capacity(), state.closed_count)
            };
            metrics::gauge!(metric::CONNECTIONS, "listener" => listener).set(open as f64);
            if closed != logged {
                tracing::warn!(
                    step = "memory",
                    peer = listener,
                    outcome = "connections closed",
                    inputs = %format!("{} connections, {open} of {capacity} open", closed - logged),
                );
                logged = closed;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// It waits for a complete request.
    #[default]
    Waiting,
    /// It carries a call.
    Call,
    /// The answer is complete, but not written.
    Answered,
}

/// The seat of a connection; clones share it. It is free when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Pass(sync::Arc<Seat>);

#[derive(Debug)]
struct Seat {
    id: seat::Id,
    gate: Gate,
    closed: sync::Arc<Notify>,
    phase: sync::Mutex<Phase>,
}

impl Seat {
    /// Enters a phase from one of `before`. Returns false if it was in another one.
    fn set_phase(&self, before: &[Phase], phase: Phase) -> bool {
        let mut current = self.phase.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let is_expected = before.contains(&current);
        if is_expected {
            *current = phase;
        }
        is_expected
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.table.close(self.id);
        state.closed.remove(&self.id);
    }
}

impl Pass {
    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.0.closed.notified().await;
    }

    /// Records that a complete request has arrived. Returns false if the connection is to be
    /// closed.
    #[must_use]
    pub fn begin(&self) -> bool {
        self.0.set_phase(&[Phase::Waiting, Phase::Answered], Phase::Call);
        self.0.gate.lock().table.begin(self.0.id)
    }

    /// Records that the answer is complete, but may not be written.
    fn answered(&self) {
        self.0.set_phase(&[Phase::Call], Phase::Answered);
    }

    /// Records that everything that was to be written is written.
    fn flushed(&self) {
        if self.0.set_phase(&[Phase::Answered], Phase::Waiting) {
            self.0.gate.lock().table.end(self.0.id);
        }
    }
}

/// The body of an answer, which keeps its connection's seat until it is written.
#[derive(Debug)]
pub struct Body {
    inner: body::Body,
    pass: Pass,
}

impl Body {
    /// Wraps the body of an answer on the connection with this pass.
    #[must_use]
    pub const fn new(inner: body::Body, pass: Pass) -> Self {
        Self { inner, pass }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.pass.answered();
    }
}

impl hyper::body::Body for Body {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<Option<io::Result<Frame<bytes::Bytes>>>> {
        pin::Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A connection that records when its answers are written.
#[derive(Debug)]
pub struct Stream {
    /// The connection.
    pub inner: net::TcpStream,
    pass: Pass,
}

impl Stream {
    /// Wraps a connection with this pass.
    #[must_use]
    pub const fn new(inner: net::TcpStream, pass: Pass) -> Self {
        Self { inner, pass }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        let result = pin::Pin::new(&mut self.inner).poll_flush(cx);
        // hyper flushes the connection when all its buffers are written.
        if result.is_ready() {
            self.pass.flushed();
        }
        result
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
