//! Bodies of answers to callers, and reading of request bodies.

use std::{
    io, pin,
    task::{self, Poll},
    time,
};

use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::relay::buffer;

/// Maximum number of bytes that are read and discarded from a refused body.
const DISCARD_BYTES: usize = 32 * 1024 * 1024;
/// Longest time for which a refused body is read and discarded.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The body of an answer: buffered or streamed.
#[derive(Debug)]
pub enum Body {
    /// The complete body; `None` if it is empty or was already taken.
    Full(Option<bytes::Bytes>),
    /// Chunks from a channel. An error aborts the connection, so that the
    /// answer does not look complete.
    Stream(mpsc::Receiver<io::Result<bytes::Bytes>>),
}

impl Body {
    /// Returns an empty body.
    #[must_use]
    pub const fn empty() -> Self {
        Self::Full(None)
    }
}

impl hyper::body::Body for Body {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<Option<io::Result<Frame<bytes::Bytes>>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => chunks.poll_recv(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                let length = bytes.as_ref().map_or(0, bytes::Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It exceeds the size limit.
    TooLarge,
    /// All bodies together need too much memory.
    Full,
    /// The connection failed before its end.
    Broken,
}

/// Reads the complete body of a request, of at most `max_bytes` bytes, into `buffer`. A body
/// that cannot be read is left as it is.
///
/// # Errors
///
/// [`Error`] if the body is too large, there is no memory for it or the connection fails
/// before its end.
pub async fn read(
    body: &mut hyper::body::Incoming,
    mut buffer: buffer::Buffer,
    max_bytes: usize,
) -> Result<bytes::Bytes, Error> {
    let announced = body.size_hint();
    let length = announced.exact().and_then(|length| usize::try_from(length).ok());
    let is_longer = announced.lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX);
    if is_longer {
        return Err(Error::TooLarge);
    }
    let capacity = length.unwrap_or(max_bytes);
    let mut received = 0;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = buffer.ended() => return Err(Error::Full),
        };
        let Some(frame) = frame else {
            return buffer.complete().map_err(|buffer::Full| Error::Full);
        };
        let Ok(frame) = frame else {
            return Err(Error::Broken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        received += data.len();
        if received > max_bytes {
            return Err(Error::TooLarge);
        }
        buffer.append(&data, capacity).map_err(|buffer::Full| Error::Full)?;
    }
}

/// Reads and discards the rest of a body that is refused, up to `DISCARD_BYTES` and
/// `DISCARD_TIMEOUT`. Closing a connection with unread bytes resets it, and the caller would
/// then lose the answer.
pub async fn discard(mut body: hyper::body::Incoming) {
    let discarding = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, bytes::Bytes::len);
            if discarded > DISCARD_BYTES {
                return;
            }
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, discarding).await.is_err() {
        tracing::debug!("a refused body did not end in time; closing its connection");
    }
}
