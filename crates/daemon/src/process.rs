//! The life of a process: bind, run, stop gracefully.

use std::{fmt, net, sync, time};

use tokio::{runtime, signal::unix, sync::watch};

use crate::{
    caller, calls, driver, effect, error, inbox, metric, operator, peer, ready, server, settings,
};

/// Time without use after which a connection to a face is probed, and between probes.
const PROBE: time::Duration = time::Duration::from_secs(20);

/// The line that tells, once, where the process listens.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Listening<'a> {
    process: &'static str,
    vm: &'a str,
    caller: net::SocketAddr,
    operator: net::SocketAddr,
    peer: net::SocketAddr,
}

/// The listeners of the three faces.
#[derive(Debug)]
pub struct Listeners {
    caller: net::TcpListener,
    operator: net::TcpListener,
    peer: net::TcpListener,
    peer_address: net::SocketAddr,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// [`error::Kind::System`] with the address that cannot be bound.
    pub fn bind(settings: &settings::Settings) -> error::Result<Self> {
        let stall = settings.limits.write_stall_ms.get();
        let caller = listen(settings.caller.address, stall)?;
        let operator = listen(settings.operator.address, stall)?;
        let peer = listen(settings.peer.address, stall)?;
        let peer_address = address(&peer)?;
        Ok(Self { caller, operator, peer, peer_address })
    }

    /// Address under which other VMs reach this one.
    #[must_use]
    pub const fn peer_address(&self) -> net::SocketAddr {
        self.peer_address
    }

    fn announce(&self, settings: &settings::Settings) -> error::Result<()> {
        let listening = Listening {
            process: "primroseplankd",
            vm: settings.vm.as_str(),
            caller: address(&self.caller)?,
            operator: address(&self.operator)?,
            peer: self.peer_address,
        };
        println!("{}", serde_json::json!(listening));
        Ok(())
    }
}

fn address(listener: &net::TcpListener) -> error::Result<net::SocketAddr> {
    listener.local_addr().map_err(|cause| error::Error::system("listen", &"socket", &cause))
}

/// A listener whose connections end when the other side takes nothing for
/// `stall` ms or is not there any more.
pub(crate) fn listen(address: net::SocketAddr, stall: u64) -> error::Result<net::TcpListener> {
    let fault = |cause: &dyn fmt::Display| error::Error::system("listen", &address, &cause);
    let listener = net::TcpListener::bind(address).map_err(|cause| fault(&cause))?;
    // Accepted connections inherit these options from the listener.
    let stall = u32::try_from(stall).unwrap_or(u32::MAX);
    let options = || {
        rustix::net::sockopt::set_tcp_user_timeout(&listener, stall)?;
        rustix::net::sockopt::set_socket_keepalive(&listener, true)?;
        rustix::net::sockopt::set_tcp_keepidle(&listener, PROBE)?;
        rustix::net::sockopt::set_tcp_keepintvl(&listener, PROBE)?;
        rustix::net::sockopt::set_tcp_nodelay(&listener, true)
    };
    options().map_err(|cause| fault(&cause))?;
    listener.set_nonblocking(true).map_err(|cause| fault(&cause))?;
    Ok(listener)
}

/// A number that rises with every start of a process: ms since the epoch.
#[must_use]
pub fn incarnation() -> u64 {
    let age = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Runs a VM until it is told to stop by SIGTERM or SIGINT and has finished
/// every open call.
///
/// # Errors
///
/// [`error::Kind::System`] if a part cannot be started.
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
    runtime.block_on(daemon.wait(settings))?;
    daemon.stop()?;
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
        let (inbox, outlet) = inbox::channel();
        let readiness = sync::Arc::<ready::Readiness>::default();
        let operators = sync::Arc::<operator::Pending>::default();
        let (stopped, has_stopped) = watch::channel(false);
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
        runtime.spawn(driver::run(core, outlet, effects));
        receive(runtime, listeners.peer, settings, &inbox)?;
        let state = operator::State {
            waiting: operators,
            inbox: inbox.clone(),
            credential: settings.operator.credential.clone(),
            longest: limits.operator_ms.millis(),
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
        Ok(Self { calls, inbox, readiness, stopped: has_stopped, caller, operator })
    }

    /// Waits for the signal to stop and until every open call has ended.
    async fn wait(&self, settings: &settings::Settings) -> error::Result<()> {
        signalled().await?;
        tracing::info!(step = "stop", "told to stop; finishing open calls");
        self.readiness.stop();
        // The core goes on to serve new calls until the balancer has seen it.
        self.inbox.send(node::Input::Stop).await;
        let mut stopped = self.stopped.clone();
        if stopped.wait_for(|stopped| *stopped).await.is_err() {
            return Err(error::Error::system("stop", &"core", &"it ended before its calls"));
        }
        self.calls.drained(settings.limits.write_stall_ms.millis()).await;
        Ok(())
    }

    fn stop(self) -> error::Result<()> {
        self.caller.stop()?;
        self.operator.stop()
    }
}

fn receive(
    runtime: &runtime::Runtime,
    listener: net::TcpListener,
    settings: &settings::Settings,
    inbox: &inbox::Inbox,
) -> error::Result<()> {
    let _context = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)
        .map_err(|cause| error::Error::system("start", &"peer face", &cause))?;
    runtime.spawn(peer::accept::run(listener, settings.peer.credential.clone(), inbox.clone()));
    Ok(())
}

async fn signalled() -> error::Result<()> {
    let fault = |cause: std::io::Error| error::Error::system("wait", &"signals", &cause);
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(fault)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(fault)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
