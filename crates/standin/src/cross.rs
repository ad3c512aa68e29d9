//! Exchange of the answers to two requests.

use std::{sync, time};

use crate::face;

/// How long an answer waits for another one to be exchanged with.
const WAIT: time::Duration = time::Duration::from_secs(10);

/// An answer that waits, and where to send the one that it is exchanged with.
struct Waiting {
    reply: face::Reply,
    other: tokio::sync::oneshot::Sender<face::Reply>,
}

/// Where two answers meet.
#[derive(Default)]
pub(crate) struct Crossing(sync::Mutex<Option<Waiting>>);

impl Crossing {
    /// Exchanges `reply` with the next answer that comes, or gives it back after a while.
    pub(crate) async fn exchange(&self, reply: face::Reply) -> face::Reply {
        let mut receiver = match self.meet(reply) {
            Ok(reply) => return reply,
            Err(receiver) => receiver,
        };
        if let Ok(Ok(reply)) = tokio::time::timeout(WAIT, &mut receiver).await {
            return reply;
        }
        // Another answer may have come between the end of the wait and this lock.
        let mut place = self.lock();
        if let Ok(reply) = receiver.try_recv() {
            return reply;
        }
        let Some(waiting) = place.take() else {
            return face::Reply::empty(http::StatusCode::INTERNAL_SERVER_ERROR);
        };
        waiting.reply
    }

    /// The answer that waited, or where the next one will arrive.
    fn meet(
        &self,
        reply: face::Reply,
    ) -> Result<face::Reply, tokio::sync::oneshot::Receiver<face::Reply>> {
        let mut place = self.lock();
        let Some(waiting) = place.take() else {
            let (other, receiver) = tokio::sync::oneshot::channel();
            *place = Some(Waiting { reply, other });
            return Err(receiver);
        };
        // Whoever gives up waiting takes its answer back, so this one is awaited
        // unless its caller has left.
        drop(waiting.other.send(reply));
        Ok(waiting.reply)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Waiting>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
