//! The node: its tables and the step function that updates them.

use std::{collections, sync, time};

use bundle::format;
use rand::SeedableRng as _;

use crate::{
    Config, Input, Output, calls, count, event, index, operator,
    system::{self, operate, report, stop},
};

/// Namespace of the node's own operation ids, in their highest byte.
///
/// Answers of the table service are routed by this byte.
const OP_NAMESPACE: u64 = 4 << 56;

/// Interval between runs of the systems that scan whole tables.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The decision core of a VM.
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) rng: rand::rngs::SmallRng,
    pub(crate) calls: calls::Table,
    pub(crate) counters: count::Table,
    pub(crate) index: Option<sync::Arc<index::Index>>,
    pub(crate) head: member::Head,
    pub(crate) document: Option<sync::Arc<str>>,
    /// First version with a bundle that was put in force on this VM.
    pub(crate) first_bundle_version: Option<ids::Version>,
    pub(crate) fetch: system::fetch::Fetch,
    pub(crate) pending_changes: collections::BTreeMap<ids::Op, operate::Pending>,
    /// Operator requests that wait for a row or an object, by the id of the read.
    pub(crate) pending_reads: collections::BTreeMap<ids::Op, ids::Op>,
    pub(crate) schedule: report::Schedule,
    pub(crate) stage: stop::Stage,
    pub(crate) view: member::View,
    pub(crate) quota: quota::Table,
    pub(crate) journal: journal::Journal,
    pub(crate) queue: route::queue::Queue,
    pub(crate) targets: route::target::Table,
    pub(crate) retries: route::retry::Budget,
    pub(crate) planner: plan::Planner,
    pub(crate) next_plan_at: ids::Time,
    pub(crate) next_offers_at: ids::Time,
    announced_ready: Option<bool>,
    last_op: u64,
    next_tick_at: ids::Time,
}

impl Node {
    /// Creates a node with empty tables, which has not read the head yet.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            rng: rand::rngs::SmallRng::seed_from_u64(config.seed),
            calls: calls::Table::default(),
            counters: count::Table::default(),
            index: None,
            head: member::Head::default(),
            document: None,
            first_bundle_version: None,
            fetch: system::fetch::Fetch::default(),
            pending_changes: collections::BTreeMap::new(),
            pending_reads: collections::BTreeMap::new(),
            schedule: report::Schedule::default(),
            stage: stop::Stage::Running,
            view: system::member::new_view(&config),
            quota: system::quota::new_table(&config),
            journal: system::claim::new_journal(&config),
            queue: system::dispatch::new_queue(&config),
            targets: system::dispatch::new_targets(&config),
            retries: system::dispatch::new_retry_budget(&config),
            planner: system::plan::new_planner(&config),
            next_plan_at: ids::Time::default(),
            next_offers_at: ids::Time::default(),
            announced_ready: None,
            last_op: OP_NAMESPACE,
            next_tick_at: ids::Time::default(),
            config,
        }
    }

    /// Processes the inputs received up to `now` and appends effects to `out`.
    ///
    /// Each operation in the outputs is answered by at most one later input. If
    /// the answer is lost, the system that issued it times out and retries or
    /// gives up.
    pub fn step(
        &mut self,
        now: ids::Time,
        inputs: impl IntoIterator<Item = Input>,
        out: &mut Vec<Output>,
    ) {
        for input in inputs {
            self.handle_input(now, input, out);
        }
        if self.next_tick_at <= now {
            self.next_tick_at = now + TICK_INTERVAL;
            self.tick(now, out);
        }
        system::dispatch::dispatch(self, now, out);
        system::claim::flush(self, now, out);
        self.report_readiness(now, out);
    }

    /// Returns metric names and values of the counters.
    pub fn counters(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.counters.iter()
    }

    fn handle_input(&mut self, now: ids::Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Arrival(arrival) => system::admission::handle_arrival(self, now, arrival, out),
            Input::Gone { call } => system::admission::handle_disconnect(self, now, call, out),
            Input::Attempt { attempt, event } => {
                system::attempt::handle_event(self, now, attempt, event, out);
            }
            Input::Report { target, report } => {
                system::report::handle_report(self, now, &target, report.as_ref());
            }
            Input::Order { op, reply } => system::plan::handle_order_reply(self, now, op, reply),
            Input::Table { op, result } => self.handle_table_answer(now, op, result, out),
            Input::Object { op, result } => {
                if !system::fetch::handle_object_answer(self, now, op, &result, out) {
                    system::operate::handle_object_answer(self, now, op, result, out);
                }
            }
            Input::Vms { op, result } => system::report::handle_vms(self, now, op, result, out),
            Input::Peer { from, incarnation, message } => {
                system::member::handle_message(self, now, &from, incarnation, message, out);
            }
            Input::Operator { op, request } => {
                system::operate::handle_request(self, now, op, request, out);
            }
            Input::Stop => system::stop::begin(self, now, out),
        }
    }

    fn tick(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        system::member::tick(self, now, out);
        system::fetch::tick(self, now, out);
        system::quota::tick(self, now, out);
        system::claim::tick(self, now, out);
        system::report::tick(self, now, out);
        system::plan::tick(self, now, out);
        system::attempt::requeue_due(self, now, out);
        system::dispatch::expire(self, now, out);
        system::finish::expire_detached(self, now, out);
        system::stop::tick(self, now, out);
    }

    fn handle_table_answer(
        &mut self,
        now: ids::Time,
        op: ids::Op,
        result: store::Result<store::table::Answer>,
        out: &mut Vec<Output>,
    ) {
        match op.get() >> 56 {
            1 => system::member::handle_table_answer(self, now, op, result, out),
            2 => system::claim::handle_table_answer(self, now, op, result, out),
            3 => system::plan::handle_table_answer(self, now, op, result, out),
            4 => system::operate::handle_table_answer(self, op, result, out),
            _ => {}
        }
    }

    /// Emits an output when readiness has changed.
    fn report_readiness(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        let state = self.readiness(now);
        let ready = state.is_ok();
        if self.announced_ready == Some(ready) {
            return;
        }
        self.announced_ready = Some(ready);
        let reason = state.err().unwrap_or_default();
        let text = if ready { "ready" } else { reason.as_str() };
        out.push(Output::Log(event::Event::new("ready", &self.config.vm, text)));
        out.push(Output::Ready { ready, reason });
    }

    /// Returns why the balancer should not send calls, if there is a reason.
    ///
    /// A VM that has just started holds no share of any account's rate. It
    /// would refuse every call, so it is not ready before the shares are settled.
    fn readiness(&self, now: ids::Time) -> Result<(), String> {
        if self.stage != stop::Stage::Running {
            return Err("stopping".to_owned());
        }
        self.check_serving(now)?;
        let Some(since) = self.first_bundle_version else {
            return Err("no bundle is in force yet".to_owned());
        };
        if self.quota.effective_version() < since {
            return Err("the shares of rates are not settled yet".to_owned());
        }
        Ok(())
    }

    /// Returns why calls may not be served at `now`, if there is a reason.
    pub(crate) fn check_serving(&self, now: ids::Time) -> Result<(), String> {
        self.view.serves(now).map_err(|reason| reason.to_string())
    }

    /// Whether new calls are refused because of a planned stop.
    pub(crate) fn refuses_new_calls(&self, now: ids::Time) -> bool {
        match self.stage {
            stop::Stage::Running => false,
            stop::Stage::Draining { since } => now.since(since) > self.config.balancer_wait,
            stop::Stage::Leaving | stop::Stage::Stopped => true,
        }
    }

    /// Returns the account of a presented key, or none if the key is unknown or withdrawn.
    pub(crate) fn authenticate(&self, key: &bundle::key::Presented) -> Option<&format::Account> {
        if self.view.is_withdrawn(&key.id) {
            return None;
        }
        self.index.as_ref()?.authenticate(key)
    }

    /// Version of the head in force on this VM; 0 before the first.
    pub(crate) const fn version(&self) -> ids::Version {
        self.head.version
    }

    /// Returns the name of a new stream, unique over all VMs and their restarts.
    pub(crate) fn new_stream_name(&self, call: ids::Call) -> sync::Arc<str> {
        format!("{}.{}.{call}", self.config.vm, self.config.incarnation).into()
    }

    pub(crate) const fn next_op(&mut self) -> ids::Op {
        self.last_op += 1;
        ids::Op::new(self.last_op)
    }

    pub(crate) fn status(&self, now: ids::Time) -> operator::Status {
        let state = self.readiness(now);
        let unreachable = system::plan::unreachable(self, now);
        let mut alarms = Vec::new();
        if let Err(reason) = &state {
            alarms.push(format!("this VM does not serve: {reason}"));
        }
        for item in &unreachable {
            alarms.push(format!("no ready copy of {item}: look at the runners' ledger in /state"));
        }
        operator::Status {
            vm: self.config.vm.to_string(),
            ready: state.is_ok(),
            reason: state.err().unwrap_or_default(),
            version: self.version(),
            bundle: self.head.bundle,
            members: self.head.members.iter().map(|member| member.vm.clone()).collect(),
            open_calls: self.calls.open_count(),
            queued_calls: self.queue.len(),
            unreachable,
            drains: system::progress::drains(self),
            rollouts: system::progress::rollouts(self, now),
            alarms,
        }
    }

    /// Returns all tables as JSON, without secrets.
    pub(crate) fn dump(&self, now: ids::Time) -> serde_json::Value {
        serde_json::json!({
            "vm": self.config.vm,
            "incarnation": self.config.incarnation,
            "centre": self.config.centre,
            "now_ms": now.as_millis(),
            "stage": self.stage,
            "version": self.version(),
            "head": self.view.head(),
            "member": self.view.dump(now),
            "calls": self.calls,
            "queue": self.queue.len(),
            "targets": system::dispatch::dump(self),
            "ledger": system::plan::dump(self),
            "quota": self.quota.dump(now),
            "counters": self.counters,
        })
    }
}
