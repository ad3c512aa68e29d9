//! The HTTP server for callers: chats, the list of models and plain services.

pub mod answer;
pub mod chat;
pub mod problem;
pub mod reply;
pub mod request;

use std::{convert, net, sync, time};

use node::call;
use xitca_web::{App, WebContext, http::WebResponse, service::fn_service};

use crate::{body, calls, error, inbox, ready, server, settings};

/// Largest request head, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// State shared by the handlers of the caller server.
#[derive(Debug)]
pub struct State {
    calls: sync::Arc<calls::Table>,
    inbox: inbox::Inbox,
    body_bytes: usize,
    body_timeout: time::Duration,
    readiness: sync::Arc<ready::Readiness>,
}

/// The state as shared between the server's threads.
pub type Shared = sync::Arc<State>;

type Context<'a> = WebContext<'a, Shared>;

impl State {
    /// Creates the state of a server with the given limits.
    #[must_use]
    pub fn new(
        calls: sync::Arc<calls::Table>,
        inbox: inbox::Inbox,
        limits: &settings::Limits,
        readiness: sync::Arc<ready::Readiness>,
    ) -> Self {
        Self {
            calls,
            inbox,
            body_bytes: limits.body_bytes.count(),
            body_timeout: limits.body_ms.millis(),
            readiness,
        }
    }
}

/// Starts the caller server on `listener`.
///
/// # Errors
///
/// [`error::Kind::System`] if the server cannot be started.
pub fn start(
    state: State,
    listener: net::TcpListener,
    limits: &settings::Limits,
) -> error::Result<server::Running> {
    let app = App::new()
        .with_state(sync::Arc::new(state))
        .at("/v1/chat/completions", fn_service(handle_chat))
        .at("/v1/models", fn_service(handle_models))
        .at("/svc/{*rest}", fn_service(handle_service))
        .at("/{*rest}", fn_service(handle_unknown))
        .at("/", fn_service(handle_unknown));
    let http = xitca_web::HttpServer::serve(app.finish())
        .disable_signal()
        .worker_threads(limits.threads.count())
        .keep_alive_timeout(limits.keep_alive_ms.millis())
        .max_read_buf_size::<HEAD_BYTES>()
        .listen(listener)
        .map_err(|cause| error::Error::system("start", &"caller listener", &cause))?;
    let mut future = http.run();
    let handle = future
        .handle()
        .map_err(|cause| error::Error::system("start", &"caller listener", &cause))?;
    server::Running::spawn("caller-face", move || future.wait(), move || handle.stop(true))
}

async fn handle_chat(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let result = serve_chat(&mut context).await;
    Ok(finish(context, result).await)
}

async fn serve_chat(context: &mut Context<'_>) -> problem::Result<WebResponse> {
    let state = &sync::Arc::clone(context.state());
    request::require_method(context, &http::Method::POST)?;
    let key = request::presented_key(context.req().headers())?;
    let resume = request::resume_point(context.req().headers())?;
    let patience = request::max_wait(context.req().headers())?;
    let idempotency = request::idempotency_key(context.req().headers())?;
    let body = request::read_body(context, state.body_bytes, state.body_timeout).await?;
    let chat = chat::Chat::parse(&body)?;
    let resume = chat.resume(resume)?;
    let digest = request::digest(context.req(), &chat.canonical());
    let work = chat.work();
    let format = chat.format();
    let (call, parts) = open_call(state, calls::Payload::Chat(chat.into_fields()))?;
    let answer = answer::Answer::new(call, parts, state);
    let arrival = call::Arrival { call, key, work, idempotency, digest, resume, patience };
    send_arrival(state, arrival).await?;
    Ok(reply::chat_response(answer, format).await)
}

async fn handle_models(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let result = serve_models(&mut context).await;
    Ok(finish(context, result).await)
}

async fn serve_models(context: &mut Context<'_>) -> problem::Result<WebResponse> {
    let state = &sync::Arc::clone(context.state());
    request::require_method(context, &http::Method::GET)?;
    let key = request::presented_key(context.req().headers())?;
    let (call, parts) = open_call(state, calls::Payload::None)?;
    let answer = answer::Answer::new(call, parts, state);
    let arrival = call::Arrival {
        call,
        key,
        work: call::Work::Models,
        idempotency: None,
        digest: ids::Digest::default(),
        resume: None,
        patience: None,
    };
    send_arrival(state, arrival).await?;
    Ok(reply::whole_response(answer).await)
}

async fn handle_service(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let result = serve_service(&mut context).await;
    Ok(finish(context, result).await)
}

async fn serve_service(context: &mut Context<'_>) -> problem::Result<WebResponse> {
    let state = &sync::Arc::clone(context.state());
    let key = request::presented_key(context.req().headers())?;
    let patience = request::max_wait(context.req().headers())?;
    let idempotency = request::idempotency_key(context.req().headers())?;
    let body = request::read_body(context, state.body_bytes, state.body_timeout).await?;
    let digest = request::digest(context.req(), &body);
    let (work, payload) = request::service_call(context.req(), body)?;
    let (call, parts) = open_call(state, payload)?;
    let answer = answer::Answer::new(call, parts, state);
    let arrival = call::Arrival { call, key, work, idempotency, digest, resume: None, patience };
    send_arrival(state, arrival).await?;
    Ok(reply::whole_response(answer).await)
}

async fn handle_unknown(context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let path = context.req().uri().path();
    let problem = problem::Problem::new(
        problem::Code::NotFound,
        format!(
            "{path} is not a known path; \
             try /v1/chat/completions, /v1/models or /svc/SERVICE/PATH"
        ),
    );
    Ok(finish(context, Err(problem)).await)
}

fn open_call(
    state: &State,
    payload: calls::Payload,
) -> problem::Result<(ids::Call, tokio::sync::mpsc::Receiver<calls::Part>)> {
    state.calls.open(payload).ok_or_else(|| {
        problem::Problem::new(
            problem::Code::Core(call::Code::Overloaded),
            "this VM has too many open calls",
        )
    })
}

async fn send_arrival(state: &State, arrival: call::Arrival) -> problem::Result<()> {
    if state.inbox.send(node::Input::Arrival(arrival)).await {
        return Ok(());
    }
    Err(problem::Problem::new(problem::Code::Core(call::Code::Stopping), "this VM has stopped"))
}

/// Completes a request. An unread body is discarded so that the connection can be
/// reused; while the VM is stopping, the connection is closed instead.
async fn finish(mut context: Context<'_>, result: problem::Result<WebResponse>) -> WebResponse {
    let mut response = match result {
        Ok(response) => response,
        Err(problem) => {
            body::discard(context.body_get_mut()).await;
            reply::problem_response(&problem)
        }
    };
    if context.state().readiness.is_stopping() {
        response
            .headers_mut()
            .insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}
