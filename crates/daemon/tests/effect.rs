//! Tests of effects against stand-in servers: which input the core gets for each failure.

use std::{io::Read as _, io::Write as _, net, sync, time};

use daemon::{calls, clock, effect, inbox, operator, peer, ready, settings};
use engine::Event;
use node::{Input, Output};
use standin::{fault, process};

const SETTINGS: &str = include_str!("data/settings.yaml");
const DEADLINE: time::Duration = time::Duration::from_secs(20);
const ATTEMPT: ids::Attempt = ids::Attempt::new(1);

struct Harness {
    calls: sync::Arc<calls::Table>,
    outlet: inbox::Receiver,
    inputs: Vec<Input>,
    effects: effect::Effects,
}

impl Harness {
    fn start(platform: net::SocketAddr) -> Self {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), SETTINGS).expect("written");
        let mut settings = settings::load(file.path()).expect("good settings");
        settings.platform.table = platform;
        settings.limits.report_ms = 300.try_into().expect("in range");
        settings.limits.platform_ms = 300.try_into().expect("in range");
        let calls = sync::Arc::new(calls::Table::new(10, 1_000));
        let (inbox, outlet) = inbox::channel();
        let identity = peer::link::Identity {
            vm: "vm-1".into(),
            incarnation: ids::Incarnation::new(7),
            credential: settings.peer.credential.clone(),
        };
        let parts = effect::Context {
            calls: sync::Arc::clone(&calls),
            inbox,
            operators: sync::Arc::<operator::Pending>::default(),
            links: peer::Links::new(identity.clone()),
            readiness: sync::Arc::<ready::Readiness>::default(),
            stopped: tokio::sync::watch::Sender::new(false),
            runtime: tokio::runtime::Handle::current(),
            identity,
        };
        let effects = effect::Effects::new(parts, &settings);
        Self { calls, outlet, inputs: Vec::new(), effects }
    }

    async fn next_input(&mut self) -> Input {
        if self.inputs.is_empty() {
            let received = self.outlet.receive(&mut self.inputs, 64);
            tokio::time::timeout(DEADLINE, received).await.expect("an input");
        }
        self.inputs.remove(0)
    }

    async fn next_event(&mut self) -> Event {
        let Input::Attempt { attempt, event } = self.next_input().await else {
            panic!("expected an event of an attempt");
        };
        assert_eq!(attempt, ATTEMPT);
        event
    }

    /// Returns the events of an attempt up to the last, without the acceptance.
    async fn remaining_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        loop {
            let event = self.next_event().await;
            let is_last = event.is_last();
            if event != Event::Accepted {
                events.push(event);
            }
            if is_last {
                return events;
            }
        }
    }

    fn begin_chat(&mut self, address: net::SocketAddr, max_tokens: u64, resume_from: u64) {
        let fields = chat_body();
        let serde_json::Value::Object(fields) = fields else {
            panic!("an object");
        };
        self.begin(calls::Payload::Chat(fields), address, max_tokens, resume_from);
    }

    fn begin_service_call(&mut self, address: net::SocketAddr, method: http::Method, path: &str) {
        let payload = calls::Payload::Service {
            method,
            path_and_query: path.to_owned(),
            headers: http::HeaderMap::new(),
            body: "{}".into(),
        };
        self.begin(payload, address, 1, 0);
    }

    fn begin(
        &mut self,
        payload: calls::Payload,
        address: net::SocketAddr,
        max_tokens: u64,
        resume_from: u64,
    ) {
        let (call, parts) = self.calls.open(payload).expect("a place");
        // These tests ignore the answer; its channel must stay open nevertheless.
        std::mem::forget(parts);
        let begin = node::Begin {
            attempt: ATTEMPT,
            call,
            stream: "s-1".into(),
            target: "t-1".into(),
            address: address.to_string().into(),
            priority: 0,
            max_tokens,
            resume_from,
            text: standin::text::range(&standin::text::digest(&chat_body()), 0, resume_from),
        };
        self.effects.apply(clock::now(), Output::Begin(begin));
    }

    async fn write(&mut self, decided_at: ids::Time) -> store::Result<store::table::Answer> {
        let write = store::table::Write { key: "k".into(), expect: None, value: Some("v".into()) };
        let request = store::table::Request::Write { writes: vec![write] };
        let op = ids::Op::new(1);
        self.effects.apply(decided_at, Output::Table { op, request });
        let Input::Table { result, .. } = self.next_input().await else {
            panic!("expected the answer of the table");
        };
        result
    }
}

fn chat_body() -> serde_json::Value {
    let message = serde_json::json!({"role": "user", "content": "Dear host family"});
    serde_json::json!({"model": "draft", "messages": [message]})
}

fn start_runner() -> process::Process {
    let config = standin::runner::Config::default().with_resident("draft", "v1", 1_000);
    standin::runner::start(&config).expect("a runner")
}

fn start_service() -> process::Process {
    standin::service::start(&standin::service::Config::default()).expect("a service")
}

async fn control(process: &process::Process, method: &str, path: &str, body: String) -> String {
    let client = standin::client::Client::new();
    client.send(process.control(), method, path, body).await.expect("an answer").text()
}

async fn set_fault(process: &process::Process, rule: fault::Rule) {
    let rules = serde_json::json!([rule]).to_string();
    control(process, "PUT", "/faults", rules).await;
}

async fn started_calls(process: &process::Process) -> usize {
    let calls = control(process, "GET", "/calls", String::new()).await;
    let calls: Vec<standin::ledger::Call> = serde_json::from_str(&calls).expect("a list");
    calls.len()
}

fn unused_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_yields_numbered_chunks_and_an_end() {
    let runner = start_runner();
    let mut harness = Harness::start(unused_address());
    harness.begin_chat(runner.address(), 5, 2);
    let events = harness.remaining_events().await;
    let prompt = standin::text::digest(&chat_body());
    for (seq, event) in (2..5).zip(&events) {
        let text = standin::text::chunk(&prompt, seq).into();
        assert_eq!(*event, Event::Chunk { seq, text });
    }
    let end = Event::Done { chunks: 5, reason: "length".into(), prompt_tokens: 3 };
    assert_eq!(events.last(), Some(&end));
    assert_eq!(events.len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_failures_are_classified() {
    let runner = start_runner();
    let mut harness = Harness::start(unused_address());
    let rule = fault::Rule::new("/v1/chat");
    let broken = |event: &Event| matches!(event, Event::Broken { .. });
    let refused = |event: &Event| matches!(event, Event::Refused { .. });

    set_fault(&runner, fault::Rule { break_after: Some(2), ..rule.clone() }).await;
    harness.begin_chat(runner.address(), 9, 0);
    let events = harness.remaining_events().await;
    assert!(events.len() == 3 && broken(&events[2]), "{events:?}");

    set_fault(&runner, fault::Rule { refuse: true, ..rule.clone() }).await;
    harness.begin_chat(runner.address(), 9, 0);
    let events = harness.remaining_events().await;
    assert!(events.len() == 1 && refused(&events[0]), "{events:?}");

    set_fault(&runner, fault::Rule { refuse_unproven: true, ..rule.clone() }).await;
    harness.begin_chat(runner.address(), 9, 0);
    let events = harness.remaining_events().await;
    assert!(events.len() == 1 && broken(&events[0]), "{events:?}");

    set_fault(&runner, fault::Rule { lose_request: true, ..rule }).await;
    harness.begin_chat(runner.address(), 9, 0);
    let events = harness.remaining_events().await;
    assert!(events.len() == 1 && broken(&events[0]), "{events:?}");

    harness.begin_chat(unused_address(), 9, 0);
    let events = harness.remaining_events().await;
    assert!(matches!(events[..], [Event::Unsent { .. }]), "{events:?}");
}

/// Starts a server that answers one request with `response` and closes the connection.
fn answer_once(response: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut socket, _from) = listener.accept().expect("a connection");
        let mut request = [0; 4_096];
        let _length = socket.read(&mut request).expect("a request");
        socket.write_all(response.as_bytes()).expect("sent");
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_with_another_call_id_is_rejected() {
    let mut harness = Harness::start(unused_address());
    let answer =
        "HTTP/1.1 200 OK\r\nx-call-id: vm-2.7.1\r\ncontent-length: 14\r\n\r\ndata: [DONE]\n\n";
    harness.begin_chat(answer_once(answer), 9, 0);
    let events = harness.remaining_events().await;
    assert!(matches!(events[..], [Event::Broken { .. }]), "{events:?}");
    let refusal =
        "HTTP/1.1 503 No\r\nx-call-id: vm-2.7.1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    harness.begin_chat(answer_once(refusal), 9, 0);
    let events = harness.remaining_events().await;
    assert!(matches!(events[..], [Event::Broken { .. }]), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_with_an_unnumbered_chunk_is_broken() {
    let mut harness = Harness::start(unused_address());
    let stream = "HTTP/1.1 200 OK\r\nx-call-id: vm-1.7.1\r\nconnection: close\r\n\r\n\
                  data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n";
    harness.begin_chat(answer_once(stream), 9, 0);
    let events = harness.remaining_events().await;
    assert!(matches!(events[..], [Event::Broken { .. }]), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_is_sent_at_most_once() {
    let service = start_service();
    let mut harness = Harness::start(unused_address());
    harness.begin_service_call(service.address(), http::Method::POST, "/booking");
    let event = harness.next_event().await;
    assert!(matches!(event, Event::Answer { status: 201, .. }), "{event:?}");
    assert_eq!(started_calls(&service).await, 1);

    set_fault(&service, fault::Rule { lose_answer: true, ..fault::Rule::new("/booking") }).await;
    harness.begin_service_call(service.address(), http::Method::POST, "/booking");
    let event = harness.next_event().await;
    assert!(matches!(event, Event::Broken { .. }), "{event:?}");
    assert_eq!(started_calls(&service).await, 2);

    set_fault(&service, fault::Rule { refuse: true, ..fault::Rule::new("/booking") }).await;
    harness.begin_service_call(service.address(), http::Method::POST, "/booking");
    let event = harness.next_event().await;
    assert!(matches!(event, Event::Refused { .. }), "{event:?}");
    assert_eq!(started_calls(&service).await, 2);

    harness.begin_service_call(unused_address(), http::Method::POST, "/booking");
    let event = harness.next_event().await;
    assert!(matches!(event, Event::Unsent { .. }), "{event:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn write_is_refused_only_if_it_had_no_effect() {
    let table = standin::table::start(&standin::table::Config::default()).expect("a table");
    let mut harness = Harness::start(table.address());
    let rule = fault::Rule::new("/table");
    let kind = |result: store::Result<store::table::Answer>| result.map_err(|f| f.kind);

    set_fault(&table, fault::Rule { refuse: true, ..rule.clone() }).await;
    let result = kind(harness.write(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Refused));
    set_fault(&table, fault::Rule { lose_answer: true, ..rule.clone() }).await;
    let result = kind(harness.write(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Unknown));
    set_fault(&table, fault::Rule { delay_ms: 1_000, ..rule }).await;
    let result = kind(harness.write(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Unknown));

    let mut unreachable = Harness::start(unused_address());
    let result = kind(unreachable.write(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Refused));
}

// After a suspension of the process, what it knew before may no longer hold. Writes and
// orders that it decided before must not be sent then.
#[tokio::test(flavor = "multi_thread")]
async fn outputs_decided_before_a_pause_are_not_sent() {
    let runner = start_runner();
    let table = standin::table::start(&standin::table::Config::default()).expect("a table");
    let mut harness = Harness::start(table.address());
    // Time of a decision that was made before a pause of five seconds.
    let decided_at = ids::Time::from_millis(clock::now().as_millis().saturating_sub(5_000));
    let result = harness.write(decided_at).await.map_err(|fault| fault.kind);
    assert_eq!(result, Err(store::Kind::Refused));

    let order = engine::Order::new(ids::Fence::new(1), engine::order::Action::Load, "a", "v1", 1);
    let address: sync::Arc<str> = runner.address().to_string().into();
    let output = Output::Order { op: ids::Op::new(2), target: "t-1".into(), address, order };
    harness.effects.apply(decided_at, output);
    let reply = harness.next_input().await;
    let refused = engine::order::Reply::Refused;
    assert_eq!(reply, Input::Order { op: ids::Op::new(2), reply: refused });

    let requests = |counts: String| counts.contains("\"requests\"");
    assert!(!requests(control(&table, "GET", "/counts", String::new()).await));
    assert!(!requests(control(&runner, "GET", "/counts", String::new()).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_stream_is_cancelled_at_its_runner() {
    let runner = start_runner();
    let mut harness = Harness::start(unused_address());
    harness.begin_chat(runner.address(), 100_000, 0);
    assert_eq!(harness.next_event().await, Event::Accepted);
    harness.effects.apply(clock::now(), Output::Abort { attempt: ATTEMPT });
    let cancelled = async {
        while !control(&runner, "GET", "/counts", String::new()).await.contains("cancelled") {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(DEADLINE, cancelled).await.expect("the stream is cancelled");
}
