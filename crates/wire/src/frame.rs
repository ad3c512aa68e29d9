//! Encoding and decoding of frames.

use crate::error;

/// A message and the incarnation of the VM that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Frame<T> {
    /// Incarnation of the sender. The connection authenticates its name.
    pub incarnation: u64,
    /// Content of the message.
    pub message: T,
}

/// Encodes a value as CBOR.
///
/// # Errors
///
/// [`error::Kind::Size`] if the encoding exceeds [`crate::MAX_BYTES`] bytes,
/// [`error::Kind::Encode`] if the value cannot be represented in CBOR.
pub fn encode<T: serde::Serialize>(value: &T) -> error::Result<bytes::Bytes> {
    let mut buffer = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut buffer)
        .map_err(|cause| error::Error::new(error::Kind::Encode, cause.to_string()))?;
    if buffer.len() > crate::MAX_BYTES {
        return Err(error::Error::new(error::Kind::Size, buffer.len().to_string()));
    }
    Ok(buffer.into())
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// [`error::Kind::Size`] if there are more than [`crate::MAX_BYTES`] bytes,
/// [`error::Kind::Decode`] if they do not encode a value of type `T`.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> error::Result<T> {
    if bytes.len() > crate::MAX_BYTES {
        return Err(error::Error::new(error::Kind::Size, bytes.len().to_string()));
    }
    ciborium::from_reader(bytes)
        .map_err(|cause| error::Error::new(error::Kind::Decode, cause.to_string()))
}
