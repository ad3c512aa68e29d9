//! The queue of inputs to the task that owns the decision core.

use node::Input;
use tokio::sync::mpsc;

use crate::peer::accept;

/// Capacity of the input queue; senders wait while it is full.
const QUEUE_INPUTS: usize = 65_536;

/// Sends inputs to the core. Clones send to the same queue.
#[derive(Clone, Debug)]
pub struct Inbox {
    inputs: mpsc::Sender<Input>,
    disconnects: mpsc::UnboundedSender<ids::Call>,
}

/// Receives the inputs that the [`Inbox`] and its clones send.
#[derive(Debug)]
pub struct Receiver {
    inputs: mpsc::Receiver<Input>,
    disconnects: mpsc::UnboundedReceiver<ids::Call>,
}

/// Creates an inbox and its receiver.
#[must_use]
pub fn channel() -> (Inbox, Receiver) {
    let (input_sender, input_receiver) = mpsc::channel(QUEUE_INPUTS);
    // Needs no bound: each open call sends at most one message, and the number of
    // open calls is bounded.
    let (disconnect_sender, disconnect_receiver) = mpsc::unbounded_channel();
    let inbox = Inbox { inputs: input_sender, disconnects: disconnect_sender };
    let receiver = Receiver { inputs: input_receiver, disconnects: disconnect_receiver };
    (inbox, receiver)
}

impl Inbox {
    /// Sends an input, waiting while the queue is full. Returns false if the core has
    /// ended.
    pub async fn send(&self, input: Input) -> bool {
        self.inputs.send(input).await.is_ok()
    }

    /// Reports to the core that the caller of `call` has disconnected, without
    /// blocking.
    pub fn send_disconnect(&self, call: ids::Call) {
        if self.disconnects.send(call).is_err() {
            tracing::debug!(%call, "a caller disconnected after the core had ended; ignored");
        }
    }
}

impl accept::Deliver<node::peer::Message> for Inbox {
    async fn deliver(&self, sender: &accept::Sender, message: node::peer::Message) -> bool {
        let (from, incarnation) = (sender.vm.clone(), sender.incarnation);
        self.send(Input::Peer { from, incarnation, message }).await
    }
}

impl Receiver {
    /// Waits for inputs and appends at most `limit` of them to `batch`. Returns false
    /// once every sender has been dropped.
    pub async fn receive(&mut self, batch: &mut Vec<Input>, limit: usize) -> bool {
        tokio::select! {
            count = self.inputs.recv_many(batch, limit) => {
                if count == 0 {
                    return false;
                }
            }
            Some(call) = self.disconnects.recv() => batch.push(Input::Gone { call }),
        }
        while batch.len() < limit {
            let Ok(call) = self.disconnects.try_recv() else {
                break;
            };
            batch.push(Input::Gone { call });
        }
        true
    }
}
