//! Tests of the HTTP server for callers. The tests act as the decision core.

use std::{io::Write as _, net, sync, time};

use daemon::{caller, calls, inbox, ready, server, settings};
use http_body_util::BodyExt as _;
use node::call;

const SETTINGS: &str = include_str!("data/settings.yaml");
const CHAT: &str = r#"{"model":"draft:formal","stream":true,"max_tokens":3,
    "messages":[{"role":"user","content":"Dear host family"}]}"#;
const DEADLINE: time::Duration = time::Duration::from_secs(20);

struct Harness {
    address: net::SocketAddr,
    calls: sync::Arc<calls::Table>,
    outlet: inbox::Receiver,
    inputs: Vec<node::Input>,
    client: standin::client::Client,
    server: Option<server::Running>,
}

impl Harness {
    fn start() -> Self {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), SETTINGS).expect("written");
        let mut limits = settings::load(file.path()).expect("good settings").limits;
        limits.body_ms = 300.try_into().expect("in range");
        let calls = calls::Table::new(limits.open_calls.count(), limits.stream_chunks.count());
        let calls = sync::Arc::new(calls);
        let (inbox, outlet) = inbox::channel();
        let readiness = sync::Arc::<ready::Readiness>::default();
        let state = caller::State::new(sync::Arc::clone(&calls), inbox, &limits, readiness);
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("an option");
        let address = listener.local_addr().expect("an address");
        let server = caller::start(state, listener, &limits).expect("a server");
        let client = standin::client::Client::new();
        Self { address, calls, outlet, inputs: Vec::new(), client, server: Some(server) }
    }

    fn send_request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> tokio::task::JoinHandle<http::Response<hyper::body::Incoming>> {
        let mut request =
            http::Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body.into()).expect("a request");
        let (client, address) = (self.client.clone(), self.address);
        tokio::spawn(async move { client.open(address, request).await.expect("a response") })
    }

    async fn next_input(&mut self) -> node::Input {
        if self.inputs.is_empty() {
            let received = self.outlet.receive(&mut self.inputs, 16);
            tokio::time::timeout(DEADLINE, received).await.expect("an input");
        }
        self.inputs.remove(0)
    }

    async fn next_arrival(&mut self) -> call::Arrival {
        let node::Input::Arrival(arrival) = self.next_input().await else {
            panic!("expected an arrival");
        };
        arrival
    }

    fn send_chunk(&self, call: ids::Call, seq: u64) -> calls::Sent {
        self.calls.send(call, calls::Part::Chunk { seq, text: format!("word{seq} ").into() })
    }

    fn send_ending(&self, call: ids::Call, ending: call::Ending) {
        assert_eq!(self.calls.send(call, calls::Part::Ended(ending)), calls::Sent::Queued);
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        // Stopping the server waits for idle connections, which the old client keeps open.
        self.client = standin::client::Client::new();
        if let Some(server) = self.server.take() {
            drop(server.stop());
        }
    }
}

fn header<'a>(response: &'a http::Response<hyper::body::Incoming>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn read_text(response: http::Response<hyper::body::Incoming>) -> String {
    let body = response.into_body().collect();
    let body = tokio::time::timeout(DEADLINE, body).await.expect("an end").expect("a body");
    String::from_utf8(body.to_bytes().into()).expect("text")
}

fn done_ending() -> call::Ending {
    call::Ending::Done { chunks: 2, reason: "stop".into(), prompt_tokens: 5 }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_is_streamed_with_event_ids_and_an_end() {
    let mut harness = Harness::start();
    let key = "Bearer pp.k1.secret";
    let response =
        harness.send_request("POST", "/v1/chat/completions", &[("authorization", key)], CHAT);
    let arrival = harness.next_arrival().await;
    assert_eq!(arrival.key.map(|key| key.id), Some("k1".into()));
    let call::Work::Chat { model, adapter, prompt_tokens, max_tokens, .. } = arrival.work else {
        panic!("expected a chat");
    };
    assert_eq!((model.as_str(), adapter), ("draft", Some("formal".into())));
    assert_eq!((prompt_tokens, max_tokens), (5, Some(3)));
    harness.calls.send(arrival.call, calls::Part::Accepted { stream: "s-1".into() });
    let response = response.await.expect("a response");
    assert_eq!(header(&response, "primroseplank-stream"), "s-1");
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    harness.send_chunk(arrival.call, 0);
    harness.send_chunk(arrival.call, 1);
    harness.send_ending(arrival.call, done_ending());
    let text = read_text(response).await;
    assert!(text.contains("id: 0\ndata: {") && text.contains("id: 1\ndata: {"), "{text}");
    assert!(text.contains(r#""content":"word1 ""#), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(harness.calls.count(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_stream_ends_with_an_error_event() {
    let mut harness = Harness::start();
    let response = harness.send_request("POST", "/v1/chat/completions", &[], CHAT);
    let call = harness.next_arrival().await.call;
    harness.send_chunk(call, 0);
    harness.send_ending(
        call,
        call::Ending::Failed {
            outcome: call::Outcome::Unknown,
            code: call::Code::TargetFailed,
            message: "the runner died".to_owned(),
            retry_after: None,
        },
    );
    let text = read_text(response.await.expect("a response")).await;
    let last = text.split("\n\n").filter(|event| !event.is_empty()).last();
    let last = last.expect("an event");
    assert!(last.starts_with("event: error\n"), "{text}");
    assert!(last.contains(r#""outcome":"unknown""#) && last.contains("target-failed"), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_has_code_outcome_and_retry_after_in_whole_seconds() {
    let mut harness = Harness::start();
    let response = harness.send_request("GET", "/v1/models", &[], "");
    let call = harness.next_arrival().await.call;
    let refusal = call::Ending::refused(call::Code::OverRate, "slow down")
        .with_retry_after(time::Duration::from_millis(1_200));
    harness.send_ending(call, refusal);
    let response = response.await.expect("a response");
    assert_eq!(response.status(), 429);
    assert_eq!(header(&response, "retry-after"), "2");
    assert_eq!(header(&response, "primroseplank-outcome"), "not-run");
    let text = read_text(response).await;
    assert!(text.contains(r#""code":"over-rate""#), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_call_has_stream_position_and_the_same_digest() {
    let mut harness = Harness::start();
    let first = harness.send_request("POST", "/v1/chat/completions", &[], CHAT);
    let first_arrival = harness.next_arrival().await;
    let headers = [("primroseplank-stream", "s-9"), ("last-event-id", "6")];
    let body = r#"{"model":"draft:formal","stream":true,"max_tokens":3,"continue_text":"so far",
        "messages":[{"role":"user","content":"Dear host family"}]}"#;
    let second = harness.send_request("POST", "/v1/chat/completions", &headers, body);
    let arrival = harness.next_arrival().await;
    let resume = arrival.resume.expect("a stream to resume");
    assert_eq!((&*resume.stream, resume.from, &*resume.text), ("s-9", 7, "so far"));
    assert_eq!(arrival.digest, first_arrival.digest);
    harness.send_ending(first_arrival.call, done_ending());
    harness.send_ending(arrival.call, done_ending());
    drop((first.await, second.await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_connection_of_a_caller_is_reported() {
    let mut harness = Harness::start();
    let response = harness.send_request("POST", "/v1/chat/completions", &[], CHAT);
    let call = harness.next_arrival().await.call;
    harness.calls.send(call, calls::Part::Accepted { stream: "s-1".into() });
    drop(response.await.expect("a response"));
    let sending = async {
        let mut seq = 0;
        while harness.calls.count() > 0 {
            harness.send_chunk(call, seq);
            seq += 1;
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(DEADLINE, sending).await.expect("the call is closed");
    assert_eq!(harness.next_input().await, node::Input::Gone { call });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_caller_loses_only_its_own_call() {
    let mut harness = Harness::start();
    let slow = harness.send_request("POST", "/v1/chat/completions", &[], CHAT);
    let call = harness.next_arrival().await.call;
    // Sent without yielding to the connection's task, these chunks exceed the queue.
    let sent: Vec<calls::Sent> = (0..64).map(|seq| harness.send_chunk(call, seq)).collect();
    assert!(sent.contains(&calls::Sent::Overflow), "{sent:?}");
    let other = harness.send_request("POST", "/v1/chat/completions", &[], CHAT);
    let other_call = harness.next_arrival().await.call;
    harness.send_chunk(other_call, 0);
    harness.send_ending(other_call, done_ending());
    let other = read_text(other.await.expect("a response")).await;
    assert!(other.ends_with("data: [DONE]\n\n"), "{other}");
    let slow = read_text(slow.await.expect("a response")).await;
    assert!(slow.contains("slow-caller") && !slow.contains("[DONE]"), "{slow}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_beyond_the_limit_are_refused_as_not_run() {
    let mut harness = Harness::start();
    let first = harness.send_request("POST", "/v1/chat/completions", &[], CHAT);
    let second = harness.send_request("POST", "/v1/chat/completions", &[], CHAT);
    let calls = [harness.next_arrival().await.call, harness.next_arrival().await.call];
    let third =
        harness.send_request("POST", "/v1/chat/completions", &[], CHAT).await.expect("a response");
    assert_eq!(third.status(), 503);
    assert_eq!(header(&third, "primroseplank-outcome"), "not-run");
    for call in calls {
        harness.send_ending(call, done_ending());
    }
    drop((first.await, second.await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn credentials_are_not_forwarded_to_a_service() {
    let mut harness = Harness::start();
    let headers = [
        ("authorization", "Bearer pp.k1.secret"),
        ("cookie", "session=1"),
        ("x-api-key", "pp.k1.secret"),
        ("x-note", "mine is pp.k1.secret"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("idempotency-key", "i-1"),
        ("x-kept", "yes"),
    ];
    let path = "/svc/desk/lookup/7?a=1&api_key=x&b=pp.k1.secret&KEY=y&c=2";
    let response = harness.send_request("GET", path, &headers, "");
    let arrival = harness.next_arrival().await;
    assert_eq!(arrival.idempotency.as_deref(), Some("i-1"));
    let payload = harness.calls.payload(arrival.call).expect("an open call");
    let calls::Payload::Service { path_and_query, headers, .. } = &*payload else {
        panic!("expected a call of a service");
    };
    assert_eq!(path_and_query, "/lookup/7?a=1&c=2");
    let mut names: Vec<&str> = headers.keys().map(http::HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["idempotency-key", "x-kept"]);
    harness.send_ending(arrival.call, call::Ending::refused(call::Code::NoTarget, "none"));
    drop(response.await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_get_a_status_and_an_error_code() {
    let harness = Harness::start();
    let large: &'static str = "x".repeat(4_096).leak();
    let path = "/v1/chat/completions";
    for (method, path, headers, body, status, code) in [
        ("POST", path, vec![], large, 413, "too-large"),
        ("POST", path, vec![], "no json", 400, "bad-request"),
        ("GET", path, vec![], "", 405, "method-not-allowed"),
        ("POST", path, vec![("authorization", "Bearer k")], CHAT, 401, "invalid-key"),
        ("POST", path, vec![("primroseplank-stream", "s"), ("last-event-id", "x")], CHAT, 400, ""),
        ("GET", "/v2/models", vec![], "", 404, "not-found"),
        ("GET", "/svc/", vec![], "", 404, "not-found"),
    ] {
        let response =
            harness.send_request(method, path, &headers, body).await.expect("a response");
        assert_eq!(response.status(), status, "{method} {path}");
        assert_eq!(header(&response, "primroseplank-outcome"), "not-run");
        let text = read_text(response).await;
        assert!(text.contains(code), "{code} in {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_body_times_out() {
    let harness = Harness::start();
    let mut socket = net::TcpStream::connect(harness.address).expect("a connection");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{";
    socket.write_all(head.as_bytes()).expect("sent");
    socket.set_read_timeout(Some(DEADLINE)).expect("an option");
    let read = tokio::task::spawn_blocking(move || {
        let mut answer = [0; 64];
        let count = std::io::Read::read(&mut socket, &mut answer).expect("an answer");
        String::from_utf8_lossy(&answer[..count]).into_owned()
    });
    let answer = read.await.expect("a thread");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endless_body_is_rejected() {
    let harness = Harness::start();
    for path in ["/v1/chat/completions", "/svc/desk/x", "/unknown"] {
        let socket = net::TcpStream::connect(harness.address).expect("a connection");
        socket.set_read_timeout(Some(DEADLINE)).expect("an option");
        let mut sender = socket.try_clone().expect("a handle");
        let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
        let begun = time::Instant::now();
        let sending = std::thread::spawn(move || {
            let mut sent = sender.write_all(head.as_bytes());
            let chunks = "1000\r\n".to_owned() + &"x".repeat(0x1000) + "\r\n";
            while sent.is_ok() && begun.elapsed() < DEADLINE {
                sent = sender.write_all(chunks.as_bytes());
            }
        });
        let mut reader = socket;
        let read = tokio::task::spawn_blocking(move || {
            let mut answer = [0; 64];
            let count = std::io::Read::read(&mut reader, &mut answer).unwrap_or_default();
            drop(reader.shutdown(net::Shutdown::Both));
            String::from_utf8_lossy(&answer[..count]).into_owned()
        });
        let answer = read.await.expect("a thread");
        sending.join().expect("a thread");
        let expected = if path == "/unknown" { "HTTP/1.1 404" } else { "HTTP/1.1 413" };
        assert!(answer.starts_with(expected), "{path}: {answer}");
        assert!(begun.elapsed() < time::Duration::from_secs(6), "{path}: {:?}", begun.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn several_keys_are_rejected() {
    let harness = Harness::start();
    let keys = [("authorization", "Bearer pp.k1.secret"), ("authorization", "Bearer pp.k2.secret")];
    let response = harness.send_request("POST", "/v1/chat/completions", &keys, CHAT);
    let response = response.await.expect("a response");
    assert_eq!(response.status(), 400);
}
