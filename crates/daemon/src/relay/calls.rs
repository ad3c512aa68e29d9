//! The open calls of the shell, and the way of the core's decisions to them.

use std::{collections, sync, time};

use tokio::sync::mpsc;

use crate::relay::inbox;

/// What the core has decided about a call.
#[derive(Clone, Debug)]
pub enum Part {
    /// Send it to a target.
    Begin(relay::output::Begin),
    /// Tell the caller that it has not run.
    Refuse {
        /// HTTP status.
        status: u16,
        /// Why, in a word or two.
        reason: &'static str,
        /// When another try makes sense.
        retry_after: Option<time::Duration>,
    },
    /// Tell the caller that it failed and may have run.
    Fail {
        /// HTTP status.
        status: u16,
        /// Why, in a word or two.
        reason: &'static str,
    },
    /// Pass on the failure with which the target has answered.
    Deliver,
}

type Senders = collections::HashMap<ids::Call, mpsc::UnboundedSender<Part>>;

/// The open calls.
#[derive(Clone, Debug, Default)]
pub struct Table {
    shared: sync::Arc<sync::Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    last: ids::Call,
    senders: Senders,
}

/// An open call; the core is told that it has gone when this is dropped.
#[derive(Debug)]
pub struct Call {
    /// Its number.
    pub call: ids::Call,
    /// What the core decides; at most a few parts for each attempt.
    pub parts: mpsc::UnboundedReceiver<Part>,
    table: Table,
    inbox: inbox::Inbox,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.table.lock().senders.remove(&self.call);
        self.inbox.send(relay::Input::Closed { call: self.call });
    }
}

impl Table {
    /// Opens a call.
    #[must_use]
    pub fn open(&self, inbox: &inbox::Inbox) -> Call {
        let (sender, parts) = mpsc::unbounded_channel();
        let mut open = self.lock();
        open.last = open.last.next();
        let call = open.last;
        open.senders.insert(call, sender);
        drop(open);
        Call { call, parts, table: self.clone(), inbox: inbox.clone() }
    }

    /// Tells a call what the core has decided; whether it is still open.
    #[must_use]
    pub fn send(&self, call: ids::Call, part: Part) -> bool {
        self.lock().senders.get(&call).is_some_and(|sender| sender.send(part).is_ok())
    }

    fn lock(&self) -> sync::MutexGuard<'_, Open> {
        self.shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
