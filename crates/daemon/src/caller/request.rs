//! Reading a request: credentials, headers, body, digest.

use std::{sync, time};

use http::header;
use node::call;

use crate::{body, caller::problem, calls};

/// Names the stream that a caller goes on with.
pub const STREAM: &str = "primroseplank-stream";
/// Number of the last chunk that the caller has.
pub const LAST_EVENT: &str = "last-event-id";
/// The idempotency key.
pub const IDEMPOTENCY: &str = "idempotency-key";

/// Longest idempotency key and longest stream name, in bytes.
const NAME_BYTES: usize = 255;
/// Longest path with query of a call of a plain service, in bytes.
const PATH_BYTES: usize = 8 * 1024;

/// Headers that stay between the caller and the VM: credentials, and those
/// that concern one connection or that the VM sets itself.
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

/// Query parameters that hold credentials.
const PRIVATE_PARAMETERS: [&str; 3] = ["key", "api_key", "access_token"];

type Head = xitca_web::http::WebRequest<()>;

/// Refuses another method than `method`.
///
/// # Errors
///
/// [`problem::Code::MethodNotAllowed`].
pub fn allow(context: &super::Context<'_>, method: &http::Method) -> problem::Result<()> {
    if context.req().method() == method {
        return Ok(());
    }
    Err(problem::Problem::new(problem::Code::MethodNotAllowed, format!("this path takes {method}")))
}

/// The key presented, if any.
///
/// # Errors
///
/// `invalid-key` if the header is there and has no key.
pub fn key(headers: &http::HeaderMap) -> problem::Result<Option<bundle::key::Presented>> {
    let Some(token) = token(headers)? else {
        return Ok(None);
    };
    match bundle::key::Presented::parse(token) {
        Ok(key) => Ok(Some(key)),
        Err(_) => Err(invalid_key()),
    }
}

fn token(headers: &http::HeaderMap) -> problem::Result<Option<&str>> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return Ok(None);
    };
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

/// The stream to go on with and the number of chunks that the caller has.
///
/// # Errors
///
/// `bad-request` if a header is malformed.
pub fn resume(headers: &http::HeaderMap) -> problem::Result<Option<(sync::Arc<str>, u64)>> {
    let Some(stream) = bounded(headers, STREAM)? else {
        return Ok(None);
    };
    let Some(last) = bounded(headers, LAST_EVENT)? else {
        return Ok(Some((stream, 0)));
    };
    let malformed = || problem::Problem::bad(format!("header {LAST_EVENT}: not a chunk's number"));
    let last: u64 = last.parse().map_err(|_cause: std::num::ParseIntError| malformed())?;
    let from = last.checked_add(1).ok_or_else(malformed)?;
    Ok(Some((stream, from)))
}

/// The idempotency key, if any.
///
/// # Errors
///
/// `bad-request` if it is malformed.
pub fn idempotency(headers: &http::HeaderMap) -> problem::Result<Option<sync::Arc<str>>> {
    bounded(headers, IDEMPOTENCY)
}

/// The longest wait that the caller accepts: `Prefer: wait=SECONDS`.
///
/// # Errors
///
/// `bad-request` if the number is malformed.
pub fn patience(headers: &http::HeaderMap) -> problem::Result<Option<time::Duration>> {
    let preferences = headers.get_all("prefer").iter();
    let mut waits = preferences
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|text| text.trim().strip_prefix("wait="));
    let Some(wait) = waits.next_back() else {
        return Ok(None);
    };
    let seconds: u32 = wait.parse().map_err(|_cause: std::num::ParseIntError| {
        problem::Problem::bad("header prefer: wait is a number of seconds")
    })?;
    Ok(Some(time::Duration::from_secs(seconds.into())))
}

fn bounded(headers: &http::HeaderMap, name: &str) -> problem::Result<Option<sync::Arc<str>>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if (1..=NAME_BYTES).contains(&text.len()) {
        return Ok(Some(text.into()));
    }
    Err(problem::Problem::bad(format!(
        "header {name}: 1 to {NAME_BYTES} visible ASCII characters are allowed"
    )))
}

/// The whole body, of `limit` bytes at most.
///
/// # Errors
///
/// `too-large` if there are more bytes, `request-timeout` if they take longer
/// than `longest`, `bad-request` if the connection breaks.
pub async fn body(
    context: &mut super::Context<'_>,
    limit: usize,
    longest: time::Duration,
) -> problem::Result<bytes::Bytes> {
    let declared = context.req().headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let body = context.body_get_mut();
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    match tokio::time::timeout(longest, body::read(body, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Error::TooLarge)) => Err(too_large(limit)),
        Ok(Err(cause)) => Err(problem::Problem::bad(format!("reading the body: {cause}"))),
        Err(_elapsed) => Err(problem::Problem::new(
            problem::Code::RequestTimeout,
            "the body did not arrive in time",
        )),
    }
}

fn too_large(limit: usize) -> problem::Problem {
    problem::Problem::new(
        problem::Code::Core(call::Code::TooLarge),
        format!("a body may have {limit} bytes at most"),
    )
}

/// Digest of method, path, query and body.
#[must_use]
pub fn digest(head: &Head, body: &[u8]) -> ids::Digest {
    let target = head.uri().path_and_query().map_or("", |whole| whole.as_str());
    // Neither a method nor a request target can have a line break, so two
    // requests with the same text have the same parts.
    let text = format!("{}\n{target}\n{}", head.method(), ids::Digest::of(body));
    ids::Digest::of(text.as_bytes())
}

/// What a call of a plain service asks for, and what is sent on.
///
/// # Errors
///
/// `not-found` if the path names no service, `bad-request` if it is too long.
pub fn service(head: &Head, body: bytes::Bytes) -> problem::Result<(call::Work, calls::Payload)> {
    let uri = head.uri();
    let rest = uri.path().strip_prefix("/svc/").unwrap_or_default();
    let (service, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    if service.is_empty() {
        return Err(problem::Problem::new(
            problem::Code::NotFound,
            "name a service: /svc/SERVICE/PATH",
        ));
    }
    let token = token(head.headers()).ok().flatten();
    let path_and_query = match query(uri.query().unwrap_or_default(), token) {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    if path_and_query.len() > PATH_BYTES {
        return Err(problem::Problem::bad(format!(
            "path and query may have {PATH_BYTES} bytes at most"
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

/// The query without credentials; none if nothing is left.
fn query(text: &str, token: Option<&str>) -> Option<String> {
    let public = |parameter: &&str| {
        let name = parameter.split('=').next().unwrap_or_default();
        let private = PRIVATE_PARAMETERS.iter().any(|known| name.eq_ignore_ascii_case(known));
        !private && !token.is_some_and(|token| parameter.contains(token))
    };
    let kept: Vec<&str> =
        text.split('&').filter(|parameter| !parameter.is_empty()).filter(public).collect();
    (!kept.is_empty()).then(|| kept.join("&"))
}

/// The headers that a target may see.
fn public_headers(headers: &http::HeaderMap, token: Option<&str>) -> http::HeaderMap {
    let named: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .collect();
    let shows_token = |value: &http::HeaderValue| {
        let text = String::from_utf8_lossy(value.as_bytes());
        token.is_some_and(|token| text.contains(token))
    };
    headers
        .iter()
        .filter(|(name, _)| !PRIVATE_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !named.iter().any(|hop| name.as_str().eq_ignore_ascii_case(hop)))
        .filter(|(_, value)| !shows_token(value))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
