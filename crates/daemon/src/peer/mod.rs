//! The peer face: one WebSocket connection to each other VM, for sending
//! alone, and one from each, for receiving alone.
//!
//! As each direction has its own connection, a cut in one direction shows as
//! such and does not hide behind the other.

pub mod accept;
pub mod link;

use std::time;

use tokio_tungstenite::tungstenite::protocol;

pub use link::Links;

/// Path of the face.
const PATH: &str = "/peer";
/// Header that names the sending VM.
const VM: &str = "x-vm";
/// Header with the sending VM's incarnation.
const INCARNATION: &str = "x-incarnation";
/// Longest time for connecting and for the handshake.
const HANDSHAKE: time::Duration = time::Duration::from_secs(2);
/// Size of the buffers of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// The limits of every connection.
fn limits() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * wire::MAX_BYTES)
        .max_message_size(Some(wire::MAX_BYTES))
        .max_frame_size(Some(wire::MAX_BYTES))
}
