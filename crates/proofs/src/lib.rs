//! A harness for tests with the real processes.
//!
//! [`process`] starts, stops, freezes and kills programs. [`fleet`] starts a
//! whole small deployment: platform, targets and VMs, each its own process on
//! loopback ports that were free, with links that [`link`] can cut. [`caller`] sends requests and reads streams.
//!
//! The programs are taken from the target directory of the running test.
//! `cargo test --workspace` builds them.

pub mod caller;
pub mod error;
pub mod fleet;
pub mod link;
pub mod process;
pub mod wait;

pub use error::{Error, Result};
