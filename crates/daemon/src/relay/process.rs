//! Starts a relay process, runs it and stops it gracefully.

use std::{net, path, sync, time};

use relay::{Input, Relay, config};
use tokio::{runtime, signal::unix, sync::watch};

use crate::{
    error, log, peer,
    process::{incarnation, listen},
    relay::{
        access, buffer, calls, connection, driver, effect, front, inbox, machine, metric, pool,
        rows, settings, side,
    },
};

/// Longest time for which a caller may read nothing of its answer, in ms: longer
/// than any caller waits.
const WRITE_STALL_MS: u64 = 15_000;
/// Interval at which the count of dropped log lines is published.
const DROPPED_LINES_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval at which the memory of request bodies and the connections are published.
const MEMORY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Runs a relay VM with the settings in `file` until SIGTERM or SIGINT stops it and
/// every open call has ended.
///
/// # Errors
///
/// [`error::Kind::Settings`] if the settings are invalid; [`error::Kind::System`] if the
/// runtime, the metrics, a listener or the signal handlers cannot be set up, or if the
/// core ends before its calls.
pub fn run(file: &path::Path) -> error::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| error::Error::system("start", &"runtime", &cause))?;
    // Signals may come before the settings are read; SIGHUP would end the process.
    let signals = runtime.block_on(async { Signals::register() })?;
    let settings = settings::load(file)?;
    let log_lines = log::start_bounded(settings.log.level, settings.log.lines.0.count());
    runtime.block_on(run_until_stopped(&settings, file, signals, &log_lines))?;
    tracing::info!(step = "stop", peer = settings.vm.as_str(), outcome = "ended");
    Ok(())
}

async fn run_until_stopped(
    settings: &settings::Settings,
    file: &path::Path,
    mut signals: Signals,
    log_lines: &log::Writer,
) -> error::Result<()> {
    let metrics = metric::start()?;
    let caller_listener = bind(settings.caller.address)?;
    bound_unread_bytes(&caller_listener);
    let balancer_listener = bind(settings.balancer.address)?;
    let peer_listener = bind(settings.peer.address)?;
    let peer_address = peer_listener
        .local_addr()
        .map_err(|cause| error::Error::system("listen", &"peer", &cause))?;
    let incarnation = incarnation();
    let core =
        settings.core_settings(incarnation, settings.peer.advertised.unwrap_or(peer_address));
    let (inbox, inputs) = inbox::channel();
    let (ready, is_ready) = watch::channel(false);
    let (stop, stop_stage) = watch::channel(front::Stage::Running);
    let (stopped, mut has_stopped) = watch::channel(false);
    let (limits, current_limits) = watch::channel(config::Limits::default());
    let address: sync::Arc<str> = settings.store.address.to_string().into();
    let era = connection::Era::new(&inbox);
    let calls = calls::Table::default();
    let pool = pool::Pool::default();
    let machine = machine::Machine::detect(&settings.limits);
    let buffers = buffer::Pool::new(machine.memory);
    let gate = access::Gate::new("caller", machine.connections());
    let connections = front::Connections::default();
    let identity = peer::link::Identity {
        vm: settings.vm.as_str().into(),
        incarnation: ids::Incarnation::new(incarnation),
        credential: settings.peer.credential.clone(),
    };
    let effects = effect::Effects {
        vm: settings.vm.as_str().into(),
        calls: calls.clone(),
        inbox: inbox.clone(),
        pool: pool.clone(),
        links: peer::Links::new(identity),
        subscriptions: rows::start(&address, &era, &inbox),
        writer: connection::Writer::new(&address, &era),
        era,
        ready,
        stop: stop.clone(),
        stopped,
    };
    let state = front::State {
        calls,
        inbox: inbox.clone(),
        pool,
        gate: gate.clone(),
        buffers: buffers.clone(),
        limits: current_limits,
        stop: stop_stage,
        connections: connections.clone(),
    };
    tokio::spawn(driver::run(Relay::new(core), inputs, effects, limits));
    let mut addresses = vec![address_of(&caller_listener)?, address_of(&balancer_listener)?];
    addresses.push(match &settings.metrics {
        Some(endpoint) => {
            let listener = bind(endpoint.address)?;
            let address = address_of(&listener)?;
            tokio::spawn(side::run(listener, "metrics", side::Endpoint::Metrics(metrics)));
            address
        }
        None => "none".to_owned(),
    });
    tokio::spawn(side::run(balancer_listener, "balancer", side::Endpoint::Ready(is_ready)));
    accept_peers(peer_listener, settings, &machine, &inbox);
    tokio::spawn(front::run(caller_listener, sync::Arc::new(state)));
    publish(buffers, gate, log_lines);
    tracing::info!(
        step = "start",
        peer = settings.vm.as_str(),
        outcome = "listening",
        caller = %addresses[0],
        balancer = %addresses[1],
        peers = %peer_address,
        metrics = %addresses[2],
        incarnation,
        store = %address,
    );
    signals.wait_for_stop(file).await;
    let signalled = tokio::time::Instant::now();
    // The grace period may have changed since the start.
    let shutdown = reload(file).as_ref().unwrap_or(settings).shutdown();
    inbox.send(Input::Stop(shutdown));
    stop.send_replace(front::Stage::Closing);
    tokio::time::sleep(shutdown.drained_after).await;
    stop.send_replace(front::Stage::Closed);
    if has_stopped.wait_for(|stopped| *stopped).await.is_err() {
        return Err(error::Error::system("stop", &"core", &"it ended before its calls"));
    }
    // The core counts a call as ended when its answer is complete here; the caller may still
    // be reading it.
    let ends_at = signalled + shutdown.ended_after;
    if tokio::time::timeout_at(ends_at, connections.closed()).await.is_err() {
        tracing::warn!(
            step = "stop",
            outcome = "answers not read",
            reason = "callers had not read their answers before the end of the grace period",
        );
    }
    tokio::time::sleep(shutdown.flush).await;
    Ok(())
}

/// Accepts connections of other VMs.
fn accept_peers(
    listener: tokio::net::TcpListener,
    settings: &settings::Settings,
    machine: &machine::Machine,
    inbox: &inbox::Inbox,
) {
    let gate = access::Gate::new("peer", machine.peers());
    tokio::spawn(gate.clone().publish(MEMORY_INTERVAL));
    let credential = settings.peer.credential.clone();
    tokio::spawn(peer::accept::run(listener, credential, inbox.clone(), gate));
}

/// Publishes the state of what is bounded.
fn publish(buffers: buffer::Pool, gate: access::Gate, log_lines: &log::Writer) {
    tokio::spawn(buffers.publish(MEMORY_INTERVAL));
    tokio::spawn(gate.publish(MEMORY_INTERVAL));
    tokio::spawn(log_lines.clone().publish_dropped_lines(DROPPED_LINES_INTERVAL));
}

/// Returns the address of a listener, whose port the settings may leave to the system.
fn address_of(listener: &tokio::net::TcpListener) -> error::Result<String> {
    let address = listener.local_addr();
    let address = address.map_err(|cause| error::Error::system("listen", &"face", &cause))?;
    Ok(address.to_string())
}

/// Bounds what the system receives for each connection that a listener accepts. Bytes that the
/// process has not read count as its memory.
fn bound_unread_bytes(listener: &tokio::net::TcpListener) {
    let bytes = machine::RECEIVE_BUFFER_BYTES;
    if let Err(cause) = rustix::net::sockopt::set_socket_recv_buffer_size(listener, bytes) {
        tracing::warn!(
            step = "start",
            outcome = "receive buffer not bounded",
            reason = "the system decides how much it receives for a connection",
            %cause,
        );
    }
}

fn bind(address: net::SocketAddr) -> error::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::from_std(listen(address, WRITE_STALL_MS)?)
        .map_err(|cause| error::Error::system("listen", &address, &cause))
}

/// The signals that the process handles.
#[derive(Debug)]
struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    fn register() -> error::Result<Self> {
        let register = |kind| {
            unix::signal(kind).map_err(|cause| error::Error::system("wait", &"signals", &cause))
        };
        Ok(Self {
            terminate: register(unix::SignalKind::terminate())?,
            interrupt: register(unix::SignalKind::interrupt())?,
            hangup: register(unix::SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. Each SIGHUP checks the settings file again.
    async fn wait_for_stop(&mut self, file: &path::Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    let _checked = reload(file);
                }
            }
        }
    }
}

/// Reads the settings file again; `None` if it is invalid. Only the grace period is
/// applied, at the stop: addresses and names are fixed until the next start, and
/// everything else that may change is in the configuration.
fn reload(file: &path::Path) -> Option<settings::Settings> {
    match settings::load(file) {
        Ok(settings) => {
            tracing::info!(
                step = "reload",
                peer = settings.vm.as_str(),
                outcome = "checked",
                store = %settings.store.address,
            );
            Some(settings)
        }
        Err(cause) => {
            tracing::warn!(step = "reload", outcome = "kept as before", %cause);
            None
        }
    }
}
