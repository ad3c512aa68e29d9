//! Weighted deficit round robin over the accounts of one class.
//!
//! The ring knows waiting calls by their sequence numbers only. A call is
//! *fresh* while it can still meet the target for its first token and *late*
//! afterwards; late calls are served when no fresh call can run.

use std::{collections, sync};

/// Waiting calls of one item: sequence number to tokens.
type Lane = collections::BTreeMap<u64, u64>;

/// Where a waiting call stands.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) account: ids::Account,
    pub(crate) item: sync::Arc<str>,
    pub(crate) seq: u64,
    pub(crate) tokens: u64,
    pub(crate) late: bool,
}

/// Waiting calls of one account, by item.
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

    /// The call that arrived last, late ones first.
    fn newest(&self) -> Option<u64> {
        let last = |late| {
            let lanes = self.lanes(late).values();
            lanes.filter_map(|lane| lane.keys().next_back()).max()
        };
        last(true).or_else(|| last(false)).copied()
    }

    /// The call that arrived first among those whose item can run.
    fn first(&self, late: bool, can_run: &mut impl FnMut(u64) -> bool) -> Option<(u64, u64)> {
        let heads = self.lanes(late).values();
        heads
            .filter_map(|lane| lane.first_key_value())
            .map(|(seq, tokens)| (*seq, *tokens))
            .filter(|(seq, _)| can_run(*seq))
            .min()
    }
}

/// The next call of an account.
struct Candidate {
    position: usize,
    seq: u64,
    tokens: u64,
    quantum: f64,
    rounds: f64,
}

/// The accounts of one class that have calls waiting, in the order of their turns.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    flows: collections::BTreeMap<ids::Account, Flow>,
    turns: collections::VecDeque<ids::Account>,
    /// Whether the account at the front has had its quantum and goes on with it.
    serving: bool,
    served: collections::BTreeMap<ids::Account, Served>,
}

/// Time in which the weight of past service halves, in ms.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Tokens served to an account, with weights that halve over time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    tokens: f64,
    at: ids::Time,
}

impl Served {
    fn at(&self, now: ids::Time) -> f64 {
        let passed = now.since(self.at).as_secs_f64() * 1_000.0;
        self.tokens * (-passed / HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now: ids::Time, tokens: f64) {
        self.tokens = self.at(now) + tokens;
        self.at = now;
    }
}

impl Ring {
    pub(crate) const fn new() -> Self {
        Self {
            flows: collections::BTreeMap::new(),
            turns: collections::VecDeque::new(),
            serving: false,
            served: collections::BTreeMap::new(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Waiting tokens of `account`.
    pub(crate) fn tokens(&self, account: &ids::Account) -> u64 {
        self.flows.get(account).map_or(0, |flow| flow.tokens)
    }

    /// The account with most waiting tokens for its weight, and how many these are.
    pub(crate) fn longest(
        &self,
        weight: impl Fn(&ids::Account) -> f64,
    ) -> Option<(&ids::Account, f64)> {
        self.flows
            .iter()
            .map(|(account, flow)| (account, flow.tokens as f64 / weight(account)))
            .max_by(|(_, one), (_, other)| one.total_cmp(other))
    }

    /// The call of `account` that has the least claim to be served.
    pub(crate) fn newest(&self, account: &ids::Account) -> Option<u64> {
        self.flows.get(account)?.newest()
    }

    pub(crate) fn insert(&mut self, place: &Place) {
        if !self.flows.contains_key(&place.account) {
            self.turns.push_back(place.account.clone());
        }
        let flow = self.flows.entry(place.account.clone()).or_default();
        flow.tokens += place.tokens;
        let lane = flow.lanes_mut(place.late).entry(sync::Arc::clone(&place.item));
        lane.or_default().insert(place.seq, place.tokens);
    }

    pub(crate) fn remove(&mut self, place: &Place) {
        self.take(place);
        let Some(flow) = self.flows.get(&place.account) else {
            return;
        };
        if flow.is_empty() {
            self.flows.remove(&place.account);
            self.serving &= self.turns.front() != Some(&place.account);
            self.turns.retain(|account| *account != place.account);
        }
    }

    /// Moves a call to the late ones.
    pub(crate) fn age(&mut self, place: &mut Place) {
        self.take(place);
        place.late = true;
        self.insert(place);
    }

    fn take(&mut self, place: &Place) {
        let Some(flow) = self.flows.get_mut(&place.account) else {
            return;
        };
        let lanes = flow.lanes_mut(place.late);
        let Some(lane) = lanes.get_mut(&place.item) else {
            return;
        };
        let removed = lane.remove(&place.seq);
        if lane.is_empty() {
            lanes.remove(&place.item);
        }
        flow.tokens -= removed.unwrap_or(0);
    }

    /// The call whose turn it is, charged to its account; it stays in the ring.
    pub(crate) fn next(
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

    /// The next call of the account that was served least of late for its
    /// weight, charged to it; it stays in the ring.
    pub(crate) fn least_served(
        &mut self,
        now: ids::Time,
        weight: impl Fn(&ids::Account) -> f64,
        mut can_run: impl FnMut(u64) -> bool,
    ) -> Option<u64> {
        let mut candidates = self.candidates(false, &weight, &mut can_run);
        if candidates.is_empty() {
            candidates = self.candidates(true, &weight, &mut can_run);
        }
        let served = |each: &Candidate| {
            let account = &self.turns[each.position];
            self.served.get(account).map_or(0.0, |served| served.at(now)) / each.quantum
        };
        let least = |one: &&Candidate, other: &&Candidate| served(one).total_cmp(&served(other));
        let chosen = candidates.iter().min_by(least)?;
        let account = self.turns[chosen.position].clone();
        self.served.entry(account).or_default().add(now, chosen.tokens as f64);
        Some(chosen.seq)
    }

    /// Sends the account at the front to the back if its quantum is used up.
    fn end_turn(&mut self, candidates: &mut Vec<Candidate>) {
        if !self.serving || candidates.is_empty() {
            return;
        }
        let goes_on = |first: &Candidate| first.position == 0 && first.rounds < 1.0;
        if candidates.first().is_some_and(goes_on) {
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
