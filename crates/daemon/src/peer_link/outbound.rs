//! The TCP connection to one peer, opened when there is something to send.
//!
//! After a partition has healed, the retransmission backoff of TCP alone would delay messages for
//! minutes. The peer therefore acknowledges each frame with one byte, and a connection without
//! acknowledgements is closed and opened again.

use bulrushlink_core::DaemonId;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::POLL_PRIORITY;

/// The most bytes queued for sending.
const QUEUE_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Time without an acknowledgement after which the connection is dropped.
const ACK_TIMEOUT_MS: u64 = 5_000;
/// Time without any frame after which the connection is closed.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Backoff after the first failure; it doubles with each further one.
const BACKOFF_MIN_MS: u64 = 100;
/// The longest backoff.
const BACKOFF_MAX_MS: u64 = 5_000;
/// Bytes of acknowledgements read at a time.
const READ_BYTES: usize = 256;

pub(crate) struct Outbound {
    pub(crate) id: DaemonId,
    pub(crate) addr: SocketAddr,
    /// Absent while there is no connection.
    stream: Option<TcpStreamBuf>,
    /// Frames that were queued on this connection and not acknowledged.
    unacknowledged: u64,
    /// The later of two times: when a frame was last acknowledged, and when a frame was last queued
    /// while no other was unacknowledged.
    last_progress: Instant,
    /// Failures since the last acknowledgement.
    failures: u32,
    /// End of the backoff; absent if no connection has failed yet.
    next_try: Option<Instant>,
}

impl Outbound {
    pub(crate) fn new(id: DaemonId, addr: SocketAddr, now: Instant) -> Self {
        Self {
            id,
            addr,
            stream: None,
            unacknowledged: 0,
            last_progress: now,
            failures: 0,
            next_try: None,
        }
    }

    /// Starts to connect, unless there is a connection. Fails during the backoff after a failure.
    pub(crate) fn connect(
        &mut self,
        miopoll: &MioPoll,
        now: Instant,
        ready: Fwd<Ready>,
    ) -> Result<()> {
        if self.stream.is_some() {
            return Ok(());
        }
        if self.next_try.is_some_and(|at| now < at) {
            return Err(Error::from(ErrorKind::WouldBlock));
        }
        let started = TcpStream::connect(self.addr).and_then(|stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            miopoll.add(stream, interest, POLL_PRIORITY, ready)
        });
        let source = started.inspect_err(|_| self.fail(now))?;
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        self.stream = Some(stream);
        Ok(())
    }

    /// Queues a frame and sends what can be sent; returns false if the frame doesn't fit the queue
    /// or there is no connection.
    pub(crate) fn push(&mut self, frame: &[u8], now: Instant) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        if stream.out.len() + frame.len() > QUEUE_MAX_BYTES {
            return false;
        }
        if self.unacknowledged == 0 {
            self.last_progress = now;
        }
        self.unacknowledged += 1;
        stream.out.extend_from_slice(&(frame.len() as u32).to_le_bytes());
        stream.out.extend_from_slice(frame);
        self.flush(now);
        true
    }

    /// Reads acknowledgements and continues to send.
    pub(crate) fn ready(&mut self, now: Instant) {
        if self.read_acknowledgements(now) {
            self.flush(now);
        } else {
            self.fail(now);
        }
    }

    /// Closes the connection if acknowledgements are overdue or it has been idle for too long.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let quiet = now.saturating_duration_since(self.last_progress);
        if self.unacknowledged > 0 && quiet > Duration::from_millis(ACK_TIMEOUT_MS) {
            self.fail(now);
        } else if self.unacknowledged == 0 && quiet > Duration::from_millis(IDLE_TIMEOUT_MS) {
            self.stream = None;
        }
    }

    fn read_acknowledgements(&mut self, now: Instant) -> bool {
        let Some(stream) = &mut self.stream else { return true };
        loop {
            match stream.read(READ_BYTES) {
                ReadStatus::NewData => {
                    let count = (stream.wr - stream.rd) as u64;
                    stream.rd = stream.wr;
                    self.unacknowledged = self.unacknowledged.saturating_sub(count);
                    self.last_progress = now;
                    self.failures = 0;
                }
                ReadStatus::WouldBlock => return true,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => return false,
            }
        }
    }

    fn flush(&mut self, now: Instant) {
        if self.stream.as_mut().is_some_and(|stream| stream.flush().is_err()) {
            self.fail(now);
        }
    }

    /// Closes the connection, drops its queue and starts the backoff.
    fn fail(&mut self, now: Instant) {
        self.stream = None;
        self.unacknowledged = 0;
        let doubled = BACKOFF_MIN_MS << self.failures.min(16);
        let backoff_max = doubled.min(BACKOFF_MAX_MS);
        let backoff = backoff_max / 2 + fastrand::u64(0..=backoff_max / 2);
        self.failures = self.failures.saturating_add(1);
        self.next_try = Some(now + Duration::from_millis(backoff));
    }
}
