//! The life of a process that relays calls: bind, run, stop gracefully.

use std::{net, path, sync, time};

use relay::{Input, Relay, config};
use tokio::{runtime, signal::unix, sync::watch};

use crate::{
    error, log, peer,
    process::{incarnation, listen},
    relay::{calls, driver, effect, front, inbox, metric, pool, rows, settings, side},
};

/// Longest time for which a caller may take nothing, in ms: longer than any
/// caller waits.
const STALL_MS: u64 = 15_000;
/// Time from the signal to stop until idle connections are closed: the balancer
/// has taken the VM out by then.
const CLOSE_AFTER: time::Duration = time::Duration::from_secs(3);
/// Time for the last bytes of answers to leave before the process ends.
const FLUSH: time::Duration = time::Duration::from_millis(200);
/// Time between two publications of the count of dropped log lines.
const COUNT_LINES: time::Duration = time::Duration::from_secs(1);

/// Runs a VM that relays calls until it is told to stop by SIGTERM or SIGINT
/// and has finished every open call.
///
/// # Errors
///
/// [`error::Kind::System`] if a part cannot be started.
pub fn run(settings: &settings::Settings, file: &path::Path) -> error::Result<()> {
    let lines = log::start_bounded(settings.log.level, settings.log.lines.0.count());
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| error::Error::system("start", &"runtime", &cause))?;
    runtime.block_on(live(settings, file, &lines))?;
    tracing::info!(step = "stop", peer = settings.vm.as_str(), outcome = "ended");
    Ok(())
}

async fn live(
    settings: &settings::Settings,
    file: &path::Path,
    lines: &log::Writer,
) -> error::Result<()> {
    let metrics = metric::start()?;
    let caller = bind(settings.caller.address)?;
    let balancer = bind(settings.balancer.address)?;
    let peers = bind(settings.peer.address)?;
    let own =
        peers.local_addr().map_err(|cause| error::Error::system("listen", &"peer", &cause))?;
    let incarnation = incarnation();
    let core = settings.core(incarnation, settings.peer.advertised.unwrap_or(own));
    let (inbox, inputs) = inbox::pair();
    let (ready, is_ready) = watch::channel(false);
    let (stop, stops) = watch::channel(front::Stage::Running);
    let (stopped, mut has_stopped) = watch::channel(false);
    let (limits, current) = watch::channel(config::Limits::default());
    let address: sync::Arc<str> = settings.store.address.to_string().into();
    let calls = calls::Table::default();
    let pool = pool::Pool::default();
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
        gates: rows::start(&address, &inbox),
        writer: rows::Writer::new(&address),
        ready,
        stop: stop.clone(),
        stopped,
    };
    let state = front::State { calls, inbox: inbox.clone(), pool, limits: current, stop: stops };
    tokio::spawn(driver::run(Relay::new(core), inputs, effects, limits));
    let mut addresses = vec![address_of(&caller)?, address_of(&balancer)?];
    addresses.push(match &settings.metrics {
        Some(face) => {
            let listener = bind(face.address)?;
            let address = address_of(&listener)?;
            tokio::spawn(side::run(listener, side::Face::Metrics(metrics)));
            address
        }
        None => "none".to_owned(),
    });
    tokio::spawn(side::run(balancer, side::Face::Ready(is_ready)));
    tokio::spawn(peer::accept::run(peers, settings.peer.credential.clone(), inbox.clone()));
    tokio::spawn(front::run(caller, sync::Arc::new(state)));
    tokio::spawn(lines.clone().publish_dropped_lines(COUNT_LINES));
    tracing::info!(
        step = "start",
        peer = settings.vm.as_str(),
        outcome = "listening",
        caller = %addresses[0],
        balancer = %addresses[1],
        peers = %own,
        metrics = %addresses[2],
        incarnation,
        store = %address,
    );
    signalled(file).await?;
    inbox.send(Input::Stop);
    stop.send_replace(front::Stage::Closing);
    tokio::time::sleep(CLOSE_AFTER).await;
    stop.send_replace(front::Stage::Closed);
    if has_stopped.wait_for(|stopped| *stopped).await.is_err() {
        return Err(error::Error::system("stop", &"core", &"it ended before its calls"));
    }
    tokio::time::sleep(FLUSH).await;
    Ok(())
}

/// Where a face listens, which the settings may have left to the system.
fn address_of(listener: &tokio::net::TcpListener) -> error::Result<String> {
    let address = listener.local_addr();
    let address = address.map_err(|cause| error::Error::system("listen", &"face", &cause))?;
    Ok(address.to_string())
}

fn bind(address: net::SocketAddr) -> error::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::from_std(listen(address, STALL_MS)?)
        .map_err(|cause| error::Error::system("listen", &address, &cause))
}

/// Waits for the signal to stop; checks the settings anew at SIGHUP.
async fn signalled(file: &path::Path) -> error::Result<()> {
    let fault = |cause: std::io::Error| error::Error::system("wait", &"signals", &cause);
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(fault)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(fault)?;
    let mut hangup = unix::signal(unix::SignalKind::hangup()).map_err(fault)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(file),
        }
    }
}

/// Addresses and names stay as they are until the next start; what else may
/// change comes with the configuration.
fn reload(file: &path::Path) {
    match settings::load(file) {
        Ok(settings) => tracing::info!(
            step = "reload",
            peer = settings.vm.as_str(),
            outcome = "checked",
            store = %settings.store.address,
        ),
        Err(cause) => tracing::warn!(step = "reload", outcome = "kept as before", %cause),
    }
}
