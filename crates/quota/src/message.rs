//! Messages between VMs about tokens. Amounts are in billionths of a token.

/// A message between VMs. It may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Requests a lease.
    #[serde(rename = "a")]
    Borrow {
        /// Account whose tokens are meant.
        #[serde(rename = "c")]
        account: ids::Account,
        /// Identifies the lease, uniquely for the borrower.
        #[serde(rename = "n")]
        lease_id: u64,
        /// Maximum to lend.
        #[serde(rename = "w")]
        amount: u64,
    },
    /// Answers a request with a lease.
    #[serde(rename = "g")]
    Lend {
        /// Account whose tokens are meant.
        #[serde(rename = "c")]
        account: ids::Account,
        /// The requested lease.
        #[serde(rename = "n")]
        lease_id: u64,
        /// Amount lent; zero if none is available.
        #[serde(rename = "m")]
        amount: u64,
        /// Amount that the lender could still lend afterwards.
        #[serde(rename = "l")]
        left: u64,
    },
    /// Reports the state of leases to their lender.
    #[serde(rename = "r")]
    Report {
        /// Account whose tokens are meant.
        #[serde(rename = "c")]
        account: ids::Account,
        /// The leases that have changed since the last report.
        #[serde(rename = "s")]
        leases: Vec<State>,
    },
}

/// State of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Identifies the lease.
    #[serde(rename = "n")]
    pub lease_id: u64,
    /// Amount that can still be spent.
    #[serde(rename = "l")]
    pub left: u64,
    /// Total amount that calls reserved and did not use.
    #[serde(rename = "u")]
    pub unused: u64,
    /// Amount that no call had reserved when the lease expired.
    #[serde(rename = "s")]
    pub unreserved: u64,
    /// Whether the lease has ended: nothing is left and no call holds a
    /// reservation.
    #[serde(rename = "e")]
    pub ended: bool,
}
