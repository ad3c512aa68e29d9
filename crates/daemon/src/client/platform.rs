//! Client of the platform's services: table service, object store, list of VMs.

use std::time;

use store::{Fault, Kind, object, table, vm};

use crate::client::{self, Client, Failure};

/// Result of a request to a platform service.
pub type Result<T> = store::Result<T>;

/// Sends requests to the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    table: String,
    objects: String,
    vms: String,
    timeout: time::Duration,
}

impl Platform {
    /// Creates a client of the services at the addresses in `settings`. Each request
    /// times out after `timeout`.
    #[must_use]
    pub fn new(
        client: Client,
        settings: &crate::settings::Platform,
        timeout: time::Duration,
    ) -> Self {
        Self {
            client,
            table: settings.table.to_string(),
            objects: settings.objects.to_string(),
            vms: settings.vms.to_string(),
            timeout,
        }
    }

    /// Sends a request to the table service.
    ///
    /// # Errors
    ///
    /// [`Kind::Refused`] only if the request certainly had no effect, otherwise
    /// [`Kind::Unknown`].
    pub async fn table(&self, request: &table::Request) -> Result<table::Answer> {
        let operation = Operation { step: "table", peer: &self.table };
        let uri = format!("http://{}/table", self.table);
        let http_request =
            operation.map_failure(client::json_request(http::Method::POST, &uri, request))?;
        let response = operation.map_failure(self.client.send(http_request, self.timeout).await)?;
        let body = self.read_body(operation, response).await?;
        serde_json::from_slice(&body).map_err(|cause| operation.unknown_fault(&cause.to_string()))
    }

    /// Sends a request to the object store.
    ///
    /// # Errors
    ///
    /// [`Kind::Refused`] only if the request certainly had no effect, otherwise
    /// [`Kind::Unknown`].
    pub async fn object(&self, request: &object::Request) -> Result<object::Answer> {
        match request {
            object::Request::Get { digest } => self.get_object(*digest).await,
            object::Request::Put { text } => self.put_object(text).await,
        }
    }

    async fn get_object(&self, digest: ids::Digest) -> Result<object::Answer> {
        let operation = Operation { step: "reading an object", peer: &self.objects };
        let uri = format!("http://{}/objects/{digest}", self.objects);
        let request = operation.map_failure(client::empty_request(http::Method::GET, &uri))?;
        let response = operation.map_failure(self.client.send(request, self.timeout).await)?;
        if response.status() == http::StatusCode::NOT_FOUND {
            return Ok(object::Answer::Object(None));
        }
        let body = self.read_body(operation, response).await?;
        if ids::Digest::of(&body) != digest {
            return Err(operation.unknown_fault("the digest of the object does not match its name"));
        }
        match std::str::from_utf8(&body) {
            Ok(text) => Ok(object::Answer::Object(Some(text.into()))),
            Err(cause) => Err(operation.unknown_fault(&cause.to_string())),
        }
    }

    async fn put_object(&self, text: &str) -> Result<object::Answer> {
        let operation = Operation { step: "writing an object", peer: &self.objects };
        let digest = ids::Digest::of(text.as_bytes());
        let uri = format!("http://{}/objects/{digest}", self.objects);
        let mut request = operation.map_failure(client::empty_request(http::Method::PUT, &uri))?;
        *request.body_mut() = http_body_util::Full::new(text.to_owned().into());
        let response = operation.map_failure(self.client.send(request, self.timeout).await)?;
        if response.status().is_success() {
            return Ok(object::Answer::Stored);
        }
        Err(operation.status_fault(response.status()))
    }

    /// Fetches the list of VMs.
    ///
    /// # Errors
    ///
    /// [`Fault`] if there is no response or it is not a list of VMs.
    pub async fn list_vms(&self) -> Result<Vec<vm::Entry>> {
        let operation = Operation { step: "listing VMs", peer: &self.vms };
        let uri = format!("http://{}/vms", self.vms);
        let request = operation.map_failure(client::empty_request(http::Method::GET, &uri))?;
        let response = operation.map_failure(self.client.send(request, self.timeout).await)?;
        let body = self.read_body(operation, response).await?;
        serde_json::from_slice(&body).map_err(|cause| operation.unknown_fault(&cause.to_string()))
    }

    async fn read_body(
        &self,
        operation: Operation<'_>,
        response: http::Response<hyper::body::Incoming>,
    ) -> Result<bytes::Bytes> {
        if response.status() != http::StatusCode::OK {
            return Err(operation.status_fault(response.status()));
        }
        operation
            .map_failure(client::read_body(response, client::RESPONSE_BYTES, self.timeout).await)
    }
}

/// The step and address of a request, for errors.
#[derive(Clone, Copy, Debug)]
struct Operation<'a> {
    step: &'a str,
    peer: &'a str,
}

impl Operation<'_> {
    fn map_failure<T>(self, result: client::Result<T>) -> Result<T> {
        result.map_err(|failure| match failure {
            Failure::Unsent(reason) => Fault::new(self.step, self.peer, Kind::Refused, &reason),
            Failure::Broken(reason) => self.unknown_fault(&reason),
        })
    }

    fn status_fault(self, status: http::StatusCode) -> Fault {
        let kind = match status {
            http::StatusCode::SERVICE_UNAVAILABLE => Kind::Refused,
            _ => Kind::Unknown,
        };
        Fault::new(self.step, self.peer, kind, &format!("status {status}"))
    }

    fn unknown_fault(self, reason: &str) -> Fault {
        Fault::new(self.step, self.peer, Kind::Unknown, reason)
    }
}
