//! The way of what has happened to the task that owns the decision core.

use node::Input;
use tokio::sync::mpsc;

use crate::peer::accept;

/// Most inputs that wait for the core; senders wait when it is full.
const QUEUE_INPUTS: usize = 65_536;

/// Sends inputs to the core.
#[derive(Clone, Debug)]
pub struct Inbox {
    inputs: mpsc::Sender<Input>,
    gone: mpsc::UnboundedSender<ids::Call>,
}

/// Receives what an [`Inbox`] sends.
#[derive(Debug)]
pub struct Receiver {
    inputs: mpsc::Receiver<Input>,
    gone: mpsc::UnboundedReceiver<ids::Call>,
}

/// A connected pair.
#[must_use]
pub fn channel() -> (Inbox, Receiver) {
    let (input_sender, input_receiver) = mpsc::channel(QUEUE_INPUTS);
    // At most one message for each open call, whose number is bounded.
    let (gone_sender, gone_receiver) = mpsc::unbounded_channel();
    let inbox = Inbox { inputs: input_sender, gone: gone_sender };
    let outlet = Receiver { inputs: input_receiver, gone: gone_receiver };
    (inbox, outlet)
}

impl Inbox {
    /// Sends an input; waits while the queue is full. Whether the core is there.
    pub async fn send(&self, input: Input) -> bool {
        self.inputs.send(input).await.is_ok()
    }

    /// Tells the core that a caller has gone; never waits.
    pub fn send_disconnect(&self, call: ids::Call) {
        if self.gone.send(call).is_err() {
            tracing::debug!(%call, "a caller left after the core had ended");
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
    /// Waits for inputs and appends at most `limit` to `batch`; whether any
    /// sender is left.
    pub async fn receive(&mut self, batch: &mut Vec<Input>, limit: usize) -> bool {
        tokio::select! {
            count = self.inputs.recv_many(batch, limit) => {
                if count == 0 {
                    return false;
                }
            }
            Some(call) = self.gone.recv() => batch.push(Input::Gone { call }),
        }
        while batch.len() < limit {
            let Ok(call) = self.gone.try_recv() else {
                break;
            };
            batch.push(Input::Gone { call });
        }
        true
    }
}
