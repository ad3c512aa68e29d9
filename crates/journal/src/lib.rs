//! At most once: calls that may not be repeated.
//!
//! A [`Journal`] is a state machine without I/O. It writes a *claim* to the
//! platform's table service before such a call is sent, and the call's answer
//! afterwards, so that the same idempotency key never leads to a second call
//! of the target, on whatever VM it arrives.
//!
//! - [`Journal::begin`] asks for the claim. [`Output::Send`] follows once the
//!   claim is known to be written; before that nothing may be sent.
//! - [`Journal::release`], [`Journal::store_answer`] and [`Journal::mark_lost`] say how
//!   the sending ended.
//! - [`Journal::handle_table_answer`] takes the table service's answers, [`Journal::tick`]
//!   the passing of time.
//!
//! Module [`row`] has the states of a claim and why rows are never deleted.
//!
//! # Crashes
//!
//! A claim whose VM has gone stays claimed: whether its call was sent is known
//! to nobody. Other VMs answer [`Reason::Unknown`] and never send it.
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
mod group;
mod journal;
pub mod output;
pub mod row;

pub use config::Config;
pub use journal::{Call, Journal, Summary};
pub use output::{Output, Reason};
pub use row::Answer;
