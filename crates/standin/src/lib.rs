//! Stand-ins for the platform and the targets, for tests and the quick start.
//!
//! Each stand-in is a small HTTP server that keeps its state in memory and
//! speaks the protocol of the part it stands for. Beside its own address it
//! has a control address, on which its answers can be delayed, refused or
//! lost ([`fault`]) and its counters read.
//!
//! - The platform: [`table`], [`object`], [`vm`] and [`weight`].
//! - The targets: [`runner`], a model engine, and [`service`], a plain service.
//! - [`batch`] is the runner's batching model alone, without input or output,
//!   for experiments in virtual time.
//! - [`load`] sends calls to VMs or runners and reports what callers saw.
//! - [`call`] sends one request and shows the answer as its caller sees it.
//! - [`text`] computes what any runner answers, so that a test can check it.
//!
//! ```
//! # #[tokio::main]
//! # async fn main() -> standin::Result<()> {
//! let table = standin::table::start(&standin::table::Config::default())?;
//! let answer = standin::client::Client::new()
//!     .send(table.address(), "POST", "/table", r#"{"get":{"key":"head"}}"#)
//!     .await?;
//! assert_eq!(answer.text(), r#"{"row":null}"#);
//! table.stop().await;
//! # Ok(())
//! # }
//! ```

pub mod batch;
pub mod cache;
pub mod call;
pub mod client;
pub mod count;
mod cross;
mod error;
pub mod face;
pub mod fault;
pub mod ledger;
pub mod load;
pub mod object;
pub mod process;
pub mod runner;
pub mod service;
pub mod table;
pub mod text;
pub mod vm;
pub mod weight;

pub use error::{Error, Result};
