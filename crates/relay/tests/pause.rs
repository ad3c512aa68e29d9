//! Tests of targets that announce that they leave, or ask for a pause.

mod fleet;
mod world;

use std::time;

use fleet::Fleet;
use rand::SeedableRng as _;
use relay::{
    Input, input,
    input::Event,
    pause::{self, Notice, Pause},
    target,
};
use world::{Seen, World, change, configuration, desk, draft, envelope, removal, runner};

const LEAVES: Notice = Notice { is_leaving: true, pause: None };

const fn pause_of(millis: u64) -> Notice {
    let length = time::Duration::from_millis(millis);
    Notice { is_leaving: false, pause: Some(Pause::For(length)) }
}

const REFUSED: Event = Event::Refused { status: 503, retry_after: None };

fn broken() -> Event {
    Event::Broken { reason: "reset".into(), last_event: None }
}

/// Sends a call, whose answer announces `notice` and ends with `event`.
fn call(world: &mut World, route: &str, notice: Notice, event: Event) -> (Seen, ids::Target) {
    let (_, seen) = world.arrive(envelope(route, Some("key-2")));
    let begun = seen.begun.first().expect("sent").clone();
    world.event(begun.attempt, Event::Notice(notice));
    (world.event(begun.attempt, event), begun.target)
}

/// Targets of further calls, none of which is answered.
fn targets_of(world: &mut World, calls: usize) -> Vec<String> {
    let mut targets = Vec::new();
    for _ in 0..calls {
        let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
        targets.extend(seen.begun.iter().map(|begun| begun.target.to_string()));
    }
    targets
}

/// Ends a call as answered.
fn answered() -> Event {
    Event::Ended(input::Summary::default())
}

/// Guards against requests to a target that has said that it leaves (DRAIN), whatever kind
/// of answer said so, and however the answer ended.
#[test]
fn a_target_that_leaves_gets_nothing_more_whatever_answer_says_so() {
    for event in [answered(), REFUSED, Event::Failure { status: 500 }, broken(), Event::Began] {
        let mut world = World::new(vec![desk("d-1")]);
        world.pass(2_000);
        let (seen, target) = call(&mut world, "book", LEAVES, event.clone());
        assert!(seen.begun.is_empty(), "{event:?}");
        let other = if target.as_str() == "d-1" { "d-2" } else { "d-1" };
        world.targets(vec![desk("d-1"), desk("d-2")]);
        let targets = targets_of(&mut world, 4);
        assert_eq!(targets, vec![other; 4], "{event:?}");
    }
}

/// Guards against streams that resume, and retries that go, to a target that leaves (DRAIN):
/// its running streams go on.
#[test]
fn a_stream_goes_on_at_a_target_that_leaves_and_resumes_elsewhere() {
    let mut world = World::new(vec![runner("r-1", &["alpha"])]);
    world.pass(2_000);
    let (first, seen) = world.arrive(draft("courtesy", "alpha", 100));
    let (_, other) = world.arrive(draft("courtesy", "alpha", 100));
    let (on_first, on_other) = (seen.begun[0].attempt, other.begun[0].attempt);
    // The head of one stream says so while the other one runs.
    let seen = world.event(on_first, Event::Notice(LEAVES));
    assert!(seen.failed.is_empty() && seen.refused.is_empty(), "streams in flight run on");
    world.event(on_first, Event::First);
    world.event(on_other, Event::First);
    world.targets(vec![runner("r-1", &["alpha"]), runner("r-2", &["alpha"])]);
    let broken = Event::Broken { reason: "reset".into(), last_event: Some(3) };
    let seen = world.event(on_other, broken);
    assert_eq!((seen.begun[0].target.as_str(), seen.begun[0].resume_after), ("r-2", Some(3)));
    let seen = world.event(on_first, answered());
    assert!(!seen.failed.iter().any(|failed| failed.0 == first));
}

/// Guards against a mark that the store, a stale read or a removal in between revokes (DRAIN).
#[test]
fn no_entry_of_the_same_instance_revokes_that_it_leaves() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    world.pass(2_000);
    let (_, target) = call(&mut world, "book", LEAVES, answered());
    let name = target.as_str();
    let other = if name == "d-1" { "d-2" } else { "d-1" };
    // It is listed as serving, with another content.
    world.changes(10, vec![change(10, target::Entry { slots: 9, ..desk(name) })]);
    assert_eq!(targets_of(&mut world, 3), vec![other; 3]);
    // Its entry is unreadable for a time, and comes back with another address.
    world.changes(11, vec![removal(11, name)]);
    let back = target::Entry { address: "127.0.0.1:7".into(), ..desk(name) };
    world.changes(12, vec![change(12, back)]);
    assert_eq!(targets_of(&mut world, 3), vec![other; 3]);
    // A complete list, from which it is missing, is followed by one that has it.
    world.step([Input::Store { is_up: false }, Input::Store { is_up: true }]);
    world.changes(13, vec![removal(13, name)]);
    world.wait(4_000);
    world.changes(14, vec![change(14, desk(name))]);
    assert_eq!(targets_of(&mut world, 1), vec![other; 1]);
}

/// Guards against a VM that waits for the store before it believes a target (DRAIN): the
/// store and the other VMs may be out of reach.
#[test]
fn a_vm_that_is_cut_off_believes_the_answers_of_targets() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    world.step([Input::Store { is_up: false }]);
    world.wait(6_000);
    let (_, target) = call(&mut world, "book", LEAVES, answered());
    assert!(!targets_of(&mut world, 3).contains(&target.to_string()));
}

/// Guards against a new process that gets nothing because its predecessor at the address, or
/// under the name, has left.
#[test]
fn a_new_instance_is_used_at_once() {
    for (new, born) in [("d-1", 2), ("d-9", 1)] {
        let mut world = World::new(vec![desk("d-1")]);
        world.pass(2_000);
        call(&mut world, "book", LEAVES, answered());
        assert!(targets_of(&mut world, 1).is_empty());
        let address = desk("d-1").address;
        world.targets(vec![target::Entry { born, address, ..desk(new) }]);
        assert_eq!(targets_of(&mut world, 1), [new]);
    }
}

/// Guards against a mark that is tied to a start time which is not known: the name counts.
#[test]
fn a_target_without_a_start_time_is_known_by_its_name() {
    let unborn = target::Entry { born: 0, ..desk("d-1") };
    let mut world = World::new(vec![unborn.clone()]);
    world.pass(2_000);
    call(&mut world, "book", LEAVES, answered());
    world.changes(10, vec![removal(10, "d-1")]);
    world.changes(11, vec![change(11, unborn)]);
    assert!(targets_of(&mut world, 2).is_empty());
}

/// Guards against memory that grows with each instance that has ever left.
#[test]
fn the_instances_that_are_remembered_are_bounded() {
    let mut former = pause::Former::default();
    for born in 0..5_000 {
        let mut state = pause::State::default();
        assert!(state.leave());
        former.keep(&"d-1".into(), born, state);
    }
    assert!(former.len() <= 1_024, "{}", former.len());
    assert!(former.take(&"d-1".into(), 4_999).is_leaving(), "the newest is kept");
}

/// Guards against queued calls that are sent to a target that leaves (DRAIN).
#[test]
fn a_queued_call_is_not_sent_to_a_target_that_leaves() {
    let mut world = World::new(vec![desk("d-1")]);
    world.pass(2_000);
    let mut attempts = Vec::new();
    let mut waiting = None;
    while waiting.is_none() {
        let (call, seen) = world.arrive(envelope("book", Some("key-2")));
        match seen.begun.first() {
            Some(begun) => attempts.push(begun.attempt),
            None => waiting = Some(call),
        }
    }
    world.event(attempts[0], Event::Notice(LEAVES));
    let mut seen = world.event(attempts[0], answered());
    seen.extend(world.wait(200));
    assert!(seen.begun.is_empty());
    let refused = seen.refused.first().expect("refused at once");
    assert_eq!((Some(refused.0), refused.1), (waiting, 503));
    assert!(refused.3.is_some(), "the caller is told when to come back");
}

/// Advances time while this VM stays the planner.
fn wait_led(world: &mut World, millis: u64) -> Seen {
    let mut all = Seen::default();
    for _ in 0..millis / 20 {
        let seen = world.wait(20);
        world.grant(&seen);
        all.extend(seen);
    }
    all
}

/// Guards against orders, reports and loads for a runner that has told the planner that it
/// leaves, in its answer to a report (DRAIN), and against models that are then nowhere.
#[test]
fn a_runner_that_leaves_by_its_report_gets_no_orders() {
    // A load of the model that is asked for would be quickest at the first runner.
    let near = target::Entry { warm: ["beta".into()].into(), ..runner("r-1", &["alpha"]) };
    let mut world = World::new(vec![near, runner("r-2", &[])]);
    world.lead();
    let report = |models: &[&str]| input::Report {
        born: 1,
        orders: 0,
        is_busy: false,
        models: models
            .iter()
            .map(|model| ((*model).into(), std::collections::BTreeSet::new()))
            .collect(),
    };
    let asked = wait_led(&mut world, 4_000).reports;
    assert!(asked.contains(&"r-1".into()), "{asked:?}");
    for (name, models) in [("r-1", &["alpha"][..]), ("r-2", &[])] {
        let notice = if name == "r-1" { LEAVES } else { Notice::default() };
        world.step([
            Input::Notice { target: name.into(), born: 1, notice },
            Input::Reported { target: name.into(), report: Some(report(models)) },
        ]);
    }
    let mut seen = Seen::default();
    for _ in 0..60 {
        world.arrive(draft("draft", "beta", 100));
        seen.extend(wait_led(&mut world, 100));
    }
    let ordered: Vec<_> = seen.orders.iter().map(|(_, order)| order.target.as_str()).collect();
    assert!(ordered.contains(&"r-2") && !ordered.contains(&"r-1"), "{ordered:?}");
    assert!(!seen.reports.contains(&"r-1".into()));
}

/// Guards against any request to a paused target (BUDGET), and against a pause that outlasts
/// what was asked for: fractions of a second count.
#[test]
fn a_paused_target_gets_nothing_until_its_pause_is_over() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    world.pass(2_000);
    let (seen, target) = call(&mut world, "book", pause_of(1_250), REFUSED);
    let since = world.now;
    assert_ne!(seen.begun[0].target, target, "the refused call goes elsewhere");
    world.event(seen.begun[0].attempt, answered());
    // No other target is there any more, so that each call is for the paused one.
    world.targets(vec![desk(target.as_str())]);
    let mut sent_after = Vec::new();
    for _ in 0..200 {
        world.pass(10);
        let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
        let mut begun = seen.begun;
        while let Some(sent) = begun.pop() {
            sent_after.push(world.now.since(since).as_millis());
            begun.extend(world.event(sent.attempt, answered()).begun);
        }
    }
    let (first, tenth) = (sent_after[0], sent_after[9]);
    assert!((1_250..1_400).contains(&first), "{first} ms");
    assert!(tenth >= first + 400, "they come back at a limited rate: {sent_after:?}");
    assert!(sent_after.len() > 60, "and all are served: {sent_after:?}");
}

/// Guards against calls that wait for a pause that ends too late, and against those that are
/// refused although it ends in time.
#[test]
fn calls_wait_for_a_pause_only_if_it_ends_in_time() {
    let mut world = World::new(vec![desk("d-1")]);
    world.pass(2_000);
    // Its only target has refused the call: it is told to come back after the pause.
    let (seen, _) = call(&mut world, "book", pause_of(400), REFUSED);
    let wait = seen.refused[0].3.expect("a time");
    assert!(wait >= time::Duration::from_millis(400), "{wait:?}");
    let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
    assert!(seen.begun.is_empty() && seen.refused.is_empty(), "it waits");
    assert_eq!(world.wait(620).begun.len(), 1);

    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    world.pass(2_000);
    for _ in 0..2 {
        call(&mut world, "book", pause_of(20_000), REFUSED);
    }
    let mut waits = Vec::new();
    for number in 0..40 {
        let id = format!("attempt-{number}").as_str().into();
        let envelope = relay::envelope::Envelope { id, ..envelope("lookup", Some("key-2")) };
        let (_, seen) = world.arrive(envelope);
        assert!(seen.begun.is_empty());
        assert_eq!((seen.refused[0].1, seen.refused[0].2), (503, "targets paused"));
        waits.push(seen.refused[0].3.expect("a time"));
    }
    let (min, max) = (waits.iter().min().expect("one"), waits.iter().max().expect("one"));
    assert!(*min >= time::Duration::from_secs(20), "a retry before {min:?} would be refused");
    assert!(max.saturating_sub(*min) >= time::Duration::from_millis(300), "{min:?} to {max:?}");
    assert!(*max <= time::Duration::from_secs(21), "{max:?}");
}

/// Guards against calls that were queued before all targets paused, and are refused late.
#[test]
fn a_queued_call_is_refused_at_once_if_the_pause_is_too_long() {
    let mut world = World::new(vec![desk("d-1")]);
    world.pass(2_000);
    let mut begun = Vec::new();
    loop {
        let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
        match seen.begun.first() {
            Some(sent) => begun.push(sent.attempt),
            None => break,
        }
    }
    world.event(begun[0], Event::Notice(pause_of(10_000)));
    let mut seen = world.event(begun[0], REFUSED);
    seen.extend(world.wait(40));
    assert_eq!(seen.refused.len(), 2, "the queued call and the refused one");
    assert!(seen.refused.iter().all(|refused| refused.3 >= Some(time::Duration::from_secs(10))));
}

/// Guards against a later, shorter answer that ends a pause early (BUDGET), pauses without an
/// end, and values that make no sense.
#[test]
fn the_later_end_counts_and_absurd_pauses_are_cut() {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let spread = pause::Spread::new(5, &"vm-1".into());
    let start = ids::Time::from_millis(1_000);
    let seconds = |seconds| Pause::For(time::Duration::from_secs(seconds));
    let mut state = pause::State::default();
    assert_eq!(
        state.ask(start, seconds(3), spread, &mut rng),
        pause::Outcome::Begun { in_a_row: 1 }
    );
    assert_eq!(state.ask(start, seconds(1), spread, &mut rng), pause::Outcome::Unchanged);
    assert!(!state.admits(ids::Time::from_millis(3_999)));
    assert_eq!(state.ask(start, seconds(4), spread, &mut rng), pause::Outcome::Extended);
    assert!(!state.admits(ids::Time::from_millis(4_999)));
    assert!(state.admits(ids::Time::from_millis(5_200)));

    let mut state = pause::State::default();
    state.ask(start, seconds(7_200), spread, &mut rng);
    assert!(!state.admits(ids::Time::from_millis(30_999)));
    assert!(state.admits(ids::Time::from_millis(31_200)));

    let mut state = pause::State::default();
    assert_eq!(state.ask(start, Pause::Unreadable, spread, &mut rng), pause::Outcome::Unreadable);
    assert_eq!(state.ask(start, Pause::Unreadable, spread, &mut rng), pause::Outcome::Unchanged);
    assert_eq!(state.ask(start, seconds(0), spread, &mut rng), pause::Outcome::Unchanged);
    assert!(state.admits(start), "nothing was asked for");
}

/// Guards against pauses that count as failures and eject a target, and feed its health.
#[test]
fn a_pause_is_no_sign_of_ill_health() {
    let mut world = World::new(vec![desk("d-1")]);
    world.pass(2_000);
    for event in [REFUSED, broken(), REFUSED, broken(), broken(), broken()] {
        call(&mut world, "book", pause_of(100), event);
        world.wait(1_000);
    }
    // An ejected target would still be used if it is the only one.
    world.targets(vec![desk("d-1"), desk("d-2")]);
    let targets = targets_of(&mut world, 8);
    assert!(targets.contains(&"d-1".to_owned()), "{targets:?}");
}

/// Guards against a crash that a pause hides: calls that break off count, and the question
/// whether the target has crashed is asked, by a connection alone.
#[test]
fn a_pause_does_not_hide_a_crash() {
    let mut world = World::new(vec![runner("r-1", &["alpha"])]);
    world.pass(2_000);
    let prompt = |hash| relay::envelope::Part { hash, tokens: 10 };
    let mut streams = Vec::new();
    for _ in 0..3 {
        let mut call = draft("draft", "alpha", 100);
        if let Some(work) = &mut call.work {
            work.prompt = vec![prompt(1), prompt(2)];
        }
        streams.push(world.arrive(call).1.begun[0].attempt);
    }
    world.event(streams[0], Event::Notice(pause_of(5_000)));
    world.event(streams[0], REFUSED);
    let mut outputs = Vec::new();
    let event = Input::Attempt { attempt: streams[1], event: broken() };
    world.relay.step(world.now, [event], &mut outputs);
    let asked = outputs.iter().find_map(|output| match output {
        relay::Output::Probe { may_ask, .. } => Some(*may_ask),
        _ => None,
    });
    assert_eq!(asked, Some(false), "no report is requested in the pause");
    // The process that comes back under the name is not paused.
    world.targets(vec![target::Entry { born: 2, ..runner("r-1", &["alpha"]) }]);
    assert_eq!(world.arrive(draft("draft", "alpha", 100)).1.begun.len(), 1);
}

/// Guards against a call that runs twice (TWICE) because its first target asked for a pause
/// without proof that it had not run it.
#[test]
fn a_call_that_may_not_be_repeated_runs_at_most_once() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    world.pass(2_000);
    let (seen, _) = call(&mut world, "book", pause_of(500), broken());
    assert!(seen.begun.is_empty() && seen.refused.is_empty());
    assert_eq!(seen.failed[0].1, 502);
    // With proof, it may go elsewhere.
    let (seen, _) = call(&mut world, "book", pause_of(500), REFUSED);
    assert!(seen.begun.len() <= 1);
}

/// Guards against targets that pause in turn, or always, and take calls from those that serve.
#[test]
fn a_target_that_always_pauses_does_not_starve_the_others() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    world.pass(2_000);
    let (mut served, mut asked) = (0, 0);
    for _ in 0..250 {
        let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
        let mut begun = seen.begun;
        // As long as an answer is expected to take.
        begun.extend(world.wait(40).begun);
        while let Some(sent) = begun.pop() {
            if sent.target.as_str() == "d-1" {
                asked += 1;
                world.event(sent.attempt, Event::Notice(pause_of(300)));
                begun.extend(world.event(sent.attempt, REFUSED).begun);
            } else {
                served += 1;
                world.event(sent.attempt, answered());
            }
        }
    }
    assert_eq!(served, 250, "each call is served");
    assert!((15..=40).contains(&asked), "{asked} calls asked it again in 10 s");
}

/// Guards against a model that stays out of reach because its only holder always pauses.
#[test]
fn the_copies_of_a_target_that_pauses_for_long_do_not_count() {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let spread = pause::Spread::new(1, &"vm-1".into());
    let mut state = pause::State::default();
    let mut now = ids::Time::from_millis(1_000);
    let two = Pause::For(time::Duration::from_secs(2));
    for _ in 0..3 {
        state.ask(now, two, spread, &mut rng);
        assert!(!state.is_long(now), "a short pause");
        now = now + time::Duration::from_millis(2_200);
    }
    state.ask(now, two, spread, &mut rng);
    assert!(state.is_long(now), "pauses in a row");
    now = now + time::Duration::from_millis(2_200);
    assert!(!state.is_long(now));
    state.record_answered(now);
    state.ask(now, two, spread, &mut rng);
    assert!(!state.is_long(now), "it has answered in between");
}

/// Lets all VMs of a fleet pause one target, while calls wait on each, and returns the number
/// of calls that are sent to it in each 100 ms after the end.
fn returns(vms: usize, centres: usize) -> Vec<usize> {
    let entry = target::Entry { slots: 1_000, ..desk("d-1") };
    let mut fleet = Fleet::new(vms, centres, configuration(1), vec![entry]);
    fleet.keeps_calls = true;
    fleet.run(4_000, |_| {});
    for vm in 0..vms {
        fleet.input(vm, Input::Notice { target: "d-1".into(), born: 1, notice: pause_of(1_000) });
    }
    fleet.run(960, |_| {});
    fleet.begun.clear();
    let mut counts = Vec::new();
    for _ in 0..40 {
        let mut sent = 0;
        fleet.run(100, |fleet| {
            // Each VM has more calls than it may send.
            for vm in 0..vms {
                fleet.arrive(vm, envelope("lookup", Some("key-2")));
            }
        });
        sent += std::mem::take(&mut fleet.begun).len();
        counts.push(sent);
    }
    counts
}

/// Guards against VMs that all return at the same instant, and bring the target down again.
#[test]
fn the_vms_of_a_fleet_return_one_after_the_other() {
    for (vms, centres, most) in [(5, 4, 15), (118, 6, 15)] {
        let counts = returns(vms, centres);
        println!("{vms} VMs, calls sent in each 100 ms: {counts:?}");
        // The first 100 ms after the end of the pause are within the first two counts.
        assert!(counts[0] + counts[1] <= most, "{vms} VMs: {counts:?}");
        assert!(counts[..4].iter().sum::<usize>() > 0, "{vms} VMs: {counts:?}");
        assert!(counts[..5].iter().all(|count| *count <= 30), "{vms} VMs: {counts:?}");
    }
}
