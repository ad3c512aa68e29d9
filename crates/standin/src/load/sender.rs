//! Sends calls and watches their answers.

use std::{net, sync, time};

use http_body_util::BodyExt as _;

use crate::{
    client,
    load::{Config, event, judge, mix, sample, schedule},
    text,
};

/// Header that says what is certain about a call.
const OUTCOME: &str = "primroseplank-outcome";

pub(super) struct Sender {
    client: client::Client,
    mix: mix::Mix,
    keys: Vec<String>,
    addresses: Vec<net::SocketAddr>,
    direct: bool,
    sticky: bool,
    seed: u64,
    judges: Vec<sync::Mutex<judge::Judge>>,
}

impl Sender {
    pub(super) fn new(config: &Config, mix: &mix::Mix, keys: Vec<String>) -> Self {
        let judge = |account: &mix::Account| {
            let rate = account.rate as f64 * config.margin;
            let burst = account.burst as f64 * config.margin;
            sync::Mutex::new(judge::Judge::new(rate, burst))
        };
        Self {
            client: client::Client::new(),
            mix: mix.clone(),
            keys,
            addresses: config.addresses().to_vec(),
            direct: config.is_direct(),
            sticky: config.sticky,
            seed: config.seed,
            judges: mix.accounts.iter().map(judge).collect(),
        }
    }

    /// Sends `arrival` now, `start` being the beginning of the run.
    pub(super) async fn send(
        &self,
        start: tokio::time::Instant,
        arrival: schedule::Arrival,
        deadline: tokio::time::Instant,
    ) -> sample::Sample {
        let sent = tokio::time::Instant::now();
        let cost = arrival.call.cost(&self.mix);
        let inside = self.judge(arrival.account).allows(arrival.at, cost);
        let mut watch = Watch::new(sent);
        let seen = tokio::time::timeout_at(deadline, self.watch(&arrival, &mut watch)).await;
        let outcome = seen.unwrap_or(sample::Outcome::Open);
        if inside && matches!(outcome, sample::Outcome::NotRun(_)) {
            self.judge(arrival.account).refund(cost);
        }
        sample::Sample {
            at: arrival.at,
            late: (sent - start).saturating_sub(arrival.at),
            account: arrival.account,
            service: match arrival.call {
                schedule::Call::Draft { .. } => None,
                schedule::Call::Service(index) => Some(index),
            },
            inside,
            outcome,
            whole: sent.elapsed(),
            first: watch.first,
            gaps: watch.gaps,
        }
    }

    fn judge(&self, account: usize) -> sync::MutexGuard<'_, judge::Judge> {
        self.judges[account].lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn address(&self, arrival: &schedule::Arrival) -> net::SocketAddr {
        let choice = if self.sticky { arrival.account } else { arrival.choice as usize };
        self.addresses[choice % self.addresses.len()]
    }

    async fn watch(&self, arrival: &schedule::Arrival, watch: &mut Watch) -> sample::Outcome {
        let address = self.address(arrival);
        match &arrival.call {
            schedule::Call::Service(index) => {
                let request = self.service_request(address, arrival, &self.mix.services[*index]);
                self.whole(address, request).await
            }
            schedule::Call::Draft { model, prompt, max_tokens } => {
                let body = serde_json::json!({
                    "model": &**model,
                    "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": max_tokens,
                    "stream": true,
                });
                let expected = Expected { prompt: text::digest(&body), total: *max_tokens };
                let request = self.draft_request(address, arrival, &body);
                self.stream(address, request, &expected, watch).await
            }
        }
    }

    /// A request with the account's key but no body yet.
    fn request(
        &self,
        address: net::SocketAddr,
        arrival: &schedule::Arrival,
        method: &str,
        path: &str,
    ) -> http::request::Builder {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        match self.keys.get(arrival.account) {
            Some(key) => request.header("authorization", format!("Bearer {key}")),
            None => request,
        }
    }

    fn name(&self, arrival: &schedule::Arrival) -> String {
        format!("load-{}-{}-{}", self.seed, std::process::id(), arrival.number)
    }

    fn service_request(
        &self,
        address: net::SocketAddr,
        arrival: &schedule::Arrival,
        service: &mix::Service,
    ) -> http::Result<http::Request<bytes::Bytes>> {
        let mut request = self.request(address, arrival, &service.method, &service.path);
        if service.once {
            request = request.header("idempotency-key", self.name(arrival));
        }
        let body = if service.method == "GET" {
            String::new()
        } else {
            serde_json::json!({"number": arrival.number}).to_string()
        };
        request.body(body.into())
    }

    fn draft_request(
        &self,
        address: net::SocketAddr,
        arrival: &schedule::Arrival,
        body: &serde_json::Value,
    ) -> http::Result<http::Request<bytes::Bytes>> {
        let mut request = self.request(address, arrival, "POST", "/v1/chat/completions");
        if self.direct {
            request = request
                .header(engine::header::CALL, self.name(arrival))
                .header(engine::header::STREAM, self.name(arrival));
        }
        request.body(body.to_string().into())
    }

    async fn whole(
        &self,
        address: net::SocketAddr,
        request: http::Result<http::Request<bytes::Bytes>>,
    ) -> sample::Outcome {
        let Ok(request) = request else {
            return sample::Outcome::NotRun("bad-mix".to_owned());
        };
        match self.client.request(address, request).await {
            Ok(answer) if answer.status.is_success() => sample::Outcome::Answered,
            Ok(answer) => failure(&answer),
            Err(_) => sample::Outcome::Cut,
        }
    }

    async fn stream(
        &self,
        address: net::SocketAddr,
        request: http::Result<http::Request<bytes::Bytes>>,
        expected: &Expected,
        watch: &mut Watch,
    ) -> sample::Outcome {
        let Ok(request) = request else {
            return sample::Outcome::NotRun("bad-mix".to_owned());
        };
        let Ok(response) = self.client.open(address, request).await else {
            return sample::Outcome::Cut;
        };
        if !response.status().is_success() {
            return match client::Answer::collect(address, response).await {
                Ok(answer) => failure(&answer),
                Err(_) => sample::Outcome::Cut,
            };
        }
        watch.follow(response.into_body(), expected).await
    }
}

/// What an error answer says.
fn failure(answer: &client::Answer) -> sample::Outcome {
    let value: serde_json::Value = answer.json().unwrap_or_default();
    let code = value["error"]["code"].as_str();
    let code = code.map_or_else(|| answer.status.as_u16().to_string(), str::to_owned);
    let not_run = answer.headers.get(engine::header::NOT_RUN).is_some_and(|value| value == "1");
    let outcome = answer.headers.get(OUTCOME).and_then(|value| value.to_str().ok());
    match outcome {
        Some("not-run") => sample::Outcome::NotRun(code),
        None if not_run => sample::Outcome::NotRun(code),
        _ => sample::Outcome::Unknown(code),
    }
}

/// The answer that a draft must have.
struct Expected {
    prompt: ids::Digest,
    total: u32,
}

/// Times of a stream's tokens.
struct Watch {
    sent: tokio::time::Instant,
    last: tokio::time::Instant,
    first: Option<time::Duration>,
    gaps: Vec<time::Duration>,
    chunks: u64,
}

impl Watch {
    const fn new(sent: tokio::time::Instant) -> Self {
        Self { sent, last: sent, first: None, gaps: Vec::new(), chunks: 0 }
    }

    async fn follow(
        &mut self,
        mut body: hyper::body::Incoming,
        expected: &Expected,
    ) -> sample::Outcome {
        let mut parser = event::Parser::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return sample::Outcome::Cut;
            };
            if let Some(data) = frame.data_ref() {
                parser.push(data);
            }
            while let Some(event) = parser.take() {
                if let Some(outcome) = self.take(&event, expected) {
                    return outcome;
                }
            }
        }
        sample::Outcome::Cut
    }

    /// Notes an event; returns how the call ended, if it did.
    fn take(&mut self, event: &event::Event, expected: &Expected) -> Option<sample::Outcome> {
        if event.data == "[DONE]" {
            let is_whole = self.chunks == u64::from(expected.total);
            return Some(if is_whole { sample::Outcome::Answered } else { sample::Outcome::Wrong });
        }
        let data: serde_json::Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.name == "error" {
            let code = data["code"].as_str().unwrap_or("none").to_owned();
            return Some(match data["outcome"].as_str() {
                Some("not-run") => sample::Outcome::NotRun(code),
                _ => sample::Outcome::Unknown(code),
            });
        }
        let content = data["choices"][0]["delta"]["content"].as_str()?;
        if content != text::chunk(&expected.prompt, self.chunks) {
            return Some(sample::Outcome::Wrong);
        }
        self.count();
        None
    }

    fn count(&mut self) {
        let now = tokio::time::Instant::now();
        if self.chunks == 0 {
            self.first = Some(now - self.sent);
        } else {
            self.gaps.push(now - self.last);
        }
        self.last = now;
        self.chunks += 1;
    }
}
