//! The connection to one peer, made when there is something to send.
//!
//! TCP alone would hold messages back for minutes after a partition has healed. The peer sends one
//! byte back for each frame; when it stays away, the connection is dropped and made anew.

use bulrushlink_core::DaemonId;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::POLL_PRIORITY;

/// The most bytes that wait to be sent.
const QUEUE_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Time without progress after which a connection is made anew, in milliseconds.
const STALL_MS: u64 = 5_000;
/// Time without any frame after which the connection is closed, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// Pause after the first failure, in milliseconds; it doubles with each further one.
const BACKOFF_MIN_MS: u64 = 100;
/// The longest pause after a failure, in milliseconds.
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
    /// When the last frame was acknowledged, or queued with none before it.
    progress: Instant,
    /// Failures since the last acknowledgement.
    failures: u32,
    /// Absent unless a failure has to be waited out.
    next_try: Option<Instant>,
}

impl Outbound {
    pub(crate) fn open(id: DaemonId, addr: SocketAddr, now: Instant) -> Self {
        Self {
            id,
            addr,
            stream: None,
            unacknowledged: 0,
            progress: now,
            failures: 0,
            next_try: None,
        }
    }

    /// Begins a connection unless there is one, or a failure is too recent.
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
        let begun = TcpStream::connect(self.addr).and_then(|stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            miopoll.add(stream, interest, POLL_PRIORITY, ready)
        });
        let source = begun.inspect_err(|_| self.fail(now))?;
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        self.stream = Some(stream);
        Ok(())
    }

    /// Queues a frame, and tells whether there was room for it.
    pub(crate) fn push(&mut self, frame: &[u8], now: Instant) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        if stream.out.len() + frame.len() > QUEUE_MAX_BYTES {
            return false;
        }
        if self.unacknowledged == 0 {
            self.progress = now;
        }
        self.unacknowledged += 1;
        stream.out.extend_from_slice(&(frame.len() as u32).to_le_bytes());
        stream.out.extend_from_slice(frame);
        self.flush(now);
        true
    }

    /// Reads acknowledgements and sends on.
    pub(crate) fn ready(&mut self, now: Instant) {
        if self.read_acknowledgements(now) {
            self.flush(now);
        } else {
            self.fail(now);
        }
    }

    /// Drops a connection that makes no progress or has had nothing to do for long.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let still = now.saturating_duration_since(self.progress);
        if self.unacknowledged > 0 && still > Duration::from_millis(STALL_MS) {
            self.fail(now);
        } else if self.unacknowledged == 0 && still > Duration::from_millis(IDLE_MS) {
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
                    self.progress = now;
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

    /// Closes the connection with all that it holds, and waits before the next one.
    fn fail(&mut self, now: Instant) {
        self.stream = None;
        self.unacknowledged = 0;
        let doubled = BACKOFF_MIN_MS << self.failures.min(16);
        let longest = doubled.min(BACKOFF_MAX_MS);
        let pause = longest / 2 + fastrand::u64(0..=longest / 2);
        self.failures = self.failures.saturating_add(1);
        self.next_try = Some(now + Duration::from_millis(pause));
    }
}
