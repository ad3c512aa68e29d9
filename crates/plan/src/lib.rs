//! Placement of models and adapters on runners.
//!
//! - [`ledger`]: the memory that is committed on each runner, stored as rows of
//!   the table service;
//! - [`Planner`]: keeps every declared model and adapter reachable without
//!   committing more memory than a runner has;
//! - [`Config`]: the configuration of the planner.
//!
//! The planner does no I/O. Each [`Planner::tick`] runs its systems over its
//! table of runners and returns requests to the table service and orders to
//! runners as [`Output`]; the caller passes the answers back.
//!
//! ```
//! let me = plan::ledger::Sender { vm: "vm-1".into(), incarnation: ids::Incarnation::new(1) };
//! let mut planner = plan::Planner::new(plan::Config::new(me.clone()));
//! let bundle = bundle::read("
//! format: 1
//! deployment: demo
//! centres: [north]
//! accounts: []
//! weights: {loads_per_second: 1.5, loads_at_once: 10}
//! ").unwrap();
//! let now = ids::Time::from_millis(1_000);
//! planner.apply_bundle(now, &bundle, &[me], &Default::default());
//! let mut out = Vec::new();
//! planner.tick(now, &mut out);
//! assert!(matches!(out[0], plan::Output::Table { .. }), "it reads the ledger first");
//! ```

mod config;
mod demand;
mod fleet;
pub mod ledger;
mod placement;
mod planner;
mod rate;
mod rows;
mod view;

pub use config::Config;
pub use planner::{Output, Planner};
