//! Incoming connections from other VMs.

use std::time;

use futures_util::StreamExt as _;
use tokio::net;
use tokio_tungstenite::{
    WebSocketStream, accept_hdr_async_with_config,
    tungstenite::{Message, handshake::server},
};

use crate::{credential, relay::access, settings};

/// Wait after a failed accept, to avoid a busy loop when file descriptors run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// The VM that sends on a connection, as identified in the handshake.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Name of the VM.
    pub vm: ids::Vm,
    /// Incarnation of its process.
    pub incarnation: ids::Incarnation,
}

/// A consumer of the messages of other VMs.
pub trait Deliver<T>: Clone + Send + Sync + 'static {
    /// Delivers a message. Returns false if the consumer has ended.
    fn deliver(&self, sender: &Sender, message: T) -> impl Future<Output = bool> + Send;
}

/// Accepts as many connections from other VMs as `gate` admits, and delivers their messages
/// to `inbox` until the task is aborted. One that has not shown its credential may be closed
/// to make room.
pub async fn run<T: serde::de::DeserializeOwned + Send>(
    listener: net::TcpListener,
    credential: settings::Credential,
    inbox: impl Deliver<T>,
    gate: access::Gate,
) {
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without a pass the connection is closed.
        let Some(pass) = gate.enter() else {
            continue;
        };
        let credential = credential.clone();
        let inbox = inbox.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serve(stream, &credential, &inbox, &pass) => {}
                () = pass.closed() => {}
            }
        });
        // Lets a connection that is to be closed end before the next one is accepted.
        tokio::task::yield_now().await;
    }
}

#[expect(clippy::result_large_err, reason = "the library's callback returns this type")]
async fn serve<T: serde::de::DeserializeOwned + Send>(
    stream: net::TcpStream,
    credential: &settings::Credential,
    inbox: &impl Deliver<T>,
    pass: &access::Pass,
) {
    let mut sender = None;
    let authenticate = |request: &server::Request, response: server::Response| {
        sender = Some(identify(request, credential)?);
        Ok(response)
    };
    let handshake =
        accept_hdr_async_with_config(stream, authenticate, Some(super::websocket_config()));
    let Ok(Ok(socket)) = tokio::time::timeout(super::HANDSHAKE_TIMEOUT, handshake).await else {
        return;
    };
    if let Some(sender) = sender
        && pass.begin()
    {
        receive(socket, &sender, inbox).await;
    }
}

#[expect(clippy::result_large_err, reason = "the library's callback returns this type")]
fn identify(
    request: &server::Request,
    credential: &settings::Credential,
) -> Result<Sender, server::ErrorResponse> {
    if request.uri().path() != super::PATH {
        return Err(rejection(http::StatusCode::NOT_FOUND));
    }
    let headers = request.headers();
    if !credential::is_valid(headers, credential) {
        return Err(rejection(http::StatusCode::UNAUTHORIZED));
    }
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let vm = text(super::VM_HEADER);
    let incarnation = text(super::INCARNATION_HEADER).and_then(|text| text.parse().ok());
    let (Some(vm), Some(incarnation)) = (vm, incarnation) else {
        return Err(rejection(http::StatusCode::BAD_REQUEST));
    };
    Ok(Sender { vm: vm.into(), incarnation: ids::Incarnation::new(incarnation) })
}

fn rejection(status: http::StatusCode) -> server::ErrorResponse {
    let mut response = server::ErrorResponse::new(None);
    *response.status_mut() = status;
    response
}

async fn receive<T: serde::de::DeserializeOwned + Send>(
    mut socket: WebSocketStream<net::TcpStream>,
    sender: &Sender,
    inbox: &impl Deliver<T>,
) {
    while let Some(Ok(message)) = socket.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        let frame: wire::Frame<T> = match wire::decode(&bytes) {
            Ok(frame) => frame,
            Err(cause) => {
                tracing::warn!(step = "peer", peer = %sender.vm, %cause, "closing a connection with an invalid frame");
                return;
            }
        };
        if frame.incarnation != sender.incarnation.get() {
            tracing::warn!(step = "peer", peer = %sender.vm, "closing a connection: a frame has a different incarnation than the handshake");
            return;
        }
        if !inbox.deliver(sender, frame.message).await {
            return;
        }
    }
}
