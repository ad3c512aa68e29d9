//! Identifiers and counters: one newtype over `u64` per kind.

use std::fmt;

macro_rules! number {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $type(u64);

        impl $type {
            /// Wraps a raw number.
            #[must_use]
            pub const fn new(raw: u64) -> Self {
                Self(raw)
            }

            /// Returns the raw number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number! {
    /// Identifier of a caller's call, unique within an incarnation of a VM.
    Call
}
number! {
    /// Identifier of one attempt to run a call at a target, unique within an incarnation of a VM.
    Attempt
}
number! {
    /// A fencing token: the version of a runner's ledger row.
    Fence
}
number! {
    /// Identifier of one start of a VM's process; later starts have higher numbers.
    Incarnation
}
number! {
    /// Identifier of an operation that awaits its result: a store access, an order or an operator
    /// request.
    Op
}
number! {
    /// Version of the head, of a configuration, or of a row in a table service.
    Version
}
number! {
    /// Number of times a store has come back from an older copy of itself; 0 if it does not say.
    Era
}
