//! What VMs tell one another about tokens. Amounts are in billionths.

/// A message between VMs. It may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Asks to borrow.
    #[serde(rename = "a")]
    Borrow {
        /// The account.
        #[serde(rename = "c")]
        account: ids::Account,
        /// Number of the lease, unique for the asker's incarnation.
        #[serde(rename = "n")]
        lease_id: u64,
        /// Most to lend.
        #[serde(rename = "w")]
        amount: u64,
    },
    /// Lends.
    #[serde(rename = "g")]
    Lend {
        /// The account.
        #[serde(rename = "c")]
        account: ids::Account,
        /// Number of the lease.
        #[serde(rename = "n")]
        lease_id: u64,
        /// What is lent; zero if nothing can be.
        #[serde(rename = "m")]
        amount: u64,
        /// What the lender has left to lend.
        #[serde(rename = "l")]
        left: u64,
    },
    /// Says what became of leases.
    #[serde(rename = "r")]
    Report {
        /// The account.
        #[serde(rename = "c")]
        account: ids::Account,
        /// The leases.
        #[serde(rename = "s")]
        leases: Vec<State>,
    },
}

/// What has become of a lease so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Number of the lease.
    #[serde(rename = "n")]
    pub lease_id: u64,
    /// What can still be spent of it.
    #[serde(rename = "l")]
    pub left: u64,
    /// What calls reserved of it and did not use, in all.
    #[serde(rename = "u")]
    pub unused: u64,
    /// What no call had reserved when it expired.
    #[serde(rename = "s")]
    pub unreserved: u64,
    /// Whether nothing more will become of it.
    #[serde(rename = "e")]
    pub ended: bool,
}
