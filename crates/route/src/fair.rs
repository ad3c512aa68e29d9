//! Fair queueing over the accounts of one class.
//!
//! The ring identifies waiting calls by sequence number only. It selects the
//! next call either by weighted deficit round robin or by the least weighted
//! recent usage. A call is *fresh* while it can still meet the time to first
//! token objective and *late* afterwards; late calls are served only when no
//! fresh call can run.

use std::{collections, sync};

/// Waiting calls of one item: sequence number to expected tokens.
type Lane = collections::BTreeMap<u64, u64>;

/// The position of a waiting call in a ring.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) account: ids::Account,
    pub(crate) item: sync::Arc<str>,
    pub(crate) seq: u64,
    pub(crate) tokens: u64,
    pub(crate) late: bool,
}

/// Waiting calls of one account, by item, with the account's deficit counter.
#[derive(Debug, Default)]
struct Flow {
    deficit: f64,
    tokens: u64,
    fresh: collections::BTreeMap<sync::Arc<str>, Lane>,
    late: collections::BTreeMap<sync::Arc<str>, Lane>,
}

impl Flow {
    const fn lanes(&self, late: bool) -> &collections::BTreeMap<sync::Arc<str>, Lane> {
        if late { &self.late } else { &self.fresh }
    }

    const fn lanes_mut(&mut self, late: bool) -> &mut collections::BTreeMap<sync::Arc<str>, Lane> {
        if late { &mut self.late } else { &mut self.fresh }
    }

    fn is_empty(&self) -> bool {
        self.fresh.is_empty() && self.late.is_empty()
    }

    /// The most recent call; late calls are preferred over fresh ones.
    fn newest(&self) -> Option<u64> {
        let last = |late| {
            let lanes = self.lanes(late).values();
            lanes.filter_map(|lane| lane.keys().next_back()).max()
        };
        last(true).or_else(|| last(false)).copied()
    }

    /// The oldest call whose item can run, with its expected tokens.
    fn first(&self, late: bool, can_run: &mut impl FnMut(u64) -> bool) -> Option<(u64, u64)> {
        let heads = self.lanes(late).values();
        heads
            .filter_map(|lane| lane.first_key_value())
            .map(|(seq, tokens)| (*seq, *tokens))
            .filter(|(seq, _)| can_run(*seq))
            .min()
    }
}

/// The next runnable call of an account.
struct Candidate {
    /// Index of the account in [`Ring::turns`].
    position: usize,
    seq: u64,
    tokens: u64,
    quantum: f64,
    /// Full rounds after which the account's deficit covers the call.
    rounds: f64,
}

/// The accounts of one class that have waiting calls, in round-robin order.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    flows: collections::BTreeMap<ids::Account, Flow>,
    turns: collections::VecDeque<ids::Account>,
    /// Whether the account at the front has received its quantum and is still using it.
    serving: bool,
    usage: collections::BTreeMap<ids::Account, Usage>,
}

/// Half-life of past usage in the decayed sum, in ms.
const USAGE_HALF_LIFE_MS: f64 = 10_000.0;

/// Tokens served to an account, as an exponentially decayed sum.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    tokens: f64,
    updated: ids::Time,
}

impl Usage {
    fn tokens_at(&self, now: ids::Time) -> f64 {
        let elapsed_ms = now.since(self.updated).as_secs_f64() * 1_000.0;
        self.tokens * (-elapsed_ms / USAGE_HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now: ids::Time, tokens: f64) {
        self.tokens = self.tokens_at(now) + tokens;
        self.updated = now;
    }
}

impl Ring {
    pub(crate) const fn new() -> Self {
        Self {
            flows: collections::BTreeMap::new(),
            turns: collections::VecDeque::new(),
            serving: false,
            usage: collections::BTreeMap::new(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Expected tokens of the waiting calls of `account`.
    pub(crate) fn tokens(&self, account: &ids::Account) -> u64 {
        self.flows.get(account).map_or(0, |flow| flow.tokens)
    }

    /// The account with the most waiting tokens per unit of weight, and that number.
    pub(crate) fn longest_flow(
        &self,
        weight: impl Fn(&ids::Account) -> f64,
    ) -> Option<(&ids::Account, f64)> {
        self.flows
            .iter()
            .map(|(account, flow)| (account, flow.tokens as f64 / weight(account)))
            .max_by(|(_, one), (_, other)| one.total_cmp(other))
    }

    /// The most recent call of `account`, which is the first to be evicted.
    pub(crate) fn newest(&self, account: &ids::Account) -> Option<u64> {
        self.flows.get(account)?.newest()
    }

    pub(crate) fn insert(&mut self, slot: &Slot) {
        if !self.flows.contains_key(&slot.account) {
            self.turns.push_back(slot.account.clone());
        }
        let flow = self.flows.entry(slot.account.clone()).or_default();
        flow.tokens += slot.tokens;
        let lane = flow.lanes_mut(slot.late).entry(sync::Arc::clone(&slot.item));
        lane.or_default().insert(slot.seq, slot.tokens);
    }

    pub(crate) fn remove(&mut self, slot: &Slot) {
        self.remove_from_lane(slot);
        let Some(flow) = self.flows.get(&slot.account) else {
            return;
        };
        if flow.is_empty() {
            self.flows.remove(&slot.account);
            self.serving &= self.turns.front() != Some(&slot.account);
            self.turns.retain(|account| *account != slot.account);
        }
    }

    /// Moves a call from the fresh calls to the late ones.
    pub(crate) fn mark_late(&mut self, slot: &mut Slot) {
        self.remove_from_lane(slot);
        slot.late = true;
        self.insert(slot);
    }

    fn remove_from_lane(&mut self, slot: &Slot) {
        let Some(flow) = self.flows.get_mut(&slot.account) else {
            return;
        };
        let lanes = flow.lanes_mut(slot.late);
        let Some(lane) = lanes.get_mut(&slot.item) else {
            return;
        };
        let removed = lane.remove(&slot.seq);
        if lane.is_empty() {
            lanes.remove(&slot.item);
        }
        flow.tokens -= removed.unwrap_or(0);
    }

    /// Selects the next call by deficit round robin and charges its account.
    ///
    /// The call stays in the ring until it is removed.
    pub(crate) fn next_round_robin(
        &mut self,
        quantum: impl Fn(&ids::Account) -> f64,
        mut can_run: impl FnMut(u64) -> bool,
    ) -> Option<u64> {
        let mut candidates = self.candidates(false, &quantum, &mut can_run);
        if candidates.is_empty() {
            candidates = self.candidates(true, &quantum, &mut can_run);
        }
        self.end_turn(&mut candidates);
        let chosen = candidates.iter().min_by(|one, other| one.rounds.total_cmp(&other.rounds))?;
        for candidate in &candidates {
            let visits = if candidate.position > chosen.position {
                (chosen.rounds - 1.0).max(0.0)
            } else {
                chosen.rounds
            };
            self.flow_at(candidate.position).deficit += visits * candidate.quantum;
        }
        self.flow_at(chosen.position).deficit -= chosen.tokens as f64;
        self.turns.rotate_left(chosen.position);
        self.serving = true;
        Some(chosen.seq)
    }

    /// Selects the next call of the account with the least recent usage per
    /// unit of weight and charges the account.
    ///
    /// The call stays in the ring until it is removed.
    pub(crate) fn next_least_served(
        &mut self,
        now: ids::Time,
        weight: impl Fn(&ids::Account) -> f64,
        mut can_run: impl FnMut(u64) -> bool,
    ) -> Option<u64> {
        let mut candidates = self.candidates(false, &weight, &mut can_run);
        if candidates.is_empty() {
            candidates = self.candidates(true, &weight, &mut can_run);
        }
        let weighted_usage = |each: &Candidate| {
            let account = &self.turns[each.position];
            self.usage.get(account).map_or(0.0, |usage| usage.tokens_at(now)) / each.quantum
        };
        let by_usage = |one: &&Candidate, other: &&Candidate| {
            weighted_usage(one).total_cmp(&weighted_usage(other))
        };
        let chosen = candidates.iter().min_by(by_usage)?;
        let account = self.turns[chosen.position].clone();
        self.usage.entry(account).or_default().add(now, chosen.tokens as f64);
        Some(chosen.seq)
    }

    /// Moves the account at the front to the back if its quantum is used up.
    fn end_turn(&mut self, candidates: &mut Vec<Candidate>) {
        if !self.serving || candidates.is_empty() {
            return;
        }
        let continues = |first: &Candidate| first.position == 0 && first.rounds < 1.0;
        if candidates.first().is_some_and(continues) {
            return;
        }
        self.serving = false;
        self.turns.rotate_left(1);
        if candidates[0].position == 0 {
            candidates.rotate_left(1);
        }
        let last = self.turns.len() - 1;
        for candidate in candidates {
            candidate.position = candidate.position.checked_sub(1).unwrap_or(last);
        }
    }

    fn candidates(
        &self,
        late: bool,
        quantum: &impl Fn(&ids::Account) -> f64,
        can_run: &mut impl FnMut(u64) -> bool,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (position, account) in self.turns.iter().enumerate() {
            let flow = &self.flows[account];
            let Some((seq, tokens)) = flow.first(late, can_run) else {
                continue;
            };
            let quantum = quantum(account);
            let missing = (tokens as f64 - flow.deficit).max(0.0);
            found.push(Candidate {
                position,
                seq,
                tokens,
                quantum,
                rounds: (missing / quantum).ceil(),
            });
        }
        found
    }

    fn flow_at(&mut self, position: usize) -> &mut Flow {
        let account = &self.turns[position];
        self.flows.entry(account.clone()).or_default()
    }
}
