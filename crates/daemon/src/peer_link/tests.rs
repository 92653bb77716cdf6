use super::*;
use crate::calls::tests::settings;
use crate::settings::Member;
use bulrushlink_core::NoteVersion;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use stakker_mio::mio::{Events, Poll};
use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;

const KEY: &str = "0123456789abcdef";
/// Time within which a message has to arrive, else the test fails.
const TIMEOUT: Duration = Duration::from_secs(20);

fn id(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn codec(own: &str, incarnation: u64, key: &str) -> FrameCodec {
    let peers = ["a", "b"].into_iter().filter(|peer| *peer != own).map(id);
    FrameCodec::new(id(own), incarnation, key, peers)
}

fn message(have: u64) -> PeerMessage {
    PeerMessage::NoteWanted { have: NoteVersion(have) }
}

/// Guards against replay of a frame, to its receiver, to another daemon or over the other
/// transport.
#[test]
fn frame_is_accepted_once_and_only_by_its_receiver_over_its_transport() {
    let (mut a, mut b) = (codec("a", 1, KEY), codec("b", 1, KEY));
    let frame = a.seal(&id("b"), Transport::Datagram, &message(7)).unwrap();
    assert_eq!(b.unseal(&frame, Transport::Stream), Err(Rejection::Receiver));
    assert_eq!(b.unseal(&frame, Transport::Datagram), Ok((id("a"), message(7))));
    assert_eq!(b.unseal(&frame, Transport::Datagram), Err(Rejection::Replayed));
    assert_eq!(a.unseal(&frame, Transport::Datagram), Err(Rejection::Receiver));
    assert_eq!(a.seal(&id("c"), Transport::Datagram, &message(7)), None);
}

/// Guards against messages of a sender without the key, and against modified ones.
#[test]
fn modified_frame_or_wrong_key_is_rejected() {
    let (mut a, mut b) = (codec("a", 1, KEY), codec("b", 1, KEY));
    let mut outsider = codec("a", 2, "another secret key");
    let forged = outsider.seal(&id("b"), Transport::Datagram, &message(7)).unwrap();
    assert_eq!(b.unseal(&forged, Transport::Datagram), Err(Rejection::Mac));
    let frame = a.seal(&id("b"), Transport::Datagram, &message(7)).unwrap();
    for i in 0..frame.len() {
        let mut changed = frame.clone();
        changed[i] ^= 1;
        assert_eq!(b.unseal(&changed, Transport::Datagram), Err(Rejection::Mac));
    }
    assert_eq!(b.unseal(&frame[..20], Transport::Datagram), Err(Rejection::Short));
    assert!(b.unseal(&frame, Transport::Datagram).is_ok());
}

/// Guards against rejecting frames that were only reordered, and against accepting those of a
/// process that has been replaced.
#[test]
fn late_frames_are_accepted_within_the_window_but_not_from_an_older_incarnation() {
    let (mut old, mut new, mut b) = (codec("a", 1, KEY), codec("a", 2, KEY), codec("b", 1, KEY));
    let seal = |a: &mut FrameCodec| a.seal(&id("b"), Transport::Datagram, &message(1)).unwrap();
    let sealed: Vec<Vec<u8>> = (0..200).map(|_| seal(&mut old)).collect();
    assert!(b.unseal(&sealed[199], Transport::Datagram).is_ok());
    assert!(b.unseal(&sealed[198], Transport::Datagram).is_ok());
    assert_eq!(b.unseal(&sealed[198], Transport::Datagram), Err(Rejection::Replayed));
    assert_eq!(b.unseal(&sealed[0], Transport::Datagram), Err(Rejection::Replayed));
    assert!(b.unseal(&seal(&mut new), Transport::Datagram).is_ok());
    assert_eq!(b.unseal(&sealed[197], Transport::Datagram), Err(Rejection::Replayed));
}

/// Two links in one event loop.
struct LinkPair {
    stakker: Stakker,
    miopoll: MioPoll,
    members: Vec<Member>,
    links: [Option<ActorOwn<PeerLink>>; 2],
    received: Rc<RefCell<Vec<ReceivedMessage>>>,
}

impl LinkPair {
    fn open() -> Self {
        let mut stakker = Stakker::new(std::time::Instant::now());
        let (poll, events) = (Poll::new().unwrap(), Events::with_capacity(64));
        let miopoll = MioPoll::new(&mut stakker, poll, events, 10).unwrap();
        let free = || std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let member = |name: &str, addr| {
            let domain = "quito-norte".parse().unwrap();
            Member { id: id(name), domain, addr }
        };
        let (a, b) = (free(), free());
        let members =
            vec![member("a", a.local_addr().unwrap()), member("b", b.local_addr().unwrap())];
        drop((a, b));
        let received = Rc::new(RefCell::new(Vec::new()));
        let mut pair = Self { stakker, miopoll, members, links: [None, None], received };
        pair.start(0, 1);
        pair.start(1, 1);
        pair
    }

    fn start(&mut self, i: usize, incarnation: u64) {
        let mut settings = settings("http://127.0.0.1:9");
        settings.members = self.members.clone();
        settings.daemon = self.members[i].id.clone();
        let sockets = PeerSockets::bind(self.members[i].addr).unwrap();
        let received = self.received.clone();
        let on_message = Fwd::new(move |message| received.borrow_mut().push(message));
        let stakker = &mut self.stakker;
        let link =
            actor!(stakker, PeerLink::init(settings, incarnation, sockets, on_message), ret_nop!());
        self.links[i] = Some(link);
        self.run_once();
    }

    fn run_once(&mut self) {
        self.stakker.run(std::time::Instant::now(), false);
        self.miopoll.poll(Duration::from_millis(5)).unwrap();
        self.stakker.run(std::time::Instant::now(), false);
    }

    fn send(&mut self, from: usize, to: &str, message: &PeerMessage) {
        let (link, to, message) = (self.links[from].as_ref().unwrap(), id(to), message.clone());
        call!([link, self.stakker], send(to, message));
    }

    /// Sends a message repeatedly until it arrives.
    fn deliver(&mut self, from: usize, to: &str, message: &PeerMessage) {
        let deadline = std::time::Instant::now() + TIMEOUT;
        self.received.borrow_mut().clear();
        while !self.received.borrow().iter().any(|received| received.message == *message) {
            assert!(std::time::Instant::now() < deadline, "no message within {TIMEOUT:?}");
            self.send(from, to, message);
            (0..10).for_each(|_| self.run_once());
        }
    }
}

/// Returns a message that is too large for a datagram.
fn large_message() -> PeerMessage {
    let task = |task| bulrushlink_api::TaskReport {
        id: bulrushlink_api::TaskId {
            key: "etch/r1".parse().unwrap(),
            attempt: Default::default(),
            task,
        },
        set: Default::default(),
        gang: 1,
        state: bulrushlink_api::TaskState::Confirmed,
        ran: Default::default(),
    };
    let tasks = (0..2_000).map(task).collect();
    PeerMessage::Reports { worker: "w1".parse().unwrap(), all: true, tasks, seq: 1 }
}

/// Guards against a message lost for its size: small ones are datagrams, large ones go over TCP.
#[test]
fn small_and_large_messages_are_delivered() {
    let mut pair = LinkPair::open();
    pair.deliver(0, "b", &message(1));
    pair.deliver(1, "a", &message(2));
    pair.deliver(0, "b", &large_message());
    pair.deliver(1, "a", &large_message());
}

/// Guards against invalid input that keeps a connection open or disturbs the valid messages.
#[test]
fn invalid_frames_are_dropped_and_their_connections_closed() {
    let mut pair = LinkPair::open();
    pair.deliver(0, "b", &large_message());
    let target = pair.members[1].addr;
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    udp.send_to(&[7; 100], target).unwrap();
    udp.send_to(&[7; DATAGRAM_MAX_BYTES + 100], target).unwrap();
    let mut oversize = std::net::TcpStream::connect(target).unwrap();
    oversize.write_all(&(FRAME_MAX_BYTES as u32 + 1).to_le_bytes()).unwrap();
    let mut forged = std::net::TcpStream::connect(target).unwrap();
    forged.write_all(&[40, 0, 0, 0]).unwrap();
    forged.write_all(&[7; 40]).unwrap();
    for stream in [&mut oversize, &mut forged] {
        stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
        let deadline = std::time::Instant::now() + TIMEOUT;
        while std::io::Read::read(stream, &mut [0; 8])
            .is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
        {
            assert!(std::time::Instant::now() < deadline, "the connection was not closed");
            pair.run_once();
        }
    }
    pair.deliver(0, "b", &message(3));
    pair.deliver(0, "b", &large_message());
}

/// Guards against sending on a connection to the old process after a peer has restarted.
#[test]
fn restarted_peer_is_reached_again() {
    let mut pair = LinkPair::open();
    pair.deliver(0, "b", &large_message());
    pair.links[1] = None;
    pair.send(0, "b", &large_message());
    (0..10).for_each(|_| pair.run_once());
    pair.start(1, 2);
    pair.deliver(0, "b", &large_message());
    pair.deliver(1, "a", &large_message());
}
