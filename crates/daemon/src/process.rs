//! Life cycle of the process: bind, run, shut down gracefully.

use std::{fmt, net, sync, time};

use tokio::{runtime, signal::unix, sync::watch};

use crate::{
    caller, calls, driver, effect, error, inbox, metric, operator, peer, ready, relay::access,
    server, settings,
};

/// Idle time after which TCP keepalive probes an accepted connection, and the
/// interval between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(20);
/// Maximum number of open connections from other VMs.
const MAX_PEER_CONNECTIONS: usize = 4_096;

/// The JSON line that is printed once to announce the listening addresses.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Listening<'a> {
    process: &'static str,
    vm: &'a str,
    caller: net::SocketAddr,
    operator: net::SocketAddr,
    peer: net::SocketAddr,
}

/// The listening sockets for callers, operators and other VMs.
#[derive(Debug)]
pub struct Listeners {
    caller: net::TcpListener,
    operator: net::TcpListener,
    peer: net::TcpListener,
    peer_address: net::SocketAddr,
}

impl Listeners {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    ///
    /// [`error::Kind::System`] with the address that cannot be bound.
    pub fn bind(settings: &settings::Settings) -> error::Result<Self> {
        let stall_ms = settings.limits.write_stall_ms.get();
        let caller = listen(settings.caller.address, stall_ms)?;
        let operator = listen(settings.operator.address, stall_ms)?;
        let peer = listen(settings.peer.address, stall_ms)?;
        let peer_address = local_address(&peer)?;
        Ok(Self { caller, operator, peer, peer_address })
    }

    /// Returns the address on which this VM listens for other VMs.
    #[must_use]
    pub const fn peer_address(&self) -> net::SocketAddr {
        self.peer_address
    }

    fn announce(&self, settings: &settings::Settings) -> error::Result<()> {
        let listening = Listening {
            process: "primroseplankd",
            vm: settings.vm.as_str(),
            caller: local_address(&self.caller)?,
            operator: local_address(&self.operator)?,
            peer: self.peer_address,
        };
        println!("{}", serde_json::json!(listening));
        Ok(())
    }
}

fn local_address(listener: &net::TcpListener) -> error::Result<net::SocketAddr> {
    listener.local_addr().map_err(|cause| error::Error::system("listen", &"socket", &cause))
}

/// Returns a listener whose connections are closed when the other side
/// acknowledges nothing for `stall_ms` ms or no longer answers keepalive probes.
pub(crate) fn listen(address: net::SocketAddr, stall_ms: u64) -> error::Result<net::TcpListener> {
    let failure = |cause: &dyn fmt::Display| error::Error::system("listen", &address, &cause);
    let listener = net::TcpListener::bind(address).map_err(|cause| failure(&cause))?;
    // Accepted connections inherit these options from the listener.
    let stall_ms = u32::try_from(stall_ms).unwrap_or(u32::MAX);
    let options = || {
        rustix::net::sockopt::set_tcp_user_timeout(&listener, stall_ms)?;
        rustix::net::sockopt::set_socket_keepalive(&listener, true)?;
        rustix::net::sockopt::set_tcp_keepidle(&listener, KEEPALIVE_INTERVAL)?;
        rustix::net::sockopt::set_tcp_keepintvl(&listener, KEEPALIVE_INTERVAL)?;
        rustix::net::sockopt::set_tcp_nodelay(&listener, true)
    };
    options().map_err(|cause| failure(&cause))?;
    listener.set_nonblocking(true).map_err(|cause| failure(&cause))?;
    Ok(listener)
}

/// Returns the number of a start of the process: ms since the Unix epoch. It is lower than that
/// of an earlier start if the clock was set back in between.
#[must_use]
pub fn incarnation() -> u64 {
    let age = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Runs the VM until SIGTERM or SIGINT and then until every open call has ended.
///
/// # Errors
///
/// [`error::Kind::System`] if a component cannot be started.
pub fn run(
    settings: &settings::Settings,
    listeners: Listeners,
    incarnation: u64,
    core: impl driver::Core,
) -> error::Result<()> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.threads.count())
        .enable_all()
        .build()
        .map_err(|cause| error::Error::system("start", &"runtime", &cause))?;
    let daemon = Daemon::start(settings, listeners, incarnation, core, &runtime)?;
    runtime.block_on(daemon.run_until_drained(settings))?;
    daemon.stop_servers()?;
    runtime.shutdown_background();
    tracing::info!(step = "stop", "stopped");
    Ok(())
}

/// A running VM.
#[derive(Debug)]
struct Daemon {
    calls: sync::Arc<calls::Table>,
    inbox: inbox::Inbox,
    readiness: sync::Arc<ready::Readiness>,
    stopped: watch::Receiver<bool>,
    caller: server::Running,
    operator: server::Running,
}

impl Daemon {
    fn start(
        settings: &settings::Settings,
        listeners: Listeners,
        incarnation: u64,
        core: impl driver::Core,
        runtime: &runtime::Runtime,
    ) -> error::Result<Self> {
        let metrics = operator::Metrics(metric::start()?);
        let limits = &settings.limits;
        let table = calls::Table::new(limits.open_calls.count(), limits.stream_chunks.count());
        let calls = sync::Arc::new(table);
        let (inbox, receiver) = inbox::channel();
        let readiness = sync::Arc::<ready::Readiness>::default();
        let operators = sync::Arc::<operator::Pending>::default();
        let (stopped, stopped_receiver) = watch::channel(false);
        let identity = peer::link::Identity {
            vm: settings.vm.as_str().into(),
            incarnation: ids::Incarnation::new(incarnation),
            credential: settings.peer.credential.clone(),
        };
        listeners.announce(settings)?;
        let effects = effect::Effects::new(
            effect::Context {
                calls: sync::Arc::clone(&calls),
                inbox: inbox.clone(),
                operators: sync::Arc::clone(&operators),
                links: peer::Links::new(identity.clone()),
                readiness: sync::Arc::clone(&readiness),
                stopped,
                runtime: runtime.handle().clone(),
                identity,
            },
            settings,
        );
        runtime.spawn(driver::run(core, receiver, effects));
        accept_peers(runtime, listeners.peer, settings, &inbox)?;
        let state = operator::State {
            pending: operators,
            inbox: inbox.clone(),
            credential: settings.operator.credential.clone(),
            timeout: limits.operator_ms.millis(),
            readiness: sync::Arc::clone(&readiness),
            metrics,
        };
        let operator = operator::start(state, listeners.operator)?;
        let state = caller::State::new(
            sync::Arc::clone(&calls),
            inbox.clone(),
            limits,
            sync::Arc::clone(&readiness),
        );
        let caller = caller::start(state, listeners.caller, limits)?;
        Ok(Self { calls, inbox, readiness, stopped: stopped_receiver, caller, operator })
    }

    /// Waits for a stop signal and then until every open call has ended.
    async fn run_until_drained(&self, settings: &settings::Settings) -> error::Result<()> {
        wait_for_stop_signal().await?;
        tracing::info!(step = "stop", "received a stop signal; finishing open calls");
        self.readiness.stop();
        // The core keeps serving new calls until the balancer has had time to see
        // that this VM is not ready.
        self.inbox.send(node::Input::Stop).await;
        let mut stopped = self.stopped.clone();
        if stopped.wait_for(|stopped| *stopped).await.is_err() {
            return Err(error::Error::system(
                "stop",
                &"core",
                &"the core ended while calls were open",
            ));
        }
        self.calls.wait_until_drained(settings.limits.write_stall_ms.millis()).await;
        Ok(())
    }

    fn stop_servers(self) -> error::Result<()> {
        self.caller.stop()?;
        self.operator.stop()
    }
}

fn accept_peers(
    runtime: &runtime::Runtime,
    listener: net::TcpListener,
    settings: &settings::Settings,
    inbox: &inbox::Inbox,
) -> error::Result<()> {
    let _context = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)
        .map_err(|cause| error::Error::system("start", &"peer listener", &cause))?;
    let gate = access::Gate::new("peer", MAX_PEER_CONNECTIONS);
    let credential = settings.peer.credential.clone();
    runtime.spawn(peer::accept::run(listener, credential, inbox.clone(), gate));
    Ok(())
}

async fn wait_for_stop_signal() -> error::Result<()> {
    let failure = |cause: std::io::Error| error::Error::system("wait", &"signals", &cause);
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(failure)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(failure)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
