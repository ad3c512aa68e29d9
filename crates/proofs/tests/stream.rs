//! Streams: a caller gets exactly its own answer despite failing runners and VMs,
//! and cannot resume with a withdrawn key or as another account.

use proofs::{caller, fleet};
use standin::fault;

/// Number of chunks; enough for a stream of some seconds.
const CHUNKS: u64 = 300;
const PROMPT: &str = "An itinerary of three days";
const CHAT_PATH: &str = "/v1/chat/completions";

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_on_another_runner_after_a_kill() -> proofs::Result<()> {
    let mut fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let (stream, first, runner) = start_stream(&fleet).await?;
    fleet.runners[runner].kill()?;
    assert_completes(stream, &first).await
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_on_another_runner_after_a_freeze() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let (stream, first, runner) = start_stream(&fleet).await?;
    fleet.runners[runner].freeze()?;
    assert_completes(stream, &first).await?;
    // Output that the resumed runner still sends for the old call must not reach a caller.
    fleet.runners[runner].thaw()?;
    let body = fleet::chat_body(9, true, "afterwards");
    let whole =
        fleet.caller().stream(fleet.caller_address(0), &[], &body).await?.read_to_end().await?;
    assert_eq!(whole.text, fleet::expected_answer(9, "afterwards"));
    Ok(())
}

/// Starts a stream; returns it with its first chunk and the index of its runner.
async fn start_stream(
    fleet: &fleet::Fleet,
) -> proofs::Result<(caller::Stream, caller::Event, usize)> {
    let before = fleet.begun_counts().await?;
    let body = fleet::chat_body(CHUNKS, true, PROMPT);
    let mut stream = fleet.caller().stream(fleet.caller_address(0), &[], &body).await?;
    let first = stream.next().await?.expect("a chunk");
    let after = fleet.begun_counts().await?;
    let runner = (0..after.len()).find(|runner| after[*runner] > before[*runner]);
    Ok((stream, first, runner.expect("a runner that serves")))
}

/// Reads the rest of the stream and checks that no chunk is missing or repeated.
async fn assert_completes(stream: caller::Stream, first: &caller::Event) -> proofs::Result<()> {
    let whole = stream.read_to_end().await?;
    assert!(whole.is_done, "{:?}", whole.error);
    assert_eq!(format!("{}{}", first.text(), whole.text), fleet::expected_answer(CHUNKS, PROMPT));
    assert_eq!(whole.seqs, (1..CHUNKS).collect::<Vec<u64>>());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_resumed_without_gap_or_repeat() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let cut = fault::Rule { break_after: Some(7), count: Some(1), ..fault::Rule::new(CHAT_PATH) };
    for runner in &fleet.runners {
        fleet::Fleet::set_faults(runner, std::slice::from_ref(&cut)).await?;
    }
    let body = fleet::chat_body(40, true, PROMPT);
    let whole =
        fleet.caller().stream(fleet.caller_address(0), &[], &body).await?.read_to_end().await?;
    assert!(whole.is_done, "{:?}", whole.error);
    assert_eq!(whole.seqs, (0..40).collect::<Vec<u64>>());
    assert_eq!(whole.text, fleet::expected_answer(40, PROMPT));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_resumes_a_stream_on_another_vm_after_a_kill() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 2, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    let body = fleet::chat_body(CHUNKS, true, PROMPT);
    let mut stream = caller.stream(fleet.caller_address(0), &[], &body).await?;
    let name = stream.header("primroseplank-stream").to_owned();
    let mut text = String::new();
    let mut last = 0;
    while last < 9 {
        let event = stream.next().await?.expect("a chunk");
        last = event.seq.expect("a number");
        text.push_str(&event.text());
    }
    fleet.vms[0].kill()?;
    let last = last.to_string();
    let headers = [("primroseplank-stream", name.as_str()), ("last-event-id", &last)];
    let mut again: serde_json::Value = serde_json::from_str(&body).expect("JSON");
    again["continue_text"] = text.clone().into();
    let rest = caller.stream(fleet.caller_address(1), &headers, &again.to_string()).await?;
    assert_eq!(rest.status(), 200);
    let rest = rest.read_to_end().await?;
    assert!(rest.is_done, "{:?}", rest.error);
    assert_eq!(rest.seqs, (10..CHUNKS).collect::<Vec<u64>>());
    assert_eq!(format!("{text}{}", rest.text), fleet::expected_answer(CHUNKS, PROMPT));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_rejected_on_every_vm_and_on_resume() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    let body = fleet::chat_body(CHUNKS, true, PROMPT);
    let mut stream = caller.stream(fleet.caller_address(0), &[], &body).await?;
    let name = stream.header("primroseplank-stream").to_owned();
    stream.next().await?.expect("a chunk");
    let answer =
        fleet.send_to_operator(1, "POST", "/v1/amend", r#"{"withdraw":"mayors-1"}"#).await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    for vm in 0..3 {
        let headers = [("primroseplank-stream", name.as_str()), ("last-event-id", "0")];
        for headers in [&headers[..], &[]] {
            let refused =
                caller.send(fleet.caller_address(vm), "POST", CHAT_PATH, headers, &body).await?;
            assert_eq!(refused.status, 401, "VM {vm}: {}", refused.text());
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_another_account_cannot_be_resumed() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let body = fleet::chat_body(CHUNKS, true, PROMPT);
    let mut stream = fleet.caller().stream(fleet.caller_address(0), &[], &body).await?;
    let name = stream.header("primroseplank-stream").to_owned();
    stream.next().await?.expect("a chunk");
    let other = caller::Caller::new(Some(&fleet.other_key));
    for vm in 0..2 {
        let headers = [("primroseplank-stream", name.as_str()), ("last-event-id", "0")];
        let own = fleet::chat_body(12, true, "something else");
        let resumed = other.stream(fleet.caller_address(vm), &headers, &own).await?;
        let whole = resumed.read_to_end().await?;
        assert!(
            !fleet::expected_answer(CHUNKS, PROMPT).contains(&whole.text) || whole.text.is_empty()
        );
    }
    let whole = stream.read_to_end().await?;
    assert!(whole.is_done, "the owner's stream must still complete: {:?}", whole.error);
    Ok(())
}
