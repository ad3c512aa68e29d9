//! The decision core of a VM: tables, and systems that run over them.
//!
//! [`Node::step`] takes the time and what has happened ([`Input`]) and says
//! what to do ([`Output`]). It reads no clock, socket or environment and draws
//! random numbers from a seeded generator, so the same inputs always give the
//! same outputs: a whole session is a text file ([`session`]).
//!
//! ```
//! let mut node = node::Node::new(node::Config::new("vm-1", "north", 1));
//! let mut outputs = Vec::new();
//! node.step(ids::Time::from_millis(0), [], &mut outputs);
//! let is_read = |output: &node::Output| matches!(output, node::Output::Table { .. });
//! assert!(outputs.iter().any(is_read));
//! ```
//!
//! The rows that the systems run over are in [`calls`] (calls and attempts),
//! [`index`] (what is in force) and in the crates of the areas: `member`,
//! `quota`, `journal`, `route` and `plan`.

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
