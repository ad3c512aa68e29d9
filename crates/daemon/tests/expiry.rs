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
