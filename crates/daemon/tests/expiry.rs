//! Tests of connections that carry requests with an expiry.

use std::{io, time};

use daemon::{clock, relay::expiry};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const LATER: time::Duration = time::Duration::from_mins(1);

/// A connection with an expiry, and its other end.
async fn pair() -> (expiry::Stream<tokio::net::TcpStream>, tokio::net::TcpStream, expiry::Expiry) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let near = tokio::net::TcpStream::connect(address).await.expect("a connection");
    let (far, _from) = listener.accept().await.expect("a connection");
    let expiry = expiry::Expiry::default();
    (expiry::Stream::new(near, expiry.clone()), far, expiry)
}

/// Guards against an order that is written after the process was suspended.
#[tokio::test]
async fn a_request_that_has_expired_is_not_written() {
    let (mut near, mut far, expiry) = pair().await;
    expiry.set(clock::now());
    let written = near.write_all(b"order").await;
    assert_eq!(written.map_err(|cause| cause.kind()), Err(io::ErrorKind::TimedOut));
    drop(near);
    let mut received = Vec::new();
    far.read_to_end(&mut received).await.expect("the end");
    assert!(received.is_empty());
}

/// Guards against bytes of an unanswered order that the kernel sends after the connection is closed.
#[tokio::test]
async fn a_connection_with_an_unanswered_request_is_reset() {
    let (mut near, mut far, expiry) = pair().await;
    expiry.set(clock::now() + LATER);
    near.write_all(b"order").await.expect("written");
    drop(near);
    let mut received = Vec::new();
    let end = far.read_to_end(&mut received).await;
    assert_eq!(end.map_err(|cause| cause.kind()), Err(io::ErrorKind::ConnectionReset));
}

/// Guards against connections that are reset under the last answer that they carry.
#[tokio::test]
async fn a_connection_whose_requests_were_answered_is_closed_without_a_reset() {
    let (mut near, mut far, expiry) = pair().await;
    for request in [b"first", b"other"] {
        expiry.set(clock::now() + LATER);
        near.write_all(request).await.expect("written");
        expiry.clear();
    }
    drop(near);
    let mut received = Vec::new();
    far.read_to_end(&mut received).await.expect("the end");
    assert_eq!(received, b"firstother");
}

/// Guards against calls that are cut, or reset at their close, as the connection carried an order.
#[tokio::test]
async fn a_request_after_an_answered_one_has_the_options_of_before() {
    let (near, _far, _expiry) = pair().await;
    drop(near);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let near = tokio::net::TcpStream::connect(address).await.expect("a connection");
    let socket = std::os::fd::AsFd::as_fd(&near).try_clone_to_owned().expect("a descriptor");
    let (_far, _from) = listener.accept().await.expect("a connection");
    let expiry = expiry::Expiry::default();
    let mut near = expiry::Stream::new(near, expiry.clone());
    let options = || {
        let timeout = rustix::net::sockopt::tcp_user_timeout(&socket).expect("an option");
        (timeout, rustix::net::sockopt::socket_linger(&socket).expect("an option"))
    };
    expiry.set(clock::now() + time::Duration::from_millis(300));
    near.write_all(b"order").await.expect("written");
    let (timeout, linger) = options();
    assert!(timeout <= 300 && linger == Some(time::Duration::ZERO), "{timeout} {linger:?}");
    expiry.clear();
    near.write_all(b"call").await.expect("written");
    assert_eq!(options(), (daemon::relay::pool::TCP_USER_TIMEOUT_MS, None));
}

/// Sends an order over a connection of the pool, and returns what arrives until the connection ends.
async fn sent_by_pool(expires_at: ids::Time) -> (Vec<u8>, Option<io::ErrorKind>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let mut sender = daemon::relay::pool::connect(&address).await.expect("a connection");
    let (mut far, _from) = listener.accept().await.expect("a connection");
    sender.ready().await.expect("a connection");
    sender.expiry.set(expires_at);
    let body = http_body_util::Full::new(bytes::Bytes::from_static(b"order"));
    let request = http::Request::post("/").header("host", "a").body(body).expect("a request");
    let answer =
        tokio::time::timeout(time::Duration::from_millis(100), sender.send_request(request));
    assert!(!answer.await.is_ok_and(|answer| answer.is_ok()), "nobody answers");
    drop(sender);
    let mut received = Vec::new();
    let end = far.read_to_end(&mut received).await;
    (received, end.err().map(|cause| cause.kind()))
}

/// Guards against an order that is written after its time, by the path that orders take.
#[tokio::test]
async fn the_pool_does_not_write_a_request_that_has_expired() {
    let (received, _end) = sent_by_pool(clock::now()).await;
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}

/// Guards against a client library that keeps or closes the connection of an answer that is given up.
#[tokio::test]
async fn the_pool_resets_the_connection_of_a_request_that_is_given_up() {
    let (_received, end) = sent_by_pool(clock::now() + LATER).await;
    assert_eq!(end, Some(io::ErrorKind::ConnectionReset));
}
