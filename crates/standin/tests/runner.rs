//! The stand-ins for the targets: streams, orders, memory and what ran.

use std::time;

use standin::{client, process, runner, service, text};

const PATIENCE: time::Duration = time::Duration::from_secs(20);

fn body(streamed: bool, chunks: u64) -> serde_json::Value {
    serde_json::json!({
        "model": "draft",
        "messages": [{"role": "user", "content": "An itinerary for the delegation"}],
        "max_tokens": chunks,
        "stream": streamed,
    })
}

fn start(config: runner::Config) -> process::Process {
    runner::start(&config.with_resident("draft", "v1", 18_000)).expect("starts")
}

async fn call(
    process: &process::Process,
    body: &serde_json::Value,
    headers: &[(&str, &str)],
) -> standin::Result<client::Answer> {
    let mut request =
        http::Request::post(format!("http://{}/v1/chat/completions", process.address()));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_string().into()).expect("a request");
    client::Client::new().request(process.address(), request).await
}

async fn control(process: &process::Process, method: &str, path: &str, body: &str) -> String {
    let client = client::Client::new();
    let answer = client
        .send(process.control(), method, path, body.to_owned())
        .await
        .expect("the control address answers");
    assert!(answer.status.is_success(), "{}", answer.text());
    answer.text()
}

async fn order(process: &process::Process, fence: u64, action: &str, item: &str, mib: u64) -> u16 {
    let order = format!(
        r#"{{"fence":{fence},"action":"{action}","item":"{item}","version":"v1","memory_mib":{mib}}}"#
    );
    let client = client::Client::new();
    let answer = client.send(process.address(), "POST", "/orders", order).await;
    answer.expect("an answer").status.as_u16()
}

/// Numbers and texts of the chunks of a stream, and whether it ended whole.
fn events(text: &str) -> (Vec<u64>, String, bool) {
    let mut numbers = Vec::new();
    let mut whole = String::new();
    for line in text.lines() {
        if let Some(number) = line.strip_prefix("id: ") {
            numbers.push(number.parse().expect("a number"));
        }
        let Some(data) = line.strip_prefix("data: {") else {
            continue;
        };
        let chunk: serde_json::Value = serde_json::from_str(&format!("{{{data}")).expect("a chunk");
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        whole.push_str(content.unwrap_or_default());
    }
    let ended = text.ends_with("data: [DONE]\n\n") && text.contains(r#""finish_reason":"length""#);
    (numbers, whole, ended)
}

#[tokio::test]
async fn answer_is_the_function_of_its_prompt() {
    let runner = start(runner::Config::default());
    let expected = text::range(&text::digest(&body(true, 5)), 0, 5);
    let headers = [("x-call-id", "attempt-7"), ("x-stream-id", "s")];
    let streamed = call(&runner, &body(true, 5), &headers).await.expect("an answer");
    assert_eq!(streamed.headers["x-call-id"], "attempt-7");
    let (numbers, whole, ended) = events(&streamed.text());
    assert_eq!((numbers, ended), (vec![0, 1, 2, 3, 4], true));
    assert_eq!(whole, expected);
    let plain = call(&runner, &body(false, 5), &[]).await.expect("an answer");
    let plain: serde_json::Value = plain.json().expect("JSON");
    assert_eq!(plain["choices"][0]["message"]["content"], expected);
    assert_eq!(plain["usage"]["completion_tokens"], 5);
    assert_eq!(plain["usage"]["prompt_tokens"], 5);
    runner.stop().await;
}

#[tokio::test]
async fn broken_stream_is_resumed_on_the_same_and_on_another_runner() {
    let (first, second) = (start(runner::Config::default()), start(runner::Config::default()));
    let rule = r#"[{"path":"/v1/chat","break_after":3,"count":1}]"#;
    control(&first, "PUT", "/faults", rule).await;
    let broken = call(&first, &body(true, 6), &[("x-stream-id", "s")]).await;
    broken.expect_err("the stream is cut");

    let from = [("x-stream-id", "s"), ("x-resume-from", "3")];
    let resumed = call(&first, &body(true, 6), &from).await.expect("an answer");
    let prompt = text::digest(&body(true, 6));
    let expected = text::range(&prompt, 3, 6);
    assert_eq!(events(&resumed.text()), (vec![3, 4, 5], expected.clone(), true));

    let unknown = call(&second, &body(true, 6), &from).await.expect("an answer");
    assert_eq!(
        (unknown.status.as_u16(), &unknown.headers["x-not-run"]),
        (409, &"1".parse().unwrap())
    );
    let mut continued = body(true, 6);
    continued["continue_text"] = text::range(&prompt, 0, 3).into();
    let moved = call(&second, &continued, &from).await.expect("an answer");
    assert_eq!(events(&moved.text()), (vec![3, 4, 5], expected, true));
    assert!(!control(&second, "GET", "/counts", "").await.contains("wrong"));
    first.stop().await;
    second.stop().await;
}

#[tokio::test]
async fn refused_calls_are_not_among_those_begun() {
    let runner = start(runner::Config::default());
    let mut other = body(false, 2);
    other["model"] = "absent".into();
    let refused = call(&runner, &other, &[]).await.expect("an answer");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.headers["x-not-run"], "1");
    control(&runner, "PUT", "/leaving", r#"{"leaving":true}"#).await;
    let refused = call(&runner, &body(false, 2), &[]).await.expect("an answer");
    assert_eq!(refused.headers["x-not-run"], "1");
    assert_eq!(control(&runner, "GET", "/calls", "").await, "[]");
    control(&runner, "PUT", "/leaving", r#"{"leaving":false}"#).await;
    call(&runner, &body(false, 2), &[("x-call-id", "a1")]).await.expect("an answer");
    assert!(control(&runner, "GET", "/calls", "").await.contains(r#""attempt":"a1""#));
    runner.stop().await;
}

#[tokio::test]
async fn old_fencing_tokens_are_refused_only_where_they_are_checked() {
    let checking = start(runner::Config { fencing: true, ..runner::Config::default() });
    assert_eq!(order(&checking, 5, "load", "quote", 10_000).await, 202);
    assert_eq!(order(&checking, 4, "unload", "quote", 10_000).await, 409);
    let ignoring = start(runner::Config::default());
    assert_eq!(order(&ignoring, 5, "load", "quote", 10_000).await, 202);
    assert_eq!(order(&ignoring, 4, "unload", "quote", 10_000).await, 202);
    checking.stop().await;
    ignoring.stop().await;
}

#[tokio::test]
async fn overcommitted_memory_is_remembered() {
    let runner = start(runner::Config::default());
    assert_eq!(order(&runner, 1, "load", "quote", 62_000).await, 202);
    let memory = control(&runner, "GET", "/memory", "").await;
    assert!(memory.contains(r#""present_mib":80000,"highest_mib":80000,"overcommitted":false"#));
    assert_eq!(order(&runner, 2, "load", "quote:north", 1).await, 202);
    assert_eq!(order(&runner, 3, "unload", "quote:north", 1).await, 202);
    assert_eq!(order(&runner, 3, "unload", "quote", 62_000).await, 202);
    let deadline = time::Instant::now() + PATIENCE;
    loop {
        let memory = control(&runner, "GET", "/memory", "").await;
        assert!(memory.contains(r#""highest_mib":80001,"overcommitted":true"#));
        if memory.contains(r#""present_mib":18000"#) {
            break;
        }
        assert!(time::Instant::now() < deadline, "{memory}");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    runner.stop().await;
}

#[tokio::test]
async fn unload_waits_for_calls_and_report_lags() {
    let runner = start(runner::Config { report_lag_ms: 60_000, ..runner::Config::default() });
    let endless = body(true, 1_000_000);
    let headers = [("x-stream-id", "s")];
    let (answer, ()) = tokio::join!(call(&runner, &endless, &headers), async {
        let deadline = time::Instant::now() + PATIENCE;
        while control(&runner, "GET", "/calls", "").await == "[]" {
            assert!(time::Instant::now() < deadline, "the call does not begin");
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        assert_eq!(order(&runner, 1, "unload", "draft", 18_000).await, 202);
        let memory = control(&runner, "GET", "/memory", "").await;
        assert!(memory.contains(r#""present_mib":18000"#), "{memory}");
        let client = client::Client::new();
        let report = client.send(runner.address(), "GET", "/report", "").await;
        let report: engine::Report = report.expect("an answer").json().expect("a report");
        assert_eq!(report.residents[0].state, engine::report::State::Ready);
        let cancel = client.send(runner.address(), "DELETE", "/v1/streams/s", "");
        assert_eq!(cancel.await.expect("an answer").status, 204);
    });
    assert_eq!(answer.expect("an answer").status, 200);
    let memory = control(&runner, "GET", "/memory", "").await;
    assert!(memory.contains(r#""present_mib":0"#), "{memory}");
    runner.stop().await;
}

#[tokio::test]
async fn cancelled_stream_ends_without_its_last_event() {
    let runner = start(runner::Config::default());
    let endless = body(true, 1_000_000);
    let (answer, ()) = tokio::join!(call(&runner, &endless, &[("x-stream-id", "s")]), async {
        let client = client::Client::new();
        let deadline = time::Instant::now() + PATIENCE;
        loop {
            let cancel = client.send(runner.address(), "DELETE", "/v1/streams/s", "");
            if cancel.await.expect("an answer").status == 204 {
                break;
            }
            assert!(time::Instant::now() < deadline, "the stream does not begin");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    });
    assert!(!events(&answer.expect("an answer").text()).2);
    runner.stop().await;
}

#[tokio::test]
async fn booking_runs_though_its_answer_is_lost() {
    let desk = service::start(&service::Config::default()).expect("starts");
    let rule = r#"[{"path":"/booking","lose_answer":true,"count":1}]"#;
    control(&desk, "PUT", "/faults", rule).await;
    let client = client::Client::new();
    let lost = client.send(desk.address(), "POST", "/booking", "{}").await;
    lost.expect_err("the answer is lost");
    let calls: serde_json::Value =
        serde_json::from_str(&control(&desk, "GET", "/calls", "").await).expect("JSON");
    assert_eq!(calls[0]["path"], "/booking");
    assert_eq!(calls.as_array().map(Vec::len), Some(1));
    let again = client.send(desk.address(), "POST", "/booking", "{}").await;
    assert_eq!(again.expect("an answer").status, 201);
    let found = client.send(desk.address(), "GET", "/lookup/family/7", "").await;
    assert!(found.expect("an answer").text().contains("/lookup/family/7"));
    desk.stop().await;
}

#[tokio::test]
async fn answers_are_crossed_and_chunks_doubled() {
    let runner = start(runner::Config::default());
    let rules = r#"[{"path":"/v1/chat","cross":true,"count":2},{"path":"/v1/chat","double":true}]"#;
    control(&runner, "PUT", "/faults", rules).await;
    let plain = body(false, 2);
    let (first, second) = tokio::join!(
        call(&runner, &plain, &[("x-call-id", "first")]),
        call(&runner, &plain, &[("x-call-id", "second")]),
    );
    assert_eq!(first.expect("an answer").headers["x-call-id"], "second");
    assert_eq!(second.expect("an answer").headers["x-call-id"], "first");
    let doubled = call(&runner, &body(true, 2), &[]).await.expect("an answer");
    assert_eq!(events(&doubled.text()).0, [0, 0, 1, 1]);
    runner.stop().await;
}

#[tokio::test]
async fn cache_events_come_late_and_with_gaps() {
    let prompt: Vec<String> = (0..160).map(|word| format!("word{word}")).collect();
    let mut long = body(false, 1);
    long["messages"][0]["content"] = prompt.join(" ").into();
    for (event_lag_ms, expected) in [(0, vec![1, 2, 4, 5, 7, 8, 10]), (600_000, Vec::new())] {
        let config = runner::Config { event_lag_ms, event_gap: 3, ..runner::Config::default() };
        let runner = start(config);
        call(&runner, &long, &[]).await.expect("an answer");
        let client = client::Client::new();
        let events = client.send(runner.address(), "GET", "/events?after=0", "").await;
        let events: Vec<standin::cache::Event> = events.expect("an answer").json().expect("events");
        let numbers: Vec<u64> = events.iter().map(|event| event.seq).collect();
        assert_eq!(numbers, expected);
        runner.stop().await;
    }
}
