//! The head: what is in force, and who serves.

pub mod head;

pub use head::{Head, Member};
