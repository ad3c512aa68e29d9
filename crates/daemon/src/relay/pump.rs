//! Passes a stream of events on to its caller, from one target or several.

use std::{io, sync, time};

use http_body_util::BodyExt as _;
use relay::{input::Event, output};
use tokio::sync::mpsc;

use crate::relay::{body, calls, events, exchange, front, handler};

/// Parts of a stream that wait for a slow caller.
const WAITING: usize = 16;
/// Time between two signs of life of a stream for the core.
const PROGRESS: time::Duration = time::Duration::from_millis(250);

type Caller = mpsc::Sender<io::Result<bytes::Bytes>>;

/// How the stream of one target ended.
enum End {
    /// As a whole.
    Whole,
    /// Before its end.
    Broken(String),
    /// The core has decided something.
    Decided(Option<calls::Part>),
    /// The caller has gone.
    Left,
}

/// What has been passed on so far.
struct Passed {
    cutter: events::Cutter,
    last: Option<u64>,
    has_first: bool,
    told: time::Instant,
}

impl Passed {
    fn new(last: Option<u64>, has_first: bool) -> Self {
        let cutter = events::Cutter::default();
        Self { cutter, last, has_first, told: time::Instant::now() }
    }
}

/// Answers with the head of `stream` and passes on what follows.
#[must_use]
pub fn start(
    state: &sync::Arc<front::State>,
    request: exchange::Request,
    call: calls::Call,
    begin: output::Begin,
    mut stream: exchange::Stream,
    first: Option<bytes::Bytes>,
) -> handler::Answer {
    let (caller, parts) = mpsc::channel(WAITING);
    let headers = platform::answer::end_to_end_headers(&stream.head.headers);
    let mut answer = http::Response::new(body::Body::Stream(parts));
    *answer.status_mut() = stream.head.status;
    *answer.headers_mut() = headers;
    stream.head.headers.clear();
    let state = sync::Arc::clone(state);
    tokio::spawn(async move {
        run(&state, &request, call, begin, stream, first, &caller).await;
    });
    answer
}

async fn run(
    state: &front::State,
    request: &exchange::Request,
    mut call: calls::Call,
    mut begin: output::Begin,
    mut stream: exchange::Stream,
    mut first: Option<bytes::Bytes>,
    caller: &Caller,
) {
    let mut passed = Passed::new(begin.resume_after, false);
    loop {
        let attempt = begin.attempt;
        let tell = |event| state.inbox.send(relay::Input::Attempt { attempt, event });
        let end = one(&mut stream, first.take(), &mut call, &mut passed, caller, &tell).await;
        let mut next = match end {
            End::Whole => {
                exchange::give_back(&state.pool, stream.lease, stream.keep);
                tell(Event::Ended);
                return;
            }
            End::Left => return,
            End::Decided(part) => part,
            End::Broken(reason) => {
                tell(Event::Broken { reason: reason.into(), last_event: passed.last });
                call.parts.recv().await
            }
        };
        // Goes on at the targets that the core names until one has begun.
        stream = loop {
            let Some(calls::Part::Begin(again)) = next else {
                cut(caller).await;
                return;
            };
            let tell =
                |event| state.inbox.send(relay::Input::Attempt { attempt: again.attempt, event });
            let outcome = tokio::select! {
                outcome = exchange::run(&state.pool, request, &again) => outcome,
                part = call.parts.recv() => {
                    next = part;
                    continue;
                }
                () = caller.closed() => return,
            };
            match outcome {
                exchange::Outcome::Stream(stream) => {
                    begin = again;
                    break *stream;
                }
                exchange::Outcome::None(event) => tell(event),
                exchange::Outcome::Failure(whole) | exchange::Outcome::Answer(whole) => {
                    tell(Event::Failure { status: whole.status().as_u16() })
                }
            };
            next = call.parts.recv().await;
        };
        passed = Passed::new(passed.last, passed.has_first);
    }
}

/// Cuts the caller's connection off, so that the answer does not look complete.
async fn cut(caller: &Caller) {
    if caller.send(Err(io::Error::other("the stream broke off"))).await.is_err() {
        tracing::debug!("the caller had left");
    }
}

/// Passes on the stream of one target.
async fn one(
    stream: &mut exchange::Stream,
    first: Option<bytes::Bytes>,
    call: &mut calls::Call,
    passed: &mut Passed,
    caller: &Caller,
    tell: &impl Fn(Event) -> bool,
) -> End {
    let mut data = first;
    loop {
        if let Some(bytes) = data.take() {
            let events = passed.cutter.push(&bytes);
            passed.last = events.last.or(passed.last);
            if !events.bytes.is_empty() {
                tokio::select! {
                    sent = caller.send(Ok(events.bytes)) => if sent.is_err() {
                        return End::Left;
                    },
                    part = call.parts.recv() => return End::Decided(part),
                }
                sign(passed, tell);
            }
        }
        tokio::select! {
            frame = stream.body.frame() => match frame {
                None => break,
                Some(Ok(frame)) => data = frame.into_data().ok(),
                Some(Err(cause)) => return End::Broken(cause.to_string()),
            },
            part = call.parts.recv() => return End::Decided(part),
            () = caller.closed() => return End::Left,
        }
    }
    let rest = passed.cutter.finish();
    if !rest.is_empty() && caller.send(Ok(rest)).await.is_err() {
        return End::Left;
    }
    End::Whole
}

/// Tells the core that events were passed on.
fn sign(passed: &mut Passed, tell: &impl Fn(Event) -> bool) {
    if !passed.has_first {
        passed.has_first = true;
        tell(Event::First);
    } else if passed.told.elapsed() >= PROGRESS {
        passed.told = time::Instant::now();
        tell(Event::Progress);
    }
}
