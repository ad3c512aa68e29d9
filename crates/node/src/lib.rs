//! The decision core of a VM: tables, and systems that run over them.
//!
//! [`Node::step`] takes the time and what has happened ([`Input`]) and says
//! what to do ([`Output`]). It reads no clock, socket or environment and draws
//! random numbers from a seeded generator, so the same inputs always give the
//! same outputs: a whole session is a text file ([`session`]).
//!

pub mod call;
pub mod event;
pub mod input;
pub mod operator;
pub mod output;
pub mod peer;

pub use input::Input;
pub use output::{Begin, Output};
