//! Decisions about relayed calls: calls that pass between a platform's callers
//! and its targets unchanged.
//!
//! [`Relay::step`] takes the current time and a batch of events ([`Input`]) and
//! returns actions ([`Output`]). It performs no I/O, reads no clock and draws
//! random numbers from a seeded generator, so that runs are reproducible. The
//! caller of the crate (the shell) keeps request heads and bodies; the core gets
//! only what its decisions depend on.
//!
//! - [`config`] is the operator's configuration, [`envelope`] the metadata of a call;
//! - [`call`] holds open calls and their attempts, [`quota`] enforces account rates
//!   across all VMs; calls wait in a [`route::queue`];
//! - [`throughput`] estimates queueing delays, so that hopeless calls are refused at once;
//! - [`cold`] limits what cold targets get;
//! - [`poison`] finds prompt parts that crash engines, which are blocked then;
//! - [`target`] holds the targets, with their [`health`] and prompt [`cache`]; [`pace`] is the
//!   relative speed of models; [`choice`] selects the target with the lowest expected latency;
//! - [`pause`] holds what targets announce: that they leave, or want nothing for a time;
//! - [`evacuation`] is the set of data centres to whose targets nothing more is sent;
//! - [`speed`] learns how fast each target is, from the samples of all VMs;
//! - [`demand`] and [`placement`] decide which model to load where; the [`planner`] sends
//!   the orders while this VM holds the [`lease`];
//! - [`era`] orders what is read from the store before and after it has come back from a copy,
//!   [`membership`] tells which VMs there are then;
//! - [`shutdown`] has the times of a graceful shutdown;
//! - [`peer`] defines the messages between VMs, [`centre`] those between data centres of a
//!   large fleet.
//!
//! ```
//! let mut relay = relay::Relay::new(relay::Settings::new("vm-1", "north", 1));
//! let mut out = Vec::new();
//! relay.step(ids::Time::from_millis(0), [], &mut out);
//! assert!(out.contains(&relay::Output::Ready(false)), "no configuration is known yet");
//! ```

pub mod cache;
pub mod call;
pub mod centre;
pub mod choice;
pub mod cold;
pub mod config;
pub mod decay;
pub mod demand;
pub mod envelope;
pub mod era;
pub mod evacuation;
pub mod event;
pub mod health;
pub mod input;
pub mod lease;
pub mod membership;
pub mod output;
pub mod pace;
pub mod pause;
pub mod peer;
pub mod placement;
pub mod planner;
pub mod poison;
pub mod quota;
mod relay;
pub mod settings;
pub mod shutdown;
pub mod speed;
mod system;
pub mod target;
pub mod throughput;

pub use input::Input;
pub use output::Output;
pub use relay::Relay;
pub use settings::Settings;

/// Key prefix of the VMs' membership rows in the store.
pub const MEMBER_PREFIX: &str = "vm/";
