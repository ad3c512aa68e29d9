//! Carries out what the decision core says.

use std::{sync, time};

use http_body_util::Full;
use relay::{Input, Output, event};
use tokio::sync::watch;

use crate::{
    peer,
    relay::{calls, exchange, front, inbox, metric, pool, rows},
};

/// Longest wait for a runner's answer to an order, which takes some ms: what
/// became of an order without an answer is settled by a report.
const ORDER: time::Duration = time::Duration::from_millis(300);
/// Longest wait for a report.
const REPORT: time::Duration = time::Duration::from_secs(1);

/// What the effects work with.
#[derive(Debug)]
pub struct Effects {
    /// This VM.
    pub vm: ids::Vm,
    /// The open calls.
    pub calls: calls::Table,
    /// The way back to the core.
    pub inbox: inbox::Inbox,
    /// Connections to targets.
    pub pool: pool::Pool,
    /// Connections to other VMs.
    pub links: peer::Links,
    /// The ways from the store's tables.
    pub gates: rows::Gates,
    /// Writes to the store.
    pub writer: rows::Writer,
    /// What the balancer is told.
    pub ready: watch::Sender<bool>,
    /// How far a planned stop has come.
    pub stop: watch::Sender<front::Stage>,
    /// Whether the last call has ended after a planned stop.
    pub stopped: watch::Sender<bool>,
}

impl Effects {
    /// Carries out one output.
    pub fn apply(&mut self, output: Output) {
        match output {
            Output::Begin(begin) => {
                let (call, attempt) = (begin.call, begin.attempt);
                if !self.calls.send(call, calls::Part::Begin(begin)) {
                    tracing::debug!(%call, %attempt, "the caller left before it was sent");
                }
            }
            Output::Refuse { call, status, reason, retry_after } => {
                self.tell(call, calls::Part::Refuse { status, reason, retry_after });
            }
            Output::Fail { call, status, reason } => {
                self.tell(call, calls::Part::Fail { status, reason });
            }
            Output::Deliver { call } => self.tell(call, calls::Part::Deliver),
            Output::Peer { to, message } => self.links.send(&to, message),
            Output::Members(members) => self.links.set_members(members),
            Output::Follow(follow) => self.gates.set(follow),
            Output::Decode { text } => rows::decode(&self.inbox, text),
            Output::Write { op, write } => self.write(op, write),
            Output::Order { op, order } => self.order(op, order),
            Output::Report { target, address } => self.report(target, address),
            Output::Disconnect { address } => self.pool.forget(&address),
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

    fn tell(&self, call: ids::Call, part: calls::Part) {
        if !self.calls.send(call, part) {
            tracing::debug!(%call, "the caller left before its answer");
        }
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
        tokio::spawn(async move {
            let (name, target) = platform::order::target_header(&order);
            let request = http::Request::builder()
                .method(http::Method::POST)
                .uri(platform::order::PATH)
                .header(http::header::HOST, &*order.address)
                .header(http::header::CONTENT_TYPE, "application/json")
                .header(name, target)
                .body(Full::new(platform::order::body(&order, &vm).into()));
            let answered = match request {
                Ok(request) => exchange::ask(&pool, &order.address, request, ORDER).await,
                Err(cause) => Err(cause.to_string()),
            };
            let reply = match answered {
                Ok((status, _body)) => platform::order::decode_reply(status.as_u16()),
                Err(reason) => {
                    tracing::warn!(step = "order", peer = %order.target, reason, "no answer");
                    relay::input::Reply::Unknown
                }
            };
            inbox.send(Input::Ordered { op, reply });
        });
    }

    fn report(&self, target: ids::Target, address: sync::Arc<str>) {
        let (pool, inbox) = (self.pool.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let request = http::Request::builder()
                .uri(platform::entry::REPORT_PATH)
                .header(http::header::HOST, &*address)
                .body(Full::default());
            let answered = match request {
                Ok(request) => exchange::ask(&pool, &address, request, REPORT).await,
                Err(cause) => Err(cause.to_string()),
            };
            let decoded = answered.and_then(|(status, body)| {
                if status != http::StatusCode::OK {
                    return Err(format!("status {status}"));
                }
                let name = target.as_str();
                platform::entry::decode_report(name, &body).map_err(|fault| fault.to_string())
            });
            let report = match decoded {
                Ok(report) => Some(report),
                Err(reason) => {
                    tracing::warn!(step = "report", peer = %target, reason, "not had");
                    None
                }
            };
            inbox.send(Input::Reported { target, report });
        });
    }
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
