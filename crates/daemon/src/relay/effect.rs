//! Carries out the outputs of the decision core.

use std::{sync, time};

use http_body_util::Full;
use relay::{Input, Output, event, peer as peer_message};
use tokio::sync::watch;

use crate::{
    clock, peer,
    relay::{calls, connection, exchange, front, inbox, metric, pool, rows},
};

/// Timeout for reading a report.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Resources that the outputs of the core act on.
#[derive(Debug)]
pub struct Effects {
    /// Name of this VM.
    pub vm: ids::Vm,
    /// The open calls.
    pub calls: calls::Table,
    /// Sends results back to the core.
    pub inbox: inbox::Inbox,
    /// Connections to targets.
    pub pool: pool::Pool,
    /// Connections to other VMs.
    pub links: peer::Links,
    /// Selects which tables of the store are followed.
    pub subscriptions: rows::Subscriptions,
    /// Writes to the store.
    pub writer: connection::Writer,
    /// The store's era.
    pub era: connection::Era,
    /// Readiness that the balancer sees.
    pub ready: watch::Sender<bool>,
    /// Stage of a planned stop.
    pub stop: watch::Sender<front::Stage>,
    /// Set to true when the last call has ended after a planned stop.
    pub stopped: watch::Sender<bool>,
}

impl Effects {
    /// Carries out one output. Work that waits for an answer runs in a task of its own.
    pub fn apply(&mut self, output: Output) {
        match output {
            Output::Begin(begin) => {
                let (call, attempt) = (begin.call, begin.attempt);
                if !self.calls.send(call, calls::Decision::Begin(begin)) {
                    tracing::debug!(
                        %call,
                        %attempt,
                        "the call was closed before it could be sent to a target"
                    );
                }
            }
            Output::Refuse { call, status, reason, retry_after } => {
                self.send_decision(call, calls::Decision::Refuse { status, reason, retry_after });
            }
            Output::Fail { call, status, reason } => {
                self.send_decision(call, calls::Decision::Fail { status, reason });
            }
            Output::Deliver { call } => self.send_decision(call, calls::Decision::Deliver),
            Output::Peer { to, message } => self.send_to_peers(&to, message),
            Output::Members(members) => self.links.set_members(members),
            Output::Reconnect { to } => self.links.reconnect(&to),
            Output::Follow(follow) => self.subscriptions.set(follow),
            Output::Era(era) => self.era.learn(era),
            Output::Decode { text } => rows::decode_config(&self.inbox, text),
            Output::Write { op, write } => self.write(op, write),
            Output::Order { op, order } => self.order(op, order),
            Output::Report { target, born, address } => self.report(target, born, address),
            Output::Probe { target, born, address, may_ask } => {
                self.probe(target, born, address, may_ask);
            }
            Output::Withhold { targets } => self.pool.withheld.set(targets),
            Output::Disconnect { address } => self.pool.close_idle(&address),
            Output::Ready(ready) => {
                self.ready.send_replace(ready);
            }
            Output::Log(event) => log(&event),
            Output::Measure(measure) => metric::record(&measure),
            Output::Stopped => {
                self.stop.send_replace(front::Stage::Closed);
                self.stopped.send_replace(true);
            }
        }
    }

    fn send_decision(&self, call: ids::Call, decision: calls::Decision) {
        if !self.calls.send(call, decision) {
            tracing::debug!(%call, "the call was closed before its answer");
        }
    }

    fn send_to_peers(&self, to: &[ids::Vm], message: peer_message::Message) {
        let kind = message.kind();
        let bytes = self.links.send(to, message);
        metric::record_sent(kind, to.len(), bytes);
    }

    fn write(&self, op: ids::Op, write: store::table::Write) {
        let (writer, inbox) = (self.writer.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let result = writer.write(&write).await;
            inbox.send(Input::Written { op, result });
        });
    }

    fn order(&self, op: ids::Op, order: relay::output::Order) {
        let (pool, inbox, vm) = (self.pool.clone(), self.inbox.clone(), self.vm.clone());
        if pool.withheld.contains(&order.target) {
            // Not sent: as after a conflict, a report is needed before the next order.
            inbox.send(Input::Ordered { op, reply: relay::input::Reply::Conflict });
            return;
        }
        let began = clock::now();
        tokio::spawn(async move {
            let (name, target) = platform::order::target_header(&order);
            let request = http::Request::builder()
                .method(http::Method::POST)
                .uri(platform::order::PATH)
                .header(http::header::HOST, &*order.address)
                .header(http::header::CONTENT_TYPE, "application/json")
                .header(name, target)
                .body(Full::new(platform::order::body(&order, &vm).into()));
            let answer = match request {
                Ok(request) => {
                    let notify = notifier(&inbox, &order.target, order.born);
                    let expires_at = order.expires_at;
                    exchange::round_trip_until(&pool, &order.address, request, expires_at, notify)
                        .await
                }
                Err(cause) => Err(cause.to_string()),
            };
            let took = clock::now().since(began);
            let reply = match answer {
                Ok((status, _body)) => {
                    tracing::info!(
                        step = "order",
                        id = "",
                        peer = %order.target,
                        outcome = "answered",
                        inputs = format!("status {status} fence {} took {took:?}", order.fence),
                    );
                    platform::order::decode_reply(status.as_u16())
                }
                Err(reason) => {
                    tracing::warn!(
                        step = "order",
                        peer = %order.target,
                        reason,
                        fence = order.fence.get(),
                        ?took,
                        "no answer to the order; its result is unknown"
                    );
                    relay::input::Reply::Unknown
                }
            };
            inbox.send(Input::Ordered { op, reply });
        });
    }

    fn probe(&self, target: ids::Target, born: u64, address: sync::Arc<str>, may_ask: bool) {
        let (pool, inbox) = (self.pool.clone(), self.inbox.clone());
        tokio::spawn(async move {
            // Only a refused connection proves that nothing listens: a full target resets it.
            let probe = if pool::refuses_connections(&address).await {
                relay::input::Probe::Refused
            } else if !may_ask {
                relay::input::Probe::Unknown
            } else {
                match read_report(&pool, &inbox, &target, born, &address).await {
                    Ok(report) if report.born != 0 => relay::input::Probe::Runs(report.born),
                    Ok(_) => relay::input::Probe::Unknown,
                    Err(reason) => {
                        tracing::debug!(peer = %target, reason, "it is unknown whether it runs");
                        relay::input::Probe::Unknown
                    }
                }
            };
            inbox.send(Input::Probed { target, born, probe });
        });
    }

    fn report(&self, target: ids::Target, born: u64, address: sync::Arc<str>) {
        let (pool, inbox) = (self.pool.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let report = match read_report(&pool, &inbox, &target, born, &address).await {
                Ok(report) => Some(report),
                Err(reason) => {
                    tracing::warn!(
                        step = "report",
                        peer = %target,
                        reason,
                        "cannot read the report"
                    );
                    None
                }
            };
            inbox.send(Input::Reported { target, report });
        });
    }
}

/// Returns a function that passes what an instance announces to the core.
fn notifier(
    inbox: &inbox::Inbox,
    target: &ids::Target,
    born: u64,
) -> impl Fn(relay::pause::Notice) {
    let (inbox, target) = (inbox.clone(), target.clone());
    move |notice| {
        inbox.send(Input::Notice { target: target.clone(), born, notice });
    }
}

/// Requests the report of a runner.
async fn read_report(
    pool: &pool::Pool,
    inbox: &inbox::Inbox,
    target: &ids::Target,
    born: u64,
    address: &sync::Arc<str>,
) -> Result<relay::input::Report, String> {
    if pool.withheld.contains(target) {
        return Err("its data centre is drained".to_owned());
    }
    let request = http::Request::builder()
        .uri(platform::entry::REPORT_PATH)
        .header(http::header::HOST, &**address)
        .body(Full::default())
        .map_err(|cause| cause.to_string())?;
    let mut notice = relay::pause::Notice::default();
    let note = |said| notice = said;
    let answer = exchange::round_trip(pool, address, request, REPORT_TIMEOUT, note).await;
    let report = answer.and_then(|(status, body)| {
        if status != http::StatusCode::OK {
            return Err(format!("status {status}"));
        }
        platform::entry::decode_report(target.as_str(), &body).map_err(|fault| fault.to_string())
    });
    if !notice.is_empty() {
        // Another process may listen at the address by now. An unknown start stays unknown:
        // the name alone identifies the target then.
        let told = report.as_ref().map_or(0, |report| report.born);
        let born = if born == 0 || told == 0 { born } else { told };
        notifier(inbox, target, born)(notice);
    }
    report
}

fn log(event: &event::Event) {
    let id = event.id.as_deref().unwrap_or_default();
    tracing::info!(
        step = event.step,
        id,
        peer = event.peer,
        outcome = event.outcome,
        inputs = event.inputs,
    );
}
