use stakker::sync::Channel;
use stakker::{Fwd, Stakker};
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::UdpSocket;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{POLL_PRIORITY, open_poll};

/// Guards against a poll loop that passes on only the wake-ups by other threads while these arrive all the
/// time: the heartbeats of the peers would lie unread, and the peers count as dead (found in the review of
/// issue 34).
#[test]
fn poll_that_wakes_up_passes_on_the_messages_of_peers_too() {
    let mut stakker = Stakker::new(Instant::now());
    let poll = open_poll(&mut stakker).expect("a poll loop");
    let (woken, heard) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let count = |counter: &Rc<Cell<u32>>| {
        let counter = counter.clone();
        move || counter.set(counter.get() + 1)
    };
    let (on_wake, on_message) = (count(&woken), count(&heard));
    let (channel, _guard) = Channel::new(&mut stakker, Fwd::new(move |_: u32| on_wake()));
    let own = UdpSocket::bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let addr = own.local_addr().expect("an address");
    let ready = Fwd::new(move |_: Ready| on_message());
    let _own = poll.add(own, Interest::READABLE, POLL_PRIORITY, ready).expect("registered");
    let peer = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    peer.send_to(b"heartbeat", addr).expect("the message is sent");
    channel.send(1);
    poll.poll(Duration::from_secs(10)).expect("events");
    stakker.run(Instant::now(), false);
    assert_eq!((woken.get(), heard.get()), (1, 1));
}
