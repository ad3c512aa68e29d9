//! The caller face, with the test in the place of the decision core.

use std::{io::Write as _, net, sync, time};

use daemon::{caller, calls, inbox, ready, server, settings};
use http_body_util::BodyExt as _;
use node::call;

const SETTINGS: &str = include_str!("data/settings.yaml");
const CHAT: &str = r#"{"model":"draft:formal","stream":true,"max_tokens":3,
    "messages":[{"role":"user","content":"Dear host family"}]}"#;
const DEADLINE: time::Duration = time::Duration::from_secs(20);

struct Face {
    address: net::SocketAddr,
    calls: sync::Arc<calls::Table>,
    outlet: inbox::Receiver,
    inputs: Vec<node::Input>,
    client: standin::client::Client,
    server: Option<server::Running>,
}

impl Face {
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

    fn open(
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

    async fn input(&mut self) -> node::Input {
        if self.inputs.is_empty() {
            let received = self.outlet.receive(&mut self.inputs, 16);
            tokio::time::timeout(DEADLINE, received).await.expect("an input");
        }
        self.inputs.remove(0)
    }

    async fn arrival(&mut self) -> call::Arrival {
        let node::Input::Arrival(arrival) = self.input().await else {
            panic!("an arrival was expected");
        };
        arrival
    }

    fn chunk(&self, call: ids::Call, seq: u64) -> calls::Sent {
        self.calls.send(call, calls::Part::Chunk { seq, text: format!("word{seq} ").into() })
    }

    fn end(&self, call: ids::Call, ending: call::Ending) {
        assert_eq!(self.calls.send(call, calls::Part::Ended(ending)), calls::Sent::Queued);
    }
}

impl Drop for Face {
    fn drop(&mut self) {
        // The server waits for idle connections, which the old client keeps.
        self.client = standin::client::Client::new();
        if let Some(server) = self.server.take() {
            drop(server.stop());
        }
    }
}

fn header<'a>(response: &'a http::Response<hyper::body::Incoming>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn text(response: http::Response<hyper::body::Incoming>) -> String {
    let body = response.into_body().collect();
    let body = tokio::time::timeout(DEADLINE, body).await.expect("an end").expect("a body");
    String::from_utf8(body.to_bytes().into()).expect("text")
}

fn done() -> call::Ending {
    call::Ending::Done { chunks: 2, reason: "stop".into(), prompt_tokens: 5 }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_is_streamed_with_numbers_and_its_end() {
    let mut face = Face::start();
    let key = "Bearer pp.k1.secret";
    let response = face.open("POST", "/v1/chat/completions", &[("authorization", key)], CHAT);
    let arrival = face.arrival().await;
    assert_eq!(arrival.key.map(|key| key.id), Some("k1".into()));
    let call::Work::Chat { model, adapter, prompt_tokens, max_tokens, .. } = arrival.work else {
        panic!("a chat was expected");
    };
    assert_eq!((model.as_str(), adapter), ("draft", Some("formal".into())));
    assert_eq!((prompt_tokens, max_tokens), (5, Some(3)));
    face.calls.send(arrival.call, calls::Part::Accepted { stream: "s-1".into() });
    let response = response.await.expect("a response");
    assert_eq!(header(&response, "primroseplank-stream"), "s-1");
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    face.chunk(arrival.call, 0);
    face.chunk(arrival.call, 1);
    face.end(arrival.call, done());
    let text = text(response).await;
    assert!(text.contains("id: 0\ndata: {") && text.contains("id: 1\ndata: {"), "{text}");
    assert!(text.contains(r#""content":"word1 ""#), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(face.calls.count(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_ends_early_ends_with_an_error_event() {
    let mut face = Face::start();
    let response = face.open("POST", "/v1/chat/completions", &[], CHAT);
    let call = face.arrival().await.call;
    face.chunk(call, 0);
    face.end(
        call,
        call::Ending::Failed {
            outcome: call::Outcome::Unknown,
            code: call::Code::TargetFailed,
            message: "the runner died".to_owned(),
            retry_after: None,
        },
    );
    let text = text(response.await.expect("a response")).await;
    let last = text.split("\n\n").filter(|event| !event.is_empty()).last();
    let last = last.expect("an event");
    assert!(last.starts_with("event: error\n"), "{text}");
    assert!(last.contains(r#""outcome":"unknown""#) && last.contains("target-failed"), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_has_code_outcome_and_whole_seconds_to_wait() {
    let mut face = Face::start();
    let response = face.open("GET", "/v1/models", &[], "");
    let call = face.arrival().await.call;
    let refusal = call::Ending::refused(call::Code::OverRate, "slow down")
        .with_retry_after(time::Duration::from_millis(1_200));
    face.end(call, refusal);
    let response = response.await.expect("a response");
    assert_eq!(response.status(), 429);
    assert_eq!(header(&response, "retry-after"), "2");
    assert_eq!(header(&response, "primroseplank-outcome"), "not-run");
    let text = text(response).await;
    assert!(text.contains(r#""code":"over-rate""#), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resuming_names_stream_and_place_and_keeps_the_digest() {
    let mut face = Face::start();
    let first = face.open("POST", "/v1/chat/completions", &[], CHAT);
    let first_arrival = face.arrival().await;
    let headers = [("primroseplank-stream", "s-9"), ("last-event-id", "6")];
    let body = r#"{"model":"draft:formal","stream":true,"max_tokens":3,"continue_text":"so far",
        "messages":[{"role":"user","content":"Dear host family"}]}"#;
    let second = face.open("POST", "/v1/chat/completions", &headers, body);
    let arrival = face.arrival().await;
    let resume = arrival.resume.expect("a stream to go on with");
    assert_eq!((&*resume.stream, resume.from, &*resume.text), ("s-9", 7, "so far"));
    assert_eq!(arrival.digest, first_arrival.digest);
    face.end(first_arrival.call, done());
    face.end(arrival.call, done());
    drop((first.await, second.await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_leaves_is_reported_gone() {
    let mut face = Face::start();
    let response = face.open("POST", "/v1/chat/completions", &[], CHAT);
    let call = face.arrival().await.call;
    face.calls.send(call, calls::Part::Accepted { stream: "s-1".into() });
    drop(response.await.expect("a response"));
    let feeding = async {
        let mut seq = 0;
        while face.calls.count() > 0 {
            face.chunk(call, seq);
            seq += 1;
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(DEADLINE, feeding).await.expect("the call is closed");
    assert_eq!(face.input().await, node::Input::Gone { call });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_reads_nothing_loses_its_call_and_no_other() {
    let mut face = Face::start();
    let slow = face.open("POST", "/v1/chat/completions", &[], CHAT);
    let call = face.arrival().await.call;
    // Sent at once, without a turn of the connection's task, these do not fit.
    let sent: Vec<calls::Sent> = (0..64).map(|seq| face.chunk(call, seq)).collect();
    assert!(sent.contains(&calls::Sent::Overflow), "{sent:?}");
    let other = face.open("POST", "/v1/chat/completions", &[], CHAT);
    let other_call = face.arrival().await.call;
    face.chunk(other_call, 0);
    face.end(other_call, done());
    let other = text(other.await.expect("a response")).await;
    assert!(other.ends_with("data: [DONE]\n\n"), "{other}");
    let slow = text(slow.await.expect("a response")).await;
    assert!(slow.contains("slow-caller") && !slow.contains("[DONE]"), "{slow}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_beyond_the_limit_are_refused_not_run() {
    let mut face = Face::start();
    let first = face.open("POST", "/v1/chat/completions", &[], CHAT);
    let second = face.open("POST", "/v1/chat/completions", &[], CHAT);
    let calls = [face.arrival().await.call, face.arrival().await.call];
    let third = face.open("POST", "/v1/chat/completions", &[], CHAT).await.expect("a response");
    assert_eq!(third.status(), 503);
    assert_eq!(header(&third, "primroseplank-outcome"), "not-run");
    for call in calls {
        face.end(call, done());
    }
    drop((first.await, second.await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn credentials_are_not_passed_on_to_a_service() {
    let mut face = Face::start();
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
    let response = face.open("GET", path, &headers, "");
    let arrival = face.arrival().await;
    assert_eq!(arrival.idempotency.as_deref(), Some("i-1"));
    let payload = face.calls.payload(arrival.call).expect("an open call");
    let calls::Payload::Service { path_and_query, headers, .. } = &*payload else {
        panic!("a call of a service was expected");
    };
    assert_eq!(path_and_query, "/lookup/7?a=1&c=2");
    let mut names: Vec<&str> = headers.keys().map(http::HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["idempotency-key", "x-kept"]);
    face.end(arrival.call, call::Ending::refused(call::Code::NoTarget, "none"));
    drop(response.await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_requests_get_clear_errors() {
    let face = Face::start();
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
        let response = face.open(method, path, &headers, body).await.expect("a response");
        assert_eq!(response.status(), status, "{method} {path}");
        assert_eq!(header(&response, "primroseplank-outcome"), "not-run");
        let text = text(response).await;
        assert!(text.contains(code), "{code} in {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn body_that_does_not_arrive_is_given_up() {
    let face = Face::start();
    let mut socket = net::TcpStream::connect(face.address).expect("a connection");
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
