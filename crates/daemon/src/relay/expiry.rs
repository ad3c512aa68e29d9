//! Requests that must not arrive after a time.
//!
//! What was written to a socket is sent, and sent again, after its connection was closed and
//! after its process has ended. A connection that carries a request with an expiry is reset
//! when it is closed instead, which discards what the other side's kernel has not received. The
//! kernel does so too if the process ends. If the process is suspended, `TCP_USER_TIMEOUT`
//! bounds how long the kernel sends the bytes again.

use std::{
    io,
    os::fd,
    pin,
    sync::{self, atomic},
    task::{self, Poll},
    time,
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{clock, relay::pool};

/// State of a connection that carries no request with an expiry.
const NONE: u64 = u64::MAX;

/// When the request on a connection expires. Clones share it.
#[derive(Clone, Debug)]
pub struct Expiry(sync::Arc<atomic::AtomicU64>);

impl Default for Expiry {
    fn default() -> Self {
        Self(sync::Arc::new(atomic::AtomicU64::new(NONE)))
    }
}

impl Expiry {
    /// Lets nothing be written from `at` on, and the connection be reset when it is closed.
    pub fn set(&self, at: ids::Time) {
        self.0.store(at.as_millis(), atomic::Ordering::Relaxed);
    }

    /// Ends that, as the request has been answered.
    pub fn clear(&self) {
        self.0.store(NONE, atomic::Ordering::Relaxed);
    }

    fn get(&self) -> Option<ids::Time> {
        let millis = self.0.load(atomic::Ordering::Relaxed);
        (millis != NONE).then_some(ids::Time::from_millis(millis))
    }
}

/// A connection whose requests may expire.
#[derive(Debug)]
pub struct Stream<S: fd::AsFd> {
    inner: S,
    expiry: Expiry,
    /// Expiry for which the options of the socket are set.
    applied: Option<ids::Time>,
}

impl<S: fd::AsFd> Stream<S> {
    /// Wraps a connection whose requests expire as `expiry` says.
    pub const fn new(inner: S, expiry: Expiry) -> Self {
        Self { inner, expiry, applied: None }
    }

    /// Checks, immediately before a write, that the request has not expired.
    fn check(&mut self) -> io::Result<()> {
        let expires_at = self.expiry.get();
        if expires_at.is_some_and(|at| clock::now() >= at) {
            let reason = "the request expired before it was written";
            return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
        }
        self.apply(expires_at)
    }

    /// Sets the options of the socket: whether closing it resets the connection, and how long
    /// the kernel sends again what is not acknowledged.
    fn apply(&mut self, expires_at: Option<ids::Time>) -> io::Result<()> {
        if expires_at == self.applied {
            return Ok(());
        }
        let left = expires_at.map(|at| at.since(clock::now()).as_millis());
        let user_timeout_ms = left.map_or(pool::TCP_USER_TIMEOUT_MS, |left| {
            u32::try_from(left).unwrap_or(pool::TCP_USER_TIMEOUT_MS).max(1)
        });
        let linger = expires_at.map(|_| time::Duration::ZERO);
        rustix::net::sockopt::set_tcp_user_timeout(&self.inner, user_timeout_ms)?;
        rustix::net::sockopt::set_socket_linger(&self.inner, linger)?;
        self.applied = expires_at;
        Ok(())
    }
}

impl<S: fd::AsFd> Drop for Stream<S> {
    fn drop(&mut self) {
        if self.expiry.get().is_none()
            && let Err(cause) = self.apply(None)
        {
            tracing::debug!(%cause, "the connection to a target is reset in place of closed");
        }
    }
}

impl<S: AsyncRead + fd::AsFd + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + fd::AsFd + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
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
        // The end of a request that may still be carried out must look like a reset alone.
        if self.expiry.get().is_some() {
            return Poll::Ready(Ok(()));
        }
        pin::Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        pin::Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
