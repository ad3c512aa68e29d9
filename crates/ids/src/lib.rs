//! Identifiers, time and digests shared by every crate of primroseplank.
//!
//! Names are shared immutable strings, numbers are newtypes over `u64`, and time
//! is a number of milliseconds on a clock that keeps running while a process is
//! suspended.
//!
//! ```
//! use std::time;
//!
//! let account = ids::Account::from("mayors");
//! assert_eq!(account.as_str(), "mayors");
//!
//! let start = ids::Time::from_millis(1_000);
//! let later = start + time::Duration::from_millis(250);
//! assert_eq!(later.since(start), time::Duration::from_millis(250));
//! ```

mod digest;
mod name;
mod number;
mod revision;
mod time;

pub use digest::{Digest, Error, Result};
pub use name::{Account, Adapter, Centre, Key, Model, Service, Target, Vm};
pub use number::{Attempt, Call, Era, Fence, Incarnation, Op, Version};
pub use revision::Revision;
pub use time::Time;
