//! Frames between daemons: a keyed MAC over the `postcard` form of an envelope.
//!
//! The MAC proves that a member of the deployment made the frame. The receiver's name in the
//! envelope prevents replay to another daemon, and incarnation and sequence number prevent replay
//! to the same one. A daemon that has just started knows no sequence numbers and accepts the first
//! frame of each sender, which may be a replayed one; messages have to be idempotent anyway.

use bulrushlink_core::DaemonId;
use derive_more::Display;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::peer::PeerMessage;

/// Length of the MAC.
const MAC_BYTES: usize = 32;
/// Width of the replay window: a frame whose sequence number is at least this far below the highest
/// one is rejected.
const WINDOW_FRAMES: u64 = 128;

/// The transport of a frame. Each transport has its own sequence numbers, since frames of one may
/// overtake those of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Transport {
    Datagram,
    Stream,
}

/// The reason for which a frame was rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Rejection {
    #[display("too short")]
    Short,
    #[display("oversize")]
    Oversize,
    #[display("wrong MAC")]
    Mac,
    #[display("undecodable")]
    Undecodable,
    /// For another daemon, or sent over the other transport.
    #[display("for another receiver")]
    Receiver,
    #[display("unknown sender")]
    Sender,
    #[display("replayed")]
    Replayed,
}

#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    from: DaemonId,
    to: DaemonId,
    incarnation: u64,
    way: Transport,
    seq: u64,
    message: PeerMessage,
}

/// Replay window: the latest frames accepted from one sender over one transport.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set if the frame `highest - n` was accepted.
    accepted: u128,
}

#[derive(Debug)]
struct PeerState {
    id: DaemonId,
    /// Last sequence number sent, by transport.
    last_sent: [u64; 2],
    /// Frames accepted, by transport.
    windows: [ReplayWindow; 2],
}

/// Encodes and verifies the frames of one daemon.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    daemon: DaemonId,
    incarnation: u64,
    mac: Hmac<Sha256>,
    /// Sorted by id.
    peers: Vec<PeerState>,
}

impl FrameCodec {
    pub(crate) fn new(
        daemon: DaemonId,
        incarnation: u64,
        key: &str,
        peers: impl Iterator<Item = DaemonId>,
    ) -> Self {
        let mac = Hmac::new_from_slice(key.as_bytes()).expect("HMAC rejected the peer key");
        let state = |id| PeerState { id, last_sent: [0; 2], windows: [ReplayWindow::default(); 2] };
        let mut peers: Vec<PeerState> = peers.map(state).collect();
        peers.sort_by(|a, b| a.id.cmp(&b.id));
        Self { daemon, incarnation, mac, peers }
    }

    /// Encodes a frame; returns `None` for a receiver that isn't a member.
    pub(crate) fn seal(
        &mut self,
        to: &DaemonId,
        way: Transport,
        message: &PeerMessage,
    ) -> Option<Vec<u8>> {
        let i = self.peers.binary_search_by(|p| p.id.cmp(to)).ok()?;
        let seq = &mut self.peers[i].last_sent[way as usize];
        *seq += 1;
        let envelope = Envelope {
            from: self.daemon.clone(),
            to: to.clone(),
            incarnation: self.incarnation,
            way,
            seq: *seq,
            message: message.clone(),
        };
        let frame = postcard::to_extend(&envelope, vec![0; MAC_BYTES]);
        let mut frame = frame.expect("message could not be encoded by postcard");
        let mac = self.mac.clone().chain_update(&frame[MAC_BYTES..]).finalize();
        frame[..MAC_BYTES].copy_from_slice(&mac.into_bytes());
        Some(frame)
    }

    /// Verifies a frame and returns its sender and message.
    pub(crate) fn unseal(
        &mut self,
        frame: &[u8],
        way: Transport,
    ) -> Result<(DaemonId, PeerMessage), Rejection> {
        if frame.len() <= MAC_BYTES {
            return Err(Rejection::Short);
        }
        let (mac, body) = frame.split_at(MAC_BYTES);
        let verified = self.mac.clone().chain_update(body).verify_slice(mac);
        verified.map_err(|_| Rejection::Mac)?;
        let envelope: Envelope = postcard::from_bytes(body).map_err(|_| Rejection::Undecodable)?;
        if envelope.to != self.daemon || envelope.way != way {
            return Err(Rejection::Receiver);
        }
        let sender = self.peers.binary_search_by(|p| p.id.cmp(&envelope.from));
        let sender = &mut self.peers[sender.map_err(|_| Rejection::Sender)?];
        if !sender.windows[way as usize].accept(envelope.incarnation, envelope.seq) {
            return Err(Rejection::Replayed);
        }
        Ok((envelope.from, envelope.message))
    }
}

impl ReplayWindow {
    /// Records a frame; returns false if it was accepted before or is too old to know.
    fn accept(&mut self, incarnation: u64, seq: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation || self.accepted == 0 {
            *self = Self { incarnation, highest: seq, accepted: 1 };
            return true;
        }
        if seq > self.highest {
            let shift = seq - self.highest;
            self.accepted = if shift < WINDOW_FRAMES { self.accepted << shift } else { 0 };
            self.accepted |= 1;
            self.highest = seq;
            return true;
        }
        let age = self.highest - seq;
        if age >= WINDOW_FRAMES || self.accepted >> age & 1 == 1 {
            return false;
        }
        self.accepted |= 1 << age;
        true
    }
}
