//! The bundle: the declared configuration of a deployment.
//!
//! A [`Bundle`] is a YAML document that declares data centres, models,
//! adapters, runners, plain services and client accounts. [`read()`] parses the
//! text or returns an error with its position. [`Amendments`] are the changes
//! made between bundles: keys issued or withdrawn, targets drained. [`signed`]
//! has the signed document as it is accepted and stored, [`check`] validates a
//! bundle before it is signed and accepted, and [`diff`] lists what a bundle
//! changes.
//!
//! ```
//! let text = "
//! format: 1
//! deployment: demo
//! centres: [north]
//! models:
//!   - {name: draft, version: v1, memory_mib: 1000, kv_floor_mib: 200}
//! runners:
//!   - {name: runner-1, centre: north, address: '127.0.0.1:9000', accelerators: 1, memory_mib: 4000}
//! accounts:
//!   - {name: mayors, class: paid, rate: 100, burst: 1000}
//! weights: {loads_per_second: 1.5, loads_at_once: 10}
//! ";
//! let bundle = bundle::read(text).unwrap();
//! assert_eq!(bundle.accounts[0].rate, 100);
//! ```

pub mod amend;
pub mod check;
pub mod diff;
pub mod error;
pub mod format;
pub mod history;
pub mod key;
pub mod loads;
pub mod packing;
pub mod signed;

pub use amend::Amendments;
pub use error::{Error, Kind, Result};
pub use format::{Bundle, read};
