//! Handles one call, from its arrival to the end of its answer.

use std::{sync, time};

use http_body_util::BodyExt as _;
use relay::input::{self, Event};

use crate::{
    clock,
    relay::{access, body, calls, exchange, front, pump},
};

/// Longest time for receiving the body of a request; a shorter timeout of the caller wins.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Delay after which a caller may retry whose body found no memory.
const FULL_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// An HTTP response to a caller.
pub type Answer = http::Response<body::Body>;

/// Receives a call on the connection with this pass, passes it to the core and returns the answer.
///
/// # Errors
///
/// [`front::Abort`] if the connection is to be closed without an answer.
pub async fn handle(
    state: sync::Arc<front::State>,
    pass: &access::Pass,
    request: http::Request<hyper::body::Incoming>,
) -> Result<Answer, front::Abort> {
    let arrived = clock::now();
    let (head, mut incoming) = request.into_parts();
    let envelope = platform::call::decode(&head);
    let timeout = envelope.timeout.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let max_bytes = state.limits().body_bytes;
    let id = sync::Arc::clone(&envelope.id);
    let buffer = state.buffers.open(max_bytes);
    let reading = body::read(&mut incoming, buffer, max_bytes);
    let body = match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Error::TooLarge)) => return Ok(unread_answer(413, &id, None, incoming)),
        Ok(Err(body::Error::Full)) => {
            return Ok(unread_answer(503, &id, Some(FULL_RETRY_AFTER), incoming));
        }
        Ok(Err(body::Error::Broken)) => return Err(front::Abort),
        Err(_elapsed) => return Ok(unread_answer(408, &id, None, incoming)),
    };
    if !pass.begin() {
        return Err(front::Abort);
    }
    let request = exchange::Request::new(head, body, id);
    let call = state.calls.open(&state.inbox);
    state.inbox.send(relay::Input::Arrival { call: call.id, envelope, arrived });
    serve(&state, request, call).await
}

/// Answers a request whose body was not read completely. The connection is
/// closed, because the unread rest cannot be told from the next request.
fn unread_answer(
    status: u16,
    id: &str,
    retry_after: Option<time::Duration>,
    rest: hyper::body::Incoming,
) -> Answer {
    tokio::spawn(body::discard(rest));
    let mut answer = local_answer(status, id, retry_after);
    answer.headers_mut().insert(http::header::CONNECTION, front::CONNECTION_CLOSE);
    answer
}

/// An answer without a body that does not come from a target.
fn local_answer(status: u16, id: &str, retry_after: Option<time::Duration>) -> Answer {
    let head = platform::answer::local_head(status, id, retry_after);
    head.body(body::Body::empty()).unwrap_or_else(|cause| {
        // The caller's id of the call is no valid header value; the answer omits it.
        tracing::debug!(
            %cause,
            "the id of the call is not a valid header value; answering without it"
        );
        let mut answer = http::Response::new(body::Body::empty());
        *answer.status_mut() =
            http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        answer
    })
}

fn forward(answer: exchange::Answer) -> Answer {
    let (mut head, bytes) = answer.into_parts();
    head.headers = platform::answer::end_to_end_headers(&head.headers);
    http::Response::from_parts(head, body::Body::Full(Some(bytes)))
}

/// Carries out the decisions of the core until there is an answer.
async fn serve(
    state: &sync::Arc<front::State>,
    request: exchange::Request,
    mut call: calls::Call,
) -> Result<Answer, front::Abort> {
    let mut failure = None;
    let mut next = call.decisions.recv().await;
    loop {
        let decision = next.take().ok_or(front::Abort)?;
        let begin = match decision {
            calls::Decision::Begin(begin) => begin,
            calls::Decision::Refuse { status, reason, retry_after } => {
                tracing::debug!(id = %request.id, status, reason, "refused");
                return Ok(local_answer(status, &request.id, retry_after));
            }
            calls::Decision::Fail { status, reason } => {
                tracing::debug!(id = %request.id, status, reason, "failed");
                return Ok(local_answer(status, &request.id, None));
            }
            calls::Decision::Deliver => return failure.map(forward).ok_or(front::Abort),
        };
        let attempt = begin.attempt;
        let send_event = |event| state.inbox.send(relay::Input::Attempt { attempt, event });
        let outcome = tokio::select! {
            outcome = exchange::run(&state.pool, &request, &begin, send_event) => outcome,
            // The core decided before the target answered.
            decision = call.decisions.recv() => {
                next = decision;
                continue;
            }
        };
        match outcome {
            exchange::Outcome::NoAnswer(event) => {
                send_event(event);
            }
            exchange::Outcome::Failure(answer) => {
                send_event(Event::Failure { status: answer.status().as_u16() });
                failure = Some(answer);
            }
            exchange::Outcome::Answer(answer) => {
                send_event(Event::Began);
                let framing = exchange::framing(answer.headers());
                send_event(Event::Ended(input::Summary { framing, ..input::Summary::default() }));
                return Ok(forward(answer));
            }
            exchange::Outcome::Stream(stream) => match receive_start(*stream, &mut call).await {
                Start::Data(stream, data) => {
                    send_event(Event::Began);
                    return Ok(pump::start(state, request, call, begin, stream, data));
                }
                Start::Broken(event) => {
                    send_event(event);
                }
                Start::Decided(decision) => {
                    next = decision;
                    continue;
                }
            },
        }
        next = call.decisions.recv().await;
    }
}

/// How a streamed answer starts.
enum Start {
    /// The stream and its first bytes; `None` if it ended without any.
    Data(exchange::Stream, Option<bytes::Bytes>),
    /// It failed before any byte was forwarded, so another target may be tried.
    Broken(Event),
    /// The core decided before the stream started; `None` if the core has ended.
    Decided(Option<calls::Decision>),
}

/// Waits for the first bytes of a stream. Until then a failure can still be
/// reported by status or retried.
async fn receive_start(mut stream: exchange::Stream, call: &mut calls::Call) -> Start {
    tokio::select! {
        frame = stream.body.frame() => match frame {
            None => match stream.check_empty() {
                Ok(()) => Start::Data(stream, None),
                Err(event) => Start::Broken(event),
            },
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                Start::Data(stream, Some(data))
            }
            Some(Err(cause)) => {
                Start::Broken(Event::Broken { reason: cause.to_string().into(), last_event: None })
            }
        },
        decision = call.decisions.recv() => Start::Decided(decision),
    }
}
