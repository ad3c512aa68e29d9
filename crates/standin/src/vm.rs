//! The lagging list of VMs and targets.
//!
//! `GET /vms` answers the list as it was set some time ago
//! ([`store::vm`]); `PUT /vms` on the control address replaces it.

use std::{sync, time};

use store::vm;

use crate::{Result, count, face, process};

/// Settings of a VM list.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub addresses: process::Addresses,
    /// A name that the list begins with, as live; may be given several times.
    #[arg(long = "vm", value_name = "NAME")]
    pub vms: Vec<String>,
    /// How long a new list takes to show, in ms.
    #[arg(long, default_value_t = 2000)]
    pub lag_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self { addresses: process::Addresses::default(), vms: Vec::new(), lag_ms: 2000 }
    }
}

/// Starts a VM list.
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
    let first =
        config.vms.iter().map(|name| vm::Entry { name: name.clone(), state: vm::State::Live });
    let role = sync::Arc::new(List {
        lag: time::Duration::from_millis(config.lag_ms),
        lists: sync::Mutex::new(Lists { shown: first.collect(), coming: Vec::new() }),
    });
    process::Process::start(config.addresses, &role, &counts)
}

struct List {
    lag: time::Duration,
    lists: sync::Mutex<Lists>,
}

struct Lists {
    shown: Vec<vm::Entry>,
    /// Later lists, oldest first, with the moment from which they show.
    coming: Vec<(time::Instant, Vec<vm::Entry>)>,
}

impl process::Role for List {
    const NAME: &'static str = "vms";

    async fn serve(self: sync::Arc<Self>, request: face::Request) -> face::Reply {
        if (request.method.as_str(), request.path.as_str()) != ("GET", "/vms") {
            return process::unknown_path();
        }
        let mut lists = self.lock();
        let now = time::Instant::now();
        while lists.coming.first().is_some_and(|(from, _)| *from <= now) {
            lists.shown = lists.coming.remove(0).1;
        }
        face::Reply::json(http::StatusCode::OK, &lists.shown)
    }

    fn control(&self, request: &face::Request) -> Option<face::Reply> {
        if (request.method.as_str(), request.path.as_str()) != ("PUT", "/vms") {
            return None;
        }
        match serde_json::from_slice(&request.body) {
            Ok(list) => {
                let from = time::Instant::now() + self.lag;
                self.lock().coming.push((from, list));
                Some(face::Reply::empty(http::StatusCode::NO_CONTENT))
            }
            Err(error) => Some(process::bad_body(&error)),
        }
    }
}

impl List {
    fn lock(&self) -> sync::MutexGuard<'_, Lists> {
        self.lists.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
