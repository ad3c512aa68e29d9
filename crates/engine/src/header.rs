//! Names of the HTTP headers between a VM and a target.
//!
//! A runner serves `POST /v1/chat/completions` in the `OpenAI` shape and
//! streams server-sent events: the event's `id` is the number of the chunk,
//! from 0, its `data` the `OpenAI` chunk, and `[DONE]` ends the stream.
//! `DELETE /v1/streams/STREAM` cancels a stream.

/// Id of the attempt. A runner echoes it, so that a VM detects the answer to another attempt.
pub const CALL: &str = "x-call-id";
/// Name of the stream, the same for all attempts of one call on all VMs.
pub const STREAM: &str = "x-stream-id";
/// Priority of the call: 0 is served first.
pub const PRIORITY: &str = "x-priority";
/// Number of chunks that the caller has, which is the number of the first chunk to send.
///
/// A runner that holds the stream continues it. Any other runner takes the text
/// so far from the body's field `continue_text`.
pub const RESUME_FROM: &str = "x-resume-from";
/// Set to `1` by a target on a response to confirm that the call did not run.
pub const NOT_RUN: &str = "x-not-run";
