//! Snapshot of a table's state for operators.

use super::Table;

/// State of an account on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Dump {
    /// Name of the account.
    pub account: ids::Account,
    /// Tokens per second over all VMs.
    pub rate: u64,
    /// Burst in tokens over all VMs.
    pub burst: u64,
    /// The other homes of the account.
    pub homes: Vec<ids::Vm>,
    /// Capacity of this VM's bucket in tokens; zero if it is not a home.
    pub share: u64,
    /// Tokens in the bucket, rounded down.
    pub balance: u64,
    /// Borrowed tokens that can still be reserved, rounded down.
    pub borrowed: u64,
    /// Number of calls that wait for borrowed tokens.
    pub waiting: usize,
}

impl Table {
    /// Takes a snapshot of all accounts.
    #[must_use]
    pub fn dump(&self, now: ids::Time) -> Vec<Dump> {
        let whole = |nanos: u64| nanos / crate::NANOS;
        let entries = self.entries.iter().map(|(account, entry)| Dump {
            account: account.clone(),
            rate: entry.limit.rate,
            burst: entry.limit.burst,
            homes: entry.homes.clone(),
            share: whole(self.shares.current(account).cap),
            balance: whole(entry.bucket.balance()),
            borrowed: whole(entry.leases.values().map(|lease| lease.spendable(now)).sum()),
            waiting: entry.pending.len(),
        });
        entries.collect()
    }
}
