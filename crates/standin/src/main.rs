//! Starts one stand-in, or talks to the control address of one.

use std::{io::Write as _, net, process::ExitCode};

use clap::Parser as _;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand-ins for the platform and the targets.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(version)]
enum Command {
    /// The transactional table service.
    Table(standin::table::Config),
    /// The object store.
    Objects(standin::object::Config),
    /// The lagging list of VMs and targets.
    Vms(standin::vm::Config),
    /// The rate-limited weight store.
    Weights(standin::weight::Config),
    /// A model engine.
    Runner(standin::runner::Config),
    /// A plain service: the booking and lookup desk.
    Service(standin::service::Config),
    /// Sends calls to VMs or runners and prints what callers saw.
    Load(Box<standin::load::Config>),
    /// Sends one request to a control address and prints the answer.
    Control(Control),
    /// Sends one request and prints the answer as its caller sees it.
    Call(standin::call::Config),
}

#[derive(Debug)]
#[derive(clap::Args)]
struct Control {
    /// The control address.
    address: net::SocketAddr,
    /// GET or PUT.
    method: String,
    /// The path, such as /faults.
    path: String,
    /// The JSON body.
    #[arg(default_value = "")]
    body: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .init();
    match run(Command::parse()).await {
        Ok(code) => code,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let process = match command {
        Command::Table(config) => standin::table::start(&config)?,
        Command::Objects(config) => standin::object::start(&config)?,
        Command::Vms(config) => standin::vm::start(&config)?,
        Command::Weights(config) => standin::weight::start(&config)?,
        Command::Runner(config) => standin::runner::start(&config)?,
        Command::Service(config) => standin::service::start(&config)?,
        Command::Load(config) => return load(&config).await,
        Command::Control(control) => return send(&control).await,
        Command::Call(config) => return call(&config).await,
    };
    serve(process).await?;
    Ok(ExitCode::SUCCESS)
}

/// Prints the addresses, then serves until the process is told to stop.
async fn serve(process: standin::process::Process) -> std::io::Result<()> {
    let mut terminate = signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut interrupt = signal(tokio::signal::unix::SignalKind::interrupt())?;
    print(&serde_json::to_string(&process.banner())?)?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    process.stop().await;
    Ok(())
}

fn signal(kind: tokio::signal::unix::SignalKind) -> std::io::Result<tokio::signal::unix::Signal> {
    tokio::signal::unix::signal(kind)
}

async fn load(config: &standin::load::Config) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let report = standin::load::run(config).await?;
    if config.json {
        print(&serde_json::to_string_pretty(&report)?)?;
    } else {
        print(&report.to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}

async fn call(config: &standin::call::Config) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut out = std::io::stdout().lock();
    let succeeded = standin::call::run(config, &mut out).await?;
    writeln!(out)?;
    Ok(if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn send(control: &Control) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let client = standin::client::Client::new();
    let answer =
        client.send(control.address, &control.method, &control.path, control.body.clone()).await?;
    if answer.status.is_success() {
        print(&answer.text())?;
        return Ok(ExitCode::SUCCESS);
    }
    let status = answer.status;
    let text = answer.text();
    Err(format!("{} answered {status}: {text}", control.address).into())
}

fn print(line: &str) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}
