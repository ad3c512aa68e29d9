//! The receiving end of an open call.

use std::sync;

use tokio::sync::mpsc;

use crate::calls;

/// Receives the parts of an answer. Dropping it before the call has ended closes
/// the call and reports to the decision core that the caller has disconnected.
#[derive(Debug)]
pub struct Answer {
    call: ids::Call,
    parts: mpsc::Receiver<calls::Part>,
    state: super::Shared,
    ended: bool,
}

impl Answer {
    /// Creates the receiving end of `call`.
    #[must_use]
    pub fn new(call: ids::Call, parts: mpsc::Receiver<calls::Part>, state: &super::Shared) -> Self {
        Self { call, parts, state: sync::Arc::clone(state), ended: false }
    }

    /// Returns the id of the call.
    #[must_use]
    pub const fn call(&self) -> ids::Call {
        self.call
    }

    /// Waits for the next part. Returns `None` after the last part, or if the call was
    /// closed because the caller reads too slowly.
    pub async fn next(&mut self) -> Option<calls::Part> {
        let part = self.parts.recv().await;
        if let Some(calls::Part::Ended(_)) = part {
            self.ended = true;
        }
        part
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        let was_open = self.state.calls.close(self.call);
        if was_open && !self.ended {
            self.state.inbox.send_disconnect(self.call);
        }
    }
}
