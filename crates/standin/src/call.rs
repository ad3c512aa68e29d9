//! One request from a shell, shown as its caller sees it.
//!
//! The status and the headers that say something of the call are printed
//! first, then the body as it arrives.

use std::{io, net};

use http_body_util::BodyExt as _;

use crate::{Error, Result, client};

/// Headers that concern the connection alone and are not printed.
const CONNECTION_HEADERS: [&str; 4] = ["connection", "content-length", "date", "transfer-encoding"];

/// What to send.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
pub struct Config {
    /// Address to send to.
    pub address: net::SocketAddr,
    /// GET, POST, PUT or DELETE.
    pub method: String,
    /// Path with query, such as /v1/models.
    pub path: String,
    /// A header; may be given several times.
    #[arg(long = "header", value_name = "NAME: VALUE")]
    pub headers: Vec<String>,
    /// The body; JSON unless a header says otherwise.
    #[arg(long, default_value = "")]
    pub body: String,
}

impl Config {
    /// A request without headers and body.
    #[must_use]
    pub fn new(address: net::SocketAddr, method: &str, path: &str) -> Self {
        Self {
            address,
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// The same request with one more header, written `NAME: VALUE`.
    #[must_use]
    pub fn with_header(mut self, header: &str) -> Self {
        self.headers.push(header.to_owned());
        self
    }

    /// The same request with a body.
    #[must_use]
    pub fn with_body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    fn request(&self) -> Result<http::Request<bytes::Bytes>> {
        let mut builder = http::Request::builder()
            .method(self.method.as_str())
            .uri(format!("http://{}{}", self.address, self.path));
        if !self.body.is_empty() && !self.names("content-type") {
            builder = builder.header("content-type", "application/json");
        }
        for header in &self.headers {
            let (name, value) = header
                .split_once(':')
                .ok_or_else(|| Error::new("read header", header, "expected NAME: VALUE"))?;
            builder = builder.header(name.trim(), value.trim());
        }
        builder
            .body(self.body.clone().into())
            .map_err(|error| Error::new("make request", self.address, error))
    }

    fn names(&self, wanted: &str) -> bool {
        let mut names = self.headers.iter().filter_map(|header| header.split(':').next());
        names.any(|name| name.trim().eq_ignore_ascii_case(wanted))
    }
}

/// Sends the request and writes the answer to `out`; whether it has a status
/// of success.
///
/// # Errors
///
/// The request cannot be made, the connection failed before the whole answer
/// was there, or `out` takes no more.
pub async fn run(config: &Config, out: &mut impl io::Write) -> Result<bool> {
    let client = client::Client::new();
    let response = client.open(config.address, config.request()?).await?;
    let (head, mut body) = response.into_parts();
    let failed = |error: io::Error| Error::new("print answer", config.address, error);
    writeln!(out, "{}", head.status).map_err(failed)?;
    for (name, value) in &head.headers {
        if !CONNECTION_HEADERS.contains(&name.as_str()) {
            let value = String::from_utf8_lossy(value.as_bytes());
            writeln!(out, "{name}: {value}").map_err(failed)?;
        }
    }
    writeln!(out).map_err(failed)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::new("read answer", config.address, error))?;
        if let Some(data) = frame.data_ref() {
            out.write_all(data).map_err(failed)?;
            out.flush().map_err(failed)?;
        }
    }
    Ok(head.status.is_success())
}
