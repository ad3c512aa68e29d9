//! Numbers: one newtype for each kind of counter.

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

            /// The raw number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The number after this one.
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
    /// One call by a caller, unique within an incarnation of a VM.
    Call
}
number! {
    /// One sending of a call to a target, unique within an incarnation of a VM.
    Attempt
}
number! {
    /// A fencing token: the version of a runner's ledger row.
    Fence
}
number! {
    /// One start of a VM's process; a later start has a higher number.
    Incarnation
}
number! {
    /// One operation that awaits its answer: a store access, an order, an operator request.
    Op
}
number! {
    /// A version of the head or of a row of the table service.
    Version
}
