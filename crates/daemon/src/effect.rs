//! Carrying out what the decision core says.

use std::{collections, sync, time};

use engine::{Event, order};
use node::{Input, Output};
use tokio::{runtime, sync::mpsc, sync::watch, task};

use crate::{
    calls,
    client::{self, platform, runner, service},
    clock, inbox, metric, operator, peer, ready, settings,
};

/// Most events of an attempt that wait for the core.
const ATTEMPT_EVENTS: usize = 64;

/// Limits on what targets and the platform may take.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    runner: runner::Limits,
    service: time::Duration,
    report: time::Duration,
    answer_bytes: usize,
}

/// An attempt under way.
#[derive(Debug)]
struct Attempt {
    task: task::AbortHandle,
    address: sync::Arc<str>,
    /// The stream to cancel, if it is one.
    stream: Option<sync::Arc<str>>,
}

type Attempts = sync::Arc<sync::Mutex<collections::HashMap<ids::Attempt, Attempt>>>;

/// What the effects need of the rest of the daemon.
#[derive(Debug)]
pub struct Context {
    /// The open calls.
    pub calls: sync::Arc<calls::Table>,
    /// The way back to the core.
    pub inbox: inbox::Inbox,
    /// The operators that wait.
    pub operators: sync::Arc<operator::Pending>,
    /// The links to other VMs.
    pub links: peer::Links,
    /// Whether the VM is ready.
    pub readiness: sync::Arc<ready::Readiness>,
    /// Set to true when the core has stopped.
    pub stopped: watch::Sender<bool>,
    /// Where the tasks run.
    pub runtime: runtime::Handle,
    /// Name and incarnation of this VM.
    pub identity: peer::link::Identity,
}

/// Turns outputs of the core into work of tasks; never waits.
#[derive(Debug)]
pub struct Effects {
    context: Context,
    client: client::Client,
    platform: platform::Platform,
    bounds: Bounds,
    attempts: Attempts,
}

impl Effects {
    /// Effects with the limits and addresses of `settings`.
    #[must_use]
    pub fn new(context: Context, settings: &settings::Settings) -> Self {
        let limits = &settings.limits;
        let client = client::Client::new(limits);
        let platform = platform::Platform::new(
            client.clone(),
            &settings.platform,
            limits.platform_ms.millis(),
        );
        let bounds = Bounds {
            runner: runner::Limits {
                first: limits.runner_ms.millis(),
                next: limits.chunk_ms.millis(),
            },
            service: limits.service_ms.millis(),
            report: limits.report_ms.millis(),
            answer_bytes: limits.answer_bytes.count(),
        };
        Self { context, client, platform, bounds, attempts: Attempts::default() }
    }

    /// Number of open calls.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.context.calls.count()
    }

    /// Carries out `output`, decided at `decided`.
    pub fn apply(&mut self, decided: ids::Time, output: Output) {
        match output {
            Output::Begin(begin) => self.begin(decided, &begin),
            Output::Abort { attempt } => self.abort(attempt),
            Output::Accepted { call, stream } => {
                self.answer(call, calls::Part::Accepted { stream });
            }
            Output::Chunk { call, seq, text } => {
                self.answer(call, calls::Part::Chunk { seq, text });
            }
            Output::Finish { call, ending } => self.answer(call, calls::Part::Ended(ending)),
            Output::Report { target, address } => self.report(target, address),
            Output::Order { op, address, order, .. } => self.order(decided, op, address, order),
            Output::Table { op, request } => self.table(decided, op, request),
            Output::Object { op, request } => self.object(op, request),
            Output::Vms { op } => self.vms(op),
            Output::Peer { to, message } => self.context.links.send(&to, message),
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

    fn answer(&self, call: ids::Call, part: calls::Part) {
        if self.context.calls.send(call, part) == calls::Sent::Overflow {
            metrics::counter!(metric::SLOW).increment(1);
            self.context.inbox.send_disconnect(call);
        }
    }

    fn begin(&self, decided: ids::Time, begin: &node::Begin) {
        let Some(payload) = self.context.calls.payload(begin.call) else {
            let reason = "the caller has gone".into();
            self.tell(Input::Attempt { attempt: begin.attempt, event: Event::Unsent { reason } });
            return;
        };
        let stream = matches!(*payload, calls::Payload::Chat(_));
        let attempt = begin.attempt;
        let entry = |task| Attempt {
            task,
            address: sync::Arc::clone(&begin.address),
            stream: stream.then(|| sync::Arc::clone(&begin.stream)),
        };
        let work = self.work(decided, begin.clone(), payload);
        // The lock keeps a quick end of the task from being seen before its begin.
        let mut attempts = lock(&self.attempts);
        let task = self.context.runtime.spawn(work);
        attempts.insert(attempt, entry(task.abort_handle()));
    }

    /// The future that carries out one attempt and tells the core of it.
    fn work(
        &self,
        decided: ids::Time,
        begin: node::Begin,
        payload: sync::Arc<calls::Payload>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let client = self.client.clone();
        let bounds = self.bounds;
        let inbox = self.context.inbox.clone();
        let attempts = sync::Arc::clone(&self.attempts);
        let attempt = begin.attempt;
        let id = self.attempt_name(attempt);
        async move {
            let (sender, mut events) = mpsc::channel(ATTEMPT_EVENTS);
            let sending = send(client, bounds, decided, begin, id, payload, sender);
            let telling = async {
                while let Some(event) = events.recv().await {
                    inbox.send(Input::Attempt { attempt, event }).await;
                }
            };
            tokio::join!(sending, telling);
            lock(&attempts).remove(&attempt);
        }
    }

    /// Name of an attempt, unique among all VMs and their incarnations.
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
        let longest = self.bounds.report;
        self.ask(async move {
            let report = runner::report(&client, &address, longest).await;
            let report = report.inspect_err(|failure| {
                tracing::warn!(step = "report", peer = %target, address = &*address, %failure, "not had");
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
        let longest = self.bounds.report;
        self.ask(async move {
            let reply = if paused(decided) {
                order::Reply::Refused
            } else {
                runner::order(&client, &address, &order, longest).await
            };
            Input::Order { op, reply }
        });
    }

    fn table(&self, decided: ids::Time, op: ids::Op, request: store::table::Request) {
        let platform = self.platform.clone();
        self.ask(async move {
            let write = matches!(request, store::table::Request::Write { .. });
            let result = if write && paused(decided) {
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
        self.ask(async move {
            let result = platform.object(&request).await;
            Input::Object { op, result }
        });
    }

    fn vms(&self, op: ids::Op) {
        let platform = self.platform.clone();
        self.ask(async move {
            let result = platform.vms().await;
            Input::Vms { op, result }
        });
    }

    /// Runs a question and gives its answer to the core.
    fn ask(&self, question: impl Future<Output = Input> + Send + 'static) {
        let inbox = self.context.inbox.clone();
        self.context.runtime.spawn(async move {
            let answer = question.await;
            inbox.send(answer).await;
        });
    }

    fn tell(&self, input: Input) {
        self.ask(std::future::ready(input));
    }
}

/// Sends one attempt to its target.
async fn send(
    client: client::Client,
    bounds: Bounds,
    decided: ids::Time,
    begin: node::Begin,
    id: String,
    payload: sync::Arc<calls::Payload>,
    events: mpsc::Sender<Event>,
) {
    if paused(decided) {
        let reason = "the process had been paused".into();
        end(&events, Event::Unsent { reason }).await;
        return;
    }
    match &*payload {
        calls::Payload::Chat(fields) => {
            let chat = runner::Chat { begin, id, fields: fields.clone() };
            runner::chat(&client, chat, bounds.runner, &events).await;
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
            let event = service::call(&client, call, bounds.answer_bytes, bounds.service).await;
            end(&events, event).await;
        }
        calls::Payload::None => {
            let reason = "the call has nothing to send".into();
            end(&events, Event::Unsent { reason }).await;
        }
    }
}

async fn end(events: &mpsc::Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        tracing::debug!("an attempt ended after it was dropped");
    }
}

/// Whether the process was paused since `decided`. What it knew then may not
/// hold any more, so the act is left undone.
fn paused(decided: ids::Time) -> bool {
    let late = clock::now().since(decided) > node::MAX_EFFECT_DELAY;
    if late {
        metrics::counter!(metric::PAUSED).increment(1);
    }
    late
}

fn log(event: &node::event::Event) {
    tracing::info!(step = event.step, peer = event.peer, "{}", event.text);
}

fn lock(attempts: &Attempts) -> sync::MutexGuard<'_, collections::HashMap<ids::Attempt, Attempt>> {
    attempts.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
