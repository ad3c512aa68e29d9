//! Decisions about relayed calls: calls that pass between a platform's callers
//! and its targets unchanged.
//!
//! [`Relay::step`] takes the time and what has happened ([`Input`]) and says
//! what to do ([`Output`]). It reads no clock, socket or environment and draws
//! random numbers from a seeded generator. The shell keeps heads and bodies;
//! the core gets what it decides on.
//!
//! - [`config`] is what the operator has declared, [`envelope`] what a caller asks for;
//! - [`call`] are the open calls and their attempts, [`quota`] the accounts' rates
//!   over all VMs; calls wait in a [`route::queue`];
//! - [`throughput`] says which calls would wait too long and are refused at once;
//! - [`target`] are the targets, with their [`health`] and prompt [`cache`], [`pace`] the speed of models;
//!   [`choice`] finds the one with the shortest expected time;
//! - [`demand`] and [`placement`] say which model should be loaded where;
//!   the [`planner`] gives the orders while it holds the [`lease`];
//! - [`peer`] is what VMs tell one another.
//!
//! ```
//! let mut relay = relay::Relay::new(relay::Settings::new("vm-1", "north", 1));
//! let mut out = Vec::new();
//! relay.step(ids::Time::from_millis(0), [], &mut out);
//! assert!(out.contains(&relay::Output::Ready(false)), "no configuration is known yet");
//! ```

pub mod cache;
pub mod call;
pub mod choice;
pub mod config;
pub mod decay;
pub mod demand;
pub mod envelope;
pub mod event;
pub mod health;
pub mod input;
pub mod lease;
pub mod output;
pub mod pace;
pub mod peer;
pub mod placement;
pub mod planner;
pub mod quota;
mod relay;
pub mod settings;
mod system;
pub mod target;
pub mod throughput;

pub use input::Input;
pub use output::Output;
pub use relay::Relay;
pub use settings::Settings;

/// What the keys of the VMs' rows begin with.
pub const MEMBER_PREFIX: &str = "vm/";
