//! Typed messages between VMs and targets.
//!
//! A target is a runner, on which a model engine runs, or an instance of a
//! plain service. [`event`] has the events of one attempt, [`order`] the orders
//! to load and unload models, [`report`] the status reports of runners and
//! [`header`] the names of HTTP headers. The crate does no I/O.
//!
//! ```
//! use engine::order;
//!
//! let order = order::Order::new(ids::Fence::new(4), order::Action::Unload, "draft", "v1", 18_000);
//! assert_eq!(order.fence.get(), 4);
//! ```

pub mod event;
pub mod header;
pub mod order;
pub mod report;

pub use event::Event;
pub use order::Order;
pub use report::Report;
