//! The head: what is in force, and who serves.
//!
//! The table service holds one [`Head`]; every change of configuration, keys
//! or membership takes it from one version to the next by compare-and-set. A
//! [`View`] is what one VM knows of it. The view decides whether the VM may
//! serve: only while no newer head can be *settled*, that is, relied upon by
//! an operator or by another VM's share of a rate. Two things show that:
//!
//! - a read of the head, its own or a peer's whose age is known;
//! - contact with a majority of the head's witnesses, none of which knows a
//!   newer head.
//!
//! Either counts from when the question was asked and for
//! [`Config::max_staleness`]. In turn a head is settled only once a majority of
//! the witnesses of every earlier head has learnt of it and that time has
//! passed, or once all members have adopted it.
//!
//! A view is a state machine without clock, socket or thread: time and answers
//! come in by its methods, and what is to be done goes out as [`Output`].
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
