//! Queue of inputs to the task that owns the decision core.

use relay::Input;
use tokio::sync::mpsc;

use crate::peer::accept;

/// Sends inputs to the core without blocking.
///
/// The channel is unbounded because its inputs are bounded: a few for each open
/// call, and one for each answer of the store and of a runner.
#[derive(Clone, Debug)]
pub struct Inbox(mpsc::UnboundedSender<Input>);

/// Creates the sending and the receiving half.
#[must_use]
pub fn channel() -> (Inbox, mpsc::UnboundedReceiver<Input>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Inbox(sender), receiver)
}

impl Inbox {
    /// Sends an input. Returns false if the core has ended.
    pub fn send(&self, input: Input) -> bool {
        let sent = self.0.send(input).is_ok();
        if !sent {
            tracing::debug!("the core has ended; dropping an input");
        }
        sent
    }
}

impl accept::Deliver<relay::peer::Message> for Inbox {
    async fn deliver(&self, sender: &accept::Sender, message: relay::peer::Message) -> bool {
        let (from, incarnation) = (sender.vm.clone(), sender.incarnation);
        self.send(Input::Peer { from, incarnation, message })
    }
}
