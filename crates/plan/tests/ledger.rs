//! Single decisions about ledger rows, step by step.

use std::{collections, sync, time};

use engine::{order, report};
use plan::ledger::{Ledger, Pending, Resident, Sender, State};
use store::table;

/// One planner and a table service that answers when the test asks it to.
struct Harness {
    planner: plan::Planner,
    now: ids::Time,
    rows: collections::BTreeMap<sync::Arc<str>, (ids::Version, sync::Arc<str>)>,
    requests: Vec<(ids::Op, table::Request)>,
    orders: Vec<(ids::Op, ids::Target, engine::Order)>,
}

const ORDER_DELAY_MS: u64 = 10_000;

fn sender(vm: &str) -> Sender {
    Sender { vm: vm.into(), incarnation: ids::Incarnation::new(1) }
}

fn target(number: usize) -> ids::Target {
    format!("r{number}").into()
}

fn bundle(models: &str, fencing: bool) -> bundle::Bundle {
    bundle::read(&format!(
        "
format: 1
deployment: demo
centres: [north]
accounts: []
weights: {{loads_per_second: 1000, loads_at_once: 100}}
models: [{models}]
runners:
  - {{name: r0, centre: north, address: '127.0.0.1:1', accelerators: 1, memory_mib: 1000, fencing: {fencing}}}
  - {{name: r1, centre: north, address: '127.0.0.1:2', accelerators: 1, memory_mib: 1000, fencing: {fencing}}}
"
    ))
    .unwrap()
}

const ONE_MODEL: &str = "{name: m, version: v1, memory_mib: 600, kv_floor_mib: 100}";
const TWO_MODELS: &str = "{name: m, version: v1, memory_mib: 600, kv_floor_mib: 100}, \
                   {name: n, version: v1, memory_mib: 600, kv_floor_mib: 100}";

impl Harness {
    fn new(vm: &str, bundle: &bundle::Bundle) -> Self {
        let config =
            plan::Config { order_delay_ms: ORDER_DELAY_MS, ..plan::Config::new(sender(vm)) };
        let now = ids::Time::from_millis(100_000);
        let mut planner = plan::Planner::new(config);
        planner.apply_bundle(now, bundle, &[sender(vm)], &collections::BTreeSet::new());
        Self {
            planner,
            now,
            rows: collections::BTreeMap::new(),
            requests: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn put(&mut self, target: &ids::Target, residents: Vec<Resident>) {
        let text = Ledger { residents }.to_json();
        self.rows.insert(Ledger::key(target), (ids::Version::new(5), text));
    }

    fn take(&mut self, out: Vec<plan::Output>) {
        for output in out {
            match output {
                plan::Output::Table { op, request } => self.requests.push((op, request)),
                plan::Output::Order { op, target, order } => self.orders.push((op, target, order)),
                plan::Output::Log { .. } => {}
            }
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + time::Duration::from_millis(millis);
    }

    fn tick(&mut self) {
        self.wait(1_000);
        let mut out = Vec::new();
        self.planner.tick(self.now, &mut out);
        self.take(out);
    }

    /// Ticks and answers all requests immediately.
    fn tick_and_answer(&mut self) {
        self.tick();
        self.answer();
    }

    fn answer(&mut self) {
        for (op, request) in std::mem::take(&mut self.requests) {
            let answer = self.serve(&request);
            let mut out = Vec::new();
            self.planner.handle_answer(self.now, op, Ok(answer), &mut out);
            self.take(out);
        }
    }

    fn serve(&mut self, request: &table::Request) -> table::Answer {
        let row =
            |key: &sync::Arc<str>, (version, value): &(ids::Version, sync::Arc<str>)| table::Row {
                key: sync::Arc::clone(key),
                version: *version,
                value: sync::Arc::clone(value),
            };
        match request {
            table::Request::Get { key } => {
                table::Answer::Row(self.rows.get(key).map(|found| row(key, found)))
            }
            table::Request::Scan { .. } => {
                table::Answer::Rows(self.rows.iter().map(|(key, found)| row(key, found)).collect())
            }
            table::Request::Write { writes } => {
                let stale = writes.iter().any(|write| {
                    self.rows.get(&write.key).map(|(version, _)| *version) != write.expect
                });
                if stale {
                    return table::Answer::Conflict { rows: Vec::new() };
                }
                for write in writes {
                    let next = write.expect.unwrap_or_default().next();
                    let value = write.value.clone().unwrap();
                    self.rows.insert(sync::Arc::clone(&write.key), (next, value));
                }
                table::Answer::Written
            }
        }
    }

    /// Delivers a report that was requested just now.
    fn report(&mut self, target: &ids::Target, fence: u64, residents: &[(&str, report::State)]) {
        self.wait(1);
        self.report_requested_at(self.now, target, fence, residents);
    }

    fn report_requested_at(
        &mut self,
        sent: ids::Time,
        target: &ids::Target,
        fence: u64,
        residents: &[(&str, report::State)],
    ) {
        let shown = residents.iter().map(|(item, state)| report::Resident {
            item: (*item).into(),
            version: "v1".into(),
            state: *state,
            memory_mib: 700,
        });
        let report = engine::Report {
            fence: ids::Fence::new(fence),
            residents: shown.collect(),
            ..engine::Report::default()
        };
        self.planner.record_report(self.now, target, sent, &report);
    }

    fn state(&self, target: &ids::Target, item: &str) -> Option<State> {
        let (_, text) = self.rows.get(&Ledger::key(target))?;
        Ledger::from_json(text).unwrap().get(item, "v1").map(|each| each.state)
    }
}

fn pending(vm: &str, fence: u64) -> Pending {
    Pending { sender: sender(vm), fence: ids::Fence::new(fence) }
}

fn ready(item: &str) -> Resident {
    Resident::new(item, "v1", State::Ready, 700)
}

fn in_state(item: &str, state: State, order: Pending) -> Resident {
    Resident { order: Some(order), ..Resident::new(item, "v1", state, 700) }
}

/// A harness in which a load of `m` on r0 has been ordered and r1 does not report.
fn with_ordered_load(fencing: bool) -> (Harness, ids::Op) {
    let mut harness = Harness::new("vm-1", &bundle(ONE_MODEL, fencing));
    harness.put(&target(0), Vec::new());
    harness.tick_and_answer();
    harness.report(&target(0), 0, &[]);
    harness.wait(3_000);
    harness.report(&target(0), 0, &[]);
    harness.tick_and_answer();
    assert_eq!(harness.state(&target(0), "m"), Some(State::Reserved));
    let (op, to, order) = harness.orders.pop().expect("an order");
    assert_eq!((to, order.fence), (target(0), ids::Fence::new(6)));
    (harness, op)
}

#[test]
fn no_order_is_sent_before_memory_is_reserved() {
    let mut harness = Harness::new("vm-1", &bundle(ONE_MODEL, true));
    harness.put(&target(0), Vec::new());
    harness.tick_and_answer();
    harness.wait(3_000);
    harness.report(&target(0), 0, &[]);
    harness.tick();
    let is_write =
        |(_, request): &(ids::Op, table::Request)| matches!(request, table::Request::Write { .. });
    assert!(harness.requests.iter().any(is_write));
    assert!(harness.orders.is_empty(), "the write has not been answered yet");
    harness.answer();
    assert_eq!(harness.orders.len(), 1);
}

#[test]
fn a_reservation_that_lost_a_write_conflict_sends_no_order() {
    let mut harness = Harness::new("vm-1", &bundle(ONE_MODEL, true));
    harness.put(&target(0), Vec::new());
    harness.tick_and_answer();
    harness.wait(3_000);
    harness.report(&target(0), 0, &[]);
    harness.tick();
    let other = Ledger { residents: vec![in_state("other", State::Reserved, pending("vm-2", 6))] };
    harness.rows.insert(Ledger::key(&target(0)), (ids::Version::new(6), other.to_json()));
    harness.answer();
    assert!(harness.orders.is_empty());
    harness.tick_and_answer();
    assert!(harness.orders.is_empty(), "another VM has reserved 700 of 1000 MiB");
}

#[test]
fn an_order_is_not_sent_after_a_long_pause_of_the_process() {
    let mut harness = Harness::new("vm-1", &bundle(ONE_MODEL, false));
    harness.put(&target(0), Vec::new());
    harness.tick_and_answer();
    harness.wait(3_000);
    harness.report(&target(0), 0, &[]);
    harness.tick();
    harness.wait(60_000);
    let freed = Ledger::default().to_json();
    harness.answer();
    assert!(harness.orders.is_empty(), "the row may have changed in a minute");
    harness.rows.insert(Ledger::key(&target(0)), (ids::Version::new(7), freed));
    harness.tick_and_answer();
    assert!(harness.orders.is_empty(), "the row has changed");
}

#[test]
fn an_order_with_unknown_outcome_keeps_its_memory_reserved_until_it_expires() {
    let (mut harness, op) = with_ordered_load(false);
    harness.planner.record_reply(harness.now, op, order::Reply::Unknown);
    for _ in 0..9 {
        harness.report(&target(0), 0, &[]);
        harness.tick_and_answer();
        assert_eq!(harness.state(&target(0), "m"), Some(State::Reserved), "{}", harness.now);
        assert!(harness.orders.is_empty(), "the order is not sent again");
    }
    harness.wait(2_000);
    harness.report(&target(0), 0, &[]);
    harness.tick_and_answer();
    harness.tick_and_answer();
    assert_eq!(harness.orders.len(), 1, "released, reserved again and ordered again");
}

#[test]
fn an_order_with_unknown_outcome_is_replaced_if_the_runner_checks_fencing_tokens() {
    let (mut harness, op) = with_ordered_load(true);
    harness.planner.record_reply(harness.now, op, order::Reply::Unknown);
    harness.wait(3_000);
    harness.report(&target(0), 0, &[]);
    harness.tick_and_answer();
    let (_, _, order) = harness.orders.pop().expect("another order");
    assert_eq!(order.action, order::Action::Load);
    assert_eq!(order.fence, ids::Fence::new(7));
    assert_eq!(harness.state(&target(0), "m"), Some(State::Reserved));
}

#[test]
fn a_refusal_of_the_newer_order_keeps_the_memory_that_the_older_one_may_use() {
    let (mut harness, op) = with_ordered_load(true);
    harness.planner.record_reply(harness.now, op, order::Reply::Unknown);
    harness.wait(3_000);
    harness.report(&target(0), 0, &[]);
    harness.tick_and_answer();
    let (op, ..) = harness.orders.pop().expect("another order");
    harness.planner.record_reply(harness.now, op, order::Reply::Refused);
    for _ in 0..5 {
        harness.report(&target(0), 0, &[]);
        harness.tick_and_answer();
        assert_eq!(harness.state(&target(0), "m"), Some(State::Reserved));
    }
}

#[test]
fn memory_is_released_only_after_the_runner_reports_the_newer_fencing_token() {
    let mut harness = Harness::new("vm-1", &bundle("", true));
    harness.put(&target(0), vec![ready("old")]);
    harness.tick_and_answer();
    harness.wait(3_000);
    harness.report(&target(0), 4, &[("old", report::State::Ready)]);
    harness.tick_and_answer();
    let (_, _, order) = harness.orders.pop().expect("an order to unload");
    assert_eq!(order.action, order::Action::Unload);
    for _ in 0..5 {
        harness.report(&target(0), order.fence.get() - 1, &[]);
        harness.tick_and_answer();
    }
    let state = harness.state(&target(0), "old");
    assert_eq!(state, Some(State::Unloading), "an order to load may still arrive");
    harness.report(&target(0), order.fence.get(), &[]);
    harness.tick_and_answer();
    harness.tick_and_answer();
    assert_eq!(harness.state(&target(0), "old"), None);
}

#[test]
fn a_refused_order_releases_its_reservation() {
    let (mut harness, op) = with_ordered_load(true);
    harness.planner.record_reply(harness.now, op, order::Reply::Refused);
    harness.tick_and_answer();
    assert_eq!(harness.state(&target(0), "m"), None);
}

#[test]
fn a_report_older_than_the_row_removes_nothing() {
    let mut harness = Harness::new("vm-2", &bundle(ONE_MODEL, true));
    harness.put(&target(0), vec![ready("m")]);
    let before = harness.now;
    harness.tick_and_answer();
    harness.report_requested_at(before, &target(0), 4, &[]);
    harness.tick_and_answer();
    assert_eq!(harness.state(&target(0), "m"), Some(State::Ready));
    harness.report(&target(0), 4, &[]);
    harness.tick();
    let is_write =
        |(_, request): &(ids::Op, table::Request)| matches!(request, table::Request::Write { .. });
    assert!(harness.requests.iter().any(is_write), "a later report removes the resident");
}

#[test]
fn memory_of_another_sender_stays_reserved_while_it_may_send() {
    for (members, free) in
        [(vec![sender("vm-1"), sender("vm-2")], false), (vec![sender("vm-1")], true)]
    {
        let declared = bundle(ONE_MODEL, false);
        let mut harness = Harness::new("vm-1", &declared);
        harness.put(&target(0), vec![in_state("x", State::Reserved, pending("vm-2", 5))]);
        let drained = collections::BTreeSet::new();
        harness.planner.apply_bundle(harness.now, &declared, &members, &drained);
        if !harness.planner.is_leader() {
            continue;
        }
        for _ in 0..9 {
            harness.tick_and_answer();
            harness.report(&target(0), 0, &[]);
        }
        assert_eq!(harness.state(&target(0), "x"), Some(State::Reserved));
        for _ in 0..9 {
            harness.tick_and_answer();
            harness.report(&target(0), 0, &[]);
        }
        assert_eq!(harness.state(&target(0), "x").is_none(), free, "{members:?}");
    }
}

/// Two copies of `m` fill both runners, and `n` needs the memory of one of them.
fn with_full_runners() -> Harness {
    let mut harness = Harness::new("vm-1", &bundle(TWO_MODELS, true));
    harness.put(&target(0), vec![ready("m")]);
    harness.put(&target(1), vec![ready("m")]);
    harness.tick_and_answer();
    for number in 0..2 {
        harness.report(&target(number), 4, &[("m", report::State::Ready)]);
    }
    harness.tick();
    harness
}

#[test]
fn a_row_that_loses_a_copy_is_written_together_with_one_that_keeps_it() {
    let mut harness = with_full_runners();
    let (_, request) = harness.requests.last().expect("a write");
    let table::Request::Write { writes } = request else {
        panic!("{request:?}");
    };
    assert_eq!(writes.len(), 2, "{writes:?}");
    let unloading = Ledger { residents: vec![in_state("m", State::Unloading, pending("vm-2", 6))] };
    let keeper = writes.iter().find(|write| !write.value.as_ref().unwrap().contains("unloading"));
    let keeper = sync::Arc::clone(&keeper.unwrap().key);
    harness.rows.insert(keeper, (ids::Version::new(6), unloading.to_json()));
    harness.answer();
    assert!(harness.orders.is_empty(), "another planner unloads the other copy");
}

#[test]
fn a_copy_that_a_write_in_flight_may_unload_is_not_offered() {
    let harness = with_full_runners();
    assert_eq!(harness.planner.ready_targets(harness.now, "m").len(), 1);
}
