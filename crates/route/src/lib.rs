//! Decisions about calls under load.
//!
//! - [`queue`]: the calls that wait on a VM, and which is served next;
//! - [`target`]: the targets, what is known of their load, and which is chosen;
//! - [`retry`]: how many retries are allowed, and how long they wait;
//! - [`subset`]: which of many targets a VM works with;
//! - [`policy`]: the ways to choose and the baselines to measure them against;
//! - [`item`]: names of what targets offer.
//!
//! Nothing here reads a clock or a socket: time comes in as [`ids::Time`],
//! random numbers from a generator that the caller seeds.
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
