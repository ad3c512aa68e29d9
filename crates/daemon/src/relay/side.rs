//! HTTP endpoints for the readiness check of the balancer and for metrics.

use std::{convert, sync, time};

use hyper::{server::conn::http1, service};
use hyper_util::rt;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{net, sync::watch};

use crate::relay::{body, handler};

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

/// Accepts connections for as long as the process runs.
pub async fn run(listener: net::TcpListener, endpoint: Endpoint) {
    let endpoint = sync::Arc::new(endpoint);
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
            if let Err(cause) = builder.serve_connection(rt::TokioIo::new(stream), service).await {
                tracing::debug!(%cause, "connection for readiness or metrics ended with an error");
            }
        });
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
