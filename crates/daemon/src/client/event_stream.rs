//! Parser for the subset of server-sent events that runners use.

use bytes::Buf as _;

/// Largest event, in bytes.
const EVENT_BYTES: usize = 1024 * 1024;

/// Result of parsing.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a stream cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// an event is larger than the limit
    Size,
    /// an event is not valid UTF-8
    Encoding,
}

impl std::error::Error for Error {}

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if present.
    pub id: Option<String>,
    /// Value of the `event` field; empty if absent.
    pub name: String,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// An incremental parser of events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: bytes::BytesMut,
    event: Event,
    event_bytes: usize,
    has_fields: bool,
}

impl Parser {
    /// Appends received bytes to the input.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next event, or `None` if its end has not been received yet.
    ///
    /// # Errors
    ///
    /// [`Error`] if an event is too large or not valid UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        while let Some(line) = self.next_line()? {
            if !line.is_empty() {
                self.apply_field(&line);
                continue;
            }
            self.event_bytes = 0;
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_fields) {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Result<Option<String>> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() + self.event_bytes > EVENT_BYTES {
                return Err(Error::Size);
            }
            return Ok(None);
        };
        self.event_bytes += end;
        if self.event_bytes > EVENT_BYTES {
            return Err(Error::Size);
        }
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match std::str::from_utf8(line) {
            Ok(line) => Ok(Some(line.to_owned())),
            Err(_) => Err(Error::Encoding),
        }
    }

    fn apply_field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.event.id = Some(value.to_owned()),
            "event" => value.clone_into(&mut self.event.name),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            // A comment, or a field that runners do not need.
            _ => return,
        }
        self.has_fields = true;
    }
}
