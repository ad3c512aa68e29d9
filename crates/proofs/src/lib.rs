//! A harness for end-to-end tests with the real processes.
//!
//! [`process`] starts, stops, freezes and kills programs. [`fleet`] starts a
//! small deployment (platform services, targets and VMs), each program in its
//! own process on free loopback ports. [`link`] is a TCP proxy that cuts, delays
//! and resets connections between them. [`caller`] sends requests and reads
//! streams.
//!
//! The programs are taken from the target directory of the running test, where
//! `cargo test --workspace` builds them.

pub mod caller;
pub mod error;
pub mod fleet;
pub mod link;
pub mod process;
pub mod wait;

pub use error::{Error, Result};
