//! Front of primroseplank: the library crates under one name.

pub use {bundle, engine, ids, journal, member, node, plan, platform, quota, route, wire};
