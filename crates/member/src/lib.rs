//! Cluster membership and the versioned head of the configuration.
//!
//! The table service stores one [`Head`]: the configuration in force and the
//! member VMs. Every change of configuration, keys or membership advances it by
//! one version with a compare-and-set. A [`View`] is one VM's local state about
//! the head. It decides whether the VM may serve: only while no newer head can
//! be *settled*, that is, while neither an operator nor another VM's share of a
//! rate may already rely on a newer one. Either of these is sufficient
//! evidence:
//!
//! - a read of the head, by this VM or by a peer that reports the age of its
//!   read;
//! - replies from a majority of the head's witnesses, none of which knows a
//!   newer head.
//!
//! Evidence is valid for [`Config::max_staleness`] from the moment the request
//! was sent. Conversely, a head is settled once a majority of the witnesses of
//! every earlier head know it and that time has passed, or as soon as all
//! members have adopted it.
//!
//! A view is a state machine without clock, socket or thread: time and answers
//! are passed to its methods, and the actions to take are returned as
//! [`Output`]s.
//!
//! ```
//! let me = member::Member {
//!     vm: "vm-1".into(),
//!     incarnation: ids::Incarnation::new(1),
//!     centre: "gulf-a".into(),
//!     peer: "10.0.0.1:7000".into(),
//! };
//! let mut view = member::View::new(member::Config::new(me, 7));
//! let mut outputs = Vec::new();
//! let now = ids::Time::from_millis(1_000);
//! view.tick(now, &mut outputs);
//! assert!(matches!(outputs[0], member::Output::Table { .. }));
//! assert_eq!(view.serves(now), Err(member::Reason::Starting));
//! ```

pub mod change;
pub mod config;
pub mod head;
pub mod message;
pub mod output;
pub mod row;
pub mod view;

pub use change::{Change, Outcome};
pub use config::Config;
pub use head::{Head, Instance, Member, Quorum};
pub use message::Message;
pub use output::{Output, Reason};
pub use view::View;
