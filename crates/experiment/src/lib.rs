//! Simulations of how relayed calls are scheduled, in virtual time.
//!
//! Several VMs, each with the real decision core ([`relay::Relay`]), send calls to
//! simulated engines ([`standin::batch`]) and know each other's state only with a
//! delay. A run depends on the seed alone, not on the speed or load of the machine.
//!
//! - [`scenario`] defines the number of VMs and engines, the demand and its bursts and
//!   shifts, and slow and dead engines;
//! - [`load`] generates the calls;
//! - [`engine`] simulates an engine with its loaded models;
//! - [`fleet`] simulates VMs, engines, the store's rows and the links between them;
//! - [`tally`] counts call outcomes and latencies;
//! - [`rule`] lists the scheduling rules that are compared;
//! - [`plot`] plots attainment over time.
//!
//! ```
//! let scenario = experiment::scenario::calm().with_length(20);
//! let tally = experiment::fleet::run(&scenario, &experiment::rule::DEFAULT, 1);
//! assert!(tally.attainment() > 0.9, "{}", tally.attainment());
//! ```

pub mod engine;
pub mod fleet;
pub mod load;
pub mod plot;
pub mod rule;
pub mod scenario;
pub mod tally;
