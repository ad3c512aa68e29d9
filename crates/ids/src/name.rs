//! Names of entities: shared immutable strings with one type per kind of entity.

use std::{borrow, fmt, sync};

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $type(sync::Arc<str>);

        impl $type {
            /// Returns the name as a string slice.
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
    /// A client account, to which rates, bursts and fair shares apply.
    Account
}
name! {
    /// An adapter, loaded together with the model that it belongs to.
    Adapter
}
name! {
    /// A data centre.
    Centre
}
name! {
    /// The public id of a client key; safe to log.
    Key
}
name! {
    /// A model that runners serve.
    Model
}
name! {
    /// A plain service: one that is not a model runner.
    Service
}
name! {
    /// A target: one runner or one instance of a plain service.
    Target
}
name! {
    /// A VM: one process of the system itself.
    Vm
}
