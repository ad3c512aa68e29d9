//! What targets understand, as typed messages.
//!
//! A target is a runner, on which a model engine runs, or an instance of a
//! plain service. [`event`] has what is seen of one call, [`order`] the orders
//! to change what a runner holds, [`report`] what a runner says of itself.
//! This crate has only the messages and the names of HTTP headers ([`header`]).
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
