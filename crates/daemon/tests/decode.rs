//! Decoding of what others send: never a panic, and the same for every cut.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck gives its inputs by value")]

use daemon::{caller::chat, client::event_stream};

const TESTS: u64 = 2_000;
/// Seed of the random inputs.
const SEED: u64 = 20_261_204;

fn check<F: quickcheck::Testable>(property: F) {
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .tests(TESTS)
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
fn events_do_not_depend_on_how_the_bytes_are_cut() {
    fn property(texts: Vec<(u64, String)>, cut: usize) -> bool {
        let event = |(id, text): &(u64, String)| {
            format!("id: {id}\ndata: {}\n\n", text.replace(['\r', '\n'], " "))
        };
        let stream = texts.iter().map(event).collect::<Vec<String>>().concat();
        let cut = if stream.is_empty() { 0 } else { cut % stream.len() };
        let (before, after) = stream.as_bytes().split_at(cut);
        let whole = events(&[stream.as_bytes()]).expect("events");
        whole.len() == texts.len() && events(&[before, after]).as_ref() == Ok(&whole)
    }
    check(property as fn(Vec<(u64, String)>, usize) -> bool);
}

#[test]
fn any_bytes_are_events_or_an_error() {
    fn property(bytes: Vec<u8>) -> bool {
        events(&[&bytes]).is_ok_and(|events| events.len() <= bytes.len())
            || std::str::from_utf8(&bytes).is_err()
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn endless_event_is_refused() {
    let mut parser = event_stream::Parser::default();
    let line = [b'a'; 1_000];
    let refused = (0..2_000).any(|_| {
        parser.push(&line);
        parser.push(b"\n");
        parser.next_event().is_err()
    });
    assert!(refused);
}

#[test]
fn any_body_is_a_chat_or_a_clear_error() {
    fn property(bytes: Vec<u8>, role: String, content: String) -> bool {
        let random = chat::Chat::parse(&bytes).is_err();
        let body = serde_json::json!({
            "model": "draft", "messages": [{"role": role, "content": content}],
        });
        let made = chat::Chat::parse(body.to_string().as_bytes());
        random && made.is_ok()
    }
    check(property as fn(Vec<u8>, String, String) -> bool);
}

#[test]
fn wrong_field_is_named() {
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
