//! What the runners hold.

use std::{collections, sync};

use engine::{order, report};
use platform::table;

/// Settings of a [`Planner`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: ids::Vm,
    /// This start of its process.
    pub incarnation: ids::Incarnation,
}

impl Config {
    /// Settings of the VM `me`.
    #[must_use]
    pub const fn new(me: ids::Vm, incarnation: ids::Incarnation) -> Self {
        Self { me, incarnation }
    }
}

/// What a [`Planner`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask the table service.
    Table {
        /// The operation.
        op: ids::Op,
        /// What to ask.
        request: table::Request,
    },
    /// Send an order.
    Order {
        /// The operation.
        op: ids::Op,
        /// The runner.
        target: ids::Target,
        /// The order.
        order: engine::Order,
    },
    /// A change of state.
    Log(String),
}

/// Plans what the runners hold.
#[derive(Debug)]
pub struct Planner {
    config: Config,
    ready: collections::BTreeMap<ids::Target, Vec<sync::Arc<str>>>,
}

impl Planner {
    /// A planner without runners.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self { config, ready: collections::BTreeMap::new() }
    }

    /// Takes runners and models.
    pub const fn adopt(
        &mut self,
        _now: ids::Time,
        _bundle: &bundle::Bundle,
        _members: &[ids::Vm],
        _drained: &collections::BTreeSet<ids::Target>,
    ) {
    }

    /// Takes in what a runner holds.
    pub fn report(&mut self, _now: ids::Time, target: &ids::Target, report: &engine::Report) {
        let ready = report.residents.iter().filter(|row| row.state == report::State::Ready);
        let items = ready.map(|row| sync::Arc::clone(&row.item)).collect();
        self.ready.insert(target.clone(), items);
    }

    /// What a runner may be sent calls for.
    #[must_use]
    pub fn offers(&self, target: &ids::Target) -> Vec<sync::Arc<str>> {
        self.ready.get(target).cloned().unwrap_or_default()
    }

    /// Whether this VM plans what the runner holds.
    #[must_use]
    pub fn plans(&self, target: &ids::Target) -> bool {
        self.ready.contains_key(target)
    }

    /// Takes in how a runner took an order.
    pub const fn order(
        &mut self,
        _now: ids::Time,
        _op: ids::Op,
        _reply: &order::Reply,
        _out: &mut Vec<Output>,
    ) {
    }

    /// Takes in an answer of the table service.
    pub fn table(
        &mut self,
        _now: ids::Time,
        _op: ids::Op,
        result: platform::Result<table::Answer>,
        _out: &mut Vec<Output>,
    ) {
        drop(result);
    }

    /// Lets time pass.
    pub const fn tick(&mut self, _now: ids::Time, _out: &mut Vec<Output>) {}

    /// The ledger as text.
    #[must_use]
    pub fn dump(&self) -> String {
        format!("{} runners at {}", self.ready.len(), self.config.me)
    }
}
