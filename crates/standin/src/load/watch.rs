//! Follows the answer to one draft, chunk by chunk.

use std::time;

use http_body_util::BodyExt as _;

use crate::{
    load::{event, sample},
    text,
};

/// The answer that a draft must have.
pub(super) struct Expected {
    pub(super) prompt: ids::Digest,
    pub(super) total: u32,
}

/// What has been seen of a call so far, over all its attempts.
pub(super) struct Watch {
    sent: tokio::time::Instant,
    last: tokio::time::Instant,
    pub(super) first: Option<time::Duration>,
    pub(super) gaps: Vec<time::Duration>,
    /// Chunks that have arrived.
    pub(super) chunks: u64,
    /// The stream's name, once it is known.
    pub(super) stream: Option<http::HeaderValue>,
    /// Attempts after the first.
    pub(super) retries: u32,
}

impl Watch {
    pub(super) const fn new(sent: tokio::time::Instant) -> Self {
        Self {
            sent,
            last: sent,
            first: None,
            gaps: Vec::new(),
            chunks: 0,
            stream: None,
            retries: 0,
        }
    }

    /// Reads an answer's body to its end; returns how the call ended.
    pub(super) async fn follow(
        &mut self,
        mut body: hyper::body::Incoming,
        expected: &Expected,
    ) -> sample::Outcome {
        let mut parser = event::Parser::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return sample::Outcome::Cut;
            };
            if let Some(data) = frame.data_ref() {
                parser.push(data);
            }
            while let Some(event) = parser.take() {
                if let Some(outcome) = self.take(&event, expected) {
                    return outcome;
                }
            }
        }
        sample::Outcome::Cut
    }

    /// Notes an event; returns how the call ended, if it did.
    fn take(&mut self, event: &event::Event, expected: &Expected) -> Option<sample::Outcome> {
        if event.data == "[DONE]" {
            let is_whole = self.chunks == u64::from(expected.total);
            return Some(if is_whole { sample::Outcome::Answered } else { sample::Outcome::Wrong });
        }
        let data: serde_json::Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.name == "error" {
            let code = data["code"].as_str().unwrap_or("none").to_owned();
            return Some(match data["outcome"].as_str() {
                Some("not-run") => sample::Outcome::NotRun(code),
                _ => sample::Outcome::Unknown(code),
            });
        }
        let content = data["choices"][0]["delta"]["content"].as_str()?;
        if content != text::chunk(&expected.prompt, self.chunks) {
            return Some(sample::Outcome::Wrong);
        }
        self.count();
        None
    }

    fn count(&mut self) {
        let now = tokio::time::Instant::now();
        if self.chunks == 0 {
            self.first = Some(now - self.sent);
        } else {
            self.gaps.push(now - self.last);
        }
        self.last = now;
        self.chunks += 1;
    }
}
