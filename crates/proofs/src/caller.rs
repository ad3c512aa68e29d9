//! A caller: requests with a key, and streams read event by event.

use std::net;

use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use standin::client;

use crate::{Error, Result, wait};

/// Status, headers and body of an answer.
pub type Answer = client::Answer;

/// A caller with a key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: client::Client,
    key: Option<String>,
}

impl Caller {
    /// A caller that presents `key`.
    #[must_use]
    pub fn new(key: Option<&str>) -> Self {
        Self { client: client::Client::new(), key: key.map(str::to_owned) }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// The connection failed before the whole answer was there.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let request = self.request(address, method, path, headers, body)?;
        let fault = |cause: &dyn std::fmt::Display| Error::new("call", &address, &cause);
        let sending = self.client.request(address, request);
        let answered = tokio::time::timeout(wait::DEADLINE, sending).await;
        answered.map_err(|cause| fault(&cause))?.map_err(|cause| fault(&cause))
    }

    /// Asks for a streamed chat.
    ///
    /// # Errors
    ///
    /// The connection failed before the head of the answer was there.
    pub async fn stream(
        &self,
        address: net::SocketAddr,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Stream> {
        let request = self.request(address, "POST", "/v1/chat/completions", headers, body)?;
        let fault = |cause: &dyn std::fmt::Display| Error::new("call", &address, &cause);
        let opening = self.client.open(address, request);
        let opened = tokio::time::timeout(wait::DEADLINE, opening).await;
        let response = opened.map_err(|cause| fault(&cause))?.map_err(|cause| fault(&cause))?;
        let (head, body) = response.into_parts();
        Ok(Stream { head, body, text: String::new(), seen: 0 })
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

/// A streamed answer.
#[derive(Debug)]
pub struct Stream {
    head: http::response::Parts,
    body: Incoming,
    text: String,
    seen: usize,
}

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Number of the chunk, if it is one.
    pub seq: Option<u64>,
    /// The event's type; empty for chunks.
    pub name: String,
    /// Its data.
    pub data: String,
}

impl Event {
    /// The text that a chunk adds.
    #[must_use]
    pub fn text(&self) -> String {
        let data: serde_json::Value = serde_json::from_str(&self.data).unwrap_or_default();
        data["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// A stream read to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    /// Numbers of the chunks, in the order of their arrival.
    pub seqs: Vec<u64>,
    /// The chunks' texts, put together.
    pub text: String,
    /// The data of the event that ended it early.
    pub error: Option<String>,
    /// Whether it ended as complete.
    pub is_done: bool,
}

impl Stream {
    /// The status.
    #[must_use]
    pub const fn status(&self) -> http::StatusCode {
        self.head.status
    }

    /// A header; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The next event; none at the end of the connection.
    ///
    /// # Errors
    ///
    /// The connection broke, or nothing came before the deadline.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(length) = self.text[self.seen..].find("\n\n") {
                let event = parse(&self.text[self.seen..self.seen + length]);
                self.seen += length + 2;
                return Ok(Some(event));
            }
            let fault = |cause: &dyn std::fmt::Display| Error::new("read", &"stream", &cause);
            let frame = tokio::time::timeout(wait::DEADLINE, self.body.frame()).await;
            let Some(frame) = frame.map_err(|cause| fault(&cause))? else {
                return Ok(None);
            };
            let frame = frame.map_err(|cause| fault(&cause))?;
            if let Some(data) = frame.data_ref() {
                self.text.push_str(&String::from_utf8_lossy(data));
            }
        }
    }

    /// The rest of the body as text, without looking for events.
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
    /// The connection broke, or nothing came before the deadline.
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

fn parse(text: &str) -> Event {
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
