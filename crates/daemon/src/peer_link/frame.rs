//! Frames between daemons: a keyed MAC over the `postcard` form of an envelope.
//!
//! The MAC tells that a member of the deployment made the frame; the receiver's name in it keeps a
//! frame from being sent on to another daemon; incarnation and sequence keep it from being taken
//! twice. A receiver that has just started knows no sequence yet and takes the first frame that
//! it hears from each sender, which the messages' own idempotence has to bear.

use bulrushlink_core::DaemonId;
use derive_more::Display;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::peer::PeerMessage;

/// Length of the MAC, in bytes.
const MAC_BYTES: usize = 32;
/// Sequence numbers that may still come after a higher one.
const WINDOW_FRAMES: u64 = 128;

/// How a frame travels. Each way has its own sequence, since they overtake each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Way {
    Datagram,
    Stream,
}

/// Why a frame was dropped.
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
    way: Way,
    seq: u64,
    message: PeerMessage,
}

/// The last frames of one sender on one way.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    incarnation: u64,
    highest: u64,
    /// Bit `n` tells whether `highest - n` was taken.
    taken: u128,
}

#[derive(Debug)]
struct PeerState {
    id: DaemonId,
    /// Last sequence sent, by way.
    sent: [u64; 2],
    /// Frames taken, by way.
    taken: [Window; 2],
}

/// Makes and checks the frames of one daemon.
#[derive(Debug)]
pub(crate) struct Frames {
    own: DaemonId,
    incarnation: u64,
    mac: Hmac<Sha256>,
    /// Sorted by id.
    peers: Vec<PeerState>,
}

impl Frames {
    pub(crate) fn open(
        own: DaemonId,
        incarnation: u64,
        key: &str,
        peers: impl Iterator<Item = DaemonId>,
    ) -> Self {
        let mac = Hmac::new_from_slice(key.as_bytes()).expect("this MAC takes keys of any length");
        let state = |id| PeerState { id, sent: [0; 2], taken: [Window::default(); 2] };
        let mut peers: Vec<PeerState> = peers.map(state).collect();
        peers.sort_by(|a, b| a.id.cmp(&b.id));
        Self { own, incarnation, mac, peers }
    }

    /// Makes a frame, or nothing for a receiver that isn't a member.
    pub(crate) fn seal(
        &mut self,
        to: &DaemonId,
        way: Way,
        message: &PeerMessage,
    ) -> Option<Vec<u8>> {
        let i = self.peers.binary_search_by(|p| p.id.cmp(to)).ok()?;
        let seq = &mut self.peers[i].sent[way as usize];
        *seq += 1;
        let envelope = Envelope {
            from: self.own.clone(),
            to: to.clone(),
            incarnation: self.incarnation,
            way,
            seq: *seq,
            message: message.clone(),
        };
        let frame = postcard::to_extend(&envelope, vec![0; MAC_BYTES]);
        let mut frame = frame.expect("every message between daemons has a postcard form");
        let mac = self.mac.clone().chain_update(&frame[MAC_BYTES..]).finalize();
        frame[..MAC_BYTES].copy_from_slice(&mac.into_bytes());
        Some(frame)
    }

    /// Checks a frame and returns its sender and message.
    pub(crate) fn unseal(
        &mut self,
        frame: &[u8],
        way: Way,
    ) -> Result<(DaemonId, PeerMessage), Rejection> {
        if frame.len() <= MAC_BYTES {
            return Err(Rejection::Short);
        }
        let (mac, body) = frame.split_at(MAC_BYTES);
        let checked = self.mac.clone().chain_update(body).verify_slice(mac);
        checked.map_err(|_| Rejection::Mac)?;
        let envelope: Envelope = postcard::from_bytes(body).map_err(|_| Rejection::Undecodable)?;
        if envelope.to != self.own || envelope.way != way {
            return Err(Rejection::Receiver);
        }
        let sender = self.peers.binary_search_by(|p| p.id.cmp(&envelope.from));
        let sender = &mut self.peers[sender.map_err(|_| Rejection::Sender)?];
        if !sender.taken[way as usize].take(envelope.incarnation, envelope.seq) {
            return Err(Rejection::Replayed);
        }
        Ok((envelope.from, envelope.message))
    }
}

impl Window {
    /// Notes a frame, and tells whether it is new.
    fn take(&mut self, incarnation: u64, seq: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation || self.taken == 0 {
            *self = Self { incarnation, highest: seq, taken: 1 };
            return true;
        }
        if seq > self.highest {
            let shift = seq - self.highest;
            self.taken = if shift < WINDOW_FRAMES { self.taken << shift } else { 0 };
            self.taken |= 1;
            self.highest = seq;
            return true;
        }
        let age = self.highest - seq;
        if age >= WINDOW_FRAMES || self.taken >> age & 1 == 1 {
            return false;
        }
        self.taken |= 1 << age;
        true
    }
}
