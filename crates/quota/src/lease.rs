//! Borrowed tokens (leases) and lent tokens (loans). All amounts are in
//! billionths of a token.

use std::time;

use crate::{bucket, message};

/// A request to borrow that awaits its answer.
#[derive(Debug)]
pub struct Request {
    pub to: ids::Vm,
    pub sent_at: ids::Time,
}

/// Tokens borrowed from another VM.
#[derive(Debug)]
pub struct Lease {
    pub lender: ids::Vm,
    /// Not reserved yet.
    pub left: u64,
    /// Total that calls reserved and did not use.
    pub unused: u64,
    /// What was left when the lease expired.
    pub unreserved: u64,
    pub expires_at: ids::Time,
    /// Number of calls that have reserved from it and have not ended.
    pub open_calls: usize,
    /// Whether it has changed since the last report to the lender.
    pub changed: bool,
}

impl Lease {
    /// Creates a lease of `amount`, none of it reserved.
    pub const fn new(lender: ids::Vm, amount: u64, expires_at: ids::Time) -> Self {
        Self {
            lender,
            left: amount,
            unused: 0,
            unreserved: 0,
            expires_at,
            open_calls: 0,
            changed: false,
        }
    }

    /// What can be reserved now.
    pub fn spendable(&self, now: ids::Time) -> u64 {
        if now < self.expires_at { self.left } else { 0 }
    }

    /// Reserves up to `max` for a call and returns the amount.
    pub fn take(&mut self, now: ids::Time, max: u64) -> u64 {
        let amount = max.min(self.spendable(now));
        if amount > 0 {
            self.left -= amount;
            self.open_calls += 1;
            self.changed = true;
        }
        amount
    }

    /// Moves what is left to `unreserved` once the lease has expired.
    pub fn expire(&mut self, now: ids::Time) {
        if now >= self.expires_at && self.left > 0 {
            self.unreserved += self.left;
            self.left = 0;
            self.changed = true;
        }
    }

    /// Whether the lease can be dropped: nothing is left, no call holds a
    /// reservation and the lender has the final report.
    pub const fn is_ended(&self) -> bool {
        self.left == 0 && self.open_calls == 0 && !self.changed
    }

    /// State of the lease as reported to the lender.
    pub const fn state(&self, lease_id: u64) -> message::State {
        message::State {
            lease_id,
            left: self.left,
            unused: self.unused,
            unreserved: self.unreserved,
            ended: self.left == 0 && self.open_calls == 0,
        }
    }
}

/// Tokens lent to another VM.
#[derive(Debug)]
pub struct Loan {
    /// What the borrower may still spend, which occupies room in the bucket.
    lent: u64,
    /// Upper limit of what the borrower can still return.
    refundable: u64,
    /// Reported as unused so far.
    unused: u64,
    /// Reported as expired without a reservation so far.
    unreserved: u64,
    /// The mark of the first release, for refunds.
    mark: Option<u64>,
    expires_at: ids::Time,
    refund_until: ids::Time,
}

impl Loan {
    /// Creates a loan of `amount`, which was taken with [`bucket::Bucket::lend`].
    pub fn new(
        amount: u64,
        now: ids::Time,
        lease_duration: time::Duration,
        refund_window: time::Duration,
    ) -> Self {
        Self {
            lent: amount,
            refundable: amount,
            unused: 0,
            unreserved: 0,
            mark: None,
            expires_at: now + lease_duration,
            refund_until: now + refund_window,
        }
    }

    /// Handles a report from the borrower. Each of its amounts is monotonic, so a
    /// duplicate or delayed report has no effect.
    pub fn report(&mut self, now: ids::Time, state: &message::State, bucket: &mut bucket::Bucket) {
        let unreserved = state.unreserved.saturating_sub(self.unreserved).min(self.refundable);
        let restored = unreserved.min(self.lent);
        bucket.restore(restored);
        self.lent -= restored;
        self.release_down_to(state.left, bucket);
        let unused = state.unused.saturating_sub(self.unused).min(self.refundable - restored);
        let returned =
            (unreserved - restored).saturating_add(unused).min(self.refundable - restored);
        self.unreserved += unreserved;
        self.unused += unused;
        self.refundable -= restored + returned;
        if let Some(mark) = self.mark {
            bucket.refund(now, mark, returned);
        }
        if state.ended {
            self.refundable = 0;
        }
    }

    /// Releases the room of a loan that has expired.
    pub fn expire(&mut self, now: ids::Time, bucket: &mut bucket::Bucket) {
        if now >= self.expires_at && self.lent > 0 {
            self.release_down_to(0, bucket);
        }
    }

    /// Releases the room of all but `left`.
    fn release_down_to(&mut self, left: u64, bucket: &mut bucket::Bucket) {
        let freed = self.lent.saturating_sub(left);
        if freed > 0 {
            let mark = bucket.release(freed);
            self.lent -= freed;
            self.mark.get_or_insert(mark);
        }
    }

    /// The mark that later refunds of this loan will use, if any.
    pub const fn mark(&self) -> Option<u64> {
        self.mark
    }

    /// Whether the loan can be dropped: it occupies no room and nothing more can
    /// be returned.
    pub fn is_ended(&self, now: ids::Time) -> bool {
        self.lent == 0 && (self.refundable == 0 || now >= self.refund_until)
    }
}
