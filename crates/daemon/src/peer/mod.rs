//! Messages between VMs, sent over web sockets: one outgoing connection to each other
//! VM, which only sends, and one incoming connection from each, which only receives.
//!
//! Each direction has its own connection, so a network failure in one direction
//! is detected even while the other direction still works.

pub mod accept;
pub mod link;

use std::time;

use tokio_tungstenite::tungstenite::protocol;

pub use link::Links;

/// Request path of the WebSocket handshake.
const PATH: &str = "/peer";
/// Header that names the sending VM.
const VM_HEADER: &str = "x-vm";
/// Header with the sending VM's incarnation.
const INCARNATION_HEADER: &str = "x-incarnation";
/// Timeout of an incoming handshake, and of an outgoing connection attempt with its
/// handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Size of the read buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Returns the buffer and message size limits of every connection.
fn websocket_config() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * wire::MAX_BYTES)
        .max_message_size(Some(wire::MAX_BYTES))
        .max_frame_size(Some(wire::MAX_BYTES))
}
