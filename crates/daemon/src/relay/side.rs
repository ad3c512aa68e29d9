//! HTTP endpoints for the readiness check of the balancer and for metrics.

use std::{convert, sync, time};

use hyper::{server::conn::http1, service};
use hyper_util::rt;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{net, sync::watch};

use crate::relay::{access, body, handler};

/// Maximum number of open connections to a listener.
const MAX_CONNECTIONS: usize = 32;
/// Interval at which the number of connections is published.
const PUBLISH_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Timeout for the head of a request, which also bounds the idle time of a connection.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// What a listener serves.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// Readiness of the VM.
    Ready(watch::Receiver<bool>),
    /// Metrics in the text format of Prometheus.
    Metrics(PrometheusHandle),
}

/// Accepts connections to the listener of this name for as long as the process runs.
pub async fn run(listener: net::TcpListener, name: &'static str, endpoint: Endpoint) {
    let endpoint = sync::Arc::new(endpoint);
    let gate = access::Gate::new(name, MAX_CONNECTIONS);
    tokio::spawn(gate.clone().publish(PUBLISH_INTERVAL));
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without a pass the connection is closed.
        let Some(pass) = gate.enter() else {
            continue;
        };
        let endpoint = sync::Arc::clone(&endpoint);
        tokio::spawn(async move {
            let service = service::service_fn(|request| {
                let answer = answer(&endpoint, &request);
                std::future::ready(Ok::<_, convert::Infallible>(answer))
            });
            let mut builder = http1::Builder::new();
            builder.timer(rt::TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
            let result = tokio::select! {
                result = connection => result,
                () = pass.closed() => return,
            };
            if let Err(cause) = result {
                tracing::debug!(%cause, "connection for readiness or metrics ended with an error");
            }
        });
        // Lets a connection that is to be closed end before the next one is accepted.
        tokio::task::yield_now().await;
    }
}

fn answer(endpoint: &Endpoint, request: &http::Request<hyper::body::Incoming>) -> handler::Answer {
    let path = request.uri().path();
    let (status, text) = match endpoint {
        Endpoint::Ready(ready) if path == platform::READY_PATH => {
            let ready = *ready.borrow();
            (if ready { 200 } else { 503 }, String::new())
        }
        Endpoint::Metrics(handle) if path == METRICS_PATH => (200, handle.render()),
        _ => (404, String::new()),
    };
    let mut answer = http::Response::new(body::Body::Full(Some(text.into())));
    *answer.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    answer
}
