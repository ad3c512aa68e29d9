//! Limit of the bytes that a target sends before the head of its answer is complete.
//!
//! The HTTP client bounds a head, but skips any number of interim answers (1xx). A target
//! that sends them without end would keep the client busy until the call's deadline.

use std::{
    io, pin,
    sync::{self, atomic},
    task::{self, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes received until a head is complete. It exceeds the read buffer,
/// which may also hold the beginning of the body.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// State of a connection on which no head is awaited.
const NOT_AWAITED: usize = usize::MAX;

/// Counts the bytes that a connection has received while a head is awaited. Clones share
/// the count.
#[derive(Clone, Debug)]
pub struct Watch(sync::Arc<atomic::AtomicUsize>);

impl Default for Watch {
    fn default() -> Self {
        Self(sync::Arc::new(atomic::AtomicUsize::new(NOT_AWAITED)))
    }
}

impl Watch {
    /// Counts the bytes that arrive until the returned guard is dropped.
    #[must_use]
    pub fn expect(&self) -> Awaited {
        self.0.store(0, atomic::Ordering::Relaxed);
        Awaited(self.clone())
    }

    /// Adds received bytes. Returns whether they are within the limit.
    fn add(&self, bytes: usize) -> bool {
        let count = self.0.load(atomic::Ordering::Relaxed);
        if count == NOT_AWAITED {
            return true;
        }
        let count = count.saturating_add(bytes).min(NOT_AWAITED - 1);
        self.0.store(count, atomic::Ordering::Relaxed);
        count <= MAX_HEAD_BYTES
    }
}

/// Ends the count when dropped.
#[derive(Debug)]
pub struct Awaited(Watch);

impl Drop for Awaited {
    fn drop(&mut self) {
        self.0.0.store(NOT_AWAITED, atomic::Ordering::Relaxed);
    }
}

/// A connection that fails when the head of an answer is too long.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    watch: Watch,
}

impl<S> Stream<S> {
    /// Wraps a connection whose bytes are counted by `watch`.
    pub const fn new(inner: S, watch: Watch) -> Self {
        Self { inner, watch }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = pin::Pin::new(&mut self.inner).poll_read(cx, buf);
        if self.watch.add(buf.filled().len().saturating_sub(before)) {
            return result;
        }
        let reason = "too many bytes before the head of an answer is complete";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
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
        pin::Pin::new(&mut self.inner).poll_flush(cx)
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
