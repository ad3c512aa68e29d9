//! Links that can be cut, in one direction or in both.
//!
//! A cut holds bytes back, as a network that loses packets does: what was sent
//! before arrives late, when the link is whole again.

use std::net;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task,
};

use crate::{Error, Result};

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A link to one address.
#[derive(Debug)]
pub struct Relay {
    address: net::SocketAddr,
    target: watch::Sender<Option<net::SocketAddr>>,
    there: watch::Sender<bool>,
    back: watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

/// The receiving ends that the connections look at.
#[derive(Clone, Debug)]
struct State {
    target: watch::Receiver<Option<net::SocketAddr>>,
    there: watch::Receiver<bool>,
    back: watch::Receiver<bool>,
}

impl Relay {
    /// A link without a target, which holds connections until it has one.
    ///
    /// # Errors
    ///
    /// There is no port to be had.
    pub async fn start() -> Result<Self> {
        let fault = |cause: std::io::Error| Error::new("start", &"relay", &cause);
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let (target, see_target) = watch::channel(None);
        let (there, see_there) = watch::channel(true);
        let (back, see_back) = watch::channel(true);
        let state = State { target: see_target, there: see_there, back: see_back };
        let task = tokio::spawn(accept(listener, state));
        Ok(Self { address, target, there, back, task })
    }

    /// Address of the link's near end.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets where the link leads; connections made before keep theirs.
    pub fn lead_to(&self, target: net::SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Cuts the link in both directions.
    pub fn cut(&self) {
        self.there.send_replace(false);
        self.back.send_replace(false);
    }

    /// Cuts the link in the direction away from the target: answers are lost.
    pub fn cut_answers(&self) {
        self.back.send_replace(false);
    }

    /// Makes the link whole again.
    pub fn heal(&self) {
        self.there.send_replace(true);
        self.back.send_replace(true);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: State) {
    while let Ok((near, _from)) = listener.accept().await {
        tokio::spawn(connect(near, state.clone()));
    }
}

async fn connect(near: TcpStream, mut state: State) {
    let Ok(target) = state.target.wait_for(Option::is_some).await.map(|target| *target) else {
        return;
    };
    let Some(target) = target else {
        return;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(pump(near_read, far_write, state.there), pump(far_read, near_write, state.back),);
}

/// Passes bytes on while the direction is open, until the connection ends.
async fn pump(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut open: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if open.wait_for(|open| *open).await.is_err() || length == 0 {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
