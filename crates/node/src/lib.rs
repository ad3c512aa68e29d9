//! The decision core of a VM: a deterministic state machine without I/O.
//!
//! [`Node::step`] takes the current time and events ([`Input`]) and returns
//! effects to carry out ([`Output`]). It reads no clock, socket or environment
//! and draws random numbers from a seeded generator, so the same inputs always
//! give the same outputs and a session can be recorded and replayed as text
//! ([`session`]).
//!
//! ```
//! let mut node = node::Node::new(node::Config::new("vm-1", "north", 1));
//! let mut outputs = Vec::new();
//! node.step(ids::Time::from_millis(0), [], &mut outputs);
//! let is_read = |output: &node::Output| matches!(output, node::Output::Table { .. });
//! assert!(outputs.iter().any(is_read));
//! ```
//!
//! The state is held in tables: [`calls`] (calls and attempts), [`index`] (the
//! bundle in force) and those of the crates `member`, `quota`, `journal`,
//! `route` and `plan`. The private module `system` has the functions that
//! update them.

pub mod call;
pub mod calls;
pub mod config;
pub mod count;
pub mod event;
pub mod index;
pub mod input;
mod node;
pub mod operator;
pub mod output;
pub mod peer;
pub mod session;
mod system;

pub use config::Config;
pub use input::Input;
pub use node::Node;
pub use output::{Begin, MAX_EFFECT_DELAY, Output};
