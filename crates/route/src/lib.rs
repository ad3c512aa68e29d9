//! Queueing, load balancing and retries of calls.
//!
//! - [`queue`]: the calls that wait on a VM, and the order in which they are served;
//! - [`target`]: the targets, their load, and the choice of one for a call;
//! - [`retry`]: the retry budget and backoff;
//! - [`subset`]: the subset of targets that a VM uses;
//! - [`policy`]: selection policies, and baselines to compare them with;
//! - [`item`]: names of the items that targets serve;
//! - [`hash`]: scores for rendezvous hashing.
//!
//! This crate does no I/O and reads no clock: the caller passes the time as
//! [`ids::Time`] and a seeded random number generator.
//!
//! ```
//! use std::collections;
//!
//! use rand::SeedableRng as _;
//! use route::target;
//!
//! let bundle = bundle::read("
//! format: 1
//! deployment: demo
//! centres: [north]
//! models: [{name: draft, version: v1, memory_mib: 1000, kv_floor_mib: 200}]
//! runners:
//!   - {name: runner-1, centre: north, address: '127.0.0.1:9000', accelerators: 1, memory_mib: 4000}
//! accounts: [{name: mayors, class: paid, rate: 100, burst: 1000}]
//! weights: {loads_per_second: 1.5, loads_at_once: 10}
//! ").unwrap();
//! let now = ids::Time::default();
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let mut table = target::Table::new(target::Config::default());
//! table.apply_bundle(&bundle, &collections::BTreeSet::new());
//! table.set_ready_items(&"runner-1".into(), [&"draft".into()]);
//! let request = target::Request {
//!     item: "draft",
//!     tokens: 200,
//!     prompt_tokens: 50,
//!     prefix: 0,
//!     excluded: &[],
//! };
//! let chosen = table.choose(now, &request, &mut rng).unwrap();
//! table.begin_attempt(now, ids::Attempt::new(1), &chosen, &request);
//! assert_eq!(chosen, "runner-1".into());
//! ```

mod choice;
mod fair;
pub mod hash;
pub mod item;
pub mod policy;
pub mod queue;
pub mod retry;
mod row;
mod speed;
pub mod subset;
pub mod target;
