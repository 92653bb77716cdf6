//! Sends and receives messages between daemons: small ones as datagrams, larger ones over TCP.
//!
//! Delivery is best effort: a message that can't be sent now is dropped and counted, because the
//! side that wants something repeats its message. That keeps all queues bounded.

use bulrushlink_core::{Code, DaemonId};
use metrics::Counter;
use stakker::{CX, Fwd, after, fwd_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, UdpSocket};
use stakker_mio::{MioPoll, MioSource, ReadStatus, Ready};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::peer::PeerMessage;
use crate::settings::Settings;
use frame::{FrameCodec, Rejection, Transport};
use inbound::Inbound;
use outbound::Outbound;

mod frame;
mod inbound;
mod outbound;
#[cfg(test)]
mod tests;

/// The largest frame sent as a datagram; it fits the MTU of every usual path unfragmented.
const DATAGRAM_MAX_BYTES: usize = 1_200;
/// The largest frame sent over TCP.
const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Interval of checks for stalled connections, and delay before `accept` is retried.
const SWEEP_INTERVAL_MS: u64 = 500;
/// Priority of the sockets in the poll loop.
pub(crate) const POLL_PRIORITY: u32 = 5;
/// Pause after a full batch of datagrams, so that other work gets its turn.
const BATCH_PAUSE_MS: u64 = 1;
/// Datagrams read at a time.
const DATAGRAMS_PER_BATCH: usize = 256;

/// A message from an authenticated peer.
#[derive(Debug)]
pub(crate) struct ReceivedMessage {
    pub(crate) from: DaemonId,
    pub(crate) message: PeerMessage,
}

/// The sockets of a link, bound before the loop starts so that a failure to bind is reported at
/// once.
#[derive(Debug)]
pub(crate) struct PeerSockets {
    udp: std::net::UdpSocket,
    tcp: std::net::TcpListener,
}

impl PeerSockets {
    /// Binds UDP and TCP on the same address.
    pub(crate) fn bind(addr: SocketAddr) -> std::io::Result<Self> {
        let tcp = std::net::TcpListener::bind(addr)?;
        let udp = std::net::UdpSocket::bind(addr)?;
        tcp.set_nonblocking(true)?;
        udp.set_nonblocking(true)?;
        Ok(Self { udp, tcp })
    }
}

/// The actor that owns the sockets for messages between daemons.
pub(crate) struct PeerLink {
    daemon: DaemonId,
    codec: FrameCodec,
    udp: MioSource<UdpSocket>,
    tcp: MioSource<TcpListener>,
    /// One for each other member, sorted by id.
    outbound: Vec<Outbound>,
    /// Sorted by ordinal.
    inbound: Vec<Inbound>,
    /// Ordinal of the latest inbound connection.
    last_ordinal: u64,
    inbound_max: usize,
    on_message: Fwd<ReceivedMessage>,
    counters: FrameCounters,
}

/// Counts frames and their bytes, without UDP, TCP and IP headers.
struct FrameCounters {
    sent: Counter,
    sent_bytes: Counter,
    received: Counter,
    received_bytes: Counter,
}

impl FrameCounters {
    fn new(own: &DaemonId) -> Self {
        let own = own.to_string();
        let counter = |name| metrics::counter!(name, "daemon" => own.clone());
        Self {
            sent: counter("bulrushlink_peer_sent_total"),
            sent_bytes: counter("bulrushlink_peer_sent_bytes_total"),
            received: counter("bulrushlink_peer_received_total"),
            received_bytes: counter("bulrushlink_peer_received_bytes_total"),
        }
    }

    fn sent(&self, bytes: usize) {
        self.sent.increment(1);
        self.sent_bytes.increment(bytes as u64);
    }

    fn received(&self, bytes: usize) {
        self.received.increment(1);
        self.received_bytes.increment(bytes as u64);
    }
}

impl PeerLink {
    pub(crate) fn init(
        cx: CX![],
        settings: Settings,
        incarnation: u64,
        sockets: PeerSockets,
        on_message: Fwd<ReceivedMessage>,
    ) -> Option<Self> {
        let miopoll = cx.anymap_get::<MioPoll>();
        let udp = UdpSocket::from_std(sockets.udp);
        let tcp = TcpListener::from_std(sockets.tcp);
        let datagrams = fwd_to!([cx], datagrams_ready() as (Ready));
        let accept = fwd_to!([cx], accept_ready() as (Ready));
        let udp = miopoll.add(udp, Interest::READABLE, POLL_PRIORITY, datagrams);
        let tcp = miopoll.add(tcp, Interest::READABLE, POLL_PRIORITY, accept);
        let others = || settings.members.iter().filter(|m| m.id != settings.daemon);
        let names = others().map(|m| m.id.clone());
        let codec =
            FrameCodec::new(settings.daemon.clone(), incarnation, &settings.peer_key, names);
        let outbound = others().map(|m| Outbound::new(m.id.clone(), m.addr, cx.now())).collect();
        let inbound_max = 2 * settings.members.len();
        after!(Duration::from_millis(SWEEP_INTERVAL_MS), [cx], sweep());
        Some(Self {
            codec,
            udp: udp.expect("UDP socket could not be registered with the poll loop"),
            tcp: tcp.expect("TCP socket could not be registered with the poll loop"),
            outbound,
            inbound: Vec::new(),
            last_ordinal: 0,
            inbound_max,
            on_message,
            counters: FrameCounters::new(&settings.daemon),
            daemon: settings.daemon,
        })
    }

    /// Sends a message, or drops it if that is impossible now.
    pub(crate) fn send(&mut self, cx: CX![], to: DaemonId, message: PeerMessage) {
        let Ok(i) = self.outbound.binary_search_by(|o| o.id.cmp(&to)) else {
            return self.count_drop("unknown");
        };
        let Some(frame) = self.codec.seal(&to, Transport::Datagram, &message) else {
            return self.count_drop("unknown");
        };
        if frame.len() <= DATAGRAM_MAX_BYTES {
            match self.udp.send_to(&frame, self.outbound[i].addr) {
                Ok(len) => self.counters.sent(len),
                Err(_) => self.count_drop("datagram"),
            }
            return;
        }
        let Some(frame) = self.codec.seal(&to, Transport::Stream, &message) else {
            return self.count_drop("unknown");
        };
        if frame.len() > FRAME_MAX_BYTES {
            log::error!(
                daemon:% = self.daemon, peer:% = to;
                "message dropped: frame of {} bytes exceeds {FRAME_MAX_BYTES}", frame.len()
            );
            return self.count_drop("oversize");
        }
        let connected = self.connect(cx, i);
        let target = &mut self.outbound[i];
        if connected.is_ok() && target.push(&frame, cx.now()) {
            self.counters.sent(frame.len());
        } else {
            self.count_drop("stream");
        }
    }

    fn connect(&mut self, cx: CX![], i: usize) -> std::io::Result<()> {
        let ready = fwd_to!([cx], outbound_ready(i) as (Ready));
        let miopoll = cx.anymap_get::<MioPoll>();
        self.outbound[i].connect(&miopoll, cx.now(), ready)
    }

    fn datagrams_ready(&mut self, cx: CX![], _: Ready) {
        self.read_datagrams(cx);
    }

    fn read_datagrams(&mut self, cx: CX![]) {
        let mut buffer = [0; DATAGRAM_MAX_BYTES + 1];
        for _ in 0..DATAGRAMS_PER_BATCH {
            match self.udp.recv_from(&mut buffer) {
                Ok((len, from)) if len > DATAGRAM_MAX_BYTES => {
                    self.reject(Rejection::Oversize, from);
                }
                Ok((len, from)) => {
                    self.handle_frame(&buffer[..len], Transport::Datagram, from);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Such as the ICMP error of a host where no daemon listens; a valid datagram may
                // follow.
                Err(_) => {}
            }
        }
        // The poll loop reports further datagrams only after a read that would block.
        after!(Duration::from_millis(BATCH_PAUSE_MS), [cx], read_datagrams());
    }

    fn accept_ready(&mut self, cx: CX![], _: Ready) {
        self.accept(cx);
    }

    fn accept(&mut self, cx: CX![]) {
        loop {
            let (stream, from) = match self.tcp.accept() {
                Ok(accepted) => accepted,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::warn!(
                        daemon:% = self.daemon;
                        "accept from a peer failed, retrying in {SWEEP_INTERVAL_MS} ms: {error}"
                    );
                    // The poll loop doesn't report connections again that wait already.
                    after!(Duration::from_millis(SWEEP_INTERVAL_MS), [cx], accept());
                    return;
                }
            };
            if self.inbound.len() >= self.inbound_max {
                log::warn!(
                    daemon:% = self.daemon;
                    "closed connection from {from}: limit of {} peer connections reached",
                    self.inbound_max
                );
                continue;
            }
            self.last_ordinal += 1;
            let ordinal = self.last_ordinal;
            let ready = fwd_to!([cx], inbound_ready(ordinal) as (Ready));
            let miopoll = cx.anymap_get::<MioPoll>();
            let interest = Interest::READABLE | Interest::WRITABLE;
            match miopoll.add(stream, interest, POLL_PRIORITY, ready) {
                Ok(source) => self.inbound.push(Inbound::new(ordinal, from, source, cx.now())),
                Err(error) => log::warn!(
                    daemon:% = self.daemon;
                    "closed connection from {from}: registration with the poll loop failed: {error}"
                ),
            }
        }
    }

    fn inbound_ready(&mut self, cx: CX![], ordinal: u64, _: Ready) {
        let Ok(i) = self.inbound.binary_search_by(|c| c.ordinal.cmp(&ordinal)) else { return };
        let keep_open = loop {
            let status = self.inbound[i].read();
            if !self.handle_frames(i, cx.now()) {
                break false;
            }
            match status {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => break true,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => break false,
            }
        };
        if !keep_open || !self.inbound[i].flush() {
            self.inbound.remove(i);
        }
    }

    /// Handles all complete frames of a connection; returns false if one was rejected and the
    /// connection has to be closed.
    fn handle_frames(&mut self, i: usize, now: Instant) -> bool {
        let from = self.inbound[i].from;
        loop {
            match self.inbound[i].next_frame() {
                Ok(None) => return true,
                Ok(Some(frame)) if self.handle_frame(&frame, Transport::Stream, from) => {
                    self.inbound[i].acknowledge(now);
                }
                Ok(Some(_)) => return false,
                Err(rejection) => {
                    self.reject(rejection, from);
                    return false;
                }
            }
        }
    }

    /// The index identifies the connection because the members never change.
    fn outbound_ready(&mut self, cx: CX![], i: usize, _: Ready) {
        self.outbound[i].ready(cx.now());
    }

    fn sweep(&mut self, cx: CX![]) {
        let now = cx.now();
        self.inbound.retain(|c| !c.is_timed_out(now));
        self.outbound.iter_mut().for_each(|o| o.sweep(now));
        after!(Duration::from_millis(SWEEP_INTERVAL_MS), [cx], sweep());
    }

    /// Verifies a frame and passes its message on. Returns true if the sender is authentic, even if
    /// the frame was a replayed one.
    fn handle_frame(&mut self, frame: &[u8], way: Transport, from: SocketAddr) -> bool {
        match self.codec.unseal(frame, way) {
            Ok((from, message)) => {
                self.counters.received(frame.len());
                self.on_message.fwd(ReceivedMessage { from, message });
                true
            }
            Err(rejection) => {
                self.reject(rejection, from);
                rejection == Rejection::Replayed
            }
        }
    }

    fn reject(&self, rejection: Rejection, from: SocketAddr) {
        let daemon = self.daemon.to_string();
        metrics::counter!(
            "bulrushlink_peer_rejected_total",
            "daemon" => daemon, "reason" => rejection.to_string()
        )
        .increment(1);
        let code = Code::PeerRejected.number();
        log::warn!(daemon:% = self.daemon, code = code; "frame from {from} rejected: {rejection}");
    }

    fn count_drop(&self, reason: &'static str) {
        let daemon = self.daemon.to_string();
        metrics::counter!(
            "bulrushlink_peer_dropped_total", "daemon" => daemon, "reason" => reason
        )
        .increment(1);
    }
}
