//! What is wrong with a request, before the decision core sees it.

use std::fmt;

use node::call;

/// Outcome of reading a request.
pub type Result<T, E = Problem> = std::result::Result<T, E>;

/// Stable code of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// A code that the decision core uses as well.
    Core(call::Code),
    /// The request is not understood.
    BadRequest,
    /// There is nothing under the path.
    NotFound,
    /// The path takes another method.
    MethodNotAllowed,
    /// The body did not arrive in time.
    RequestTimeout,
    /// The caller read too slowly.
    SlowCaller,
}

impl Code {
    /// The HTTP status that goes with it.
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
    /// Stable code.
    pub code: Code,
    /// One sentence for the caller.
    pub message: String,
}

impl std::error::Error for Problem {}

impl Problem {
    /// A problem with a sentence for the caller.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }

    /// A request that is not understood.
    #[must_use]
    pub fn bad(message: impl Into<String>) -> Self {
        Self::new(Code::BadRequest, message)
    }
}
