//! Relay mode of the daemon: calls are forwarded unchanged between the callers
//! and the targets of a platform, which define the protocol.
//!
//! One task ([`driver`]) owns the decision core, [`relay::Relay`]. The crate
//! `platform` encodes and decodes the platform's protocols.
//!
//! * [`settings`] reads and checks the settings file;
//! * [`front`] accepts connections of callers, [`handler`] handles one call;
//! * [`access`] keeps as many connections of callers as there are [`seat`]s;
//! * [`buffer`] keeps their bodies within a [`budget`], which follows from the [`machine`];
//! * [`exchange`] makes one attempt at a target, over a connection of the [`pool`];
//! * [`withhold`] keeps what has not been sent from targets that are drained;
//! * [`pump`] forwards a stream of [`events`] to its caller;
//! * [`rows`] follows the store's tables, [`connection`] sends requests to the store;
//! * [`effect`] carries out the outputs of the core;
//! * [`side`] serves readiness to the balancer, and metrics;
//! * [`process`] starts these tasks and stops them gracefully.

pub mod access;
pub mod body;
pub mod budget;
pub mod buffer;
pub mod calls;
pub mod connection;
pub mod driver;
pub mod effect;
pub mod events;
pub mod exchange;
pub mod expiry;
pub mod front;
pub mod handler;
pub mod head;
pub mod inbox;
pub mod machine;
pub mod metric;
pub mod pool;
pub mod process;
pub mod pump;
pub mod rows;
pub mod seat;
pub mod settings;
pub mod side;
pub mod withhold;
