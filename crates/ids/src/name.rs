//! Names: shared immutable strings, one type for each kind of entity.

use std::{borrow, fmt, sync};

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $type(sync::Arc<str>);

        impl $type {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $type {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl borrow::Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// A client account, the unit of rates, bursts and fair shares.
    Account
}
name! {
    /// An adapter, loaded beside the model that it belongs to.
    Adapter
}
name! {
    /// A data centre.
    Centre
}
name! {
    /// The public part of a client key, safe to log.
    Key
}
name! {
    /// A model.
    Model
}
name! {
    /// A plain service beside the model engines.
    Service
}
name! {
    /// A target: one runner or one instance of a plain service.
    Target
}
name! {
    /// One of the system's own machines.
    Vm
}
