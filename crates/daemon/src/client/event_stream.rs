//! Server-sent events, as far as runners use them.

use bytes::Buf as _;

/// Largest event, in bytes.
const EVENT_BYTES: usize = 1024 * 1024;

/// Outcome of taking bytes.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a stream is no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// an event is larger than the limit
    Size,
    /// an event is no UTF-8 text
    Encoding,
}

impl std::error::Error for Error {}

/// An event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<String>,
    /// Its type; empty if it has none.
    pub name: String,
    /// Its data.
    pub data: String,
}

/// Turns bytes into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: bytes::BytesMut,
    event: Event,
    size: usize,
    seen: bool,
}

impl Parser {
    /// Takes the bytes that arrived next.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if its end has arrived.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are no stream of events.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        while let Some(line) = self.line()? {
            if !line.is_empty() {
                self.field(&line);
                continue;
            }
            self.size = 0;
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.seen) {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    fn line(&mut self) -> Result<Option<String>> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() + self.size > EVENT_BYTES {
                return Err(Error::Size);
            }
            return Ok(None);
        };
        self.size += end;
        if self.size > EVENT_BYTES {
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

    fn field(&mut self, line: &str) {
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
            // A comment, or a field of no use here.
            _ => return,
        }
        self.seen = true;
    }
}
