//! At-most-once execution of calls that may not be repeated.
//!
//! A [`Journal`] is a state machine without I/O. It writes a *claim* to the
//! platform's table service before such a call is sent, and the call's answer
//! afterwards. A repeated idempotency key therefore never reaches a target a
//! second time, whichever VM receives it.
//!
//! - [`Journal::begin`] requests the claim. [`Output::Send`] follows once the
//!   claim is known to be written; the call must not be sent before that.
//! - [`Journal::release`], [`Journal::store_answer`] and [`Journal::mark_lost`]
//!   report the result of sending the call.
//! - [`Journal::handle_table_answer`] takes the table service's answers, [`Journal::tick`]
//!   advances time.
//!
//! Module [`row`] documents the states of a claim and why rows are never deleted.
//!
//! # Crashes
//!
//! The claim of a crashed VM stays claimed, because no other VM can tell whether
//! the call was sent. Other VMs refuse the call with [`Reason::Unknown`] and
//! never send it.
//!
//! ```
//! use store::table;
//!
//! let now = ids::Time::from_millis(0);
//! let vm = ids::Vm::from("vm-1");
//! let config = journal::Config::new(vm, ids::Incarnation::new(1), 7);
//! let mut journal = journal::Journal::new(config);
//! let mut out = Vec::new();
//!
//! let call = journal::Call {
//!     call: ids::Call::new(1),
//!     account: "mayors".into(),
//!     route: "desk/bookings".into(),
//!     key: "order-17".into(),
//!     digest: ids::Digest::of(b"the request"),
//! };
//! journal.begin(now, call, &mut out);
//! journal.tick(now, &mut out);
//! let journal::Output::Table { op, .. } = out[0] else { panic!() };
//!
//! out.clear();
//! journal.handle_table_answer(now, op, Ok(table::Answer::Written), &mut out);
//! assert_eq!(out, [journal::Output::Send { call: ids::Call::new(1) }]);
//! ```

pub mod config;
mod entry;
mod journal;
pub mod output;
pub mod row;
mod transaction;

pub use config::Config;
pub use journal::{Call, Journal, Summary};
pub use output::{Output, Reason};
pub use row::Answer;
