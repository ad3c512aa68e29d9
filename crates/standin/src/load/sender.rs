//! Sends calls and watches their answers.

use std::{net, sync, time};

use crate::{
    Error, client,
    load::{Config, judge, mix, sample, schedule, watch},
    text,
};

/// Header that says what is certain about a call.
const OUTCOME: &str = "primroseplank-outcome";
/// Header that names a stream at a VM.
const STREAM: &str = "primroseplank-stream";
/// Pause before the first retry; each further one is longer by as much.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

pub(super) struct Sender {
    client: client::Client,
    mix: mix::Mix,
    keys: Vec<String>,
    vms: Vec<net::SocketAddr>,
    runners: Vec<net::SocketAddr>,
    sticky: bool,
    seed: u64,
    retries: u32,
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
            vms: config.vms.clone(),
            runners: config.runners.clone(),
            sticky: config.sticky,
            seed: config.seed,
            retries: config.retries,
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
        let direct = self.is_direct(&arrival);
        // What goes past the VMs for comparison takes nothing of an account's rate.
        let is_counted = !direct || self.vms.is_empty();
        let inside = is_counted && self.judge(arrival.account).allows(arrival.at, cost);
        let mut watch = watch::Watch::new(sent);
        let seen = tokio::time::timeout_at(deadline, self.attempt(&arrival, &mut watch)).await;
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
            direct,
            inside,
            outcome,
            whole: sent.elapsed(),
            first: watch.first,
            gaps: watch.gaps,
            retries: watch.retries,
        }
    }

    fn judge(&self, account: usize) -> sync::MutexGuard<'_, judge::Judge> {
        self.judges[account].lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether the call goes to a runner: half of the drafts do if there are VMs as well.
    fn is_direct(&self, arrival: &schedule::Arrival) -> bool {
        let is_draft = matches!(arrival.call, schedule::Call::Draft { .. });
        let is_chosen = self.vms.is_empty() || arrival.choice.is_multiple_of(2);
        !self.runners.is_empty() && is_draft && is_chosen
    }

    fn address(&self, arrival: &schedule::Arrival, retries: u32) -> net::SocketAddr {
        let addresses = if self.is_direct(arrival) { &self.runners } else { &self.vms };
        let choice = if self.sticky { arrival.account } else { arrival.choice as usize / 2 };
        addresses[(choice + retries as usize) % addresses.len()]
    }

    /// Sends the call until it has ended or may not be tried again.
    async fn attempt(
        &self,
        arrival: &schedule::Arrival,
        watch: &mut watch::Watch,
    ) -> sample::Outcome {
        loop {
            let address = self.address(arrival, watch.retries);
            let outcome = match &arrival.call {
                schedule::Call::Service(index) => {
                    let service = &self.mix.services[*index];
                    self.whole(address, self.service_request(address, arrival, service)).await
                }
                schedule::Call::Draft { model, prompt, max_tokens } => {
                    let draft = Draft { model, prompt, max_tokens: *max_tokens };
                    self.stream(address, arrival, draft, watch).await
                }
            };
            if watch.retries == self.retries || !may_retry(arrival, &outcome, watch) {
                return outcome;
            }
            watch.retries += 1;
            tokio::time::sleep(RETRY_PAUSE * watch.retries).await;
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
        match self.keys.get(arrival.account).filter(|_| !self.is_direct(arrival)) {
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

    /// The request for a draft, or for the rest of it if a part is there.
    fn draft_request(
        &self,
        address: net::SocketAddr,
        arrival: &schedule::Arrival,
        mut body: serde_json::Value,
        watch: &watch::Watch,
    ) -> http::Result<http::Request<bytes::Bytes>> {
        let mut request = self.request(address, arrival, "POST", "/v1/chat/completions");
        if self.is_direct(arrival) {
            let attempt = format!("{}-{}", self.name(arrival), watch.retries);
            request = request
                .header(engine::header::CALL, attempt)
                .header(engine::header::STREAM, self.name(arrival))
                .header(engine::header::RESUME_FROM, watch.chunks);
        } else if let Some(stream) = &watch.stream {
            request = request.header(STREAM, stream);
        }
        if let Some(last) = watch.chunks.checked_sub(1) {
            body["continue_text"] = text::range(&text::digest(&body), 0, watch.chunks).into();
            request = request.header("last-event-id", last);
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
            Err(error) => lost(&error),
        }
    }

    async fn stream(
        &self,
        address: net::SocketAddr,
        arrival: &schedule::Arrival,
        draft: Draft<'_>,
        watch: &mut watch::Watch,
    ) -> sample::Outcome {
        let body = draft.body();
        let expected = watch::Expected { prompt: text::digest(&body), total: draft.max_tokens };
        let Ok(request) = self.draft_request(address, arrival, body, watch) else {
            return sample::Outcome::NotRun("bad-mix".to_owned());
        };
        let response = match self.client.open(address, request).await {
            Ok(response) => response,
            Err(error) => return lost(&error),
        };
        if !response.status().is_success() {
            return match client::Answer::collect(address, response).await {
                Ok(answer) => failure(&answer),
                Err(_) => sample::Outcome::Cut,
            };
        }
        let name = if self.is_direct(arrival) { engine::header::STREAM } else { STREAM };
        watch.stream = response.headers().get(name).cloned();
        watch.follow(response.into_body(), &expected).await
    }
}

/// A draft to ask for.
#[derive(Clone, Copy)]
struct Draft<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
}

impl Draft<'_> {
    fn body(&self) -> serde_json::Value {
        serde_json::json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.max_tokens,
            "stream": true,
        })
    }
}

/// Whether a careful caller would go on with a call that ended so.
fn may_retry(arrival: &schedule::Arrival, outcome: &sample::Outcome, watch: &watch::Watch) -> bool {
    match (outcome, &arrival.call) {
        // Nothing was sent; lookups may be repeated; a booking has its idempotency key.
        (sample::Outcome::Unreached, _) | (sample::Outcome::Cut, schedule::Call::Service(_)) => {
            true
        }
        (sample::Outcome::Cut | sample::Outcome::Unknown(_), schedule::Call::Draft { .. }) => {
            watch.stream.is_some()
        }
        _ => false,
    }
}

fn lost(error: &Error) -> sample::Outcome {
    if error.step() == client::CONNECT { sample::Outcome::Unreached } else { sample::Outcome::Cut }
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
