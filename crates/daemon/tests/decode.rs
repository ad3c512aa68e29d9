//! Property tests of the decoders for external input: they never panic, and the
//! result does not depend on how the bytes are split into chunks.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes its inputs by value")]

use daemon::{caller::chat, client::event_stream};

const CASES: u64 = 2_000;
/// Seed of the random inputs, fixed so that failures can be reproduced.
const SEED: u64 = 20_261_204;

fn check<F: quickcheck::Testable>(property: F) {
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .quickcheck(property);
}

fn events(parts: &[&[u8]]) -> Result<Vec<event_stream::Event>, event_stream::Error> {
    let mut parser = event_stream::Parser::default();
    let mut events = Vec::new();
    for part in parts {
        parser.push(part);
        while let Some(event) = parser.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_split() {
    fn property(texts: Vec<(u64, String)>, split: usize) -> bool {
        let event = |(id, text): &(u64, String)| {
            format!("id: {id}\ndata: {}\n\n", text.replace(['\r', '\n'], " "))
        };
        let stream = texts.iter().map(event).collect::<Vec<String>>().concat();
        let split = if stream.is_empty() { 0 } else { split % stream.len() };
        let (before, after) = stream.as_bytes().split_at(split);
        let whole = events(&[stream.as_bytes()]).expect("events");
        whole.len() == texts.len() && events(&[before, after]).as_ref() == Ok(&whole)
    }
    check(property as fn(Vec<(u64, String)>, usize) -> bool);
}

#[test]
fn any_valid_utf8_parses_without_an_error() {
    fn property(bytes: Vec<u8>) -> bool {
        events(&[&bytes]).is_ok_and(|events| events.len() <= bytes.len())
            || std::str::from_utf8(&bytes).is_err()
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn event_without_an_end_is_rejected() {
    let mut parser = event_stream::Parser::default();
    let line = [b'a'; 1_000];
    let is_rejected = (0..2_000).any(|_| {
        parser.push(&line);
        parser.push(b"\n");
        parser.next_event().is_err()
    });
    assert!(is_rejected);
}

#[test]
fn random_bytes_are_rejected_and_any_message_text_is_accepted() {
    fn property(bytes: Vec<u8>, role: String, content: String) -> bool {
        let is_random_rejected = chat::Chat::parse(&bytes).is_err();
        let body = serde_json::json!({
            "model": "draft", "messages": [{"role": role, "content": content}],
        });
        let chat = chat::Chat::parse(body.to_string().as_bytes());
        is_random_rejected && chat.is_ok()
    }
    check(property as fn(Vec<u8>, String, String) -> bool);
}

#[test]
fn error_names_the_invalid_field() {
    for (body, field) in [
        (r#"{"messages":[]}"#, "model"),
        (r#"{"model":"m","messages":[]}"#, "messages"),
        (r#"{"model":"m","messages":[{"content":"a"}]}"#, "messages[0].role"),
        (r#"{"model":"m","messages":[{"role":"user","content":1}]}"#, "messages[0].content"),
        (r#"{"model":"m","messages":[{"role":"user"}],"max_tokens":0}"#, "max_tokens"),
        (r#"{"model":"m","messages":[{"role":"user"}],"stream":"yes"}"#, "stream"),
        (r#"{"model":"m","messages":[{"role":"user"}],"n":2}"#, "field n"),
    ] {
        let problem = chat::Chat::parse(body.as_bytes()).expect_err(body);
        assert!(problem.message.contains(field), "{field} in {}", problem.message);
    }
}
