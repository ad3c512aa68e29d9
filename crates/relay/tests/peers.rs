//! Tests of reading the store and of the exchange of state between VMs.

mod world;

use relay::{Input, input, output, peer};
use world::{Seen, World, change, configuration, desk, envelope, removal};

/// Time after the start from which a VM uses the full capacity of a service, in ms.
const STARTUP_MS: u64 = 1_500;

fn member(name: &str) -> member::Member {
    relay::Settings::new(name, "north", 1).with_peer("127.0.0.1:9").member()
}

fn digest(version: u64, read_age: Option<u64>) -> peer::Message {
    peer::Message::Digest(peer::Digest {
        version: ids::Version::new(version),
        read_age,
        ..peer::Digest::default()
    })
}

fn receive(world: &mut World, from: &str, message: peer::Message) -> Seen {
    let incarnation = ids::Incarnation::new(1);
    world.step([Input::Peer { from: from.into(), incarnation, message }])
}

/// What the VM watches after two seconds of digests from these VMs, given by name and
/// read age.
fn follow_after_digests(
    world: &mut World,
    others: &[(&str, Option<u64>)],
) -> Option<output::Follow> {
    let mut all = Seen::default();
    for _ in 0..40 {
        world.pass(50);
        for (name, age) in others {
            let seen = receive(world, name, digest(1, *age));
            all.extend(seen);
        }
        let seen = world.step(world::reads());
        all.extend(seen);
    }
    all.follow
}

#[test]
fn two_vms_read_the_store_and_a_failed_reader_is_replaced() {
    let mut world = World::new(vec![desk("d-1")]);
    let members = ["vm-0a", "vm-0b", "vm-1", "vm-2"].map(member);
    world.step([world::members(members.to_vec())]);
    let follow = follow_after_digests(&mut world, &[("vm-0a", Some(10)), ("vm-0b", Some(10))]);
    assert!(!follow.expect("a change").is_reader);
    let follow = follow_after_digests(&mut world, &[("vm-0a", Some(10)), ("vm-0b", Some(5_000))]);
    assert!(follow.expect("a change").is_reader, "one of them cannot read");
    let follow = follow_after_digests(&mut world, &[("vm-0a", Some(10)), ("vm-0b", Some(10))]);
    assert!(!follow.expect("a change").is_reader);
    let follow = follow_after_digests(&mut world, &[("vm-0a", Some(10)), ("vm-2", Some(10))]);
    assert!(follow.expect("a change").is_reader, "one of them is silent");
}

#[test]
fn a_vm_that_is_behind_gets_configuration_and_targets() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    world.step(world::reads());
    receive(&mut world, "vm-2", digest(0, None));
    let seen = world.wait(200);
    let sent: Vec<_> = seen.messages.iter().map(|(_, message)| message).collect();
    let is_config = |message: &&&peer::Message| matches!(message, peer::Message::Config { .. });
    let is_targets = |message: &&&peer::Message| matches!(message, peer::Message::Targets(targets) if targets.since.is_none());
    assert_eq!(sent.iter().filter(is_config).count(), 1);
    assert_eq!(sent.iter().filter(is_targets).count(), 1);
}

fn member_as(name: &str, incarnation: u64) -> member::Member {
    relay::Settings::new(name, "north", incarnation).with_peer("127.0.0.1:9").member()
}

/// Receives a digest of the VM `vm-2` without a configuration, from one of its incarnations.
fn receive_as(world: &mut World, incarnation: u64) -> Seen {
    let incarnation = ids::Incarnation::new(incarnation);
    world.step([Input::Peer { from: "vm-2".into(), incarnation, message: digest(0, None) }])
}

/// Guards against a configuration that is never sent to a VM whose clock was set back between
/// two starts, and against late messages of the start that the store's row has replaced.
#[test]
fn the_row_of_a_vm_tells_which_of_its_incarnations_runs() {
    let mut world = World::new(vec![desk("d-1")]);
    let members = |version: u64, incarnation| {
        world::members_at(version, vec![member("vm-1"), member_as("vm-2", incarnation)])
    };
    world.step([members(1, 1)]);
    // Its clock is ahead, and it is heard before its row is read.
    receive_as(&mut world, 2_000);
    world.wait(2_000);
    world.step([members(2, 1_000)]);
    for _ in 0..10 {
        receive_as(&mut world, 2_000);
        assert!(copies(&world.wait(100).messages) == (0, 0), "it has ended");
    }
    receive_as(&mut world, 1_000);
    let sent = world.wait(1_000).messages;
    assert!(copies(&sent).1 > 0, "it runs and has no configuration");
}

/// Guards against a VM that is ignored for good because an older state of its row was read
/// after it was heard.
#[test]
fn an_incarnation_that_was_heard_before_an_older_row_was_read_is_heard_again() {
    let mut world = World::new(vec![desk("d-1")]);
    for (version, incarnation) in [(1, 1), (2, 2), (3, 3)] {
        let members = vec![member("vm-1"), member_as("vm-2", incarnation)];
        world.step([world::members_at(version, members)]);
        receive_as(&mut world, 3);
    }
    let sent = world.wait(1_000).messages;
    assert!(copies(&sent).1 > 0, "it runs and has no configuration");
}

/// Numbers of complete copies of the targets and of the configuration in `messages`.
fn copies(messages: &[(ids::Vm, peer::Message)]) -> (usize, usize) {
    let is_targets = |message: &&peer::Message| matches!(message, peer::Message::Targets(copy) if copy.since.is_none());
    let is_config = |message: &&peer::Message| matches!(message, peer::Message::Config { .. });
    let all = || messages.iter().map(|(_, message)| message);
    (all().filter(is_targets).count(), all().filter(is_config).count())
}

/// A digest of a VM that knows these versions.
fn digest_with_versions(version: u64, targets: u64) -> peer::Message {
    peer::Message::Digest(peer::Digest {
        version: ids::Version::new(version),
        targets: targets.into(),
        ..peer::Digest::default()
    })
}

#[test]
fn changes_in_flight_do_not_trigger_a_complete_copy() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    receive(&mut world, "vm-2", digest_with_versions(1, 1));
    world.wait(1_000);
    let mut sent = Vec::new();
    // Each change is sent at once; the digest of vm-2 was sent before it arrived.
    for version in 2..12 {
        let entry = desk_with_slots("d-1", version);
        sent.extend(world.changes(version, vec![change(version, entry)]).messages);
        receive(&mut world, "vm-2", digest_with_versions(1, version - 1));
        sent.extend(world.wait(200).messages);
        receive(&mut world, "vm-2", digest_with_versions(1, version));
    }
    assert_eq!(copies(&sent).0, 0);
    let news = sent.iter().filter(|(_, message)| matches!(message, peer::Message::Targets(_)));
    assert_eq!(news.count(), 10);
}

/// A desk whose entry differs for each number of slots.
fn desk_with_slots(name: &str, slots: u64) -> relay::target::Entry {
    relay::target::Entry { slots: u32::try_from(slots).expect("a few slots"), ..desk(name) }
}

#[test]
fn entries_written_again_without_a_change_are_not_sent() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    receive(&mut world, "vm-2", digest_with_versions(1, 1));
    world.wait(1_000);
    let mut sent = Vec::new();
    // Runners write their entries about every second.
    for version in 2..12 {
        sent.extend(world.changes(version, vec![change(version, desk("d-1"))]).messages);
        receive(&mut world, "vm-2", digest_with_versions(1, 1));
        sent.extend(world.wait(1_000).messages);
    }
    let is_targets =
        |(_, message): &&(ids::Vm, peer::Message)| matches!(message, peer::Message::Targets(_));
    assert_eq!(sent.iter().filter(is_targets).count(), 0);
}

#[test]
fn a_vm_that_missed_a_change_gets_a_complete_copy_within_a_second() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    receive(&mut world, "vm-2", digest_with_versions(1, 1));
    world.wait(1_000);
    world.changes(2, vec![change(2, desk_with_slots("d-1", 2))]);
    let mut sent = Vec::new();
    for _ in 0..10 {
        receive(&mut world, "vm-2", digest_with_versions(1, 1));
        world.step(world::reads());
        sent.extend(world.wait(100).messages);
    }
    assert!((1..=2).contains(&copies(&sent).0), "{}", copies(&sent).0);
}

#[test]
fn a_vm_that_is_no_reader_sends_a_configuration_only_after_a_delay() {
    let mut world = World::empty();
    let names = ["vm-1", "vm-0a", "vm-0b", "vm-2"];
    world.step([world::members(names.map(member).to_vec())]);
    let mut sent = Vec::new();
    for version in [1, 2] {
        // Two other VMs are readers; vm-2 does not have the configuration yet.
        for age in [50, 100, 150] {
            for reader in ["vm-0a", "vm-0b"] {
                receive(&mut world, reader, digest(version, Some(age)));
            }
            receive(&mut world, "vm-2", digest_with_versions(version - 1, 0));
            sent.extend(world.wait(100).messages);
        }
        sent.extend(world.configure(configuration(version)).messages);
        receive(&mut world, "vm-2", digest_with_versions(version - 1, 0));
        sent.extend(world.wait(150).messages);
    }
    assert_eq!(copies(&sent).1, 0);
    for _ in 0..10 {
        receive(&mut world, "vm-2", digest_with_versions(1, 0));
        sent.extend(world.wait(100).messages);
    }
    assert!(copies(&sent).1 >= 1, "the readers may not reach it");
}

#[test]
fn the_first_targets_of_a_vm_are_not_sent_to_others() {
    let mut world = World::empty();
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    receive(&mut world, "vm-2", digest_with_versions(0, 1));
    assert_eq!(world.targets(vec![desk("d-1")]).messages.len(), 0);
}

#[test]
fn targets_from_peers_are_applied_only_without_a_gap() {
    let mut world = World::empty();
    world.configure(configuration(1));
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    let targets = |since: Option<u64>, version: u64, name: &str| {
        peer::Message::Targets(peer::Targets {
            since: since.map(ids::Revision::from),
            revision: version.into(),
            changes: vec![change(version, desk(name))],
        })
    };
    world.pass(STARTUP_MS);
    receive(&mut world, "vm-2", targets(Some(7), 9, "d-9"));
    assert!(
        world.arrive(envelope("book", Some("key-2"))).1.begun.is_empty(),
        "changes since 7 only"
    );
    receive(&mut world, "vm-2", targets(None, 9, "d-1"));
    assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun[0].target, "d-1".into());
    receive(&mut world, "vm-2", targets(Some(9), 10, "d-2"));
    receive(&mut world, "vm-2", targets(None, 8, "d-3"));
    let mut chosen: Vec<_> = (0..8)
        .map(|_| world.arrive(envelope("book", Some("key-2"))).1.begun[0].target.clone())
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, ["d-1".into(), "d-2".into()]);
}

#[test]
fn a_late_page_does_not_restore_removed_targets() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2"), desk("d-3")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    world.pass(STARTUP_MS);
    let mut leaving = desk("d-2");
    leaving.is_leaving = true;
    let copy = peer::Targets {
        since: Some(1.into()),
        revision: 9.into(),
        changes: vec![removal(8, "d-1"), change(9, leaving)],
    };
    receive(&mut world, "vm-2", peer::Message::Targets(copy));
    // This VM's read started earlier, but its response was delayed.
    world.changes(5, vec![change(4, desk("d-1")), change(5, desk("d-2"))]);
    for _ in 0..8 {
        assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun[0].target, "d-3".into());
    }
    let seen = world.changes(11, vec![change(11, desk("d-1"))]);
    let copy = seen.messages.iter().find_map(|(_, message)| match message {
        peer::Message::Targets(targets) => Some(targets),
        _ => None,
    });
    assert_eq!(copy.and_then(|copy| copy.since), Some(9.into()), "what is new since");
}

#[test]
fn a_late_complete_read_neither_restores_nor_removes_targets() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    let copy = peer::Targets {
        since: Some(1.into()),
        revision: 9.into(),
        changes: vec![removal(8, "d-1"), change(9, desk("d-2"))],
    };
    receive(&mut world, "vm-2", peer::Message::Targets(copy));
    let changes = vec![change(1, desk("d-1"))];
    let revision = ids::Revision::from(5);
    world.step([Input::Targets(input::Targets { is_full: true, revision, changes })]);
    for _ in 0..4 {
        assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun[0].target, "d-2".into());
    }
}

#[test]
fn a_target_removed_and_added_within_a_page_is_known() {
    let mut world = World::new(vec![desk("d-1")]);
    world.changes(5, vec![removal(4, "d-1"), change(5, desk("d-1"))]);
    assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun.len(), 1);
}

#[test]
fn targets_loaded_by_other_vms_are_avoided() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    let load = relay::target::Load { calls: 5, kv: 0, prefill: 0 };
    let loads = vec![("d-1".into(), load)];
    let digest = peer::Digest { loads, ..peer::Digest::default() };
    receive(&mut world, "vm-2", peer::Message::Digest(digest));
    world.wait(120);
    for _ in 0..3 {
        assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun[0].target, "d-2".into());
    }
}

#[test]
fn messages_of_an_earlier_incarnation_are_ignored() {
    let mut world = World::new(vec![desk("d-1")]);
    let newer = relay::Settings::new("vm-2", "north", 5).with_peer("127.0.0.1:9").member();
    world.step([world::members(vec![member("vm-1"), newer])]);
    let message = peer::Message::Placed(peer::Placed {
        target: "d-1".into(),
        item: "alpha".into(),
        present: true,
    });
    let incarnation = ids::Incarnation::new(4);
    world.step([Input::Peer { from: "vm-2".into(), incarnation, message }]);
    let target = input::Targets::default();
    assert!(target.changes.is_empty());
    let seen = world.arrive(world::draft("draft", "alpha", 10)).1;
    assert!(seen.begun.is_empty(), "the news was not believed");
}

#[test]
fn a_vm_that_is_heard_again_is_connected_to() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([world::members(vec![member("vm-1"), member("vm-2")])]);
    assert_eq!(receive(&mut world, "vm-2", digest(1, None)).reconnects, ["vm-2".into()]);
    world.wait(500);
    assert_eq!(receive(&mut world, "vm-2", digest(1, None)).reconnects, []);
    world.wait(2_000);
    assert_eq!(receive(&mut world, "vm-2", digest(1, None)).reconnects, ["vm-2".into()]);
}

/// Guards against a planner that removes the rows of VMs after its lease has ended, as it was
/// suspended and so heard nobody.
#[test]
fn a_planner_that_was_suspended_removes_no_rows() {
    let mut world = World::new(vec![world::runner("r-1", &["alpha"])]);
    world.lead();
    world.step([world::members_at(2_000, vec![member("vm-1"), member("vm-2")])]);
    receive(&mut world, "vm-2", digest(1, Some(10)));
    let seen = world.wait(100);
    world.grant(&seen);
    world.pass(70_000);
    let seen = world.step([]);
    let keys: Vec<_> =
        seen.writes.iter().map(|(_, write)| (&write.key, write.value.is_some())).collect();
    assert!(!keys.iter().any(|(_, is_put)| !is_put), "removed: {keys:?}");
}
