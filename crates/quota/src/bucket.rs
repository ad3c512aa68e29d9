//! A home's bucket of an account.

use std::collections;

use crate::share;

/// A bucket of tokens, in billionths.
///
/// What was lent takes room until it has expired or was spent. What is given
/// back after a call is limited by the least room since the call was admitted:
/// a bucket that was full meanwhile would have lost the refill, had the call
/// been charged rightly.
#[derive(Debug, Default)]
pub struct Bucket {
    share: share::Share,
    balance: u64,
    lent: u64,
    refilled: ids::Time,
    vacant: Option<ids::Time>,
    /// Number of notes of the room so far.
    notes: u64,
    /// The least room since each note, less what was given back since: the
    /// notes that are lower than all later ones, oldest and lowest first.
    least: collections::VecDeque<(u64, i128)>,
    /// What was given back so far.
    returned: i128,
}

impl Bucket {
    /// A bucket without a share. If the account was nowhere to be used since
    /// `vacant`, its first share comes with what it has yielded since then.
    pub fn new(now: ids::Time, vacant: Option<ids::Time>) -> Self {
        Self { refilled: now, vacant, ..Self::default() }
    }

    /// Adds what the share yields.
    pub fn refill(&mut self, now: ids::Time) {
        let passed = now.since(self.refilled).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        let fresh = self.share.refill.saturating_mul(passed);
        self.refilled = self.refilled.max(now);
        self.balance = self.balance.saturating_add(fresh);
        self.cut();
        self.note();
    }

    /// Changes the share; what is above it is lost.
    pub fn resize(&mut self, now: ids::Time, share: share::Share) {
        self.refill(now);
        self.share = share;
        if share.cap > 0
            && let Some(vacant) = self.vacant.take()
        {
            self.refilled = vacant;
            self.refill(now);
        }
        self.cut();
        self.note();
    }

    /// From now on, the account can be used elsewhere.
    pub const fn occupy(&mut self) {
        self.vacant = None;
    }

    fn cut(&mut self) {
        let most = self.share.cap.saturating_sub(self.lent);
        self.balance = self.balance.min(most);
    }

    fn room(&self) -> u64 {
        let taken = self.balance.saturating_add(self.lent);
        self.share.cap.saturating_sub(taken)
    }

    /// Notes the room, which is least just before tokens are taken.
    fn note(&mut self) {
        let room = i128::from(self.room()) + self.returned;
        while self.least.back().is_some_and(|(_, least)| *least >= room) {
            self.least.pop_back();
        }
        self.least.push_back((self.notes, room));
        self.notes += 1;
    }

    /// The balance.
    pub const fn balance(&self) -> u64 {
        self.balance
    }

    /// Takes up to so much; the amount and the mark for what is given back.
    pub fn take(&mut self, most: u64) -> (u64, u64) {
        let amount = most.min(self.balance);
        self.balance -= amount;
        (amount, self.notes)
    }

    /// Takes up to so much to lend it.
    pub fn lend(&mut self, most: u64) -> u64 {
        let (amount, _) = self.take(most);
        self.lent += amount;
        amount
    }

    /// Makes room again for what was lent and can no longer be spent; the mark
    /// for what is given back of it later.
    pub fn release(&mut self, amount: u64) -> u64 {
        self.lent -= amount;
        self.notes
    }

    /// Takes back what was lent and never reserved.
    pub fn restore(&mut self, amount: u64) {
        self.lent -= amount;
        self.balance += amount;
        self.cut();
    }

    /// Takes back what was not used of tokens taken at `mark`.
    pub fn give_back(&mut self, now: ids::Time, mark: u64, unused: u64) {
        self.refill(now);
        let place = self.least.partition_point(|(note, _)| *note < mark);
        let Some((_, least)) = self.least.get(place) else {
            return;
        };
        let room = u64::try_from(*least - self.returned).unwrap_or(0);
        let amount = unused.min(room);
        self.balance += amount;
        // Every other call can be given back that much less.
        self.returned += i128::from(amount);
        self.note();
    }

    /// Forgets the notes before `mark`, the oldest that can still be asked for.
    pub fn forget(&mut self, mark: u64) {
        while self.least.len() > 1 && self.least.front().is_some_and(|(note, _)| *note < mark) {
            self.least.pop_front();
        }
    }
}
