//! Splits a server-sent event stream so that only complete, valid events are forwarded.

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Result of checking a stream.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a stream is not a series of complete events with increasing ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// an event is longer than the limit
    TooLong,
    /// the stream ended within an event, after {0} bytes of it
    Incomplete(usize),
    /// an event has no numeric id
    NoId,
    /// an event has the id {id}, but the one before has {before}
    NotIncreasing {
        /// Id of the event.
        id: u64,
        /// Id of the event before.
        before: u64,
    },
}

impl std::error::Error for Error {}

/// Bytes of complete and valid events, with the id of the most recent one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Raw bytes of the events; empty if no event is complete.
    pub bytes: bytes::Bytes,
    /// Id of the most recent event; `None` if there is none.
    pub last_id: Option<u64>,
    /// Number of events.
    pub count: u32,
    /// What is wrong with the bytes after these events. Nothing more can be forwarded.
    pub error: Option<Error>,
}

/// Buffers the bytes of a stream until an event is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: bytes::BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Creates a splitter of a stream that continues after the event `last_id`; `None` for a
    /// stream from its beginning.
    #[must_use]
    pub fn new(last_id: Option<u64>) -> Self {
        Self { buffer: bytes::BytesMut::new(), last_id }
    }

    /// Appends bytes and returns the events that are complete now.
    ///
    /// A target in trouble may send bytes without end, or that are no events, such as an error
    /// with its head. [`Batch::error`] says so.
    pub fn push(&mut self, bytes: &[u8]) -> Batch {
        // Only the end of what was searched before can be part of a blank line.
        let searched = self.buffer.len().saturating_sub(BLANK_LINE_BYTES - 1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = complete_length(&self.buffer[searched..]) else {
            let error = (self.buffer.len() > MAX_EVENT_BYTES).then_some(Error::TooLong);
            return Batch { error, ..Batch::default() };
        };
        let mut complete = self.buffer.split_to(searched + end).freeze();
        let mut valid_length = 0;
        let mut count = 0;
        let mut error = None;
        while let Some(length) = first_length(&complete[valid_length..]) {
            let event = &complete[valid_length..valid_length + length];
            if let Err(cause) = self.check(event) {
                error = Some(cause);
                break;
            }
            valid_length += length;
            count += 1;
        }
        complete.truncate(valid_length);
        let last_id = self.last_id.filter(|_| valid_length > 0);
        Batch { bytes: complete, last_id, count, error }
    }

    /// Checks that an event is a comment, or has an id that is higher than the one before.
    fn check(&mut self, event: &[u8]) -> Result<()> {
        let mut lines = event.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
        if lines.clone().all(|line| line.is_empty() || line.starts_with(b":")) {
            return Ok(());
        }
        let id = lines.find_map(|line| line.strip_prefix(b"id:")).ok_or(Error::NoId)?;
        let id = str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
        let id: u64 = id.ok_or(Error::NoId)?;
        if let Some(before) = self.last_id.filter(|before| id <= *before) {
            return Err(Error::NotIncreasing { id, before });
        }
        self.last_id = Some(id);
        Ok(())
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

/// Returns the length of the first event in `bytes`; `None` if none is complete.
fn first_length(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}
