//! Reading request bodies within bounds.

use std::{pin, time};

use xitca_web::body::{Body as _, Frame, RequestBody};

/// Most bytes of a refused body that are read.
const DISCARD_BYTES: usize = 32 * 1024 * 1024;
/// Longest time for which a refused body is read.
const DISCARD_TIME: time::Duration = time::Duration::from_secs(2);

/// Outcome of reading a body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// it is too large
    TooLarge,
    /// it broke off: {0}
    Broken(String),
}

impl std::error::Error for Error {}

/// Reads a body of `limit` bytes at most. A larger one is left unread beyond.
///
/// # Errors
///
/// [`Error::TooLarge`] if there are more bytes, [`Error::Broken`] if the
/// connection breaks.
pub async fn read(body: &mut RequestBody, limit: usize) -> Result<bytes::Bytes> {
    let mut buffer = bytes::BytesMut::new();
    while let Some(frame) = next_frame(body).await {
        let frame = frame.map_err(|cause| Error::Broken(cause.to_string()))?;
        let Frame::Data(data) = frame else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(Error::TooLarge);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// Reads the rest of a body that is refused, within bounds. A connection that
/// is closed with unread bytes is reset, and the caller loses the error.
pub async fn discard(body: &mut RequestBody) {
    let discarding = async {
        let mut left = DISCARD_BYTES;
        while let Some(Ok(frame)) = next_frame(body).await {
            let length = frame.data_ref().map_or(0, bytes::Bytes::len);
            let Some(rest) = left.checked_sub(length) else {
                return;
            };
            left = rest;
        }
    };
    if tokio::time::timeout(DISCARD_TIME, discarding).await.is_err() {
        tracing::debug!("a refused body did not end in time");
    }
}

async fn next_frame(
    body: &mut RequestBody,
) -> Option<std::result::Result<Frame<bytes::Bytes>, xitca_web::error::BodyError>> {
    std::future::poll_fn(|cx| pin::Pin::new(&mut *body).poll_frame(cx)).await
}
