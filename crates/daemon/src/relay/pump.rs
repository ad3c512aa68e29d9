//! Forwards a stream of events to its caller, from one target or, after failures, several.

use std::{io, sync, time};

use http_body_util::BodyExt as _;
use relay::{
    input::{self, Event},
    output,
};
use tokio::sync::mpsc;

use crate::relay::{body, calls, events, exchange, front, handler};

/// Capacity of the queue of chunks for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;
/// Interval at which the core is informed that a stream makes progress.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(250);

type Sender = mpsc::Sender<io::Result<bytes::Bytes>>;

/// Why forwarding the stream of one target ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The stream failed before its end, for this reason.
    Broken(String),
    /// The core sent a decision; `None` if it has ended.
    Decided(Option<calls::Decision>),
    /// The caller closed its connection.
    CallerClosed,
}

/// What has been forwarded so far.
struct Forwarded {
    splitter: events::Splitter,
    last_id: Option<u64>,
    has_sent_first: bool,
    began: time::Instant,
    reported_at: time::Instant,
    meter: relay::speed::Meter,
}

impl Forwarded {
    fn new(last_id: Option<u64>, has_sent_first: bool) -> Self {
        let splitter = events::Splitter::new(last_id);
        let began = time::Instant::now();
        let meter = relay::speed::Meter::default();
        Self { splitter, last_id, has_sent_first, began, reported_at: began, meter }
    }
}

/// Answers with the head of `stream` and spawns a task that forwards the rest.
#[must_use]
pub fn start(
    state: &sync::Arc<front::State>,
    request: exchange::Request,
    call: calls::Call,
    begin: output::Begin,
    mut stream: exchange::Stream,
    first: Option<bytes::Bytes>,
) -> handler::Answer {
    let (caller, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let headers = platform::answer::end_to_end_headers(&stream.head.headers);
    let mut answer = http::Response::new(body::Body::Stream(chunks));
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
    caller: &Sender,
) {
    let mut forwarded = Forwarded::new(begin.resume_after, false);
    loop {
        let attempt = begin.attempt;
        let send_event = |event| state.inbox.send(relay::Input::Attempt { attempt, event });
        let end = forward_stream(
            &mut stream,
            first.take(),
            &mut call,
            &mut forwarded,
            caller,
            &send_event,
        )
        .await;
        let mut next = match end {
            End::Complete => {
                exchange::release(&state.pool, stream.connection, stream.keep_alive);
                send_event(Event::Ended(input::Summary {
                    framing: stream.framing,
                    last_event: forwarded.last_id,
                    rhythm: forwarded.meter.take(),
                }));
                return;
            }
            End::CallerClosed => return,
            End::Decided(decision) => decision,
            End::Broken(reason) => {
                send_event(Event::Broken { reason: reason.into(), last_event: forwarded.last_id });
                call.decisions.recv().await
            }
        };
        // Tries the targets that the core names until one has begun a stream.
        stream = loop {
            let Some(calls::Decision::Begin(resumed)) = next else {
                abort_answer(caller).await;
                return;
            };
            let send_event =
                |event| state.inbox.send(relay::Input::Attempt { attempt: resumed.attempt, event });
            let outcome = tokio::select! {
                outcome = exchange::run(&state.pool, request, &resumed, send_event) => outcome,
                decision = call.decisions.recv() => {
                    next = decision;
                    continue;
                }
                () = caller.closed() => return,
            };
            match outcome {
                exchange::Outcome::Stream(stream) => {
                    begin = resumed;
                    break *stream;
                }
                exchange::Outcome::NoAnswer(event) => send_event(event),
                exchange::Outcome::Failure(answer) | exchange::Outcome::Answer(answer) => {
                    send_event(Event::Failure { status: answer.status().as_u16() })
                }
            };
            next = call.decisions.recv().await;
        };
        forwarded = Forwarded::new(forwarded.last_id, forwarded.has_sent_first);
    }
}

/// Aborts the caller's connection, so that the answer does not look complete.
async fn abort_answer(caller: &Sender) {
    if caller.send(Err(io::Error::other("the stream failed before its end"))).await.is_err() {
        tracing::debug!("the caller closed its connection before the answer was aborted");
    }
}

/// Forwards the stream of one target.
async fn forward_stream(
    stream: &mut exchange::Stream,
    first: Option<bytes::Bytes>,
    call: &mut calls::Call,
    forwarded: &mut Forwarded,
    caller: &Sender,
    send_event: &impl Fn(Event) -> bool,
) -> End {
    let mut data = first;
    loop {
        if let Some(bytes) = data.take() {
            let events = forwarded.splitter.push(&bytes);
            forwarded.last_id = events.last_id.or(forwarded.last_id);
            forwarded.meter.record(forwarded.began.elapsed(), events.count);
            if !events.bytes.is_empty() {
                tokio::select! {
                    sent = caller.send(Ok(events.bytes)) => if sent.is_err() {
                        return End::CallerClosed;
                    },
                    decision = call.decisions.recv() => return End::Decided(decision),
                }
                report_progress(forwarded, send_event);
            }
            if let Some(cause) = events.error {
                return End::Broken(cause.to_string());
            }
        }
        tokio::select! {
            frame = stream.body.frame() => match frame {
                None => break,
                Some(Ok(frame)) => data = frame.into_data().ok(),
                Some(Err(cause)) => return End::Broken(cause.to_string()),
            },
            decision = call.decisions.recv() => return End::Decided(decision),
            () = caller.closed() => return End::CallerClosed,
        }
    }
    if let Err(cause) = forwarded.splitter.finish() {
        return End::Broken(format!("{cause} (framing {:?})", stream.framing));
    }
    End::Complete
}

/// Reports forwarded events to the core, at most every [`PROGRESS_INTERVAL`]
/// after the first.
fn report_progress(forwarded: &mut Forwarded, send_event: &impl Fn(Event) -> bool) {
    if !forwarded.has_sent_first {
        forwarded.has_sent_first = true;
        send_event(Event::First);
    } else if forwarded.reported_at.elapsed() >= PROGRESS_INTERVAL {
        forwarded.reported_at = time::Instant::now();
        send_event(Event::Progress(forwarded.meter.take()));
    }
}
