//! Server-sent events as a caller reads them.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Event {
    pub(super) name: String,
    pub(super) data: String,
}

/// Cuts the bytes of an answer into events.
#[derive(Debug, Default)]
pub(super) struct Parser {
    rest: Vec<u8>,
}

impl Parser {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub(super) fn take(&mut self) -> Option<Event> {
        let end = self.rest.windows(2).position(|pair| pair == b"\n\n")?;
        let block: Vec<u8> = self.rest.drain(..end + 2).collect();
        let block = String::from_utf8_lossy(&block);
        let mut event = Event::default();
        for line in block.lines() {
            match line.split_once(": ") {
                Some(("event", name)) => name.clone_into(&mut event.name),
                Some(("data", data)) => data.clone_into(&mut event.data),
                _ => (),
            }
        }
        Some(event)
    }
}
