//! How the head divides rates and bursts among its members.

use std::{cmp, collections};

/// One incarnation of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
}

/// What an account may use over all VMs together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// The account.
    pub account: ids::Account,
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

impl From<&bundle::format::Account> for Limit {
    fn from(account: &bundle::format::Account) -> Self {
        Self { account: account.name.clone(), rate: account.rate, burst: account.burst }
    }
}

/// A VM's part of a rate and burst, in billionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Refill in each millisecond.
    pub refill: u64,
    /// Most that the bucket holds.
    pub cap: u64,
}

impl Share {
    /// The lower of both in each respect.
    pub fn min(self, other: Self) -> Self {
        Self { refill: self.refill.min(other.refill), cap: self.cap.min(other.cap) }
    }
}

/// The members that hold an account's tokens, the same on every VM. Few of
/// them, so that a share is not less than a call may need.
pub fn homes(limit: &Limit, members: &[Member], most: usize) -> Vec<Member> {
    let score = |member: &&Member| {
        let text = format!("{} {}", limit.account, member.vm);
        cmp::Reverse(*ids::Digest::of(text.as_bytes()).as_bytes())
    };
    let mut homes: Vec<_> = members.iter().collect();
    homes.sort_by_cached_key(score);
    homes.truncate(most);
    homes.into_iter().cloned().collect()
}

/// The share of each of so many homes. What a division leaves over is lost.
pub fn share(limit: &Limit, homes: usize) -> Share {
    let homes = u64::try_from(homes.max(1)).unwrap_or(u64::MAX);
    Share {
        refill: limit.rate * (crate::NANOS / 1_000) / homes,
        cap: limit.burst * crate::NANOS / homes,
    }
}

/// This VM's shares under the versions that others may still go by.
///
/// A share is the lowest of all versions from the newest that is known to be
/// settled to the one in force. Whichever of these versions is the one that
/// every serving VM has reached, each VM's share is at most that version's, so
/// together they never exceed the rate and burst.
#[derive(Debug)]
pub struct Shares {
    versions: collections::BTreeMap<ids::Version, collections::BTreeMap<ids::Account, Share>>,
}

impl Shares {
    /// No version yet.
    pub const fn new() -> Self {
        Self { versions: collections::BTreeMap::new() }
    }

    /// Adds the shares under a version that is put in force. If versions were
    /// left out, nothing is this VM's share until this one is settled.
    pub fn adopt(
        &mut self,
        version: ids::Version,
        shares: collections::BTreeMap<ids::Account, Share>,
    ) {
        let before = ids::Version::new(version.get().saturating_sub(1));
        self.versions.entry(before).or_default();
        self.versions.insert(version, shares);
    }

    /// The version in force; zero if none.
    pub fn newest(&self) -> ids::Version {
        self.versions.keys().next_back().copied().unwrap_or_default()
    }

    /// Forgets the versions before one that every serving VM has reached.
    pub fn settle(&mut self, version: ids::Version) {
        let newest = self.newest();
        self.versions.retain(|known, _| *known >= version || *known == newest);
    }

    /// The present share of an account.
    pub fn of(&self, account: &ids::Account) -> Share {
        let known = self.versions.values();
        let shares = known.map(|shares| shares.get(account).copied().unwrap_or_default());
        shares.reduce(Share::min).unwrap_or_default()
    }
}
