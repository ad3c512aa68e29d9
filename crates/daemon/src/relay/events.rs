//! Splits a server-sent event stream so that only complete events are forwarded.

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Result of splitting a stream.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a stream is not a series of complete events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// an event is longer than the limit
    TooLong,
    /// the stream ended within an event, after {0} bytes of it
    Incomplete(usize),
}

impl std::error::Error for Error {}

/// Bytes of complete events, with the id of the most recent one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Raw bytes of the events; empty if no event is complete.
    pub bytes: bytes::Bytes,
    /// Numeric id of the most recent event that carries one.
    pub last_id: Option<u64>,
}

/// Buffers the bytes of a stream until an event is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: bytes::BytesMut,
}

impl Splitter {
    /// Appends bytes and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] if the bytes after the last complete event exceed the largest event;
    /// a target in trouble may send bytes without end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Batch> {
        // Only the end of what was searched before can be part of a blank line.
        let searched = self.buffer.len().saturating_sub(BLANK_LINE_BYTES - 1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = complete_length(&self.buffer[searched..]) else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(Error::TooLong)
            } else {
                Ok(Batch::default())
            };
        };
        let bytes = self.buffer.split_to(searched + end).freeze();
        Ok(Batch { last_id: last_event_id(&bytes), bytes })
    }

    /// Checks that the stream has ended after a complete event.
    ///
    /// # Errors
    ///
    /// [`Error::Incomplete`] if it ended within an event: it was broken off, even if its
    /// framing is complete.
    pub fn finish(&self) -> Result<()> {
        match self.buffer.len() {
            0 => Ok(()),
            length => Err(Error::Incomplete(length)),
        }
    }
}

/// Length of the longest blank line after an event, with the end of the line before it.
const BLANK_LINE_BYTES: usize = 4;

/// Returns the length of the complete events in `bytes`: the end of the last
/// blank line.
fn complete_length(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
