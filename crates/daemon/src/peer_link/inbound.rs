//! A connection that a peer made: frames come in, one byte goes back for each.

use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioSource, ReadStatus, TcpStreamBuf};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::FRAME_MAX_BYTES;
use super::frame::Rejection;

/// Bytes of a frame's length.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Acknowledges one frame.
const ACK: u8 = 1;
/// Bytes read at a time.
const READ_BYTES: usize = 64 * 1024;
/// Time in which the first good frame has to come, in milliseconds.
const FIRST_FRAME_MS: u64 = 5_000;
/// Silence after which a connection is closed, in milliseconds.
const IDLE_MS: u64 = 120_000;

pub(crate) struct Inbound {
    pub(crate) ordinal: u64,
    pub(crate) from: SocketAddr,
    stream: TcpStreamBuf,
    /// When it was opened or the last good frame came.
    heard: Instant,
    /// Whether a good frame has come.
    trusted: bool,
}

impl Inbound {
    pub(crate) fn open(
        ordinal: u64,
        from: SocketAddr,
        source: MioSource<TcpStream>,
        now: Instant,
    ) -> Self {
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        Self { ordinal, from, stream, heard: now, trusted: false }
    }

    /// Reads once. The caller takes all frames out before it reads on, which bounds the buffer.
    pub(crate) fn read(&mut self) -> ReadStatus {
        self.stream.read(READ_BYTES)
    }

    /// Takes the next whole frame out of the buffer.
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

    /// Tells the sender that one frame was taken.
    pub(crate) fn acknowledge(&mut self, now: Instant) {
        self.trusted = true;
        self.heard = now;
        self.stream.out.push(ACK);
    }

    /// Sends what is to be sent, and tells whether the connection is still open.
    pub(crate) fn flush(&mut self) -> bool {
        self.stream.flush().is_ok()
    }

    /// Tells whether the connection has been without a good frame for too long.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        let allowed = if self.trusted { IDLE_MS } else { FIRST_FRAME_MS };
        now.saturating_duration_since(self.heard) > Duration::from_millis(allowed)
    }
}
