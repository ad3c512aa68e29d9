//! The faces for the balancer and for metrics: small answers, nothing decided.

use std::{convert, sync, time};

use hyper::{server::conn::http1, service};
use hyper_util::rt;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{net, sync::watch};

use crate::relay::{body, handler};

/// Wait after a failed accept, so that a lack of descriptors is no busy loop.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Longest time for the head of a request, and of an idle connection.
const IDLE: time::Duration = time::Duration::from_secs(10);
/// Path of the metrics.
const METRICS: &str = "/metrics";

/// What a side face tells.
#[derive(Clone, Debug)]
pub enum Face {
    /// Whether the VM is ready.
    Ready(watch::Receiver<bool>),
    /// The metrics.
    Metrics(PrometheusHandle),
}

/// Accepts connections for as long as the process runs.
pub async fn run(listener: net::TcpListener, face: Face) {
    let face = sync::Arc::new(face);
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let face = sync::Arc::clone(&face);
        tokio::spawn(async move {
            let service = service::service_fn(|request| {
                let answer = answer(&face, &request);
                std::future::ready(Ok::<_, convert::Infallible>(answer))
            });
            let mut builder = http1::Builder::new();
            builder.timer(rt::TokioTimer::new()).header_read_timeout(IDLE);
            if let Err(cause) = builder.serve_connection(rt::TokioIo::new(stream), service).await {
                tracing::debug!(%cause, "a side connection ended");
            }
        });
    }
}

fn answer(face: &Face, request: &http::Request<hyper::body::Incoming>) -> handler::Answer {
    let path = request.uri().path();
    let (status, text) = match face {
        Face::Ready(ready) if path == platform::READY_PATH => {
            let ready = *ready.borrow();
            (if ready { 200 } else { 503 }, String::new())
        }
        Face::Metrics(handle) if path == METRICS => (200, handle.render()),
        _ => (404, String::new()),
    };
    let mut answer = http::Response::new(body::Body::Whole(Some(text.into())));
    *answer.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    answer
}
