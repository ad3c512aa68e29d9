//! Errors in requests that are detected before the decision core sees them.

use std::fmt;

use node::call;

/// Result of reading a request.
pub type Result<T, E = Problem> = std::result::Result<T, E>;

/// Stable error code; part of the interface to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// A code that the decision core uses too.
    Core(call::Code),
    /// The request is malformed.
    BadRequest,
    /// The path is unknown.
    NotFound,
    /// The path does not support the request's method.
    MethodNotAllowed,
    /// The body was not received in time.
    RequestTimeout,
    /// The caller read the answer too slowly.
    SlowCaller,
}

impl Code {
    /// Returns the HTTP status of responses with this code.
    #[must_use]
    pub fn status(self) -> http::StatusCode {
        match self {
            Self::Core(code) => http::StatusCode::from_u16(code.status())
                .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR),
            Self::BadRequest => http::StatusCode::BAD_REQUEST,
            Self::NotFound => http::StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => http::StatusCode::METHOD_NOT_ALLOWED,
            Self::RequestTimeout => http::StatusCode::REQUEST_TIMEOUT,
            Self::SlowCaller => http::StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Core(code) => code.fmt(f),
            Self::BadRequest => f.write_str("bad-request"),
            Self::NotFound => f.write_str("not-found"),
            Self::MethodNotAllowed => f.write_str("method-not-allowed"),
            Self::RequestTimeout => f.write_str("request-timeout"),
            Self::SlowCaller => f.write_str("slow-caller"),
        }
    }
}

/// {code}: {message}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct Problem {
    /// Code for programs.
    pub code: Code,
    /// Description for people, one sentence.
    pub message: String,
}

impl std::error::Error for Problem {}

impl Problem {
    /// Creates a problem from its code and description.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }

    /// Creates a problem with the code [`Code::BadRequest`].
    #[must_use]
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(Code::BadRequest, message)
    }
}
