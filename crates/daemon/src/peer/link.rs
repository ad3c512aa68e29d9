//! Sending to other VMs.

use std::{collections, sync, time};

use futures_util::{SinkExt as _, StreamExt as _};
use rand::Rng as _;
use tokio::{net, sync::broadcast, task};
use tokio_tungstenite::{
    WebSocketStream, client_async_with_config,
    tungstenite::{Message, client::IntoClientRequest as _},
};

use crate::{metric, settings};

/// Most messages that wait for a VM; the oldest are dropped beyond.
const QUEUE_MESSAGES: usize = 1_024;
/// Age beyond which a message that waits is dropped.
const MESSAGE_AGE: time::Duration = time::Duration::from_secs(2);
/// Wait before the first new connection after a loss.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(50);
/// Longest wait before a new connection.
const LONGEST_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Longest time for which sent bytes may stay without acknowledgement, in ms: a
/// connection that has gone silent is replaced while its VM still counts as there.
const UNACKNOWLEDGED_MS: u32 = 2_000;

/// Result of an attempt to reach another VM, with the reason of a failure.
type Result<T, E = String> = std::result::Result<T, E>;

/// A message that waits.
#[derive(Clone, Debug)]
struct Waiting {
    since: time::Instant,
    bytes: bytes::Bytes,
}

/// This VM, as it shows itself to others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub vm: ids::Vm,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// The VMs' credential.
    pub credential: settings::Credential,
}

/// A link to one VM; it ends when it is dropped.
#[derive(Debug)]
struct Link {
    member: member::Member,
    queue: broadcast::Sender<Waiting>,
    task: task::JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The links to all other VMs.
#[derive(Debug)]
pub struct Links {
    identity: sync::Arc<Identity>,
    links: collections::BTreeMap<ids::Vm, Link>,
}

impl Links {
    /// No links yet.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity: sync::Arc::new(identity), links: collections::BTreeMap::new() }
    }

    /// Keeps links with these VMs and no others.
    pub fn set_members(&mut self, members: Vec<member::Member>) {
        let mut before = std::mem::take(&mut self.links);
        for member in members {
            let known = before.remove(&member.vm).filter(|link| link.member.peer == member.peer);
            let link = known.unwrap_or_else(|| self.connect(member.clone()));
            self.links.insert(member.vm, link);
        }
    }

    /// Sends a message; it is dropped if there is no link or its queue is full.
    pub fn send<T: serde::Serialize>(&self, to: &ids::Vm, message: T) {
        let Some(link) = self.links.get(to) else {
            metrics::counter!(metric::DROPPED, "vm" => to.to_string()).increment(1);
            return;
        };
        let frame = wire::Frame { incarnation: self.identity.incarnation.get(), message };
        match wire::encode(&frame) {
            Ok(bytes) => {
                let waiting = Waiting { since: time::Instant::now(), bytes };
                if link.queue.send(waiting).is_err() {
                    metrics::counter!(metric::DROPPED, "vm" => to.to_string()).increment(1);
                }
            }
            Err(cause) => tracing::warn!(step = "peer", peer = %to, %cause, "not sent"),
        }
    }

    fn connect(&self, member: member::Member) -> Link {
        let (queue, messages) = broadcast::channel(QUEUE_MESSAGES);
        let task = tokio::spawn(keep(sync::Arc::clone(&self.identity), member.clone(), messages));
        Link { member, queue, task }
    }
}

/// Keeps one connection, again and again, until the task is aborted.
async fn keep(
    identity: sync::Arc<Identity>,
    member: member::Member,
    mut messages: broadcast::Receiver<Waiting>,
) {
    let mut backoff = FIRST_BACKOFF;
    // A VM that is down is dialled again and again: its reason is told once.
    let mut told = None;
    loop {
        match dial(&identity, &member).await {
            Ok(socket) => {
                backoff = FIRST_BACKOFF;
                told = None;
                tracing::info!(step = "peer", peer = %member.vm, "connected");
                let reason = transmit(socket, &member, &mut messages).await;
                tracing::warn!(step = "peer", peer = %member.vm, reason, "connection lost");
            }
            Err(reason) => {
                if told.as_ref() != Some(&reason) {
                    let address = &*member.peer;
                    tracing::warn!(step = "peer", peer = %member.vm, address, reason, "not reached");
                    told = Some(reason);
                }
            }
        }
        metrics::counter!(metric::LOST, "vm" => member.vm.to_string()).increment(1);
        let share = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(share)).await;
        backoff = (backoff * 2).min(LONGEST_BACKOFF);
    }
}

async fn dial(
    identity: &Identity,
    member: &member::Member,
) -> Result<WebSocketStream<net::TcpStream>> {
    let dialling = async {
        let stream = net::TcpStream::connect(&*member.peer).await.map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_MS).map_err(text)?;
        let request = request(identity, member)?;
        let limits = Some(super::limits());
        let (socket, _response) =
            client_async_with_config(request, stream, limits).await.map_err(text)?;
        Ok(socket)
    };
    let dialled = tokio::time::timeout(super::HANDSHAKE, dialling).await;
    dialled.unwrap_or_else(|_elapsed| Err(format!("no connection within {:?}", super::HANDSHAKE)))
}

fn text(cause: impl std::fmt::Display) -> String {
    cause.to_string()
}

fn request(identity: &Identity, member: &member::Member) -> Result<http::Request<()>> {
    let uri = format!("ws://{}{}", member.peer, super::PATH);
    let mut request = uri.into_client_request().map_err(text)?;
    let credential = format!("Bearer {}", identity.credential.reveal());
    let mut credential = http::HeaderValue::from_str(&credential).map_err(text)?;
    credential.set_sensitive(true);
    let vm = http::HeaderValue::from_str(identity.vm.as_str()).map_err(text)?;
    let headers = request.headers_mut();
    headers.insert(http::header::AUTHORIZATION, credential);
    headers.insert(super::VM, vm);
    headers.insert(super::INCARNATION, identity.incarnation.get().into());
    Ok(request)
}

/// Sends what waits until the connection is lost; returns why it was.
async fn transmit(
    mut socket: WebSocketStream<net::TcpStream>,
    member: &member::Member,
    messages: &mut broadcast::Receiver<Waiting>,
) -> String {
    loop {
        tokio::select! {
            received = messages.recv() => match received {
                Ok(waiting) if waiting.since.elapsed() > MESSAGE_AGE => dropped(member, 1),
                Ok(waiting) => {
                    if let Err(cause) = socket.send(Message::Binary(waiting.bytes)).await {
                        return cause.to_string();
                    }
                }
                Err(broadcast::error::RecvError::Lagged(count)) => dropped(member, count),
                Err(broadcast::error::RecvError::Closed) => return "not needed any more".to_owned(),
            },
            // Nothing is sent this way but the end of the connection.
            seen = socket.next() => match seen {
                Some(Ok(_control)) => {}
                Some(Err(cause)) => return cause.to_string(),
                None => return "closed by the other VM".to_owned(),
            },
        }
    }
}

fn dropped(member: &member::Member, count: u64) {
    metrics::counter!(metric::DROPPED, "vm" => member.vm.to_string()).increment(count);
}
