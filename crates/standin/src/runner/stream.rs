//! Streams: how far each one is, and those who listen.

use std::{sync, time};

use super::{memory, sse};
use crate::{face, text};

/// How far a stream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Chunks generated, those known at the start included.
    pub(super) made: u64,
    pub(super) end: Option<End>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Complete,
    Cancelled,
}

/// What does not change about a stream.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) name: sync::Arc<str>,
    pub(super) prompt: ids::Digest,
    pub(super) prompt_tokens: u64,
    pub(super) total: u64,
    /// What the stream uses: the item called, then its model if it is an adapter.
    pub(super) items: Vec<memory::Item>,
    pub(super) job: u64,
}

impl Stream {
    fn source(&self) -> sse::Source<'_> {
        let (model, version) =
            self.items.first().map_or(("", ""), |item| (&*item.name, &*item.version));
        sse::Source { stream: &self.name, model, version }
    }

    const fn usage(&self) -> sse::Usage {
        sse::Usage::new(self.prompt_tokens, self.total)
    }
}

/// A stream as the engine keeps it.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) stream: sync::Arc<Stream>,
    pub(super) progress: tokio::sync::watch::Sender<Progress>,
    pub(super) ended: Option<time::Instant>,
}

/// One who listens to a stream.
pub(super) struct Listener {
    pub(super) stream: sync::Arc<Stream>,
    pub(super) progress: tokio::sync::watch::Receiver<Progress>,
    pub(super) from: u64,
}

impl Listener {
    /// Sends the events from the first one wanted until the end or until no one reads.
    ///
    /// A cancelled stream ends without its last event.
    pub(super) async fn follow(mut self, sender: tokio::sync::mpsc::Sender<bytes::Bytes>) {
        let mut next = self.from;
        loop {
            let progress = *self.progress.borrow_and_update();
            while next < progress.made {
                if sender.send(self.event(next)).await.is_err() {
                    return;
                }
                next += 1;
            }
            match progress.end {
                Some(End::Complete) => return self.send_last(&sender).await,
                Some(End::Cancelled) => return,
                None => (),
            }
            tokio::select! {
                changed = self.progress.changed() => if changed.is_err() { return },
                () = sender.closed() => return,
            }
        }
    }

    fn event(&self, seq: u64) -> bytes::Bytes {
        let text = text::chunk(&self.stream.prompt, seq);
        sse::chunk(self.stream.source(), seq, &text)
    }

    async fn send_last(&self, sender: &tokio::sync::mpsc::Sender<bytes::Bytes>) {
        let last = sse::last(self.stream.source(), self.stream.usage());
        if sender.send(last).await.is_ok() {
            let done = bytes::Bytes::from_static(sse::DONE.as_bytes());
            // The caller may have left after the last chunk, which is fine.
            drop(sender.send(done).await);
        }
    }

    /// Waits for the end and answers the text from the first chunk wanted.
    pub(super) async fn collect(mut self) -> face::Reply {
        let ended = self.progress.wait_for(|progress| progress.end.is_some()).await;
        let end = ended.ok().and_then(|progress| progress.end);
        if end != Some(End::Complete) {
            let status = http::StatusCode::SERVICE_UNAVAILABLE;
            return face::Reply::error(status, "cancelled", "the call was cancelled");
        }
        let content = text::range(&self.stream.prompt, self.from, self.stream.total);
        let completion = sse::completion(self.stream.source(), &content, self.stream.usage());
        face::Reply::json(http::StatusCode::OK, &completion)
    }
}
