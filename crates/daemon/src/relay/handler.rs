//! One call, from its arrival to the end of its answer.

use std::{sync, time};

use http_body_util::BodyExt as _;
use relay::input::Event;

use crate::{
    clock,
    relay::{body, calls, exchange, front, pump},
};

/// Longest time for the body of a request whose caller tells no deadline.
const BODY: time::Duration = time::Duration::from_secs(15);

/// An answer to a caller.
pub type Answer = http::Response<body::Body>;

/// Answers a call.
///
/// # Errors
///
/// [`front::Cut`] if the connection is to be closed without an answer.
pub async fn handle(
    state: sync::Arc<front::State>,
    request: http::Request<hyper::body::Incoming>,
) -> Result<Answer, front::Cut> {
    let arrived = clock::now();
    let (head, incoming) = request.into_parts();
    let envelope = platform::call::decode(&head);
    let longest = envelope.timeout.unwrap_or(BODY).min(BODY);
    let most = state.limits().body_bytes;
    let id = sync::Arc::clone(&envelope.id);
    let read = tokio::time::timeout(longest, body::read(incoming, most)).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(body::Unread::TooLarge)) => return Ok(unread(413, &id)),
        Ok(Err(body::Unread::Broken)) => return Err(front::Cut),
        Err(_elapsed) => return Ok(unread(408, &id)),
    };
    let request = exchange::Request { head, body, id };
    let call = state.calls.open(&state.inbox);
    state.inbox.send(relay::Input::Arrival { call: call.call, envelope, arrived });
    serve(&state, request, call).await
}

/// Answer to a request that was not read to its end; what is left of it cannot
/// be told from the next request, so the connection is closed.
fn unread(status: u16, id: &str) -> Answer {
    let mut answer = own(status, id, None);
    answer.headers_mut().insert(http::header::CONNECTION, front::CLOSE);
    answer
}

/// An answer of the system itself.
fn own(status: u16, id: &str, retry_after: Option<time::Duration>) -> Answer {
    let head = platform::answer::local_head(status, id, retry_after);
    head.body(body::Body::empty()).unwrap_or_else(|cause| {
        // The caller's name for the call is no header value; it gets an answer without.
        tracing::debug!(%cause, "an answer without the call's name");
        let mut answer = http::Response::new(body::Body::empty());
        *answer.status_mut() =
            http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        answer
    })
}

fn pass(whole: exchange::Whole) -> Answer {
    let (mut head, bytes) = whole.into_parts();
    head.headers = platform::answer::end_to_end_headers(&head.headers);
    http::Response::from_parts(head, body::Body::Whole(Some(bytes)))
}

/// Does what the core decides until there is an answer.
async fn serve(
    state: &sync::Arc<front::State>,
    request: exchange::Request,
    mut call: calls::Call,
) -> Result<Answer, front::Cut> {
    let mut failure = None;
    let mut next = call.parts.recv().await;
    loop {
        let part = next.take().ok_or(front::Cut)?;
        let begin = match part {
            calls::Part::Begin(begin) => begin,
            calls::Part::Refuse { status, reason, retry_after } => {
                tracing::debug!(id = %request.id, status, reason, "refused");
                return Ok(own(status, &request.id, retry_after));
            }
            calls::Part::Fail { status, reason } => {
                tracing::debug!(id = %request.id, status, reason, "failed");
                return Ok(own(status, &request.id, None));
            }
            calls::Part::Deliver => return failure.map(pass).ok_or(front::Cut),
        };
        let attempt = begin.attempt;
        let tell = |event| state.inbox.send(relay::Input::Attempt { attempt, event });
        let outcome = tokio::select! {
            outcome = exchange::run(&state.pool, &request, &begin) => outcome,
            // The core has decided without waiting for the target.
            part = call.parts.recv() => {
                next = part;
                continue;
            }
        };
        match outcome {
            exchange::Outcome::None(event) => {
                tell(event);
            }
            exchange::Outcome::Failure(whole) => {
                tell(Event::Failure { status: whole.status().as_u16() });
                failure = Some(whole);
            }
            exchange::Outcome::Answer(whole) => {
                tell(Event::Began);
                tell(Event::Ended);
                return Ok(pass(whole));
            }
            exchange::Outcome::Stream(stream) => match first(*stream, &mut call).await {
                First::Events(stream, events) => {
                    tell(Event::Began);
                    return Ok(pump::start(state, request, call, begin, stream, events));
                }
                First::Broken(event) => {
                    tell(event);
                }
                First::Decided(part) => {
                    next = part;
                    continue;
                }
            },
        }
        next = call.parts.recv().await;
    }
}

/// What comes first of a stream.
enum First {
    /// Its first bytes; none if it has ended without any.
    Events(exchange::Stream, Option<bytes::Bytes>),
    /// It broke off, so that another target may still be asked.
    Broken(Event),
    /// The core has decided without waiting for it.
    Decided(Option<calls::Part>),
}

/// Waits for the first bytes of a stream: until then its failure can be told.
async fn first(mut stream: exchange::Stream, call: &mut calls::Call) -> First {
    tokio::select! {
        frame = stream.body.frame() => match frame {
            None => First::Events(stream, None),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                First::Events(stream, Some(data))
            }
            Some(Err(cause)) => {
                First::Broken(Event::Broken { reason: cause.to_string().into(), last_event: None })
            }
        },
        part = call.parts.recv() => First::Decided(part),
    }
}
