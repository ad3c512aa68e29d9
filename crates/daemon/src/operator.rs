//! The operator face: accepting and amending, status, dump, metrics, health.

use std::{collections, convert, net, sync, time};

use metrics_exporter_prometheus as prometheus;
use node::operator;
use tokio::sync::oneshot;
use xitca_web::{App, WebContext, body::ResponseBody, http::WebResponse, service::fn_service};

use crate::{body, credential, error, inbox, ready, server, settings};

/// Area of the shell's own operations, in the highest byte of their number.
const AREA: u64 = 6 << 56;
/// Largest document or change, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest time for a document or a change to arrive.
const BODY_TIME: time::Duration = time::Duration::from_secs(30);
/// Most operators that wait for an answer at once.
const WAITING: usize = 1_024;
/// How long a connection without a request is kept: the operators' tools ask
/// several things in a row, and a planned stop waits for these connections.
const IDLE: time::Duration = time::Duration::from_secs(2);
/// Threads that serve operators.
const THREADS: usize = 1;

/// What the paths of objects begin with.
const OBJECTS: &str = "/v1/objects/";

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

/// Operators that wait for an answer.
#[derive(Debug, Default)]
pub struct Pending {
    replies: sync::Mutex<collections::HashMap<ids::Op, oneshot::Sender<operator::Reply>>>,
    next: sync::atomic::AtomicU64,
}

impl Pending {
    /// Answers an operator, if that one still waits.
    pub fn answer(&self, op: ids::Op, reply: operator::Reply) {
        let Some(sender) = self.lock().remove(&op) else {
            return;
        };
        if sender.send(reply).is_err() {
            tracing::debug!(%op, "an operator left before the answer");
        }
    }

    /// A place for an operator; none while too many wait.
    fn open(&self) -> Option<(ids::Op, oneshot::Receiver<operator::Reply>)> {
        let number = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let op = ids::Op::new(AREA | number);
        let (sender, receiver) = oneshot::channel();
        let mut replies = self.lock();
        if replies.len() >= WAITING {
            return None;
        }
        replies.insert(op, sender);
        Some((op, receiver))
    }

    fn close(&self, op: ids::Op) {
        self.lock().remove(&op);
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<ids::Op, oneshot::Sender<operator::Reply>>> {
        self.replies.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// What every handler of the operator face needs.
#[derive(Clone, Debug)]
pub struct State {
    /// Operators that wait for an answer.
    pub waiting: sync::Arc<Pending>,
    /// The way to the decision core.
    pub inbox: inbox::Inbox,
    /// The operators' credential.
    pub credential: settings::Credential,
    /// Longest time until an answer.
    pub longest: time::Duration,
    /// Whether the VM is ready.
    pub readiness: sync::Arc<ready::Readiness>,
    /// The metrics.
    pub metrics: Metrics,
}

/// The recorder's end that renders the metrics.
#[derive(Clone)]
pub struct Metrics(pub prometheus::PrometheusHandle);

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Metrics(..)")
    }
}

type Context<'a> = WebContext<'a, State>;

/// Starts the face on `listener`.
///
/// # Errors
///
/// [`error::Kind::System`] if the server cannot be started.
pub fn start(state: State, listener: net::TcpListener) -> error::Result<server::Running> {
    let fault = |cause: std::io::Error| error::Error::system("start", &"operator face", &cause);
    let app =
        App::new().with_state(state).at("/", fn_service(serve)).at("/{*rest}", fn_service(serve));
    let http = xitca_web::HttpServer::serve(app.finish())
        .disable_signal()
        .worker_threads(THREADS)
        .keep_alive_timeout(IDLE)
        .listen(listener)
        .map_err(fault)?;
    let mut future = http.run();
    let handle = future.handle().map_err(fault)?;
    server::Running::spawn("operator-face", move || future.wait(), move || handle.stop(true))
}

async fn serve(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let response = match context.req().uri().path() {
        "/healthz" => text(http::StatusCode::OK, "ok\n"),
        "/readyz" => readiness(context.state()),
        _ => guarded(&mut context).await,
    };
    body::discard(context.body_get_mut()).await;
    Ok(response)
}

fn readiness(state: &State) -> WebResponse {
    let now = state.readiness.get();
    if now.ready {
        return text(http::StatusCode::OK, "ready\n");
    }
    text(http::StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {}\n", now.reason))
}

async fn guarded(context: &mut Context<'_>) -> WebResponse {
    if !credential::presented(context.req().headers(), &context.state().credential) {
        return refused(
            http::StatusCode::UNAUTHORIZED,
            "send the header `Authorization: Bearer CREDENTIAL` with the operators' credential",
        );
    }
    let method = context.req().method().clone();
    let path = context.req().uri().path().to_owned();
    match (method.as_str(), path.as_str()) {
        ("GET", "/metrics") => text(http::StatusCode::OK, context.state().metrics.0.render()),
        ("GET", "/state") => ask(context.state(), operator::Request::State).await,
        ("GET", "/v1/status") => ask(context.state(), operator::Request::Status).await,
        ("GET", "/v1/bundle") => ask(context.state(), operator::Request::Document).await,
        ("GET", "/v1/amendments") => ask(context.state(), operator::Request::Amendments).await,
        ("GET", "/v1/history") => ask(context.state(), operator::Request::History).await,
        ("GET", path) if path.starts_with(OBJECTS) => object(context.state(), path).await,
        ("POST", "/v1/accept") => accept(context).await,
        ("POST", "/v1/amend") => amend(context).await,
        _ => refused(
            http::StatusCode::NOT_FOUND,
            "try GET /state, /metrics, /v1/status, /v1/bundle, /v1/amendments, /v1/history, \
             or POST /v1/accept, /v1/amend",
        ),
    }
}

/// Reads an object that the history names.
async fn object(state: &State, path: &str) -> WebResponse {
    match path[OBJECTS.len()..].parse() {
        Ok(digest) => ask(state, operator::Request::Object(digest)).await,
        Err(cause) => refused(http::StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

async fn accept(context: &mut Context<'_>) -> WebResponse {
    let query = context.req().uri().query().unwrap_or_default();
    let replaces = query.split('&').find_map(|part| part.strip_prefix("replaces="));
    let replaces = match replaces.map(str::parse) {
        None => None,
        Some(Ok(version)) => Some(ids::Version::new(version)),
        Some(Err(_)) => {
            return refused(
                http::StatusCode::BAD_REQUEST,
                "query parameter replaces: a version is a number",
            );
        }
    };
    match text_body(context).await {
        Ok(document) => {
            let document = document.into();
            ask(context.state(), operator::Request::Accept { document, replaces }).await
        }
        Err(response) => response,
    }
}

async fn amend(context: &mut Context<'_>) -> WebResponse {
    let body = match text_body(context).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    match serde_json::from_str(&body) {
        Ok(change) => ask(context.state(), operator::Request::Amend(change)).await,
        Err(cause) => refused(
            http::StatusCode::BAD_REQUEST,
            &format!("the body is no change of the amendments: {cause}"),
        ),
    }
}

async fn text_body(context: &mut Context<'_>) -> Result<String, WebResponse> {
    let reading = body::read(context.body_get_mut(), BODY_BYTES);
    let body = match tokio::time::timeout(BODY_TIME, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Error::TooLarge)) => {
            return Err(refused(
                http::StatusCode::PAYLOAD_TOO_LARGE,
                &format!("a body may have {BODY_BYTES} bytes at most"),
            ));
        }
        Ok(Err(cause)) => {
            let reason = format!("reading the body: {cause}");
            return Err(refused(http::StatusCode::BAD_REQUEST, &reason));
        }
        Err(_elapsed) => {
            let reason = "the body did not arrive in time";
            return Err(refused(http::StatusCode::REQUEST_TIMEOUT, reason));
        }
    };
    String::from_utf8(body.into())
        .map_err(|_cause| refused(http::StatusCode::BAD_REQUEST, "the body is no UTF-8 text"))
}

/// Asks the decision core and turns its answer into a response.
async fn ask(state: &State, request: operator::Request) -> WebResponse {
    let Some((op, receiver)) = state.waiting.open() else {
        let reason = "too many operators wait for an answer; ask again later";
        return refused(http::StatusCode::SERVICE_UNAVAILABLE, reason);
    };
    let input = node::Input::Operator { op, request };
    let answered = async {
        if !state.inbox.send(input).await {
            return None;
        }
        receiver.await.ok()
    };
    let reply = tokio::time::timeout(state.longest, answered).await.ok().flatten();
    state.waiting.close(op);
    let reply = reply.unwrap_or_else(|| operator::Reply::Unknown {
        reason: "no answer yet; ask for the status".to_owned(),
    });
    answer(&reply)
}

fn answer(reply: &operator::Reply) -> WebResponse {
    let status = match reply {
        operator::Reply::Refused { .. } => http::StatusCode::CONFLICT,
        operator::Reply::Unknown { .. } => http::StatusCode::GATEWAY_TIMEOUT,
        _ => http::StatusCode::OK,
    };
    respond(status, JSON, serde_json::json!(reply).to_string())
}

fn refused(status: http::StatusCode, reason: &str) -> WebResponse {
    let reply = operator::Reply::Refused { reason: reason.to_owned() };
    respond(status, JSON, serde_json::json!(reply).to_string())
}

fn text(status: http::StatusCode, text: impl Into<String>) -> WebResponse {
    respond(status, TEXT, text.into())
}

fn respond(status: http::StatusCode, media: &'static str, body: String) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static(media));
    response
}
