//! Tests of calls: admission, selection of targets, retries and refusals.

mod world;

use std::time;

use relay::{
    Input, config,
    input::{self, Event},
    shutdown,
};
use world::{World, configuration, desk, draft, envelope, runner};

/// Time from the stop signal until the platform kills the VM.
const GRACE: time::Duration = time::Duration::from_secs(8);

fn connection_reset() -> Event {
    Event::Broken { reason: "reset".into(), last_event: None }
}

const fn refused(status: u16) -> Event {
    Event::Refused { status, retry_after: None }
}

/// Other VMs, which never send messages.
fn silent_peers(count: usize) -> Vec<member::Member> {
    let other = |number| relay::Settings::new(&format!("other-{number}"), "north", 1);
    (0..count).map(|number| other(number).with_peer("127.0.0.1:9").member()).collect()
}

#[test]
fn the_longest_prefix_of_the_host_selects_the_route() {
    let mut world = World::new(vec![runner("r-1", &["alpha"]), desk("d-1")]);
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    assert_eq!(seen.begun[0].target, "d-1".into());
    let (_, seen) = world.arrive(envelope("book/inner", Some("key-2")));
    assert_eq!(seen.begun[0].target, "r-1".into());
    let (_, seen) = world.arrive(envelope("nothing", Some("key-2")));
    assert_eq!((seen.refused[0].1, seen.refused[0].2), (404, "no route"));
    let other = relay::envelope::Envelope {
        host: "other.example".into(),
        ..envelope("book", Some("key-2"))
    };
    assert_eq!(world.arrive(other).1.refused[0].1, 404);
    let upper = relay::envelope::Envelope {
        host: "TRIPS.example".into(),
        ..envelope("book", Some("key-2"))
    };
    assert_eq!(world.arrive(upper).1.begun.len(), 1);
}

#[test]
fn calls_without_a_configuration_get_a_retryable_refusal() {
    let mut world = World::empty();
    // Calls are held during startup and refused afterwards, but never with 404.
    let (_, seen) = world.arrive(envelope("nothing", None));
    assert_eq!(seen.refused, []);
    world.pass(600);
    let (_, seen) = world.arrive(envelope("nothing", None));
    assert_eq!(seen.refused.len(), 2);
    assert!(seen.refused.iter().all(|refused| refused.1 == 503 && refused.3.is_some()));
    assert!(seen.refused[0].3.is_some(), "the caller is told when to come back");
}

#[test]
fn an_unknown_key_is_refused_and_a_public_route_needs_none() {
    let mut world = World::new(vec![desk("d-1")]);
    assert_eq!(world.arrive(envelope("book", None)).1.refused[0].1, 401);
    assert_eq!(world.arrive(envelope("book", Some("stranger"))).1.refused[0].1, 401);
    let mut config = configuration(2);
    let mut public = world::route("book", config::Repeat::Never, "desk");
    public.public = true;
    config.routes = vec![std::sync::Arc::new(public)];
    world.configure(config);
    let (_, seen) = world.arrive(envelope("book", None));
    assert_eq!(seen.begun[0].account, None);
}

#[test]
fn a_withdrawn_key_ends_waiting_calls_too() {
    let mut world = World::new(Vec::new());
    world.pass(60_000);
    let (call, seen) = world.arrive(envelope("book", Some("key-1")));
    assert!(seen.begun.is_empty());
    let mut config = configuration(2);
    config.keys.remove("key-1");
    let seen = world.configure(config);
    assert_eq!(seen.refused, [(call, 401, "unknown key", None)]);
}

#[test]
fn an_older_configuration_never_comes_back() {
    let mut world = World::new(vec![desk("d-1")]);
    let mut newer = configuration(5);
    newer.keys.remove("key-1");
    world.configure(newer);
    world.configure(configuration(4));
    assert_eq!(world.arrive(envelope("book", Some("key-1"))).1.refused[0].1, 401);
    assert_eq!(world.relay.version(), ids::Version::new(5));
}

#[test]
fn a_call_that_may_have_run_is_not_retried_unless_idempotent() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    let (call, seen) = world.arrive(envelope("book", Some("key-2")));
    let seen = world.event(seen.begun[0].attempt, connection_reset());
    assert!(seen.begun.is_empty());
    assert_eq!(seen.failed, [(call, 502, "broken off by target")]);
    assert!(seen.refused.is_empty(), "it is not told that it has not run");
}

#[test]
fn a_refused_call_is_retried_at_another_target() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    let first = &seen.begun[0];
    let seen = world.event(first.attempt, refused(503));
    assert_ne!(seen.begun[0].target, first.target);
    // The route allows two attempts; then the call is refused, as it has not run.
    let seen = world.event(seen.begun[0].attempt, refused(503));
    assert_eq!(seen.refused[0].1, 503);
    assert!(seen.refused[0].3.is_some());
}

#[test]
fn an_idempotent_call_is_retried_up_to_its_attempt_limit() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2"), desk("d-3")]);
    let (call, seen) = world.arrive(envelope("lookup", Some("key-2")));
    let seen = world.event(seen.begun[0].attempt, Event::Failure { status: 500 });
    assert_eq!(seen.begun.len(), 1);
    let seen = world.event(seen.begun[0].attempt, Event::Failure { status: 500 });
    assert_eq!((seen.begun.len(), seen.delivered), (0, vec![call]));
}

#[test]
fn a_call_that_may_have_run_fails_instead_of_being_refused() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    let (call, seen) = world.arrive(envelope("lookup", Some("key-2")));
    let seen = world.event(seen.begun[0].attempt, connection_reset());
    let seen = world.event(seen.begun[0].attempt, refused(503));
    assert!(seen.refused.is_empty());
    assert_eq!(seen.failed[0].0, call);
}

#[test]
fn an_unreached_target_does_not_count_as_an_attempt() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2"), desk("d-3")]);
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    let unsent = || Event::Unsent { reason: "refused".into() };
    let seen = world.event(seen.begun[0].attempt, unsent());
    let seen = world.event(seen.begun[0].attempt, unsent());
    assert_eq!(seen.begun.len(), 1, "two were not reached, the third gets it");
}

#[test]
fn retries_stay_within_the_budget_of_the_fleet() {
    let mut world = World::new((0..9).map(|n| desk(&format!("d-{n}"))).collect());
    let mut retries = 0;
    for _ in 0..200 {
        let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
        let mut attempt = seen.begun[0].attempt;
        loop {
            let seen = world.event(attempt, Event::Failure { status: 500 });
            let Some(begun) = seen.begun.first() else {
                break;
            };
            retries += 1;
            attempt = begun.attempt;
        }
    }
    // All VMs together may retry a fifth of the calls, plus a slack of 50.
    assert!((20..=90).contains(&retries), "{retries} retries");
}

#[test]
fn a_late_membership_update_reduces_the_retry_budget() {
    let mut world = World::new((0..9).map(|n| desk(&format!("d-{n}"))).collect());
    world.step([world::members(silent_peers(35))]);
    world.pass(1_000);
    let mut retries = 0;
    for _ in 0..10 {
        let (_, seen) = world.arrive(envelope("lookup", Some("key-2")));
        let mut attempt = seen.begun[0].attempt;
        while let Some(begun) =
            world.event(attempt, Event::Failure { status: 500 }).begun.first().cloned()
        {
            retries += 1;
            attempt = begun.attempt;
        }
    }
    // A fifth of ten calls, plus a 36th of the slack of 50.
    assert!((1..=4).contains(&retries), "{retries} retries");
}

#[test]
fn a_broken_resumable_stream_resumes_after_its_last_event() {
    let mut world = World::new(vec![runner("r-1", &["alpha"]), runner("r-2", &["alpha"])]);
    let (_, seen) = world.arrive(draft("courtesy", "alpha", 100));
    let first = seen.begun[0].clone();
    world.event(first.attempt, Event::Began);
    world.event(first.attempt, Event::First);
    let event = Event::Broken { reason: "reset".into(), last_event: Some(7) };
    let seen = world.event(first.attempt, event);
    assert_eq!(seen.begun[0].resume_after, Some(7));
    assert_ne!(seen.begun[0].target, first.target);
}

#[test]
fn a_broken_stream_that_is_not_resumable_fails() {
    let mut world = World::new(vec![runner("r-1", &["alpha"]), runner("r-2", &["alpha"])]);
    let (call, seen) = world.arrive(draft("draft", "alpha", 100));
    let first = seen.begun[0].clone();
    world.event(first.attempt, Event::Began);
    let event = Event::Broken { reason: "reset".into(), last_event: Some(7) };
    let seen = world.event(first.attempt, event);
    assert_eq!((seen.begun.len(), seen.failed[0].0), (0, call));
}

#[test]
fn a_call_times_out_at_its_deadline() {
    let mut world = World::new(vec![desk("d-1")]);
    let (call, seen) = world.arrive(envelope("book", Some("key-2")));
    assert_eq!(seen.begun.len(), 1);
    let seen = world.wait(4_980);
    assert!(seen.failed.is_empty());
    let seen = world.wait(60);
    assert_eq!(seen.failed, [(call, 504, "out of time")]);
    // A late answer of the target has no effect.
    let seen = world.event(ids::Attempt::new(1), Event::Ended(input::Summary::default()));
    assert!(seen.failed.is_empty());
}

#[test]
fn a_call_without_a_free_target_is_refused_before_its_deadline() {
    let mut world = World::new(Vec::new());
    let (call, _) = world.arrive(envelope("book", Some("key-2")));
    let seen = world.wait(5_000);
    assert_eq!((seen.refused[0].0, seen.refused[0].1), (call, 503));
    assert_eq!(seen.refused[0].2, "no room in time");
}

#[test]
fn a_call_for_a_model_that_cannot_be_loaded_in_time_is_refused_at_once() {
    let mut world = World::new(vec![runner("r-1", &["alpha"])]);
    let (_, seen) = world.arrive(draft("draft", "beta", 100));
    assert_eq!(seen.refused[0].2, "model not loaded");
    assert!(seen.refused[0].3.is_some_and(|wait| wait >= time::Duration::from_secs(1)));
}

#[test]
fn a_runner_that_reports_a_missing_model_is_avoided() {
    let mut world = World::new(vec![runner("r-1", &["alpha"]), runner("r-2", &["alpha"])]);
    let (_, seen) = world.arrive(draft("draft", "alpha", 100));
    let first = seen.begun[0].clone();
    world.event(first.attempt, refused(421));
    for _ in 0..3 {
        let (_, seen) = world.arrive(draft("draft", "alpha", 100));
        assert_ne!(seen.begun[0].target, first.target);
    }
}

#[test]
fn a_leaving_target_gets_no_new_calls() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    let leaving = relay::target::Entry { is_leaving: true, ..desk("d-1") };
    world.targets(vec![leaving, desk("d-2")]);
    for _ in 0..4 {
        assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun[0].target, "d-2".into());
    }
}

#[test]
fn a_missing_target_is_kept_for_a_grace_period_after_a_store_outage() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([Input::Store { is_up: false }]);
    world.pass(3_000);
    world.step([Input::Store { is_up: true }]);
    world.targets(Vec::new());
    assert_eq!(world.arrive(envelope("book", Some("key-2"))).1.begun.len(), 1);
    world.wait(3_000);
    assert_eq!(
        world.arrive(envelope("book", Some("key-2"))).1.begun.len(),
        0,
        "it is taken as gone"
    );
}

#[test]
fn a_second_outage_does_not_extend_the_grace_period() {
    let mut world = World::new(vec![desk("d-1")]);
    for is_up in [false, true] {
        world.step([Input::Store { is_up }]);
    }
    world.targets(Vec::new());
    world.wait(1_600);
    for is_up in [false, true] {
        world.step([Input::Store { is_up }]);
    }
    world.wait(1_000);
    assert!(world.arrive(envelope("book", Some("key-2"))).1.begun.is_empty());
}

#[test]
fn without_an_outage_a_missing_target_is_removed_at_once() {
    let mut world = World::new(vec![desk("d-1")]);
    world.targets(Vec::new());
    assert!(world.arrive(envelope("book", Some("key-2"))).1.begun.is_empty());
}

#[test]
fn an_unresponsive_target_is_avoided_within_two_seconds() {
    let mut world = World::new(vec![desk("d-1"), desk("d-2")]);
    // Two calls are open at one of them, which never answers.
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    let silent = seen.begun[0].target.clone();
    let mut elsewhere = 0;
    world.wait(2_000);
    for _ in 0..6 {
        let (_, seen) = world.arrive(envelope("book", Some("key-2")));
        let begun = seen.begun[0].clone();
        if begun.target == silent {
            continue;
        }
        elsewhere += 1;
        world.event(begun.attempt, Event::Ended(input::Summary::default()));
    }
    assert_eq!(elsewhere, 6);
}

#[test]
fn queued_calls_are_served_in_order_of_class() {
    let mut world = World::new(Vec::new());
    let mut config = configuration(2);
    let mut courtesy = world::route("courtesy", config::Repeat::Resumable, "writers");
    courtesy.priority = 2;
    config.routes.retain(|route| &*route.name != "courtesy");
    config.routes.push(std::sync::Arc::new(courtesy));
    world.configure(config);
    world.targets(vec![runner("r-1", &["alpha"])]);
    let sent: Vec<_> =
        (0..4).map(|_| world.arrive(draft("courtesy", "alpha", 100)).1.begun[0].attempt).collect();
    let (waits, seen) = world.arrive(draft("courtesy", "alpha", 100));
    assert!(seen.begun.is_empty(), "the runner has four slots");
    let (paid, seen) = world.arrive(draft("draft", "alpha", 100));
    assert!(seen.begun.is_empty());
    assert_eq!(world.event(sent[0], Event::Ended(input::Summary::default())).begun[0].call, paid);
    assert_eq!(world.event(sent[1], Event::Ended(input::Summary::default())).begun[0].call, waits);
}

#[test]
fn readiness_requires_configuration_and_targets() {
    let mut fresh = relay::Relay::new(relay::Settings::new("vm-1", "north", 1));
    let mut outputs = Vec::new();
    fresh.step(ids::Time::from_millis(100), [], &mut outputs);
    assert!(outputs.contains(&relay::Output::Ready(false)));
    let mut world = World::empty();
    assert!(world.step([]).ready.is_empty());
    assert!(world.configure(configuration(1)).ready.is_empty());
    assert_eq!(world.targets(vec![desk("d-1")]).ready, [true]);
}

#[test]
fn shutdown_finishes_open_calls_and_refuses_late_ones() {
    let mut world = World::new(vec![desk("d-1")]);
    let (_, open) = world.arrive(envelope("book", Some("key-2")));
    let seen = world.step([Input::Stop(shutdown::Schedule::new(GRACE))]);
    assert_eq!(seen.ready, [false]);
    // The load balancer takes two seconds to notice, so calls are still served.
    world.wait(1_000);
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    world.event(seen.begun[0].attempt, Event::Ended(input::Summary::default()));
    let seen = world.wait(2_500);
    assert!(!seen.stopped, "one call is open");
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    assert_eq!((seen.refused[0].1, seen.refused[0].2), (503, "stopping"));
    world.event(open.begun[0].attempt, Event::Ended(input::Summary::default()));
    assert!(world.wait(40).stopped);
}

/// Guards against calls that are accepted until the next tick (LOST).
#[test]
fn calls_are_refused_at_once_when_the_drain_period_is_over() {
    let mut world = World::new(vec![desk("d-1")]);
    let schedule = shutdown::Schedule::new(GRACE);
    world.step([Input::Stop(schedule)]);
    world.now = world.now + schedule.drained_after;
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    assert_eq!((seen.begun.len(), seen.refused.len()), (0, 1));
}

#[test]
fn calls_still_open_before_the_kill_are_failed() {
    let mut world = World::new(vec![runner("r-1", &["alpha"])]);
    let mut config = configuration(2);
    let mut long = world::route("draft", config::Repeat::Stream, "writers");
    long.timeout = time::Duration::from_mins(1);
    config.routes = vec![std::sync::Arc::new(long)];
    world.configure(config);
    let mut request = draft("draft", "alpha", 100);
    request.timeout = None;
    let (call, _) = world.arrive(request);
    world.step([Input::Stop(shutdown::Schedule::new(GRACE))]);
    let seen = world.wait(7_500);
    assert_eq!(seen.failed, [(call, 502, "stopping")]);
    assert!(seen.stopped);
}

#[test]
fn a_disconnected_caller_leaves_no_load_behind() {
    let mut world = World::new(vec![runner("r-1", &["alpha"])]);
    for _ in 0..20 {
        let (call, seen) = world.arrive(draft("draft", "alpha", 100));
        assert_eq!(seen.begun.len(), 1);
        world.step([Input::Closed { call }]);
    }
    assert_eq!(world.relay.open_calls(), 0);
}

#[test]
fn a_starting_vm_holds_calls_until_configuration_and_targets_are_known() {
    let mut world = World::empty();
    let (call, seen) = world.arrive(envelope("book", Some("key-2")));
    assert_eq!(seen.refused, [], "it is known in a few ms");
    world.pass(15);
    world.configure(configuration(1));
    let seen = world.targets(vec![desk("d-1")]);
    assert_eq!(seen.begun.iter().map(|begun| begun.call).collect::<Vec<_>>(), [call]);
}

#[test]
fn held_calls_are_refused_when_startup_takes_too_long() {
    let mut world = World::empty();
    let (call, _) = world.arrive(envelope("book", Some("key-2")));
    let (left, _) = world.arrive(envelope("book", Some("key-2")));
    world.step([Input::Closed { call: left }]);
    let seen = world.wait(600);
    assert_eq!(seen.refused.iter().map(|refused| refused.0).collect::<Vec<_>>(), [call]);
    assert_eq!(seen.refused[0].2, "no configuration");
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    assert_eq!(seen.refused.len(), 1, "from then on, at once");
}

#[test]
fn calls_held_at_the_start_wait_until_the_other_vms_are_known() {
    let mut world = World::unknown();
    world.configure(configuration(1));
    world.targets(vec![desk("d-1")]);
    let mut request = envelope("book", Some("key-1"));
    request.work = None;
    let (call, seen) = world.arrive(request);
    assert_eq!(seen.refused, [], "its account's share is not known yet");
    world.pass(40);
    let mut seen = world.step([world::members(vec![World::member()])]);
    seen.extend(world.wait(100));
    assert_eq!(seen.begun.iter().map(|begun| begun.call).collect::<Vec<_>>(), [call]);
}

#[test]
fn a_restarted_fleet_does_not_overfill_a_service() {
    let mut world = World::unknown();
    world.configure(configuration(1));
    world.targets(vec![desk("d-1"), desk("d-2")]);
    world.step([world::members(silent_peers(35))]);
    let mut begun = 0;
    for _ in 0..10 {
        begun += world.arrive(envelope("book", Some("key-2"))).1.begun.len();
    }
    begun += world.wait(500).begun.len();
    assert_eq!(begun, 2, "one at each instance, for the others hold as many calls");
    begun += world.wait(1_000).begun.len();
    assert_eq!(begun, 10, "by now, the others have told what they send");
}

#[test]
fn a_stopped_vm_refuses_calls() {
    let mut world = World::new(vec![desk("d-1")]);
    world.step([Input::Stop(shutdown::Schedule::new(GRACE))]);
    let mut stopped = false;
    for _ in 0..250 {
        stopped |= world.wait(20).stopped;
    }
    assert!(stopped, "without calls, it ends");
    // Open connections may deliver calls until the process exits.
    let (_, seen) = world.arrive(envelope("book", Some("key-2")));
    assert!(seen.begun.is_empty());
    assert_eq!((seen.refused[0].1, seen.refused[0].2), (503, "stopping"));
}
