//! Frames between VMs: CBOR in binary WebSocket messages.
//!
//! A [`Frame`] carries one message of the decision core and the sender's incarnation.
//! Encoding and decoding are bounded by [`MAX_BYTES`], so that a broken peer
//! cannot make a VM allocate without limit.
//!
//! ```
//! let bytes = wire::encode(&"ping").unwrap();
//! let text: String = wire::decode(&bytes).unwrap();
//! assert_eq!(text, "ping");
//! ```

pub mod error;
pub mod frame;

pub use error::{Error, Kind, Result};
pub use frame::{Frame, decode, encode};

/// Maximum size of a frame, in bytes.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;
