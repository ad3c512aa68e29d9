//! Tokens that were borrowed and tokens that were lent, in billionths.

use std::time;

use crate::{bucket, message};

/// A question for tokens that awaits its answer.
#[derive(Debug)]
pub struct Ask {
    pub to: ids::Vm,
    pub sent: ids::Time,
}

/// Borrowed tokens.
#[derive(Debug)]
pub struct Lease {
    pub lender: ids::Vm,
    pub left: u64,
    pub unused: u64,
    pub unreserved: u64,
    pub expires: ids::Time,
    /// Calls that have reserved of it and have not ended.
    pub open: usize,
    /// Whether it has changed since the lender was told.
    pub changed: bool,
}

impl Lease {
    /// Fresh tokens.
    pub const fn new(lender: ids::Vm, amount: u64, expires: ids::Time) -> Self {
        Self { lender, left: amount, unused: 0, unreserved: 0, expires, open: 0, changed: false }
    }

    /// What can be spent now.
    pub fn live(&self, now: ids::Time) -> u64 {
        if now < self.expires { self.left } else { 0 }
    }

    /// Takes up to so much.
    pub fn take(&mut self, now: ids::Time, most: u64) -> u64 {
        let amount = most.min(self.live(now));
        if amount > 0 {
            self.left -= amount;
            self.open += 1;
            self.changed = true;
        }
        amount
    }

    /// Gives up what is left once it has expired.
    pub fn expire(&mut self, now: ids::Time) {
        if now >= self.expires && self.left > 0 {
            self.unreserved += self.left;
            self.left = 0;
            self.changed = true;
        }
    }

    /// Whether nothing can become of it any more.
    pub const fn ended(&self) -> bool {
        self.left == 0 && self.open == 0 && !self.changed
    }

    /// What the lender is told.
    pub const fn state(&self, lease_id: u64) -> message::State {
        message::State {
            lease_id,
            left: self.left,
            unused: self.unused,
            unreserved: self.unreserved,
            ended: self.left == 0 && self.open == 0,
        }
    }
}

/// Lent tokens.
#[derive(Debug)]
pub struct Lend {
    /// What takes room in the bucket, for the borrower may still spend it.
    lent: u64,
    /// What the borrower may have reserved and has not given back.
    due: u64,
    unused: u64,
    unreserved: u64,
    mark: Option<u64>,
    expires: ids::Time,
    forgotten: ids::Time,
}

impl Lend {
    /// Lends `amount`, which the bucket has given.
    pub fn new(
        amount: u64,
        now: ids::Time,
        lease_duration: time::Duration,
        refund_window: time::Duration,
    ) -> Self {
        Self {
            lent: amount,
            due: amount,
            unused: 0,
            unreserved: 0,
            mark: None,
            expires: now + lease_duration,
            forgotten: now + refund_window,
        }
    }

    /// Takes a report. Its numbers only rise or only fall, so that a doubled
    /// or late one changes nothing.
    pub fn report(&mut self, now: ids::Time, state: &message::State, bucket: &mut bucket::Bucket) {
        let unreserved = state.unreserved.saturating_sub(self.unreserved).min(self.due);
        let restored = unreserved.min(self.lent);
        bucket.restore(restored);
        self.lent -= restored;
        self.keep(state.left, bucket);
        let unused = state.unused.saturating_sub(self.unused).min(self.due - restored);
        let returned = (unreserved - restored).saturating_add(unused).min(self.due - restored);
        self.unreserved += unreserved;
        self.unused += unused;
        self.due -= restored + returned;
        if let Some(mark) = self.mark {
            bucket.give_back(now, mark, returned);
        }
        if state.ended {
            self.due = 0;
        }
    }

    /// Releases what has expired.
    pub fn expire(&mut self, now: ids::Time, bucket: &mut bucket::Bucket) {
        if now >= self.expires && self.lent > 0 {
            self.keep(0, bucket);
        }
    }

    /// Releases all but so much.
    fn keep(&mut self, left: u64, bucket: &mut bucket::Bucket) {
        let freed = self.lent.saturating_sub(left);
        if freed > 0 {
            let mark = bucket.release(freed);
            self.lent -= freed;
            self.mark.get_or_insert(mark);
        }
    }

    /// The oldest mark that may still be asked for.
    pub const fn mark(&self) -> Option<u64> {
        self.mark
    }

    /// Whether nothing more is taken back.
    pub fn ended(&self, now: ids::Time) -> bool {
        self.lent == 0 && (self.due == 0 || now >= self.forgotten)
    }
}
