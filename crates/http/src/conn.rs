//! One connection of a listener.

use bulrushlink_core::Moment;
use stakker_mio::{ReadStatus, TcpStreamBuf};

use crate::message::Request;
use crate::parse::{Bounds, Malformed, RequestParser};

/// Size of one read in bytes, and the most that is read of the requests behind the one that is being handled.
const READ_BYTES: usize = 4 * 1024;
/// Largest output buffer that a connection keeps while it has nothing to send, in bytes.
const OUT_KEEP_BYTES: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// No byte of the next request has arrived.
    Idle,
    /// Part of a request has arrived.
    Reading,
    /// A request waits for its response.
    Serving,
    /// A response is being sent; the next request is not looked at.
    Sending,
    /// Closes once the output buffer is sent.
    Closing,
}

/// What the bytes of a connection have led to.
#[derive(Debug)]
pub(crate) enum Step {
    /// A request is complete.
    Complete(Request),
    /// More bytes have been read.
    Read,
    /// Nothing more can be done before the next event.
    Wait,
    /// The peer has closed the connection.
    Ended,
    /// What arrived is no valid request.
    Malformed(Malformed),
}

/// A connection with its buffers.
pub(crate) struct Conn {
    pub(crate) id: u64,
    pub(crate) stream: TcpStreamBuf,
    pub(crate) state: State,
    /// Time of the latest change of `state`.
    pub(crate) since: Moment,
    /// Time at which bytes were last transferred.
    pub(crate) active: Moment,
    /// Whether the peer asked to close the connection after the response.
    pub(crate) close_after: bool,
    /// Whether the peer has shut down its sending side.
    pub(crate) eof: bool,
    /// Memory of its messages that the listener's budget accounts for, in bytes.
    pub(crate) charge: usize,
    /// Whether the socket may have bytes that weren't read.
    readable: bool,
    parser: RequestParser,
}

impl Conn {
    pub(crate) fn new(id: u64, stream: TcpStreamBuf, now: Moment) -> Self {
        Self {
            id,
            stream,
            state: State::Idle,
            since: now,
            active: now,
            close_after: false,
            eof: false,
            charge: 0,
            readable: true,
            parser: RequestParser::default(),
        }
    }

    /// Records that the socket has bytes to read, or has ended.
    pub(crate) fn set_readable(&mut self) {
        self.readable = true;
    }

    pub(crate) fn set_state(&mut self, state: State, now: Moment) {
        (self.state, self.since, self.active) = (state, now, now);
    }

    /// Returns the memory that the buffers of the connection take, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.stream.inp.capacity() + self.stream.out.capacity() + self.parser.memory()
    }

    /// Returns true if the head of a request has arrived, and part of its body.
    pub(crate) fn is_in_body(&self) -> bool {
        self.parser.is_in_body()
    }

    /// Returns true if a further request may have arrived behind the one that was answered.
    pub(crate) fn may_have_request(&self) -> bool {
        self.state == State::Idle && (self.unread() > 0 || self.readable || self.eof)
    }

    fn unread(&self) -> usize {
        self.stream.wr - self.stream.rd
    }

    /// Parses what has arrived, or reads more of it: one read at a time, so that the caller can bound what all
    /// connections hold.
    pub(crate) fn step(&mut self, bounds: &Bounds, now: Moment) -> Step {
        if self.unread() > 0 {
            let unread = &self.stream.inp[self.stream.rd..self.stream.wr];
            match self.parser.feed(unread, bounds) {
                Ok((used, request)) => {
                    self.stream.rd += used;
                    if let Some(request) = request {
                        return Step::Complete(request);
                    }
                    if self.unread() > 0 || self.parser.is_in_body() {
                        self.begin(now);
                    }
                }
                Err(error) => return Step::Malformed(error),
            }
        }
        if self.eof {
            return Step::Ended;
        }
        let unread = self.unread();
        match self.read() {
            Ok(()) if self.unread() > unread => {
                self.active = now;
                Step::Read
            }
            Ok(()) if self.eof => Step::Ended,
            Ok(()) => {
                self.release();
                Step::Wait
            }
            Err(()) => Step::Ended,
        }
    }

    /// Notes that a part of a request has arrived.
    fn begin(&mut self, now: Moment) {
        if self.state == State::Idle {
            self.set_state(State::Reading, now);
        }
    }

    /// Reads a little of what follows the request that is being handled, to learn whether the peer has closed the
    /// connection; false if it is broken.
    pub(crate) fn look_ahead(&mut self) -> bool {
        while self.readable && self.unread() < READ_BYTES {
            if self.read().is_err() {
                return false;
            }
        }
        self.release();
        true
    }

    fn read(&mut self) -> Result<(), ()> {
        if !self.readable {
            return Ok(());
        }
        match self.stream.read(READ_BYTES) {
            ReadStatus::NewData => {}
            ReadStatus::WouldBlock => self.readable = false,
            ReadStatus::EndOfStream => (self.eof, self.readable) = (true, false),
            ReadStatus::Error(_) => return Err(()),
        }
        Ok(())
    }

    /// Frees buffers that hold nothing: most connections are idle most of the time.
    pub(crate) fn release(&mut self) {
        if self.unread() == 0 {
            (self.stream.inp, self.stream.rd, self.stream.wr) = (Vec::new(), 0, 0);
        }
        if self.stream.out.is_empty() && self.stream.out.capacity() > OUT_KEEP_BYTES {
            self.stream.out = Vec::new();
        }
    }
}
