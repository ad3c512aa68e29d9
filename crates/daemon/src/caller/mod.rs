//! The caller face: chats, the list of models and plain services.

pub mod answer;
pub mod chat;
pub mod problem;
pub mod reply;
pub mod request;

use std::{convert, net, sync, time};

use node::call;
use xitca_web::{App, WebContext, http::WebResponse, service::fn_service};

use crate::{body, calls, error, inbox, ready, server, settings};

/// Largest head of a request, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// What every handler of the caller face needs.
#[derive(Debug)]
pub struct State {
    calls: sync::Arc<calls::Table>,
    inbox: inbox::Inbox,
    body_bytes: usize,
    body_time: time::Duration,
    readiness: sync::Arc<ready::Readiness>,
}

/// The state, shared by the threads that serve connections.
pub type Shared = sync::Arc<State>;

type Context<'a> = WebContext<'a, Shared>;

impl State {
    /// The state of a face with the limits of `limits`.
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
            body_time: limits.body_ms.millis(),
            readiness,
        }
    }
}

/// Starts the face on `listener`.
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
        .map_err(|cause| error::Error::system("start", &"caller face", &cause))?;
    let mut future = http.run();
    let handle =
        future.handle().map_err(|cause| error::Error::system("start", &"caller face", &cause))?;
    server::Running::spawn("caller-face", move || future.wait(), move || handle.stop(true))
}

async fn handle_chat(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let served = serve_chat(&mut context).await;
    Ok(finish(context, served).await)
}

async fn serve_chat(context: &mut Context<'_>) -> problem::Result<WebResponse> {
    let state = &sync::Arc::clone(context.state());
    request::allow(context, &http::Method::POST)?;
    let key = request::key(context.req().headers())?;
    let resume = request::resume(context.req().headers())?;
    let patience = request::patience(context.req().headers())?;
    let idempotency = request::idempotency(context.req().headers())?;
    let body = request::body(context, state.body_bytes, state.body_time).await?;
    let chat = chat::Chat::parse(&body)?;
    let resume = chat.resume(resume)?;
    let digest = request::digest(context.req(), &chat.canonical());
    let work = chat.work();
    let shape = chat.shape();
    let (call, parts) = open(state, calls::Payload::Chat(chat.into_fields()))?;
    let answer = answer::Answer::new(call, parts, state);
    let arrival = call::Arrival { call, key, work, idempotency, digest, resume, patience };
    arrive(state, arrival).await?;
    Ok(reply::chat(answer, shape).await)
}

async fn handle_models(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let served = serve_models(&mut context).await;
    Ok(finish(context, served).await)
}

async fn serve_models(context: &mut Context<'_>) -> problem::Result<WebResponse> {
    let state = &sync::Arc::clone(context.state());
    request::allow(context, &http::Method::GET)?;
    let key = request::key(context.req().headers())?;
    let (call, parts) = open(state, calls::Payload::None)?;
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
    arrive(state, arrival).await?;
    Ok(reply::whole(answer).await)
}

async fn handle_service(mut context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let served = serve_service(&mut context).await;
    Ok(finish(context, served).await)
}

async fn serve_service(context: &mut Context<'_>) -> problem::Result<WebResponse> {
    let state = &sync::Arc::clone(context.state());
    let key = request::key(context.req().headers())?;
    let patience = request::patience(context.req().headers())?;
    let idempotency = request::idempotency(context.req().headers())?;
    let body = request::body(context, state.body_bytes, state.body_time).await?;
    let digest = request::digest(context.req(), &body);
    let (work, payload) = request::service(context.req(), body)?;
    let (call, parts) = open(state, payload)?;
    let answer = answer::Answer::new(call, parts, state);
    let arrival = call::Arrival { call, key, work, idempotency, digest, resume: None, patience };
    arrive(state, arrival).await?;
    Ok(reply::whole(answer).await)
}

async fn handle_unknown(context: Context<'_>) -> Result<WebResponse, convert::Infallible> {
    let path = context.req().uri().path();
    let problem = problem::Problem::new(
        problem::Code::NotFound,
        format!(
            "{path} is not served here; \
             try /v1/chat/completions, /v1/models or /svc/SERVICE/PATH"
        ),
    );
    Ok(finish(context, Err(problem)).await)
}

fn open(
    state: &State,
    payload: calls::Payload,
) -> problem::Result<(ids::Call, tokio::sync::mpsc::Receiver<calls::Part>)> {
    state.calls.open(payload).ok_or_else(|| {
        problem::Problem::new(
            problem::Code::Core(call::Code::Overloaded),
            "too many calls are open at this VM",
        )
    })
}

async fn arrive(state: &State, arrival: call::Arrival) -> problem::Result<()> {
    if state.inbox.send(node::Input::Arrival(arrival)).await {
        return Ok(());
    }
    Err(problem::Problem::new(problem::Code::Core(call::Code::Stopping), "this VM has stopped"))
}

/// Ends a request: a body that was not looked at is read, so that the
/// connection can be used again, unless the VM stops.
async fn finish(mut context: Context<'_>, served: problem::Result<WebResponse>) -> WebResponse {
    let mut response = match served {
        Ok(response) => response,
        Err(problem) => {
            body::discard(context.body_get_mut()).await;
            reply::problem(&problem)
        }
    };
    if context.state().readiness.is_stopping() {
        response
            .headers_mut()
            .insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}
