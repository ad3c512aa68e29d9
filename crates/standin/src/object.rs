//! The object store.
//!
//! The protocol is that of [`store::object`]: `PUT /objects/DIGEST` and
//! `GET /objects/DIGEST`. A body whose digest is another is refused with 400.

use std::{collections, sync};

use crate::{Result, count, face, process};

/// Settings of an object store.
#[derive(Clone, Debug, Default)]
#[derive(clap::Args)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub addresses: process::Addresses,
}

/// Starts an empty object store.
///
/// # Errors
///
/// An address cannot be bound.
///
/// # Panics
///
/// It is called outside a tokio runtime.
pub fn start(config: &Config) -> Result<process::Process> {
    let counts = sync::Arc::new(count::Counts::new());
    let role = sync::Arc::new(Store::default());
    process::Process::start(config.addresses, &role, &counts)
}

#[derive(Default)]
struct Store {
    objects: sync::Mutex<collections::BTreeMap<ids::Digest, bytes::Bytes>>,
}

impl process::Role for Store {
    const NAME: &'static str = "objects";

    async fn serve(self: sync::Arc<Self>, request: face::Request) -> face::Reply {
        let Some(name) = request.path.strip_prefix("/objects/") else {
            return process::unknown_path();
        };
        let digest = match name.parse() {
            Ok(digest) => digest,
            Err(error) => return bad_digest(&error),
        };
        match request.method.as_str() {
            "GET" => self.get(&digest),
            "PUT" => self.put(digest, request.body),
            _ => process::unknown_path(),
        }
    }
}

impl Store {
    fn get(&self, digest: &ids::Digest) -> face::Reply {
        let Some(body) = self.lock().get(digest).cloned() else {
            return face::Reply::error(http::StatusCode::NOT_FOUND, "not-found", "no such object");
        };
        let mut reply = face::Reply::empty(http::StatusCode::OK);
        reply.body = face::Body::Whole(body);
        reply.with_header("content-type", "text/plain; charset=utf-8")
    }

    fn put(&self, digest: ids::Digest, body: bytes::Bytes) -> face::Reply {
        let actual = ids::Digest::of(&body);
        if actual != digest {
            let message = format!("the body's digest is {actual}");
            return face::Reply::error(http::StatusCode::BAD_REQUEST, "bad-digest", &message);
        }
        self.lock().insert(digest, body);
        face::Reply::empty(http::StatusCode::NO_CONTENT)
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<ids::Digest, bytes::Bytes>> {
        self.objects.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn bad_digest(error: &ids::Error) -> face::Reply {
    let status = http::StatusCode::BAD_REQUEST;
    face::Reply::error(status, "bad-digest", &error.to_string())
}
