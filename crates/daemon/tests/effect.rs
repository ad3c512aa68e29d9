//! Effects against stand-ins: what the core is told of each failure.

use std::{io::Read as _, io::Write as _, net, sync, time};

use daemon::{calls, clock, effect, inbox, operator, peer, ready, settings};
use engine::Event;
use node::{Input, Output};
use standin::{fault, process};

const SETTINGS: &str = include_str!("data/settings.yaml");
const DEADLINE: time::Duration = time::Duration::from_secs(20);
const ATTEMPT: ids::Attempt = ids::Attempt::new(1);

struct Shell {
    calls: sync::Arc<calls::Table>,
    outlet: inbox::Receiver,
    inputs: Vec<Input>,
    effects: effect::Effects,
}

impl Shell {
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

    async fn input(&mut self) -> Input {
        if self.inputs.is_empty() {
            let received = self.outlet.receive(&mut self.inputs, 64);
            tokio::time::timeout(DEADLINE, received).await.expect("an input");
        }
        self.inputs.remove(0)
    }

    async fn event(&mut self) -> Event {
        let Input::Attempt { attempt, event } = self.input().await else {
            panic!("an event of an attempt was expected");
        };
        assert_eq!(attempt, ATTEMPT);
        event
    }

    /// All events of an attempt but the acceptance, up to the last.
    async fn events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        loop {
            let event = self.event().await;
            let last = event.is_last();
            if event != Event::Accepted {
                events.push(event);
            }
            if last {
                return events;
            }
        }
    }

    fn chat(&mut self, address: net::SocketAddr, max_tokens: u64, resume_from: u64) {
        let fields = chat_body();
        let serde_json::Value::Object(fields) = fields else {
            panic!("an object");
        };
        self.begin(calls::Payload::Chat(fields), address, max_tokens, resume_from);
    }

    fn service(&mut self, address: net::SocketAddr, method: http::Method, path: &str) {
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
        // The answer's parts are not looked at here.
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

    async fn table(&mut self, decided: ids::Time) -> store::Result<store::table::Answer> {
        let write = store::table::Write { key: "k".into(), expect: None, value: Some("v".into()) };
        let request = store::table::Request::Write { writes: vec![write] };
        let op = ids::Op::new(1);
        self.effects.apply(decided, Output::Table { op, request });
        let Input::Table { result, .. } = self.input().await else {
            panic!("the table's answer was expected");
        };
        result
    }
}

fn chat_body() -> serde_json::Value {
    let message = serde_json::json!({"role": "user", "content": "Dear host family"});
    serde_json::json!({"model": "draft", "messages": [message]})
}

fn runner() -> process::Process {
    let config = standin::runner::Config::default().with_resident("draft", "v1", 1_000);
    standin::runner::start(&config).expect("a runner")
}

fn desk() -> process::Process {
    standin::service::start(&standin::service::Config::default()).expect("a service")
}

async fn control(process: &process::Process, method: &str, path: &str, body: String) -> String {
    let client = standin::client::Client::new();
    client.send(process.control(), method, path, body).await.expect("an answer").text()
}

async fn fault(process: &process::Process, rule: fault::Rule) {
    let rules = serde_json::json!([rule]).to_string();
    control(process, "PUT", "/faults", rules).await;
}

async fn calls_begun(process: &process::Process) -> usize {
    let calls = control(process, "GET", "/calls", String::new()).await;
    let calls: Vec<standin::ledger::Call> = serde_json::from_str(&calls).expect("a list");
    calls.len()
}

fn unused() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_gives_numbered_chunks_and_its_end() {
    let runner = runner();
    let mut shell = Shell::start(unused());
    shell.chat(runner.address(), 5, 2);
    let events = shell.events().await;
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
async fn failures_of_a_chat_are_told_apart() {
    let runner = runner();
    let mut shell = Shell::start(unused());
    let rule = fault::Rule::new("/v1/chat");
    let broken = |event: &Event| matches!(event, Event::Broken { .. });
    let refused = |event: &Event| matches!(event, Event::Refused { .. });

    fault(&runner, fault::Rule { break_after: Some(2), ..rule.clone() }).await;
    shell.chat(runner.address(), 9, 0);
    let events = shell.events().await;
    assert!(events.len() == 3 && broken(&events[2]), "{events:?}");

    fault(&runner, fault::Rule { refuse: true, ..rule.clone() }).await;
    shell.chat(runner.address(), 9, 0);
    let events = shell.events().await;
    assert!(events.len() == 1 && refused(&events[0]), "{events:?}");

    fault(&runner, fault::Rule { refuse_unproven: true, ..rule.clone() }).await;
    shell.chat(runner.address(), 9, 0);
    let events = shell.events().await;
    assert!(events.len() == 1 && broken(&events[0]), "{events:?}");

    fault(&runner, fault::Rule { lose_request: true, ..rule }).await;
    shell.chat(runner.address(), 9, 0);
    let events = shell.events().await;
    assert!(events.len() == 1 && broken(&events[0]), "{events:?}");

    shell.chat(unused(), 9, 0);
    let events = shell.events().await;
    assert!(matches!(events[..], [Event::Unsent { .. }]), "{events:?}");
}

/// Answers one request with `response` and closes the connection.
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
async fn answer_to_another_call_is_not_taken() {
    let mut shell = Shell::start(unused());
    let crossed =
        "HTTP/1.1 200 OK\r\nx-call-id: vm-2.7.1\r\ncontent-length: 14\r\n\r\ndata: [DONE]\n\n";
    shell.chat(answer_once(crossed), 9, 0);
    let events = shell.events().await;
    assert!(matches!(events[..], [Event::Broken { .. }]), "{events:?}");
    let refusal =
        "HTTP/1.1 503 No\r\nx-call-id: vm-2.7.1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    shell.chat(answer_once(refusal), 9, 0);
    let events = shell.events().await;
    assert!(matches!(events[..], [Event::Broken { .. }]), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_with_a_chunk_without_a_number_is_broken() {
    let mut shell = Shell::start(unused());
    let stream = "HTTP/1.1 200 OK\r\nx-call-id: vm-1.7.1\r\nconnection: close\r\n\r\n\
                  data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n";
    shell.chat(answer_once(stream), 9, 0);
    let events = shell.events().await;
    assert!(matches!(events[..], [Event::Broken { .. }]), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_is_sent_once_whatever_happens_to_its_answer() {
    let desk = desk();
    let mut shell = Shell::start(unused());
    shell.service(desk.address(), http::Method::POST, "/booking");
    let event = shell.event().await;
    assert!(matches!(event, Event::Answer { status: 201, .. }), "{event:?}");
    assert_eq!(calls_begun(&desk).await, 1);

    fault(&desk, fault::Rule { lose_answer: true, ..fault::Rule::new("/booking") }).await;
    shell.service(desk.address(), http::Method::POST, "/booking");
    let event = shell.event().await;
    assert!(matches!(event, Event::Broken { .. }), "{event:?}");
    assert_eq!(calls_begun(&desk).await, 2);

    fault(&desk, fault::Rule { refuse: true, ..fault::Rule::new("/booking") }).await;
    shell.service(desk.address(), http::Method::POST, "/booking");
    let event = shell.event().await;
    assert!(matches!(event, Event::Refused { .. }), "{event:?}");
    assert_eq!(calls_begun(&desk).await, 2);

    shell.service(unused(), http::Method::POST, "/booking");
    let event = shell.event().await;
    assert!(matches!(event, Event::Unsent { .. }), "{event:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn write_is_refused_only_if_it_had_no_effect() {
    let table = standin::table::start(&standin::table::Config::default()).expect("a table");
    let mut shell = Shell::start(table.address());
    let rule = fault::Rule::new("/table");
    let kind = |result: store::Result<store::table::Answer>| result.map_err(|f| f.kind);

    fault(&table, fault::Rule { refuse: true, ..rule.clone() }).await;
    let result = kind(shell.table(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Refused));
    fault(&table, fault::Rule { lose_answer: true, ..rule.clone() }).await;
    let result = kind(shell.table(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Unknown));
    fault(&table, fault::Rule { delay_ms: 1_000, ..rule }).await;
    let result = kind(shell.table(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Unknown));

    let mut cut_off = Shell::start(unused());
    let result = kind(cut_off.table(clock::now()).await);
    assert_eq!(result, Err(store::Kind::Refused));
}

#[tokio::test(flavor = "multi_thread")]
async fn process_that_was_paused_sends_nothing_decided_before() {
    let runner = runner();
    let table = standin::table::start(&standin::table::Config::default()).expect("a table");
    let mut shell = Shell::start(table.address());
    // The moment of a decision taken before a pause of five seconds.
    let before = ids::Time::from_millis(clock::now().as_millis().saturating_sub(5_000));
    let result = shell.table(before).await.map_err(|fault| fault.kind);
    assert_eq!(result, Err(store::Kind::Refused));

    let order = engine::Order::new(ids::Fence::new(1), engine::order::Action::Load, "a", "v1", 1);
    let address: sync::Arc<str> = runner.address().to_string().into();
    let output = Output::Order { op: ids::Op::new(2), target: "t-1".into(), address, order };
    shell.effects.apply(before, output);
    let reply = shell.input().await;
    let refused = engine::order::Reply::Refused;
    assert_eq!(reply, Input::Order { op: ids::Op::new(2), reply: refused });

    let requests = |counts: String| counts.contains("\"requests\"");
    assert!(!requests(control(&table, "GET", "/counts", String::new()).await));
    assert!(!requests(control(&runner, "GET", "/counts", String::new()).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_stream_is_cancelled_at_its_runner() {
    let runner = runner();
    let mut shell = Shell::start(unused());
    shell.chat(runner.address(), 100_000, 0);
    assert_eq!(shell.event().await, Event::Accepted);
    shell.effects.apply(clock::now(), Output::Abort { attempt: ATTEMPT });
    let cancelled = async {
        while !control(&runner, "GET", "/counts", String::new()).await.contains("cancelled") {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(DEADLINE, cancelled).await.expect("the stream is cancelled");
}
