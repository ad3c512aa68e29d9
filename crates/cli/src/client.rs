//! The way to a VM's operator face.

use std::{env, net, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::{args, credential, error};

/// Name of the environment variable with addresses of VMs.
pub const VMS_VARIABLE: &str = "PRIMROSEPLANK_VM";

/// Longest time to connect.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest answer, in bytes.
const MAX_BYTES: usize = 256 * 1024 * 1024;

type Http =
    legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<hyper::body::Bytes>>;

/// A client of the operator faces.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http,
    vms: Vec<net::SocketAddr>,
    credential: credential::Credential,
    timeout: time::Duration,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    method: http::Method,
    path: String,
    body: String,
}

impl Request {
    /// Reads `path`.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self { method: http::Method::GET, path: path.to_owned(), body: String::new() }
    }

    /// Sends `body` to `path`.
    #[must_use]
    pub fn post(path: &str, body: impl Into<String>) -> Self {
        Self { method: http::Method::POST, path: path.to_owned(), body: body.into() }
    }
}

/// How one VM was reached.
enum Attempt {
    /// No connection was made, so nothing was sent.
    Unreachable(error::Error),
    /// It answered.
    Answered(String),
}

impl Client {
    /// A client of the VMs that the command line names.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Usage`] if it names none, or the credential is missing.
    pub fn new(remote: &args::Remote) -> error::Result<Self> {
        let vms = addresses(remote)?;
        let credential = credential::Credential::find(remote.credential_file.as_deref())?;
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Ok(Self { http, vms, credential, timeout: remote.timeout() })
    }

    /// The VMs, in the order in which they are tried.
    #[must_use]
    pub fn vms(&self) -> &[net::SocketAddr] {
        &self.vms
    }

    /// Sends a request to the first VM that can be reached.
    ///
    /// Another VM is tried only if nothing was sent to the one before.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Unknown`] if none could be reached or the answer was
    /// lost, [`error::Kind::Refused`] if the answer is of no use.
    pub async fn send<T: serde::de::DeserializeOwned>(
        &self,
        request: &Request,
    ) -> error::Result<T> {
        let mut last = None;
        for vm in &self.vms {
            match self.attempt(*vm, request).await? {
                Attempt::Answered(text) => return parse(*vm, &text),
                Attempt::Unreachable(error) => {
                    eprintln!("primroseplank: {error}");
                    last = Some(error);
                }
            }
        }
        let none = || {
            let reason = "no address is given";
            error::Error::new(error::Kind::Usage, "connecting", &"VM", &reason)
        };
        Err(last.unwrap_or_else(none))
    }

    /// Sends a request to one VM.
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
            Attempt::Answered(text) => parse(vm, &text),
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
                http_body_util::Limited::new(response.into_body(), MAX_BYTES).collect().await;
            let body = body.map_err(|cause| unknown(&format!("the answer broke off: {cause}")))?;
            let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            if status == http::StatusCode::UNAUTHORIZED {
                let step = "presenting the credential";
                let reason = "the VM does not take it";
                return Err(error::Error::new(error::Kind::Refused, step, &vm, &reason));
            }
            Ok(Attempt::Answered(text))
        };
        let seconds = self.timeout.as_secs();
        let late = |_elapsed| unknown(&format!("no answer within {seconds} s"));
        tokio::time::timeout(self.timeout, exchange).await.map_err(late)?
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
            // The cause could show the credential.
            let reason = "the credential or an argument has characters that can not be sent";
            error::Error::new(error::Kind::Usage, "preparing the request", &vm, &reason)
        })
    }
}

fn addresses(remote: &args::Remote) -> error::Result<Vec<net::SocketAddr>> {
    if !remote.vms.is_empty() {
        return Ok(remote.vms.clone());
    }
    let fault = |reason: &dyn std::fmt::Display| {
        error::Error::new(error::Kind::Usage, "finding", &"addresses of VMs", reason)
    };
    let list = env::var(VMS_VARIABLE)
        .map_err(|_cause| fault(&format!("give --vm IP:PORT or set {VMS_VARIABLE}")))?;
    let parse = |text: &str| {
        let reason = format!("{VMS_VARIABLE}: {text:?} is not IP number and port");
        text.trim().parse().map_err(|_cause| fault(&reason))
    };
    list.split(',').map(parse).collect()
}

fn parse<T: serde::de::DeserializeOwned>(vm: net::SocketAddr, text: &str) -> error::Result<T> {
    serde_json::from_str(text).map_err(|cause| {
        let reason = format!("an answer that this version does not know: {cause}");
        error::Error::new(error::Kind::Unknown, "reading the answer", &vm, &reason)
    })
}
