//! The rate-limited weight store.
//!
//! `POST /load` with a JSON [`Load`] answers 204 when the load is complete.
//! Loads of models begin at a limited rate and run at full speed up to a
//! number at once, proportionally slower beyond. Loads of adapters begin at
//! once and slow down beyond a number of their own.

use std::{sync, sync::atomic, time};

use crate::{Result, count, face, process};

/// How often the speed of a load is set anew.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Shortest load of an adapter.
const ADAPTER_FLOOR: time::Duration = time::Duration::from_millis(4);
/// Longest load of an adapter at full speed.
const ADAPTER_CEILING: time::Duration = time::Duration::from_millis(24);
/// Load of an adapter per MiB, in seconds.
const ADAPTER_SECONDS_PER_MIB: f64 = 0.000_1;

/// Settings of a weight store.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub addresses: process::Addresses,
    /// Loads of models that begin in a second.
    #[arg(long, default_value_t = 1.5)]
    pub loads_per_second: f64,
    /// Loads of models at once at full speed.
    #[arg(long, default_value_t = 10)]
    pub loads_at_once: usize,
    /// Speed of one load of a model, in MiB a second.
    #[arg(long, default_value_t = 8192.0)]
    pub mib_per_second: f64,
    /// Loads of adapters at once at full speed.
    #[arg(long, default_value_t = 90)]
    pub adapters_at_once: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            addresses: process::Addresses::default(),
            loads_per_second: 1.5,
            loads_at_once: 10,
            mib_per_second: 8192.0,
            adapters_at_once: 90,
        }
    }
}

/// A load that is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub item: sync::Arc<str>,
    /// Version of the model or adapter.
    pub version: sync::Arc<str>,
    /// Size of the weights, in MiB.
    pub mib: u64,
}

impl Load {
    /// Whether an adapter is to be loaded.
    #[must_use]
    pub fn is_adapter(&self) -> bool {
        self.item.contains(':')
    }
}

/// Starts a weight store that has every item.
///
/// # Errors
///
/// An address cannot be bound.
///
/// # Panics
///
/// It is called outside a tokio runtime.
pub fn start(config: &Config) -> Result<process::Process> {
    let counts = sync::Arc::new(count::Counts::new());
    let role = sync::Arc::new(Store {
        config: config.clone(),
        models: atomic::AtomicUsize::new(0),
        adapters: atomic::AtomicUsize::new(0),
        next_begin: sync::Mutex::new(tokio::time::Instant::now()),
        counts: sync::Arc::clone(&counts),
    });
    process::Process::start(config.addresses, &role, &counts)
}

struct Store {
    config: Config,
    models: atomic::AtomicUsize,
    adapters: atomic::AtomicUsize,
    next_begin: sync::Mutex<tokio::time::Instant>,
    counts: sync::Arc<count::Counts>,
}

impl process::Role for Store {
    const NAME: &'static str = "weights";

    async fn serve(self: sync::Arc<Self>, request: face::Request) -> face::Reply {
        if (request.method.as_str(), request.path.as_str()) != ("POST", "/load") {
            return process::unknown_path();
        }
        let load: Load = match serde_json::from_slice(&request.body) {
            Ok(load) => load,
            Err(error) => return process::bad_body(&error),
        };
        if load.is_adapter() {
            self.load_adapter(&load).await;
        } else {
            self.load_model(&load).await;
        }
        face::Reply::empty(http::StatusCode::NO_CONTENT)
    }
}

impl Store {
    async fn load_model(&self, load: &Load) {
        tokio::time::sleep_until(self.begin()).await;
        self.counts.add("model-loads");
        let seconds = load.mib as f64 / self.config.mib_per_second;
        let work = time::Duration::from_secs_f64(seconds);
        transfer(work, &self.models, self.config.loads_at_once).await;
    }

    async fn load_adapter(&self, load: &Load) {
        self.counts.add("adapter-loads");
        let seconds = load.mib as f64 * ADAPTER_SECONDS_PER_MIB;
        let work = ADAPTER_FLOOR + time::Duration::from_secs_f64(seconds);
        let work = work.min(ADAPTER_CEILING);
        transfer(work, &self.adapters, self.config.adapters_at_once).await;
    }

    /// The moment at which the next load of a model may begin.
    fn begin(&self) -> tokio::time::Instant {
        let mut next = self.next_begin.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let begin = tokio::time::Instant::now().max(*next);
        *next = begin + time::Duration::from_secs_f64(1.0 / self.config.loads_per_second);
        begin
    }
}

/// Passes `work` of time at full speed, slower while more than `at_once` are in flight.
async fn transfer(work: time::Duration, in_flight: &atomic::AtomicUsize, at_once: usize) {
    in_flight.fetch_add(1, atomic::Ordering::SeqCst);
    let mut left = work;
    while !left.is_zero() {
        let present = in_flight.load(atomic::Ordering::SeqCst);
        let slowdown = (present as f64 / at_once as f64).max(1.0);
        let pause = left.mul_f64(slowdown).min(TICK);
        tokio::time::sleep(pause).await;
        left = left.saturating_sub(pause.div_f64(slowdown).max(time::Duration::from_micros(1)));
    }
    in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
}
