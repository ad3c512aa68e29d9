//! TCP proxies that can cut a direction, delay data and reset connections.
//!
//! A cut holds bytes back instead of dropping them, like TCP over a network that
//! loses packets: data sent during the cut arrives after the link is restored, unless the
//! sender resets its connection before.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, Interest},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task,
};

use crate::{Error, Result};

/// Size of the read buffer of one direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// A TCP proxy to one address.
#[derive(Debug)]
pub struct Link {
    address: net::SocketAddr,
    target: watch::Sender<Option<net::SocketAddr>>,
    forward_open: watch::Sender<bool>,
    backward_open: watch::Sender<bool>,
    delay: watch::Sender<time::Duration>,
    resets: watch::Sender<u64>,
    /// Number of connections so far.
    accepted: watch::Sender<u64>,
    /// Connections with a lower number are held.
    held_below: watch::Sender<u64>,
    task: task::JoinHandle<()>,
}

/// Receivers of the link's settings, cloned for each connection.
#[derive(Clone, Debug)]
struct State {
    target: watch::Receiver<Option<net::SocketAddr>>,
    forward_open: watch::Receiver<bool>,
    backward_open: watch::Receiver<bool>,
    delay: watch::Receiver<time::Duration>,
    resets: watch::Receiver<u64>,
    held_below: watch::Receiver<u64>,
    number: u64,
}

impl Link {
    /// Starts a link without a target; connections wait until [`Link::set_target`].
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start() -> Result<Self> {
        let error = |cause: std::io::Error| Error::new("start", &"relay", &cause);
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let (target, watch_target) = watch::channel(None);
        let (forward_open, watch_forward) = watch::channel(true);
        let (backward_open, watch_backward) = watch::channel(true);
        let (delay, watch_delay) = watch::channel(time::Duration::ZERO);
        let (resets, watch_resets) = watch::channel(0);
        let (held_below, watch_held) = watch::channel(0);
        let accepted = watch::Sender::new(0);
        let state = State {
            target: watch_target,
            forward_open: watch_forward,
            backward_open: watch_backward,
            delay: watch_delay,
            resets: watch_resets,
            held_below: watch_held,
            number: 0,
        };
        let task = tokio::spawn(accept(listener, state, accepted.clone()));
        Ok(Self {
            address,
            target,
            forward_open,
            backward_open,
            delay,
            resets,
            accepted,
            held_below,
            task,
        })
    }

    /// Address on which the link accepts connections.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets the target of new connections; established ones keep theirs.
    pub fn set_target(&self, target: net::SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Cuts the link in both directions.
    pub fn cut(&self) {
        self.forward_open.send_replace(false);
        self.backward_open.send_replace(false);
    }

    /// Cuts the direction from the target: requests arrive, responses do not.
    pub fn cut_answers(&self) {
        self.backward_open.send_replace(false);
    }

    /// Holds the bytes of the connections made so far; those of later ones pass.
    pub fn hold_established(&self) {
        let accepted = *self.accepted.borrow();
        self.held_below.send_replace(accepted);
        self.forward_open.send_replace(true);
        self.backward_open.send_replace(true);
    }

    /// Delays each read of data by `delay` in both directions.
    pub fn delay(&self, delay: time::Duration) {
        self.delay.send_replace(delay);
    }

    /// Resets all established connections; new ones are accepted at once.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Restores both directions and removes the delay.
    pub fn heal(&self) {
        self.delay(time::Duration::ZERO);
        self.held_below.send_replace(0);
        self.forward_open.send_replace(true);
        self.backward_open.send_replace(true);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: State, accepted: watch::Sender<u64>) {
    while let Ok((near, _from)) = listener.accept().await {
        let number = *accepted.borrow();
        accepted.send_replace(number + 1);
        tokio::spawn(connect(near, State { number, ..state.clone() }));
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
    let copying = async {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let forward_gate = Gate::new(state.forward_open, state.held_below.clone(), state.number);
        let backward_gate = Gate::new(state.backward_open, state.held_below, state.number);
        let copied = tokio::try_join!(
            forward(near_read, far_write, forward_gate, state.delay.clone()),
            forward(far_read, near_write, backward_gate, state.delay),
        );
        copied.is_err()
    };
    let is_reset = tokio::select! {
        is_reset = copying => is_reset,
        changed = state.resets.changed() => changed.is_ok(),
    };
    if is_reset {
        for end in [&near, &far] {
            // With a linger time of zero, closing the socket sends RST.
            let linger = Some(time::Duration::ZERO);
            if rustix::net::sockopt::set_socket_linger(end, linger).is_err() {
                return;
            }
        }
    }
}

/// Whether bytes of one direction of a connection pass.
struct Gate {
    open: watch::Receiver<bool>,
    held_below: watch::Receiver<u64>,
    number: u64,
}

impl Gate {
    const fn new(
        open: watch::Receiver<bool>,
        held_below: watch::Receiver<u64>,
        number: u64,
    ) -> Self {
        Self { open, held_below, number }
    }

    /// Waits until bytes pass. Returns false if the link has ended.
    async fn passes(&mut self) -> bool {
        let number = self.number;
        loop {
            let is_open = self.open.wait_for(|open| *open).await.is_ok();
            if !is_open || self.held_below.wait_for(|below| *below <= number).await.is_err() {
                return false;
            }
            if *self.open.borrow() {
                return true;
            }
        }
    }
}

/// The sender reset its connection while its bytes were held.
struct Reset;

/// Copies bytes while they pass, until the connection ends.
async fn forward(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    mut gate: Gate,
    delay: watch::Receiver<time::Duration>,
) -> Result<(), Reset> {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let wait = *delay.borrow();
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let passes = tokio::select! {
            biased;
            passes = gate.passes() => passes,
            _reset = from.ready(Interest::ERROR) => return Err(Reset),
        };
        if !passes || length == 0 {
            break;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return Ok(());
        }
    }
    // Closes only this direction, since the other one may still carry data. The peer may have
    // closed the connection already, so an error is ignored.
    drop(to.shutdown().await);
    Ok(())
}
