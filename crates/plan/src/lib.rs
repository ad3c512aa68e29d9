//! What is resident where: the memory ledger, and the planner that keeps it.
//!
//! - [`ledger`]: the rows that say what each runner's memory is committed to;
//! - [`Planner`]: keeps every declared model and adapter reachable, without
//!   ever committing more memory than a runner has;
//! - [`Config`]: its knobs.
//!
//! The planner is a table of runners with systems that run over it at each
//! [`Planner::tick`]. It makes no request by itself: it says what to ask of
//! the table service and what to order of the runners ([`Output`]), and is
//! told the answers.
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
pub mod ledger;
mod pace;
mod place;
mod planner;
mod rows;
mod scene;
mod view;

pub use config::Config;
pub use planner::{Output, Planner};
