//! An HTTP client that presents an account's key and reads event streams.

use std::net;

use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use standin::client;

use crate::{Error, Result, wait};

/// Status, headers and body of a response.
pub type Answer = client::Answer;

/// A client that presents a key, or none, with every request.
#[derive(Clone, Debug)]
pub struct Caller {
    client: client::Client,
    key: Option<String>,
}

impl Caller {
    /// Creates a client that presents `key` as its bearer token.
    #[must_use]
    pub fn new(key: Option<&str>) -> Self {
        Self { client: client::Client::new(), key: key.map(str::to_owned) }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// The connection failed, or the response was incomplete at the deadline.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let request = self.request(address, method, path, headers, body)?;
        let error = |cause: &dyn std::fmt::Display| Error::new("call", &address, &cause);
        let sending = self.client.request(address, request);
        let result = tokio::time::timeout(wait::DEADLINE, sending).await;
        result.map_err(|cause| error(&cause))?.map_err(|cause| error(&cause))
    }

    /// Sends a chat completion request whose response is read as a stream.
    ///
    /// # Errors
    ///
    /// The connection failed, or no response head arrived before the deadline.
    pub async fn stream(
        &self,
        address: net::SocketAddr,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Stream> {
        let request = self.request(address, "POST", "/v1/chat/completions", headers, body)?;
        let error = |cause: &dyn std::fmt::Display| Error::new("call", &address, &cause);
        let opening = self.client.open(address, request);
        let result = tokio::time::timeout(wait::DEADLINE, opening).await;
        let response = result.map_err(|cause| error(&cause))?.map_err(|cause| error(&cause))?;
        let (head, body) = response.into_parts();
        Ok(Stream { head, body, text: String::new(), parsed_bytes: 0 })
    }

    fn request(
        &self,
        address: net::SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<http::Request<bytes::Bytes>> {
        let mut builder =
            http::Request::builder().method(method).uri(format!("http://{address}{path}"));
        if let Some(key) = &self.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        builder
            .body(body.to_owned().into())
            .map_err(|cause| Error::new("make request", &address, &cause))
    }
}

/// A streamed response.
#[derive(Debug)]
pub struct Stream {
    head: http::response::Parts,
    body: Incoming,
    text: String,
    /// Length of the prefix of `text` that was returned as events.
    parsed_bytes: usize,
}

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Sequence number of the chunk, from the event's id; `None` for other events.
    pub seq: Option<u64>,
    /// Event type; empty for chunks.
    pub name: String,
    /// Concatenated data lines.
    pub data: String,
}

impl Event {
    /// The text that the chunk adds to the completion; empty for other events.
    #[must_use]
    pub fn text(&self) -> String {
        let data: serde_json::Value = serde_json::from_str(&self.data).unwrap_or_default();
        data["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// The events of a stream that was read to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    /// Sequence numbers of the chunks in order of arrival.
    pub seqs: Vec<u64>,
    /// Concatenated text of the chunks.
    pub text: String,
    /// Data of the error event, if there was one.
    pub error: Option<String>,
    /// Whether the stream ended with the `[DONE]` event.
    pub is_done: bool,
}

impl Stream {
    /// HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> http::StatusCode {
        self.head.status
    }

    /// Value of the header `name`; empty if it is missing or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Reads the next event; `None` at the end of the response body.
    ///
    /// # Errors
    ///
    /// The connection broke, or no data arrived before the deadline.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(length) = self.text[self.parsed_bytes..].find("\n\n") {
                let event = parse_event(&self.text[self.parsed_bytes..self.parsed_bytes + length]);
                self.parsed_bytes += length + 2;
                return Ok(Some(event));
            }
            let error = |cause: &dyn std::fmt::Display| Error::new("read", &"stream", &cause);
            let frame = tokio::time::timeout(wait::DEADLINE, self.body.frame()).await;
            let Some(frame) = frame.map_err(|cause| error(&cause))? else {
                return Ok(None);
            };
            let frame = frame.map_err(|cause| error(&cause))?;
            if let Some(data) = frame.data_ref() {
                self.text.push_str(&String::from_utf8_lossy(data));
            }
        }
    }

    /// Reads the rest of the body as text without parsing events.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn read_text(self) -> Result<String> {
        let body = self.body.collect().await;
        let body = body.map_err(|cause| Error::new("read", &"body", &cause))?;
        Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
    }

    /// Reads the stream to its end.
    ///
    /// # Errors
    ///
    /// The connection broke, or no data arrived before the deadline.
    pub async fn read_to_end(mut self) -> Result<Transcript> {
        let mut whole = Transcript::default();
        while let Some(event) = self.next().await? {
            if event.data == "[DONE]" {
                whole.is_done = true;
            } else if event.name == "error" {
                whole.error = Some(event.data);
            } else if let Some(seq) = event.seq {
                whole.seqs.push(seq);
                whole.text.push_str(&event.text());
            }
        }
        Ok(whole)
    }
}

fn parse_event(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        let (name, value) = line.split_once(": ").unwrap_or((line, ""));
        match name {
            "id" => event.seq = value.parse().ok(),
            "event" => value.clone_into(&mut event.name),
            "data" => event.data.push_str(value),
            _ => {}
        }
    }
    event
}
