//! Sessions of calls through the core: complete answers and correct outcomes.

mod harness;

use harness::{Harness, assert_golden, chat, desk};
use node::{Input, call};

/// Time for a claim to be written and answered, in ms.
const CLAIM_MS: u64 = 200;

#[test]
fn stream_delivers_all_chunks() {
    let mut harness = Harness::ready();
    let call = harness.arrive("mayors", chat(3));
    let attempt = harness.sent_attempts()[0].attempt;
    harness.event(attempt, engine::Event::Accepted);
    for seq in 0..3 {
        harness.chunk(attempt, seq);
    }
    harness.done(attempt, 3);
    assert_eq!(harness.chunks(call), [0, 1, 2]);
    assert!(matches!(harness.ending(call), Some(call::Ending::Done { chunks: 3, .. })));
    assert_golden("draft", &harness);
}

#[test]
fn late_duplicate_and_foreign_chunks_are_dropped() {
    let mut harness = Harness::ready();
    let first = harness.arrive("mayors", chat(4));
    let second = harness.arrive("hosts", chat(4));
    let attempts: Vec<_> = harness.sent_attempts().iter().map(|begin| begin.attempt).collect();
    harness.chunk(attempts[0], 0);
    harness.chunk(attempts[0], 0);
    harness.chunk(attempts[1], 0);
    harness.chunk(ids::Attempt::new(99), 1);
    // Chunk 1 is missing, so the stream has to be resumed from there.
    harness.chunk(attempts[0], 2);
    harness.chunk(attempts[0], 1);
    assert_eq!(harness.chunks(first), [0]);
    harness.run(7_000);
    let again = harness.sent_attempts()[2].clone();
    assert_eq!((again.call, again.resume_from, again.text.as_str()), (first, 1, "t0 "));
    for seq in 1..4 {
        harness.chunk(again.attempt, seq);
        harness.chunk(attempts[1], seq);
    }
    harness.done(again.attempt, 4);
    harness.done(attempts[1], 4);
    assert_eq!(harness.chunks(first), [0, 1, 2, 3]);
    assert_eq!(harness.chunks(second), [0, 1, 2, 3]);
    assert_golden("crossed", &harness);
}

#[test]
fn truncated_stream_is_resumed_after_the_last_chunk() {
    let mut harness = Harness::ready();
    let call = harness.arrive("mayors", chat(4));
    let attempt = harness.sent_attempts()[0].attempt;
    harness.chunk(attempt, 0);
    harness.done(attempt, 4);
    assert_eq!(harness.ending(call), None);
    harness.run(7_000);
    assert_eq!(harness.sent_attempts()[1].resume_from, 1);
}

#[test]
fn failure_is_not_run_only_if_no_attempt_ran() {
    let mut harness = Harness::ready();
    let refused = harness.arrive("mayors", chat(4));
    let broken = harness.arrive("mayors", chat(4));
    while harness.ending(refused).is_none() || harness.ending(broken).is_none() {
        for begin in harness.sent_attempts() {
            let reason = "test".into();
            let event = if begin.call == refused {
                engine::Event::Refused { reason }
            } else {
                engine::Event::Broken { reason }
            };
            harness.event(begin.attempt, event);
        }
        harness.run(harness.now + 100);
        assert!(harness.now < 60_000, "the calls did not end");
    }
    let code = call::Code::TargetFailed;
    assert_eq!(harness.failure(refused), Some((code, call::Outcome::NotRun)));
    assert_eq!(harness.failure(broken), Some((code, call::Outcome::Unknown)));
}

#[test]
fn repeated_idempotency_key_replays_the_answer() {
    let mut harness = Harness::ready();
    let send_booking = |harness: &mut Harness| {
        let call = harness.arrive_with("mayors", desk("POST", "/booking"), |arrival| {
            arrival.idempotency = Some("visit-1".into());
        });
        harness.run(harness.now + CLAIM_MS);
        call
    };
    let first = send_booking(&mut harness);
    let attempt = harness.sent_attempts()[0].attempt;
    let body = bytes::Bytes::from_static(b"booked");
    harness.event(attempt, engine::Event::Answer { status: 201, media: "text/plain".into(), body });
    harness.run(harness.now + CLAIM_MS);
    let second = send_booking(&mut harness);
    assert_eq!(harness.sent_attempts().len(), 1);
    assert!(matches!(harness.ending(first), Some(call::Ending::Answer { replayed: false, .. })));
    assert!(matches!(harness.ending(second), Some(call::Ending::Answer { replayed: true, .. })));
    assert_golden("booking", &harness);
}

#[test]
fn lost_answer_stays_unknown_for_its_idempotency_key() {
    let mut harness = Harness::ready();
    let send_booking = |harness: &mut Harness| {
        let call = harness.arrive_with("mayors", desk("POST", "/booking"), |arrival| {
            arrival.idempotency = Some("visit-1".into());
        });
        harness.run(harness.now + CLAIM_MS);
        call
    };
    let first = send_booking(&mut harness);
    let attempt = harness.sent_attempts()[0].attempt;
    harness.event(attempt, engine::Event::Broken { reason: "reset".into() });
    harness.run(harness.now + CLAIM_MS);
    let second = send_booking(&mut harness);
    let unknown = Some((call::Code::TargetFailed, call::Outcome::Unknown));
    assert_eq!((harness.failure(first), harness.failure(second)), (unknown, unknown));
    assert_eq!(harness.sent_attempts().len(), 1);
}

#[test]
fn invalid_calls_get_specific_error_codes() {
    let mut harness = Harness::ready();
    let model = |name: &str| call::Work::Chat {
        model: name.into(),
        adapter: None,
        prompt_tokens: 1,
        max_tokens: Some(1),
        prefix: 0,
    };
    let missing = harness.arrive("", chat(1));
    let invalid = harness.arrive("strangers", chat(1));
    let unknown = harness.arrive("mayors", model("poem"));
    let keyless = harness.arrive("mayors", desk("POST", "/booking"));
    let large = harness.arrive("mayors", chat(1_000_000));
    let open = harness.arrive("", desk("GET", "/hours"));
    let not_run = |code| Some((code, call::Outcome::NotRun));
    assert_eq!(harness.failure(missing), not_run(call::Code::MissingKey));
    assert_eq!(harness.failure(invalid), not_run(call::Code::InvalidKey));
    assert_eq!(harness.failure(unknown), not_run(call::Code::UnknownModel));
    assert_eq!(harness.failure(keyless), not_run(call::Code::MissingIdempotencyKey));
    assert_eq!(harness.failure(large), not_run(call::Code::TooLarge));
    assert_eq!(harness.sent_attempts()[0].call, open);
}

#[test]
fn resumed_stream_delivers_the_remaining_chunks() {
    let mut harness = Harness::ready();
    let call = harness.arrive("mayors", chat(4));
    let begin = harness.sent_attempts()[0].clone();
    harness.event(begin.attempt, engine::Event::Accepted);
    harness.chunk(begin.attempt, 0);
    harness.chunk(begin.attempt, 1);
    harness.input(Input::Gone { call });
    harness.chunk(begin.attempt, 2);
    let stream = "vm-1.1.1";
    let resume = |from| call::Resume { stream: stream.into(), from, text: "".into() };
    let other_account =
        harness.arrive_with("hosts", chat(4), |arrival| arrival.resume = Some(resume(1)));
    let resumed =
        harness.arrive_with("mayors", chat(4), |arrival| arrival.resume = Some(resume(1)));
    harness.chunk(begin.attempt, 3);
    harness.done(begin.attempt, 4);
    assert_eq!(harness.chunks(resumed), [1, 2, 3]);
    assert!(matches!(harness.ending(resumed), Some(call::Ending::Done { .. })));
    // The other account gets a new call with another stream name at the target.
    assert_eq!(harness.chunks(other_account), [0_u64; 0]);
    let own =
        harness.sent_attempts().into_iter().find(|begin| begin.call == other_account).unwrap();
    assert_ne!(own.stream, begin.stream);
    assert_golden("resumed", &harness);
}

#[test]
fn graceful_stop_waits_for_open_calls() {
    let mut harness = Harness::ready();
    let call = harness.arrive("mayors", chat(2));
    let attempt = harness.sent_attempts()[0].attempt;
    harness.input(Input::Stop);
    let during = harness.arrive("mayors", chat(1));
    harness.run(harness.now + 10_000);
    let is_stopped = |harness: &Harness| harness.outputs.contains(&node::Output::Stopped);
    assert!(!is_stopped(&harness));
    let after = harness.arrive("mayors", chat(1));
    assert_eq!(harness.failure(after), Some((call::Code::Stopping, call::Outcome::NotRun)));
    let second = harness.sent_attempts().into_iter().find(|begin| begin.call == during).unwrap();
    harness.chunk(attempt, 0);
    harness.chunk(attempt, 1);
    harness.done(attempt, 2);
    harness.chunk(second.attempt, 0);
    harness.done(second.attempt, 1);
    assert_eq!(harness.chunks(call), [0, 1]);
    harness.run(harness.now + 10_000);
    assert!(is_stopped(&harness));
}

#[test]
fn withdrawn_key_is_refused_in_the_queue_and_on_resume() {
    let mut harness = Harness::ready();
    let open = harness.arrive("mayors", chat(2));
    let begin = harness.sent_attempts()[0].clone();
    harness.event(begin.attempt, engine::Event::Accepted);
    // The runners are full, so this call stays in the queue.
    let others: Vec<_> = (0..40).map(|_| harness.arrive("hosts", chat(1))).collect();
    let waiting = harness.arrive("mayors", chat(1));
    assert!(!harness.sent_attempts().iter().any(|begin| begin.call == waiting));
    let change = bundle::amend::Change::Withdraw("mayors".into());
    let request = node::operator::Request::Amend(change);
    harness.input(Input::Operator { op: ids::Op::new(9), request });
    harness.run(harness.now + 500);
    let refused = Some((call::Code::InvalidKey, call::Outcome::NotRun));
    assert_eq!(harness.failure(waiting), refused);
    let resume = call::Resume { stream: "vm-1.1.1".into(), from: 0, text: "".into() };
    let resumed = harness.arrive_with("mayors", chat(2), |arrival| arrival.resume = Some(resume));
    assert_eq!(harness.failure(resumed), refused);
    assert_eq!(harness.ending(others[0]), None);
    // The bundle configures that open streams are completed.
    harness.chunk(begin.attempt, 0);
    harness.chunk(begin.attempt, 1);
    harness.done(begin.attempt, 2);
    assert_eq!(harness.chunks(open), [0, 1]);
}

/// A process that was paused must not act on a stale view of the head.
#[test]
fn paused_node_sends_no_call_before_it_reads_the_head() {
    let mut harness = Harness::ready();
    harness.is_store_down = true;
    // Simulates a paused process: no step runs for 10 s, then a call arrives at once.
    harness.now += 10_000;
    let late = harness.arrive("mayors", chat(1));
    assert_eq!(harness.failure(late), Some((call::Code::Fenced, call::Outcome::NotRun)));
    assert!(harness.sent_attempts().is_empty());
    harness.is_store_down = false;
    harness.run(harness.now + 2_000);
    let call = harness.arrive("mayors", chat(1));
    assert_eq!(harness.sent_attempts()[0].call, call);
}

/// Guards against a call spending all its attempts on a dead target before a
/// report shows another ready copy.
#[test]
fn call_is_retried_until_another_copy_is_reported() {
    let mut harness = Harness::ready();
    harness.is_second_runner_empty = true;
    harness.run(harness.now + 3_000);
    let call = harness.arrive("mayors", chat(2));
    let from = harness.sent_attempts().len() - 1;
    let until = harness.now + 8_000;
    harness.is_second_runner_empty = false;
    let mut seen = from;
    while harness.now < until && harness.ending(call).is_none() {
        for begin in harness.sent_attempts().split_off(seen) {
            seen += 1;
            if begin.target.as_str() == "runner-1" {
                harness.event(begin.attempt, engine::Event::Broken { reason: "dead".into() });
            } else {
                harness.chunk(begin.attempt, 0);
                harness.chunk(begin.attempt, 1);
                harness.done(begin.attempt, 2);
            }
        }
        harness.run(harness.now + 20);
    }
    assert_eq!(harness.chunks(call), [0, 1], "{:?}", harness.ending(call));
}

#[test]
fn stream_of_another_vm_is_resumed_at_its_runner() {
    for runner in ["runner-1", "runner-2"] {
        let mut harness = Harness::ready();
        let stream = format!("vm-9.7.3@{runner}").into();
        let resume = call::Resume { stream, from: 1, text: "".into() };
        let call = harness.arrive_with("mayors", chat(4), |arrival| arrival.resume = Some(resume));
        let begin = harness.sent_attempts()[0].clone();
        assert_eq!((begin.call, begin.target.as_str(), begin.resume_from), (call, runner, 1));
    }
}

#[test]
fn stream_name_contains_its_runner() {
    let mut harness = Harness::ready();
    harness.arrive("mayors", chat(4));
    let begin = harness.sent_attempts()[0].clone();
    harness.event(begin.attempt, engine::Event::Accepted);
    let name = harness.outputs.iter().find_map(|output| match output {
        node::Output::Accepted { stream, .. } => Some(stream.to_string()),
        _ => None,
    });
    assert_eq!(name, Some(format!("vm-1.1.1@{}", begin.target)));
}

#[test]
fn queued_call_of_a_disconnected_caller_is_not_sent() {
    let mut harness = Harness::ready();
    let others: Vec<_> =
        (0..20).map(|_| harness.arrive("hosts", desk("GET", "/lookup/1"))).collect();
    let send_booking = |harness: &mut Harness| {
        let call = harness.arrive_with("mayors", desk("POST", "/booking"), |arrival| {
            arrival.idempotency = Some("visit-1".into());
        });
        harness.run(harness.now + CLAIM_MS);
        call
    };
    let left = send_booking(&mut harness);
    assert!(
        harness.sent_attempts().iter().all(|begin| begin.call != left),
        "the service has room left"
    );
    harness.input(Input::Gone { call: left });
    harness.run(harness.now + CLAIM_MS);
    for begin in harness.sent_attempts() {
        let body = bytes::Bytes::from_static(b"found");
        let media = "text/plain".into();
        harness.event(begin.attempt, engine::Event::Answer { status: 200, media, body });
    }
    assert!(others.iter().any(|call| harness.ending(*call).is_some()));
    assert!(
        harness.sent_attempts().iter().all(|begin| begin.call != left),
        "a call without a caller was sent"
    );
    // The idempotency key can be used again.
    let again = send_booking(&mut harness);
    assert!(harness.sent_attempts().iter().any(|begin| begin.call == again));
}

/// Guards against a claim or answer that is written only at the next tick
/// although no transaction is in flight.
#[test]
fn claim_is_written_without_waiting_for_a_tick() {
    let mut harness = Harness::ready();
    // Just after a tick.
    harness.run(harness.now + 2);
    let call = harness.arrive_with("mayors", desk("POST", "/booking"), |arrival| {
        arrival.idempotency = Some("visit-1".into());
    });
    // The store answers after 2 ms.
    harness.run(harness.now + 2);
    let begin = harness.sent_attempts().into_iter().find(|begin| begin.call == call);
    let attempt = begin.expect("the call was not sent when its claim was written").attempt;
    let body = bytes::Bytes::from_static(b"booked");
    harness.event(attempt, engine::Event::Answer { status: 201, media: "text/plain".into(), body });
    harness.run(harness.now + 2);
    assert!(harness.ending(call).is_some(), "the answer was not stored at once");
}
