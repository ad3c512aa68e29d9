//! A stand-in with its own address and its control address.
//!
//! Every control address answers `PUT /faults` (a JSON list of
//! [`fault::Rule`]) and `GET /counts` (counters by name); some roles add
//! paths of their own.

use std::{future, net, sync, time};

use crate::{Result, count, cross, face, fault};

/// How long a stop waits for answers under way.
const STOP_PATIENCE: time::Duration = time::Duration::from_mins(5);

/// Addresses of a stand-in.
#[derive(Clone, Copy, Debug)]
#[derive(clap::Args)]
pub struct Addresses {
    /// Address to answer on; port 0 takes a free one.
    #[arg(long, default_value_t = LOOPBACK)]
    pub address: net::SocketAddr,
    /// Control address; port 0 takes a free one.
    #[arg(long, default_value_t = LOOPBACK)]
    pub control: net::SocketAddr,
    /// Threads that answer.
    #[arg(long, default_value_t = 2)]
    pub threads: usize,
}

const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

impl Default for Addresses {
    fn default() -> Self {
        Self { address: LOOPBACK, control: LOOPBACK, threads: 2 }
    }
}

/// What a stand-in does.
pub trait Role: Send + Sync + 'static {
    /// The role's name.
    const NAME: &'static str;

    /// Answers a request on the role's address.
    fn serve(
        self: sync::Arc<Self>,
        request: face::Request,
    ) -> impl Future<Output = face::Reply> + Send;

    /// Answers a request on the control address, if the role knows its path.
    fn control(&self, _request: &face::Request) -> Option<face::Reply> {
        None
    }

    /// Takes note that the process is about to stop.
    fn leave(&self) {}
}

/// The line that a stand-in prints when it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Banner {
    /// Always `standin`.
    pub process: String,
    /// The role's name.
    pub role: String,
    /// The address that it answers on.
    pub address: net::SocketAddr,
    /// The control address.
    pub control: net::SocketAddr,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Process {
    role: &'static str,
    main: face::Face,
    control: face::Face,
    leave: Leave,
}

struct Leave(Box<dyn Fn() + Send + Sync>);

impl std::fmt::Debug for Leave {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Leave")
    }
}

impl Process {
    /// Starts `role` on `addresses`; its counters are `counts`.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a server cannot be started.
    ///
    /// # Panics
    ///
    /// It is called outside a tokio runtime.
    pub fn start<R: Role>(
        addresses: Addresses,
        role: &sync::Arc<R>,
        counts: &sync::Arc<count::Counts>,
    ) -> Result<Self> {
        let faults = sync::Arc::new(fault::Rules::default());
        let main = Main {
            role: sync::Arc::clone(role),
            faults: sync::Arc::clone(&faults),
            crossing: cross::Crossing::default(),
            counts: sync::Arc::clone(counts),
        };
        let control =
            Control { role: sync::Arc::clone(role), faults, counts: sync::Arc::clone(counts) };
        let main = face::Face::listen(addresses.address, addresses.threads, sync::Arc::new(main))?;
        let control = face::Face::listen(addresses.control, 1, sync::Arc::new(control))?;
        let leaver = sync::Arc::clone(role);
        Ok(Self { role: R::NAME, main, control, leave: Leave(Box::new(move || leaver.leave())) })
    }

    /// The address that it answers on.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.main.address()
    }

    /// The control address.
    #[must_use]
    pub const fn control(&self) -> net::SocketAddr {
        self.control.address()
    }

    /// What to print when it listens.
    #[must_use]
    pub fn banner(&self) -> Banner {
        Banner {
            process: "standin".to_owned(),
            role: self.role.to_owned(),
            address: self.address(),
            control: self.control(),
        }
    }

    /// Lets the answers under way end, then closes both addresses.
    pub async fn stop(self) {
        (self.leave.0)();
        self.main.stop(STOP_PATIENCE).await;
        self.control.stop(STOP_PATIENCE).await;
    }
}

/// The role's own address, with faults in front of it.
struct Main<R> {
    role: sync::Arc<R>,
    faults: sync::Arc<fault::Rules>,
    crossing: cross::Crossing,
    counts: sync::Arc<count::Counts>,
}

impl<R: Role> face::Handle for Main<R> {
    async fn handle(
        self: sync::Arc<Self>,
        request: face::Request,
    ) -> Result<face::Answer, face::Closed> {
        self.counts.add("requests");
        let Some(rule) = self.faults.take(&request) else {
            return Ok(sync::Arc::clone(&self.role).serve(request).await.into());
        };
        self.counts.add("faults");
        tokio::time::sleep(rule.delay()).await;
        if rule.lose_request {
            return Err(face::Closed);
        }
        if rule.refuse || rule.refuse_unproven {
            return Ok(refusal(&rule).into());
        }
        let reply = sync::Arc::clone(&self.role).serve(request).await;
        tokio::time::sleep(rule.delay_answer()).await;
        if rule.lose_answer {
            return Err(face::Closed);
        }
        let reply = if rule.cross { self.crossing.exchange(reply).await } else { reply };
        Ok(face::Answer { reply, break_after: rule.break_after, double: rule.double })
    }
}

fn refusal(rule: &fault::Rule) -> face::Reply {
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    let reply = face::Reply::error(status, "refused", "refused by a fault rule");
    if rule.refuse_unproven {
        return reply;
    }
    reply.with_header(engine::header::NOT_RUN, "1")
}

struct Control<R> {
    role: sync::Arc<R>,
    faults: sync::Arc<fault::Rules>,
    counts: sync::Arc<count::Counts>,
}

impl<R: Role> face::Handle for Control<R> {
    fn handle(
        self: sync::Arc<Self>,
        request: face::Request,
    ) -> impl Future<Output = Result<face::Answer, face::Closed>> + Send {
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/faults") => self.replace_faults(&request),
            ("GET", "/counts") => face::Reply::json(http::StatusCode::OK, &self.counts.all()),
            _ => self.role.control(&request).unwrap_or_else(unknown_path),
        };
        future::ready(Ok(reply.into()))
    }
}

impl<R> Control<R> {
    fn replace_faults(&self, request: &face::Request) -> face::Reply {
        match serde_json::from_slice(&request.body) {
            Ok(rules) => {
                self.faults.replace(rules);
                face::Reply::empty(http::StatusCode::NO_CONTENT)
            }
            Err(error) => bad_body(&error),
        }
    }
}

/// The answer to a path that no one knows.
#[must_use]
pub fn unknown_path() -> face::Reply {
    face::Reply::error(http::StatusCode::NOT_FOUND, "not-found", "no such path")
}

/// The answer to a body that cannot be read.
#[must_use]
pub fn bad_body(error: &serde_json::Error) -> face::Reply {
    let status = http::StatusCode::BAD_REQUEST;
    face::Reply::error(status, "bad-request", &error.to_string())
}
