//! `primroseplankd`: the daemon that runs on every VM.

use std::{path, process};

use clap::Parser as _;
use daemon::{log, settings};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves callers and coordinates with the other VMs; runs on every VM.
///
/// Prints one line of JSON with its addresses once it is listening. SIGTERM
/// shuts it down gracefully: every open call is finished first.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(version)]
struct Arguments {
    /// Path of the VM's settings, a YAML file.
    #[arg(long, value_name = "FILE.yaml")]
    settings: path::PathBuf,
    /// Only validate the settings; the exit code is 1 if they are invalid.
    #[arg(long)]
    check_settings: bool,
    /// Relay calls between a platform's callers and targets unchanged; the
    /// settings file must be that of a relay.
    #[arg(long)]
    relay: bool,
}

fn main() -> process::ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("primroseplankd: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> daemon::Result<()> {
    if arguments.relay {
        return run_relay(arguments);
    }
    let settings = settings::load(&arguments.settings)?;
    if arguments.check_settings {
        println!("{}: settings are valid", arguments.settings.display());
        return Ok(());
    }
    log::start(&settings.log);
    let listeners = daemon::process::Listeners::bind(&settings)?;
    let incarnation = daemon::process::incarnation();
    let peer = settings.peer.advertised.unwrap_or_else(|| listeners.peer_address()).to_string();
    let config = node::Config::new(settings.vm.as_str(), settings.centre.as_str(), incarnation)
        .with_peer(&peer)
        .with_signers(settings.signers.clone())
        .with_balancer_wait(settings.stop.balancer_wait_ms.millis())
        .with_policy(settings.policy.target, settings.policy.queue, settings.policy.gap_ms.get());
    daemon::process::run(&settings, listeners, incarnation, node::Node::new(config))
}

fn run_relay(arguments: &Arguments) -> daemon::Result<()> {
    if arguments.check_settings {
        let _valid = daemon::relay::settings::load(&arguments.settings)?;
        println!("{}: settings are valid", arguments.settings.display());
        return Ok(());
    }
    daemon::relay::process::run(&arguments.settings)
}
