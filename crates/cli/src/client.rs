//! HTTP client of the VMs' operator interface.

use std::{env, net, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::{args, credential, error};

/// Name of the environment variable with the addresses of VMs, separated by commas.
pub const VMS_VARIABLE: &str = "PRIMROSEPLANK_VM";

/// Timeout of connecting to one VM.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

type Http =
    legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<hyper::body::Bytes>>;

/// A client of the operator interface of one or more VMs.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http,
    vms: Vec<net::SocketAddr>,
    credential: credential::Credential,
    timeout: time::Duration,
}

/// A request to the operator interface.
#[derive(Clone, Debug)]
pub struct Request {
    method: http::Method,
    path: String,
    body: String,
}

impl Request {
    /// Builds a GET request for `path`.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self { method: http::Method::GET, path: path.to_owned(), body: String::new() }
    }

    /// Builds a POST request of `body` to `path`.
    #[must_use]
    pub fn post(path: &str, body: impl Into<String>) -> Self {
        Self { method: http::Method::POST, path: path.to_owned(), body: body.into() }
    }
}

/// Result of sending a request to one VM.
enum Attempt {
    /// No connection was made, so the request was not sent and another VM may be tried.
    Unreachable(error::Error),
    /// The body of the response.
    Answered(String),
}

impl Client {
    /// Builds a client of the VMs that the command line or the environment names.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Usage`] if no VM is named, an address is malformed or the
    /// credential is missing.
    pub fn new(remote: &args::Remote) -> error::Result<Self> {
        let vms = addresses(remote)?;
        let credential = credential::Credential::load(remote.credential_file.as_deref())?;
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Ok(Self { http, vms, credential, timeout: remote.timeout() })
    }

    /// Returns the VMs, in the order in which they are tried.
    #[must_use]
    pub fn vms(&self) -> &[net::SocketAddr] {
        &self.vms
    }

    /// Sends a request to the first VM that can be reached.
    ///
    /// The next VM is tried only if no connection was made to the one before: a
    /// request that was sent may have taken effect.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Unknown`] if no VM could be reached, or the response was
    /// lost or not understood; [`error::Kind::Refused`] if the VM rejected the
    /// credential; [`error::Kind::Usage`] if the request can't be built.
    pub async fn send<T: serde::de::DeserializeOwned>(
        &self,
        request: &Request,
    ) -> error::Result<T> {
        let mut last = None;
        for vm in &self.vms {
            match self.attempt(*vm, request).await? {
                Attempt::Answered(text) => return parse_response(*vm, &text),
                Attempt::Unreachable(error) => {
                    eprintln!("primroseplank: {error}");
                    last = Some(error);
                }
            }
        }
        let no_address = || {
            let reason = "no address is given";
            error::Error::new(error::Kind::Usage, "connecting", &"VM", &reason)
        };
        Err(last.unwrap_or_else(no_address))
    }

    /// Sends a request to the given VM only.
    ///
    /// # Errors
    ///
    /// As for [`Client::send`].
    pub async fn send_to<T: serde::de::DeserializeOwned>(
        &self,
        vm: net::SocketAddr,
        request: &Request,
    ) -> error::Result<T> {
        match self.attempt(vm, request).await? {
            Attempt::Answered(text) => parse_response(vm, &text),
            Attempt::Unreachable(error) => Err(error),
        }
    }

    async fn attempt(&self, vm: net::SocketAddr, request: &Request) -> error::Result<Attempt> {
        let unknown = |reason: &dyn std::fmt::Display| {
            let step = format!("{} {}", request.method, request.path);
            error::Error::new(error::Kind::Unknown, &step, &vm, reason)
        };
        let built = self.build(vm, request)?;
        let exchange = async {
            let response = match self.http.request(built).await {
                Ok(response) => response,
                Err(cause) if cause.is_connect() => {
                    let reason = "can not be reached";
                    let error = error::Error::new(error::Kind::Unknown, "connecting", &vm, &reason);
                    return Ok(Attempt::Unreachable(error));
                }
                Err(cause) => return Err(unknown(&format!("the answer was lost: {cause}"))),
            };
            let status = response.status();
            let body =
                http_body_util::Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
            let body = body.map_err(|cause| unknown(&format!("the answer broke off: {cause}")))?;
            let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            if status == http::StatusCode::UNAUTHORIZED {
                let step = "presenting the credential";
                let reason = "the VM rejected it";
                return Err(error::Error::new(error::Kind::Refused, step, &vm, &reason));
            }
            Ok(Attempt::Answered(text))
        };
        let timeout_s = self.timeout.as_secs();
        let timed_out = |_elapsed| unknown(&format!("no answer within {timeout_s} s"));
        tokio::time::timeout(self.timeout, exchange).await.map_err(timed_out)?
    }

    fn build(
        &self,
        vm: net::SocketAddr,
        request: &Request,
    ) -> error::Result<http::Request<http_body_util::Full<hyper::body::Bytes>>> {
        let built = http::Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{vm}{}", request.path))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.credential.reveal()))
            .body(http_body_util::Full::from(request.body.clone()));
        built.map_err(|_cause| {
            // The cause is left out because it could contain the credential.
            let reason = "the credential or an argument has characters that can not be sent";
            error::Error::new(error::Kind::Usage, "preparing the request", &vm, &reason)
        })
    }
}

/// Addresses of VMs from the command line, or else from the environment.
fn addresses(remote: &args::Remote) -> error::Result<Vec<net::SocketAddr>> {
    if !remote.vms.is_empty() {
        return Ok(remote.vms.clone());
    }
    let usage_error = |reason: &dyn std::fmt::Display| {
        error::Error::new(error::Kind::Usage, "finding", &"addresses of VMs", reason)
    };
    let list = env::var(VMS_VARIABLE)
        .map_err(|_cause| usage_error(&format!("give --vm IP:PORT or set {VMS_VARIABLE}")))?;
    let parse = |text: &str| {
        let reason = format!("{VMS_VARIABLE}: {text:?} is not IP number and port");
        text.trim().parse().map_err(|_cause| usage_error(&reason))
    };
    list.split(',').map(parse).collect()
}

/// Parses the response of `vm`.
fn parse_response<T: serde::de::DeserializeOwned>(
    vm: net::SocketAddr,
    text: &str,
) -> error::Result<T> {
    serde_json::from_str(text).map_err(|cause| {
        let reason = format!(
            "the answer has a form that this version of the program does not know: {cause}"
        );
        error::Error::new(error::Kind::Unknown, "reading the answer", &vm, &reason)
    })
}
