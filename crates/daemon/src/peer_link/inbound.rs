//! An inbound TCP connection from a peer: receives frames and acknowledges each with one byte.

use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioSource, ReadStatus, TcpStreamBuf};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::FRAME_MAX_BYTES;
use super::frame::Rejection;

/// Size of the length prefix of a frame.
pub(crate) const LENGTH_BYTES: usize = 4;
/// The acknowledgement of one frame.
const ACK: u8 = 1;
/// Bytes read at a time.
const READ_BYTES: usize = 64 * 1024;
/// Time within which the first valid frame has to arrive.
const FIRST_FRAME_TIMEOUT_MS: u64 = 5_000;
/// Time without a valid frame after which a connection is closed.
const IDLE_TIMEOUT_MS: u64 = 120_000;

pub(crate) struct Inbound {
    pub(crate) ordinal: u64,
    pub(crate) from: SocketAddr,
    stream: TcpStreamBuf,
    /// When the last valid frame arrived; at first, when the connection was opened.
    last_frame: Instant,
    /// Whether a valid frame has arrived.
    authenticated: bool,
}

impl Inbound {
    pub(crate) fn new(
        ordinal: u64,
        from: SocketAddr,
        source: MioSource<TcpStream>,
        now: Instant,
    ) -> Self {
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        Self { ordinal, from, stream, last_frame: now, authenticated: false }
    }

    /// Reads once. The caller has to remove all complete frames before the next read, which bounds
    /// the buffer.
    pub(crate) fn read(&mut self) -> ReadStatus {
        self.stream.read(READ_BYTES)
    }

    /// Removes the next complete frame from the buffer.
    pub(crate) fn next_frame(&mut self) -> Result<Option<Vec<u8>>, Rejection> {
        let unread = &self.stream.inp[self.stream.rd..self.stream.wr];
        let Some((length, rest)) = unread.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > FRAME_MAX_BYTES {
            return Err(Rejection::Oversize);
        }
        let Some(frame) = rest.get(..length) else { return Ok(None) };
        let frame = frame.to_vec();
        self.stream.rd += LENGTH_BYTES + length;
        Ok(Some(frame))
    }

    /// Acknowledges one frame to the sender.
    pub(crate) fn acknowledge(&mut self, now: Instant) {
        self.authenticated = true;
        self.last_frame = now;
        self.stream.out.push(ACK);
    }

    /// Sends buffered acknowledgements; returns false if the connection failed.
    pub(crate) fn flush(&mut self) -> bool {
        self.stream.flush().is_ok()
    }

    /// Returns true if the connection has had no valid frame for too long.
    pub(crate) fn is_timed_out(&self, now: Instant) -> bool {
        let timeout = if self.authenticated { IDLE_TIMEOUT_MS } else { FIRST_FRAME_TIMEOUT_MS };
        now.saturating_duration_since(self.last_frame) > Duration::from_millis(timeout)
    }
}
