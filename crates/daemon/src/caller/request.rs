//! Parsing of requests: credentials, headers, body and digest.

use std::{sync, time};

use http::header;
use node::call;

use crate::{body, caller::problem, calls};

/// Header with the name of the stream to resume.
pub const STREAM_HEADER: &str = "primroseplank-stream";
/// Header with the number of the last chunk that the caller has received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key and stream name, in bytes.
const NAME_BYTES: usize = 255;
/// Longest path with query of a request to a plain service, in bytes.
const PATH_BYTES: usize = 8 * 1024;

/// Headers that are not forwarded to targets: credentials, hop-by-hop headers and
/// those that the VM sets itself.
const PRIVATE_HEADERS: [&str; 25] = [
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "forwarded",
    "host",
    "keep-alive",
    "prefer",
    "primroseplank-stream",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    "x-auth-token",
    "x-call-id",
    "x-not-run",
    "x-priority",
    "x-resume-from",
    "x-stream-id",
    "x-forwarded-for",
    "accept-encoding",
];

/// Query parameters that may hold credentials; not forwarded to targets.
const PRIVATE_PARAMETERS: [&str; 3] = ["key", "api_key", "access_token"];

type Head = xitca_web::http::WebRequest<()>;

/// Rejects requests with a method other than `method`.
///
/// # Errors
///
/// [`problem::Code::MethodNotAllowed`] if the method differs.
pub fn require_method(context: &super::Context<'_>, method: &http::Method) -> problem::Result<()> {
    if context.req().method() == method {
        return Ok(());
    }
    Err(problem::Problem::new(
        problem::Code::MethodNotAllowed,
        format!("this path only supports {method}"),
    ))
}

/// Returns the key in the `Authorization` header, or `None` without that header.
///
/// # Errors
///
/// `invalid-key` if the header is present but is not a bearer key.
pub fn presented_key(headers: &http::HeaderMap) -> problem::Result<Option<bundle::key::Presented>> {
    let Some(token) = bearer_token(headers)? else {
        return Ok(None);
    };
    match bundle::key::Presented::parse(token) {
        Ok(key) => Ok(Some(key)),
        Err(_) => Err(invalid_key()),
    }
}

fn bearer_token(headers: &http::HeaderMap) -> problem::Result<Option<&str>> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return Ok(None);
    };
    if headers.get_all(header::AUTHORIZATION).iter().any(|other| other != value) {
        return Err(problem::Problem::bad_request("header authorization: several keys"));
    }
    let text = value.to_str().unwrap_or_default();
    let Some((scheme, token)) = text.split_once(' ') else {
        return Err(invalid_key());
    };
    if scheme.eq_ignore_ascii_case("bearer") {
        return Ok(Some(token.trim()));
    }
    Err(invalid_key())
}

fn invalid_key() -> problem::Problem {
    problem::Problem::new(
        problem::Code::Core(call::Code::InvalidKey),
        "send the header `Authorization: Bearer KEY` with a key of the form pp.ID.SECRET",
    )
}

/// Returns the name of the stream to resume and the number of chunks that the
/// caller has received, or `None` if no stream is to be resumed.
///
/// # Errors
///
/// `bad-request` if a header is malformed.
pub fn resume_point(headers: &http::HeaderMap) -> problem::Result<Option<(sync::Arc<str>, u64)>> {
    let Some(stream) = bounded_header(headers, STREAM_HEADER)? else {
        return Ok(None);
    };
    let Some(last) = bounded_header(headers, LAST_EVENT_ID_HEADER)? else {
        return Ok(Some((stream, 0)));
    };
    let malformed = || {
        problem::Problem::bad_request(format!("header {LAST_EVENT_ID_HEADER}: not a chunk number"))
    };
    let last: u64 = last.parse().map_err(|_cause: std::num::ParseIntError| malformed())?;
    let from = last.checked_add(1).ok_or_else(malformed)?;
    Ok(Some((stream, from)))
}

/// Returns the idempotency key, if present.
///
/// # Errors
///
/// `bad-request` if it is malformed.
pub fn idempotency_key(headers: &http::HeaderMap) -> problem::Result<Option<sync::Arc<str>>> {
    bounded_header(headers, IDEMPOTENCY_KEY_HEADER)
}

/// Returns the longest wait that the caller accepts, from `Prefer: wait=SECONDS`.
///
/// # Errors
///
/// `bad-request` if the number is malformed.
pub fn max_wait(headers: &http::HeaderMap) -> problem::Result<Option<time::Duration>> {
    let preferences = headers.get_all("prefer").iter();
    let mut waits = preferences
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|text| text.trim().strip_prefix("wait="));
    let Some(wait) = waits.next_back() else {
        return Ok(None);
    };
    let seconds: u32 = wait.parse().map_err(|_cause: std::num::ParseIntError| {
        problem::Problem::bad_request("header prefer: wait must be a number of seconds")
    })?;
    Ok(Some(time::Duration::from_secs(seconds.into())))
}

fn bounded_header(
    headers: &http::HeaderMap,
    name: &str,
) -> problem::Result<Option<sync::Arc<str>>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if (1..=NAME_BYTES).contains(&text.len()) {
        return Ok(Some(text.into()));
    }
    Err(problem::Problem::bad_request(format!(
        "header {name}: 1 to {NAME_BYTES} visible ASCII characters are allowed"
    )))
}

/// Reads the whole body, of at most `limit` bytes.
///
/// # Errors
///
/// `too-large` if the body exceeds `limit`, `request-timeout` if it takes longer
/// than `timeout` to arrive, `bad-request` if the connection fails.
pub async fn read_body(
    context: &mut super::Context<'_>,
    limit: usize,
    timeout: time::Duration,
) -> problem::Result<bytes::Bytes> {
    let declared = context.req().headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let body = context.body_get_mut();
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    match tokio::time::timeout(timeout, body::read(body, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Error::TooLarge)) => Err(too_large(limit)),
        Ok(Err(cause)) => Err(problem::Problem::bad_request(format!("reading the body: {cause}"))),
        Err(_elapsed) => Err(problem::Problem::new(
            problem::Code::RequestTimeout,
            "the body was not received in time",
        )),
    }
}

fn too_large(limit: usize) -> problem::Problem {
    problem::Problem::new(
        problem::Code::Core(call::Code::TooLarge),
        format!("the body exceeds the limit of {limit} bytes"),
    )
}

/// Computes the digest of method, path, query and body.
#[must_use]
pub fn digest(head: &Head, body: &[u8]) -> ids::Digest {
    let target = head.uri().path_and_query().map_or("", |whole| whole.as_str());
    // Neither a method nor a request target can contain a line break, so requests
    // with different parts have different texts.
    let text = format!("{}\n{target}\n{}", head.method(), ids::Digest::of(body));
    ids::Digest::of(text.as_bytes())
}

/// Parses a call of a plain service into its description for the decision core and
/// the request to forward.
///
/// # Errors
///
/// `not-found` if the path has no service name, `bad-request` if path and query are
/// too long.
pub fn service_call(
    head: &Head,
    body: bytes::Bytes,
) -> problem::Result<(call::Work, calls::Payload)> {
    let uri = head.uri();
    let rest = uri.path().strip_prefix("/svc/").unwrap_or_default();
    let (service, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    if service.is_empty() {
        return Err(problem::Problem::new(
            problem::Code::NotFound,
            "no service name in the path; use /svc/SERVICE/PATH",
        ));
    }
    let token = bearer_token(head.headers()).ok().flatten();
    let path_and_query = match public_query(uri.query().unwrap_or_default(), token) {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    if path_and_query.len() > PATH_BYTES {
        return Err(problem::Problem::bad_request(format!(
            "path and query exceed the limit of {PATH_BYTES} bytes"
        )));
    }
    let work = call::Work::Service {
        service: service.into(),
        method: head.method().as_str().into(),
        path: path.into(),
    };
    let payload = calls::Payload::Service {
        method: head.method().clone(),
        path_and_query,
        headers: public_headers(head.headers(), token),
        body,
    };
    Ok((work, payload))
}

/// Returns the query without parameters that hold credentials, or `None` if no
/// parameter is left.
fn public_query(text: &str, token: Option<&str>) -> Option<String> {
    let is_public = |parameter: &&str| {
        let name = parameter.split('=').next().unwrap_or_default();
        let is_private = PRIVATE_PARAMETERS.iter().any(|known| name.eq_ignore_ascii_case(known));
        !is_private && !token.is_some_and(|token| parameter.contains(token))
    };
    let kept: Vec<&str> =
        text.split('&').filter(|parameter| !parameter.is_empty()).filter(is_public).collect();
    (!kept.is_empty()).then(|| kept.join("&"))
}

/// Returns the headers that may be forwarded to a target.
fn public_headers(headers: &http::HeaderMap, token: Option<&str>) -> http::HeaderMap {
    let connection_headers: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .collect();
    let contains_token = |value: &http::HeaderValue| {
        let text = String::from_utf8_lossy(value.as_bytes());
        token.is_some_and(|token| text.contains(token))
    };
    headers
        .iter()
        .filter(|(name, _)| !PRIVATE_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| {
            !connection_headers.iter().any(|hop| name.as_str().eq_ignore_ascii_case(hop))
        })
        .filter(|(_, value)| !contains_token(value))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
