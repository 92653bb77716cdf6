//! A collector of the inputs that edges send to the node, and settings for tests of edges.

use super::*;
use crate::settings::Settings;
use stakker::sync::ChannelGuard;
use stakker::{Fwd, Stakker};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which a test that waits for a result fails.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// Stands in for the node's event loop and collects its inputs.
pub(crate) struct Collector {
    stakker: Stakker,
    pub(crate) results: CallResults,
    inputs: Rc<RefCell<Vec<Input>>>,
    _guard: ChannelGuard,
}

impl Collector {
    pub(crate) fn open() -> Self {
        let mut stakker = Stakker::new(Instant::now());
        stakker.set_poll_waker(|| ());
        let inputs = Rc::new(RefCell::new(Vec::new()));
        let collect = inputs.clone();
        let fwd = Fwd::new(move |input| collect.borrow_mut().push(input));
        let (channel, guard) = Channel::new(&mut stakker, fwd);
        let results = CallResults::open("qn-1".parse().unwrap(), channel);
        Self { stakker, results, inputs, _guard: guard }
    }

    /// Waits for the next input and returns it.
    pub(crate) fn next(&mut self) -> Input {
        let end = Instant::now() + WAIT_MAX;
        while self.inputs.borrow().is_empty() {
            assert!(Instant::now() < end, "no result within {WAIT_MAX:?}");
            std::thread::sleep(Duration::from_millis(1));
            self.stakker.poll_wake();
            self.stakker.run(Instant::now(), false);
        }
        self.inputs.borrow_mut().remove(0)
    }
}

/// Returns settings of a deployment of one daemon, with short timeouts.
pub(crate) fn settings(platform: &str) -> Settings {
    let peers = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = serde_json::json!({
        "daemon": "qn-1",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
        "store": platform, "hosts": platform,
        "operator_token": "token", "peer_key": "0123456789abcdef",
        "members": [{ "id": "qn-1", "domain": "quito-norte", "addr": peers }],
        "limits": { "store_calls": 1, "worker_calls": 1 },
        "timing": { "store": "300ms", "worker": "300ms", "watch": "300ms" }
    });
    Settings::parse(&text.to_string()).unwrap()
}

/// Guards against a call being taken as not carried out, and repeated, although only its reply was
/// lost or unreadable.
#[test]
fn only_a_connection_that_was_never_established_is_unreachable() {
    let results = Collector::open().results;
    let fault = |code| results.record_fault("store", &Error::new(code, ""));
    assert_eq!(fault(Code::Unreachable), EdgeFault::Unreachable);
    for code in [Code::TimedOut, Code::BadAnswer] {
        assert_eq!(fault(code), EdgeFault::Silent);
    }
    let reply = HttpReply { status: 503, body: String::new() };
    let read: Result<u32, EdgeFault> = results.parse_reply("store", Ok(reply));
    assert_eq!(read, Err(EdgeFault::Silent));
}
