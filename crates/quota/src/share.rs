//! Division of rates and bursts among the members of the head.

use std::{cmp, collections};

/// A VM that may hold tokens, in one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Incarnation of its process.
    pub incarnation: ids::Incarnation,
}

/// Limits of an account over all VMs together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// Name of the account.
    pub account: ids::Account,
    /// Tokens per second.
    pub rate: u64,
    /// Capacity in tokens.
    pub burst: u64,
}

impl From<&bundle::format::Account> for Limit {
    fn from(account: &bundle::format::Account) -> Self {
        Self { account: account.name.clone(), rate: account.rate, burst: account.burst }
    }
}

/// A VM's part of a rate and burst, in billionths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Refill per millisecond.
    pub refill: u64,
    /// Capacity of the bucket.
    pub cap: u64,
}

impl Share {
    /// The field-wise minimum.
    pub fn min(self, other: Self) -> Self {
        Self { refill: self.refill.min(other.refill), cap: self.cap.min(other.cap) }
    }
}

/// The members that hold an account's tokens, by rendezvous hashing, so that
/// every VM computes the same ones. Their number is limited to keep each share
/// large enough for a call.
pub fn homes(limit: &Limit, members: &[Member], max_homes: usize) -> Vec<Member> {
    let score = |member: &&Member| {
        let text = format!("{} {}", limit.account, member.vm);
        cmp::Reverse(*ids::Digest::of(text.as_bytes()).as_bytes())
    };
    let mut homes: Vec<_> = members.iter().collect();
    homes.sort_by_cached_key(score);
    homes.truncate(max_homes);
    homes.into_iter().cloned().collect()
}

/// The share of each home. The remainder of the division is not distributed.
pub fn home_share(limit: &Limit, homes: usize) -> Share {
    let homes = u64::try_from(homes.max(1)).unwrap_or(u64::MAX);
    Share {
        refill: limit.rate * (crate::NANOS / 1_000) / homes,
        cap: limit.burst * crate::NANOS / homes,
    }
}

/// This VM's shares under all versions that other VMs may still be using.
///
/// The current share is the minimum over all versions from the newest settled
/// one to the one in force. Whichever of these versions every serving VM has
/// reached, each VM's share is at most its share under that version, so together
/// they never exceed the rate and burst.
#[derive(Debug)]
pub struct Shares {
    versions: collections::BTreeMap<ids::Version, collections::BTreeMap<ids::Account, Share>>,
}

impl Shares {
    /// Creates an empty set of versions.
    pub const fn new() -> Self {
        Self { versions: collections::BTreeMap::new() }
    }

    /// Adds the shares of a version that is put in force. If versions were
    /// skipped, all shares are zero until this version is settled.
    pub fn adopt(
        &mut self,
        version: ids::Version,
        shares: collections::BTreeMap<ids::Account, Share>,
    ) {
        let before = ids::Version::new(version.get().saturating_sub(1));
        self.versions.entry(before).or_default();
        self.versions.insert(version, shares);
    }

    /// The newest version, which is the one in force; zero if none.
    pub fn newest_version(&self) -> ids::Version {
        self.versions.keys().next_back().copied().unwrap_or_default()
    }

    /// Drops the versions before one that every serving VM has reached.
    pub fn settle(&mut self, version: ids::Version) {
        let newest_version = self.newest_version();
        self.versions.retain(|known, _| *known >= version || *known == newest_version);
    }

    /// The current share of an account.
    pub fn current(&self, account: &ids::Account) -> Share {
        let known = self.versions.values();
        let shares = known.map(|shares| shares.get(account).copied().unwrap_or_default());
        shares.reduce(Share::min).unwrap_or_default()
    }
}
