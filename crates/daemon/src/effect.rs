//! Execution of the outputs of the decision core.

use std::{collections, sync, time};

use engine::{Event, order};
use node::{Input, Output};
use tokio::{runtime, sync::mpsc, sync::watch, task};

use crate::{
    calls,
    client::{self, platform, runner, service},
    clock, inbox, metric, operator, peer, ready, settings,
};

/// Maximum number of events of one attempt that are queued for the core.
const ATTEMPT_EVENTS: usize = 64;

/// Timeouts and size limits of requests to targets.
#[derive(Clone, Copy, Debug)]
struct Limits {
    runner: runner::Timeouts,
    service: time::Duration,
    report: time::Duration,
    answer_bytes: usize,
}

/// An attempt in flight.
#[derive(Debug)]
struct Attempt {
    task: task::AbortHandle,
    address: sync::Arc<str>,
    /// Name of the stream to cancel at the target; `None` for plain services.
    stream: Option<sync::Arc<str>>,
}

type Attempts = sync::Arc<sync::Mutex<collections::HashMap<ids::Attempt, Attempt>>>;

/// The parts of the daemon that the effects act on.
#[derive(Debug)]
pub struct Context {
    /// The open calls and the channels to their callers.
    pub calls: sync::Arc<calls::Table>,
    /// Sends results back to the core.
    pub inbox: inbox::Inbox,
    /// Operator requests that wait for a reply.
    pub operators: sync::Arc<operator::Pending>,
    /// Outgoing connections to other VMs.
    pub links: peer::Links,
    /// Readiness that the balancer polls.
    pub readiness: sync::Arc<ready::Readiness>,
    /// Set to true when the core has stopped.
    pub stopped: watch::Sender<bool>,
    /// The runtime on which the tasks are spawned.
    pub runtime: runtime::Handle,
    /// Name and incarnation of this VM, used in the names of attempts.
    pub identity: peer::link::Identity,
}

/// Applies the core's outputs by spawning tasks, without blocking.
#[derive(Debug)]
pub struct Effects {
    context: Context,
    client: client::Client,
    platform: platform::Platform,
    limits: Limits,
    attempts: Attempts,
}

impl Effects {
    /// Creates the effects with the limits and addresses in `settings`.
    #[must_use]
    pub fn new(context: Context, settings: &settings::Settings) -> Self {
        let limits = &settings.limits;
        let client = client::Client::new(limits);
        let platform = platform::Platform::new(
            client.clone(),
            &settings.platform,
            limits.platform_ms.millis(),
        );
        let limits = Limits {
            runner: runner::Timeouts {
                first_chunk: limits.runner_ms.millis(),
                next_chunk: limits.chunk_ms.millis(),
            },
            service: limits.service_ms.millis(),
            report: limits.report_ms.millis(),
            answer_bytes: limits.answer_bytes.count(),
        };
        Self { context, client, platform, limits, attempts: Attempts::default() }
    }

    /// Returns the number of open calls.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.context.calls.count()
    }

    /// Carries out `output`, which the core decided at time `decided`.
    pub fn apply(&mut self, decided: ids::Time, output: Output) {
        match output {
            Output::Begin(begin) => self.begin(decided, &begin),
            Output::Abort { attempt } => self.abort(attempt),
            Output::Accepted { call, stream } => {
                self.send_part(call, calls::Part::Accepted { stream });
            }
            Output::Chunk { call, seq, text } => {
                self.send_part(call, calls::Part::Chunk { seq, text });
            }
            Output::Finish { call, ending } => self.send_part(call, calls::Part::Ended(ending)),
            Output::Report { target, address } => self.report(target, address),
            Output::Order { op, address, order, .. } => self.order(decided, op, address, order),
            Output::Table { op, request } => self.table(decided, op, request),
            Output::Object { op, request } => self.object(op, request),
            Output::Vms { op } => self.vms(op),
            Output::Peer { to, message } => {
                self.context.links.send(&[to], message);
            }
            Output::Members(members) => self.context.links.set_members(members),
            Output::Operator { op, reply } => self.context.operators.answer(op, reply),
            Output::Ready { ready, reason } => self.context.readiness.set(ready, &reason),
            Output::Log(event) => log(&event),
            Output::Measure(measure) => metric::record(&measure),
            Output::Stopped => {
                self.context.stopped.send_replace(true);
            }
        }
    }

    fn send_part(&self, call: ids::Call, part: calls::Part) {
        if self.context.calls.send(call, part) == calls::Sent::Overflow {
            metrics::counter!(metric::SLOW_CALLERS).increment(1);
            self.context.inbox.send_disconnect(call);
        }
    }

    fn begin(&self, decided: ids::Time, begin: &node::Begin) {
        let Some(payload) = self.context.calls.payload(begin.call) else {
            let reason = "the caller has disconnected".into();
            self.send_input(Input::Attempt {
                attempt: begin.attempt,
                event: Event::Unsent { reason },
            });
            return;
        };
        let stream = matches!(*payload, calls::Payload::Chat(_));
        let attempt = begin.attempt;
        let entry = |task| Attempt {
            task,
            address: sync::Arc::clone(&begin.address),
            stream: stream.then(|| sync::Arc::clone(&begin.stream)),
        };
        let attempt_task = self.attempt_task(decided, begin.clone(), payload);
        // Holding the lock across the spawn keeps a task that ends at once from
        // removing its entry before the entry is inserted.
        let mut attempts = lock(&self.attempts);
        let task = self.context.runtime.spawn(attempt_task);
        attempts.insert(attempt, entry(task.abort_handle()));
    }

    /// Returns the future that runs one attempt and forwards its events to the core.
    fn attempt_task(
        &self,
        decided: ids::Time,
        begin: node::Begin,
        payload: sync::Arc<calls::Payload>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let client = self.client.clone();
        let limits = self.limits;
        let inbox = self.context.inbox.clone();
        let attempts = sync::Arc::clone(&self.attempts);
        let attempt = begin.attempt;
        let id = self.attempt_name(attempt);
        async move {
            let (sender, mut events) = mpsc::channel(ATTEMPT_EVENTS);
            let sending = run_attempt(client, limits, decided, begin, id, payload, sender);
            let forwarding = async {
                while let Some(event) = events.recv().await {
                    inbox.send(Input::Attempt { attempt, event }).await;
                }
            };
            tokio::join!(sending, forwarding);
            lock(&attempts).remove(&attempt);
        }
    }

    /// Returns the name of an attempt, unique among all VMs and their incarnations.
    fn attempt_name(&self, attempt: ids::Attempt) -> String {
        let identity = &self.context.identity;
        format!("{}.{}.{attempt}", identity.vm, identity.incarnation)
    }

    fn abort(&self, attempt: ids::Attempt) {
        let Some(entry) = lock(&self.attempts).remove(&attempt) else {
            return;
        };
        entry.task.abort();
        if let Some(stream) = entry.stream {
            let client = self.client.clone();
            self.context
                .runtime
                .spawn(async move { runner::cancel(&client, &entry.address, &stream).await });
        }
    }

    fn report(&self, target: ids::Target, address: sync::Arc<str>) {
        let client = self.client.clone();
        let timeout = self.limits.report;
        self.spawn_request(async move {
            let report = runner::fetch_report(&client, &address, timeout).await;
            let report = report.inspect_err(|failure| {
                tracing::warn!(step = "report", peer = %target, address = &*address, %failure, "could not get the report of a target");
            });
            Input::Report { target, report: report.ok() }
        });
    }

    fn order(
        &self,
        decided: ids::Time,
        op: ids::Op,
        address: sync::Arc<str>,
        order: engine::Order,
    ) {
        let client = self.client.clone();
        let timeout = self.limits.report;
        self.spawn_request(async move {
            let reply = if is_stale(decided) {
                order::Reply::Refused
            } else {
                runner::send_order(&client, &address, &order, timeout).await
            };
            Input::Order { op, reply }
        });
    }

    fn table(&self, decided: ids::Time, op: ids::Op, request: store::table::Request) {
        let platform = self.platform.clone();
        self.spawn_request(async move {
            let write = matches!(request, store::table::Request::Write { .. });
            let result = if write && is_stale(decided) {
                Err(store::Fault::new(
                    "table",
                    "this VM",
                    store::Kind::Refused,
                    "the process had been paused",
                ))
            } else {
                platform.table(&request).await
            };
            Input::Table { op, result }
        });
    }

    fn object(&self, op: ids::Op, request: store::object::Request) {
        let platform = self.platform.clone();
        self.spawn_request(async move {
            let result = platform.object(&request).await;
            Input::Object { op, result }
        });
    }

    fn vms(&self, op: ids::Op) {
        let platform = self.platform.clone();
        self.spawn_request(async move {
            let result = platform.list_vms().await;
            Input::Vms { op, result }
        });
    }

    /// Spawns a request and sends its result to the core.
    fn spawn_request(&self, request: impl Future<Output = Input> + Send + 'static) {
        let inbox = self.context.inbox.clone();
        self.context.runtime.spawn(async move {
            let input = request.await;
            inbox.send(input).await;
        });
    }

    fn send_input(&self, input: Input) {
        self.spawn_request(std::future::ready(input));
    }
}

/// Sends the request of one attempt to its target and its events to `events`.
async fn run_attempt(
    client: client::Client,
    limits: Limits,
    decided: ids::Time,
    begin: node::Begin,
    id: String,
    payload: sync::Arc<calls::Payload>,
    events: mpsc::Sender<Event>,
) {
    if is_stale(decided) {
        let reason = "the process had been paused".into();
        send_last_event(&events, Event::Unsent { reason }).await;
        return;
    }
    match &*payload {
        calls::Payload::Chat(fields) => {
            let chat = runner::Chat { begin, id, fields: fields.clone() };
            runner::send_chat(&client, chat, limits.runner, &events).await;
        }
        calls::Payload::Service { method, path_and_query, headers, body } => {
            let call = service::Call {
                begin,
                id,
                method: method.clone(),
                path_and_query: path_and_query.clone(),
                headers: headers.clone(),
                body: body.clone(),
            };
            let event =
                service::send_call(&client, call, limits.answer_bytes, limits.service).await;
            send_last_event(&events, event).await;
        }
        calls::Payload::None => {
            let reason = "the call has nothing to send".into();
            send_last_event(&events, Event::Unsent { reason }).await;
        }
    }
}

async fn send_last_event(events: &mpsc::Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        tracing::debug!("the attempt was dropped; discarding its last event");
    }
}

/// Whether more than [`node::MAX_EFFECT_DELAY`] has passed since `decided`, such as
/// while the process was paused. The decision may then rest on outdated state, so
/// the effect must not be carried out.
fn is_stale(decided: ids::Time) -> bool {
    let is_late = clock::now().since(decided) > node::MAX_EFFECT_DELAY;
    if is_late {
        metrics::counter!(metric::PAUSED_SENDS).increment(1);
    }
    is_late
}

fn log(event: &node::event::Event) {
    tracing::info!(step = event.step, peer = event.peer, "{}", event.text);
}

fn lock(attempts: &Attempts) -> sync::MutexGuard<'_, collections::HashMap<ids::Attempt, Attempt>> {
    attempts.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
