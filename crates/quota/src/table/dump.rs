//! The dump of a table's state.

use super::Table;

/// An account's tokens on one VM, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Dump {
    /// The account.
    pub account: ids::Account,
    /// Tokens a second over all VMs.
    pub rate: u64,
    /// Tokens at once over all VMs.
    pub burst: u64,
    /// The other VMs that hold its tokens.
    pub homes: Vec<ids::Vm>,
    /// Tokens that this VM's bucket holds at most.
    pub share: u64,
    /// Tokens in the bucket.
    pub balance: u64,
    /// Tokens borrowed and not reserved.
    pub borrowed: u64,
    /// Calls that wait for tokens.
    pub waiting: usize,
}

impl Table {
    /// The dump of the state.
    #[must_use]
    pub fn dump(&self, now: ids::Time) -> Vec<Dump> {
        let whole = |nanos: u64| nanos / crate::NANOS;
        let entries = self.entries.iter().map(|(account, entry)| Dump {
            account: account.clone(),
            rate: entry.limit.rate,
            burst: entry.limit.burst,
            homes: entry.homes.clone(),
            share: whole(self.shares.of(account).cap),
            balance: whole(entry.bucket.balance()),
            borrowed: whole(entry.leases.values().map(|lease| lease.live(now)).sum()),
            waiting: entry.pending.len(),
        });
        entries.collect()
    }
}
