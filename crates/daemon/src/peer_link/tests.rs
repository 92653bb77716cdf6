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
/// The longest wait for a message; a test that gets here has failed.
const WAIT_MAX: Duration = Duration::from_secs(20);

fn id(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn frames(own: &str, incarnation: u64, key: &str) -> Frames {
    let peers = ["a", "b"].into_iter().filter(|peer| *peer != own).map(id);
    Frames::open(id(own), incarnation, key, peers)
}

fn message(have: u64) -> PeerMessage {
    PeerMessage::NoteWanted { have: NoteVersion(have) }
}

#[test]
fn a_frame_is_taken_once_by_its_receiver_on_its_way() {
    let (mut a, mut b) = (frames("a", 1, KEY), frames("b", 1, KEY));
    let frame = a.seal(&id("b"), Way::Datagram, &message(7)).unwrap();
    assert_eq!(b.unseal(&frame, Way::Stream), Err(Rejection::Receiver));
    assert_eq!(b.unseal(&frame, Way::Datagram), Ok((id("a"), message(7))));
    assert_eq!(b.unseal(&frame, Way::Datagram), Err(Rejection::Replayed));
    assert_eq!(a.unseal(&frame, Way::Datagram), Err(Rejection::Receiver));
    assert_eq!(a.seal(&id("c"), Way::Datagram, &message(7)), None);
}

#[test]
fn a_changed_frame_or_another_key_is_rejected() {
    let (mut a, mut b) = (frames("a", 1, KEY), frames("b", 1, KEY));
    let mut stranger = frames("a", 2, "another secret key");
    let forged = stranger.seal(&id("b"), Way::Datagram, &message(7)).unwrap();
    assert_eq!(b.unseal(&forged, Way::Datagram), Err(Rejection::Mac));
    let frame = a.seal(&id("b"), Way::Datagram, &message(7)).unwrap();
    for i in 0..frame.len() {
        let mut changed = frame.clone();
        changed[i] ^= 1;
        assert_eq!(b.unseal(&changed, Way::Datagram), Err(Rejection::Mac));
    }
    assert_eq!(b.unseal(&frame[..20], Way::Datagram), Err(Rejection::Short));
    assert!(b.unseal(&frame, Way::Datagram).is_ok());
}

#[test]
fn late_frames_are_taken_within_the_window_and_not_of_an_older_incarnation() {
    let (mut old, mut new, mut b) = (frames("a", 1, KEY), frames("a", 2, KEY), frames("b", 1, KEY));
    let seal = |a: &mut Frames| a.seal(&id("b"), Way::Datagram, &message(1)).unwrap();
    let sealed: Vec<Vec<u8>> = (0..200).map(|_| seal(&mut old)).collect();
    assert!(b.unseal(&sealed[199], Way::Datagram).is_ok());
    assert!(b.unseal(&sealed[198], Way::Datagram).is_ok());
    assert_eq!(b.unseal(&sealed[198], Way::Datagram), Err(Rejection::Replayed));
    assert_eq!(b.unseal(&sealed[0], Way::Datagram), Err(Rejection::Replayed));
    assert!(b.unseal(&seal(&mut new), Way::Datagram).is_ok());
    assert_eq!(b.unseal(&sealed[197], Way::Datagram), Err(Rejection::Replayed));
}

/// Two links in one loop.
struct Bench {
    stakker: Stakker,
    miopoll: MioPoll,
    members: Vec<Member>,
    links: [Option<ActorOwn<PeerLink>>; 2],
    heard: Rc<RefCell<Vec<Heard>>>,
}

impl Bench {
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
        let heard = Rc::new(RefCell::new(Vec::new()));
        let mut bench = Self { stakker, miopoll, members, links: [None, None], heard };
        bench.start(0, 1);
        bench.start(1, 1);
        bench
    }

    fn start(&mut self, i: usize, incarnation: u64) {
        let mut settings = settings("http://127.0.0.1:9");
        settings.members = self.members.clone();
        settings.daemon = self.members[i].id.clone();
        let sockets = PeerSockets::bind(self.members[i].addr).unwrap();
        let collect = self.heard.clone();
        let heard = Fwd::new(move |heard| collect.borrow_mut().push(heard));
        let stakker = &mut self.stakker;
        let link =
            actor!(stakker, PeerLink::init(settings, incarnation, sockets, heard), ret_nop!());
        self.links[i] = Some(link);
        self.turn();
    }

    fn turn(&mut self) {
        self.stakker.run(std::time::Instant::now(), false);
        self.miopoll.poll(Duration::from_millis(5)).unwrap();
        self.stakker.run(std::time::Instant::now(), false);
    }

    fn send(&mut self, from: usize, to: &str, message: &PeerMessage) {
        let (link, to, message) = (self.links[from].as_ref().unwrap(), id(to), message.clone());
        call!([link, self.stakker], send(to, message));
    }

    /// Sends again and again, as the duties do, until the message has come.
    fn deliver(&mut self, from: usize, to: &str, message: &PeerMessage) {
        let end = std::time::Instant::now() + WAIT_MAX;
        self.heard.borrow_mut().clear();
        while !self.heard.borrow().iter().any(|heard| heard.message == *message) {
            assert!(std::time::Instant::now() < end, "the message never came");
            self.send(from, to, message);
            (0..10).for_each(|_| self.turn());
        }
    }
}

fn large() -> PeerMessage {
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

#[test]
fn small_and_large_messages_come_through() {
    let mut bench = Bench::open();
    bench.deliver(0, "b", &message(1));
    bench.deliver(1, "a", &message(2));
    bench.deliver(0, "b", &large());
    bench.deliver(1, "a", &large());
}

#[test]
fn junk_is_dropped_and_harms_nothing() {
    let mut bench = Bench::open();
    bench.deliver(0, "b", &large());
    let target = bench.members[1].addr;
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
        let end = std::time::Instant::now() + WAIT_MAX;
        while std::io::Read::read(stream, &mut [0; 8])
            .is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
        {
            assert!(std::time::Instant::now() < end, "the connection was not closed");
            bench.turn();
        }
    }
    bench.deliver(0, "b", &message(3));
    bench.deliver(0, "b", &large());
}

#[test]
fn a_restarted_peer_is_reached_again() {
    let mut bench = Bench::open();
    bench.deliver(0, "b", &large());
    bench.links[1] = None;
    bench.send(0, "b", &large());
    (0..10).for_each(|_| bench.turn());
    bench.start(1, 2);
    bench.deliver(0, "b", &large());
    bench.deliver(1, "a", &large());
}
