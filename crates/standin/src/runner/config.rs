//! Settings of a model engine.

use std::{net, str, sync};

use crate::{Error, batch, process};

/// Settings of a model engine.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub addresses: process::Addresses,
    /// Name of the runner.
    #[arg(long, default_value = "runner-1")]
    pub name: String,
    /// Address of the weight store; without one, loads end at once.
    #[arg(long, value_name = "ADDRESS")]
    pub weights: Option<net::SocketAddr>,
    /// Accelerator memory in all, in MiB.
    #[arg(long, default_value_t = 80_000)]
    pub memory_mib: u64,
    /// Accelerators that work together.
    #[arg(long, default_value_t = 1)]
    pub accelerators: u32,
    /// Speed of each accelerator; 1 is an ordinary one.
    #[arg(long, default_value_t = 1.0)]
    pub power: f64,
    /// Refuse orders whose fencing token is older than the newest one seen.
    #[arg(long)]
    pub fencing: bool,
    /// Begin as a runner that is about to stop.
    #[arg(long)]
    pub leaving: bool,
    /// Age of the reports, in ms.
    #[arg(long, default_value_t = 500)]
    pub report_lag_ms: u64,
    /// Age that a cache event has when it is published, in ms.
    #[arg(long, default_value_t = 500)]
    pub event_lag_ms: u64,
    /// Leave out one of so many cache events; 0 leaves out none.
    #[arg(long, default_value_t = 17)]
    pub event_gap: u64,
    /// An item held from the start; may be given several times.
    #[arg(long = "load", value_name = "ITEM@VERSION=MIB")]
    pub residents: Vec<Resident>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            addresses: process::Addresses::default(),
            name: "runner-1".to_owned(),
            weights: None,
            memory_mib: 80_000,
            accelerators: 1,
            power: 1.0,
            fencing: false,
            leaving: false,
            report_lag_ms: 500,
            event_lag_ms: 500,
            event_gap: 17,
            residents: Vec::new(),
        }
    }
}

impl Config {
    /// The settings with one more item held from the start.
    #[must_use]
    pub fn with_resident(mut self, item: &str, version: &str, memory_mib: u64) -> Self {
        self.residents.push(Resident { item: item.into(), version: version.into(), memory_mib });
        self
    }

    /// Speed and room of the engine.
    #[must_use]
    pub fn batch(&self) -> batch::Config {
        batch::Config::new(self.power, self.accelerators)
    }
}

/// An item held from the start, written `ITEM@VERSION=MIB`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resident {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// Version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Memory it takes, in MiB.
    pub memory_mib: u64,
}

impl str::FromStr for Resident {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::new("read item", text, "expected ITEM@VERSION=MIB");
        let (item, rest) = text.split_once('@').ok_or_else(bad)?;
        let (version, mib) = rest.split_once('=').ok_or_else(bad)?;
        if item.is_empty() || version.is_empty() {
            return Err(bad());
        }
        Ok(Self {
            item: item.into(),
            version: version.into(),
            memory_mib: mib.parse().map_err(|_not_a_number| bad())?,
        })
    }
}
