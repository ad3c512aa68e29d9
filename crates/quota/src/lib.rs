//! Rates and bursts over all VMs together, without the table service.
//!
//! The head divides each account's rate and burst among a few of its members,
//! the account's *homes*. A home refills and caps a bucket with its share. A VM
//! that is short borrows from homes, which debit before they give; what is
//! borrowed expires, and until then takes room in the lender's bucket. So the
//! tokens in all buckets and leases together never exceed the burst, whatever
//! is lost, doubled, cut off or restarted.
//!
//! A call reserves the most that it may use and gives back the rest at its
//! end. What is given back is limited to the room that the bucket has had ever
//! since, as if the call had been charged rightly from the beginning.
//!
//! A [`Table`] is a state machine without clock or socket, as is the view of
//! the head that tells it which version is in force.
//!
//! ```
//! let me = quota::Member { vm: "vm-1".into(), incarnation: ids::Incarnation::new(1) };
//! let accounts = [quota::Limit { account: "mayors".into(), rate: 100, burst: 1_000 }];
//! let mut table = quota::Table::new(quota::Config::new(me.clone()));
//! let mut out = Vec::new();
//! let start = ids::Time::from_millis(0);
//! table.adopt(start, ids::Version::new(1), &[me], &accounts);
//! table.on_settled(start, ids::Version::new(1));
//!
//! // The bucket starts empty and fills at 100 tokens a second.
//! let later = ids::Time::from_millis(3_100);
//! table.tick(later, &mut out);
//! let call = ids::Call::new(1);
//! table.tick(ids::Time::from_millis(4_100), &mut out);
//! table.reserve(ids::Time::from_millis(4_100), call, &"mayors".into(), 80, &mut out);
//! assert_eq!(out, [quota::Output::Granted { call }]);
//! ```

mod bucket;
pub mod config;
mod lease;
pub mod message;
pub mod output;
mod share;
pub mod table;

pub use config::Config;
pub use message::Message;
pub use output::{Output, Reason};
pub use share::{Limit, Member};
pub use table::Table;

/// Parts of a token that are counted: shares of small rates among many VMs
/// are fractions of a token.
pub(crate) const NANOS: u64 = 1_000_000_000;
