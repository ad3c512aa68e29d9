//! One HTTP address of a stand-in.

use std::{fmt, io, net, pin, sync, sync::atomic, task, thread, time};

use xitca_web::body::BodyExt as _;

use crate::{Error, Result};

/// Chunks that a streamed answer may run ahead of its reader.
const STREAM_AHEAD: usize = 64;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// How often a stop looks whether the last answer is out.
const STOP_POLL: time::Duration = time::Duration::from_millis(5);
/// How long a finished answer may take to leave the socket before a stop.
const STOP_FLUSH: time::Duration = time::Duration::from_millis(50);

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: http::Method,
    /// The path, without the query.
    pub path: String,
    /// The query, or an empty text.
    pub query: String,
    /// All headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: bytes::Bytes,
}

impl Request {
    /// The header `name` as text, if it is there.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of the query's parameter `name`, undecoded.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(bytes::Bytes),
    /// One part after the other, until the sender is dropped.
    Stream(tokio::sync::mpsc::Receiver<bytes::Bytes>),
}

/// An answer to a [`Request`].
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: http::StatusCode,
    /// Headers beside those that the server adds.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Body,
}

impl Reply {
    /// An answer without a body.
    #[must_use]
    pub fn empty(status: http::StatusCode) -> Self {
        Self { status, headers: http::HeaderMap::new(), body: Body::Whole(bytes::Bytes::new()) }
    }

    /// A JSON answer.
    #[must_use]
    pub fn json<T: serde::Serialize>(status: http::StatusCode, value: &T) -> Self {
        let Ok(text) = serde_json::to_vec(value) else {
            return Self::empty(http::StatusCode::INTERNAL_SERVER_ERROR);
        };
        let mut reply = Self::empty(status);
        reply.body = Body::Whole(text.into());
        reply.with_header("content-type", "application/json")
    }

    /// A JSON answer that says what is wrong with a request.
    #[must_use]
    pub fn error(status: http::StatusCode, code: &str, message: &str) -> Self {
        let error = serde_json::json!({"error": {"code": code, "message": message}});
        Self::json(status, &error)
    }

    /// A streamed answer and the sender of its parts.
    #[must_use]
    pub fn stream(media: &'static str) -> (Self, tokio::sync::mpsc::Sender<bytes::Bytes>) {
        let (sender, receiver) = tokio::sync::mpsc::channel(STREAM_AHEAD);
        let mut reply = Self::empty(http::StatusCode::OK);
        reply.body = Body::Stream(receiver);
        (reply.with_header("content-type", media), sender)
    }

    /// The answer with one more header; a value that no header can have is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = http::HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }
}

/// The connection is closed in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// What answers the requests at an address.
pub trait Handle: Send + Sync + 'static {
    /// Answers `request`, or closes its connection.
    fn handle(
        self: sync::Arc<Self>,
        request: Request,
    ) -> impl Future<Output = Result<Answer, Closed>> + Send;
}

/// An answer and how much of it is to get through.
#[derive(Debug)]
pub struct Answer {
    /// The answer.
    pub reply: Reply,
    /// The connection is closed after so many parts of a stream.
    pub break_after: Option<u64>,
    /// Each part of a stream is sent twice.
    pub double: bool,
}

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Self {
        Self { reply, break_after: None, double: false }
    }
}

/// A listening HTTP address with its worker threads.
#[derive(Debug)]
pub struct Face {
    address: net::SocketAddr,
    open: sync::Arc<atomic::AtomicUsize>,
    stopper: Stopper,
    thread: thread::JoinHandle<()>,
}

struct Stopper(Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for Stopper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Stopper")
    }
}

impl Face {
    /// Listens on `address` and lets `handler` answer, on `threads` threads.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the server cannot be started.
    ///
    /// # Panics
    ///
    /// It is called outside a tokio runtime.
    pub fn listen<H: Handle>(
        address: net::SocketAddr,
        threads: usize,
        handler: sync::Arc<H>,
    ) -> Result<Self> {
        let failed = |error| Error::new("listen", address, error);
        let listener = listener(address).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let open = sync::Arc::new(atomic::AtomicUsize::new(0));
        let counter = sync::Arc::clone(&open);
        let service = xitca_web::service::fn_service(async move |request| {
            let guard = Open::new(&counter);
            respond(sync::Arc::clone(&handler), request, guard).await
        });
        let mut server = xitca_web::HttpServer::serve(service)
            .worker_threads(threads)
            .disable_signal()
            .listen(listener)
            .map_err(failed)?
            .run();
        let handle = server.handle().map_err(failed)?;
        let thread = thread::spawn(move || {
            if let Err(error) = server.wait() {
                tracing::error!(%address, %error, "server failed");
            }
        });
        Ok(Self { address, open, stopper: Stopper(Box::new(move || handle.stop(false))), thread })
    }

    /// The address that it listens on.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Waits until no answer is under way, at most for `patience`, then closes.
    pub async fn stop(self, patience: time::Duration) {
        let deadline = tokio::time::Instant::now() + patience;
        while self.open.load(atomic::Ordering::SeqCst) > 0 && tokio::time::Instant::now() < deadline
        {
            tokio::time::sleep(STOP_POLL).await;
        }
        tokio::time::sleep(STOP_FLUSH).await;
        (self.stopper.0)();
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            tracing::error!(address = %self.address, "server thread failed");
        }
    }
}

/// Binds `address`; its connections send small parts of a stream at once.
fn listener(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // The system hands this option down to each accepted connection. Without it
    // a chunk waits up to 40 ms for the reader to acknowledge the one before.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Counts an answer that is under way.
struct Open(sync::Arc<atomic::AtomicUsize>);

impl Open {
    fn new(counter: &sync::Arc<atomic::AtomicUsize>) -> Self {
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        Self(sync::Arc::clone(counter))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

type WebRequest =
    xitca_web::http::Request<xitca_web::http::RequestExt<xitca_web::body::RequestBody>>;
type WebResponse = xitca_web::http::Response<xitca_web::body::ResponseBody>;

async fn respond<H: Handle>(
    handler: sync::Arc<H>,
    request: WebRequest,
    guard: Open,
) -> Result<WebResponse, Closed> {
    let request = read(request).await?;
    let answer = handler.handle(request).await?;
    Ok(write(answer, guard))
}

async fn read(request: WebRequest) -> Result<Request, Closed> {
    let (parts, body) = request.into_parts();
    let (_extensions, mut body) = body.replace_body(());
    let mut whole = bytes::BytesMut::new();
    while let Some(part) = body.data().await {
        whole.extend_from_slice(&part.map_err(|_lost| Closed)?);
    }
    Ok(Request {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: whole.freeze(),
    })
}

fn write(answer: Answer, guard: Open) -> WebResponse {
    let body = match answer.reply.body {
        Body::Whole(bytes) => xitca_web::body::ResponseBody::bytes(bytes),
        Body::Stream(receiver) => {
            let parts = Parts {
                receiver,
                left: answer.break_after,
                double: answer.double,
                again: None,
                _guard: guard,
            };
            let parts = xitca_web::body::StreamDataBody::new(parts);
            xitca_web::body::ResponseBody::boxed(parts)
        }
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = answer.reply.status;
    *response.headers_mut() = answer.reply.headers;
    response
}

/// The parts of a streamed answer, as a fault rule lets them through.
struct Parts {
    receiver: tokio::sync::mpsc::Receiver<bytes::Bytes>,
    /// Parts until the stream is cut.
    left: Option<u64>,
    double: bool,
    /// The part that was just sent, if it is to be sent again.
    again: Option<bytes::Bytes>,
    _guard: Open,
}

impl futures_util::Stream for Parts {
    type Item = Result<bytes::Bytes, Broken>;

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        if let Some(part) = self.again.take() {
            return task::Poll::Ready(Some(Ok(part)));
        }
        if self.left == Some(0) {
            return task::Poll::Ready(Some(Err(Broken)));
        }
        let part = futures_util::ready!(self.receiver.poll_recv(cx));
        self.left = self.left.map(|left| left - 1);
        self.again = part.clone().filter(|_| self.double);
        task::Poll::Ready(part.map(Ok))
    }
}

/// the stream was cut on request
#[derive(Debug)]
#[derive(displaydoc::Display)]
struct Broken;

impl std::error::Error for Broken {}
