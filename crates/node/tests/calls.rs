//! Whole sessions of calls through the core: whole answers, true outcomes.

mod world;

use node::{Input, call};
use world::{World, chat, desk, golden};

/// Time for a claim to be written and answered, in ms.
const CLAIM_MS: u64 = 200;

#[test]
fn a_draft_is_streamed_whole() {
    let mut world = World::ready();
    let call = world.arrive("mayors", chat(3));
    let attempt = world.begun()[0].attempt;
    world.event(attempt, engine::Event::Accepted);
    for seq in 0..3 {
        world.chunk(attempt, seq);
    }
    world.done(attempt, 3);
    assert_eq!(world.chunks(call), [0, 1, 2]);
    assert!(matches!(world.ending(call), Some(call::Ending::Done { chunks: 3, .. })));
    golden("draft", &world);
}

#[test]
fn late_doubled_and_crossed_chunks_do_not_reach_the_caller() {
    let mut world = World::ready();
    let first = world.arrive("mayors", chat(4));
    let second = world.arrive("hosts", chat(4));
    let attempts: Vec<_> = world.begun().iter().map(|begin| begin.attempt).collect();
    world.chunk(attempts[0], 0);
    world.chunk(attempts[0], 0);
    world.chunk(attempts[1], 0);
    world.chunk(ids::Attempt::new(99), 1);
    // Chunk 1 is missing: the stream has to be asked for again from there.
    world.chunk(attempts[0], 2);
    world.chunk(attempts[0], 1);
    assert_eq!(world.chunks(first), [0]);
    world.run(7_000);
    let again = world.begun()[2].clone();
    assert_eq!((again.call, again.resume_from, again.text.as_str()), (first, 1, "t0 "));
    for seq in 1..4 {
        world.chunk(again.attempt, seq);
        world.chunk(attempts[1], seq);
    }
    world.done(again.attempt, 4);
    world.done(attempts[1], 4);
    assert_eq!(world.chunks(first), [0, 1, 2, 3]);
    assert_eq!(world.chunks(second), [0, 1, 2, 3]);
    golden("crossed", &world);
}

#[test]
fn a_stream_that_ends_short_is_not_complete() {
    let mut world = World::ready();
    let call = world.arrive("mayors", chat(4));
    let attempt = world.begun()[0].attempt;
    world.chunk(attempt, 0);
    world.done(attempt, 4);
    assert_eq!(world.ending(call), None);
    world.run(7_000);
    assert_eq!(world.begun()[1].resume_from, 1);
}

#[test]
fn a_refusal_says_not_run_only_if_nothing_ran() {
    let mut world = World::ready();
    let refused = world.arrive("mayors", chat(4));
    let broken = world.arrive("mayors", chat(4));
    while world.ending(refused).is_none() || world.ending(broken).is_none() {
        for begin in world.begun() {
            let reason = "test".into();
            let event = if begin.call == refused {
                engine::Event::Refused { reason }
            } else {
                engine::Event::Broken { reason }
            };
            world.event(begin.attempt, event);
        }
        world.run(world.now + 100);
        assert!(world.now < 60_000, "the calls never ended");
    }
    let code = call::Code::TargetFailed;
    assert_eq!(world.failure(refused), Some((code, call::Outcome::NotRun)));
    assert_eq!(world.failure(broken), Some((code, call::Outcome::Unknown)));
}

#[test]
fn a_booking_runs_once_and_is_replayed() {
    let mut world = World::ready();
    let book = |world: &mut World| {
        let call = world.arrive_as("mayors", desk("POST", "/booking"), |arrival| {
            arrival.idempotency = Some("visit-1".into());
        });
        world.run(world.now + CLAIM_MS);
        call
    };
    let first = book(&mut world);
    let attempt = world.begun()[0].attempt;
    let body = bytes::Bytes::from_static(b"booked");
    world.event(attempt, engine::Event::Answer { status: 201, media: "text/plain".into(), body });
    world.run(world.now + CLAIM_MS);
    let second = book(&mut world);
    assert_eq!(world.begun().len(), 1);
    assert!(matches!(world.ending(first), Some(call::Ending::Answer { replayed: false, .. })));
    assert!(matches!(world.ending(second), Some(call::Ending::Answer { replayed: true, .. })));
    golden("booking", &world);
}

#[test]
fn a_booking_whose_answer_is_lost_is_unknown_for_ever() {
    let mut world = World::ready();
    let book = |world: &mut World| {
        let call = world.arrive_as("mayors", desk("POST", "/booking"), |arrival| {
            arrival.idempotency = Some("visit-1".into());
        });
        world.run(world.now + CLAIM_MS);
        call
    };
    let first = book(&mut world);
    let attempt = world.begun()[0].attempt;
    world.event(attempt, engine::Event::Broken { reason: "reset".into() });
    world.run(world.now + CLAIM_MS);
    let second = book(&mut world);
    let unknown = Some((call::Code::TargetFailed, call::Outcome::Unknown));
    assert_eq!((world.failure(first), world.failure(second)), (unknown, unknown));
    assert_eq!(world.begun().len(), 1);
}

#[test]
fn wrong_calls_get_clear_errors() {
    let mut world = World::ready();
    let model = |name: &str| call::Work::Chat {
        model: name.into(),
        adapter: None,
        prompt_tokens: 1,
        max_tokens: Some(1),
        prefix: 0,
    };
    let missing = world.arrive("", chat(1));
    let invalid = world.arrive("strangers", chat(1));
    let unknown = world.arrive("mayors", model("poem"));
    let keyless = world.arrive("mayors", desk("POST", "/booking"));
    let large = world.arrive("mayors", chat(1_000_000));
    let open = world.arrive("", desk("GET", "/hours"));
    let not_run = |code| Some((code, call::Outcome::NotRun));
    assert_eq!(world.failure(missing), not_run(call::Code::MissingKey));
    assert_eq!(world.failure(invalid), not_run(call::Code::InvalidKey));
    assert_eq!(world.failure(unknown), not_run(call::Code::UnknownModel));
    assert_eq!(world.failure(keyless), not_run(call::Code::MissingIdempotencyKey));
    assert_eq!(world.failure(large), not_run(call::Code::TooLarge));
    assert_eq!(world.begun()[0].call, open);
}

#[test]
fn a_caller_that_comes_back_gets_the_rest() {
    let mut world = World::ready();
    let call = world.arrive("mayors", chat(4));
    let begin = world.begun()[0].clone();
    world.event(begin.attempt, engine::Event::Accepted);
    world.chunk(begin.attempt, 0);
    world.chunk(begin.attempt, 1);
    world.input(Input::Gone { call });
    world.chunk(begin.attempt, 2);
    let stream = "vm-1.1.1";
    let resume = |from| call::Resume { stream: stream.into(), from, text: "".into() };
    let thief = world.arrive_as("hosts", chat(4), |arrival| arrival.resume = Some(resume(1)));
    let back = world.arrive_as("mayors", chat(4), |arrival| arrival.resume = Some(resume(1)));
    world.chunk(begin.attempt, 3);
    world.done(begin.attempt, 4);
    assert_eq!(world.chunks(back), [1, 2, 3]);
    assert!(matches!(world.ending(back), Some(call::Ending::Done { .. })));
    // The other account gets a call of its own, under another name at the target.
    assert_eq!(world.chunks(thief), [0_u64; 0]);
    let own = world.begun().into_iter().find(|begin| begin.call == thief).unwrap();
    assert_ne!(own.stream, begin.stream);
    golden("resumed", &world);
}

#[test]
fn a_planned_stop_waits_for_the_open_calls() {
    let mut world = World::ready();
    let call = world.arrive("mayors", chat(2));
    let attempt = world.begun()[0].attempt;
    world.input(Input::Stop);
    let during = world.arrive("mayors", chat(1));
    world.run(world.now + 10_000);
    let is_stopped = |world: &World| world.outputs.contains(&node::Output::Stopped);
    assert!(!is_stopped(&world));
    let after = world.arrive("mayors", chat(1));
    assert_eq!(world.failure(after), Some((call::Code::Stopping, call::Outcome::NotRun)));
    let second = world.begun().into_iter().find(|begin| begin.call == during).unwrap();
    world.chunk(attempt, 0);
    world.chunk(attempt, 1);
    world.done(attempt, 2);
    world.chunk(second.attempt, 0);
    world.done(second.attempt, 1);
    assert_eq!(world.chunks(call), [0, 1]);
    world.run(world.now + 10_000);
    assert!(is_stopped(&world));
}

#[test]
fn a_withdrawn_key_is_refused_in_the_queue_and_on_resume() {
    let mut world = World::ready();
    let open = world.arrive("mayors", chat(2));
    let begin = world.begun()[0].clone();
    world.event(begin.attempt, engine::Event::Accepted);
    // The runners are full, so this call waits.
    let others: Vec<_> = (0..40).map(|_| world.arrive("hosts", chat(1))).collect();
    let waiting = world.arrive("mayors", chat(1));
    assert!(!world.begun().iter().any(|begin| begin.call == waiting));
    let change = bundle::amend::Change::Withdraw("mayors".into());
    let request = node::operator::Request::Amend(change);
    world.input(Input::Operator { op: ids::Op::new(9), request });
    world.run(world.now + 500);
    let refused = Some((call::Code::InvalidKey, call::Outcome::NotRun));
    assert_eq!(world.failure(waiting), refused);
    let resume = call::Resume { stream: "vm-1.1.1".into(), from: 0, text: "".into() };
    let back = world.arrive_as("mayors", chat(2), |arrival| arrival.resume = Some(resume));
    assert_eq!(world.failure(back), refused);
    assert_eq!(world.ending(others[0]), None);
    // The bundle says that open drafts are completed.
    world.chunk(begin.attempt, 0);
    world.chunk(begin.attempt, 1);
    world.done(begin.attempt, 2);
    assert_eq!(world.chunks(open), [0, 1]);
}

#[test]
fn a_node_that_was_frozen_sends_nothing_before_it_has_looked() {
    let mut world = World::ready();
    world.is_store_out = true;
    // A pause of the process: no step in between, then a call at once.
    world.now += 10_000;
    let late = world.arrive("mayors", chat(1));
    assert_eq!(world.failure(late), Some((call::Code::Fenced, call::Outcome::NotRun)));
    assert!(world.begun().is_empty());
    world.is_store_out = false;
    world.run(world.now + 2_000);
    let call = world.arrive("mayors", chat(1));
    assert_eq!(world.begun()[0].call, call);
}

#[test]
fn a_call_outlasts_the_time_until_another_copy_is_known() {
    let mut world = World::ready();
    world.is_second_empty = true;
    world.run(world.now + 3_000);
    let call = world.arrive("mayors", chat(2));
    let from = world.begun().len() - 1;
    let until = world.now + 8_000;
    world.is_second_empty = false;
    let mut seen = from;
    while world.now < until && world.ending(call).is_none() {
        for begin in world.begun().split_off(seen) {
            seen += 1;
            if begin.target.as_str() == "runner-1" {
                world.event(begin.attempt, engine::Event::Broken { reason: "dead".into() });
            } else {
                world.chunk(begin.attempt, 0);
                world.chunk(begin.attempt, 1);
                world.done(begin.attempt, 2);
            }
        }
        world.run(world.now + 20);
    }
    assert_eq!(world.chunks(call), [0, 1], "{:?}", world.ending(call));
}

#[test]
fn a_stream_begun_by_another_vm_is_asked_of_the_runner_that_holds_it() {
    for runner in ["runner-1", "runner-2"] {
        let mut world = World::ready();
        let stream = format!("vm-9.7.3@{runner}").into();
        let resume = call::Resume { stream, from: 1, text: "".into() };
        let call = world.arrive_as("mayors", chat(4), |arrival| arrival.resume = Some(resume));
        let begin = world.begun()[0].clone();
        assert_eq!((begin.call, begin.target.as_str(), begin.resume_from), (call, runner, 1));
    }
}

#[test]
fn the_name_of_a_stream_says_which_runner_holds_it() {
    let mut world = World::ready();
    world.arrive("mayors", chat(4));
    let begin = world.begun()[0].clone();
    world.event(begin.attempt, engine::Event::Accepted);
    let name = world.outputs.iter().find_map(|output| match output {
        node::Output::Accepted { stream, .. } => Some(stream.to_string()),
        _ => None,
    });
    assert_eq!(name, Some(format!("vm-1.1.1@{}", begin.target)));
}

#[test]
fn a_booking_whose_caller_left_while_it_waited_is_not_run() {
    let mut world = World::ready();
    let others: Vec<_> = (0..20).map(|_| world.arrive("hosts", desk("GET", "/lookup/1"))).collect();
    let book = |world: &mut World| {
        let call = world.arrive_as("mayors", desk("POST", "/booking"), |arrival| {
            arrival.idempotency = Some("visit-1".into());
        });
        world.run(world.now + CLAIM_MS);
        call
    };
    let left = book(&mut world);
    assert!(world.begun().iter().all(|begin| begin.call != left), "the desk has room left");
    world.input(Input::Gone { call: left });
    world.run(world.now + CLAIM_MS);
    for begin in world.begun() {
        let body = bytes::Bytes::from_static(b"found");
        let media = "text/plain".into();
        world.event(begin.attempt, engine::Event::Answer { status: 200, media, body });
    }
    assert!(others.iter().any(|call| world.ending(*call).is_some()));
    assert!(world.begun().iter().all(|begin| begin.call != left), "a call that nobody awaits ran");
    // Its key is free again.
    let again = book(&mut world);
    assert!(world.begun().iter().any(|begin| begin.call == again));
}

#[test]
fn a_booking_does_not_wait_for_a_tick_while_the_store_is_idle() {
    let mut world = World::ready();
    // Just after a tick.
    world.run(world.now + 2);
    let call = world.arrive_as("mayors", desk("POST", "/booking"), |arrival| {
        arrival.idempotency = Some("visit-1".into());
    });
    // The store answers after 2 ms.
    world.run(world.now + 2);
    let begin = world.begun().into_iter().find(|begin| begin.call == call);
    let attempt = begin.expect("the booking waits for its claim").attempt;
    let body = bytes::Bytes::from_static(b"booked");
    world.event(attempt, engine::Event::Answer { status: 201, media: "text/plain".into(), body });
    world.run(world.now + 2);
    assert!(world.ending(call).is_some(), "the answer waits to be stored");
}
