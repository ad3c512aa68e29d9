//! Table of open calls, which delivers the core's decisions to their tasks.

use std::{collections, sync, time};

use tokio::sync::mpsc;

use crate::relay::inbox;

/// A decision of the core about a call.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send the call to a target.
    Begin(relay::output::Begin),
    /// Answer the caller that the call has not run.
    Refuse {
        /// HTTP status.
        status: u16,
        /// Short reason for the log.
        reason: &'static str,
        /// Delay after which the caller may retry.
        retry_after: Option<time::Duration>,
    },
    /// Answer the caller that the call failed and may have run.
    Fail {
        /// HTTP status.
        status: u16,
        /// Short reason for the log.
        reason: &'static str,
    },
    /// Forward the failure with which the target has answered.
    Deliver,
}

type Senders = collections::HashMap<ids::Call, mpsc::UnboundedSender<Decision>>;

/// The open calls. Clones share the same table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    shared: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    last_id: ids::Call,
    senders: Senders,
}

/// An open call. Dropping it closes the call and reports that to the core.
#[derive(Debug)]
pub struct Call {
    /// Id of the call.
    pub id: ids::Call,
    /// Decisions of the core; at most a few for each attempt.
    pub decisions: mpsc::UnboundedReceiver<Decision>,
    table: Table,
    inbox: inbox::Inbox,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.table.lock().senders.remove(&self.id);
        self.inbox.send(relay::Input::Closed { call: self.id });
    }
}

impl Table {
    /// Opens a call with the next id.
    #[must_use]
    pub fn open(&self, inbox: &inbox::Inbox) -> Call {
        let (sender, decisions) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.last_id = state.last_id.next();
        let id = state.last_id;
        state.senders.insert(id, sender);
        drop(state);
        Call { id, decisions, table: self.clone(), inbox: inbox.clone() }
    }

    /// Sends a decision to its call. Returns false if the call is no longer open.
    #[must_use]
    pub fn send(&self, call: ids::Call, decision: Decision) -> bool {
        self.lock().senders.get(&call).is_some_and(|sender| sender.send(decision).is_ok())
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
