//! Typed requests and answers of the platform's storage services.
//!
//! The platform holds all durable state: it has a transactional table service
//! ([`table`]), an object store ([`object`]) and an eventually consistent list
//! of VMs ([`vm`]). This crate defines the messages, and in-memory services for
//! tests ([`memory`]). The daemon sends the messages over HTTP with JSON bodies.
//!
//! ```
//! use store::table;
//!
//! let read = table::Request::Get { key: "head".into() };
//! assert_eq!(serde_json::to_string(&read).unwrap(), r#"{"get":{"key":"head"}}"#);
//! ```

pub mod fault;
pub mod memory;
pub mod object;
pub mod table;
pub mod vm;

pub use fault::{Fault, Kind, Result};
