//! Links that can be cut, in one direction or in both, delayed and reset.
//!
//! A cut holds bytes back, as a network that loses packets does: what was sent
//! before arrives late, when the link is whole again.

use std::{net, time};

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
pub struct Link {
    address: net::SocketAddr,
    target: watch::Sender<Option<net::SocketAddr>>,
    there: watch::Sender<bool>,
    back: watch::Sender<bool>,
    delay: watch::Sender<time::Duration>,
    resets: watch::Sender<u64>,
    task: task::JoinHandle<()>,
}

/// The receiving ends that the connections look at.
#[derive(Clone, Debug)]
struct State {
    target: watch::Receiver<Option<net::SocketAddr>>,
    there: watch::Receiver<bool>,
    back: watch::Receiver<bool>,
    delay: watch::Receiver<time::Duration>,
    resets: watch::Receiver<u64>,
}

impl Link {
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
        let (delay, see_delay) = watch::channel(time::Duration::ZERO);
        let (resets, see_resets) = watch::channel(0);
        let state = State {
            target: see_target,
            there: see_there,
            back: see_back,
            delay: see_delay,
            resets: see_resets,
        };
        let task = tokio::spawn(accept(listener, state));
        Ok(Self { address, target, there, back, delay, resets, task })
    }

    /// Address of the link's near end.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets where the link leads; connections made before keep theirs.
    pub fn set_target(&self, target: net::SocketAddr) {
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

    /// Delays what is sent from now on, each way.
    pub fn delay(&self, by: time::Duration) {
        self.delay.send_replace(by);
    }

    /// Resets all connections; new ones can be made at once.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Makes the link whole and quick again.
    pub fn heal(&self) {
        self.delay(time::Duration::ZERO);
        self.there.send_replace(true);
        self.back.send_replace(true);
    }
}

impl Drop for Link {
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
    state.resets.mark_unchanged();
    let (mut near, mut far) = (near, far);
    let passing = async {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::join!(
            pump(near_read, far_write, state.there, state.delay.clone()),
            pump(far_read, near_write, state.back, state.delay),
        );
    };
    let is_reset = tokio::select! {
        () = passing => false,
        changed = state.resets.changed() => changed.is_ok(),
    };
    if is_reset {
        for end in [&near, &far] {
            // Without a wait for what was not sent, the end is a reset.
            let linger = Some(time::Duration::ZERO);
            if rustix::net::sockopt::set_socket_linger(end, linger).is_err() {
                return;
            }
        }
    }
}

/// Passes bytes on while the direction is open, until the connection ends.
async fn pump(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    mut open: watch::Receiver<bool>,
    delay: watch::Receiver<time::Duration>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let late = *delay.borrow();
        if !late.is_zero() {
            tokio::time::sleep(late).await;
        }
        if open.wait_for(|open| *open).await.is_err() || length == 0 {
            break;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // The other way may have more to pass on; where it has not, nobody listens.
    drop(to.shutdown().await);
}
