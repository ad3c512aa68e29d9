//! The token bucket of an account on one of its homes.

use std::collections;

use crate::share;

/// A token bucket. All amounts are in billionths of a token.
///
/// Lent tokens occupy room until they have expired or were spent. A refund after
/// a call is limited to the smallest room that the bucket has had since the call
/// was admitted: if the call had been charged its actual use from the start, a
/// bucket that was full in the meantime would have lost the refill.
#[derive(Debug, Default)]
pub struct Bucket {
    share: share::Share,
    balance: u64,
    lent: u64,
    refilled_at: ids::Time,
    unused_since: Option<ids::Time>,
    /// Number of room samples recorded so far.
    samples: u64,
    /// Minimum room since each sample, less what was refunded since. Keeps only
    /// samples that are lower than all later ones, oldest and lowest first.
    min_room: collections::VecDeque<(u64, i128)>,
    /// Total refunded so far.
    refunded: i128,
}

impl Bucket {
    /// Creates a bucket without a share. If no VM could use the account since
    /// `unused_since`, the first share is refilled from that time on.
    pub fn new(now: ids::Time, unused_since: Option<ids::Time>) -> Self {
        Self { refilled_at: now, unused_since, ..Self::default() }
    }

    /// Adds the refill since the last call, up to the capacity.
    pub fn refill(&mut self, now: ids::Time) {
        let elapsed_ms = now.since(self.refilled_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        let refill = self.share.refill.saturating_mul(elapsed_ms);
        self.refilled_at = self.refilled_at.max(now);
        self.balance = self.balance.saturating_add(refill);
        self.clamp();
        self.record_room();
    }

    /// Changes the share. Tokens above the new capacity are lost.
    pub fn resize(&mut self, now: ids::Time, share: share::Share) {
        self.refill(now);
        self.share = share;
        if share.cap > 0
            && let Some(unused_since) = self.unused_since.take()
        {
            self.refilled_at = unused_since;
            self.refill(now);
        }
        self.clamp();
        self.record_room();
    }

    /// Records that other VMs may use the account from now on, so that a later
    /// first share starts empty.
    pub const fn mark_used(&mut self) {
        self.unused_since = None;
    }

    fn clamp(&mut self) {
        let max = self.share.cap.saturating_sub(self.lent);
        self.balance = self.balance.min(max);
    }

    fn room(&self) -> u64 {
        let taken = self.balance.saturating_add(self.lent);
        self.share.cap.saturating_sub(taken)
    }

    /// Records a sample of the room, which is smallest just before tokens are
    /// taken.
    fn record_room(&mut self) {
        let room = i128::from(self.room()) + self.refunded;
        while self.min_room.back().is_some_and(|(_, min_room)| *min_room >= room) {
            self.min_room.pop_back();
        }
        self.min_room.push_back((self.samples, room));
        self.samples += 1;
    }

    /// Tokens that can be taken now.
    pub const fn balance(&self) -> u64 {
        self.balance
    }

    /// Takes up to `max`. Returns the amount and the mark to pass to
    /// [`Self::refund`].
    pub fn take(&mut self, max: u64) -> (u64, u64) {
        let amount = max.min(self.balance);
        self.balance -= amount;
        (amount, self.samples)
    }

    /// Takes up to `max` to lend it and returns the amount.
    pub fn lend(&mut self, max: u64) -> u64 {
        let (amount, _) = self.take(max);
        self.lent += amount;
        amount
    }

    /// Frees the room of lent tokens that can no longer be spent. Returns the
    /// mark for later refunds of them.
    pub fn release(&mut self, amount: u64) -> u64 {
        self.lent -= amount;
        self.samples
    }

    /// Returns lent tokens that were never reserved to the balance.
    pub fn restore(&mut self, amount: u64) {
        self.lent -= amount;
        self.balance += amount;
        self.clamp();
    }

    /// Refunds the unused part of tokens that were taken at `mark`, limited by the
    /// minimum room since then.
    pub fn refund(&mut self, now: ids::Time, mark: u64, unused: u64) {
        self.refill(now);
        let index = self.min_room.partition_point(|(sample, _)| *sample < mark);
        let Some((_, min_room)) = self.min_room.get(index) else {
            return;
        };
        let room = u64::try_from(*min_room - self.refunded).unwrap_or(0);
        let amount = unused.min(room);
        self.balance += amount;
        // Reduces the limit of every other refund by the same amount.
        self.refunded += i128::from(amount);
        self.record_room();
    }

    /// Drops the samples before `mark`, the oldest mark still in use.
    pub fn prune(&mut self, mark: u64) {
        while self.min_room.len() > 1
            && self.min_room.front().is_some_and(|(sample, _)| *sample < mark)
        {
            self.min_room.pop_front();
        }
    }
}
