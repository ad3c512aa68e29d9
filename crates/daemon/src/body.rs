//! Reading request bodies with a size limit.

use std::{pin, time};

use xitca_web::body::{Body as _, Frame, RequestBody};

/// Maximum number of bytes that are read and discarded from a rejected body.
const DISCARD_BYTES: usize = 32 * 1024 * 1024;
/// Longest time for which a rejected body is read and discarded.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Result of reading a body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// the body is too large
    TooLarge,
    /// the connection failed: {0}
    Broken(String),
}

impl std::error::Error for Error {}

/// Reads a body of at most `limit` bytes. The rest of a larger body is left unread.
///
/// # Errors
///
/// [`Error::TooLarge`] if the body exceeds `limit`, [`Error::Broken`] if the
/// connection fails.
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

/// Reads and discards the rest of a rejected body, up to `DISCARD_BYTES` and
/// `DISCARD_TIMEOUT`. Closing a connection with unread bytes resets it, and the
/// caller would then lose the error response.
pub async fn discard(body: &mut RequestBody) {
    let discarding = async {
        let mut budget = DISCARD_BYTES;
        while let Some(Ok(frame)) = next_frame(body).await {
            let length = frame.data_ref().map_or(0, bytes::Bytes::len);
            let Some(remaining) = budget.checked_sub(length) else {
                return;
            };
            budget = remaining;
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, discarding).await.is_err() {
        tracing::debug!("a rejected body did not end in time; closing its connection");
    }
}

async fn next_frame(
    body: &mut RequestBody,
) -> Option<std::result::Result<Frame<bytes::Bytes>, xitca_web::error::BodyError>> {
    std::future::poll_fn(|cx| pin::Pin::new(&mut *body).poll_frame(cx)).await
}
