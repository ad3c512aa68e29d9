//! One attempt at a target: a request, and its answer if it is one.

use std::{sync, time};

use http::StatusCode;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use platform::answer;
use relay::{input::Event, output};

use crate::{clock, relay::pool};

/// Largest answer that is passed on as a whole, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Kept connections that may turn out to be closed before a request is sent.
const STALE: usize = 3;

/// A call as the caller sent it.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: http::request::Parts,
    /// Its body.
    pub body: bytes::Bytes,
    /// The caller's name for it.
    pub id: sync::Arc<str>,
}

/// An answer that was read to its end.
pub type Whole = http::Response<bytes::Bytes>;

/// What became of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// There is no answer to pass on.
    None(Event),
    /// The target has answered with a failure.
    Failure(Whole),
    /// The target has answered.
    Answer(Whole),
    /// The target has begun a stream.
    Stream(Box<Stream>),
}

/// A stream that has begun.
#[derive(Debug)]
pub struct Stream {
    /// Status and headers.
    pub head: http::response::Parts,
    /// What follows.
    pub body: Incoming,
    /// The connection.
    pub lease: pool::Lease,
    /// How long the target keeps the connection.
    pub keep: answer::KeepAlive,
}

/// Sends a call to a target and waits for the whole answer, or for the head of
/// a stream.
pub async fn run(pool: &pool::Pool, request: &Request, begin: &output::Begin) -> Outcome {
    let (mut lease, response) = match send(pool, request, begin).await {
        Ok(sent) => sent,
        Err(event) => return Outcome::None(event),
    };
    let (head, body) = response.into_parts();
    let answer = answer::decode(&head, &request.id);
    let is_ours = match answer.echo {
        answer::Echo::Matching => true,
        answer::Echo::Other => false,
        // Nothing else can have been asked on a fresh connection.
        answer::Echo::Missing => answer.has_not_run && lease.is_fresh,
    };
    if !is_ours {
        return broken("an answer to another request");
    }
    let keep = answer.keep_alive;
    if answer.has_not_run {
        let event =
            Event::Refused { status: head.status.as_u16(), retry_after: answer.retry_after };
        if whole(body).await.is_ok() {
            give_back(pool, lease, keep);
        }
        return Outcome::None(event);
    }
    if is_promise(head.status) {
        return broken("a refusal without proof that it has not run");
    }
    if head.status.is_success() && (!answer.is_signed || answer.is_encoded) {
        return broken("an answer without a signature");
    }
    if head.status.is_success() && begin.is_stream {
        lease.is_fresh = false;
        return Outcome::Stream(Box::new(Stream { head, body, lease, keep }));
    }
    match whole(body).await {
        Ok(bytes) => {
            give_back(pool, lease, keep);
            let is_success = head.status.is_success();
            let answer = http::Response::from_parts(head, bytes);
            if is_success { Outcome::Answer(answer) } else { Outcome::Failure(answer) }
        }
        Err(reason) => broken(&reason),
    }
}

fn broken(reason: &str) -> Outcome {
    Outcome::None(Event::Broken { reason: reason.into(), last_event: None })
}

/// Keeps the connection if the target does.
pub fn give_back(pool: &pool::Pool, lease: pool::Lease, keep: answer::KeepAlive) {
    match keep {
        answer::KeepAlive::Close => drop(lease),
        answer::KeepAlive::Unspecified => pool.put(lease, None),
        answer::KeepAlive::Timeout(told) => pool.put(lease, Some(told)),
    }
}

/// Whether the status alone promises that a request has not run.
const fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

async fn whole(body: Incoming) -> Result<bytes::Bytes, String> {
    let whole = Limited::new(body, ANSWER_BYTES).collect().await;
    whole.map(http_body_util::Collected::to_bytes).map_err(|cause| cause.to_string())
}

/// Sends the request, on another connection if a kept one turns out closed.
async fn send(
    pool: &pool::Pool,
    request: &Request,
    begin: &output::Begin,
) -> Result<(pool::Lease, http::Response<Incoming>), Event> {
    for tries in 0..=STALE {
        let may_reuse = tries < STALE;
        let got = pool.get(&begin.address, begin.connections, may_reuse).await;
        let mut lease = got.map_err(|reason| Event::Unsent { reason: reason.into() })?;
        if lease.sender.ready().await.is_err() {
            continue;
        }
        let left = begin.deadline.since(clock::now());
        let built = platform::call::forward(&request.head, begin, left)
            .body(Full::new(request.body.clone()))
            .map_err(|cause| Event::Unsent { reason: cause.to_string().into() })?;
        match lease.sender.try_send_request(built).await {
            Ok(response) => return Ok((lease, response)),
            // The request is handed back only if no byte of it was written.
            Err(mut failure) => {
                if failure.take_message().is_some() {
                    continue;
                }
                let reason = failure.error().to_string().into();
                return Err(Event::Broken { reason, last_event: None });
            }
        }
    }
    Err(Event::Unsent { reason: "each connection was closed at once".into() })
}

/// Sends a small request of the system's own to a target, and returns status and body.
///
/// # Errors
///
/// Why there is no whole answer.
pub async fn ask(
    pool: &pool::Pool,
    address: &sync::Arc<str>,
    request: http::Request<Full<bytes::Bytes>>,
    longest: time::Duration,
) -> Result<(StatusCode, bytes::Bytes), String> {
    let asking = async {
        let mut lease = pool.get(address, usize::MAX, true).await?;
        lease.sender.ready().await.map_err(|cause| cause.to_string())?;
        let response =
            lease.sender.send_request(request).await.map_err(|cause| cause.to_string())?;
        let (head, body) = response.into_parts();
        let keep = answer::decode(&head, "").keep_alive;
        let bytes = whole(body).await?;
        give_back(pool, lease, keep);
        Ok((head.status, bytes))
    };
    tokio::time::timeout(longest, asking)
        .await
        .unwrap_or_else(|_elapsed| Err(format!("no answer within {longest:?}")))
}
