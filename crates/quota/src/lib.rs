//! Rates and bursts of accounts over all VMs together.

use std::{collections, time};

use bundle::format;

/// Settings of a [`Table`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: ids::Vm,
    /// Seed of its random numbers.
    pub seed: u64,
}

impl Config {
    /// Settings of the VM `me`.
    #[must_use]
    pub const fn new(me: ids::Vm, seed: u64) -> Self {
        Self { me, seed }
    }
}

/// What VMs tell one another about rates.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {}

/// Why a call was not granted its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// More than the account's whole burst.
    TooLarge,
    /// The account's rate is used up.
    OverRate,
}

/// What a [`Table`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another VM.
    Peer {
        /// The receiver.
        to: ids::Vm,
        /// The message.
        message: Message,
    },
    /// The call has its tokens.
    Granted {
        /// The call.
        call: ids::Call,
    },
    /// The call does not get its tokens.
    Short {
        /// The call.
        call: ids::Call,
        /// Why.
        reason: Reason,
        /// When another try makes sense.
        retry_after: time::Duration,
    },
}

#[derive(Debug)]
struct Bucket {
    whole: f64,
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: ids::Time,
}

/// The shares of one VM.
#[derive(Debug)]
pub struct Table {
    config: Config,
    buckets: collections::BTreeMap<ids::Account, Bucket>,
}

impl Table {
    /// A table in which no account has a share.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self { config, buckets: collections::BTreeMap::new() }
    }

    /// Takes members and accounts of a version of the head.
    pub fn adopt(
        &mut self,
        now: ids::Time,
        _version: ids::Version,
        members: &[ids::Vm],
        accounts: &[format::Account],
    ) {
        let count = members.len().max(1) as f64;
        let mut known = std::mem::take(&mut self.buckets);
        for account in accounts {
            let old = known.remove(&account.name).map_or(0.0, |bucket| bucket.tokens);
            let burst = account.burst as f64 / count;
            let rate = account.rate as f64 / count;
            let whole = account.burst as f64;
            let bucket = Bucket { whole, rate, burst, tokens: old.min(burst), filled: now };
            self.buckets.insert(account.name.clone(), bucket);
        }
    }

    /// Notes that no VM spends by shares of an earlier version any more.
    pub const fn settled(&mut self, _now: ids::Time, _version: ids::Version) {}

    /// Asks for tokens.
    pub fn request(
        &mut self,
        now: ids::Time,
        call: ids::Call,
        account: &ids::Account,
        tokens: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return;
        };
        let passed = now.since(bucket.filled).as_secs_f64();
        bucket.tokens = bucket.rate.mul_add(passed, bucket.tokens).min(bucket.burst);
        bucket.filled = now;
        if tokens as f64 > bucket.whole {
            let retry_after = time::Duration::ZERO;
            out.push(Output::Short { call, reason: Reason::TooLarge, retry_after });
            return;
        }
        let lack = tokens as f64 - bucket.tokens;
        if lack > 0.0 {
            let retry_after = time::Duration::from_secs_f64(lack / bucket.rate.max(1.0));
            out.push(Output::Short { call, reason: Reason::OverRate, retry_after });
            return;
        }
        bucket.tokens -= tokens as f64;
        out.push(Output::Granted { call });
    }

    /// Forgets a request that waits.
    pub const fn cancel(&mut self, _call: ids::Call) {}

    /// Gives back what was not used.
    pub fn settle(&mut self, _now: ids::Time, account: &ids::Account, reserved: u64, used: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.tokens = (bucket.tokens + (reserved - used) as f64).min(bucket.burst);
        }
    }

    /// Takes in a message of another VM.
    pub const fn peer(
        &mut self,
        _now: ids::Time,
        _from: &ids::Vm,
        _message: Message,
        _out: &mut Vec<Output>,
    ) {
    }

    /// Lets time pass.
    pub const fn tick(&mut self, _now: ids::Time, _out: &mut Vec<Output>) {}

    /// The table as JSON text.
    #[must_use]
    pub fn dump(&self, _now: ids::Time) -> String {
        format!("{} accounts at {}", self.buckets.len(), self.config.me)
    }
}
