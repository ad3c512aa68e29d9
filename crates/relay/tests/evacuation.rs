//! Tests of drained data centres: what is no longer sent to their targets, and how the set of
//! them reaches all VMs.

mod fleet;
mod world;

use std::{collections, time};

use fleet::Fleet;
use relay::{
    Input, config,
    evacuation::Table,
    input::{self, Event},
    output::Verb,
    peer, target,
};
use world::{Seen, World, change, configuration, desk, draft, envelope, runner};

fn at(centre: &str, entry: target::Entry) -> target::Entry {
    target::Entry { centre: centre.into(), ..entry }
}

fn centres(names: &[&str]) -> collections::BTreeSet<ids::Centre> {
    names.iter().map(|name| ids::Centre::from(*name)).collect()
}

fn drain(world: &mut World, version: u64, names: &[&str]) -> Seen {
    let revision = version.into();
    world.step([Input::Evacuations { revision, centres: centres(names) }])
}

/// The lines about drains: data centre and outcome.
fn lines(seen: &Seen) -> Vec<(&str, &str)> {
    let own = seen.lines.iter().filter(|line| line.step == "evacuation");
    own.map(|line| (line.peer.as_str(), line.outcome)).collect()
}

fn two_desks() -> World {
    World::new(vec![at("north", desk("d-1")), at("south", desk("d-2"))])
}

fn broken(last_event: Option<u64>) -> Event {
    Event::Broken { reason: "reset".into(), last_event }
}

/// Guards against first attempts at drained targets, and against targets that stay out of
/// use after the drain.
#[test]
fn first_attempts_avoid_a_drained_data_centre_until_the_drain_ends() {
    let mut world = two_desks();
    world.pass(2_000);
    let seen = drain(&mut world, 2, &["south"]);
    assert_eq!(lines(&seen), [("south", "drained")]);
    assert_eq!(seen.withheld, Some(vec!["d-2".into()]));
    assert_eq!(world.relay.drained_centres(), 1);
    for _ in 0..8 {
        assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun[0].target, "d-1".into());
    }
    let seen = drain(&mut world, 3, &[]);
    assert_eq!(lines(&seen), [("south", "drain ended")]);
    assert_eq!(seen.withheld, Some(Vec::new()));
    let begun = (0..8).flat_map(|_| world.arrive(envelope("lookup", Some("key-2"))).1.begun);
    assert!(begun.into_iter().any(|begin| begin.target == "d-2".into()));
}

/// Guards against a new target of a drained data centre that gets calls.
#[test]
fn a_target_that_appears_during_the_drain_gets_nothing() {
    let mut world = two_desks();
    drain(&mut world, 2, &["south"]);
    let entry = at("south", desk("d-3"));
    let mut seen = world.changes(3, vec![change(3, entry)]);
    seen.extend(world.wait(40));
    assert_eq!(seen.withheld, Some(vec!["d-2".into(), "d-3".into()]));
    for _ in 0..6 {
        assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun[0].target, "d-1".into());
    }
}

/// Guards against retries at drained targets.
#[test]
fn retries_avoid_a_drained_data_centre() {
    let desks = ["d-1", "d-2", "d-3"].map(|name| at("south", desk(name)));
    let mut world = World::new([&desks[..], &[at("north", desk("d-4"))]].concat());
    let mut first = None;
    while first.is_none() {
        let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
        first = seen.begun.into_iter().find(|begin| begin.target != "d-4".into());
    }
    drain(&mut world, 2, &["south"]);
    let seen = world.event(first.expect("an attempt").attempt, Event::Failure { status: 500 });
    assert_eq!(seen.begun[0].target, "d-4".into());
}

/// Guards against streams that are resumed at drained targets, and against calls in flight
/// that are ended by the drain.
#[test]
fn an_open_stream_runs_on_and_is_resumed_elsewhere() {
    let names = [("r-1", "south"), ("r-2", "south"), ("r-3", "north")];
    let runners = names.map(|(name, centre)| at(centre, runner(name, &["alpha"])));
    let mut world = World::new(runners.to_vec());
    let mut streams = Vec::new();
    while streams.len() < 2 {
        let (_, seen) = world.arrive(draft("courtesy", "alpha", 100));
        let begun = seen.begun.into_iter().find(|begin| begin.target != "r-3".into());
        streams.extend(begun);
    }
    for begin in &streams {
        world.event(begin.attempt, Event::Began);
        world.event(begin.attempt, Event::First);
    }
    let seen = drain(&mut world, 2, &["south"]);
    assert!(seen.failed.is_empty() && seen.refused.is_empty());
    let seen = world.wait(1_000);
    assert!(seen.failed.is_empty() && seen.begun.is_empty(), "they run on");
    let seen = world.event(streams[0].attempt, Event::Ended(input::Summary::default()));
    assert!(seen.failed.is_empty());
    let seen = world.event(streams[1].attempt, broken(Some(5)));
    assert_eq!(seen.begun[0].target, "r-3".into());
    assert_eq!(seen.begun[0].resume_after, Some(5));
    assert!(seen.probes.is_empty(), "a drained target is not asked whether it crashed");
}

/// Guards against queued calls that are sent to a drained target once it has room.
#[test]
fn queued_calls_are_not_sent_to_a_drained_target_that_gets_room() {
    let mut world = World::new(vec![
        at("south", runner("r-1", &["alpha"])),
        at("north", runner("r-2", &["alpha"])),
    ]);
    let mut begun = Vec::new();
    for _ in 0..10 {
        begun.extend(world.arrive(draft("courtesy", "alpha", 10)).1.begun);
    }
    assert_eq!(begun.len(), 8, "four at each runner; two wait");
    drain(&mut world, 2, &["south"]);
    let (south, north): (Vec<_>, Vec<_>) =
        begun.into_iter().partition(|begin| begin.target == "r-1".into());
    for begin in south {
        let seen = world.event(begin.attempt, Event::Ended(input::Summary::default()));
        assert!(seen.begun.is_empty());
    }
    let mut seen = world.event(north[0].attempt, Event::Ended(input::Summary::default()));
    seen.extend(world.event(north[1].attempt, Event::Ended(input::Summary::default())));
    let targets: Vec<_> = seen.begun.iter().map(|begin| begin.target.clone()).collect();
    assert_eq!(targets, ["r-2".into(), "r-2".into()]);
}

/// Guards against calls that are sent after the set changed while they wait for a connection,
/// and against counting these as attempts, retries or failures of the target.
#[test]
fn a_call_withheld_at_the_moment_of_sending_goes_back_to_the_queue() {
    let names = [("d-1", "north"), ("d-2", "south"), ("d-3", "north")];
    let mut world = World::new(names.map(|(name, centre)| at(centre, desk(name))).to_vec());
    let mut withheld = Vec::new();
    while withheld.len() < 3 {
        let (_, seen) = world.arrive(envelope("book", Some("key-2")));
        withheld.extend(seen.begun.into_iter().filter(|begin| begin.target == "d-2".into()));
    }
    drain(&mut world, 2, &["south"]);
    for begin in &withheld {
        let first = world.event(begin.attempt, Event::Withheld).begun;
        assert_eq!(first.iter().map(|begin| begin.call).collect::<Vec<_>>(), [begin.call]);
        assert_ne!(first[0].target, "d-2".into());
        // The route allows two attempts: both are left.
        let refused = || Event::Refused { status: 503, retry_after: None };
        let seen = world.event(first[0].attempt, refused());
        assert_eq!(seen.begun.len(), 1, "the second attempt");
        assert_eq!(world.event(seen.begun[0].attempt, refused()).refused[0].1, 503);
    }
    drain(&mut world, 3, &[]);
    let begun = (0..12).flat_map(|_| world.arrive(envelope("book", Some("key-2"))).1.begun);
    let targets: Vec<_> = begun.map(|begin| begin.target).collect();
    assert!(targets.contains(&"d-2".into()), "its health has not suffered");
}

/// Guards against a retry whose other targets are drained and that holds up the calls behind
/// it in the queue until its deadline.
#[test]
fn a_retry_without_targets_does_not_hold_up_other_calls() {
    let mut world = two_desks();
    let mut first = None;
    while first.is_none() {
        let (_, seen) = world.arrive(envelope("book", Some("key-2")));
        first = seen.begun.into_iter().find(|begin| begin.target == "d-1".into());
    }
    drain(&mut world, 2, &["south"]);
    let first = first.expect("an attempt");
    let seen = world.event(first.attempt, Event::Refused { status: 503, retry_after: None });
    assert_eq!((seen.refused[0].0, seen.refused[0].2), (first.call, "drained"));
    assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun.len(), 1);
}

/// Guards against a withheld call that is lost where no other target is left, and one that
/// has begun being reported as not run.
#[test]
fn a_withheld_call_without_other_targets_is_refused_at_once() {
    let mut world = World::new(vec![at("south", desk("d-1"))]);
    let (call, seen) = world.arrive(envelope("book", Some("key-2")));
    drain(&mut world, 2, &["south"]);
    let refused = world.event(seen.begun[0].attempt, Event::Withheld).refused;
    assert_eq!((refused[0].0, refused[0].1, refused[0].2), (call, 503, "drained"));
    assert!(refused[0].3.is_some());
    let mut world = World::new(vec![at("south", runner("r-1", &["alpha"]))]);
    let (call, seen) = world.arrive(draft("courtesy", "alpha", 10));
    world.event(seen.begun[0].attempt, Event::First);
    drain(&mut world, 2, &["south"]);
    let mut seen = world.event(seen.begun[0].attempt, broken(Some(3)));
    seen.extend(world.wait(600));
    assert!(seen.refused.is_empty(), "it may have run");
    assert_eq!(seen.failed, [(call, 502, "drained")]);
}

/// Guards against calls that wait to their deadline although all their targets are drained.
#[test]
fn calls_of_a_service_without_targets_are_refused_at_once() {
    for names in [&["south"][..], &["south", "north", "east", "no such one"]] {
        let mut world =
            World::new(vec![at("south", desk("d-1")), at("south", runner("r-1", &["alpha"]))]);
        for _ in 0..2 {
            world.arrive(envelope("book", Some("key-2")));
        }
        // More calls than there are slots: some wait.
        let waiting: usize = (0..20)
            .map(|_| usize::from(world.arrive(envelope("book", Some("key-2"))).1.begun.is_empty()))
            .sum();
        assert!(waiting > 0);
        let seen = drain(&mut world, 2, names);
        assert_eq!(lines(&seen).len(), names.len(), "one line for each, also if unknown");
        assert_eq!(seen.refused.len(), waiting);
        let mut refused = seen.refused;
        refused.extend(world.arrive(envelope("book", Some("key-2"))).1.refused);
        refused.extend(world.arrive(draft("draft", "alpha", 10)).1.refused);
        assert_eq!(refused.len(), waiting + 2);
        assert!(refused.iter().all(|row| row.1 == 503 && row.2 == "drained" && row.3.is_some()));
        drain(&mut world, 3, &[]);
        assert_eq!(world.arrive(draft("draft", "alpha", 10)).1.begun.len(), 1);
    }
}

/// Guards against calls that are refused although a load elsewhere is ready in time, and
/// against those that wait for one that is not.
#[test]
fn calls_wait_for_a_load_elsewhere_only_if_it_is_ready_in_time() {
    for (is_warm, waits) in [(true, true), (false, false)] {
        let mut other = at("north", runner("r-2", &[]));
        if is_warm {
            other.warm = ["alpha".into()].into();
        }
        let mut world = World::new(vec![at("south", runner("r-1", &["alpha"])), other.clone()]);
        drain(&mut world, 2, &["south"]);
        let mut envelope = draft("draft", "alpha", 10);
        envelope.timeout = Some(time::Duration::from_secs(4));
        let seen = world.arrive(envelope).1;
        assert_eq!(seen.refused.is_empty(), waits, "warm {is_warm}");
        if waits {
            let loaded = target::Entry { models: runner("r-2", &["alpha"]).models, ..other };
            let seen = world.changes(3, vec![change(3, loaded)]);
            assert_eq!(seen.begun[0].target, "r-2".into());
        } else {
            assert_eq!((seen.refused[0].1, seen.refused[0].2), (503, "model not loaded"));
            assert!(seen.refused[0].3.is_some());
        }
    }
}

/// Guards against orders and report requests to drained runners, against copies there that
/// count as present, and against copies that do not count again after the drain.
#[test]
fn the_planner_loads_elsewhere_and_sends_nothing_to_drained_runners() {
    let mut world = World::new(vec![
        at("south", runner("r-1", &["alpha", "beta"])),
        at("north", runner("r-2", &["beta"])),
        at("north", runner("r-3", &["beta"])),
    ]);
    world.lead();
    let report = |target: &ids::Target, models: &[&str]| Input::Reported {
        target: target.clone(),
        report: Some(input::Report {
            born: 1,
            orders: 0,
            is_busy: false,
            models: runner("r", models).models,
        }),
    };
    let seen = world.wait(600);
    assert!(seen.reports.contains(&"r-1".into()), "{:?}", seen.reports);
    drain(&mut world, 2, &["south"]);
    for name in ["r-2", "r-3"] {
        world.step([report(&name.into(), &["beta"])]);
    }
    let mut all = Seen::default();
    for _ in 0..200 {
        world.arrive(draft("draft", "alpha", 400));
        let seen = world.wait(20);
        world.grant(&seen);
        all.extend(seen);
    }
    assert!(!all.reports.contains(&"r-1".into()), "no report requests to a drained runner");
    assert!(all.orders.iter().all(|(_, order)| order.target != "r-1".into()));
    let is_load = |order: &relay::output::Order| {
        order.verb == Verb::Load && order.model == ids::Model::from("alpha")
    };
    assert!(all.orders.iter().any(|(_, order)| is_load(order)), "{:?}", all.orders);
    drain(&mut world, 3, &[]);
    let seen = world.wait(2_000);
    world.grant(&seen);
    assert!(seen.reports.contains(&"r-1".into()), "it is asked again");
    assert_eq!(world.arrive(draft("draft", "alpha", 10)).1.begun[0].target, "r-1".into());
}

/// Guards against an old read, or a message that is late, that brings back a drain or ends
/// one, and against a VM that is not told of a newer set.
#[test]
fn an_older_set_never_replaces_a_newer_one() {
    let revision = |version: u64| ids::Revision::from(version);
    let now = ids::Time::from_millis(1_000);
    let mut table = Table::default();
    assert!(table.read(now, revision(5), &centres(&[])).is_none());
    assert_eq!(table.revision(), revision(0), "nothing to announce where there is no drain");
    assert!(table.receive(revision(4), &centres(&["south"])).is_none());
    assert_eq!(table.revision(), revision(5), "the sender is shown that it lags behind");
    assert!(table.read(now, revision(7), &centres(&["south"])).is_some());
    assert!(table.read(now, revision(6), &centres(&[])).is_none());
    assert!(table.receive(revision(7), &centres(&[])).is_none());
    assert_eq!(*table.centres(), centres(&["south"]));
    let change = table.receive(revision(9), &centres(&["south"])).expect("a newer version");
    assert_eq!((change, table.revision()), (relay::evacuation::Change::default(), revision(9)));
    assert!(table.receive(revision(8), &centres(&[])).is_none());
    let change = table.read(now, revision(10), &centres(&["north"])).expect("a change");
    assert_eq!((change.began, change.ended), (vec!["north".into()], vec!["south".into()]));
}

/// Guards against messages of a kind that VMs of an older version cannot decode: they close
/// the connection.
#[test]
fn vms_of_an_older_version_are_sent_no_set() {
    let mut world = two_desks();
    let member = |name: &str| relay::Settings::new(name, "north", 1).with_peer("127.0.0.1:9");
    let names = ["vm-1", "vm-2", "vm-3"].map(|name| member(name).member());
    world.step([world::members(names.to_vec())]);
    for (from, evacuations) in [("vm-2", None), ("vm-3", Some(ids::Revision::default()))] {
        let digest = peer::Digest { evacuations, ..peer::Digest::default() };
        let message = peer::Message::Digest(digest);
        let incarnation = ids::Incarnation::new(1);
        world.step([Input::Peer { from: from.into(), incarnation, message }]);
    }
    let mut seen = drain(&mut world, 2, &["south"]);
    seen.extend(world.wait(1_000));
    let own = seen.messages.iter();
    let own = own.filter(|(_, message)| matches!(message, peer::Message::Evacuations(_)));
    let mut receivers: Vec<_> = own.map(|(vm, _)| vm.as_str()).collect();
    receivers.dedup();
    assert_eq!(receivers, ["vm-3"]);
    // The new field of the digest is optional on both sides.
    let old = serde_json::to_value(peer::Digest::default()).expect("a text");
    assert!(old.get("ev").is_none());
    assert_eq!(serde_json::from_value::<peer::Digest>(old).expect("one").evacuations, None);
}

const ZONES: [&str; 3] = ["centre-0", "centre-1", "centre-2"];

/// A fleet that has met, with four runners in each of three data centres.
fn started(size: usize, zones: usize) -> Fleet {
    let entry = |index: usize| target::Entry {
        slots: 64,
        ..at(ZONES[index % 3], runner(&format!("i-{index}"), &["alpha"]))
    };
    let mut fleet = Fleet::new(size, zones, large_config(), (0..12).map(entry).collect());
    fleet.run(4_000, |_| {});
    fleet
}

fn large_config() -> config::Config {
    let mut config = configuration(1);
    for service in config.services.values_mut() {
        if let Some(engine) = &mut service.engine {
            (engine.kv_tokens, engine.slots) = (1_000_000, 64);
        }
    }
    config
}

/// Sends a call to each VM that runs and returns how many went to targets of `zone`.
fn sent_to(fleet: &mut Fleet, zone: usize) -> u64 {
    fleet.sent.clear();
    for index in 0..fleet.vms.len() {
        if fleet.vms[index].relay.is_some() {
            fleet.arrive(index, draft("draft", "alpha", 10));
        }
    }
    fleet.run(40, |_| {});
    let of_zone =
        |name: &ids::Target| name.as_str()[2..].parse::<usize>().expect("a number") % 3 == zone;
    fleet.sent.iter().filter(|(name, _)| of_zone(name)).map(|(_, count)| count).sum()
}

fn drained(fleet: &Fleet) -> Vec<usize> {
    fleet.running().map(|vm| vm.relay.as_ref().expect("it runs").drained_centres()).collect()
}

/// Guards against VMs of a mesh, and of data centres with aggregators, that learn of a drain,
/// or of its end, too late or not at all.
#[test]
fn all_vms_learn_of_a_drain_and_of_its_end() {
    for (size, zones) in [(5, 3), (36, 6), (118, 6), (330, 6)] {
        let mut fleet = started(size, zones);
        assert!(sent_to(&mut fleet, 1) > 0);
        fleet.drain(&["centre-1"], 400);
        fleet.run(1_000, |_| {});
        assert!(drained(&fleet).iter().all(|count| *count == 1), "{size} VMs");
        assert_eq!(sent_to(&mut fleet, 1), 0, "{size} VMs");
        fleet.drain(&["centre-1", "centre-2"], 400);
        fleet.run(1_000, |_| {});
        assert_eq!(sent_to(&mut fleet, 1) + sent_to(&mut fleet, 2), 0, "{size} VMs");
        fleet.drain(&[], 400);
        fleet.run(1_000, |_| {});
        assert!(drained(&fleet).iter().all(|count| *count == 0), "{size} VMs");
        assert!(sent_to(&mut fleet, 1) > 0, "{size} VMs");
    }
}

/// Guards against messages about drains in deployments that never have one.
#[test]
fn without_drains_no_messages_about_them_are_sent() {
    for size in [5, 36] {
        let mut fleet = started(size, 3);
        fleet.run(2_000, |_| {});
        let kinds = &fleet.traffic.bytes_by_kind;
        assert!(!kinds.contains_key("evacuations"), "{size} VMs: {kinds:?}");
    }
}

/// Guards against a drain that is lost with the reader that has passed it on to nobody, or
/// with the aggregators that should pass it on.
#[test]
fn a_drain_survives_the_death_of_a_reader_and_of_aggregators() {
    for (size, zones) in [(5, 3), (118, 6), (330, 6)] {
        let mut fleet = started(size, zones);
        let readers: Vec<_> =
            (0..size).filter(|index| fleet.vms[*index].follow().is_reader).collect();
        assert_eq!(readers.len(), 2);
        fleet.drain(&["centre-1"], 20);
        // One reader dies before it reads, and with it the aggregators of half of the data
        // centres, which have the first names.
        fleet.kill(readers[0]);
        if size > 16 {
            (0..zones).step_by(2).filter(|index| *index != readers[1]).for_each(|index| {
                fleet.kill(index);
            });
        }
        fleet.run(4_500, |_| {});
        let known = drained(&fleet);
        assert!(known.iter().all(|count| *count == 1), "{size} VMs: {known:?}");
        assert_eq!(sent_to(&mut fleet, 1), 0);
    }
}

/// Guards against a drain that is not noticed when all VMs that read the store die at once:
/// their successors read the set anew.
#[test]
fn a_drain_is_read_by_new_readers_if_both_die() {
    let mut fleet = started(5, 3);
    let readers: Vec<_> = (0..5).filter(|index| fleet.vms[*index].follow().is_reader).collect();
    for index in readers {
        fleet.kill(index);
    }
    fleet.drain(&["centre-1"], 20);
    fleet.run(4_000, |_| {});
    assert_eq!(drained(&fleet), [1, 1, 1]);
}

/// Guards against a VM that starts during a drain and sends to drained targets, although it
/// cannot read the store itself.
#[test]
fn a_vm_that_starts_learns_of_the_drain_from_the_others() {
    for (size, zones) in [(5, 3), (118, 6)] {
        let mut fleet = started(size, zones);
        fleet.drain(&["centre-1"], 20);
        fleet.run(3_000, |_| {});
        fleet.polls_drains = false;
        let index = size - 1;
        fleet.kill(index);
        fleet.run(3_000, |_| {});
        fleet.start(index);
        fleet.run(2_000, |_| {});
        assert!(drained(&fleet).iter().all(|count| *count == 1), "{size} VMs");
        assert_eq!(sent_to(&mut fleet, 1), 0);
    }
}

/// Guards against a VM that forgets the drain when it loses the store and the other VMs, and
/// against one that stays behind after its return.
#[test]
fn a_vm_that_is_cut_off_keeps_the_last_set_and_catches_up() {
    let mut fleet = started(5, 3);
    fleet.drain(&["centre-1"], 20);
    fleet.run(1_000, |_| {});
    let lonely = (0..5).find(|index| !fleet.vms[*index].follow().is_reader).expect("one");
    let others: Vec<_> = fleet.vms.iter().map(|vm| vm.name.clone()).collect();
    fleet.vms[lonely].deaf_to = others.into_iter().collect();
    fleet.polls_drains = false;
    fleet.run(4_000, |_| {});
    assert_eq!(drained(&fleet)[lonely], 1);
    fleet.drain(&["centre-2"], 20);
    fleet.run(1_000, |_| {});
    fleet.vms[lonely].deaf_to.clear();
    fleet.run(2_500, |_| {});
    assert_eq!(sent_to(&mut fleet, 2), 0);
    assert!(sent_to(&mut fleet, 1) > 0);
}

/// Guards against a drain of a fraction of a second that leaves something behind: calls that
/// were withheld, targets that stay out of use.
#[test]
fn a_drain_of_a_fraction_of_a_second_loses_no_call() {
    let mut world = two_desks();
    let (call, seen) = world.arrive(envelope("book", Some("key-2")));
    let begin = seen.begun[0].clone();
    let zone = if begin.target == "d-1".into() { "north" } else { "south" };
    drain(&mut world, 2, &[zone]);
    drain(&mut world, 3, &[]);
    let seen = world.event(begin.attempt, Event::Withheld);
    assert_eq!(seen.begun.iter().map(|begin| begin.call).collect::<Vec<_>>(), [call]);
    assert_eq!(world.relay.drained_centres(), 0);
}
