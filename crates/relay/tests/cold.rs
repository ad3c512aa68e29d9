//! Tests of cold targets: the bound over all VMs, and what callers get.

mod fleet;
mod world;

use std::{collections, time};

use fleet::Fleet;
use rand::{Rng as _, SeedableRng as _};
use relay::{
    Input, cold, config, era,
    input::{self, Event},
    peer, target,
};
use world::{World, configuration, desk, draft, envelope, runner};

/// Requests per second that a cold target tolerates in the deployment in question.
const RATE: f64 = 8.0;
/// Most requests in any second there: 8 x 1.5 + 5.
const LIMIT: usize = 17;
const TOLERANCE: cold::Tolerance = cold::Tolerance { overage: 1.5, slack: 5.0 };
/// How long a target is cold after its start.
const START: time::Duration = time::Duration::from_secs(6);
const LIMITED: config::Cold = config::Cold { per_second: RATE, start: START };
const SECOND: time::Duration = time::Duration::from_secs(1);
/// Time after which a VM with an unchanged membership may use its share.
const SETTLED_MS: u64 = 2_200;

/// The configuration of the tests, with a limit for the cold targets of both services.
fn limited(version: u64) -> config::Config {
    let mut config = configuration(version);
    config.services.values_mut().for_each(|service| service.cold = Some(LIMITED));
    config
}

/// Largest number of times within one second.
fn peak(times: &[ids::Time]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let within = |first: usize| {
        times[first..].iter().take_while(|at| at.since(times[first]) < SECOND).count()
    };
    (0..times.len()).map(within).max().unwrap_or_default()
}

fn vm(number: usize) -> ids::Vm {
    format!("vm-{number}").as_str().into()
}

fn membership(version: u64, vms: impl IntoIterator<Item = usize>) -> peer::Members {
    let member = |number| relay::Settings::new(vm(number).as_str(), "north", 1).member();
    let members = vms.into_iter().map(member).collect();
    peer::Members { revision: version.into(), members }
}

/// VMs that all want one cold target: each sends whenever it may. What each sends is written
/// up to [`cold::SEND_TIME`] later.
struct Crowd {
    now: ids::Time,
    rng: rand::rngs::SmallRng,
    tables: Vec<cold::Table>,
    memberships: Vec<peer::Members>,
    target: ids::Target,
    /// Number of requests that each VM has sent.
    sent: Vec<usize>,
    /// Whether delays are random rather than the worst for the limit.
    is_random: bool,
    written: Vec<ids::Time>,
}

impl Crowd {
    fn new(memberships: Vec<peer::Members>, target: &str) -> Self {
        Self {
            now: ids::Time::from_millis(10_000),
            rng: rand::rngs::SmallRng::seed_from_u64(7),
            tables: memberships.iter().map(|_| cold::Table::default()).collect(),
            sent: vec![0; memberships.len()],
            is_random: false,
            memberships,
            target: target.into(),
            written: Vec::new(),
        }
    }

    fn run(&mut self, millis: u64) {
        let share = cold::Share::new(&LIMITED, TOLERANCE);
        for _ in 0..millis / 10 {
            self.now = self.now + time::Duration::from_millis(10);
            for (index, table) in self.tables.iter_mut().enumerate() {
                let cold = [(&self.target, share)].into_iter();
                let members = Some(&self.memberships[index]);
                table.update(self.now, &vm(index), ids::Version::new(1), members, cold);
                while table.room(self.now, &self.target, share) > 0 {
                    table.record_sent(self.now, &self.target);
                    let batch = self.sent[index] / share.requests;
                    self.sent[index] += 1;
                    // A batch that is written late and the next that is written at once are
                    // closest to one another.
                    let is_late = batch.is_multiple_of(2);
                    let worst = if is_late { 1.0 } else { 0.0 };
                    let part = if self.is_random { self.rng.random() } else { worst };
                    self.written.push(self.now + cold::SEND_TIME.mul_f64(part));
                }
            }
        }
    }
}

/// Guards against shares that add up to more than the target tolerates, and against a target
/// that gets nothing.
#[test]
fn all_vms_that_want_one_target_stay_within_its_limit() {
    for size in [5, 30, 118, 330] {
        for target in ["i-1", "i-2", "i-3"] {
            let mut crowd = Crowd::new(vec![membership(1, 0..size); size], target);
            crowd.is_random = target == "i-3";
            crowd.run(12_000);
            let peak = peak(&crowd.written);
            assert!(peak <= LIMIT, "{size} VMs: {peak} in a second");
            let per_second = crowd.written.len() as f64 / 10.0;
            assert!(per_second >= 0.75 * RATE, "{size} VMs: {per_second} a second");
        }
    }
}

/// Guards against owners under two memberships that exceed the limit together: one VM added or
/// removed, and, with a VM of any name missing, any mix of such lists. Each VM knows the list
/// under which it is an owner, if there is one.
#[test]
fn vms_that_know_different_memberships_stay_within_the_limit() {
    for size in [5, 30, 118, 330] {
        for target in ["i-1", "i-2", "i-3"] {
            let without = |missing: usize| {
                membership(2 + missing as u64, (0..size).filter(move |number| *number != missing))
            };
            let lists: Vec<_> =
                std::iter::once(membership(1, 0..size)).chain((0..size).map(without)).collect();
            let share = cold::Share::new(&LIMITED, TOLERANCE);
            let name = ids::Target::from(target);
            let owners_of = |list: &peer::Members| -> collections::BTreeSet<ids::Vm> {
                let vms = list.members.iter().map(|member| &member.vm);
                cold::owners(&name, vms, share.owners).into_iter().cloned().collect()
            };
            let owners: Vec<_> = lists.iter().map(owners_of).collect();
            let known = |number: usize| {
                let list = owners.iter().position(|owners| owners.contains(&vm(number)));
                lists[list.unwrap_or_default()].clone()
            };
            let mut crowd = Crowd::new((0..size).map(known).collect(), target);
            crowd.run(8_000);
            let peak = peak(&crowd.written);
            assert!(peak <= LIMIT, "{size} VMs: {peak} in a second");
        }
    }
}

/// Guards against owners of a new membership that begin before the former ones have stopped:
/// all owners are replaced at once, and the others hear of it up to 1.5 s later.
#[test]
fn a_membership_that_changes_by_several_vms_is_taken_over_within_the_limit() {
    let size = 30;
    let mut crowd = Crowd::new(vec![membership(1, 0..size); size], "i-1");
    crowd.run(4_000);
    let share = cold::Share::new(&LIMITED, TOLERANCE);
    let names: Vec<_> = (0..size).map(vm).collect();
    let owners = cold::owners(&"i-1".into(), &names, share.owners);
    let removed: Vec<_> = (0..size).filter(|number| owners.contains(&&names[*number])).collect();
    let after = membership(2, (0..size).filter(|number| !removed.contains(number)));
    // The former owners hear of it last.
    let (last, first): (Vec<_>, Vec<_>) = (0..size).partition(|number| removed.contains(number));
    for index in first.into_iter().chain(last) {
        crowd.memberships[index] = after.clone();
        crowd.run(50);
    }
    crowd.run(4_000);
    let peak = peak(&crowd.written);
    assert!(peak <= LIMIT, "{peak} in a second");
    let late = crowd.written.iter().filter(|at| crowd.now.since(**at) < SECOND * 2).count();
    assert!(late >= 10, "the new owners send {late} in two seconds");
}

/// Guards against a process that sends at once what the one before it has sent already.
#[test]
fn vms_that_restart_stay_within_the_limit() {
    for size in [5, 30] {
        let mut crowd = Crowd::new(vec![membership(1, 0..size); size], "i-1");
        crowd.is_random = true;
        for round in 0..200 {
            crowd.run(130);
            let restarted = crowd.rng.random_range(0..size);
            crowd.tables[restarted] = cold::Table::default();
            if round % 20 == 0 {
                crowd.tables.iter_mut().for_each(|table| *table = cold::Table::default());
            }
        }
        let peak = peak(&crowd.written);
        assert!(peak <= LIMIT, "{size} VMs: {peak} in a second");
    }
}

/// Guards against a share that ignores the settings, or that rounds up.
#[test]
fn shares_leave_room_for_one_owner_more() {
    let share = |per_second, overage, slack| {
        let limit = config::Cold { per_second, start: START };
        cold::Share::new(&limit, cold::Tolerance { overage, slack })
    };
    assert_eq!(share(8.0, 1.5, 5.0), cold::Share { owners: 5, requests: 2 });
    assert_eq!(share(2.0, 1.0, 0.0), cold::Share { owners: 1, requests: 1 });
    assert_eq!(share(1.0, 1.0, 0.0), cold::Share { owners: 1, requests: 0 });
    for limit in 0..200_u16 {
        let share = share(f64::from(limit), 1.0, 0.0);
        assert!(share.requests * (share.owners + 1) <= usize::from(limit), "{limit}: {share:?}");
    }
}

/// A fleet with some runners that all hold the model `alpha`, as it has settled.
fn started(size: usize, runners: usize) -> Fleet {
    let entry = |index| target::Entry {
        slots: 64,
        cold_left_ms: Some(0),
        ..runner(&format!("i-{index:02}"), &["alpha"])
    };
    let mut config = limited(1);
    for service in config.services.values_mut() {
        if let Some(engine) = &mut service.engine {
            engine.kv_tokens = 100_000;
        }
    }
    let mut fleet = Fleet::new(size, 6, config, (0..runners).map(entry).collect());
    fleet.keeps_calls = true;
    fleet.run(5_000, |_| {});
    fleet
}

/// Lets calls arrive at VMs in turn, `per_step` at each step, ends those that are sent, and
/// returns when each target was sent one.
fn play(
    fleet: &mut Fleet,
    millis: u64,
    per_step: usize,
) -> collections::BTreeMap<ids::Target, Vec<ids::Time>> {
    let mut sent = collections::BTreeMap::<_, Vec<_>>::new();
    let mut next = 0;
    fleet.run(millis, |fleet| {
        for (index, begin) in std::mem::take(&mut fleet.begun) {
            sent.entry(begin.target).or_default().push(fleet.now);
            fleet.input(index, Input::Closed { call: begin.call });
        }
        for _ in 0..per_step {
            // A stride that is coprime to the sizes mixes the data centres.
            next += 7;
            fleet.arrive(next % fleet.vms.len(), draft("draft", "alpha", 100));
        }
    });
    sent
}

/// Guards against whole VMs that send more than the owners' shares, through any path.
#[test]
fn whole_fleets_stay_within_the_limit_of_one_target() {
    for (size, per_step) in [(5, 5), (30, 15), (118, 59), (330, 110)] {
        let mut fleet = started(size, 1);
        let cold = target::Entry {
            slots: 64,
            born: 2,
            cold_left_ms: Some(60_000),
            ..runner("i-00", &["alpha"])
        };
        fleet.change(cold);
        fleet.run(1_000, |_| {});
        let sent = play(&mut fleet, 3_000, per_step);
        let times = sent.get("i-00").cloned().unwrap_or_default();
        assert!(peak(&times) <= LIMIT, "{size} VMs: {} in a second", peak(&times));
        assert!(times.len() >= 15, "{size} VMs: {} calls in 3 s", times.len());
        assert!(
            fleet.refused.keys().all(|reason| *reason == "targets cold" || *reason == "overloaded"),
            "{:?}",
            fleet.refused
        );
    }
}

/// Guards against callers that wait in vain, or that come back before a target is warm: all
/// engines restart together, and refused callers return when they were told.
#[test]
fn refused_callers_are_served_when_they_return() {
    let (size, engines) = (30, 23);
    let mut fleet = started(size, engines);
    for index in 0..engines {
        // Their entries state no time: they count as cold from when they are known.
        fleet.change(target::Entry {
            slots: 64,
            born: 2,
            ..runner(&format!("i-{index:02}"), &["alpha"])
        });
    }
    fleet.run(500, |_| {});
    (fleet.admitted, fleet.refused) = (0, collections::BTreeMap::new());
    fleet.returns.clear();
    let restarted_at = fleet.now;
    let sent = play(&mut fleet, 1_000, 10);
    for (target, times) in &sent {
        assert!(peak(times) <= LIMIT, "{target}: {} in a second", peak(times));
    }
    let served = fleet.admitted;
    assert!(served >= 150, "{served} of 500 calls are sent while all targets are cold");
    let refused = std::mem::take(&mut fleet.returns);
    assert!(refused.len() >= 50, "{} of 500 calls are refused", refused.len());
    let waits: collections::BTreeSet<_> =
        refused.iter().map(|(_, wait)| wait.as_millis() / 100).collect();
    assert!(waits.len() >= 5, "return times are spread: {waits:?}");
    // They return after their time, to any VM.
    let latest = refused.iter().map(|(_, wait)| *wait).max().expect("a refusal");
    assert!(latest < START + time::Duration::from_millis(2_500), "{latest:?}");
    let earliest = refused.iter().map(|(_, wait)| *wait).min().expect("a refusal");
    let elapsed = fleet.now.since(restarted_at);
    assert!(earliest + elapsed + time::Duration::from_millis(600) >= START, "{earliest:?}");
    fleet.run(u64::try_from(earliest.as_millis()).expect("a short time"), |fleet| {
        for (index, begin) in std::mem::take(&mut fleet.begun) {
            fleet.input(index, Input::Closed { call: begin.call });
        }
    });
    (fleet.admitted, fleet.refused) = (0, collections::BTreeMap::new());
    play(&mut fleet, 2_000, refused.len().div_ceil(100));
    fleet.run(200, |_| {});
    assert_eq!(fleet.refused, collections::BTreeMap::new());
    assert!(fleet.admitted >= refused.len() as u64, "{} of {}", fleet.admitted, refused.len());
}

/// A VM that knows to be the only one for long enough, with a limit for cold targets.
fn world(targets: Vec<target::Entry>) -> World {
    let mut world = World::empty();
    world.configure(limited(1));
    world.targets(targets);
    world.wait(SETTLED_MS);
    world
}

fn cold_runner(name: &str, left_ms: u64) -> target::Entry {
    target::Entry { slots: 64, cold_left_ms: Some(left_ms), ..runner(name, &["alpha"]) }
}

/// Number of calls that are sent of those that arrive now.
fn sent_of(world: &mut World, calls: usize) -> usize {
    let arrive = |_| world.arrive(draft("draft", "alpha", 100)).1.begun.len();
    (0..calls).map(arrive).sum()
}

/// Guards against sends before this VM knows what an earlier process has sent, and before it
/// knows the membership.
#[test]
fn a_vm_that_starts_sends_nothing_to_cold_targets_at_first() {
    let mut world = World::unknown();
    world.configure(limited(1));
    world.targets(vec![cold_runner("r-1", 60_000)]);
    world.wait(3_000);
    assert_eq!(sent_of(&mut world, 3), 0, "without a membership");
    world.step([world::members(vec![World::member()])]);
    world.wait(1_900);
    assert_eq!(sent_of(&mut world, 3), 0, "the membership is new");
    world.wait(400);
    assert_eq!(sent_of(&mut world, 9), 2);
}

/// Guards against use of a cold target by a VM that owns no share of it.
#[test]
fn a_vm_outside_of_the_membership_owns_nothing() {
    let mut world = World::unknown();
    world.configure(limited(1));
    let other = relay::Settings::new("other", "north", 1).with_peer("127.0.0.1:9").member();
    world.step([world::members(vec![other])]);
    world.targets(vec![cold_runner("r-1", 60_000)]);
    world.wait(4_000);
    let (call, seen) = world.arrive(draft("draft", "alpha", 100));
    assert_eq!(seen.begun.len(), 0);
    let (refused, status, reason, wait) = seen.refused[0];
    assert_eq!((refused, status, reason), (call, 503, "targets cold"));
    let wait = wait.expect("a time to return");
    let left = time::Duration::from_secs(56);
    assert!(wait >= left && wait <= left + SECOND * 2, "{wait:?}");
}

/// Guards against refusals of calls that can wait: the target is warm in time.
#[test]
fn a_call_waits_for_a_target_that_is_warm_in_time() {
    let mut world = World::unknown();
    world.configure(limited(1));
    let other = relay::Settings::new("other", "north", 1).with_peer("127.0.0.1:9").member();
    world.step([world::members(vec![other])]);
    world.targets(vec![cold_runner("r-1", 1_500)]);
    world.wait(700);
    let (call, seen) = world.arrive(draft("draft", "alpha", 100));
    assert_eq!((seen.begun.len(), seen.refused.len()), (0, 0));
    let seen = world.wait(1_000);
    assert_eq!(seen.begun.iter().map(|begin| begin.call).collect::<Vec<_>>(), [call]);
}

/// Guards against a cold target that takes calls which a warm one has room for.
#[test]
fn a_cold_target_is_used_only_if_no_warm_one_has_room() {
    let warm = target::Entry { slots: 3, cold_left_ms: Some(0), ..runner("r-1", &["alpha"]) };
    let mut world = world(vec![warm, cold_runner("r-2", 60_000)]);
    let begun: Vec<_> = (0..9)
        .flat_map(|_| world.arrive(draft("draft", "alpha", 100)).1.begun)
        .map(|begin| (begin.target.to_string(), begin.send_by.is_some()))
        .collect();
    let warm = || ("r-1".to_owned(), false);
    let cold = || ("r-2".to_owned(), true);
    assert_eq!(begun, [warm(), warm(), warm(), cold(), cold()]);
}

/// Guards against a belief that outlives newer information, in either direction, and against
/// slowness of a cold target that counts as ill health.
#[test]
fn a_target_that_becomes_cold_again_is_limited_from_then_on() {
    let mut world = world(vec![cold_runner("r-1", 0)]);
    assert_eq!(world.relay.cold_targets(), 0);
    let first = world.arrive(draft("draft", "alpha", 100)).1.begun[0].attempt;
    // A response tells first.
    let left = time::Duration::from_secs(30);
    world.event(first, Event::Cold { left });
    let seen = world.wait(40);
    assert!(
        seen.lines
            .iter()
            .any(|line| line.outcome == "cold" && line.inputs.contains("source Response")),
        "{:?}",
        seen.lines
    );
    assert_eq!(world.relay.cold_targets(), 1);
    assert_eq!(sent_of(&mut world, 5), 1, "what was sent before counts");
    // An entry that was written before does not revoke it; one that is written later does.
    world.changes(2, vec![world::change(2, cold_runner("r-1", 0))]);
    assert_eq!(sent_of(&mut world, 5), 0);
    world.wait(1_300);
    world.event(first, Event::First);
    world.changes(3, vec![world::change(3, cold_runner("r-1", 0))]);
    let seen = world.wait(40);
    assert!(seen.lines.iter().any(|line| line.outcome == "warm"), "{:?}", seen.lines);
    let (_, seen) = world.arrive(draft("draft", "alpha", 100));
    let sent = seen.lines.iter().find(|line| line.outcome == "sent").expect("it is sent");
    assert!(sent.inputs.contains("slowness 1.00 failed 0.00"), "{}", sent.inputs);
    let attempt = seen.begun[0].attempt;
    // And an entry tells that it is cold again, then a response that it is warm.
    world.changes(4, vec![world::change(4, cold_runner("r-1", 9_000))]);
    world.wait(1_300);
    assert_eq!(sent_of(&mut world, 5), 2);
    world.event(attempt, Event::Cold { left: time::Duration::ZERO });
    assert_eq!(sent_of(&mut world, 5), 5);
}

/// Guards against a data centre that gets all its calls at once when its drain ends: its
/// targets may have become cold meanwhile, and their last entries are from before.
#[test]
fn targets_count_as_cold_after_a_drain_until_a_newer_entry_says_otherwise() {
    let mut world = world(vec![cold_runner("r-1", 0)]);
    assert_eq!(world.relay.cold_targets(), 0);
    let drain = |version: u64, centres: &[&str]| Input::Evacuations {
        revision: version.into(),
        centres: centres.iter().map(|name| (*name).into()).collect(),
    };
    let centre = cold_runner("r-1", 0).centre;
    world.step([drain(5, &[centre.as_str()])]);
    world.wait(2_000);
    world.step([drain(7, &[])]);
    world.wait(40);
    assert_eq!(sent_of(&mut world, 9), 2);
    world.wait(1_300);
    world.changes(8, vec![world::change(8, cold_runner("r-1", 0))]);
    assert_eq!(sent_of(&mut world, 9), 9);
}

/// Guards against targets that count as warm because their first entry states no time, and
/// against targets of a VM that starts which count as cold without a reason.
#[test]
fn a_target_that_appears_while_calls_are_served_is_cold_from_then_on() {
    let silent = |name| target::Entry { slots: 64, ..runner(name, &["alpha"]) };
    let mut world = world(vec![silent("r-1")]);
    assert_eq!(world.relay.cold_targets(), 0, "it was listed at the start");
    world.changes(2, vec![world::change(2, silent("r-2"))]);
    let stated = cold_runner("r-3", 0);
    world.changes(3, vec![world::change(3, stated)]);
    world.wait(40);
    assert_eq!(world.relay.cold_targets(), 1);
    world.changes(4, vec![world::change(4, silent("r-2"))]);
    world.wait(5_800);
    assert_eq!(world.relay.cold_targets(), 1, "an entry without a time says nothing");
    world.wait(300);
    assert_eq!(world.relay.cold_targets(), 0);
    let restarted = target::Entry { born: 2, ..silent("r-1") };
    world.changes(5, vec![world::change(5, restarted)]);
    world.wait(40);
    assert_eq!(world.relay.cold_targets(), 1, "it is another process");
}

/// Guards against VMs that are told of a target later and believe that it has just started.
#[test]
fn copies_of_the_targets_carry_the_time_left() {
    let change = world::change(1, cold_runner("r-1", 5_000));
    let mut table = target::Table::default();
    let now = ids::Time::from_millis(1_000);
    table.apply(now, &era::Table::default(), &change);
    let left = |at: u64| {
        let row = table.get(&"r-1".into()).expect("it is known");
        row.change(ids::Time::from_millis(at)).entry.and_then(|entry| entry.cold_left_ms)
    };
    assert_eq!((left(1_000), left(4_000), left(9_000)), (Some(5_000), Some(2_000), Some(0)));
}

/// Guards against entries that are passed on at each write although nothing has changed, and
/// against changes that only the readers know.
#[test]
fn an_entry_is_news_if_the_time_left_is_not_as_expected() {
    let mut table = target::Table::default();
    let mut apply = |at: u64, left| {
        let change = world::change(at, cold_runner("r-1", left));
        table.apply(ids::Time::from_millis(at), &era::Table::default(), &change)
    };
    assert_eq!(apply(1_000, 9_000), target::Outcome::New { before: None });
    assert_eq!(apply(2_200, 7_900), target::Outcome::Unchanged);
    assert_eq!(apply(3_400, 4_000), target::Outcome::Changed);
    assert_eq!(apply(4_600, 2_800), target::Outcome::Unchanged);
    assert_eq!(apply(5_800, 0), target::Outcome::Changed);
    assert_eq!(apply(7_000, 0), target::Outcome::Unchanged);
    // A response has told this VM before its entry tells the others.
    let row = table.get_mut(&"r-1".into()).expect("it is known");
    row.cold.observe_response(ids::Time::from_millis(7_100), SECOND * 8);
    let change = world::change(8_200, cold_runner("r-1", 6_900));
    let outcome = table.apply(ids::Time::from_millis(8_200), &era::Table::default(), &change);
    assert_eq!(outcome, target::Outcome::Changed);
}

/// Guards against a drain whose end lets all calls onto targets that nobody has used.
#[test]
fn targets_of_a_drained_centre_are_cold_until_a_newer_entry() {
    let mut table = target::Table::default();
    let now = ids::Time::from_millis(1_000);
    let ended = ids::Revision::from(5);
    table.apply(now, &era::Table::default(), &world::change(4, cold_runner("r-1", 0)));
    table.apply(now, &era::Table::default(), &world::change(6, cold_runner("r-2", 0)));
    for row in table.iter_mut() {
        cold::assume_cold(row, now, START, ended);
    }
    let left = |table: &target::Table, name: &str| {
        table.get(&name.into()).expect("it is known").cold.left(now)
    };
    assert_eq!(left(&table, "r-1"), START);
    assert_eq!(left(&table, "r-2"), time::Duration::ZERO, "its entry is newer");
    let outcome =
        table.apply(now, &era::Table::default(), &world::change(7, cold_runner("r-1", 0)));
    assert_eq!(outcome, target::Outcome::Changed, "the other VMs are told");
    assert_eq!(left(&table, "r-1"), time::Duration::ZERO);
}

/// Guards against plain services without a limit, and against their learned answer time that
/// follows cold instances.
#[test]
fn plain_services_have_the_same_limit() {
    let cold = target::Entry { slots: 64, cold_left_ms: Some(60_000), ..desk("d-1") };
    let mut world = world(vec![cold]);
    let begun: Vec<_> =
        (0..9).flat_map(|_| world.arrive(envelope("book", Some("key-2"))).1.begun).collect();
    assert_eq!(begun.len(), 2);
    world.wait(1_200);
    for begin in &begun {
        let summary = input::Summary::default();
        world.event(begin.attempt, Event::Ended(summary));
    }
    let seen = world.wait(100);
    assert_eq!(seen.begun.len(), 2, "those that wait get the share of the next window");
    let sent = seen.lines.iter().find(|line| line.outcome == "sent").expect("it is sent");
    assert!(sent.inputs.contains("expected 40 ms"), "{}", sent.inputs);
}

/// Guards against a change of the deployments that state no rate: cold times have no effect.
#[test]
fn without_a_rate_nothing_is_limited() {
    let play = |is_cold: bool| {
        let left = is_cold.then_some(60_000);
        let entry = |name: &str| target::Entry { cold_left_ms: left, ..runner(name, &["alpha"]) };
        let mut world = World::new(vec![entry("r-1"), entry("r-2"), entry("r-3")]);
        let mut targets = Vec::new();
        for _ in 0..30 {
            let (call, seen) = world.arrive(draft("draft", "alpha", 100));
            for begin in seen.begun {
                if is_cold {
                    world.event(begin.attempt, Event::Cold { left: SECOND * 60 });
                }
                world.pass(30);
                world.event(begin.attempt, Event::First);
                targets.push(begin.target);
            }
            world.wait(40);
            world.step([Input::Closed { call }]);
        }
        assert_eq!(world.relay.cold_targets(), 0);
        targets
    };
    assert_eq!(play(true), play(false));
    assert_eq!(play(true).len(), 30);
}
