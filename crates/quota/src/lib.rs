//! Distributed rate limits, enforced over all VMs together without the table
//! service.
//!
//! Each account's rate and burst are divided among a few members of the head,
//! the account's *homes*. A home has a token bucket whose refill and capacity
//! are its share. A VM that lacks tokens borrows them from homes, which debit
//! their bucket before they answer. Borrowed tokens expire, and until then they
//! occupy room in the lender's bucket. The tokens in all buckets and leases
//! together therefore never exceed the burst, even if messages are lost or
//! duplicated and VMs are partitioned or restarted.
//!
//! A call reserves the maximum that it may use and refunds the rest when it
//! ends. A refund is limited to the minimum room of the bucket since then, as if
//! the call had been charged its actual use from the start.
//!
//! A [`Table`] is a state machine without clock or socket. The caller passes it
//! the versions of the head that are adopted and settled.
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

/// Units per token. Amounts are counted in billionths because the shares of small
/// rates among many VMs are fractions of a token.
pub(crate) const NANOS: u64 = 1_000_000_000;
