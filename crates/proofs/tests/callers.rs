//! Checks the callers' page against a running deployment: its example requests
//! succeed, and errors have the status and outcome in its table.

use proofs::{caller, fleet};

const PAGE: &str = include_str!("../../../docs/CALLERS.md");

/// Stream id in the page's examples.
const STREAM: &str = "vm-1.1796360612743.1@runner-3";

/// An example request of the page.
#[derive(Clone, Debug)]
struct Example {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Example {
    fn parse(text: &str) -> Self {
        let (head, body) = text.split_once("\n\n").unwrap_or((text, ""));
        let mut lines = head.lines();
        let first = lines.next().and_then(|line| line.split_once(' '));
        let (method, path) = first.expect("method and path");
        let header = |line: &str| {
            let (name, value) = line.split_once(": ").expect("a header");
            (name.to_ascii_lowercase(), value.to_owned())
        };
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: lines.map(header).collect(),
            body: body.trim().to_owned(),
        }
    }

    /// The headers without the key, with [`STREAM`] replaced by `stream`.
    fn headers<'a>(&'a self, stream: &'a str) -> Vec<(&'a str, &'a str)> {
        // The client adds its own key.
        let sent = self.headers.iter().filter(|(name, _)| name != "authorization");
        let value = |value: &'a str| if value == STREAM { stream } else { value };
        sent.map(|(name, text)| (name.as_str(), value(text))).collect()
    }

    fn has_header(&self, name: &str) -> bool {
        self.headers.iter().any(|(header, _)| header == name)
    }
}

/// All example requests of the page, in order.
fn examples() -> Vec<Example> {
    let blocks = PAGE.split("```http\n").skip(1);
    blocks.map(|block| Example::parse(block.split("```").next().unwrap_or_default())).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn examples_of_the_callers_page_succeed() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 2, runners: 1, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    let mut stream = String::new();
    let mut first = caller::Transcript::default();
    let examples = examples();
    assert_eq!(examples.len(), 5, "{examples:?}");
    for (index, example) in examples.iter().enumerate() {
        assert!(example.has_header("authorization"), "{example:?}");
        let (address, headers) = (fleet.caller_address(index % 2), example.headers(&stream));
        if example.path.starts_with("/v1/chat") {
            let answer = caller.stream(address, &headers, &example.body).await?;
            let name = answer.header("primroseplank-stream").to_owned();
            let whole = answer.read_to_end().await?;
            assert!(whole.is_done, "{example:?}: {whole:?}");
            if example.has_header("last-event-id") {
                assert_eq!(whole.seqs, first.seqs[2..], "the stream resumes at the next chunk");
            } else {
                assert_eq!(whole.seqs, (0..12).collect::<Vec<_>>());
                first = whole;
                stream = name;
            }
            continue;
        }
        let (method, path) = (&example.method, &example.path);
        let answer = caller.send(address, method, path, &headers, &example.body).await?;
        assert!(answer.status.is_success(), "{example:?}: {}", answer.text());
        if example.has_header("idempotency-key") {
            let again = caller.send(fleet.caller_address(0), method, path, &headers, &example.body);
            let again = again.await?;
            assert_eq!(again.text(), answer.text());
            assert_eq!(again.headers["idempotent-replayed"], "true");
        }
    }
    let calls = fleet::Fleet::calls(&fleet.desk).await?;
    assert_eq!(calls.iter().filter(|call| call.path == "/booking").count(), 1);
    Ok(())
}

/// Status and first outcome in the page's table for the error `code`.
fn documented_error(code: &str) -> (String, String) {
    let name = format!("`{code}`");
    let row = PAGE.lines().find(|line| line.starts_with("| `") && line.contains(&name));
    let row = row.unwrap_or_else(|| panic!("{code} is not in the table"));
    let cells: Vec<_> = row.trim_matches('|').split(" | ").map(str::trim).collect();
    let outcome = cells[2].split('`').nth(1).unwrap_or_default();
    (cells[1].to_owned(), outcome.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_have_the_documented_status_and_outcome() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 1, runners: 1, ..fleet::Config::default() })
            .await?;
    let chat = fleet::chat_body(2, false, "a draft");
    let model = |name: &str| chat.replace("\"draft\"", &format!("\"{name}\""));
    let large = fleet::chat_body(2, false, &"x".repeat(70_000));
    let streamed = fleet::chat_body(12, true, "a draft");
    let (other, absent) = (model("other"), model("draft:absent"));
    let key = [("idempotency-key", "conflict-1")];
    let resume = [("primroseplank-stream", "vm-9.1.1"), ("last-event-id", "1")];
    let path = "/v1/chat/completions";
    let cases: [Case<'_>; 11] = [
        ("bad-request", "POST", path, &[], "no JSON"),
        ("unknown-model", "POST", path, &[], &other),
        ("unknown-adapter", "POST", path, &[], &absent),
        ("too-large", "POST", path, &[], &large),
        ("unknown-stream", "POST", path, &resume, &streamed),
        ("unknown-service", "GET", "/svc/absent/x", &[], ""),
        ("unknown-route", "GET", "/svc/desk/absent", &[], ""),
        ("not-found", "GET", "/v2/absent", &[], ""),
        ("method-not-allowed", "DELETE", path, &[], ""),
        ("missing-idempotency-key", "POST", "/svc/desk/booking", &[], "{}"),
        ("idempotency-conflict", "POST", "/svc/desk/booking", &key, "{\"other\":1}"),
    ];
    let caller = fleet.caller();
    let address = fleet.caller_address(0);
    let booked = caller.send(address, "POST", "/svc/desk/booking", &key, "{}").await?;
    assert!(booked.status.is_success(), "{}", booked.text());
    for (code, method, path, headers, body) in cases {
        let answer = caller.send(address, method, path, headers, body).await?;
        assert_documented(code, &answer);
    }
    for (code, key) in [("missing-key", None), ("invalid-key", Some("pp.mayors-1.wrong"))] {
        let caller = caller::Caller::new(key);
        assert_documented(code, &caller.send(address, "GET", "/v1/models", &[], "").await?);
    }
    Ok(())
}

/// Expected error code, then method, path, headers and body of a request.
type Case<'a> = (&'a str, &'a str, &'a str, &'a [(&'a str, &'a str)], &'a str);

/// Checks an error response against the page's table.
fn assert_documented(code: &str, answer: &caller::Answer) {
    let error: serde_json::Value = answer.json().unwrap_or_default();
    assert_eq!(error["error"]["code"], code, "{}", answer.text());
    let (status, outcome) = documented_error(code);
    assert!(status.contains(answer.status.as_str()), "{code}: {}, not {status}", answer.status);
    assert_eq!(error["error"]["outcome"], outcome.as_str(), "{code}");
    assert_eq!(answer.headers["primroseplank-outcome"], outcome.as_str(), "{code}");
}
