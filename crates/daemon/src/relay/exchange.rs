//! One attempt at a target: sends the request and classifies the answer.

use std::{sync, time};

use http::StatusCode;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use platform::answer;
use relay::{
    input::{self, Event},
    output, pause,
};

use crate::{clock, relay::pool};

/// Largest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Largest body of a refusal that is read so that its connection can be used again, in
/// bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Longest time for reading it: normally it arrives with the head.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_millis(50);
/// Interval at which a request that is not answered is checked for its expiry.
const EXPIRY_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Idle connections that may turn out to be closed before a new one is opened.
const MAX_STALE_CONNECTIONS: usize = 3;

/// The request of a call, as the caller sent it.
#[derive(Debug)]
pub struct Request {
    /// Method, path and headers.
    pub head: http::request::Parts,
    /// The complete body.
    pub body: bytes::Bytes,
    /// The caller's id of the call, which the target echoes.
    pub id: sync::Arc<str>,
    /// Addresses to which the request was sent, or was to be sent.
    visited: sync::Mutex<Vec<sync::Arc<str>>>,
}

impl Request {
    /// Creates a request that has not been sent anywhere.
    #[must_use]
    pub const fn new(head: http::request::Parts, body: bytes::Bytes, id: sync::Arc<str>) -> Self {
        Self { head, body, id, visited: sync::Mutex::new(Vec::new()) }
    }

    /// Records that the request is sent to `address`. Returns whether it was before.
    fn visit(&self, address: &sync::Arc<str>) -> bool {
        let mut visited = self.visited.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let was_visited = visited.contains(address);
        if !was_visited {
            visited.push(sync::Arc::clone(address));
        }
        was_visited
    }
}

/// A completely buffered answer.
pub type Answer = http::Response<bytes::Bytes>;

/// Result of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// There is no answer to forward; the event says why.
    NoAnswer(Event),
    /// The target answered with an error status.
    Failure(Answer),
    /// The target answered with a success status.
    Answer(Answer),
    /// The target has begun a streamed answer.
    Stream(Box<Stream>),
}

/// A streamed answer that has begun.
#[derive(Debug)]
pub struct Stream {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The rest of the answer.
    pub body: Incoming,
    /// What delimits the body.
    pub framing: input::Framing,
    /// The connection that carries the stream.
    pub connection: pool::Connection,
    /// How long the target keeps the connection open after the answer.
    pub keep_alive: answer::KeepAlive,
}

impl Stream {
    /// Checks a stream that ended before its first byte.
    ///
    /// # Errors
    ///
    /// [`Event::Broken`] unless the target announced an empty answer: a connection that ends
    /// early may also have been closed by a crash.
    pub fn check_empty(&self) -> Result<(), Event> {
        if self.framing != input::Framing::Connection {
            return Ok(());
        }
        let reason = "the connection ended before the first event".into();
        Err(Event::Broken { reason, last_event: None })
    }
}

/// Sends a call to a target and waits for the complete answer, or for the head
/// of a stream. Passes what the head says about the target to `report` as soon as it arrives.
pub async fn run(
    pool: &pool::Pool,
    request: &Request,
    begin: &output::Begin,
    report: impl Fn(Event) -> bool,
) -> Outcome {
    let (mut connection, response) = match send(pool, request, begin).await {
        Ok(sent) => sent,
        Err(event) => return Outcome::NoAnswer(event),
    };
    let (head, body) = response.into_parts();
    if !is_final(head.status) {
        return broken("the answer has a status that ends no request");
    }
    let answer = answer::decode(&head, &request.id);
    let echo_matches = match answer.echo {
        answer::Echo::Matching => true,
        answer::Echo::Other => false,
        // A fresh connection has carried no other request.
        answer::Echo::Missing => answer.has_not_run && connection.is_fresh,
    };
    if !echo_matches {
        return broken("the answer does not match the request");
    }
    if !answer.notice.is_empty() {
        report(Event::Notice(answer.notice));
    }
    // An answer without an id may be of another process on a connection that was open before.
    if let Some(left) = answer.cold_left.filter(|_| answer.echo == answer::Echo::Matching) {
        report(Event::Cold { left });
    }
    let keep_alive = answer.keep_alive;
    if answer.has_not_run {
        let event =
            Event::Refused { status: head.status.as_u16(), retry_after: answer.retry_after };
        let rest = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        if let Ok(Ok(_rest)) = tokio::time::timeout(REFUSAL_TIMEOUT, rest).await {
            release(pool, connection, keep_alive);
        }
        return Outcome::NoAnswer(event);
    }
    if implies_not_run(head.status) {
        return broken("refused without proof that the request has not run");
    }
    if head.status.is_success() && (!answer.is_signed || answer.is_encoded) {
        return broken("the answer is not signed or is content-encoded");
    }
    if head.status.is_success() && begin.is_stream {
        if !platform::answer::may_be_events(&head.headers) {
            return broken("the answer to a streaming call is not a stream of events");
        }
        connection.is_fresh = false;
        let framing = framing(&head.headers);
        return Outcome::Stream(Box::new(Stream { head, body, framing, connection, keep_alive }));
    }
    match read_body(pool, body).await {
        Ok(bytes) => {
            release(pool, connection, keep_alive);
            let is_success = head.status.is_success();
            let answer = http::Response::from_parts(head, bytes);
            if is_success { Outcome::Answer(answer) } else { Outcome::Failure(answer) }
        }
        Err(reason) => broken(&reason),
    }
}

fn broken(reason: &str) -> Outcome {
    Outcome::NoAnswer(Event::Broken { reason: reason.into(), last_event: None })
}

/// Returns the connection to the pool unless the target closes it.
pub fn release(pool: &pool::Pool, connection: pool::Connection, keep_alive: answer::KeepAlive) {
    match keep_alive {
        answer::KeepAlive::Close => drop(connection),
        answer::KeepAlive::Unspecified => pool.release(connection, None),
        answer::KeepAlive::Timeout(timeout) => pool.release(connection, Some(timeout)),
    }
}

/// Returns what delimits the body of an answer with these headers.
#[must_use]
pub fn framing(headers: &http::HeaderMap) -> input::Framing {
    if headers.contains_key(http::header::TRANSFER_ENCODING) {
        input::Framing::Chunked
    } else if headers.contains_key(http::header::CONTENT_LENGTH) {
        input::Framing::Length
    } else {
        input::Framing::Connection
    }
}

/// Whether an answer with this status ends a request. HTTP has no statuses from 600 on; those
/// below 200 announce an answer, or a change of protocols that nobody asked for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the status by itself claims that the request has not run.
const fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Reads a complete body, within the memory that all answers may take together.
async fn read_body(pool: &pool::Pool, mut body: Incoming) -> Result<bytes::Bytes, String> {
    let mut reserved = pool.reserve();
    let mut buffer = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| cause.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(format!("the answer is longer than {MAX_ANSWER_BYTES} bytes"));
        }
        reserved.add(data.len())?;
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// Sends the request. Retries on another connection if an idle one turns out to
/// be closed.
async fn send(
    pool: &pool::Pool,
    request: &Request,
    begin: &output::Begin,
) -> Result<(pool::Connection, http::Response<Incoming>), Event> {
    // A target that is known by two names may be sent the call twice. On a connection that has
    // carried the call before, a late copy of the first answer would echo the same id.
    let is_repeated = request.visit(&begin.address);
    for retries in 0..=MAX_STALE_CONNECTIONS {
        let may_reuse = retries < MAX_STALE_CONNECTIONS && !is_repeated;
        let acquired = pool.acquire(&begin.address, begin.connections, may_reuse).await;
        let mut connection = acquired.map_err(|reason| Event::Unsent { reason: reason.into() })?;
        if connection.sender.ready().await.is_err() {
            continue;
        }
        let now = clock::now();
        if begin.send_by.is_some_and(|send_by| send_by < now) {
            let reason = "too late for a cold target: it counts requests by the second".into();
            return Err(Event::Unsent { reason });
        }
        // Its data centre may have been drained while the call waited for the connection.
        if pool.withheld.contains(&begin.target) {
            pool.release(connection, None);
            return Err(Event::Withheld);
        }
        let remaining = begin.deadline.since(now);
        let outgoing = platform::call::forward(&request.head, begin, remaining)
            .body(Full::new(request.body.clone()))
            .map_err(|cause| Event::Unsent { reason: cause.to_string().into() })?;
        match connection.sender.try_send_request(outgoing).await {
            Ok(response) => return Ok((connection, response)),
            // The request is returned only if no byte of it was written.
            Err(mut failure) => {
                if failure.take_message().is_some() {
                    continue;
                }
                let reason = failure.error().to_string().into();
                return Err(Event::Broken { reason, last_event: None });
            }
        }
    }
    Err(Event::Unsent { reason: "every connection was closed before the request was sent".into() })
}

/// Sends an internal request to a target and returns status and body. Passes what the head
/// of the answer announces to `notify`.
///
/// # Errors
///
/// A short reason if there is no complete answer within `timeout`.
pub async fn round_trip(
    pool: &pool::Pool,
    address: &sync::Arc<str>,
    request: http::Request<Full<bytes::Bytes>>,
    timeout: time::Duration,
    notify: impl FnMut(pause::Notice),
) -> Result<(StatusCode, bytes::Bytes), String> {
    tokio::time::timeout(timeout, send_internal(pool, address, request, None, notify))
        .await
        .unwrap_or_else(|_elapsed| Err(format!("no answer within {timeout:?}")))
}

/// Sends an internal request as [`round_trip`] does. It does not arrive after `expires_at`,
/// unless the target's own kernel or the network delays what it has taken.
///
/// # Errors
///
/// A short reason if there is no complete answer until `expires_at`.
pub async fn round_trip_until(
    pool: &pool::Pool,
    address: &sync::Arc<str>,
    request: http::Request<Full<bytes::Bytes>>,
    expires_at: ids::Time,
    notify: impl FnMut(pause::Notice),
) -> Result<(StatusCode, bytes::Bytes), String> {
    let timeout = expires_at.since(clock::now());
    tokio::select! {
        biased;
        () = until(expires_at) => Err(format!("no answer within {timeout:?}")),
        answer = send_internal(pool, address, request, Some(expires_at), notify) => answer,
    }
}

/// Waits until `at`. The runtime's timers do not count a suspension, which this clock does.
async fn until(at: ids::Time) {
    loop {
        let left = at.since(clock::now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(EXPIRY_CHECK_INTERVAL)).await;
    }
}

async fn send_internal(
    pool: &pool::Pool,
    address: &sync::Arc<str>,
    request: http::Request<Full<bytes::Bytes>>,
    expires_at: Option<ids::Time>,
    mut notify: impl FnMut(pause::Notice),
) -> Result<(StatusCode, bytes::Bytes), String> {
    let mut connection = pool.acquire(address, usize::MAX, true).await?;
    connection.sender.ready().await.map_err(|cause| cause.to_string())?;
    if let Some(expires_at) = expires_at {
        connection.sender.expiry.set(expires_at);
    }
    let response =
        connection.sender.send_request(request).await.map_err(|cause| cause.to_string())?;
    let (head, body) = response.into_parts();
    if !is_final(head.status) {
        return Err(format!("the status {} ends no request", head.status.as_u16()));
    }
    let answer::Answer { echo, keep_alive, notice, .. } = answer::decode(&head, "");
    // Only answers to calls carry an id: this one is a late copy of an earlier answer.
    if echo != answer::Echo::Missing {
        return Err("the answer belongs to another request".to_owned());
    }
    if !notice.is_empty() {
        notify(notice);
    }
    let bytes = read_body(pool, body).await?;
    connection.sender.expiry.clear();
    // Replies carry no id: a late copy of a refusal would pass for the next reply.
    if head.status.is_success() {
        release(pool, connection, keep_alive);
    }
    Ok((head.status, bytes))
}
