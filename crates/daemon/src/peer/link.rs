//! Outgoing connections to other VMs.

use std::{collections, sync, time};

use futures_util::{SinkExt as _, StreamExt as _};
use rand::Rng as _;
use tokio::{
    net,
    sync::{Notify, broadcast},
    task,
};
use tokio_tungstenite::{
    WebSocketStream, client_async_with_config,
    tungstenite::{Message, client::IntoClientRequest as _},
};

use crate::{metric, settings};

/// Capacity of the queue of messages for one VM; when it is full, the oldest are
/// dropped.
const QUEUE_MESSAGES: usize = 1_024;
/// Age at which a queued message is dropped.
const MAX_MESSAGE_AGE: time::Duration = time::Duration::from_secs(2);
/// Backoff before the first reconnection attempt.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(50);
/// Longest backoff between reconnection attempts.
const LONGEST_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Longest time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`), in
/// ms: a dead connection is replaced before its VM is considered gone.
const USER_TIMEOUT_MS: u32 = 2_000;

/// Result of a connection attempt; the error is the reason as text.
type Result<T, E = String> = std::result::Result<T, E>;

/// A queued message.
#[derive(Clone, Debug)]
struct Queued {
    queued_at: time::Instant,
    bytes: bytes::Bytes,
}

/// How this VM identifies itself to other VMs.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this VM.
    pub vm: ids::Vm,
    /// Incarnation of this process.
    pub incarnation: ids::Incarnation,
    /// Credential shared by all VMs.
    pub credential: settings::Credential,
}

/// The connection to one VM; dropping it closes the connection.
#[derive(Debug)]
struct Link {
    member: member::Member,
    queue: broadcast::Sender<Queued>,
    /// Ends the wait for the next attempt to connect.
    reachable: sync::Arc<Notify>,
    task: task::JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The outgoing connections to all other VMs.
#[derive(Debug)]
pub struct Links {
    identity: sync::Arc<Identity>,
    links: collections::BTreeMap<ids::Vm, Link>,
}

impl Links {
    /// Returns an empty set of links.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity: sync::Arc::new(identity), links: collections::BTreeMap::new() }
    }

    /// Opens links to new members, closes links to VMs that are not in `members`, and
    /// replaces those whose address changed.
    pub fn set_members(&mut self, members: Vec<member::Member>) {
        let mut previous = std::mem::take(&mut self.links);
        for member in members {
            let unchanged =
                previous.remove(&member.vm).filter(|link| link.member.peer == member.peer);
            let link = unchanged.unwrap_or_else(|| self.connect(member.clone()));
            self.links.insert(member.vm, link);
        }
    }

    /// Queues a message for several VMs and returns its size in bytes. It is dropped for
    /// a VM without a link, and later if it becomes too old or a queue overflows.
    pub fn send<T: serde::Serialize>(&self, to: &[ids::Vm], message: T) -> usize {
        let frame = wire::Frame { incarnation: self.identity.incarnation.get(), message };
        let bytes = match wire::encode(&frame) {
            Ok(bytes) => bytes,
            Err(cause) => {
                tracing::warn!(step = "peer", receivers = to.len(), %cause, "message not sent");
                return 0;
            }
        };
        let queued = Queued { queued_at: time::Instant::now(), bytes };
        for vm in to {
            let link = self.links.get(vm);
            if link.is_none_or(|link| link.queue.send(queued.clone()).is_err()) {
                metrics::counter!(metric::DROPPED_MESSAGES, "vm" => vm.to_string()).increment(1);
            }
        }
        queued.bytes.len()
    }

    /// Connects to a VM at once if there is no connection, because it is known to be
    /// reachable again.
    pub fn reconnect(&self, vm: &ids::Vm) {
        if let Some(link) = self.links.get(vm) {
            link.reachable.notify_one();
        }
    }

    fn connect(&self, member: member::Member) -> Link {
        let (queue, messages) = broadcast::channel(QUEUE_MESSAGES);
        let reachable = sync::Arc::new(Notify::new());
        let identity = sync::Arc::clone(&self.identity);
        let link = run_link(identity, member.clone(), messages, sync::Arc::clone(&reachable));
        Link { member, queue, reachable, task: tokio::spawn(link) }
    }
}

/// Connects to a VM and reconnects with backoff until the task is aborted. An attempt or
/// a wait is given up when the VM is known to be `reachable`: it may have started again.
async fn run_link(
    identity: sync::Arc<Identity>,
    member: member::Member,
    mut messages: broadcast::Receiver<Queued>,
    reachable: sync::Arc<Notify>,
) {
    let mut backoff = FIRST_BACKOFF;
    // A VM that is down is dialled repeatedly, so the same reason is logged only once.
    let mut last_reason = None;
    loop {
        let dialled = tokio::select! {
            dialled = dial(&identity, &member) => dialled,
            () = reachable.notified() => {
                backoff = FIRST_BACKOFF;
                continue;
            }
        };
        match dialled {
            Ok(socket) => {
                backoff = FIRST_BACKOFF;
                last_reason = None;
                tracing::info!(step = "peer", peer = %member.vm, "connected");
                let reason = transmit(socket, &member, &mut messages).await;
                tracing::warn!(step = "peer", peer = %member.vm, reason, "connection lost");
            }
            Err(reason) => {
                if last_reason.as_ref() != Some(&reason) {
                    let address = &*member.peer;
                    tracing::warn!(step = "peer", peer = %member.vm, address, reason, "not reached");
                    last_reason = Some(reason);
                }
            }
        }
        metrics::counter!(metric::LOST_CONNECTIONS, "vm" => member.vm.to_string()).increment(1);
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = tokio::time::sleep(backoff.mul_f64(jitter)) => {
                backoff = (backoff * 2).min(LONGEST_BACKOFF);
            }
            () = reachable.notified() => backoff = FIRST_BACKOFF,
        }
    }
}

async fn dial(
    identity: &Identity,
    member: &member::Member,
) -> Result<WebSocketStream<net::TcpStream>> {
    let dialling = async {
        let stream = net::TcpStream::connect(&*member.peer).await.map_err(error_text)?;
        stream.set_nodelay(true).map_err(error_text)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT_MS).map_err(error_text)?;
        let request = handshake_request(identity, member)?;
        let limits = Some(super::websocket_config());
        let (socket, _response) =
            client_async_with_config(request, stream, limits).await.map_err(error_text)?;
        Ok(socket)
    };
    let dialled = tokio::time::timeout(super::HANDSHAKE_TIMEOUT, dialling).await;
    dialled.unwrap_or_else(|_elapsed| {
        Err(format!("no connection within {:?}", super::HANDSHAKE_TIMEOUT))
    })
}

fn error_text(cause: impl std::fmt::Display) -> String {
    cause.to_string()
}

fn handshake_request(identity: &Identity, member: &member::Member) -> Result<http::Request<()>> {
    let uri = format!("ws://{}{}", member.peer, super::PATH);
    let mut request = uri.into_client_request().map_err(error_text)?;
    let credential = format!("Bearer {}", identity.credential.reveal());
    let mut credential = http::HeaderValue::from_str(&credential).map_err(error_text)?;
    credential.set_sensitive(true);
    let vm = http::HeaderValue::from_str(identity.vm.as_str()).map_err(error_text)?;
    let headers = request.headers_mut();
    headers.insert(http::header::AUTHORIZATION, credential);
    headers.insert(super::VM_HEADER, vm);
    headers.insert(super::INCARNATION_HEADER, identity.incarnation.get().into());
    Ok(request)
}

/// Sends queued messages until the connection is lost, and returns the reason.
async fn transmit(
    mut socket: WebSocketStream<net::TcpStream>,
    member: &member::Member,
    messages: &mut broadcast::Receiver<Queued>,
) -> String {
    loop {
        tokio::select! {
            received = messages.recv() => match received {
                Ok(queued) if queued.queued_at.elapsed() > MAX_MESSAGE_AGE => count_dropped(member, 1),
                Ok(queued) => {
                    if let Err(cause) = socket.send(Message::Binary(queued.bytes)).await {
                        return cause.to_string();
                    }
                }
                Err(broadcast::error::RecvError::Lagged(count)) => count_dropped(member, count),
                Err(broadcast::error::RecvError::Closed) => return "the link was removed".to_owned(),
            },
            // The other VM only sends control frames on this connection; reading
            // detects when it is closed.
            incoming = socket.next() => match incoming {
                Some(Ok(_control)) => {}
                Some(Err(cause)) => return cause.to_string(),
                None => return "closed by the other VM".to_owned(),
            },
        }
    }
}

fn count_dropped(member: &member::Member, count: u64) {
    metrics::counter!(metric::DROPPED_MESSAGES, "vm" => member.vm.to_string()).increment(count);
}
