//! The HTTP server for operators: accepting and amending bundles, status, state
//! dump, metrics and health checks.

use std::{collections, convert, net, sync, time};

use metrics_exporter_prometheus as prometheus;
use node::operator;
use tokio::sync::oneshot;
use xitca_web::{App, WebContext, body::ResponseBody, http::WebResponse, service::fn_service};

use crate::{body, credential, error, inbox, ready, server, settings};

/// Namespace of the daemon's own operation ids, in their highest byte.
const OP_NAMESPACE: u64 = 6 << 56;
/// Largest request body, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for reading a request body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Maximum number of requests that wait for a reply of the core.
const MAX_PENDING: usize = 1_024;
/// Time after which an idle connection is closed. Operators' tools send several
/// requests in a row, so it is not 0; a graceful stop waits for idle connections,
/// so it is short.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Number of threads that serve operators.
const THREADS: usize = 1;

/// Path prefix of objects; the digest follows.
const OBJECTS_PREFIX: &str = "/v1/objects/";

const JSON_MEDIA_TYPE: &str = "application/json";
const TEXT_MEDIA_TYPE: &str = "text/plain; charset=utf-8";

/// Requests of operators that wait for a reply of the core.
#[derive(Debug, Default)]
pub struct Pending {
    replies: sync::Mutex<collections::HashMap<ids::Op, oneshot::Sender<operator::Reply>>>,
    next: sync::atomic::AtomicU64,
}

impl Pending {
    /// Delivers a reply if the request still waits for it.
    pub fn answer(&self, op: ids::Op, reply: operator::Reply) {
        let Some(sender) = self.lock().remove(&op) else {
            return;
        };
        if sender.send(reply).is_err() {
            tracing::debug!(%op, "an operator disconnected before the reply; it is dropped");
        }
    }

    /// Registers a request and returns its id and the receiver of its reply, or
    /// `None` if too many are waiting.
    fn open(&self) -> Option<(ids::Op, oneshot::Receiver<operator::Reply>)> {
        let number = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let op = ids::Op::new(OP_NAMESPACE | number);
        let (sender, receiver) = oneshot::channel();
        let mut replies = self.lock();
        if replies.len() >= MAX_PENDING {
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

/// State shared by the handlers of the operator server.
#[derive(Clone, Debug)]
pub struct State {
    /// Requests that wait for a reply.
    pub pending: sync::Arc<Pending>,
    /// Sends requests to the decision core.
    pub inbox: inbox::Inbox,
    /// Credential that operators must present.
    pub credential: settings::Credential,
    /// Longest wait for a reply of the core.
    pub timeout: time::Duration,
    /// Readiness that `/readyz` reports.
    pub readiness: sync::Arc<ready::Readiness>,
    /// Renders the metrics for `/metrics`.
    pub metrics: Metrics,
}

/// Handle of the metrics recorder that renders the Prometheus text.
#[derive(Clone)]
pub struct Metrics(pub prometheus::PrometheusHandle);

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Metrics(..)")
    }
}

type Context<'a> = WebContext<'a, State>;

/// Starts the operator server on `listener`.
///
/// # Errors
///
/// [`error::Kind::System`] if the server cannot be started.
pub fn start(state: State, listener: net::TcpListener) -> error::Result<server::Running> {
    let failure =
        |cause: std::io::Error| error::Error::system("start", &"operator listener", &cause);
    let app =
        App::new().with_state(state).at("/", fn_service(serve)).at("/{*rest}", fn_service(serve));
    let http = xitca_web::HttpServer::serve(app.finish())
        .disable_signal()
        .worker_threads(THREADS)
        .keep_alive_timeout(IDLE_TIMEOUT)
        .listen(listener)
        .map_err(failure)?;
    let mut future = http.run();
    let handle = future.handle().map_err(failure)?;
    server::Running::spawn("operator-face", move || future.wait(), move || handle.stop(true))
}

async fn serve(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let response = match context.req().uri().path() {
        "/healthz" => text_response(http::StatusCode::OK, "ok\n"),
        "/readyz" => readiness_response(context.state()),
        _ => serve_authenticated(&mut context).await,
    };
    body::discard(context.body_get_mut()).await;
    Ok(response)
}

fn readiness_response(state: &State) -> WebResponse {
    let now = state.readiness.get();
    if now.ready {
        return text_response(http::StatusCode::OK, "ready\n");
    }
    text_response(http::StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {}\n", now.reason))
}

async fn serve_authenticated(context: &mut Context<'_>) -> WebResponse {
    if !credential::is_valid(context.req().headers(), &context.state().credential) {
        return error_response(
            http::StatusCode::UNAUTHORIZED,
            "send the header `Authorization: Bearer CREDENTIAL` with the operators' credential",
        );
    }
    let method = context.req().method().clone();
    let path = context.req().uri().path().to_owned();
    match (method.as_str(), path.as_str()) {
        ("GET", "/metrics") => {
            text_response(http::StatusCode::OK, context.state().metrics.0.render())
        }
        ("GET", "/state") => request_core(context.state(), operator::Request::State).await,
        ("GET", "/v1/status") => request_core(context.state(), operator::Request::Status).await,
        ("GET", "/v1/bundle") => request_core(context.state(), operator::Request::Document).await,
        ("GET", "/v1/amendments") => {
            request_core(context.state(), operator::Request::Amendments).await
        }
        ("GET", "/v1/history") => request_core(context.state(), operator::Request::History).await,
        ("GET", path) if path.starts_with(OBJECTS_PREFIX) => {
            get_object(context.state(), path).await
        }
        ("POST", "/v1/accept") => accept(context).await,
        ("POST", "/v1/amend") => amend(context).await,
        _ => error_response(
            http::StatusCode::NOT_FOUND,
            "try GET /state, /metrics, /v1/status, /v1/bundle, /v1/amendments, /v1/history, \
             or POST /v1/accept, /v1/amend",
        ),
    }
}

/// Returns the object whose digest is in the path; the history lists digests.
async fn get_object(state: &State, path: &str) -> WebResponse {
    match path[OBJECTS_PREFIX.len()..].parse() {
        Ok(digest) => request_core(state, operator::Request::Object(digest)).await,
        Err(cause) => error_response(http::StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

async fn accept(context: &mut Context<'_>) -> WebResponse {
    let query = context.req().uri().query().unwrap_or_default();
    let replaces = query.split('&').find_map(|part| part.strip_prefix("replaces="));
    let replaces = match replaces.map(str::parse) {
        None => None,
        Some(Ok(version)) => Some(ids::Version::new(version)),
        Some(Err(_)) => {
            return error_response(
                http::StatusCode::BAD_REQUEST,
                "query parameter replaces: expected a version number",
            );
        }
    };
    match read_text_body(context).await {
        Ok(document) => {
            let document = document.into();
            request_core(context.state(), operator::Request::Accept { document, replaces }).await
        }
        Err(response) => response,
    }
}

async fn amend(context: &mut Context<'_>) -> WebResponse {
    let body = match read_text_body(context).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    match serde_json::from_str(&body) {
        Ok(change) => request_core(context.state(), operator::Request::Amend(change)).await,
        Err(cause) => error_response(
            http::StatusCode::BAD_REQUEST,
            &format!("the body is not a valid amendment: {cause}"),
        ),
    }
}

async fn read_text_body(context: &mut Context<'_>) -> Result<String, WebResponse> {
    let reading = body::read(context.body_get_mut(), BODY_BYTES);
    let body = match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Error::TooLarge)) => {
            return Err(error_response(
                http::StatusCode::PAYLOAD_TOO_LARGE,
                &format!("the body exceeds the limit of {BODY_BYTES} bytes"),
            ));
        }
        Ok(Err(cause)) => {
            let reason = format!("reading the body: {cause}");
            return Err(error_response(http::StatusCode::BAD_REQUEST, &reason));
        }
        Err(_elapsed) => {
            let reason = "the body was not received in time";
            return Err(error_response(http::StatusCode::REQUEST_TIMEOUT, reason));
        }
    };
    String::from_utf8(body.into()).map_err(|_cause| {
        error_response(http::StatusCode::BAD_REQUEST, "the body is not valid UTF-8")
    })
}

/// Sends a request to the decision core and converts its reply to a response.
async fn request_core(state: &State, request: operator::Request) -> WebResponse {
    let Some((op, receiver)) = state.pending.open() else {
        let reason = "too many requests are waiting for a reply; retry later";
        return error_response(http::StatusCode::SERVICE_UNAVAILABLE, reason);
    };
    let input = node::Input::Operator { op, request };
    let exchange = async {
        if !state.inbox.send(input).await {
            return None;
        }
        receiver.await.ok()
    };
    let reply = tokio::time::timeout(state.timeout, exchange).await.ok().flatten();
    state.pending.close(op);
    let reply = reply.unwrap_or_else(|| operator::Reply::Unknown {
        reason: "no reply before the timeout; check the status".to_owned(),
    });
    reply_response(&reply)
}

fn reply_response(reply: &operator::Reply) -> WebResponse {
    let status = match reply {
        operator::Reply::Refused { .. } => http::StatusCode::CONFLICT,
        operator::Reply::Unknown { .. } => http::StatusCode::GATEWAY_TIMEOUT,
        _ => http::StatusCode::OK,
    };
    respond(status, JSON_MEDIA_TYPE, serde_json::json!(reply).to_string())
}

fn error_response(status: http::StatusCode, reason: &str) -> WebResponse {
    let reply = operator::Reply::Refused { reason: reason.to_owned() };
    respond(status, JSON_MEDIA_TYPE, serde_json::json!(reply).to_string())
}

fn text_response(status: http::StatusCode, text: impl Into<String>) -> WebResponse {
    respond(status, TEXT_MEDIA_TYPE, text.into())
}

fn respond(status: http::StatusCode, media: &'static str, body: String) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static(media));
    response
}
