//! Primroseplank serves many models with bursty demand from fewer accelerators.
//!
//! This crate re-exports the library crates, each of which can be used and is
//! documented on its own:
//!
//! - [`node`] is the decision core of a VM, a deterministic step function over
//!   tables. It combines [`member`] (the head, membership and the configuration in
//!   force), [`quota`] (rates and bursts across all VMs), [`journal`] (calls that
//!   run at most once), [`route`] (queue, choice of target, retries) and [`plan`]
//!   (placement of models on the runners).
//! - [`relay`] is the decision core of a VM that passes calls unchanged between a
//!   platform's callers and targets.
//! - [`bundle`] reads, checks, compares and signs the configuration that operators
//!   declare.
//! - [`store`] and [`engine`] define the messages of the platform services and of
//!   the targets, [`wire`] the frames between VMs, and [`ids`] the identifiers that
//!   all of them share.
//!
//! The core does no I/O: its caller passes in events as inputs and carries out the
//! outputs. This example starts a VM with an empty table service, in virtual time:
//!
//! ```
//! use std::time;
//!
//! use primroseplank::{ids, node, store::memory};
//!
//! let mut table = memory::Table::default();
//! let mut vm = node::Node::new(node::Config::new("vm-1", "north", 1));
//! let mut now = ids::Time::from_millis(0);
//! let mut inputs = Vec::new();
//! for _ in 0..100 {
//!     let mut outputs = Vec::new();
//!     vm.step(now, inputs.drain(..), &mut outputs);
//!     for output in outputs {
//!         if let node::Output::Table { op, request } = output {
//!             inputs.push(node::Input::Table { op, result: Ok(table.answer(&request)) });
//!         }
//!     }
//!     now = now + time::Duration::from_millis(20);
//! }
//! // The VM has created the head and added itself as a member.
//! assert!(table.rows().any(|row| &*row.key == "head"));
//! ```

pub use {bundle, engine, ids, journal, member, node, plan, quota, relay, route, store, wire};
