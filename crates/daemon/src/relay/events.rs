//! Splits a server-sent event stream so that only complete events are forwarded.

/// Largest buffered event in bytes; a longer one is forwarded incomplete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

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
    pub fn push(&mut self, bytes: &[u8]) -> Batch {
        self.buffer.extend_from_slice(bytes);
        let end = complete_length(&self.buffer)
            .or_else(|| (self.buffer.len() > MAX_EVENT_BYTES).then_some(self.buffer.len()));
        let Some(end) = end else {
            return Batch::default();
        };
        let bytes = self.buffer.split_to(end).freeze();
        Batch { last_id: last_event_id(&bytes), bytes }
    }

    /// Returns the buffered remainder after the stream has ended without an error.
    pub fn finish(&mut self) -> bytes::Bytes {
        self.buffer.split().freeze()
    }
}

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
