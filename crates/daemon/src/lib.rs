//! The daemon: the I/O layer around the decision core.
//!
//! One task owns the core and drives it ([`driver`]). Socket events are sent to
//! it as [`node::Input`] through the [`inbox`]; the [`node::Output`] values that
//! it returns are carried out by other tasks ([`effect`]). This crate makes no
//! decisions itself: it handles HTTP, web sockets, settings, logs and metrics.
//!
//! * [`settings`] reads and validates the settings file;
//! * [`caller`] is the HTTP server for callers, [`calls`] the table of open calls;
//! * [`body`] reads request bodies with a size limit;
//! * [`operator`] is the HTTP server for operators, [`ready`] the readiness that
//!   the balancer polls;
//! * [`peer`] contains the connections to and from other VMs;
//! * [`client`] sends requests to targets and to the platform;
//! * [`process`] starts these components and shuts them down gracefully;
//! * [`relay`] is the daemon for platforms whose calls are forwarded unchanged.

pub mod body;
pub mod caller;
pub mod calls;
pub mod client;
pub mod clock;
pub mod credential;
pub mod driver;
pub mod effect;
pub mod error;
pub mod inbox;
pub mod log;
pub mod metric;
pub mod operator;
pub mod peer;
pub mod process;
pub mod ready;
pub mod relay;
pub mod server;
pub mod settings;

pub use error::{Error, Kind, Result};
