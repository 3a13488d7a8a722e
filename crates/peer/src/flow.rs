//! Flow control of the connections between nodes.
//!
//! The defaults of hyper (2 MiB for a stream, 5 MiB for a connection) suit a
//! few transfers over a fast network. Here many responses share one connection
//! over 3 to 10 Mbit/s: three readers that stopped took the window of the
//! connection, and all other responses waited for them.

/// Bytes of one response or request body that the receiver holds for a reader that does not take them.
///
/// 64 KiB per round trip are 10 Mbit/s at a round trip of 50 ms, which is several times that of the links. A response
/// keeps at most this much in front of others in the buffers of a link: 53 ms at 9.8 Mbit/s, 160 ms at 3.3 Mbit/s.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Maximum number of requests in flight on one connection.
pub(crate) const STREAMS_MAX: u32 = 1_000;

/// Bytes that the receiver of a connection holds for all readers. The windows of all streams fit in, so that readers
/// that stop never block the other streams; memory is bounded by the windows of the streams in use.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = STREAMS_MAX * STREAM_WINDOW_BYTES;

/// Bytes of one body that the sender takes from its source before the receiver has room for them: two frames, so that one
/// is ready when the other is sent.
pub(crate) const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Length of a data frame, the least that the protocol allows as a limit. Streams take turns after each frame.
pub(crate) const FRAME_BYTES: u32 = 16 * 1024;
