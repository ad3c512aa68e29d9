//! An open-loop load generator.
//!
//! Calls are sent at moments fixed beforehand by a seed, whether or not
//! earlier ones have been answered. [`mix`] says who asks for what,
//! [`schedule`] when; [`judge`] knows what each account's rate allows, and
//! [`report`] sums up what callers saw.

mod event;
pub mod judge;
pub mod mix;
pub mod report;
pub mod sample;
pub mod schedule;
mod sender;
mod watch;

use std::{net, path, sync, time};

use crate::{Error, Result};

/// Settings of a run.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub struct Config {
    /// YAML file with the mix of calls.
    #[arg(long, value_name = "FILE")]
    pub mix: path::PathBuf,
    /// YAML file with the key of each account.
    #[arg(long, value_name = "FILE")]
    pub keys: Option<path::PathBuf>,
    /// Caller face of a VM; each call goes to one of them at random.
    #[arg(long = "vm", value_name = "ADDRESS")]
    pub vms: Vec<net::SocketAddr>,
    /// A runner to call directly. Without VMs all drafts go there and plain
    /// services are left out; with VMs every other draft does, for comparison.
    #[arg(long = "runner", value_name = "ADDRESS")]
    pub runners: Vec<net::SocketAddr>,
    /// Send all calls of an account to the same address.
    #[arg(long)]
    pub sticky: bool,
    /// Retries of a call that could not be sent or whose answer broke off, each
    /// at the next address: a stream is resumed, a booking keeps its key.
    #[arg(long, default_value_t = 0)]
    pub retries: u32,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How long calls are sent, in seconds.
    #[arg(long, default_value_t = 60.0)]
    pub seconds: f64,
    /// Leave the calls of so many first seconds out of the report.
    #[arg(long, default_value_t = 0.0)]
    pub warmup_seconds: f64,
    /// How long open calls are waited for at the end, in seconds.
    #[arg(long, default_value_t = 60.0)]
    pub drain_seconds: f64,
    /// Factor on the mix's calls a second.
    #[arg(long, default_value_t = 1.0)]
    pub scale: f64,
    /// Accelerators behind the addresses, for attainment per accelerator.
    #[arg(long, default_value_t = 1)]
    pub accelerators: u32,
    /// Width of the report's steps over time, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub bin_seconds: f64,
    /// Part of an account's rate and burst within which a refusal is wrongful.
    #[arg(long, default_value_t = 0.95)]
    pub margin: f64,
    /// Print the report as JSON.
    #[arg(long)]
    pub json: bool,
}

impl Config {
    fn span(&self) -> Result<time::Duration> {
        seconds("--seconds", self.seconds)
    }

    /// Seconds that the report is about.
    const fn counted_seconds(&self) -> f64 {
        self.seconds - self.warmup_seconds
    }
}

fn seconds(name: &'static str, value: f64) -> Result<time::Duration> {
    time::Duration::try_from_secs_f64(value)
        .map_err(|error| Error::new("read settings", name, error))
}

/// Sends the calls and sums up what came of them.
///
/// # Errors
///
/// A file cannot be read or does not fit, or a setting is out of range.
pub async fn run(config: &Config) -> Result<report::Report> {
    let mut mix = mix::Mix::read(&config.mix)?;
    if config.vms.is_empty() {
        mix.services.clear();
    }
    check(config)?;
    let keys = match &config.keys {
        Some(file) => mix::keys(file, &mix)?,
        None => Vec::new(),
    };
    let span = config.span()?;
    let schedule = schedule::Schedule::new(&mix, config.seed, config.scale, span)?;
    let sender = sender::Sender::new(config, &mix, keys);
    let samples = send_all(sync::Arc::new(sender), schedule, config).await?;
    Ok(report::Report::new(config, &mix, samples))
}

fn check(config: &Config) -> Result<()> {
    if config.vms.is_empty() && config.runners.is_empty() {
        return Err(Error::new("read settings", "--vm", "there is no address to call"));
    }
    if !config.vms.is_empty() && config.keys.is_none() {
        return Err(Error::new("read settings", "--keys", "VMs ask for keys"));
    }
    Ok(())
}

async fn send_all(
    sender: sync::Arc<sender::Sender>,
    schedule: schedule::Schedule,
    config: &Config,
) -> Result<Vec<sample::Sample>> {
    let drain = seconds("--drain-seconds", config.drain_seconds)?;
    let start = tokio::time::Instant::now();
    let deadline = start + config.span()? + drain;
    let mut calls = tokio::task::JoinSet::new();
    for arrival in schedule {
        tokio::time::sleep_until(start + arrival.at).await;
        let sender = sync::Arc::clone(&sender);
        calls.spawn(async move { sender.send(start, arrival, deadline).await });
    }
    let mut samples = calls.join_all().await;
    let warmup = seconds("--warmup-seconds", config.warmup_seconds)?;
    samples.retain(|sample| sample.at >= warmup);
    samples.sort_by_key(|sample| sample.at);
    Ok(samples)
}
